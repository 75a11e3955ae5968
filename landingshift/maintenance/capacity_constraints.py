"""Capacity constraints: limits on the capacity out of service at once, for the whole fleet and by group.

All unavailable capacity counts against one budget: machines under maintenance, the cold part of machines that
are warming up, and machines lost without a plan. A violated constraint stops new permits; a machine that has
already drained is not recalled.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from msgspec import Struct

CAPACITY_TOLERANCE = 1e-9
"""Tolerance for rounding errors in sums of capacities."""


class MachineFacts(Struct, array_like=True, frozen=True):
    """Facts of a machine that the replicated state keeps for a leader without a report of it.

    Stored as an array, so the order of the fields is fixed.
    """

    capacity: float
    zone: str
    model: str
    serves_critical_methods: bool


@dataclass(slots=True, frozen=True)
class Machine:
    """A server as the constraints see it. `capacity` is in RPCs per second, like the demand."""

    name: str
    capacity: float
    zone: str = ""
    model: str = ""
    serves_critical_methods: bool = False
    is_voter: bool = False

    @property
    def facts(self) -> MachineFacts:
        """The facts of this machine that the replicated state keeps."""
        return MachineFacts(self.capacity, self.zone, self.model, self.serves_critical_methods)


@dataclass(slots=True, frozen=True)
class DisruptionBudget:
    """Minimum capacity that must stay in service.

    Attributes:
        headroom_ratio: Required excess of the fleet's capacity over the demand, as a fraction of the demand.
        min_zone_fraction: Minimum fraction of each zone's capacity.
        min_model_fraction: Minimum fraction of each machine model's capacity.
        min_critical_fraction: Minimum fraction of the capacity that serves critical methods.
    """

    headroom_ratio: float = 0.1
    min_zone_fraction: float = 0.5
    min_model_fraction: float = 0.5
    min_critical_fraction: float = 0.7


@dataclass(slots=True, frozen=True)
class CapacityLimit:
    """One constraint: a set of machines and the minimum capacity of the set that must stay in service."""

    name: str
    members: frozenset[str]
    min_capacity: float


def min_voters_in_service(voter_count: int) -> int:
    """Returns how many voters must stay in service: a majority plus one, so that one crash keeps the quorum.

    Of two or three voters none may drain; a single voter is not protected.
    """
    if voter_count > 3:
        return voter_count // 2 + 2
    return voter_count if voter_count > 1 else 0


class CapacityConstraints:
    """All capacity limits at a given demand.

    Attributes:
        machines: All machines by name.
        fleet_limit: Limit on all machines, which depends on the demand.
        group_limits: Limits on zones, models and critical methods, which do not depend on the demand.
        limits: `fleet_limit`, then `group_limits`.
        voters: Names of the voters of the consensus group.
        min_voters: Number of voters that must stay in service.
    """

    def __init__(self, machines: Iterable[Machine], budget: DisruptionBudget, demand: float) -> None:
        """Builds the limits.

        Args:
            machines: All machines of the fleet.
            budget: Minimum capacity that must stay in service.
            demand: Load that the fleet must be able to serve, in RPCs per second.
        """
        self.machines = {machine.name: machine for machine in machines}
        fleet = list(self.machines.values())
        self.fleet_limit = CapacityLimit(
            "the whole", frozenset(self.machines), demand * (1.0 + budget.headroom_ratio)
        )
        self.group_limits = [
            *_limits_by(fleet, "zone", budget.min_zone_fraction),
            *_limits_by(fleet, "model", budget.min_model_fraction),
        ]
        critical = [machine for machine in fleet if machine.serves_critical_methods]
        if critical:
            limit = _group_limit("the best methods", critical, budget.min_critical_fraction)
            self.group_limits.append(limit)
        self.limits = [self.fleet_limit, *self.group_limits]
        self.voters = frozenset(machine.name for machine in fleet if machine.is_voter)
        self.min_voters = min_voters_in_service(len(self.voters))

    def capacity(self, unavailable: Mapping[str, float], members: Iterable[str]) -> float:
        """Returns the capacity of `members` in service, in RPCs per second.

        Args:
            unavailable: Unavailable fraction of each machine, by name; 0 for machines not listed.
            members: Names of the machines to sum over.
        """
        return sum(self.machines[name].capacity * (1.0 - unavailable.get(name, 0.0)) for name in members)

    def violation(self, unavailable: Mapping[str, float]) -> str:
        """Returns a description of the first violated constraint, for operators; empty if all hold."""
        return self._first_violation(self.limits, unavailable)

    def permanent_violation(self, name: str) -> str:
        """Returns which constraint forbids this machine to drain even with all others in service, or "".

        The limit of the whole fleet is left out because it depends on the demand, which may fall.
        """
        return self._first_violation(self.group_limits, {name: 1.0})

    def margins(self, unavailable: Mapping[str, float]) -> list[float]:
        """Returns the capacity above the minimum for each limit, in the order of `limits`."""
        return [self.capacity(unavailable, limit.members) - limit.min_capacity for limit in self.limits]

    def margins_without(
        self, margins: Sequence[float], unavailable: Mapping[str, float], names: Sequence[str]
    ) -> list[float] | None:
        """Returns the margins once `names` have drained too; None if a constraint would be violated.

        Args:
            margins: Margins before, as `margins(unavailable)` returns them.
            unavailable: Unavailable fraction of each machine before, by name.
            names: Names of the machines to drain.
        """
        remaining = list(margins)
        for name in names:
            removed = self.machines[name].capacity * (1.0 - unavailable.get(name, 0.0))
            for index, limit in enumerate(self.limits):
                if name not in limit.members:
                    continue
                remaining[index] -= removed
                if remaining[index] < -CAPACITY_TOLERANCE:
                    return None
        if self.voters.isdisjoint(names):
            return remaining
        voters = self._voters_in_service(unavailable, names)
        return remaining if voters >= self.min_voters else None

    def fleet_margin(self, unavailable: Mapping[str, float]) -> float:
        """Returns the capacity that could drain now under the limit of the whole fleet, in RPCs a second."""
        return self.margins(unavailable)[0]

    def _first_violation(self, limits: Iterable[CapacityLimit], unavailable: Mapping[str, float]) -> str:
        for limit in limits:
            available = self.capacity(unavailable, limit.members)
            if available < limit.min_capacity - CAPACITY_TOLERANCE:
                return f"{limit.name}: {available:.6g} of {limit.min_capacity:.6g}"
        voters = self._voters_in_service(unavailable, ())
        if voters < self.min_voters:
            return f"voters: {voters} of {self.min_voters}"
        return ""

    def _voters_in_service(self, unavailable: Mapping[str, float], leaving: Sequence[str]) -> int:
        return sum(1 for voter in self.voters if unavailable.get(voter, 0.0) < 1.0 and voter not in leaving)


def _limits_by(fleet: list[Machine], attribute: str, min_fraction: float) -> list[CapacityLimit]:
    """Returns a limit for each non-empty value of `attribute` ("zone" or "model"), sorted by value."""
    values = {getattr(machine, attribute) for machine in fleet} - {""}
    return [
        _group_limit(
            f"{attribute} {value}",
            [machine for machine in fleet if getattr(machine, attribute) == value],
            min_fraction,
        )
        for value in sorted(values)
    ]


def _group_limit(name: str, members: list[Machine], min_fraction: float) -> CapacityLimit:
    min_capacity = min_fraction * sum(machine.capacity for machine in members)
    return CapacityLimit(name, frozenset(machine.name for machine in members), min_capacity)
