"""`landingshift policy ...`: a change that all servers decide by, or none."""

from __future__ import annotations

import getpass
import secrets
import time
from pathlib import Path
from typing import Any

import click

from landingshift.cli.fleet import BROKEN, Told, asked, from_leader, server, show, table, where
from landingshift.cli.main import say
from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.policies.document import describe_differences, flatten_policy, parse_policy
from landingshift.policies.errors import InvalidPolicyError

ENDED = ("taken", "refused", "withdrawn")
LOOK = 0.2  # seconds between two looks at a change that is waited for
NUMBER = "{:g}".format


@click.group()
def group() -> None:
    """Changes of policy; exit status 1 where a change was not taken or nobody answers."""


def read(path: str) -> bytes:
    try:
        return parse_policy(Path(path).read_text())
    except (OSError, UnicodeDecodeError, InvalidPolicyError) as err:
        raise Told(f"{path}: {err}") from err


def bring(at: str | None, toml: str | None, id: str, what: list[Any], wait: float, as_json: bool) -> None:
    """Has it brought to the leader; with `wait` seconds, until it has ended."""
    if not asked(at, toml, "policy_do", [id, *what]):
        raise Told("too much is under way at this server already")
    found = follow(at, toml, id, wait, not as_json) if wait else asked(at, toml, "policy_known", [id])
    if as_json:
        say(found)
    else:
        click.echo(f"{id}: {told(found)}")
    if wait and found["end"] != "taken":
        raise SystemExit(BROKEN)


def follow(at: str | None, toml: str | None, id: str, wait: float, aloud: bool) -> dict[str, Any]:
    end, shown = time.monotonic() + wait, ""
    while True:
        found: dict[str, Any] = asked(at, toml, "policy_known", [id])
        if found["end"] in ENDED or time.monotonic() > end:
            return found
        text = told(found)
        if aloud and text != shown:
            click.echo(f"{id}: {text}", err=True)
            shown = text
        if found["end"] != "unknown":
            asked(at, toml, "policy_do", [id, "find"])
        time.sleep(LOOK)


def told(found: dict[str, Any]) -> str:
    match found["end"]:
        case "taken":
            return f"taken, version {found['version']}" if found["version"] else f"done: {found['said']}"
        case "open":
            waits = [f"{name} ({stage or 'no text yet'})" for name, stage in found["waits"]]
            more = f" and {len(waits) - 5} more" if len(waits) > 5 else ""
            return f"under way, waits for {', '.join(waits[:5])}{more}" if waits else "under way"
    return f"{found['end']}: {found['said']}"


WAIT = click.option("--wait", type=click.FloatRange(0.0, 86_400.0), default=0.0, help="Seconds, for its end.")
WHY = click.option("--why", required=True, help="Kept with the change.")
ID = click.option("--id", "id_", default="", help="The change's own; asked twice with one, it is done once.")


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@where
@WHY
@ID
@WAIT
def propose(
    file: str, at: str | None, toml: str | None, as_json: bool, why: str, id_: str, wait: float
) -> None:
    """Has all servers decide by FILE, or none."""
    policy = read(file)
    id = id_ or f"{Path(file).stem[:24]}-{secrets.token_hex(4)}"
    bring(at, toml, id, ["propose", policy, getpass.getuser()[:64], why[:300]], wait, as_json)


@group.command()
@click.argument("version", type=click.IntRange(0))
@where
@WHY
@ID
@WAIT
def back(
    version: int, at: str | None, toml: str | None, as_json: bool, why: str, id_: str, wait: float
) -> None:
    """A new version that says what VERSION said."""
    policy = from_leader(at, toml, "policy_text", [version])
    id = id_ or f"back-{version}-{secrets.token_hex(4)}"
    bring(at, toml, id, ["propose", policy, getpass.getuser()[:64], why[:300]], wait, as_json)


@group.command()
@click.argument("id_", metavar="ID")
@where
@WHY
@WAIT
def withdraw(id_: str, at: str | None, toml: str | None, as_json: bool, why: str, wait: float) -> None:
    """Ends a change that has not been taken yet; one that nobody proposed can't be proposed any more."""
    bring(at, toml, id_, ["withdraw", getpass.getuser()[:64], why[:300]], wait, as_json)


