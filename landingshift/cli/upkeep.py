"""`landingshift upkeep ...`: requests maintenance of machines and shows its progress."""

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
"""Maximum time, in ms, by which the leader's wall clock may be behind the one of this machine."""
STATUS_KEYS = ("held", "waits_for", "machines", "demand", "room", "lost")
REQUEST_COLUMNS = ("name", "stage", "number", "minutes", "urgency", "out", "why")


class NoMachinesNamedError(CommandError):
    """Neither names nor options select any machine."""

    def __init__(self) -> None:
        super().__init__("no machine selected: give names, --zone or --all")


@click.group()
def group() -> None:
    """Plan maintenance of machines. Exits with status 1 if a server does not answer or a request failed."""


def print_status(status: dict[str, Any]) -> None:
    """Prints the answer to the operator call `upkeep_status` as text."""
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
@click.option("--zone", help="Request all live machines of this zone.")
@click.option("--all", "every", is_flag=True, help="Request all live machines.")
@click.option(
    "--minutes",
    type=click.FloatRange(0.01, 1e5),
    required=True,
    help="Expected duration of the work on each machine, in minutes.",
)
@click.option(
    "--urgency",
    type=click.FloatRange(0.01, 100.0),
    default=1.0,
    show_default=True,
    help="Weight of the waiting time in the order of requests.",
)
@click.option(
    "--after",
    type=click.FloatRange(0.0),
    default=0.0,
    help="Minutes from now before which no permit is issued.",
)
@click.option(
    "--within",
    type=click.FloatRange(0.0),
    default=0.0,
    help="Minutes from now after which a request without a permit is rejected; 0 for no limit.",
)
@click.option("--alone", is_flag=True, help="Let no other machine be out of service at the same time.")
@click.option("--together", default="", help="Name of a group whose machines drain together or not at all.")
@click.option(
    "--wait",
    type=click.FloatRange(0.0, 86_400.0),
    default=0.0,
    help="Seconds to wait for the end of the requests; 0 does not wait.",
)
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
    """Request maintenance of machines. The leader decides when each machine may drain."""
    selected = list(names)
    if zone or every:
        selected += _live_members(client, zone, every)
    if not selected:
        raise NoMachinesNamedError
    now_ms = time.time() * 1000.0
    not_before_ms = now_ms + after * MS_PER_MINUTE if after else 0.0
    not_after_ms = now_ms + within * MS_PER_MINUTE if within else float("inf")
    rows = [
        [name, minutes, urgency, not_before_ms, not_after_ms, alone, together]
        for name in dict.fromkeys(selected)
    ]
    count = client.call_leader("upkeep_ask", rows)
    if wait:
        _follow_requests(client, set(selected), wait, as_json)
    elif as_json:
        print_json({"asked": count})
    else:
        click.echo(f"{count} are asked for")


def _live_members(client: OperatorClient, zone: str | None, every: bool) -> list[str]:
    """Returns the names of the live members, in all zones if `every` is set, otherwise in `zone`."""
    members = client.call("members")
    return [
        member["name"]
        for member in members
        if member["state"] == "alive" and (every or member["zone"] == zone)
    ]


def _follow_requests(client: OperatorClient, names: set[str], wait_seconds: float, as_json: bool) -> None:
    """Shows the progress of requests until all have ended or the time is up, then prints how they ended.

    Exits with `EXIT_FAILED` unless all requests were completed.
    """
    oldest_ms = time.time() * 1000.0 - MAX_CLOCK_OFFSET_MS
    _wait_until_ended(client, names, wait_seconds, is_shown=not as_json)
    history = client.call_leader("upkeep_history")
    ended = [row for row in history if row["name"] in names and row["since"] >= oldest_ms]
    if as_json:
        print_json(ended)
    else:
        _print_failures(ended)
    completed = {row["name"] for row in ended if row["end"] == RequestState.COMPLETED.value}
    if completed != names:
        raise SystemExit(EXIT_FAILED)


def _wait_until_ended(client: OperatorClient, names: set[str], wait_seconds: float, is_shown: bool) -> None:
    deadline = time.monotonic() + wait_seconds
    line = ProgressLine(is_shown)
    while True:
        status = client.call_leader("upkeep_status")
        states = {row["name"]: row["stage"] for row in status["wishes"] if row["name"] in names}
        line.show(_describe_progress(len(names), states))
        if not states or time.monotonic() > deadline:
            return
        time.sleep(POLL_INTERVAL_SECONDS)


def _describe_progress(count: int, states: dict[str, str]) -> str:
    in_progress = [
        f"{name} {state}" for name, state in sorted(states.items()) if state != RequestState.REQUESTED.value
    ]
    return f"{count - len(states)} of {count} over, " + ", ".join(in_progress)


def _print_failures(ended: Iterable[dict[str, Any]]) -> None:
    for row in ended:
        if row["end"] != RequestState.COMPLETED.value:
            click.echo(f"{row['name']}: {row['end']}: {row['why']}")


@group.command()
@server_options
def status(client: OperatorClient, as_json: bool) -> None:
    """Show the open requests with their states, and why no permit is issued."""
    status = client.call_leader("upkeep_status")
    if as_json:
        print_json(status)
    else:
        print_status(status)


@group.command()
@server_options
def plan(client: OperatorClient, as_json: bool) -> None:
    """Show when each machine would drain at the expected demand, without issuing permits."""
    schedule = client.call_leader("upkeep_plan")
    if as_json:
        print_json(schedule)
        return
    rows = [{"name": name, "from_min": start, "to_min": end} for name, start, end in schedule["steps"]]
    if rows:
        print_table(rows, ("name", "from_min", "to_min"))
    click.echo(f"least capacity {schedule['least_capacity']:g}, floor {schedule['floor']:g}")


@group.command()
@click.argument("names", nargs=-1, required=True)
@server_options
@click.option("--why", default="", help="Reason, stored in the history.")
def cancel(names: tuple[str, ...], client: OperatorClient, as_json: bool, why: str) -> None:
    """Cancel the requests of machines that have no permit yet.

    For a machine that has a permit but does not drain yet, run `hold` first. Its request can be cancelled
    after the permit has expired.
    """
    count = client.call_leader("upkeep_cancel", [why, *names])
    if as_json:
        print_json({"cancelled": count})
    else:
        click.echo(f"{count} of {len(names)} cancelled")
    if count < len(names):
        raise SystemExit(EXIT_FAILED)


@group.command()
@server_options
@click.option("--why", required=True, help="Reason, shown by `status`.")
def hold(client: OperatorClient, as_json: bool, why: str) -> None:
    """Stop issuing permits. Machines that are out of service still return."""
    client.call_leader("upkeep_hold", [why])
    if as_json:
        print_json({"held": why})
    else:
        click.echo("held")


@group.command()
@server_options
def resume(client: OperatorClient, as_json: bool) -> None:
    """Issue permits again after `hold`."""
    client.call_leader("upkeep_hold", [""])
    if as_json:
        print_json({"held": ""})
    else:
        click.echo("goes on")


@group.command()
@server_options
def history(client: OperatorClient, as_json: bool) -> None:
    """List the requests that have ended, the latest last."""
    rows = client.call_leader("upkeep_history")
    if as_json:
        print_json(rows)
        return
    for row in rows:
        row["at"] = format_unix_ms(row["at"])
    print_table(rows, ("at", "name", "end", "number", "why"))
