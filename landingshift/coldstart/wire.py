"""Encodes cold start messages as lists.

Membership datagrams carry these lists under the package name `cold`.

A request is `["ask", quota_request_number, claimed_quota, needed_calls_per_second, permit_request_number,
claimed_permit, wants_permit, waiting_rpcs_per_second, saturation, baseline_latency_ms]`; a grant is
`["give", quota_request_number, quota, permit_request_number, permit, baseline_latency_ms]`. Only this module
knows the names `ask` and `give` and the positions of the values.
"""

from __future__ import annotations

from typing import Any

from landingshift.coldstart.errors import InvalidMessageError
from landingshift.coldstart.messages import MAX_VALUE, ColdStartGrant, ColdStartRequest

PACKAGE = "cold"
REQUEST = "ask"
GRANT = "give"
REQUEST_VALUE_COUNT = 9


def encode_request(request: ColdStartRequest) -> list[Any]:
    """Encode a server's request to a grantor."""
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
    """Encode a grantor's response."""
    return [
        GRANT,
        grant.quota_request_number,
        grant.quota,
        grant.permit_request_number,
        grant.permit,
        grant.baseline_latency_ms,
    ]


def decode(body: list[Any]) -> ColdStartRequest | ColdStartGrant:
    """Decode a peer's message. The bounds of a request's values are not checked here but by the grantor.

    Raises:
        InvalidMessageError: The message is neither a valid request nor a valid grant.
    """
    match body:
        case [str(kind), *values] if kind == REQUEST:
            return _decode_request(values)
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


def _decode_request(values: list[Any]) -> ColdStartRequest:
    if len(values) != REQUEST_VALUE_COUNT:
        raise InvalidMessageError
    if not all(isinstance(value, int | float) for value in values):
        raise InvalidMessageError
    quota_number, claimed_quota, needed, permit_number, claimed_permit = values[:5]
    wants_permit, waiting_rpcs, saturation, baseline = values[5:]
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
