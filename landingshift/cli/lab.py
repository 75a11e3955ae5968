"""`landingshift lab ...`: experiments that bring about the failures a subsystem is meant for."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import wraps
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from landingshift.cli.errors import EXIT_FAILED
from landingshift.testbed.experiments.rows import ExperimentRow

if TYPE_CHECKING:
    from landingshift.testbed.experiments.scenarios import Scenario

MAX_REAL_MINUTES = 600.0
MAX_SHOWN_VIOLATIONS = 3
SMALLER_SUFFIX = ".small.json"

Command = Callable[..., None]


@dataclass(frozen=True, slots=True)
class ExperimentOptions:
    """What all experiments can be told.

    Attributes:
        seed: Seed of all random draws.
        json_path: The file that gets all figures.
        removed_defence: The defence that is taken away, to see that the experiment notices; None for none.
        only_case: The one case to run; None for all.
    """

    seed: int
    json_path: str | None
    removed_defence: str | None
    only_case: str | None


def experiment_options(defences: list[str]) -> Callable[[Command], Command]:
    """Adds the options of all experiments; the command gets `options`.

    Args:
        defences: Names that `--break` takes.
    """

    def decorate(command: Command) -> Command:
        """Adds the options to one command."""

        @wraps(command)
        def run(
            seed: int,
            json_path: str | None,
            removed_defence: str | None,
            only_case: str | None,
            **others: Any,
        ) -> None:
            """Calls the command with the four options as one value."""
            options = ExperimentOptions(seed, json_path, removed_defence, only_case)
            command(options=options, **others)

        seed_option = click.option("--seed", type=int, default=1, show_default=True)
        json_option = click.option(
            "--json", "json_path", type=click.Path(dir_okay=False), help="All figures, to this file."
        )
        break_option = click.option("--break", "removed_defence", type=click.Choice(defences))
        only_option = click.option("--only", "only_case", help="One case by its name.")
        return seed_option(json_option(break_option(only_option(run))))

    return decorate


def server_count_option(max_count: int) -> Callable[[Command], Command]:
    """Adds the number of real processes in those rows that take some."""
    return click.option(
        "--servers",
        "server_count",
        type=click.IntRange(0, max_count),
        default=0,
        show_default=True,
        help="Real processes; 0: virtual only.",
    )


class InvalidDayError(click.UsageError):
    """A file that holds no day, or none that can be made smaller.

    Attributes:
        path: The file.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


@click.group()
def group() -> None:
    """Experiments; exit status 1 where a promise did not hold."""


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=50, show_default=True)
@click.option(
    "--kills", type=click.IntRange(0, 10_000), default=5, show_default=True, help="Runs with a kill."
)
@experiment_options(["cursor", "identity", "chain", "disputed", "batch"])
def ledger(repeats: int, kills: int, options: ExperimentOptions) -> None:
    """Totals stay equal through failing receivers, exporters, disks and kills of the server."""
    from landingshift.testbed.experiments.ledger import experiment

    rows = experiment(repeats, kills, options.seed, options.removed_defence, options.only_case)
    print_rows(rows, options.json_path)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=5, show_default=True)
@server_count_option(400)
@experiment_options(["quiet", "booking", "shares"])
@click.option("--plot", type=click.Path(dir_okay=False), help="Real starts by second, to this picture.")
def coldstart(repeats: int, server_count: int, options: ExperimentOptions, plot: str | None) -> None:
    """A fleet that comes up together spares list service and store, whatever fails meanwhile."""
    from landingshift.testbed.experiments.cold_start import experiment

    rows = experiment(repeats, options.seed, server_count, options.removed_defence, options.only_case)
    print_rows(rows, options.json_path, plot)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 100_000), default=5, show_default=True)
