"""The command and what needs no group of its own."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

import click

USAGE = 2  # exit status for usage and settings; 1 says that a promise was found broken


class Lazy(click.Group):
    """Loads a group's module when it is asked for: `serve` must not pay for what the others need."""

    GROUPS = ("fleet", "ledger", "lab", "policy", "upkeep")

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted({*super().list_commands(ctx), *self.GROUPS})

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name in self.GROUPS:
            from importlib import import_module

            command: click.Command = import_module(f"landingshift.cli.{name}").group
            return command
        return super().get_command(ctx, name)


@click.group(cls=Lazy)
@click.version_option(package_name="landingshift")
def main() -> None:
    """Admission and scheduling inside servers behind other people's balancers."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="Platform's JSON; else GW_CONFIG names it.")
@click.option("--toml", type=click.Path(dir_okay=False), help="Our own settings; else LANDINGSHIFT_TOML.")
def serve(config: str | None, toml: str | None) -> None:
    """Serves until SIGTERM, as `python -m landingshift` does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from landingshift.net.program.main import main as run

    if config:
        os.environ["GW_CONFIG"] = config
    sys.exit(run(toml))


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Says what is wrong in the platform's JSON and our TOML without starting anything."""
    from landingshift.net.program import config, features

    bad = 0
    for path in files:
        try:
            if path.endswith(".json"):
                site = config.load_config({**os.environ, "GW_CONFIG": path})
                said = f"server {site.name}, {len(site.methods)} methods, {len(site.tenants)} tenants"
            else:
                said = ", ".join(f.table for f in features.load_features(path)) or "nothing switched on"
        except (config.ServerConfigError, features.FeatureConfigError) as err:
            text = str(err)
            click.echo(text if text.startswith(path) else f"{path}: {text}", err=True)
            bad += 1
        else:
            click.echo(f"{path}: ok: {said}")
    if bad:
        raise SystemExit(USAGE)


def say(data: Any) -> None:
    """One JSON object on standard output, for pipes."""
    import orjson

    click.echo(orjson.dumps(data, default=str))
