"""Replicated state machine of maintenance: requests, permits, the pause, machines and the daily demand.

Guarantee: permit numbers only grow, and a machine holds at most one permit at a time, across leader changes.
A command that is no longer valid when it is applied changes nothing, so leaders may propose it repeatedly.
"""

from __future__ import annotations

from landingshift.maintenance.capacity_constraints import MachineFacts
from landingshift.maintenance.commands import (
    AddRequests,
    ChangeState,
    ForgetMachine,
    IssuePermit,
    RecordDemand,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.demand_forecast import DailyDemandProfile
from landingshift.maintenance.errors import InvalidTransitionError, StalePermitError
from landingshift.maintenance.requests import (
    FINAL_STATES,
    CompletedRequest,
    MaintenanceRequest,
    RequestState,
)
from landingshift.maintenance.storage import (
    StoredState,
    decode_command,
    decode_snapshot,
    encode_snapshot,
    restored_request,
    stored_request,
)

MAX_REQUESTS_COUNT = 2000
"""Maximum number of open requests, and of machines; further ones are dropped."""
MAX_HISTORY_COUNT = 500


class MaintenanceState:
    """State on which all voters agree.

    Attributes:
        last_permit_number: Number of the latest permit; 0 before the first.
        pause_reason: Why the issue of permits is paused; empty if it is not.
        requests: Open requests by machine name, in the order in which they were first made.
        permitted_run_ids: Run ID of the process that the permit was issued to, by machine name.
        history: Ended requests, the latest last.
        demand_profile: Demand of the last 24 hours.
        machines: Facts of all machines by name, so that a new leader counts machines that have not reported
            to it yet.
    """

    def __init__(self) -> None:
        self.last_permit_number = 0
        self.pause_reason = ""
        self.requests: dict[str, MaintenanceRequest] = {}
        self.permitted_run_ids: dict[str, int] = {}
        self.history: list[CompletedRequest] = []
        self.demand_profile = DailyDemandProfile()
        self.machines: dict[str, MachineFacts] = {}

    def apply(self, data: bytes) -> None:
        """Applies an entry of the replicated log; ignores commands that this build does not know."""
        match decode_command(data):
            case AddRequests(requests):
                for request in requests:
                    self._add_request(request)
            case IssuePermit() as permit:
                self._issue_permit(permit)
            case ChangeState() as change:
                self._change_state(change)
            case SetPause(reason):
                self.pause_reason = reason
            case RegisterMachine(name, facts):
                if name in self.machines or len(self.machines) < MAX_REQUESTS_COUNT:
                    self.machines[name] = facts
            case ForgetMachine(name):
                self.machines.pop(name, None)
            case RecordDemand(quarter, rpcs_per_second):
                self.demand_profile.record(quarter, rpcs_per_second)

    def snapshot(self) -> bytes:
        """Returns a snapshot of the whole state."""
        requests = [
            stored_request(request, self.permitted_run_ids.get(request.name, 0))
            for request in self.requests.values()
        ]
        stored = StoredState(
            last_permit_number=self.last_permit_number,
            pause_reason=self.pause_reason,
            requests=requests,
            history=self.history,
            demand_by_quarter=self.demand_profile.peaks,
            machines=self.machines,
        )
        return encode_snapshot(stored)

    def restore(self, state: bytes) -> None:
        """Replaces the whole state by a snapshot."""
        stored = decode_snapshot(state)
        self.last_permit_number = stored.last_permit_number
        self.pause_reason = stored.pause_reason
        self.history = stored.history
        self.machines = dict(stored.machines)
        self.demand_profile = DailyDemandProfile()
        for quarter, demand in enumerate(stored.demand_by_quarter):
            self.demand_profile.record(quarter, demand)
        self.requests = {}
        self.permitted_run_ids = {}
        for row in stored.requests:
            self.requests[row.name] = restored_request(row)
            if row.permitted_run_id:
                self.permitted_run_ids[row.name] = row.permitted_run_id

    def _add_request(self, request: MaintenanceRequest) -> None:
        """Adds a request or replaces an existing one that has no permit yet.

        A repeated request keeps the time of the first one, so that repeating it costs no priority.
        """
        existing = self.requests.get(request.name)
        if existing is None:
            if len(self.requests) >= MAX_REQUESTS_COUNT:
                return
        elif existing.state is not RequestState.REQUESTED:
            return
        else:
            request.requested_at_ms = existing.requested_at_ms
        self.requests[request.name] = request

    def _issue_permit(self, permit: IssuePermit) -> None:
        request = self.requests.get(permit.name)
        if request is None or request.state is not RequestState.REQUESTED or self.pause_reason:
            return
        self.last_permit_number += 1
        request.transition(RequestState.PERMITTED)
        request.permit_number = self.last_permit_number
        request.permitted_at_ms = permit.issued_at_ms
        self.permitted_run_ids[permit.name] = permit.run_id

    def _change_state(self, change: ChangeState) -> None:
        request = self.requests.get(change.name)
        if request is None or request.permit_number != change.permit_number:
            return
        try:
            request.transition(change.new_state, change.permit_number)
        except (InvalidTransitionError, StalePermitError):
            return  # a duplicate, or no longer valid
        request.reason = change.reason
        if change.new_state is RequestState.REQUESTED:
            request.permit_number = 0
        if change.new_state in FINAL_STATES:
            self._complete(request, change)

    def _complete(self, request: MaintenanceRequest, change: ChangeState) -> None:
        del self.requests[change.name]
        self.permitted_run_ids.pop(change.name, None)
        completed = CompletedRequest(
            name=change.name,
            final_state=change.new_state.value,
            reason=change.reason,
            requested_at_ms=request.requested_at_ms,
            ended_at_ms=change.changed_at_ms,
            permit_number=change.permit_number,
        )
        self.history.append(completed)
        del self.history[:-MAX_HISTORY_COUNT]
