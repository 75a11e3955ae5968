"""How good a schedule can be: the exact fewest rounds of a small fleet, and lower bounds for a large one.

Serves experiments of the testbed alone, to judge the greedy selection: nothing in a server calls it.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations
from math import ceil

from landingshift.maintenance.capacity_constraints import CAPACITY_TOLERANCE, CapacityConstraints
from landingshift.maintenance.errors import TooManyMachinesError
from landingshift.maintenance.planner import MS_PER_MINUTE, select_next
from landingshift.maintenance.requests import MaintenanceRequest

MAX_EXACT_COUNT = 8
"""Machines up to which all orders are gone through."""
MAX_HORIZON_MS = 1e9
"""How far ahead a bound is looked for."""
IMPOSSIBLE = -1
"""Rounds of a fleet of which some machines can never leave."""


def exact_rounds(names: list[str], constraints: CapacityConstraints) -> int:
    """Returns the fewest rounds of equal length in which all can leave, by exhaustive search.

    Raises:
        TooManyMachinesError: More than `MAX_EXACT_COUNT` machines.
    """
    if len(names) > MAX_EXACT_COUNT:
        raise TooManyMachinesError(len(names))
    everybody = (1 << len(names)) - 1
    allowed_sets = [
        sum(1 << index for index in indices)
        for size in range(1, len(names) + 1)
        for indices in combinations(range(len(names)), size)
        if not constraints.violation({names[index]: 1.0 for index in indices})
    ]
    reached = {0}
    rounds = 0
    while everybody not in reached:
        added = {before | allowed for before in reached for allowed in allowed_sets} - reached
        if not added:
            return IMPOSSIBLE
        reached |= added
        rounds += 1
    return rounds


def greedy_rounds(names: list[str], constraints: CapacityConstraints) -> int:
    """Returns the rounds that the greedy selection takes; `IMPOSSIBLE` where some can never leave."""
    remaining = dict.fromkeys(names)
    rounds = 0
    while remaining:
        requests = {name: MaintenanceRequest(name, 1.0, 0.0) for name in remaining}
        chosen = select_next(requests, constraints, {}, 0.0)
        if not chosen:
            return IMPOSSIBLE
        for name in chosen:
            del remaining[name]
        rounds += 1
    return rounds


def duration_lower_bound_ms(
    constraints_at: Callable[[float], CapacityConstraints],
    outage_ms: float,
    warm_up_ms: float,
    step_ms: float = MS_PER_MINUTE,
) -> float:
    """Returns ms before which no order can have all machines done and warm again.

    Two bounds, of which the larger counts. For each limit the slack adds up to what its machines need, taken
    for divisible and warming evenly; and taken whole, all need so many rounds, the last of which warms up.

    Args:
        constraints_at: The constraints after so many ms.
        outage_ms: For how long each machine is out of service.
        warm_up_ms: From then until it is warm.
        step_ms: Step by which the slack is added up.
    """
    at_start = constraints_at(0.0)
    mean_outage_ms = outage_ms + warm_up_ms / 2.0
    needed = [at_start.capacity({}, limit.members) * mean_outage_ms for limit in at_start.limits]
    elapsed_ms = 0.0
    while any(remaining > 0.0 for remaining in needed) and elapsed_ms < MAX_HORIZON_MS:
        margins = constraints_at(elapsed_ms).margins({})
        needed = [
            remaining - max(0.0, margin) * step_ms for remaining, margin in zip(needed, margins, strict=True)
        ]
        elapsed_ms += step_ms
    return max(elapsed_ms, rounds_lower_bound(at_start) * outage_ms + warm_up_ms)


def rounds_lower_bound(constraints: CapacityConstraints) -> int:
    """Returns the rounds that no order can do without, machines being out of service whole.

    Of each limit but the demand's: all its machines over as many as its slack holds of the smallest; and of
    the voters, who keep a majority and one to spare.
    """
    rounds = 0
    for limit in constraints.group_limits:
        slack = constraints.capacity({}, limit.members) - limit.min_capacity
        smallest = min(constraints.machines[name].capacity for name in limit.members)
        max_out = int(slack / smallest + CAPACITY_TOLERANCE)
        if max_out:
            rounds = max(rounds, ceil(len(limit.members) / max_out))
    voter_count = len(constraints.voters)
    if voter_count > constraints.min_voters:
        rounds = max(rounds, ceil(voter_count / (voter_count - constraints.min_voters)))
    return rounds
