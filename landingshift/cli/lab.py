"""`landingshift lab ...`: fault experiments for the subsystems.

An experiment runs cases under faults, checks the requirements of each case, and prints one row per case. A
scenario, called "day" in options and output, is a random or saved sequence of faults in a fleet. A defence is
a mechanism against one kind of fault. To check that an experiment detects violations, run it with one of its
defences disabled.
"""

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
SHRUNK_SUFFIX = ".small.json"

Command = Callable[..., None]


@dataclass(frozen=True, slots=True)
class ExperimentOptions:
    """Options that all experiments have in common.

    Attributes:
        seed: Seed of all random draws.
        json_path: Path of the JSON file for all results; None to write no file.
        removed_defence: Name of the defence to disable; None to disable none.
        only_case: Name of the only case to run; None for all cases.
    """

    seed: int
    json_path: str | None
    removed_defence: str | None
    only_case: str | None


def experiment_options(defences: list[str]) -> Callable[[Command], Command]:
    """Adds the options common to all experiments to a command, which receives them as `options`.

    Args:
        defences: Names of the defences that `--break` accepts.
    """

    def decorate(command: Command) -> Command:
        """Adds the options to `command`."""

        @wraps(command)
        def call_with_options(
            seed: int,
            json_path: str | None,
            removed_defence: str | None,
            only_case: str | None,
            **others: Any,
        ) -> None:
            """Calls the command with the four options combined into `ExperimentOptions`."""
            options = ExperimentOptions(seed, json_path, removed_defence, only_case)
            command(options=options, **others)

        seed_option = click.option(
            "--seed", type=int, default=1, show_default=True, help="Seed of all random draws."
        )
        json_option = click.option(
            "--json",
            "json_path",
            type=click.Path(dir_okay=False),
            help="Write all results to this JSON file.",
        )
        break_option = click.option(
            "--break", "removed_defence", type=click.Choice(defences), help="Disable this defence."
        )
        only_option = click.option("--only", "only_case", help="Run only the case with this name.")
        return seed_option(json_option(break_option(only_option(call_with_options))))

    return decorate


def server_count_option(max_count: int) -> Callable[[Command], Command]:
    """Adds the option `--servers`, the number of real server processes, which may be at most `max_count`."""
    return click.option(
        "--servers",
        "server_count",
        type=click.IntRange(0, max_count),
        default=0,
        show_default=True,
        help="Number of real server processes; 0 to run only in virtual time.",
    )


class InvalidScenarioError(click.UsageError):
    """A file contains no valid scenario, or one that violates no requirement and so can't be shrunk.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


@click.group()
def group() -> None:
    """Run fault experiments. Exits with status 1 if a requirement is violated."""


@group.command()
@click.option(
    "--repeats",
    type=click.IntRange(1, 100_000),
    default=50,
    show_default=True,
    help="Runs of the main case; the other cases run less often.",
)
@click.option(
    "--kills",
    type=click.IntRange(0, 10_000),
    default=5,
    show_default=True,
    help="Runs in which a real server process is killed.",
)
@experiment_options(["cursor", "identity", "chain", "disputed", "batch"])
def ledger(repeats: int, kills: int, options: ExperimentOptions) -> None:
    """Check that billing totals stay correct when receivers, exporters, disks and servers fail."""
    from landingshift.testbed.experiments.ledger import experiment

    rows = experiment(repeats, kills, options.seed, options.removed_defence, options.only_case)
    print_rows(rows, options.json_path)


@group.command()
@click.option(
    "--repeats",
    type=click.IntRange(1, 100_000),
    default=5,
    show_default=True,
    help="Runs of each case in virtual time.",
)
@server_count_option(400)
@experiment_options(["quiet", "booking", "shares"])
@click.option(
    "--plot",
    type=click.Path(dir_okay=False),
    help="Plot the starts of real processes over time to this image file.",
)
def coldstart(repeats: int, server_count: int, options: ExperimentOptions, plot: str | None) -> None:
    """Check that a fleet starting all at once does not overload service discovery and the database."""
    from landingshift.testbed.experiments.cold_start import experiment

    rows = experiment(repeats, options.seed, server_count, options.removed_defence, options.only_case)
    print_rows(rows, options.json_path, plot)


@group.command()
@click.option(
    "--repeats",
    type=click.IntRange(1, 100_000),
    default=5,
    show_default=True,
    help="Runs of each case in virtual time.",
)
@click.option(
    "--histories",
    type=click.IntRange(1, 10_000_000),
    default=200,
    show_default=True,
    help="Number of random histories to play.",
)
@server_count_option(400)
@experiment_options(["lease", "ask", "sure", "arm", "disk"])
def policy(repeats: int, histories: int, server_count: int, options: ExperimentOptions) -> None:
    """Check that, under faults, a policy change takes effect on all servers or on none."""
    from landingshift.testbed.experiments.policies import experiment

    removed_defence = options.removed_defence or ""
    rows = experiment(repeats, options.seed, server_count, removed_defence, options.only_case, histories)
    print_rows(rows, options.json_path)


@group.command()
@click.option(
    "--repeats", type=click.IntRange(1, 1_000_000), default=20, show_default=True, help="Runs of each case."
)
@server_count_option(100)
@experiment_options(["floor", "end"])
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot the simulated day to this image file.")
def upkeep(repeats: int, server_count: int, options: ExperimentOptions, plot: str | None) -> None:
    """Check that, under faults, maintenance never takes the fleet's capacity below its floor."""
    from landingshift.testbed.experiments.maintenance import experiment

    removed_defence = options.removed_defence or ""
    rows = experiment(repeats, options.seed, server_count, removed_defence, options.only_case)
    print_rows(_plot_simulated_day(rows, plot), options.json_path)