@click.option("--histories", type=click.IntRange(1, 10_000_000), default=200, show_default=True)
@server_count_option(400)
@experiment_options(["lease", "ask", "sure", "arm", "disk"])
def policy(repeats: int, histories: int, server_count: int, options: ExperimentOptions) -> None:
    """A change of policy takes hold everywhere or nowhere, whatever fails meanwhile."""
    from landingshift.testbed.experiments.policies import experiment

    removed_defence = options.removed_defence or ""
    rows = experiment(repeats, options.seed, server_count, removed_defence, options.only_case, histories)
    print_rows(rows, options.json_path)


@group.command()
@click.option("--repeats", type=click.IntRange(1, 1_000_000), default=20, show_default=True)
@server_count_option(100)
@experiment_options(["floor", "end"])
@click.option("--plot", type=click.Path(dir_okay=False), help="The simulated day, to this picture.")
def upkeep(repeats: int, server_count: int, options: ExperimentOptions, plot: str | None) -> None:
    """Machines go out for work within what the floor leaves, whatever fails meanwhile."""
    from landingshift.testbed.experiments.maintenance import experiment

    removed_defence = options.removed_defence or ""
    rows = experiment(repeats, options.seed, server_count, removed_defence, options.only_case)
    print_rows(_with_day_plotted(rows, plot), options.json_path)


def _with_day_plotted(rows: Iterable[ExperimentRow], plot_path: str | None) -> Iterator[ExperimentRow]:
    """Passes rows on, and plots those that have a simulated day."""
    from landingshift.testbed.experiments.plots import plot_maintenance_day

    for row in rows:
        if plot_path and "day" in row.series:
            plot_maintenance_day(row.series["day"], plot_path)
        yield row


@group.command()
@click.option("--days", type=click.IntRange(1, 10_000_000), default=400, show_default=True)
@click.option("--minutes", type=click.FloatRange(0.05, 10_000.0), default=10_000.0, help="At most so long.")
@click.option("--repeats", type=click.IntRange(1, 1000), default=1, help="Real runs.")
@click.option(
    "--keep",
    "corpus_path",
    type=click.Path(file_okay=False),
    help="Failing days, made smaller, to this folder.",
)
@server_count_option(200)
@experiment_options(
    ["lease", "ask", "sure", "arm", "quiet", "booking", "end", "floor", "due", "grace", "suspect"]
)
def fleet(
    days: int,
    minutes: float,
    repeats: int,
    corpus_path: str | None,
    server_count: int,
    options: ExperimentOptions,
) -> None:
    """All packages at once under faults drawn from the seed: virtual days, or real processes for minutes."""
    from landingshift.testbed.experiments import chance_faults

    if options.removed_defence:
        row = chance_faults.find_without_defence(options.removed_defence, days, options.seed)
        print_rows([row], options.json_path)
    elif server_count:
        from landingshift.testbed.experiments import chance_faults_real

        real_minutes = min(minutes, MAX_REAL_MINUTES)
        rows = chance_faults_real.play_real_scenarios(server_count, options.seed, real_minutes, repeats)
        print_rows(rows, options.json_path)
    else:
        _run_virtual_days(days, minutes, options, corpus_path)


def _run_virtual_days(days: int, minutes: float, options: ExperimentOptions, corpus_path: str | None) -> None:
    """Runs days until one breaks a promise; what is found so far is saved after each step."""
    from landingshift.testbed.experiments import chance_faults
    from landingshift.testbed.verification import corpus

    for row, run in chance_faults.experiment(days, options.seed, minutes=minutes):
        if options.json_path:
            corpus.save_report(options.json_path, row, run)
        smallest_failures = row.series["smallest"]
        if corpus_path:
            for path in corpus.add_scenarios(corpus_path, [failure["day"] for failure in smallest_failures]):
                click.echo(f"kept   {path}")
        for failure in smallest_failures:
            click.echo("\n".join(["", f"{failure['promise']}:", *failure["told"]]))
        print_rows([row], None)


def read_day(path: str) -> Scenario:
    """Returns the day in a file. Raises InvalidDayError for what is none."""
    from landingshift.testbed.experiments.scenarios import decode_scenario

    try:
        return decode_scenario(Path(path).read_bytes())
    except ValueError as err:
        raise InvalidDayError(path, str(err)) from err


