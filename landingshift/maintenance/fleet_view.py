"""The fleet as the leader sees it: latest reports, and what is lost without a plan.

Reports are kept by the leader alone and end with its term; the facts of a machine are in the replicated
state. A machine of that state which has not reported to this leader counts as lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.environment import CoordinatorEnvironment
from landingshift.maintenance.messages import LoadReport
from landingshift.maintenance.replicated_state import MaintenanceState

MAX_SILENCE_MS = 6000.0
"""How long a machine may not report before it counts as lost."""
MAX_REPORTS_COUNT = 10_000
NEVER_MS = -1e9


@dataclass(slots=True, eq=False)
class MachineReport:
    """The latest report of a machine. Times are monotonic ms of the leader."""

    machine: Machine
    run_id: int
    """Number of the process that reported."""
    warm_fraction: float
    rpcs_per_second: float
    received_at_ms: float
    draining_permit: int
    """The permit by which it is leaving; 0 where it stays."""
    used_permit: int
    """The permit by which its earlier process left, as its disk has it; 0 without one."""
    ok_count: float
    """Answers that were ok since its start."""
    answered_count: float
    """All answers since its start."""
    offered_at_ms: float = NEVER_MS
    """When it was last offered its permit."""

    def is_silent(self, now_ms: float) -> bool:
        """Returns whether it is so old that the machine may be lost."""
        return now_ms - self.received_at_ms > MAX_SILENCE_MS


class FleetView:
    """Reports of one term.

    Attributes:
        reports: The latest report of each machine, in the order of their first ones.
        voters: Names of the voters of the consensus group.
    """

    def __init__(self, state: MaintenanceState, environment: CoordinatorEnvironment) -> None:
        self._state = state
        self._environment = environment
        self.reports: dict[str, MachineReport] = {}
        self.voters: list[str] = []

    def clear(self) -> None:
        """Forgets all reports, at the beginning of a term."""
        self.reports = {}

    def record(
        self, machine: Machine, run_id: int, report: LoadReport, now_ms: float
    ) -> MachineReport | None:
        """Keeps a report; None where there are too many machines to keep another."""
        if machine.name not in self.reports and len(self.reports) >= MAX_REPORTS_COUNT:
            return None
        status = report.status
        recorded = MachineReport(
            machine=machine,
            run_id=run_id,
            warm_fraction=min(1.0, max(0.0, status.warm_fraction)),
            rpcs_per_second=status.rpcs_per_second,
            received_at_ms=now_ms,
            draining_permit=report.draining_permit,
            used_permit=report.used_permit,
            ok_count=status.ok_count,
            answered_count=status.answered_count,
        )
        previous = self.reports.get(machine.name)
        if previous is not None and previous.run_id == run_id:
            recorded.offered_at_ms = previous.offered_at_ms
        self.reports[machine.name] = recorded
        return recorded

    def has_left(self, name: str) -> bool:
        """Returns whether membership sees a machine no more."""
        return self._environment.has_left(name)

    def missing_machines(self) -> list[Machine]:
        """Returns machines of the replicated state that have not reported to this leader."""
        return [
            Machine(
                name=name,
                capacity=facts.capacity,
                zone=facts.zone,
                model=facts.model,
                serves_critical_methods=facts.serves_critical_methods,
                is_voter=name in self.voters,
            )
            for name, facts in self._state.machines.items()
            if name not in self.reports
        ]

    def lost_fractions(self, now_ms: float) -> dict[str, float]:
        """Returns by name the fraction that is out of service without a plan: silent, gone or cold."""
        lost = {}
        for name, report in self.reports.items():
            if self._is_planned(name):
                continue
            if report.is_silent(now_ms) or self.has_left(name):
                lost[name] = 1.0
            elif report.warm_fraction < 1.0:
                lost[name] = 1.0 - report.warm_fraction
        for machine in self.missing_machines():
            if not self._is_planned(machine.name):
                lost[machine.name] = 1.0
        return lost

    def current_demand(self, now_ms: float) -> float:
        """Returns the RPCs a second that machines reported of late.

        One that has just left counts too: others report what they took over only with their next reports.
        """
        return sum(report.rpcs_per_second for report in self.reports.values() if not report.is_silent(now_ms))

    def constraints(self, budget: DisruptionBudget, demand: float) -> CapacityConstraints:
        """Returns the constraints of the whole fleet at a demand of so many RPCs a second."""
        machines = [report.machine for report in self.reports.values()]
        return CapacityConstraints([*machines, *self.missing_machines()], budget, demand)

    def _is_planned(self, name: str) -> bool:
        request = self._state.requests.get(name)
        return request is not None and request.accounts_for_unavailability
