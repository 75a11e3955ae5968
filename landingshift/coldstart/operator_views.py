"""Builds the answers to operator calls and the metadata published to members, and defines their keys."""

from __future__ import annotations

from typing import Any

from landingshift.coldstart.errors import NotAGrantorError
from landingshift.coldstart.participant import ColdStartParticipant
from landingshift.coldstart.start_sequence import StartStage

STAGE_POSITIONS = {stage: float(position) for position, stage in enumerate(StartStage)}


def published_metadata(participant: ColdStartParticipant, now_ms: float) -> dict[str, float]:
    """Return the metadata that a server publishes to all members: its start stage and its call quota."""
    return {
        "stage": STAGE_POSITIONS[participant.start_sequence.stage],
        "share": round(participant.call_quota(now_ms), 1),
    }


def cold_start_status(
    participant: ColdStartParticipant, list_poll_count: int, now_ms: float
) -> dict[str, Any]:
    """Return the answer to the operator call `coldstart`: this server's stage, quota and measurements."""
    observation = participant.observation
    return {
        "name": participant.node.local_record.name,
        "stage": participant.start_sequence.stage.value,
        "alone": participant.start_sequence.started_without_grantor,
        "share": participant.call_quota(now_ms),
        "floor": participant.floor_calls_per_second,
        "strain": observation.saturation,
        "need": observation.needed_calls_per_second,
        "lenders": participant.present_grantors(),
        "asked": participant.request_count,
        "answered": participant.response_count,
        "list_asks": list_poll_count,
    }


def granted_leases(participant: ColdStartParticipant) -> dict[str, Any]:
    """Return the answer to the operator call `lent`: the quotas and permits that this server has granted.

    Raises:
        NotAGrantorError: This server is not a grantor.
    """
    grantor = participant.grantor
    if grantor is None:
        raise NotAGrantorError
    quotas = grantor.call_quota_grantor
    permits = grantor.start_permits
    permits_in_use = permits.permits_in_use()
    return {
        "calls": quotas.capacity,
        "calls_booked": quotas.reserved_amount(),
        "places": permits.limiter.limit,
        "places_in_use": permits_in_use,
        "waiting": len(permits.candidates) - permits_in_use,
        "shares": {name: grant.amount for name, grant in quotas.grants.items()},
    }
