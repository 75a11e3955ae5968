"""How much may be out at once: of the whole, of each zone, of each model, and of the voters. Pure.

Out is whatever does not serve: on leave, on its way out, lost unasked, and of one that is back the part that
is still cold. What is lost unasked takes from the same allowance as what was allowed to go.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Machine:
    """`capacity` in any unit that demand is told in, such as RPCs a second."""

    name: str
    capacity: float
    zone: str = ""
    model: str = ""
    best: bool = False  # it carries the methods of most criticality
    voter: bool = False


@dataclass(slots=True, frozen=True)
class DisruptionBudget:
    """What must stay in. `spare`: share by which capacity must pass the demand; shares of each group."""

    spare: float = 0.1
    zone: float = 0.5
    model: float = 0.5
    best: float = 0.7


@dataclass(slots=True, frozen=True)
class Limit:
    """One floor: the group's capacity, and what of it must stay in."""

    name: str
    of: frozenset[str]
    least: float


class CapacityConstraints:
    """All limits that hold at one demand. `keeps(out)` names the first that `out` would break."""

    def __init__(self, machines: Iterable[Machine], needs: DisruptionBudget, demand: float) -> None:
        self.machines = {m.name: m for m in machines}
        fleet = list(self.machines.values())
        every = frozenset(self.machines)
        self.limits = [Limit("the whole", every, demand * (1.0 + needs.spare))]
        self.limits += self.groups("zone", fleet, needs.zone)
        self.limits += self.groups("model", fleet, needs.model)
        best = [m for m in fleet if m.best]
        if best:
            least = needs.best * sum(m.capacity for m in best)
            self.limits.append(Limit("the best methods", frozenset(m.name for m in best), least))
        self.voters = frozenset(m.name for m in fleet if m.voter)
        # A majority, with one to spare where there are enough: the next crash must not stop the agreement.
        self.voters_in = min(len(self.voters) // 2 + 2, len(self.voters)) if len(self.voters) > 3 else 0
        if len(self.voters) in (2, 3):
            self.voters_in = len(self.voters)

    @staticmethod
    def groups(kind: str, fleet: list[Machine], share: float) -> list[Limit]:
        names = {getattr(m, kind) for m in fleet} - {""}
        found = []
        for name in sorted(names):
            those = [m for m in fleet if getattr(m, kind) == name]
            least = share * sum(m.capacity for m in those)
            found.append(Limit(f"{kind} {name}", frozenset(m.name for m in those), least))
        return found

    def capacity(self, out: dict[str, float], of: frozenset[str]) -> float:
        """`out`: by name, the share of it that does not serve."""
        return sum(self.machines[n].capacity * (1.0 - out.get(n, 0.0)) for n in of)

    def broken(self, out: dict[str, float]) -> str:
        """Empty, or which limit does not hold with so much out."""
        for limit in self.limits:
            have = self.capacity(out, limit.of)
            if have < limit.least - 1e-9:
                return f"{limit.name}: {have:.6g} of {limit.least:.6g}"
        there = sum(1 for v in self.voters if out.get(v, 0.0) < 1.0)
        if there < self.voters_in:
            return f"voters: {there} of {self.voters_in}"
        return ""

    def margins(self, out: dict[str, float]) -> list[float]:
        """What each limit has left, capacity above its floor."""
        return [self.capacity(out, limit.of) - limit.least for limit in self.limits]

    def also(self, margins: list[float], out: dict[str, float], names: list[str]) -> list[float] | None:
        """The margins once these are out too; None where a limit would break. Looks at those alone."""
        left = list(margins)
        for name in names:
            goes = self.machines[name].capacity * (1.0 - out.get(name, 0.0))
            for i, limit in enumerate(self.limits):
                if name in limit.of:
                    left[i] -= goes
                    if left[i] < -1e-9:
                        return None
        if self.voters.isdisjoint(names):
            return left
        there = sum(1 for v in self.voters if out.get(v, 0.0) < 1.0 and v not in names)
        return left if there >= self.voters_in else None

    def room(self, out: dict[str, float]) -> float:
        """Capacity that could go now as far as the whole is concerned."""
        return self.margins(out)[0]

    def never(self, name: str) -> str:
        """Why this one could not go with all others in, however little is asked for; empty where it could."""
        limits, self.limits = (
            self.limits,
            self.limits[1:],
        )  # the whole follows the demand, which goes down again
        try:
            return self.broken({name: 1.0})
        finally:
            self.limits = limits
