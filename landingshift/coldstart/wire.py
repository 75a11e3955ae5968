"""Cold start messages as the lists that members send to each other.

`["ask", number, claims, need, place number, place, wants, work, strain, base]` and `["give", number, amount,
place number, place, base]`, in datagrams of the package `cold`. The only place that knows these words and
positions.
"""

from __future__ import annotations

from typing import Any

from landingshift.coldstart.errors import InvalidMessageError
from landingshift.coldstart.messages import MAX_VALUE, ColdStartGrant, ColdStartRequest

PACKAGE = "cold"
REQUEST = "ask"
GRANT = "give"
REQUEST_FIGURE_COUNT = 9


def encode_request(request: ColdStartRequest) -> list[Any]:
    """The list that a server sends to a grantor."""
    return [
        REQUEST,
        request.quota_request_number,
        request.claimed_quota,
        request.needed_calls_per_second,
        request.permit_request_number,
        request.claimed_permit,
        int(request.wants_permit),
        request.waiting_rpcs_per_second,
        request.saturation,
        request.baseline_latency_ms,
    ]


def encode_grant(grant: ColdStartGrant) -> list[Any]:
    """The list that a grantor answers with."""
    return [
        GRANT,
        grant.quota_request_number,
        grant.quota,
        grant.permit_request_number,
        grant.permit,
        grant.baseline_latency_ms,
    ]


def decode(body: list[Any]) -> ColdStartRequest | ColdStartGrant:
    """Reads a peer's message; the bounds of a request's figures are the grantor's to check.

    Raises:
        InvalidMessageError: It is neither a request nor a grant.
    """
    match body:
        case [str(kind), *figures] if kind == REQUEST:
            return _decode_request(figures)
        case [
            str(kind),
            int(quota_request_number),
            int() | float() as quota,
            int(permit_request_number),
            int() | float() as permit,
            int() | float() as baseline_latency_ms,
        ] if kind == GRANT and 0 <= quota < MAX_VALUE and 0 <= permit <= 1:
            return ColdStartGrant(
                quota_request_number, quota, permit_request_number, permit, baseline_latency_ms
            )
    raise InvalidMessageError


def _decode_request(figures: list[Any]) -> ColdStartRequest:
    if len(figures) != REQUEST_FIGURE_COUNT:
        raise InvalidMessageError
    if not all(isinstance(figure, int | float) for figure in figures):
        raise InvalidMessageError
    quota_number, claimed_quota, needed, permit_number, claimed_permit = figures[:5]
    wants_permit, waiting_rpcs, saturation, baseline = figures[5:]
    if not 0 <= wants_permit < MAX_VALUE:
        raise InvalidMessageError
    return ColdStartRequest(
        quota_request_number=quota_number,
        claimed_quota=claimed_quota,
        needed_calls_per_second=needed,
        permit_request_number=permit_number,
        claimed_permit=claimed_permit,
        wants_permit=bool(wants_permit),
        waiting_rpcs_per_second=waiting_rpcs,
        saturation=saturation,
        baseline_latency_ms=baseline,
    )
