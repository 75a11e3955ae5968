"""Operator calls: their handlers, parameters, answers and errors.

Every voter answers `status` and `history`; the other calls propose commands or need the reports of the
machines, so only the leader answers them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from landingshift.maintenance.commands import AddRequests, ChangeState, SetPause
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.environment import CoordinatorEnvironment
from landingshift.maintenance.errors import (
    MachineCountError,
    NotLeaderError,
    PauseReasonError,
    ProposalRejectedError,
    RequestFormError,
    RequestLimitsError,
)
from landingshift.maintenance.planner import dry_run
from landingshift.maintenance.requests import MaintenanceRequest, RequestState, unavailable_fractions

MAX_MACHINES_COUNT = 500
"""Maximum number of machines in one call."""
MAX_NAME_LENGTH = 32
MAX_GROUP_LENGTH = 32
MAX_REASON_LENGTH = 300
MAX_DURATION_MINUTES = 1e5
MAX_URGENCY = 100.0


class OperatorEnvironment(CoordinatorEnvironment, Protocol):
    """Environment of the coordinator, extended by what the operator calls need."""

    def leader_name(self) -> str:
        """Returns the name of the leader; empty if none is known."""
        ...

    def monotonic_ms(self) -> float:
        """Returns the current monotonic time of this server in ms."""
        ...


class OperatorCalls:
    """Handlers of the operator calls on a voter."""

    def __init__(self, coordinator: MaintenanceCoordinator, environment: OperatorEnvironment) -> None:
        self._coordinator = coordinator
        self._state = coordinator.state
        self._environment = environment

    def handlers(self) -> dict[str, Callable[[list[Any]], Any]]:
        """Returns the handlers by the call names that the command line uses."""
        return {
            "upkeep_ask": self.request_maintenance,
            "upkeep_cancel": self.cancel,
            "upkeep_hold": self.pause,
            "upkeep_status": self.status,
            "upkeep_plan": self.plan,
            "upkeep_history": self.history,
        }

    def request_maintenance(self, params: list[Any]) -> int:
        """Requests maintenance of machines.

        Args:
            params: Rows of name, minutes, urgency, not_before, not_after, alone and group.

        Returns:
            Number of machines requested.

        Raises:
            NotLeaderError: This server does not lead.
            InvalidCallError: The number of rows, the form of a row or a value is invalid.
            ProposalRejectedError: The consensus group did not accept the proposal.
        """
        self._require_leader()
        now_ms = self._environment.wall_clock_ms()
        if not 0 < len(params) <= MAX_MACHINES_COUNT:
            raise MachineCountError(MAX_MACHINES_COUNT)
        requests = tuple(_decode_request(row, now_ms) for row in params)
        if not self._environment.propose(AddRequests(requests)):
            raise ProposalRejectedError
        return len(requests)

    def cancel(self, params: list[Any]) -> int:
        """Cancels requests without a permit.

        Args:
            params: The reason, then the names of the machines.

        Returns:
            Number of requests whose cancellation was proposed.

        Raises:
            NotLeaderError: This server does not lead.
        """
        self._require_leader()
        reason, *names = [str(param) for param in params] or [""]
        cancelled = 0
        for name in names[:MAX_MACHINES_COUNT]:
            request = self._state.requests.get(name)
            if request is None or request.state is not RequestState.REQUESTED:
                continue
            change = ChangeState(
                name=name,
                permit_number=request.permit_number,
                new_state=RequestState.CANCELLED,
                reason=reason[:MAX_REASON_LENGTH],
                changed_at_ms=self._environment.wall_clock_ms(),
            )
            cancelled += self._environment.propose(change)
        return cancelled

    def pause(self, params: list[Any]) -> bool:
        """Pauses the issue of permits with a reason, or resumes it if the reason is empty.

        Args:
            params: The reason.

        Returns:
            Whether the consensus group accepted the proposal.

        Raises:
            NotLeaderError: This server does not lead.
            InvalidCallError: `params` is not one text.
        """
        self._require_leader()
        match params:
            case [str(reason)]:
                return self._environment.propose(SetPause(reason[:MAX_REASON_LENGTH]))
        raise PauseReasonError

    def status(self, _params: list[Any]) -> dict[str, Any]:
        """Returns all open requests and, on the leader, the fleet's state and why no permit is issued."""
        now_ms = self._environment.monotonic_ms()
        requests = self._state.requests.values()
        is_leader = self._environment.is_leader(now_ms)
        answer: dict[str, Any] = {
            "leads": is_leader,
            "held": self._state.pause_reason,
            "wishes": [_request_row(request) for request in requests],
        }
        if is_leader:
            answer |= self._leader_status(now_ms)
        return answer

    def plan(self, _params: list[Any]) -> dict[str, Any]:
        """Returns when each requested machine would drain at the expected demand, and the lowest capacity.

        Raises:
            NotLeaderError: This server does not lead.
        """
        self._require_leader()
        coordinator = self._coordinator
        constraints = coordinator.constraints()
        lost = coordinator.fleet.lost_fractions(self._environment.monotonic_ms())
        warm_up_minutes = coordinator.settings.warm_up_minutes
        steps, min_capacity = dry_run(self._state.requests, constraints, lost, warm_up_minutes)
        return {
            "steps": [list(step) for step in steps],
            "least_capacity": min_capacity,
            "floor": constraints.fleet_limit.min_capacity,
        }

    def history(self, _params: list[Any]) -> list[dict[str, Any]]:
        """Returns the ended requests, the latest last."""
        return [
            {
                "name": ended.name,
                "end": ended.final_state,
                "why": ended.reason,
                "since": ended.requested_at_ms,
                "at": ended.ended_at_ms,
                "number": ended.permit_number,
            }
            for ended in self._state.history
        ]

    def _leader_status(self, now_ms: float) -> dict[str, Any]:
        coordinator = self._coordinator
        constraints = coordinator.constraints()
        lost = coordinator.fleet.lost_fractions(now_ms)
        unavailable = unavailable_fractions(self._state.requests.values(), lost)
        return {
            "machines": len(coordinator.fleet.reports),
            "demand": coordinator.expected_demand(),
            "room": constraints.fleet_margin(unavailable),
            "lost": sorted(lost),
            "waits_for": coordinator.waiting_reason,
        }

    def _require_leader(self) -> None:
        if not self._environment.is_leader(self._environment.monotonic_ms()):
            raise NotLeaderError(self._environment.leader_name())


