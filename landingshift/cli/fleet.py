"""`landingshift fleet ...`: what any one server knows of the fleet."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import click

from landingshift.cli.main import USAGE, say
from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.membership.settings import Settings, parse_address
from landingshift.net.program import features

BROKEN = 1  # exit status where a server does not answer


class Told(click.ClickException):
    exit_code = USAGE


def server(at: str | None, toml: str | None) -> tuple[str, int]:
    """The address that is named, or that of the table [fleet]."""
    if at:
        try:
            return parse_address("--at", at)
        except ValueError as err:
            raise Told(str(err)) from err
    path = toml or os.environ.get(features.SETTINGS_FILE_VARIABLE)
    if not path:
        raise Told(
            f"--at is to name a server, or --toml or {features.SETTINGS_FILE_VARIABLE} the file with [fleet]"
        )
    try:
        found = next(
            (f.settings for f in features.load_features(path, include_off=True) if f.table == "fleet"), None
        )
    except features.FeatureConfigError as err:
        raise Told(str(err)) from err
    if not isinstance(found, Settings):
        raise Told(f"{path}: there is no table [fleet]")
    return parse_address("listen", found.listen_address)


def asked(at: str | None, toml: str | None, call: str, params: list[Any] | None = None) -> Any:
    return asked_of(server(at, toml), call, params)


def from_leader(at: str | None, toml: str | None, call: str, params: list[Any] | None = None) -> Any:
    """A call to the leader of the agreement that this server knows, else to itself."""
    found = asked(at, toml, "policy_status")
    to = parse_address("leader", found["leader_at"]) if found["leader_at"] else server(at, toml)
    return asked_of(to, call, params)


def asked_of(to: tuple[str, int], call: str, params: list[Any] | None) -> Any:
    """Ends with BROKEN and a word where there is no answer."""
    try:
        return call_operator_rpc(to, call, params or [])
    except OperatorRpcError as err:
        click.echo(f"landingshift: {to[0]}:{to[1]}: {err}", err=True)
        raise SystemExit(BROKEN) from err


def table(rows: list[dict[str, Any]], columns: tuple[str, ...]) -> None:
    lines = [columns, *(tuple(told(row.get(c, "")) for c in columns) for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        click.echo("  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip())


def told(value: Any) -> str:
    return f"{value:.6g}" if isinstance(value, float) else str(value)


def where(command: Callable[..., None]) -> Callable[..., None]:
    """The options of every command here, decoded to the address and `as_json`."""
    at = click.option("--at", help="IPv4 address:port of a server's [fleet] listen.")
    toml = click.option("--toml", type=click.Path(dir_okay=False), help="The file with [fleet].")
    as_json = click.option("--json", "as_json", is_flag=True, help="One JSON value, for pipes.")
    return at(toml(as_json(command)))


def show(found: dict[str, Any], as_json: bool) -> None:
    if as_json:
        say(found)
        return
    for key, value in found.items():
        click.echo(f"{key:14} {told(value)}")


@click.group()
def group() -> None:
    """Who is there, as one server sees it; exit status 1 where it does not answer."""


@group.command()
@where
def status(at: str | None, toml: str | None, as_json: bool) -> None:
    """How many are there, and how well this one hears."""
    show(asked(at, toml, "status"), as_json)


FIXED = ("name", "address", "zone", "state", "for_ms")


@group.command()
@where
@click.option("--gone", is_flag=True, help="Those that are dead or left, too.")
def members(at: str | None, toml: str | None, as_json: bool, gone: bool) -> None:
    """One line a server."""
    rows = [r for r in asked(at, toml, "members") if gone or r["state"] not in ("dead", "left")]
    if as_json:
        say(rows)
    else:
        facts = sorted({key for row in rows for key in row} - set(FIXED) - {"run", "incarnation"})
        table(rows, (*FIXED, *facts))


@group.command()
@where
def shares(at: str | None, toml: str | None, as_json: bool) -> None:
    """How far this one is on its way to warm, and what it may use of the store."""
    show(asked(at, toml, "coldstart"), as_json)


@group.command()
@where
def lent(at: str | None, toml: str | None, as_json: bool) -> None:
    """What a lender has lent, and to whom."""
    found = asked(at, toml, "lent")
    held = {} if as_json else found.pop("shares")
    show(found, as_json)
    if held:
        table(
            [{"name": name, "calls_s": amount} for name, amount in sorted(held.items())], ("name", "calls_s")
        )
