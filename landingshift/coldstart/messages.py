"""Messages between servers and grantors; `wire` defines their encoding."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.downstream_saturation import UNKNOWN_SATURATION

MAX_VALUE = 1e9  # values from a peer must be lower; real amounts, rates and sequence numbers are


@dataclass(slots=True, frozen=True)
class ColdStartRequest:
    """A server's request to one grantor for both a call quota and a start permit.

    Attributes:
        quota_request_number: Sequence number of the server's quota requests to this grantor.
        claimed_quota: Calls per second that the server is still allowed to make under this grantor's last
            grant.
        needed_calls_per_second: Calls per second that the server wants from this grantor.
        permit_request_number: Sequence number of the server's permit requests to this grantor.
        claimed_permit: 1 if the server still holds a permit from this grantor, else 0.
        wants_permit: Whether the server wants to get or keep a permit from this grantor.
        waiting_rpcs_per_second: Rate at which RPCs arrive at the server. In each zone, the waiting server
            with the highest rate gets the next permit.
        saturation: Saturation of the downstream as this server measures it, below 0 if unknown.
        baseline_latency_ms: Latency of a call to the healthy downstream as this server has measured it, 0 if
            unknown.
    """

    quota_request_number: int
    claimed_quota: float
    needed_calls_per_second: float
    permit_request_number: int
    claimed_permit: float
    wants_permit: bool
    waiting_rpcs_per_second: float
    saturation: float
    baseline_latency_ms: float

    @property
    def is_within_bounds(self) -> bool:
        """Whether each number is below `MAX_VALUE` and at least 0.

        The lower bound of the saturation is `UNKNOWN_SATURATION` instead.
        """
        values = (
            self.quota_request_number,
            self.claimed_quota,
            self.needed_calls_per_second,
            self.permit_request_number,
            self.claimed_permit,
            self.waiting_rpcs_per_second,
            self.baseline_latency_ms,
        )
        is_saturation_valid = UNKNOWN_SATURATION <= self.saturation < MAX_VALUE
        return is_saturation_valid and all(0 <= value < MAX_VALUE for value in values)


@dataclass(slots=True, frozen=True)
class ColdStartGrant:
    """A grantor's response to one request.

    Attributes:
        quota_request_number: Number of the quota request that is answered.
        quota: Calls per second that the server is allowed to make, until the lease duration has passed since
            its request.
        permit_request_number: Number of the permit request that is answered.
        permit: 1 if the server is allowed to start, else 0.
        baseline_latency_ms: Lowest baseline latency that the grantor's holders reported, 0 if unknown.
    """

    quota_request_number: int
    quota: float
    permit_request_number: int
    permit: float
    baseline_latency_ms: float