@group.command()
@click.argument("day", type=click.Path(exists=True, dir_okay=False))
@click.option("--log", is_flag=True, help="All that happened, a line each.")
@click.option("--break", "removed_defence", default="", help="Without this defence.")
def replay(day: str, log: bool, removed_defence: str) -> None:
    """Plays a kept day again, and says what does not hold."""
    from landingshift.testbed.experiments import scenarios
    from landingshift.testbed.simulation.cluster import OVERLAP_MS, SimulatedCluster
    from landingshift.testbed.verification import invariants

    scenario = read_day(day)
    click.echo("\n".join(scenarios.describe_scenario(scenario)))
    history = SimulatedCluster(scenario, removed_defence).play()
    if log:
        for at_ms, *values in history:
            click.echo(f"{at_ms:10.1f}  {' '.join(str(value) for value in values)}")
    violations = invariants.find_violations(history, OVERLAP_MS, invariants.CLUSTER_INVARIANTS)
    click.echo("\n".join(violations) if violations else "all promises hold")
    raise SystemExit(EXIT_FAILED if violations else 0)


@group.command()
@click.argument("day", type=click.Path(exists=True, dir_okay=False))
@click.option("--plays", type=click.IntRange(1, 100_000), default=400, show_default=True)
@click.option("--break", "removed_defence", default="", help="Without this defence.")
def reduce(day: str, plays: int, removed_defence: str) -> None:
    """Makes a failing day smaller, into a file beside it."""
    from landingshift.testbed.experiments import scenarios
    from landingshift.testbed.experiments.chance_faults import shrink_failure

    smallest, promise, played_count = shrink_failure(read_day(day), removed_defence, plays)
    if not promise:
        raise InvalidDayError(day, "all promises hold on it")
    smallest_path = Path(day).with_suffix(SMALLER_SUFFIX)
    smallest_path.write_bytes(scenarios.encode_scenario(smallest))
    heading = f"{promise}, after {played_count} plays, in {smallest_path}:"
    click.echo("\n".join([heading, *scenarios.describe_scenario(smallest)]))


@group.command()
@click.argument("found", type=click.Path(exists=True, dir_okay=False))
@click.argument("page", type=click.Path(dir_okay=False))
def report(found: str, page: str) -> None:
    """One HTML page of what `lab fleet --json` wrote."""
    from landingshift.testbed.experiments import report as html_report
    from landingshift.testbed.verification import corpus

    try:
        run = corpus.load_report(found)
    except ValueError as err:
        raise click.UsageError(str(err)) from err
    html = html_report.render_page(run.figures, run.violations, run.smallest, run.coverage(), run.recovery_ms)
    Path(page).write_text(html)
    click.echo(page)


def print_rows(rows: Iterable[ExperimentRow], json_path: str | None, plot_path: str | None = None) -> None:
    """Writes a line a row as it is done.

    Ends with `EXIT_FAILED` where a promise did not hold.

    Args:
        rows: Rows of the experiment.
        json_path: The file that gets all figures.
        plot_path: The picture that gets the series of all rows.
    """
    finished: list[ExperimentRow] = []
    for row in rows:
        finished.append(row)
        outcome = "holds " if row.holds else "BROKEN"
        click.echo(f"{outcome}  {row.name:28} {row.runs:6} runs  {row.figures}")
        for violation in row.violations[:MAX_SHOWN_VIOLATIONS]:
            click.echo(f"        {violation}")
    if json_path:
        _save_rows(finished, json_path)
    series_by_row = {row.name: row.series for row in finished if row.series}
    if plot_path and series_by_row:
        from landingshift.testbed.experiments.plots import plot_starts

        plot_starts(series_by_row, plot_path)
    if not all(row.holds for row in finished):
        raise SystemExit(EXIT_FAILED)


def _save_rows(rows: list[ExperimentRow], path: str) -> None:
    import orjson

    data = orjson.dumps([row.to_json() for row in rows], option=orjson.OPT_INDENT_2)
    Path(path).write_bytes(data)
