"""`landingshift lab ...`: experiments that bring about the failures a subsystem is meant for."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import click

from landingshift.lab.rows import Row

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
    from landingshift.lab.ledger import experiment

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
    from landingshift.lab.coldstart import experiment

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
    from landingshift.lab.policy import experiment

    show(experiment(repeats, seed, servers, broken or "", only, histories), file)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 1_000_000), default=20, show_default=True)
@processes(100)
@common(["floor", "end"])
def upkeep(
    repeats: int, servers: int, seed: int, file: str | None, broken: str | None, only: str | None
) -> None:
    """Machines go out for work within what the floor leaves, whatever fails meanwhile."""
    from landingshift.lab.upkeep import experiment

    show(experiment(repeats, seed, servers, broken or "", only), file)


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
        from landingshift.lab.plots import starts

        starts(runs, plot)
    if not all(row.holds for row in rows):
        raise SystemExit(BROKEN)
