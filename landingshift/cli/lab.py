"""`landingshift lab ...`: experiments that bring about the failures a subsystem is meant for."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import click

from landingshift.testbed.experiments.rows import Row

if TYPE_CHECKING:
    from landingshift.testbed.experiments.scenarios import Day

BROKEN = 1


Command = Callable[..., None]


def common(breaks: list[str]) -> Callable[[Command], Command]:
    """Options that all experiments have; `breaks`: the defences that one can take away."""

    def add(command: Command) -> Command:
        seed = click.option("--seed", type=int, default=1, show_default=True)
        file = click.option(
            "--json", "file", type=click.Path(dir_okay=False), help="All figures, to this file."
        )
        broken = click.option("--break", "broken", type=click.Choice(breaks))
        return seed(file(broken(click.option("--only", help="One case by its name.")(command))))

    return add


def processes(most: int) -> Callable[[Command], Command]:
    """How many real ones the rows that take some have."""
    kind, said = click.IntRange(0, most), "Real processes; 0: virtual only."
    return click.option("--servers", type=kind, default=0, show_default=True, help=said)


@click.group()
def group() -> None:
    """Experiments; exit status 1 where a promise did not hold."""


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=50, show_default=True)
@click.option(
    "--kills", type=click.IntRange(0, 10_000), default=5, show_default=True, help="Runs with a kill."
)
@common(["cursor", "identity", "chain", "disputed", "batch"])
def ledger(
    repeats: int, kills: int, seed: int, file: str | None, broken: str | None, only: str | None
) -> None:
    """Totals stay equal through failing receivers, exporters, disks and kills of the server."""
    from landingshift.testbed.experiments.ledger import experiment

    show(experiment(repeats, kills, seed, broken, only), file)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=5, show_default=True)
@processes(400)
@common(["quiet", "booking", "shares"])
@click.option("--plot", type=click.Path(dir_okay=False), help="Real starts by second, to this picture.")
def coldstart(
    repeats: int,
    servers: int,
    seed: int,
    file: str | None,
    broken: str | None,
    only: str | None,
    plot: str | None,
) -> None:
    """A fleet that comes up together spares list service and store, whatever fails meanwhile."""
    from landingshift.testbed.experiments.cold_start import experiment

    show(experiment(repeats, seed, servers, broken, only), file, plot)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=5, show_default=True)
@click.option("--histories", type=click.IntRange(1, 10_000_000), default=200, show_default=True)
@processes(400)
@common(["lease", "ask", "sure", "arm", "disk"])
def policy(
    repeats: int,
    histories: int,
    servers: int,
    seed: int,
    file: str | None,
    broken: str | None,
    only: str | None,
) -> None:
    """A change of policy takes hold everywhere or nowhere, whatever fails meanwhile."""
    from landingshift.testbed.experiments.policies import experiment

    show(experiment(repeats, seed, servers, broken or "", only, histories), file)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 1_000_000), default=20, show_default=True)
@processes(100)
@common(["floor", "end"])
@click.option("--plot", type=click.Path(dir_okay=False), help="The simulated day, to this picture.")
def upkeep(
    repeats: int,
    servers: int,
    seed: int,
    file: str | None,
    broken: str | None,
    only: str | None,
    plot: str | None,
) -> None:
    """Machines go out for work within what the floor leaves, whatever fails meanwhile."""
    from landingshift.testbed.experiments.maintenance import experiment
    from landingshift.testbed.experiments.plots import day

    def drawn() -> Iterator[Row]:
        for row in experiment(repeats, seed, servers, broken or "", only):
            if plot and "day" in row.series:
                day(row.series["day"], plot)
            yield row

    show(drawn(), file)


@group.command()
@click.option("--days", type=click.IntRange(1, 10_000_000), default=400, show_default=True)
@click.option("--minutes", type=click.FloatRange(0.05, 10_000.0), default=10_000.0, help="At most so long.")
@click.option("--repeats", type=click.IntRange(1, 1000), default=1, help="Real runs.")
@click.option("--keep", type=click.Path(file_okay=False), help="Failing days, made smaller, to this folder.")
@processes(200)
@common(["lease", "ask", "sure", "arm", "quiet", "booking", "end", "floor", "due", "grace", "suspect"])
def fleet(
    days: int,
    minutes: float,
    repeats: int,
    keep: str | None,
    servers: int,
    seed: int,
    file: str | None,
    broken: str | None,
    only: str | None,
) -> None:
    """All packages at once under faults drawn from the seed: virtual days, or real processes for minutes."""
    from landingshift.testbed.experiments import chance_faults as town
    from landingshift.testbed.verification import corpus as files

    if broken:
        show([town.without(broken, days, seed)], file)
        return
    if servers:
        from landingshift.testbed.experiments.chance_faults_real import many

        show(many(servers, seed, min(minutes, 600.0), repeats), file)
        return
    for row, whole in town.experiment(days, seed, minutes=minutes):
        if file:
            files.save(file, row, whole)
        if keep:
            for path in files.keep(keep, [one["day"] for one in row.series["smallest"]]):
                click.echo(f"kept   {path}")
        for one in row.series["smallest"]:
            click.echo("\n".join(["", f"{one['promise']}:", *one["told"]]))
        show([row], None)


def kept(path: str) -> Day:
    from landingshift.testbed.experiments.scenarios import read

    try:
        return read(Path(path).read_bytes())
    except ValueError as err:
        raise click.UsageError(f"{path}: {err}") from err


@group.command()
@click.argument("day", type=click.Path(exists=True, dir_okay=False))
@click.option("--log", is_flag=True, help="All that happened, a line each.")
@click.option("--break", "broken", help="Without this defence.")
def replay(day: str, log: bool, broken: str | None) -> None:
    """Plays a kept day again, and says what does not hold."""
    from landingshift.testbed.experiments import scenarios as days
    from landingshift.testbed.simulation.cluster import OVERLAP, Town
    from landingshift.testbed.verification.invariants import FLEET
    from landingshift.testbed.verification.invariants import broken as judged

    found = kept(day)
    click.echo("\n".join(days.told(found)))
    history = Town(found, broken or "").play()
    if log:
        for at, *rest in history:
            click.echo(f"{at:10.1f}  {' '.join(str(r) for r in rest)}")
    wrong = judged(history, OVERLAP, FLEET)
    click.echo("\n".join(wrong) if wrong else "all promises hold")
    raise SystemExit(BROKEN if wrong else 0)


@group.command()
@click.argument("day", type=click.Path(exists=True, dir_okay=False))
@click.option("--plays", type=click.IntRange(1, 100_000), default=400, show_default=True)
@click.option("--break", "broken", help="Without this defence.")
def reduce(day: str, plays: int, broken: str | None) -> None:
    """Makes a failing day smaller, into a file beside it."""
    from landingshift.testbed.experiments import scenarios as days
    from landingshift.testbed.experiments.chance_faults import smaller

    least, promise, played = smaller(kept(day), broken or "", plays)
    if not promise:
        raise click.UsageError(f"{day}: all promises hold on it")
    beside = Path(day).with_suffix(".small.json")
    beside.write_bytes(days.written(least))
    click.echo("\n".join([f"{promise}, after {played} plays, in {beside}:", *days.told(least)]))


@group.command()
@click.argument("found", type=click.Path(exists=True, dir_okay=False))
@click.argument("page", type=click.Path(dir_okay=False))
def report(found: str, page: str) -> None:
    """One HTML page of what `lab fleet --json` wrote."""
    from landingshift.testbed.experiments import report as html
    from landingshift.testbed.verification import corpus as keep

    try:
        run = keep.load(found)
    except ValueError as err:
        raise click.UsageError(str(err)) from err
    Path(page).write_text(html.page(run.figures, run.broken, run.smallest, run.seen(), run.rested))
    click.echo(page)


def show(found: Iterable[Row], file: str | None, plot: str | None = None) -> None:
    """A line a row as it is done; ends with status 1 where a promise did not hold."""
    rows = []
    for row in found:
        rows.append(row)
        click.echo(f"{'holds ' if row.holds else 'BROKEN'}  {row.name:28} {row.runs:6} runs  {row.figures}")
        for text in row.broken[:3]:
            click.echo(f"        {text}")
    if file:
        import orjson

        with open(file, "wb") as out:
            out.write(orjson.dumps([row.told() for row in rows], option=orjson.OPT_INDENT_2))
    runs = {row.name: row.series for row in rows if row.series}
    if plot and runs:
        from landingshift.testbed.experiments.plots import starts

        starts(runs, plot)
    if not all(row.holds for row in rows):
        raise SystemExit(BROKEN)
