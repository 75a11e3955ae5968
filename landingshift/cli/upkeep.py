"""`landingshift upkeep ...`: operators request maintenance of servers, and follow it."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

import click

from landingshift.cli.errors import EXIT_FAILED, CommandError
from landingshift.cli.operator_client import OperatorClient, server_options
from landingshift.cli.output import ProgressLine, format_unix_ms, print_json, print_table
from landingshift.maintenance.planner import MS_PER_MINUTE
from landingshift.maintenance.requests import RequestState

POLL_INTERVAL_SECONDS = 0.5
MAX_CLOCK_OFFSET_MS = 5000.0
"""By which the wall clock of the leader may be behind this one."""
STATUS_KEYS = ("held", "waits_for", "machines", "demand", "room", "lost")
REQUEST_COLUMNS = ("name", "stage", "number", "minutes", "urgency", "out", "why")


class NoMachinesNamedError(CommandError):
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
        print_table(status["wishes"], REQUEST_COLUMNS)
    else:
        click.echo("nobody is wanted for work")


@group.command()
@click.argument("names", nargs=-1)
@server_options
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
    client: OperatorClient,
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
        chosen += _members(client, zone, every)
    if not chosen:
        raise NoMachinesNamedError
    now_ms = time.time() * 1000.0
    not_before_ms = now_ms + after * MS_PER_MINUTE if after else 0.0
    not_after_ms = now_ms + within * MS_PER_MINUTE if within else float("inf")
    rows = [
        [name, minutes, urgency, not_before_ms, not_after_ms, alone, together]
        for name in dict.fromkeys(chosen)
    ]
    count = client.call_leader("upkeep_ask", rows)
    if wait:
        follow(client, set(chosen), wait, as_json)
    elif as_json:
        print_json({"asked": count})
    else:
        click.echo(f"{count} are asked for")


def _members(client: OperatorClient, zone: str | None, every: bool) -> list[str]:
    """Returns the names of the members that are alive, of one zone or all."""
    members = client.call("members")
    return [
        member["name"]
        for member in members
        if member["state"] == "alive" and (every or member["zone"] == zone)
    ]


def follow(client: OperatorClient, names: set[str], wait_seconds: float, as_json: bool) -> None:
    """Shows the progress on a terminal until all requests have ended; status 1 where not all were done."""
    began_ms = time.time() * 1000.0 - MAX_CLOCK_OFFSET_MS
    _wait_until_ended(client, names, wait_seconds, is_shown=not as_json)
    history = client.call_leader("upkeep_history")
    ended = [row for row in history if row["name"] in names and row["since"] >= began_ms]
    if as_json:
        print_json(ended)
    else:
        _show_failures(ended)
    completed = {row["name"] for row in ended if row["end"] == RequestState.COMPLETED.value}
    if completed != names:
        raise SystemExit(EXIT_FAILED)


def _wait_until_ended(client: OperatorClient, names: set[str], wait_seconds: float, is_shown: bool) -> None:
    end = time.monotonic() + wait_seconds
    line = ProgressLine(is_shown)
    while True:
        status = client.call_leader("upkeep_status")
        states = {row["name"]: row["stage"] for row in status["wishes"] if row["name"] in names}
        line.show(_progress(len(names), states))
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
@server_options
def status(client: OperatorClient, as_json: bool) -> None:
    """Who is wanted, how far each is, and what is waited for."""
    found = client.call_leader("upkeep_status")
    if as_json:
        print_json(found)
    else:
        show_status(found)


@group.command()
@server_options
def plan(client: OperatorClient, as_json: bool) -> None:
    """Dry run: who would go when at the demand of now, and the least capacity."""
    found = client.call_leader("upkeep_plan")
    if as_json:
        print_json(found)
        return
    rows = [{"name": name, "from_min": start, "to_min": end} for name, start, end in found["steps"]]
    if rows:
        print_table(rows, ("name", "from_min", "to_min"))
    click.echo(f"least capacity {found['least_capacity']:g}, floor {found['floor']:g}")


@group.command()
@click.argument("names", nargs=-1, required=True)
@server_options
@click.option("--why", default="", help="Kept in the history.")
def cancel(names: tuple[str, ...], client: OperatorClient, as_json: bool, why: str) -> None:
    """Takes wishes back that nobody has been permitted yet; hold comes first for the others."""
    count = client.call_leader("upkeep_cancel", [why, *names])
    if as_json:
        print_json({"cancelled": count})
    else:
        click.echo(f"{count} of {len(names)} cancelled")
    if count < len(names):
        raise SystemExit(EXIT_FAILED)


@group.command()
@server_options
@click.option("--why", required=True, help="Shown in the status.")
def hold(client: OperatorClient, as_json: bool, why: str) -> None:
    """Nobody is let go from now on; who is out comes back."""
    client.call_leader("upkeep_hold", [why])
    if as_json:
        print_json({"held": why})
    else:
        click.echo("held")


@group.command()
@server_options
def resume(client: OperatorClient, as_json: bool) -> None:
    """Goes on after a hold."""
    client.call_leader("upkeep_hold", [""])
    if as_json:
        print_json({"held": ""})
    else:
        click.echo("goes on")


@group.command()
@server_options
def history(client: OperatorClient, as_json: bool) -> None:
    """What became of earlier wishes."""
    rows = client.call_leader("upkeep_history")
    if as_json:
        print_json(rows)
        return
    for row in rows:
        row["at"] = format_unix_ms(row["at"])
    print_table(rows, ("at", "name", "end", "number", "why"))
