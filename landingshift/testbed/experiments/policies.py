"""Policy change experiment in virtual time: cases, random histories, and a search of a small model.

Each case can run with one defence disabled. The cases that depend on the defence must then find a violation.
Cases with real processes are in `policies_real`.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from landingshift.testbed.experiments.policies_virtual_cases import LARGE_ROWS, VIRTUAL_ROWS
from landingshift.testbed.experiments.rows import ExperimentRow, play_real_rows
from landingshift.testbed.simulation.policy_change import PolicyChangeSimulation, run_random_history
from landingshift.testbed.verification.invariants import find_violations
from landingshift.testbed.verification.search_policy_change import PolicyChangeSearch

CHUNK_HISTORY_COUNT = 50
"""Number of histories that a worker process plays per task."""
LARGE_ROW_FRACTION = 10
"""Number of runs of another case for each run of a large one."""
SEARCH_DEPTH = 12
SEARCHED_STATES_PER_HISTORY = 100
DEFAULT_HISTORY_COUNT = 200


def check_simulation(row: ExperimentRow, simulation: PolicyChangeSimulation) -> None:
    """Checks a finished simulation.

    Requires that its history violates no invariant, and that at the end all servers are members and decide
    RPCs by the same version of the policy.
    """
    row.violations += find_violations(simulation.history, simulation.settings.overlap_ms)
    servers = simulation.servers.values()
    versions = {server.participant.version for server in servers}
    row.require(len(versions) == 1, f"servers have different versions at the end: {versions}")
    are_members = all(server.participant.is_member for server in servers)
    row.require(are_members, "not all servers are members at the end")
    are_deciding = all(server.participant.may_decide(server.clock_ms()) for server in servers)
    row.require(are_deciding, "not all servers decide RPCs at the end")


def play_histories(first_seed: int, count: int, removed_defence: str) -> ExperimentRow:
    """Plays and checks `count` random histories with faults, from consecutive seeds.

    The row counts the outcomes of their policy changes.
    """
    row = ExperimentRow("histories", runs=count)
    outcome_counts = {"taken": 0, "refused": 0, "withdrawn": 0}
    for seed in range(first_seed, first_seed + count):
        simulation = run_random_history(seed, removed_defence=removed_defence)
        history_row = ExperimentRow("history")
        check_simulation(history_row, simulation)
        row.violations += [f"seed {seed}: {text}" for text in history_row.violations]
        outcomes = {(entry[3], entry[4]) for entry in simulation.history if entry[1] == "end"}
        for _, outcome in outcomes:
            outcome_counts[outcome] += 1
    row.figures |= outcome_counts
    return row


def play_search(depth: int, max_states: int, removed_defence: str) -> ExperimentRow:
    """Explores the interleavings of a small model, up to a depth and a number of states.

    There is one search in which servers that are cut off keep serving, and one in which they stop.
    """
    row = ExperimentRow("search", figures={"depth": depth})
    for stands_aside in (False, True):
        search = PolicyChangeSearch(stands_aside, removed_defence).run(depth, max_states)
        row.runs += search.state_count
        row.figures["depth"] = min(row.figures["depth"], search.depth_reached)
        row.require(not search.violation, f"all_or_none: {search.violation}")
    return row


def play_virtual_row(name: str, runs: int, seed: int, removed_defence: str) -> ExperimentRow:
    """Runs a case in virtual time for consecutive seeds and checks each run.

    Args:
        name: Key of `VIRTUAL_ROWS`.
        runs: Number of runs; large cases run fewer times (see `LARGE_ROW_FRACTION`).
        seed: Seed of the first run.
        removed_defence: Name of the defence that is disabled; "" for none.
    """
    row = ExperimentRow(name)
    run_count = max(1, runs // LARGE_ROW_FRACTION) if name in LARGE_ROWS else runs
    for run_seed in range(seed, seed + run_count):
        check_simulation(row, VIRTUAL_ROWS[name](row, run_seed, removed_defence))
        row.runs += 1
    return row


def play_histories_in_parallel(count: int, seed: int, removed_defence: str) -> ExperimentRow:
    """Plays random histories with worker processes on all cores, and returns one row for all of them."""
    row = ExperimentRow("histories")
    starts = range(0, count, CHUNK_HISTORY_COUNT)
    seeds = [seed + start for start in starts]
    counts = [min(CHUNK_HISTORY_COUNT, count - start) for start in starts]
    with ProcessPoolExecutor() as pool:
        for part in pool.map(play_histories, seeds, counts, [removed_defence] * len(seeds)):
            row.runs += part.runs
            row.violations += part.violations
            for key, value in part.figures.items():
                row.figures[key] = row.figures.get(key, 0) + value
    return row


def experiment(
    repeats: int,
    seed: int,
    servers: int,
    removed_defence: str = "",
    only: str | None = None,
    history_count: int = DEFAULT_HISTORY_COUNT,
) -> Iterator[ExperimentRow]:
    """Runs all cases, or a single one, and yields the row of each when it is done.

    Args:
        repeats: Number of runs of each case.
        seed: Seed of the first run of each case.
        servers: Number of servers of the cases with real processes; 0 skips these cases.
        removed_defence: Name of the defence that is disabled in virtual time; "" for none.
        only: Name of the single case to run; None for all.
        history_count: Number of random histories.
    """
    if only in (None, "search"):
        yield play_search(SEARCH_DEPTH, SEARCHED_STATES_PER_HISTORY * history_count, removed_defence)
    if only in (None, "histories"):
        yield play_histories_in_parallel(history_count, seed, removed_defence)
    for name in VIRTUAL_ROWS:
        if only in (None, name):
            yield play_virtual_row(name, repeats, seed, removed_defence)
    if servers:
        from landingshift.testbed.experiments.policies_real import LONG, REAL

        yield from play_real_rows(REAL, LONG, only, servers, repeats, seed)
