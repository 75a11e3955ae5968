"""Rules by which the leader advances a request: on a report of its machine, or when reports are missing.

Guarantee: a permit is revoked only after its machine has reported that it is not draining, in a report
received after the latest time at which the machine could have used the permit. A machine that stops
reporting while it holds a permit counts as out of service until it reports again.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.fleet_view import MachineReport
from landingshift.maintenance.requests import MaintenanceRequest, RequestState

CLOCK_DRIFT_FRACTION = 0.02
"""Largest fraction by which a machine's clock may run slower than the leader's; as in `coldstart.leases`."""


@dataclass(frozen=True, slots=True)
class Transition:
    """State that a request must enter, and the reason.

    The reason is stored in the replicated log and shown to operators, so its texts are fixed.
    """

    new_state: RequestState
    reason: str = ""


def transition_on_report(
    request: MaintenanceRequest, report: MachineReport, permitted_run_id: int | None
) -> Transition | None:
    """Returns the transition that a report calls for, if any.

    Args:
        request: Request of the machine.
        report: Latest report of the machine.
        permitted_run_id: Run ID of the process that the permit was issued to.
    """
    is_same_process = permitted_run_id == report.run_id
    match request.state:
        case RequestState.PERMITTED:
            has_begun = is_same_process and report.draining_permit == request.permit_number
            if has_begun or report.used_permit == request.permit_number:
                return Transition(RequestState.DRAINING)
            if not is_same_process:
                return Transition(RequestState.REQUESTED, "it was started anew before it left")
        case RequestState.DRAINING | RequestState.OUT_OF_SERVICE if not is_same_process:
            return Transition(RequestState.RETURNING)
        case RequestState.RETURNING:
            return Transition(RequestState.WARMING_UP)
        case RequestState.WARMING_UP if report.warm_fraction >= 1.0:
            return Transition(RequestState.COMPLETED)
    return None


def transition_on_silence(
    request: MaintenanceRequest, is_silent: bool, has_reported: bool, has_left: bool, is_leader_settled: bool
) -> Transition | None:
    """Returns the transition of a machine that stopped reporting while it drained or warmed up, if any.

    Args:
        request: Request of the machine.
        is_silent: Whether the machine has not reported for `MAX_SILENCE_MS`.
        has_reported: Whether the machine has reported to this leader.
        has_left: Whether the machine has left the membership.
        is_leader_settled: Whether this leader has led long enough for all machines to have reported.
    """
    match request.state:
        case RequestState.DRAINING if has_left or is_silent:
            return Transition(RequestState.OUT_OF_SERVICE)
        case RequestState.WARMING_UP if is_silent and is_leader_settled and (has_left or not has_reported):
            return Transition(RequestState.OUT_OF_SERVICE, "it crashed while it warmed")
    return None


def has_permit_lapsed(
    request: MaintenanceRequest,
    report: MachineReport | None,
    leader_since_ms: float,
    permit_valid_ms: float,
    permit_grace_ms: float,
    now_ms: float,
) -> bool:
    """Returns whether a permit has expired unused, even by the clock of its machine.

    Args:
        request: Request in state `PERMITTED`.
        report: Latest report of the machine.
        leader_since_ms: Start of this leader's term, until which the previous leader may have offered the
            permit.
        permit_valid_ms: Time after an offer within which the permit may be used.
        permit_grace_ms: Further time to wait.
        now_ms: Current monotonic time of the leader in ms.
    """
    if report is None or report.is_silent(now_ms):
        return False  # it may have drained; the permit file on its disk shows it once the machine is back
    offered_at_ms = max(leader_since_ms, report.offered_at_ms)
    lapses_at_ms = offered_at_ms + permit_valid_ms * (1.0 + CLOCK_DRIFT_FRACTION) + permit_grace_ms
    return report.received_at_ms > lapses_at_ms and report.draining_permit != request.permit_number
