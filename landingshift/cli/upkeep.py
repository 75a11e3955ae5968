"""`landingshift upkeep ...`: machines taken out for work, in an order that the servers settle."""

from __future__ import annotations

import time
from typing import Any

import click

from landingshift.cli.fleet import BROKEN, Told, asked, from_leader, table, where
from landingshift.cli.main import say


@click.group()
def group() -> None:
    """Work on machines; exit status 1 where nobody answers or something was not done."""


def show(found: dict[str, Any]) -> None:
    for key in ("held", "waits_for", "machines", "demand", "room", "lost"):
        if found.get(key):
            click.echo(f"{key:10} {found[key]}")
    if found["wishes"]:
        table(found["wishes"], ("name", "stage", "number", "minutes", "urgency", "out", "why"))
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
        rows = asked(at, toml, "members")
        chosen += [r["name"] for r in rows if r["state"] == "alive" and (every or r["zone"] == zone)]
    if not chosen:
        raise Told("names, --zone or --all are to say which")
    now = time.time() * 1000.0
    before = now + after * 60_000.0 if after else 0.0
    end = now + within * 60_000.0 if within else float("inf")
    rows = [[n, minutes, urgency, before, end, alone, together] for n in dict.fromkeys(chosen)]
    count = from_leader(at, toml, "upkeep_ask", rows)
    if not wait:
        say({"asked": count}) if as_json else click.echo(f"{count} are asked for")
        return
    follow(at, toml, set(chosen), wait, as_json)


def follow(at: str | None, toml: str | None, names: set[str], wait: float, as_json: bool) -> None:
    """Progress on a terminal until all have ended; status 1 where not all were done."""
    end, began, shown = time.monotonic() + wait, time.time() * 1000.0 - 5000.0, ""
    while True:
        found = from_leader(at, toml, "upkeep_status")
        left = {w["name"]: w["stage"] for w in found["wishes"] if w["name"] in names}
        text = f"{len(names) - len(left)} of {len(names)} over, " + ", ".join(
            f"{n} {s}" for n, s in sorted(left.items()) if s != "wished"
        )
        if text != shown and not as_json:
            click.echo(text, err=True)
            shown = text
        if not left or time.monotonic() > end:
            break
        time.sleep(0.5)
    rows = [r for r in from_leader(at, toml, "upkeep_history") if r["name"] in names and r["since"] >= began]
    done = {r["name"] for r in rows if r["end"] == "done"}
    if as_json:
        say(rows)
    for row in rows:
        if row["end"] != "done" and not as_json:
            click.echo(f"{row['name']}: {row['end']}: {row['why']}")
    if done != names:
        raise SystemExit(BROKEN)


@group.command()
@where
def status(at: str | None, toml: str | None, as_json: bool) -> None:
    """Who is wanted, how far each is, and what is waited for."""
    found = from_leader(at, toml, "upkeep_status")
    say(found) if as_json else show(found)


@group.command()
@where
def plan(at: str | None, toml: str | None, as_json: bool) -> None:
    """Dry run: who would go when at the demand of now, and the least capacity."""
    found = from_leader(at, toml, "upkeep_plan")
    if as_json:
        say(found)
        return
    rows = [{"name": n, "from_min": a, "to_min": b} for n, a, b in found["steps"]]
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
    say({"cancelled": count}) if as_json else click.echo(f"{count} of {len(names)} cancelled")
    if count < len(names):
        raise SystemExit(BROKEN)


@group.command()
@where
@click.option("--why", required=True, help="Shown in the status.")
def hold(at: str | None, toml: str | None, as_json: bool, why: str) -> None:
    """Nobody is let go from now on; who is out comes back."""
    from_leader(at, toml, "upkeep_hold", [why])
    say({"held": why}) if as_json else click.echo("held")


@group.command()
@where
def resume(at: str | None, toml: str | None, as_json: bool) -> None:
    """Goes on after a hold."""
    from_leader(at, toml, "upkeep_hold", [""])
    say({"held": ""}) if as_json else click.echo("goes on")


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