def _plot_simulated_day(rows: Iterable[ExperimentRow], plot_path: str | None) -> Iterator[ExperimentRow]:
    """Yields all rows, and plots the simulated day of each row that has one."""
    from landingshift.testbed.experiments.plots import plot_maintenance_day

    for row in rows:
        if plot_path and "day" in row.series:
            plot_maintenance_day(row.series["day"], plot_path)
        yield row


@group.command()
@click.option(
    "--days",
    type=click.IntRange(1, 10_000_000),
    default=400,
    show_default=True,
    help="Maximum number of scenarios in virtual time.",
)
@click.option(
    "--minutes",
    type=click.FloatRange(0.05, 10_000.0),
    default=10_000.0,
    help="Virtual time: minutes after which no new round of scenarios starts. "
    f"Real processes: duration of each run, at most {MAX_REAL_MINUTES:g}.",
)
@click.option(
    "--repeats", type=click.IntRange(1, 1000), default=1, help="Number of runs with real processes."
)
@click.option(
    "--keep",
    "corpus_path",
    type=click.Path(file_okay=False),
    help="Save failing scenarios, shrunk, to this folder.",
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
    """Run all packages together under random faults, in virtual time or with real processes."""
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
        _run_virtual_scenarios(days, minutes, options, corpus_path)


def _run_virtual_scenarios(
    days: int, minutes: float, options: ExperimentOptions, corpus_path: str | None
) -> None:
    """Plays random scenarios, saves the results and prints them.

    The results are saved first because `print_rows` ends the command if a requirement was violated.
    """
    from landingshift.testbed.experiments import chance_faults
    from landingshift.testbed.verification import corpus

    for row, run in chance_faults.experiment(days, options.seed, minutes=minutes):
        if options.json_path:
            corpus.save_report(options.json_path, row, run)
        shrunk_failures = row.series["smallest"]
        if corpus_path:
            for path in corpus.add_scenarios(corpus_path, [failure["day"] for failure in shrunk_failures]):
                click.echo(f"kept   {path}")
        for failure in shrunk_failures:
            click.echo("\n".join(["", f"{failure['promise']}:", *failure["told"]]))
        print_rows([row], None)


def read_scenario(path: str) -> Scenario:
    """Reads a scenario from a file.

    Raises:
        InvalidScenarioError: The file contains no valid scenario.
    """
    from landingshift.testbed.experiments.scenarios import decode_scenario

    try:
        return decode_scenario(Path(path).read_bytes())
    except ValueError as err:
        raise InvalidScenarioError(path, str(err)) from err


@group.command()
@click.argument("day", type=click.Path(exists=True, dir_okay=False))
@click.option("--log", is_flag=True, help="Also print the history, one event per line.")
@click.option("--break", "removed_defence", default="", help="Disable this defence.")
def replay(day: str, log: bool, removed_defence: str) -> None:
    """Replay the scenario in the file DAY and list the violated requirements."""
    from landingshift.testbed.experiments import scenarios
    from landingshift.testbed.simulation.cluster import OVERLAP_MS, SimulatedCluster
    from landingshift.testbed.verification import invariants

    scenario = read_scenario(day)
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
@click.option(
    "--plays",
    type=click.IntRange(1, 100_000),
    default=400,
    show_default=True,
    help="Maximum number of smaller scenarios to try.",
)
@click.option("--break", "removed_defence", default="", help="Disable this defence.")
def reduce(day: str, plays: int, removed_defence: str) -> None:
    """Shrink the failing scenario in the file DAY and save the result to a file beside it."""
    from landingshift.testbed.experiments import scenarios
    from landingshift.testbed.experiments.chance_faults import shrink_failure

    shrunk, invariant, play_count = shrink_failure(read_scenario(day), removed_defence, plays)
    if not invariant:
        raise InvalidScenarioError(day, "all promises hold on it")
    shrunk_path = Path(day).with_suffix(SHRUNK_SUFFIX)
    shrunk_path.write_bytes(scenarios.encode_scenario(shrunk))
    heading = f"{invariant}, after {play_count} plays, in {shrunk_path}:"
    click.echo("\n".join([heading, *scenarios.describe_scenario(shrunk)]))


@group.command()
@click.argument("found", type=click.Path(exists=True, dir_okay=False))
@click.argument("page", type=click.Path(dir_okay=False))
def report(found: str, page: str) -> None:
    """Render the results in FOUND, written by `lab fleet --json`, as the HTML file PAGE."""
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
    """Prints one line per row as soon as its case has finished, then writes the requested files.

    Exits with `EXIT_FAILED` if a requirement was violated.

    Args:
        rows: Rows of the experiment.
        json_path: Path of the JSON file for all rows; None to write no file.
        plot_path: Path of an image file for a plot of the rows' time series; None to plot nothing.
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
