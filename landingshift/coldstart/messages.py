"""What servers and grantors say to each other, as types; `wire` has the lists that are sent."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.downstream_saturation import UNKNOWN_SATURATION

MAX_VALUE = 1e9  # above any amount, rate or number that occurs; bounds what a peer may claim


@dataclass(slots=True, frozen=True)
class ColdStartRequest:
    """One server's request to one grantor, for a call quota and a start permit at once.

    Attributes:
        quota_request_number: Numbers the server's requests for a quota to this grantor.
        claimed_quota: Calls a second that it still holds from this grantor.
        needed_calls_per_second: Calls a second that it wants from this grantor.
        permit_request_number: Numbers its requests for a permit.
        claimed_permit: 1 where it still holds a permit from this grantor, else 0.
        wants_permit: Whether it wants one, or wants to keep it.
        waiting_rpcs_per_second: Work that waits for the server; orders those who wait for a permit.
        saturation: Of the downstream, as this server's own calls show it; below 0 where unknown.
        baseline_latency_ms: Of a call to a healthy downstream, 0 where unknown.
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
        """Whether all figures are sane: not negative, except for an unknown saturation, and not huge."""
        figures = (
            self.quota_request_number,
            self.claimed_quota,
            self.needed_calls_per_second,
            self.permit_request_number,
            self.claimed_permit,
            self.waiting_rpcs_per_second,
            self.baseline_latency_ms,
        )
        is_saturation_valid = UNKNOWN_SATURATION <= self.saturation < MAX_VALUE
        return is_saturation_valid and all(0 <= figure < MAX_VALUE for figure in figures)


@dataclass(slots=True, frozen=True)
class ColdStartGrant:
    """A grantor's answer to one request.

    Attributes:
        quota_request_number: The request that the quota answers.
        quota: Calls a second, from the answer until the lease has passed since the request.
        permit_request_number: The request that the permit answers.
        permit: 1 where the server may start, else 0.
        baseline_latency_ms: The lowest that the grantor was told, 0 where unknown.
    """

    quota_request_number: int
    quota: float
    permit_request_number: int
    permit: float
    baseline_latency_ms: float
