"""Selects the next machines to drain: a greedy selection within the capacity constraints.

Guarantee: no selected machine violates a constraint, and the priority of a request grows while it waits, so
that it eventually comes first. Limitation: since machines are indivisible, a greedy selection may need more
rounds for the last machines than the best order does (`schedule_bounds` compares the two).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil

from landingshift.maintenance.capacity_constraints import CAPACITY_TOLERANCE, CapacityConstraints
from landingshift.maintenance.requests import MaintenanceRequest, RequestState, unavailable_fractions

MS_PER_MINUTE = 60_000.0
MAX_SELECTED_COUNT = 1000
EQUAL_PRIORITY_RATIO = 0.999
"""Requests whose priority is at least this fraction of the highest priority count as equal to it."""


def priority(request: MaintenanceRequest, now_ms: float, warm_up_minutes: float) -> float:
    """Returns the priority of a request; it grows with urgency and waiting time and falls with the duration.

    Args:
        request: The request.
        now_ms: Current Unix time in ms; earlier than the request if the wall clock was set back.
        warm_up_minutes: Time from a restart until the machine is warm.
    """
    waited_minutes = max(0.0, now_ms - request.requested_at_ms) / MS_PER_MINUTE + 1.0
    return request.urgency * waited_minutes / (request.duration_minutes + warm_up_minutes)


def select_next(
    requests: Mapping[str, MaintenanceRequest],
    constraints: CapacityConstraints,
    lost: Mapping[str, float],
    now_ms: float,
    warm_up_minutes: float = 1.0,
) -> list[str]:
    """Returns the machines that may drain now, in order; none while a constraint is violated.

    The machines of a group drain together or not at all. An exclusive request is selected only while no
    machine is out of service; once it has the highest priority, no other request is selected before it.

    Args:
        requests: All requests by machine name.
        constraints: Capacity that must stay in service.
        lost: Fraction of each machine that is unavailable without a plan, by name.
        now_ms: Current Unix time in ms.
        warm_up_minutes: Time from a restart until a machine is warm.
    """
    unavailable = unavailable_fractions(requests.values(), lost)
    if constraints.violation(unavailable):
        return []
    if any(_is_exclusively_unavailable(request) for request in requests.values()):
        return []
    eligible = [
        request
        for request in requests.values()
        if request.state is RequestState.REQUESTED
        and request.not_before_ms <= now_ms < request.not_after_ms
        and request.name not in lost
        and request.name in constraints.machines
    ]
    priorities = {request.name: priority(request, now_ms, warm_up_minutes) for request in eligible}
    return _GreedySelection(eligible, priorities, constraints, unavailable).run()


def _is_exclusively_unavailable(request: MaintenanceRequest) -> bool:
    return request.is_exclusive and request.unavailable_fraction() > 0.0


class _GreedySelection:
    """One run of the greedy selection.

    Attributes:
        queue: Requests not considered yet, highest priority first.
        selected: Names of the machines selected so far.
        unavailable: Unavailable fraction of each machine, by name, once the selected machines have drained.
        margins: Capacity above each limit's minimum at that point.
    """

    def __init__(
        self,
        eligible: list[MaintenanceRequest],
        priorities: dict[str, float],
        constraints: CapacityConstraints,
        unavailable: dict[str, float],
    ) -> None:
        self.constraints = constraints
        self.priorities = priorities
        self.queue = sorted(eligible, key=lambda request: (-priorities[request.name], request.name))
        self.selected: list[str] = []
        self.unavailable = unavailable
        self.margins = constraints.margins(unavailable)
        self.rounds = rounds_needed([request.name for request in eligible], constraints)
        self.zone_counts: dict[str, int] = {}
        """Number of machines out of service, by zone."""
        self._count_zones(name for name in unavailable if name in constraints.machines)

    def run(self) -> list[str]:
        """Selects machines until no other one fits, and returns their names."""
        while self.queue and len(self.selected) < MAX_SELECTED_COUNT:
            if not self._fits_smallest():
                break
            first = self._next_candidate()
            group = self._pop_group(first)
            if first.is_exclusive and (self.unavailable or self.selected):
                if self._has_highest_priority(first):
                    break  # the other requests wait, so that the exclusive one is not starved
                continue
            if self._admit([request.name for request in group]) and first.is_exclusive:
                break
        return self.selected

    def _fits_smallest(self) -> bool:
        smallest = min(self.constraints.machines[request.name].capacity for request in self.queue)
        return self.margins[0] >= smallest - CAPACITY_TOLERANCE

    def _next_candidate(self) -> MaintenanceRequest:
        """Returns the next request among those of the highest priority.

        Ties go to the machine whose tightest limit needs the most rounds, since that limit determines when
        all work ends, then to the zone with the fewest machines out of service.
        """
        min_priority = EQUAL_PRIORITY_RATIO * self.priorities[self.queue[0].name]
        equals = [request for request in self.queue if self.priorities[request.name] >= min_priority]
        return min(equals, key=self._tie_break)

    def _tie_break(self, request: MaintenanceRequest) -> tuple[float, int, str]:
        zone = self.constraints.machines[request.name].zone
        return -self.rounds[request.name], self.zone_counts.get(zone, 0), request.name

    def _pop_group(self, first: MaintenanceRequest) -> list[MaintenanceRequest]:
        self.queue.remove(first)
        if not first.group:
            return [first]
        members = [request for request in self.queue if request.group == first.group]
        self.queue = [request for request in self.queue if request.group != first.group]
        return [first, *members]

    def _has_highest_priority(self, candidate: MaintenanceRequest) -> bool:
        next_priority = max((self.priorities[request.name] for request in self.queue), default=0.0)
        return self.priorities[candidate.name] >= next_priority

    def _admit(self, names: list[str]) -> bool:
        margins = self.constraints.margins_without(self.margins, self.unavailable, names)
        if margins is None:
            return False
        self.margins = margins
        self.unavailable = self.unavailable | dict.fromkeys(names, 1.0)
        self.selected += names
        self._count_zones(names)
        return True

    def _count_zones(self, names: Iterable[str]) -> None:
        for name in names:
            zone = self.constraints.machines[name].zone
            self.zone_counts[zone] = self.zone_counts.get(zone, 0) + 1


def rounds_needed(names: list[str], constraints: CapacityConstraints) -> dict[str, float]:
    """Returns, for each machine, how many rounds its tightest limit needs for all of `names`.

    The limit of the whole fleet is left out because its slack varies with the demand.
    """
    rounds = dict.fromkeys(names, 0.0)
    for limit in constraints.group_limits:
        members = [name for name in names if name in limit.members]
        slack = constraints.capacity({}, limit.members) - limit.min_capacity
        if members and slack > 0.0:
            rounds_exact = sum(constraints.machines[name].capacity for name in members) / slack
            for name in members:
                rounds[name] = max(rounds[name], float(ceil(rounds_exact - CAPACITY_TOLERANCE)))
    max_voters_out = len(constraints.voters) - constraints.min_voters
    if max_voters_out:
        voters = [name for name in names if name in constraints.voters]
        for name in voters:
            rounds[name] = max(rounds[name], float(ceil(len(voters) / max_voters_out)))
    return rounds


def rejection_reason(
    request: MaintenanceRequest,
    constraints: CapacityConstraints,
    now_ms: float,
    is_known: bool = False,
    is_fleet_complete: bool = True,
) -> str:
    """Returns why a request can never be granted, for its rejection; empty if it may be granted later.

    Args:
        request: A request without a permit.
        constraints: Capacity that must stay in service.
        now_ms: Current Unix time in ms.
        is_known: Whether membership knows the machine, even if it does not report at present.
        is_fleet_complete: Whether no machine is missing. While a zone is down, the group limits are not
            evidence that a request can never be granted.
    """
    if now_ms >= request.not_after_ms:
        return "its time is over"
    if request.name not in constraints.machines:
        return "" if is_known else "there is no such machine"
    return constraints.permanent_violation(request.name) if is_fleet_complete else ""


def permits_to_withhold(
    requests: Mapping[str, MaintenanceRequest],
    constraints: CapacityConstraints,
    lost: Mapping[str, float],
) -> list[str]:
    """Returns the machines whose unused permits must be withheld for all constraints to hold, newest first.

    A machine that is already draining is not stopped.
    """
    unavailable = unavailable_fractions(requests.values(), lost)
    withheld: list[str] = []
    permitted = [request for request in requests.values() if request.state is RequestState.PERMITTED]
    for request in sorted(permitted, key=lambda request: -request.permit_number):
        if not constraints.violation(unavailable):
            break
        unavailable.pop(request.name, None)
        withheld.append(request.name)
    return withheld


def dry_run(
    requests: Mapping[str, MaintenanceRequest],
    constraints: CapacityConstraints,
    lost: Mapping[str, float],
    warm_up_minutes: float,
) -> tuple[list[tuple[str, float, float]], float]:
    """Simulates the selection of all waiting requests at the demand of `constraints`.

    Returns:
        A tuple (name, minute at which it drains, minute at which it is warm again) for each request, and the
        lowest capacity in service at any time.
    """
    waiting = {
        name: replace(request, not_before_ms=0.0)
        for name, request in requests.items()
        if request.state is RequestState.REQUESTED
    }
    warm_at = {
        name: request.duration_minutes + warm_up_minutes
        for name, request in requests.items()
        if request.unavailable_fraction() > 0.0
    }
    fleet = constraints.fleet_limit.members
    steps: list[tuple[str, float, float]] = []
    minute = 0.0
    min_capacity = constraints.capacity(dict(lost) | dict.fromkeys(warm_at, 1.0), fleet)
    while waiting:
        unavailable = dict(lost) | dict.fromkeys(warm_at, 1.0)
        oldest_ms = min(request.requested_at_ms for request in waiting.values())
        for name in select_next(waiting, constraints, unavailable, oldest_ms, warm_up_minutes):
            end_minute = minute + waiting.pop(name).duration_minutes + warm_up_minutes
            steps.append((name, minute, end_minute))
            warm_at[name] = end_minute
        capacity = constraints.capacity(dict(lost) | dict.fromkeys(warm_at, 1.0), fleet)
        min_capacity = min(min_capacity, capacity)
        if not warm_at or not waiting:
            break
        minute = min(warm_at.values())
        warm_at = {name: end for name, end in warm_at.items() if end > minute}
    return steps, min_capacity
