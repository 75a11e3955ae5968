"""The command and what needs no group of its own."""

from __future__ import annotations

import os
import signal
import sys
from importlib import import_module

import click

from landingshift.cli.errors import EXIT_USAGE

GROUP_NAMES = ("fleet", "ledger", "lab", "policy", "upkeep")


class LazyGroup(click.Group):
    """Loads a group's module when it is asked for: `serve` must not pay for what the others need."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands and groups."""
        return sorted({*super().list_commands(ctx), *GROUP_NAMES})

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns a command by its name, or the group of a module."""
        if name in GROUP_NAMES:
            command: click.Command = import_module(f"landingshift.cli.{name}").group
            return command
        return super().get_command(ctx, name)


@click.group(cls=LazyGroup)
@click.version_option(package_name="landingshift")
def main() -> None:
    """Admission and scheduling inside servers behind other people's balancers."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="Platform's JSON; else GW_CONFIG names it.")
@click.option("--toml", type=click.Path(dir_okay=False), help="Our own settings; else LANDINGSHIFT_TOML.")
def serve(config: str | None, toml: str | None) -> None:
    """Serves until SIGTERM, as `python -m landingshift` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from landingshift.net.program.main import main as run_server

    if config:
        os.environ["GW_CONFIG"] = config
    sys.exit(run_server(toml))


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Says what is wrong in the platform's JSON and our TOML without starting anything."""
    from landingshift.net.program import config, features

    has_failed = False
    for path in files:
        try:
            summary = _server_summary(path) if path.endswith(".json") else _features_summary(path)
        except (config.ServerConfigError, features.FeatureConfigError) as err:
            text = str(err)
            click.echo(text if text.startswith(path) else f"{path}: {text}", err=True)
            has_failed = True
        else:
            click.echo(f"{path}: ok: {summary}")
    if has_failed:
        raise SystemExit(EXIT_USAGE)


def _server_summary(path: str) -> str:
    from landingshift.net.program import config

    server = config.load_config({**os.environ, "GW_CONFIG": path})
    return f"server {server.name}, {len(server.methods)} methods, {len(server.tenants)} tenants"


def _features_summary(path: str) -> str:
    from landingshift.net.program import features

    return ", ".join(feature.table for feature in features.load_features(path)) or "nothing switched on"