def _decode_request(row: Any, now_ms: float) -> MaintenanceRequest:
    match row:
        case [
            str(name),
            float(minutes),
            float(urgency),
            float(not_before_ms),
            float(not_after_ms),
            bool(is_exclusive),
            str(group),
        ]:
            is_name_valid = 0 < len(name) <= MAX_NAME_LENGTH
            is_duration_valid = 0.0 < minutes <= MAX_DURATION_MINUTES
            is_urgency_valid = 0.0 < urgency <= MAX_URGENCY
            if not (is_name_valid and is_duration_valid and is_urgency_valid):
                raise RequestLimitsError(name[:MAX_NAME_LENGTH])
            return MaintenanceRequest(
                name=name,
                duration_minutes=minutes,
                requested_at_ms=now_ms,
                urgency=urgency,
                not_before_ms=not_before_ms,
                not_after_ms=not_after_ms,
                is_exclusive=is_exclusive,
                group=group[:MAX_GROUP_LENGTH],
            )
    raise RequestFormError


def _request_row(request: MaintenanceRequest) -> dict[str, Any]:
    return {
        "name": request.name,
        "stage": request.state.value,
        "number": request.permit_number,
        "minutes": request.duration_minutes,
        "urgency": request.urgency,
        "out": round(request.unavailable_fraction(), 2),
        "why": request.reason,
    }
