"""The command `landingshift` with its subcommands `serve` and `check`; other modules hold the groups."""

from __future__ import annotations

import os
import signal
import sys
from importlib import import_module

import click

from landingshift.cli.errors import EXIT_USAGE

GROUP_NAMES = ("fleet", "ledger", "lab", "policy", "upkeep")


class LazyGroup(click.Group):
    """Imports the module of a group only when the group is used, to keep the memory of `serve` small."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands and groups."""
        return sorted({*super().list_commands(ctx), *GROUP_NAMES})

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns the command or group with this name, or None if there is none."""
        if name in GROUP_NAMES:
            command: click.Command = import_module(f"landingshift.cli.{name}").group
            return command
        return super().get_command(ctx, name)


@click.group(cls=LazyGroup)
@click.version_option(package_name="landingshift")
def main() -> None:
    """Admission control and scheduling of RPCs inside servers behind load balancers."""


@main.command()
@click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="Server configuration (JSON). Default: the file that GW_CONFIG names.",
)
@click.option(
    "--toml",
    type=click.Path(dir_okay=False),
    help="Settings of the optional packages (TOML). Default: the file that LANDINGSHIFT_TOML names.",
)
def serve(config: str | None, toml: str | None) -> None:
    """Run the server until SIGTERM, like `python -m landingshift`."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from landingshift.net.program.main import main as run_server

    if config:
        os.environ["GW_CONFIG"] = config
    sys.exit(run_server(toml))


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Validate FILES: server configurations (*.json) and settings of optional packages (other names)."""
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
