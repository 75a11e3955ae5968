"""The grantor's part in a cold start: granting leases on start permits and call quotas to servers.

The cluster's start permits and the leasable part of the downstream's call rate are divided equally among the
grantors.

Does no I/O and reads no clock: times are passed in as ms.
"""

from __future__ import annotations

from landingshift.coldstart.adaptive_limit import AdaptiveLimit
from landingshift.coldstart.fair_division import max_min_fair_shares
from landingshift.coldstart.leases import LeaseGrantor, LeaseRequest
from landingshift.coldstart.messages import ColdStartGrant, ColdStartRequest
from landingshift.coldstart.plan import ColdStartPlan
from landingshift.coldstart.start_permits import PermitRequest, StartPermitPool
from landingshift.membership.messages import MemberRecord

MIN_CALLS_FRACTION = 0.05  # lower bound of the adaptive call limit, as a fraction of its maximum


class ColdStartGrantor:
    """Grants and renews the servers' leases on call quotas and start permits.

    Attributes:
        call_quota_grantor: Grantor of leases on downstream calls per second.
        start_permits: Pool of start permits.
    """

    def __init__(self, plan: ColdStartPlan, now_ms: float, recovery_grace_ms: float | None = None) -> None:
        """Start without grants, because the grants of this grantor's previous process are unknown.

        Args:
            plan: Cluster-wide cold start parameters.
            now_ms: Present time.
            recovery_grace_ms: Length of the recovery grace period, in which holders are granted no more than
                they claim to have. None for one reservation period.
        """
        calls_per_second = plan.amount_per_grantor(
            plan.downstream_calls_per_second * (1.0 - plan.floor_fraction)
        )
        self.call_quota_grantor = LeaseGrantor(
            calls_per_second, plan.lease_ms, plan.expiry_margin_ms, now_ms, max_min_fair_shares
        )
        self._calls_limiter = AdaptiveLimit(
            calls_per_second, calls_per_second, now_ms, minimum=calls_per_second * MIN_CALLS_FRACTION
        )
        self.start_permits = StartPermitPool(
            plan.amount_per_grantor(plan.initial_permits),
            plan.amount_per_grantor(plan.max_permits),
            plan.lease_ms,
            plan.expiry_margin_ms,
            now_ms,
        )
        self._baselines_ms: dict[str, float] = {}
        if recovery_grace_ms is not None:
            self.set_recovery_grace_until(now_ms + recovery_grace_ms)

    def set_recovery_grace_until(self, until_ms: float) -> None:
        """Set the time until which holders are granted no more than they claim to have."""
        self.call_quota_grantor.recovery_grace_until_ms = until_ms
        self.start_permits.lease_grantor.recovery_grace_until_ms = until_ms

    def baseline_latency_ms(self) -> float:
        """Return the lowest baseline latency reported by the current holders, 0 if all are unknown."""
        return min((baseline for baseline in self._baselines_ms.values() if baseline), default=0.0)

    def on_request(
        self, sender: MemberRecord, request: ColdStartRequest, now_ms: float
    ) -> ColdStartGrant | None:
        """Grant or renew the leases of the server that sent the request.

        Returns:
            The response. None if the request is late, duplicated or invalid and must not be answered.
        """
        if not request.is_within_bounds:
            return None
        for name in self.call_quota_grantor.expire(now_ms):
            self._baselines_ms.pop(name, None)
        self._calls_limiter.record_saturation(request.saturation)
        # `is_exhausted` is always True. After a decrease, the limit therefore returns to its maximum even if
        # servers use little of it.
        if self._calls_limiter.evaluate(now_ms, is_exhausted=True):
            self.call_quota_grantor.capacity = self._calls_limiter.limit
        quota = self.call_quota_grantor.renew(_quota_request(sender, request), now_ms)
        permit = self.start_permits.renew(_permit_request(sender, request), now_ms)
        if quota is None or permit is None:
            return None
        self._baselines_ms[sender.name] = request.baseline_latency_ms
        return ColdStartGrant(
            request.quota_request_number,
            quota,
            request.permit_request_number,
            permit,
            self.baseline_latency_ms(),
        )


def _quota_request(sender: MemberRecord, request: ColdStartRequest) -> LeaseRequest:
    return LeaseRequest(
        holder_name=sender.name,
        run_id=sender.run_id,
        request_number=request.quota_request_number,
        claimed_amount=request.claimed_quota,
        wanted_amount=request.needed_calls_per_second,
    )


def _permit_request(sender: MemberRecord, request: ColdStartRequest) -> PermitRequest:
    return PermitRequest(
        holder_name=sender.name,
        run_id=sender.run_id,
        request_number=request.permit_request_number,
        claimed_permit=request.claimed_permit,
        wants_permit=request.wants_permit,
        zone=sender.zone,
        waiting_rpcs_per_second=request.waiting_rpcs_per_second,
        saturation=request.saturation,
    )
