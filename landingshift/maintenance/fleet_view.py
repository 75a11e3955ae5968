"""The leader's view of the fleet: the latest reports, and the capacity lost without a plan.

Reports are kept by the leader only, for its term; the facts of the machines are in the replicated state. A
machine of the replicated state that has not reported to this leader counts as lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.environment import CoordinatorEnvironment
from landingshift.maintenance.messages import LoadReport
from landingshift.maintenance.replicated_state import MaintenanceState

MAX_SILENCE_MS = 6000.0
"""Time without a report after which a machine counts as lost."""
MAX_REPORTS_COUNT = 10_000
NEVER_MS = -1e9


@dataclass(slots=True, eq=False)
class MachineReport:
    """Latest report of a machine. Times are monotonic ms of the leader."""

    machine: Machine
    run_id: int
    """Run ID of the process that reported."""
    warm_fraction: float
    rpcs_per_second: float
    received_at_ms: float
    draining_permit: int
    """Permit under which the process drains; 0 if it does not."""
    used_permit: int
    """Permit under which the previous process drained, read from disk; 0 if none is recorded."""
    ok_count: float
    """RPCs answered ok since the start of the process."""
    answered_count: float
    """RPCs answered since the start of the process."""
    offered_at_ms: float = NEVER_MS
    """Time at which the permit was last offered to the process."""

    def is_silent(self, now_ms: float) -> bool:
        """Returns whether the report is so old that the machine counts as lost."""
        return now_ms - self.received_at_ms > MAX_SILENCE_MS


class FleetView:
    """Reports received during one term.

    Attributes:
        reports: Latest report of each machine by name, in the order of the first reports.
        voters: Names of the voters of the consensus group.
    """

    def __init__(self, state: MaintenanceState, environment: CoordinatorEnvironment) -> None:
        self._state = state
        self._environment = environment
        self.reports: dict[str, MachineReport] = {}
        self.voters: list[str] = []

    def clear(self) -> None:
        """Discards all reports at the start of a term."""
        self.reports = {}

    def record(
        self, machine: Machine, run_id: int, report: LoadReport, now_ms: float
    ) -> MachineReport | None:
        """Records and returns a report; None if it is from a new machine and there are too many already."""
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
        """Returns whether a machine has left the membership or is unknown to it."""
        return self._environment.has_left(name)

    def missing_machines(self) -> list[Machine]:
        """Returns the machines of the replicated state that have not reported to this leader."""
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
        """Returns the fraction of each machine that is unavailable without a plan, by name.

        A machine that is silent or has left the membership is fully unavailable, a cold one in part.
        """
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
        """Returns the sum of the recently reported loads, in RPCs per second.

        A machine that has just left counts too, because the machines that took over its load show it only in
        their next reports.
        """
        return sum(report.rpcs_per_second for report in self.reports.values() if not report.is_silent(now_ms))

    def constraints(self, budget: DisruptionBudget, demand: float) -> CapacityConstraints:
        """Returns the capacity constraints of all known machines at a demand in RPCs per second."""
        machines = [report.machine for report in self.reports.values()]
        return CapacityConstraints([*machines, *self.missing_machines()], budget, demand)

    def _is_planned(self, name: str) -> bool:
        request = self._state.requests.get(name)
        return request is not None and request.accounts_for_unavailability
