"""`landingshift fleet ...`: what any one server knows of the fleet."""

from __future__ import annotations

import os
from typing import Any

import click

from landingshift.cli.main import USAGE, say
from landingshift.fleet.settings import Settings, address
from landingshift.fleet.talk import NoAnswer, ask
from landingshift.net.program import features

BROKEN = 1  # exit status where a server does not answer


class Told(click.ClickException):
    exit_code = USAGE


def server(at: str | None, toml: str | None) -> tuple[str, int]:
    """The address that is named, or that of the table [fleet]."""
    if at:
        try:
            return address("--at", at)
        except ValueError as err:
            raise Told(str(err)) from err
    path = toml or os.environ.get(features.ENV)
    if not path:
        raise Told(f"--at is to name a server, or --toml or {features.ENV} the file with [fleet]")
    try:
        found = next((f.settings for f in features.load(path, every=True) if f.room == "fleet"), None)
    except features.BadFeature as err:
        raise Told(str(err)) from err
    if not isinstance(found, Settings):
        raise Told(f"{path}: there is no table [fleet]")
    return address("listen", found.listen)


def asked(at: str | None, toml: str | None, call: str, params: list[Any] | None = None) -> Any:
    to = server(at, toml)
    try:
        return ask(to, call, params or [])
    except NoAnswer as err:
        click.echo(f"landingshift: {to[0]}:{to[1]}: {err}", err=True)
        raise SystemExit(BROKEN) from err


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    lines = [columns, *(tuple(told(row.get(c, "")) for c in columns) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        click.echo("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())


def told(value: Any) -> str:
    return f"{value:.6g}" if isinstance(value, float) else str(value)


AT = click.option("--at", help="IPv4 address:port of a server's [fleet] listen.")
TOML = click.option("--toml", type=click.Path(dir_okay=False), help="The file with [fleet].")
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON value, for pipes.")


@click.group()
def group() -> None:
    """Who is there, as one server sees it; exit status 1 where it does not answer."""


@group.command()
@AT
@TOML
@JSON
def status(at: str | None, toml: str | None, as_json: bool) -> None:
    """How many are there, and how well this one hears."""
    found = asked(at, toml, "status")
    if as_json:
        say(found)
        return
    for key, value in found.items():
        click.echo(f"{key:10} {told(value)}")


@group.command()
@AT
@TOML
@JSON
@click.option("--gone", is_flag=True, help="Those that are dead or left, too.")
def members(at: str | None, toml: str | None, as_json: bool, gone: bool) -> None:
    """One line a server."""
    rows = [r for r in asked(at, toml, "members") if gone or r["state"] not in ("dead", "left")]
    if as_json:
        say(rows)
    else:
        facts = sorted({key for row in rows for key in row} - set(FIXED) - {"run", "incarnation"})
        table(rows, (*FIXED, *facts))


FIXED = ("name", "address", "zone", "state", "for_ms")


@group.command()
@AT
@TOML
@JSON
def shares(at: str | None, toml: str | None, as_json: bool) -> None:
    """How far this one is on its way to warm, and what it may use of the store."""
    found = asked(at, toml, "coldstart")
    if as_json:
        say(found)
        return
    for key, value in found.items():
        click.echo(f"{key:10} {told(value)}")


@group.command()
@AT
@TOML
@JSON
def lent(at: str | None, toml: str | None, as_json: bool) -> None:
    """What a lender has lent, and to whom."""
    found = asked(at, toml, "lent")
    if as_json:
        say(found)
        return
    held = found.pop("shares")
    for key, value in found.items():
        click.echo(f"{key:14} {told(value)}")
    table([{"name": name, "calls_s": amount} for name, amount in sorted(held.items())], ("name", "calls_s"))