@group.command()
@click.argument("name")
@where
@WAIT
def gone(name: str, at: str | None, toml: str | None, as_json: bool, wait: float) -> None:
    """Your word that NAME's process has ended: changes wait for it no more. False, it breaks all or none."""
    bring(at, toml, f"gone {name} {secrets.token_hex(4)}", ["gone", name], wait, as_json)


@group.command()
@where
@click.option("--like", required=True, help="IPv4 address:port of a server that decides.")
def trust(at: str | None, toml: str | None, as_json: bool, like: str) -> None:
    """Your word that what the server at --like decides by is in force: no leader is left to say so."""
    to = server(like, None)
    try:
        found = call_operator_rpc(to, "policy_status", [])
        if not found["decides"]:
            raise Told(f"{like}: it does not decide itself: {found['why_not']}")
        policy = call_operator_rpc(to, "policy_text", [found["version"]])
    except OperatorRpcError as err:
        raise Told(f"{like}: {err}") from err
    asked(at, toml, "policy_trust", [found["version"], policy])
    if as_json:
        say({"version": found["version"]})
    else:
        click.echo(f"it decides by version {found['version']} now")


@group.command()
@where
@click.option("--add", default="", help="A server that has a journal.")
@click.option("--remove", default="", help="One that is gone for good; add another first.")
@WAIT
def voters(at: str | None, toml: str | None, as_json: bool, add: str, remove: str, wait: float) -> None:
    """Who agrees; one at a time is added or removed."""
    if not add and not remove:
        found = asked(at, toml, "policy_status")
        show({"voters": ", ".join(found["voters"]), "leader": found["leader"]}, as_json)
    elif add and remove:
        raise Told("one of --add and --remove at a time")
    else:
        what = ["voters", "add" if add else "remove", add or remove]
        bring(at, toml, f"voters {add or remove} {secrets.token_hex(4)}", what, wait, as_json)


@group.command()
@click.argument("id_", metavar="ID", required=False)
@where
def status(id_: str | None, at: str | None, toml: str | None, as_json: bool) -> None:
    """By what a server decides; with ID, what became of a change."""
    if id_ is None:
        show(asked(at, toml, "policy_status"), as_json)
        return
    asked(at, toml, "policy_do", [id_, "find"])
    end = time.monotonic() + 2.0
    while True:
        found = asked(at, toml, "policy_known", [id_])
        if found["end"] != "unknown" or time.monotonic() > end:
            break
        time.sleep(LOOK)
    if as_json:
        say(found)
    else:
        click.echo(f"{id_}: {told(found)}")


@group.command()
@where
def history(at: str | None, toml: str | None, as_json: bool) -> None:
    """All changes that the voters keep, the newest last."""
    rows = from_leader(at, toml, "policy_history", [])
    if as_json:
        say(rows)
        return
    for row in rows:
        row["at"] = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at"] / 1000.0))
    table(rows, ("at", "id", "end", "version", "who", "why", "said"))


@group.command(name="show")
@click.argument("version", type=click.IntRange(0))
@where
def show_(version: int, at: str | None, toml: str | None, as_json: bool) -> None:
    """What VERSION says, beside the settings of each start."""
    figures = flatten_policy(from_leader(at, toml, "policy_text", [version]))
    if as_json:
        say(figures)
        return
    for key, value in sorted(figures.items()):
        click.echo(f"{key} = {value:g}")


@group.command()
@click.argument("old", type=click.IntRange(0))
@click.argument("new", type=click.IntRange(0))
@where
def diff(old: int, new: int, at: str | None, toml: str | None, as_json: bool) -> None:
    """A line a key that two versions say otherwise; "-" is as in the settings of the start."""
    a, b = (from_leader(at, toml, "policy_text", [v]) for v in (old, new))
    lines = describe_differences(a, b, lambda value: "-" if value is None else NUMBER(value))
    if as_json:
        say(lines)
        return
    for line in lines:
        click.echo(line)


@group.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files: tuple[str, ...]) -> None:
    """Says what no build could read in FILES; names of methods are checked by the servers."""
    for path in files:
        click.echo(f"{path}: ok: {len(flatten_policy(read(path)))} figures")
