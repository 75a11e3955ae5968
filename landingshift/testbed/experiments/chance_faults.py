"""Random fault scenarios for the whole cluster in virtual time, each checked on its history alone.

A scenario is a cluster and the faults that are injected into it. It can be played with one of the protocols'
defences disabled, to show that the invariants detect its absence.

Scenarios are drawn in rounds. After each round the overlaps of faults are counted, and the next round prefers
kinds of faults that have rarely overlapped. A failing scenario is shrunk until no fault can be removed from
it.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import Coverage, Scenario, describe_scenario, draw_scenario
from landingshift.testbed.simulation.cluster import OVERLAP_MS, SimulatedCluster
from landingshift.testbed.simulation.removed_defences import INVARIANT_BY_REMOVED_DEFENCE
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, find_violations
from landingshift.testbed.verification.shrinking import Shrinker

ROUND_SCENARIO_COUNT = 400
"""Number of scenarios in a round."""
CHUNK_SCENARIO_COUNT = 10
"""Number of scenarios that a worker process plays per task."""
MAX_SHRUNK_COUNT = 8
"""Maximum number of failing scenarios that an experiment shrinks, in parallel."""
EXPERIMENT_PLAY_COUNT = 150
"""Maximum number of scenarios that an experiment plays to shrink each failing one."""
SHRINK_PLAY_COUNT = 400
"""Default maximum number of scenarios that `shrink_failure` plays."""
UNLIMITED_MINUTES = 1e9
COUNTED_EVENTS = ("read", "answer", "run", "killed", "starts", "drains", "left", "buried", "loan", "begins")
"""Events of the history whose occurrences are counted."""


@dataclass(slots=True)
class SearchResult:
    """Combined results of several scenarios.

    Attributes:
        scenario_count: Number of scenarios played.
        event_count: Number of simulated events.
        virtual_ms: Total virtual time.
        violations: Violations of each failing scenario, by its seed.
        failing: Failing scenarios by seed. A scenario that was drawn with preferred overlaps can't be drawn
            again from its seed alone.
        coverage: Counts of the faults that overlapped.
        counts: Number of occurrences of each of `COUNTED_EVENTS` and of each outcome of policy changes.
        recovery_ms: For each scenario, the time from the end of its last fault until the cluster had
            recovered.
    """

    scenario_count: int = 0
    event_count: int = 0
    virtual_ms: float = 0.0
    violations: dict[int, list[str]] = field(default_factory=dict)
    failing: dict[int, Scenario] = field(default_factory=dict)
    coverage: Coverage = field(default_factory=Coverage)
    counts: Counter[str] = field(default_factory=Counter)
    recovery_ms: list[float] = field(default_factory=list)

    def merge(self, other: SearchResult) -> None:
        """Adds the results of other scenarios."""
        self.scenario_count += other.scenario_count
        self.event_count += other.event_count
        self.virtual_ms += other.virtual_ms
        self.violations |= other.violations
        self.failing |= other.failing
        self.coverage.merge(other.coverage)
        self.counts.update(other.counts)
        self.recovery_ms += other.recovery_ms


def check_scenario(scenario: Scenario, removed_defence: str) -> list[str]:
    """Plays a scenario without `removed_defence` ("" for none) and returns its violations.

    A violation is a text of the form "invariant: description". An exception is reported as a violation named
    "crash".
    """
    try:
        return find_violations(
            SimulatedCluster(scenario, removed_defence).play(), OVERLAP_MS, CLUSTER_INVARIANTS
        )
    except Exception as err:  # an exception of the servers or of the simulation fails the scenario
        return [_crash_text(err)]


def invariant_names(violations: list[str]) -> list[str]:
    """Returns the name of the violated invariant for each violation."""
    return [text.partition(":")[0] for text in violations]


def shrink_failure(
    scenario: Scenario, removed_defence: str = "", plays: int = SHRINK_PLAY_COUNT
) -> tuple[Scenario, str, int]:
    """Shrinks a failing scenario.

    Args:
        scenario: The scenario that fails.
        removed_defence: Name of the defence that is disabled while scenarios are played; "" for none.
        plays: Maximum number of scenarios to play.

    Returns:
        The smallest scenario found that violates the first violated invariant of `scenario`, the name of that
        invariant, and the number of scenarios played. If `scenario` violates no invariant, it is returned
        unchanged with the name "".
    """
    violated = invariant_names(check_scenario(scenario, removed_defence))
    if not violated:
        return scenario, "", 1

    def still_fails(smaller: Scenario) -> bool:
        return violated[0] in invariant_names(check_scenario(smaller, removed_defence))

    shrinker = Shrinker(scenario, still_fails, plays)
    return shrinker.run(), violated[0], shrinker.play_count


def run_rounds(
    scenario_count: int, seed: int, removed_defence: str = "", is_steered: bool = True
) -> Iterator[SearchResult]:
    """Plays random scenarios in parallel and yields the combined results so far after each round.

    Args:
        scenario_count: Number of scenarios.
        seed: Seed of the first scenario; the others have the seeds that follow it.
        removed_defence: Name of the defence that is disabled; "" for none.
        is_steered: Whether rounds after the first one prefer kinds of faults that have rarely overlapped.
    """
    total = SearchResult()
    pair_counts = None
    with ProcessPoolExecutor() as pool:
        for first in range(seed, seed + scenario_count, ROUND_SCENARIO_COUNT):
            seeds = list(range(first, min(seed + scenario_count, first + ROUND_SCENARIO_COUNT)))
            chunks = [
                seeds[start : start + CHUNK_SCENARIO_COUNT]
                for start in range(0, len(seeds), CHUNK_SCENARIO_COUNT)
            ]
            play_chunk = partial(_play_chunk, removed_defence=removed_defence, pair_counts=pair_counts)
            for result in pool.map(play_chunk, chunks):
                total.merge(result)
            yield total
            pair_counts = total.coverage.pair_counts() if is_steered else None


def _play_chunk(
    seeds: list[int], removed_defence: str, pair_counts: dict[tuple[str, str], int] | None
) -> SearchResult:
    total = SearchResult()
    for seed in seeds:
        scenario = draw_scenario(seed, pair_counts)
        try:
            total.merge(_play(scenario, removed_defence))
        except Exception as err:  # an exception of the servers or of the simulation fails this scenario only
            violations = {seed: [_crash_text(err)]}
            total.merge(SearchResult(scenario_count=1, violations=violations, failing={seed: scenario}))
    return total


def _play(scenario: Scenario, removed_defence: str) -> SearchResult:
    result = SearchResult(scenario_count=1)
    cluster = SimulatedCluster(scenario, removed_defence, result.coverage)
    history = cluster.play()
    violations = find_violations(history, OVERLAP_MS, CLUSTER_INVARIANTS)
    if violations:
        result.violations[scenario.seed] = violations
        result.failing[scenario.seed] = scenario
    result.event_count = cluster.network.event_count
    result.virtual_ms = cluster.network.now_ms
    result.counts.update(event for _, event, *_ in history if event in COUNTED_EVENTS)
    result.counts.update({f"change {entry[4]}" for entry in history if entry[1] == "end"})
    quiet_at_ms = next(entry[0] for entry in history if entry[1] == "quiet")
    result.recovery_ms.append(cluster.network.now_ms - quiet_at_ms)
    return result


def _crash_text(err: Exception) -> str:
    return f"crash: {type(err).__name__}: {err}"


def experiment(
    scenario_count: int,
    seed: int,
    removed_defence: str = "",
    minutes: float = UNLIMITED_MINUTES,
    plays: int = EXPERIMENT_PLAY_COUNT,
) -> Iterator[tuple[ExperimentRow, SearchResult]]:
    """Plays random scenarios, and shrinks up to `MAX_SHRUNK_COUNT` of those that fail.

    Args:
        scenario_count: Maximum number of scenarios.
        seed: Seed of the first scenario; the others have the seeds that follow it.
        removed_defence: Name of the defence that is disabled; "" for none. If one is, no further round begins
            after a failure, and one failing scenario is shrunk.
        minutes: Time after which no further round begins.
        plays: Maximum number of scenarios to play for shrinking one.

    Yields:
        A single pair: the row, whose series contains the shrunk scenarios, and the combined results.
    """
    row = ExperimentRow("days")
    began = time.monotonic()
    total = SearchResult()
    for total in run_rounds(scenario_count, seed, removed_defence):
        _add_figures(row, total, began)
        if time.monotonic() - began > minutes * 60.0 or (removed_defence and total.violations):
            break
    row.violations = [f"seed {seed}: {texts[0]}" for seed, texts in sorted(total.violations.items())]
    failure_count = 1 if removed_defence else MAX_SHRUNK_COUNT
    failing = [total.failing[seed] for seed in sorted(total.violations)[:failure_count]]
    row.series["smallest"] = _shrink_failures(failing, removed_defence, plays)
    yield row, total


def _shrink_failures(failing: list[Scenario], removed_defence: str, plays: int) -> list[dict[str, Any]]:
    """Shrinks scenarios in parallel and returns a dict for each, as used by `--json` and the report."""
    with ProcessPoolExecutor() as pool:
        shrink = partial(shrink_failure, removed_defence=removed_defence, plays=plays)
        shrunk = pool.map(shrink, failing)
        return [
            {
                "seed": original.seed,
                "promise": invariant,
                "plays": play_count,
                "told": describe_scenario(scenario),
                "day": scenario,
            }
            for original, (scenario, invariant, play_count) in zip(failing, shrunk, strict=True)
        ]


def _add_figures(row: ExperimentRow, total: SearchResult, began: float) -> None:
    recovery_ms = sorted(total.recovery_ms)
    millions = total.event_count / 1e6
    row.runs = total.scenario_count
    row.figures |= {
        "events_millions": round(millions, 2),
        "events_millions_a_minute": round(millions / (time.monotonic() - began) * 60.0, 2),
        "virtual_hours": round(total.virtual_ms / 3.6e6, 2),
        "pairs_unmet": len(total.coverage.unmet_pairs()),
        "stages_met": len(total.coverage.stage_counts()),
        "rest_s_median": round(recovery_ms[len(recovery_ms) // 2] / 1000.0, 1) if recovery_ms else 0.0,
        "rest_s_worst": round(recovery_ms[-1] / 1000.0, 1) if recovery_ms else 0.0,
        **total.counts,
    }


def find_without_defence(removed_defence: str, max_count: int, seed: int) -> ExperimentRow:
    """Plays random scenarios without a defence until one violates the invariant that the defence ensures.

    The row has the number of the first violating scenario, counted from 1, and the fraction of violating
    scenarios. If none of `max_count` scenarios violates the invariant, the row has a violation.
    """
    row = ExperimentRow(f"without {removed_defence}")
    invariant = INVARIANT_BY_REMOVED_DEFENCE[removed_defence]
    for total in run_rounds(max_count, seed, removed_defence, is_steered=False):
        row.runs = total.scenario_count
        violations = sorted(total.violations.items())
        seeds = [failing for failing, texts in violations if invariant in invariant_names(texts)]
        if seeds:
            row.figures["found_at"] = seeds[0] - seed + 1
            row.figures["found_of"] = f"{len(seeds)} of {total.scenario_count}"
            return row
    row.violations.append(
        f"{invariant} was never violated without {removed_defence} in {max_count} scenarios"
    )
    return row
