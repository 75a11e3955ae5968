"""Bounds on a maintenance schedule: the exact number of rounds for a small fleet, lower bounds for any.

Only the testbed's experiments use this module, to evaluate the greedy selection; no server code calls it.
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
"""Largest number of machines for the exhaustive search."""
MAX_HORIZON_MS = 1e9
"""Time after the start at which the computation of a bound stops."""
IMPOSSIBLE = -1
"""Number of rounds returned for a fleet in which some machines can never drain."""


def exact_rounds(names: list[str], constraints: CapacityConstraints) -> int:
    """Returns the fewest rounds of equal length in which all machines can drain, by exhaustive search.

    Returns `IMPOSSIBLE` if some machines can never drain.

    Raises:
        TooManyMachinesError: There are more than `MAX_EXACT_COUNT` machines.
    """
    if len(names) > MAX_EXACT_COUNT:
        raise TooManyMachinesError(len(names))
    all_machines = (1 << len(names)) - 1
    allowed_sets = [
        sum(1 << index for index in indices)
        for size in range(1, len(names) + 1)
        for indices in combinations(range(len(names)), size)
        if not constraints.violation({names[index]: 1.0 for index in indices})
    ]
    reached = {0}
    rounds = 0
    while all_machines not in reached:
        added = {before | allowed for before in reached for allowed in allowed_sets} - reached
        if not added:
            return IMPOSSIBLE
        reached |= added
        rounds += 1
    return rounds


def greedy_rounds(names: list[str], constraints: CapacityConstraints) -> int:
    """Returns the number of rounds of the greedy selection; `IMPOSSIBLE` if some machines can never drain."""
    remaining = dict.fromkeys(names)
    rounds = 0
    while remaining:
        requests = {name: MaintenanceRequest(name, 1.0, 0.0) for name in remaining}
        selected = select_next(requests, constraints, {}, 0.0)
        if not selected:
            return IMPOSSIBLE
        for name in selected:
            del remaining[name]
        rounds += 1
    return rounds


def duration_lower_bound_ms(
    constraints_at: Callable[[float], CapacityConstraints],
    outage_ms: float,
    warm_up_ms: float,
    step_ms: float = MS_PER_MINUTE,
) -> float:
    """Returns a lower bound, in ms, on the time until all machines are done and warm again, in any order.

    The result is the larger of two bounds. The first treats capacity as divisible: the slack of each limit,
    integrated over time, must cover the outages of its machines, with half of each warm-up counted as outage.
    The second takes machines as indivisible: `rounds_lower_bound` rounds of outage, then one warm-up.

    Args:
        constraints_at: Function from the elapsed ms to the constraints at that time.
        outage_ms: Time that each machine is out of service.
        warm_up_ms: Time after the outage until a machine is warm.
        step_ms: Integration step.
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
    """Returns a lower bound on the rounds of any order in which machines are fully out of service.

    For each group limit, this is the number of its machines divided by how many of the smallest its slack
    allows out at once; likewise for the voters, of which `min_voters` stay. The largest quotient counts.
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
