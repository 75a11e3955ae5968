"""Leader side of maintenance: issues permits, tracks machines under maintenance, rejects impossible requests.

Guarantee: a permit is issued only if all capacity constraints hold with its machine out of service, and a
machine that may have begun to drain counts as out of service until it reports. Reports are lost with the
leader that received them, so a new leader issues and offers no permit before it has collected reports for
`SETTLE_MS`. Without a leader no machine starts to drain; machines out of service still return.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.capacity_constraints import CapacityConstraints, Machine
from landingshift.maintenance.commands import (
    ChangeState,
    ForgetMachine,
    IssuePermit,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.coordinator_settings import CoordinatorSettings
from landingshift.maintenance.demand_tracker import DemandTracker
from landingshift.maintenance.environment import CoordinatorEnvironment
from landingshift.maintenance.fleet_view import NEVER_MS, FleetView, MachineReport
from landingshift.maintenance.messages import LoadReport, ReportAnswer
from landingshift.maintenance.planner import (
    MS_PER_MINUTE,
    permits_to_withhold,
    rejection_reason,
    select_next,
)
from landingshift.maintenance.proposals import Proposals
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.request_progress import (
    Transition,
    has_permit_lapsed,
    transition_on_report,
    transition_on_silence,
)
from landingshift.maintenance.requests import MaintenanceRequest, RequestState, unavailable_fractions
from landingshift.maintenance.staged_rollout import UNLIMITED_COUNT, RolloutMonitor, remaining_in_stage
from landingshift.membership.messages import MemberRecord

EVALUATION_INTERVAL_MS = 400.0
REJECTION_INTERVAL_MS = 5000.0
"""Time between two checks for requests that can never be granted."""
SETTLE_MS = 3000.0
"""Time for which a new leader collects reports before it issues or offers permits."""
MAX_CAPACITY = 1e9
"""Upper bound on a reported capacity, in RPCs per second; a larger one is treated as a fault."""
MAX_MODEL_LENGTH = 16


@dataclass(slots=True, frozen=True)
class EvaluationInput:
    """Inputs of one evaluation, computed once at its start."""

    constraints: CapacityConstraints
    lost: dict[str, float]
    """Fraction of each machine that is unavailable without a plan, by name."""


class MaintenanceCoordinator:
    """Makes the maintenance decisions on a voter while it leads.

    Times are ms of its monotonic clock unless stated otherwise.

    Attributes:
        state: Replicated state.
        settings: Settings, the same on all servers.
        fleet: Reports received during this term.
        waiting_reason: Why no permit is issued at present, for operators; empty if permits may be issued.
        leader_since_ms: Start of this server's current or latest term as leader.
    """

    def __init__(
        self, state: MaintenanceState, settings: CoordinatorSettings, environment: CoordinatorEnvironment
    ) -> None:
        self.state = state
        self.settings = settings
        self.fleet = FleetView(state, environment)
        self.waiting_reason = ""
        self.leader_since_ms = 0.0
        self._environment = environment
        self._demand = DemandTracker(settings.peak_decay_ms)
        self._rollout = RolloutMonitor()
        self._proposals = Proposals(environment)
        self._was_leader = False
        self._has_evaluated_constraints = False
        self._next_evaluation_ms = 0.0
        self._evaluated_at_ms = 0.0
        self._rejections_checked_at_ms = NEVER_MS

    def on_server_report(
        self, sender: MemberRecord, voters: list[str], report: LoadReport, now_ms: float
    ) -> ReportAnswer | None:
        """Handles a report received from a server.

        Args:
            sender: Membership record of the server.
            voters: Names of the current voters of the consensus group.
            report: Report of the server.
            now_ms: Current monotonic time in ms.

        Returns:
            The answer; None in the cases of `on_report`, and if the capacity or the model is out of range.
        """
        status = report.status
        if not 0.0 < status.capacity < MAX_CAPACITY or len(status.model) > MAX_MODEL_LENGTH:
            return None
        self.fleet.voters = voters
        machine = Machine(
            name=sender.name,
            capacity=status.capacity,
            zone=sender.zone,
            model=status.model,
            serves_critical_methods=status.serves_critical_methods,
            is_voter=sender.name in voters,
        )
        return self.on_report(machine, sender.run_id, report, now_ms)

    def on_report(
        self, machine: Machine, run_id: int, report: LoadReport, now_ms: float
    ) -> ReportAnswer | None:
        """Handles a machine's report.

        Args:
            machine: Machine that sent the report.
            run_id: Run ID of its process.
            report: Report of the machine.
            now_ms: Current monotonic time in ms.

        Returns:
            The answer; None if this server does not lead or tracks too many machines to add this one.
        """
        if not self._environment.is_leader(now_ms):
            return None
        previous = self.fleet.reports.get(machine.name)
        recorded = self.fleet.record(machine, run_id, report, now_ms)
        if recorded is None:
            return None
        self._count_answers(previous, recorded)
        self._register_machine(machine, now_ms)
        request = self.state.requests.get(machine.name)
        if request is None:
            return ReportAnswer(report.sequence, "", 0, 0.0)
        self._advance_on_report(request, recorded, now_ms)
        valid_ms = self._offer_permit(request, recorded, now_ms)
        return ReportAnswer(report.sequence, request.state.value, request.permit_number, valid_ms)

    def _count_answers(self, previous: MachineReport | None, report: MachineReport) -> None:
        if previous is None or previous.run_id != report.run_id:
            return
        ok = max(0.0, report.ok_count - previous.ok_count)
        total = max(0.0, report.answered_count - previous.answered_count)
        self._rollout.record(report.machine.name, ok, total)

    def _register_machine(self, machine: Machine, now_ms: float) -> None:
        """Replicates the machine's facts, which a later leader needs even if the machine is gone by then."""
        facts = machine.facts
        if self.state.machines.get(machine.name) != facts:
            self._proposals.propose(RegisterMachine(machine.name, facts), now_ms)

    def _advance_on_report(self, request: MaintenanceRequest, report: MachineReport, now_ms: float) -> None:
        if request.state is RequestState.WARMING_UP:
            request.warm_fraction = report.warm_fraction
        permitted_run_id = self.state.permitted_run_ids.get(request.name)
        transition = transition_on_report(request, report, permitted_run_id)
        if transition is None:
            return
        self._propose_transition(request, transition, now_ms)
        if transition.new_state is RequestState.COMPLETED:
            self._rollout.completed_names.add(request.name)

    def _offer_permit(self, request: MaintenanceRequest, report: MachineReport, now_ms: float) -> float:
        """Offers the permit in the answer to a report; returns its validity in ms, 0 without an offer."""
        if not self._may_offer_permit(request, report.run_id):
            return 0.0
        if not report.draining_permit:
            report.offered_at_ms = now_ms
        return self.settings.permit_valid_ms

    def _may_offer_permit(self, request: MaintenanceRequest, run_id: int) -> bool:
        """Returns whether the permit of a request may be offered to its machine now.

        A new leader does not offer a permit of its predecessor again before it has evaluated the constraints:
        a zone may have been lost after the permit was issued.
        """
        return (
            request.state is RequestState.PERMITTED
            and self.state.permitted_run_ids.get(request.name) == run_id
            and not self.state.pause_reason
            and self._has_evaluated_constraints
            and not self._proposals.is_withheld(request.name, request.permit_number)
        )

    def expected_demand(self) -> float:
        """Returns the demand to provision for until a machine that drains now is back, in RPCs per second."""
        current = self.fleet.current_demand(self._evaluated_at_ms)
        wall_ms = self._environment.wall_clock_ms()
        return self._demand.expected(self.state.demand_profile, current, wall_ms, self._outage_ms())

    def constraints(self) -> CapacityConstraints:
        """Returns the capacity constraints at the expected demand."""
        return self.fleet.constraints(self.settings.budget, self.expected_demand())

    def _outage_ms(self) -> float:
        """Returns the time, in ms, until the longest waiting work would be done and its machine warm."""
        durations = [
            request.duration_minutes
            for request in self.state.requests.values()
            if request.state is RequestState.REQUESTED
        ]
        if not durations:
            return 0.0
        return (max(durations) + self.settings.warm_up_minutes) * MS_PER_MINUTE

    def _record_demand(self, now_ms: float) -> None:
        current = self.fleet.current_demand(now_ms)
        self._demand.update_peak(now_ms, current)
        if now_ms - self.leader_since_ms < SETTLE_MS:
            return  # machines that have not reported to this leader yet would be missing from the sample
        ended_quarter = self._demand.record(now_ms, self._environment.wall_clock_ms(), current)
        if ended_quarter is not None:
            self._proposals.propose(ended_quarter, now_ms)

    def evaluate_soon(self, now_ms: float) -> None:
        """Makes the next `step` evaluate the requests, because the replicated state has changed."""
        self._next_evaluation_ms = min(self._next_evaluation_ms, now_ms)

    def step(self, now_ms: float) -> None:
        """Evaluates the requests if this server leads and an evaluation is due."""
        if now_ms < self._next_evaluation_ms:
            return
        self._evaluated_at_ms = now_ms
        self._next_evaluation_ms = now_ms + EVALUATION_INTERVAL_MS
        if not self._update_leadership(now_ms):
            return
        self._record_demand(now_ms)
        for request in list(self.state.requests.values()):
            self._advance_on_silence(request, now_ms)
        if not self._check_readiness(now_ms):
            return
        inputs = EvaluationInput(self.constraints(), self.fleet.lost_fractions(now_ms))
        if not self._apply_constraints(inputs) or self._pause_on_regression(now_ms):
            return
        self._forget_and_reject(inputs, now_ms)
        if self.state.requests:
            self._issue_permits(inputs, now_ms)

    def _update_leadership(self, now_ms: float) -> bool:
        """Starts a term if this server has just become the leader; returns whether it leads."""
        is_leader = self._environment.is_leader(now_ms)
        if is_leader and not self._was_leader:
            self._begin_term(now_ms)
        self._was_leader = is_leader
        return is_leader

    def _begin_term(self, now_ms: float) -> None:
        self.leader_since_ms = now_ms
        self._has_evaluated_constraints = False
        self.fleet.clear()
        self._demand.reset(now_ms)
        self._rollout.reset_counts()
        self._proposals.clear()

    def _advance_on_silence(self, request: MaintenanceRequest, now_ms: float) -> None:
        """Advances a request whose machine has stopped reporting or whose permit has expired."""
        report = self.fleet.reports.get(request.name)
        if request.state is RequestState.PERMITTED:
            self._revoke_lapsed_permit(request, report, now_ms)
            return
        is_silent = report is None or report.is_silent(now_ms)
        if request.state is RequestState.WARMING_UP and is_silent:
            request.warm_fraction = 0.0
        transition = transition_on_silence(
            request,
            is_silent,
            has_reported=report is not None,
            has_left=self.fleet.has_left(request.name),
            is_leader_settled=now_ms - self.leader_since_ms > SETTLE_MS,
        )
        if transition is not None:
            self._propose_transition(request, transition, now_ms)

    def _revoke_lapsed_permit(
        self, request: MaintenanceRequest, report: MachineReport | None, now_ms: float
    ) -> None:
        has_lapsed = has_permit_lapsed(
            request,
            report,
            self.leader_since_ms,
            self.settings.permit_valid_ms,
            self.settings.permit_grace_ms,
            now_ms,
        )
        if has_lapsed:
            transition = Transition(RequestState.REQUESTED, "its permission ran out unused")
            self._propose_transition(request, transition, now_ms)

    def _check_readiness(self, now_ms: float) -> bool:
        """Returns whether to evaluate the constraints; sets `waiting_reason` if not."""
        if not self.state.requests:
            self.waiting_reason = ""
            return False
        if now_ms - self.leader_since_ms < SETTLE_MS:
            self.waiting_reason = "the leader is new and collects reports first"
            return False
        return True

    def _apply_constraints(self, inputs: EvaluationInput) -> bool:
        """Releases the withheld permits if all constraints hold, otherwise withholds the newest ones.

        Returns:
            Whether further permits may be issued.
        """
        requests = self.state.requests
        unavailable = unavailable_fractions(requests.values(), inputs.lost)
        self.waiting_reason = self.state.pause_reason or inputs.constraints.violation(unavailable)
        self._has_evaluated_constraints = True
        if not self.waiting_reason:
            self._proposals.release_permits()
            return True
        if not self.state.pause_reason:
            for name in permits_to_withhold(requests, inputs.constraints, inputs.lost):
                self._proposals.withhold_permit(name, requests[name].permit_number)
        return False

    def _pause_on_regression(self, now_ms: float) -> bool:
        """Pauses all work if the machines that came back answer worse; returns whether it did."""
        regression = self._rollout.regression() if self.settings.is_staged else ""
        if not regression:
            return False
        self.waiting_reason = regression
        self._proposals.propose(SetPause(f"stopped by itself: {regression}"), now_ms)
        return True

    def _forget_and_reject(self, inputs: EvaluationInput, now_ms: float) -> None:
        """Forgets machines unknown to membership and rejects impossible requests, at a fixed interval."""
        if now_ms - self._rejections_checked_at_ms < REJECTION_INTERVAL_MS:
            return
        self._rejections_checked_at_ms = now_ms
        known = self._environment.known_machines()
        for name in [name for name in self.state.machines if name not in known]:
            self._proposals.propose(ForgetMachine(name), now_ms)
        is_fleet_complete = not inputs.lost and known <= self.fleet.reports.keys()
        wall_ms = self._environment.wall_clock_ms()
        requests = self.state.requests.values()
        for request in [request for request in requests if request.state is RequestState.REQUESTED]:
            is_known = request.name in known
            reason = rejection_reason(request, inputs.constraints, wall_ms, is_known, is_fleet_complete)
            if reason:
                self._propose_transition(request, Transition(RequestState.REJECTED, reason), now_ms)

    def _issue_permits(self, inputs: EvaluationInput, now_ms: float) -> None:
        selected = select_next(
            self.state.requests,
            inputs.constraints,
            inputs.lost,
            self._environment.wall_clock_ms(),
            self.settings.warm_up_minutes,
        )
        for name in selected[: self._remaining_in_stage()]:
            report = self.fleet.reports.get(name)
            if report is not None:
                self._proposals.propose(IssuePermit(name, report.run_id, now_ms), now_ms)

    def _remaining_in_stage(self) -> int:
        if not self.settings.is_staged:
            return UNLIMITED_COUNT
        return remaining_in_stage(self.state.requests.values(), self.state.history)

    def _propose_transition(self, request: MaintenanceRequest, transition: Transition, now_ms: float) -> None:
        change = ChangeState(
            name=request.name,
            permit_number=request.permit_number,
            new_state=transition.new_state,
            reason=transition.reason,
            changed_at_ms=self._environment.wall_clock_ms(),
        )
        self._proposals.propose(change, now_ms)
