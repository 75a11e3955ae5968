"""Capacity constraints: how much may be out of service at once, in all and by group.

Whatever does not serve counts against one budget: machines under maintenance, the cold part of those that
warm up, and those lost without a plan. Failure mode: a constraint that does not hold stops new permits; a
machine that already left is not called back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from msgspec import Struct

CAPACITY_TOLERANCE = 1e-9
"""Rounding that a sum of capacities may be off by."""


class MachineFacts(Struct, array_like=True, frozen=True):
    """What a new leader must know of a machine that it never heard. Stored as an array in this order."""

    capacity: float
    zone: str
    model: str
    serves_critical_methods: bool


@dataclass(slots=True, frozen=True)
class Machine:
    """A server as the constraints see it. `capacity` has the unit of the demand: RPCs a second."""

    name: str
    capacity: float
    zone: str = ""
    model: str = ""
    serves_critical_methods: bool = False
    is_voter: bool = False

    @property
    def facts(self) -> MachineFacts:
        """What is kept of it in the replicated state."""
        return MachineFacts(self.capacity, self.zone, self.model, self.serves_critical_methods)


@dataclass(slots=True, frozen=True)
class DisruptionBudget:
    """What must stay in service. `headroom_ratio`: part of the demand by which capacity must exceed it."""

    headroom_ratio: float = 0.1
    min_zone_fraction: float = 0.5
    min_model_fraction: float = 0.5
    min_critical_fraction: float = 0.7


@dataclass(slots=True, frozen=True)
class CapacityLimit:
    """One constraint: machines, and the capacity of them that must stay in service."""

    name: str
    members: frozenset[str]
    min_capacity: float


def min_voters_in_service(voter_count: int) -> int:
    """Returns how many voters must stay: a majority and one to spare, so that a crash costs no quorum.

    With two or three voters none can be spared; a single voter is not protected.
    """
    if voter_count > 3:
        return voter_count // 2 + 2
    return voter_count if voter_count > 1 else 0


class CapacityConstraints:
    """All limits that hold at one demand.

    Attributes:
        machines: All machines by name.
        fleet_limit: The limit of all machines, which follows the demand.
        group_limits: Limits of zones, models and critical methods, which do not.
        voters: Names of the voters of the consensus group.
        min_voters: How many of them must stay in service.
    """

    def __init__(self, machines: Iterable[Machine], budget: DisruptionBudget, demand: float) -> None:
        """Builds the limits.

        Args:
            machines: The whole fleet.
            budget: What must stay in service.
            demand: RPCs a second that the fleet must be able to serve.
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
        """Returns the capacity of `members` that serves; `unavailable`: fraction by name that does not."""
        return sum(self.machines[name].capacity * (1.0 - unavailable.get(name, 0.0)) for name in members)

    def violation(self, unavailable: Mapping[str, float]) -> str:
        """Returns which constraint does not hold, for operators; empty where all hold."""
        return self._first_violation(self.limits, unavailable)

    def permanent_violation(self, name: str) -> str:
        """Returns why this machine could not leave even with all others in service; empty where it could.

        The limit of the whole fleet is left out: it follows the demand, which may fall.
        """
        return self._first_violation(self.group_limits, {name: 1.0})

    def margins(self, unavailable: Mapping[str, float]) -> list[float]:
        """Returns for each limit the capacity above its minimum."""
        return [self.capacity(unavailable, limit.members) - limit.min_capacity for limit in self.limits]

    def margins_without(
        self, margins: Sequence[float], unavailable: Mapping[str, float], names: Sequence[str]
    ) -> list[float] | None:
        """Returns the margins once `names` leave too; None where a constraint would be violated.

        Args:
            margins: The margins before, as `margins(unavailable)` gives them.
            unavailable: What is out of service before.
            names: Machines that are to leave.
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
        """Returns the capacity that could leave now as far as the demand is concerned."""
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
    """Returns a limit for each value of `attribute` ("zone" or "model"), in the order of the values."""
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
