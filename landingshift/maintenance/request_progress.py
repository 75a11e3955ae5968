"""Rules by which the leader moves a request on: by a report of its machine, or by its silence.

Guarantee: a permit is revoked only after its machine has reported, past the latest time at which it could
have used the permit, that it is not draining. Failure mode: a machine that falls silent with a permit counts
as out of service until it reports again.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.fleet_view import MachineReport
from landingshift.maintenance.requests import MaintenanceRequest, RequestState

CLOCK_DRIFT_FRACTION = 0.02
"""By how much a machine's monotonic clock may run slower than the leader's; as in `coldstart.leases`."""


@dataclass(frozen=True, slots=True)
class Transition:
    """A state that a request is to enter, and why."""

    new_state: RequestState
    reason: str = ""


def transition_on_report(
    request: MaintenanceRequest, report: MachineReport, permitted_run_id: int | None
) -> Transition | None:
    """Returns the transition that a report proves.

    Args:
        request: The machine's request.
        report: Its latest report.
        permitted_run_id: The process that the permit was issued to.
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
    """Returns the transition of a machine that drains or warms up and does not report any more.

    Args:
        request: The machine's request.
        is_silent: It has not reported for `MAX_SILENCE_MS`.
        has_reported: It has reported to this leader.
        has_left: Membership sees it no more.
        is_leader_settled: This leader has led long enough for all machines to have reported.
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
    """Returns whether a permit can't be used any more, by its machine's clock either.

    Args:
        request: A request whose permit was issued.
        report: The machine's latest report.
        leader_since_ms: When this leader's term began; a leader before it may have offered the permit until
            then.
        permit_valid_ms: For how long an offer may be used.
        permit_grace_ms: How long to wait after that.
        now_ms: Monotonic ms of the leader.
    """
    if report is None or report.is_silent(now_ms):
        return False  # it may have left: its disk says so once it is back
    offered_at_ms = max(leader_since_ms, report.offered_at_ms)
    lapses_at_ms = offered_at_ms + permit_valid_ms * (1.0 + CLOCK_DRIFT_FRACTION) + permit_grace_ms
    return report.received_at_ms > lapses_at_ms and report.draining_permit != request.permit_number
