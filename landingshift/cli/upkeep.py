"""`landingshift upkeep ...`: operators request maintenance of servers, and follow it."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

import click

from landingshift.cli.fleet import BROKEN, Told, asked, from_leader, table, where
from landingshift.cli.main import say
from landingshift.maintenance.requests import RequestState

MS_PER_MINUTE = 60_000.0
POLL_INTERVAL_SECONDS = 0.5
MAX_CLOCK_OFFSET_MS = 5000.0
"""By which the wall clock of the leader may be behind this one."""
STATUS_KEYS = ("held", "waits_for", "machines", "demand", "room", "lost")
REQUEST_COLUMNS = ("name", "stage", "number", "minutes", "urgency", "out", "why")


class NoMachinesNamedError(Told):
    """A request names no machine."""

    def __init__(self) -> None:
        super().__init__("names, --zone or --all are to say which")


@click.group()
def group() -> None:
    """Work on machines; exit status 1 where nobody answers or something was not done."""


def show_status(status: dict[str, Any]) -> None:
    """Prints a status as text."""
    for key in STATUS_KEYS:
        if status.get(key):
            click.echo(f"{key:10} {status[key]}")
    if status["wishes"]:
        table(status["wishes"], REQUEST_COLUMNS)
    else:
        click.echo("nobody is wanted for work")


@group.command()
@click.argument("names", nargs=-1)
@where
@click.option("--zone", help="All machines of a zone.")
@click.option("--all", "every", is_flag=True, help="All machines that are there.")
@click.option(
    "--minutes", type=click.FloatRange(0.01, 1e5), required=True, help="That the work takes, about."
)
@click.option("--urgency", type=click.FloatRange(0.01, 100.0), default=1.0, show_default=True)
@click.option(
    "--after", type=click.FloatRange(0.0), default=0.0, help="Minutes from now before which none goes."
)
@click.option(
    "--within", type=click.FloatRange(0.0), default=0.0, help="Minutes from now; then it is refused."
)
@click.option("--alone", is_flag=True, help="Nobody else may be out meanwhile.")
@click.option("--together", default="", help="A word: those with the same one go together or not at all.")
@click.option("--wait", type=click.FloatRange(0.0, 86_400.0), default=0.0, help="Seconds, for their end.")
def ask(
    names: tuple[str, ...],
    at: str | None,
    toml: str | None,
    as_json: bool,
    zone: str | None,
    every: bool,
    minutes: float,
    urgency: float,
    after: float,
    within: float,
    alone: bool,
    together: str,
    wait: float,
) -> None:
    """Says that machines are wanted for work: when each goes, the servers settle."""
    chosen = list(names)
    if zone or every:
        chosen += _members(at, toml, zone, every)
    if not chosen:
        raise NoMachinesNamedError
    now_ms = time.time() * 1000.0
    not_before_ms = now_ms + after * MS_PER_MINUTE if after else 0.0
    not_after_ms = now_ms + within * MS_PER_MINUTE if within else float("inf")
    rows = [
        [name, minutes, urgency, not_before_ms, not_after_ms, alone, together]
        for name in dict.fromkeys(chosen)
    ]
    count = from_leader(at, toml, "upkeep_ask", rows)
    if wait:
        follow(at, toml, set(chosen), wait, as_json)
    elif as_json:
        say({"asked": count})
    else:
        click.echo(f"{count} are asked for")


def _members(at: str | None, toml: str | None, zone: str | None, every: bool) -> list[str]:
    """Returns the names of the members that are alive, of one zone or all."""
    members = asked(at, toml, "members")
    return [
        member["name"]
        for member in members
        if member["state"] == "alive" and (every or member["zone"] == zone)
    ]


def follow(at: str | None, toml: str | None, names: set[str], wait_seconds: float, as_json: bool) -> None:
    """Shows the progress on a terminal until all requests have ended; status 1 where not all were done."""
    began_ms = time.time() * 1000.0 - MAX_CLOCK_OFFSET_MS
    _wait_until_ended(at, toml, names, wait_seconds, is_shown=not as_json)
    history = from_leader(at, toml, "upkeep_history")
    ended = [row for row in history if row["name"] in names and row["since"] >= began_ms]
    if as_json:
        say(ended)
    else:
        _show_failures(ended)
    completed = {row["name"] for row in ended if row["end"] == RequestState.COMPLETED.value}
    if completed != names:
        raise SystemExit(BROKEN)


def _wait_until_ended(
    at: str | None, toml: str | None, names: set[str], wait_seconds: float, is_shown: bool
) -> None:
    end = time.monotonic() + wait_seconds
    shown = ""
    while True:
        status = from_leader(at, toml, "upkeep_status")
        states = {row["name"]: row["stage"] for row in status["wishes"] if row["name"] in names}
        progress = _progress(len(names), states)
        if is_shown and progress != shown:
            click.echo(progress, err=True)
            shown = progress
        if not states or time.monotonic() > end:
            return
        time.sleep(POLL_INTERVAL_SECONDS)


def _progress(count: int, states: dict[str, str]) -> str:
    under_way = [
        f"{name} {state}" for name, state in sorted(states.items()) if state != RequestState.REQUESTED.value
    ]
    return f"{count - len(states)} of {count} over, " + ", ".join(under_way)


def _show_failures(ended: Iterable[dict[str, Any]]) -> None:
    for row in ended:
        if row["end"] != RequestState.COMPLETED.value:
            click.echo(f"{row['name']}: {row['end']}: {row['why']}")


@group.command()
@where
def status(at: str | None, toml: str | None, as_json: bool) -> None:
    """Who is wanted, how far each is, and what is waited for."""
    found = from_leader(at, toml, "upkeep_status")
    if as_json:
        say(found)
    else:
        show_status(found)


@group.command()
@where
def plan(at: str | None, toml: str | None, as_json: bool) -> None:
    """Dry run: who would go when at the demand of now, and the least capacity."""
    found = from_leader(at, toml, "upkeep_plan")
    if as_json:
        say(found)
        return
    rows = [{"name": name, "from_min": start, "to_min": end} for name, start, end in found["steps"]]
    if rows:
        table(rows, ("name", "from_min", "to_min"))
    click.echo(f"least capacity {found['least_capacity']:g}, floor {found['floor']:g}")


@group.command()
@click.argument("names", nargs=-1, required=True)
@where
@click.option("--why", default="", help="Kept in the history.")
def cancel(names: tuple[str, ...], at: str | None, toml: str | None, as_json: bool, why: str) -> None:
    """Takes wishes back that nobody has been permitted yet; hold comes first for the others."""
    count = from_leader(at, toml, "upkeep_cancel", [why, *names])
    if as_json:
        say({"cancelled": count})
    else:
        click.echo(f"{count} of {len(names)} cancelled")
    if count < len(names):
        raise SystemExit(BROKEN)


@group.command()
@where
@click.option("--why", required=True, help="Shown in the status.")
def hold(at: str | None, toml: str | None, as_json: bool, why: str) -> None:
    """Nobody is let go from now on; who is out comes back."""
    from_leader(at, toml, "upkeep_hold", [why])
    if as_json:
        say({"held": why})
    else:
        click.echo("held")


@group.command()
@where
def resume(at: str | None, toml: str | None, as_json: bool) -> None:
    """Goes on after a hold."""
    from_leader(at, toml, "upkeep_hold", [""])
    if as_json:
        say({"held": ""})
    else:
        click.echo("goes on")


@group.command()
@where
def history(at: str | None, toml: str | None, as_json: bool) -> None:
    """What became of earlier wishes."""
    rows = from_leader(at, toml, "upkeep_history")
    if as_json:
        say(rows)
        return
    for row in rows:
        row["at"] = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at"] / 1000.0))
    table(rows, ("at", "name", "end", "number", "why"))
