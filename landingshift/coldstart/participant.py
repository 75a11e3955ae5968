"""One server's part in a cold start: requesting leases and, if the server is a grantor, granting them.

The leases are on start permits and call quotas. Does no I/O itself: messages are sent and received through
the server's `SwimNode`. The server's event loop or a simulation drives the node.

Guarantee: no RPC waits for a message from another server.
Failure mode: a server that reaches no grantor uses its last leases until they expire. Its call rate is then
limited to its floor, the rate for which no lease is needed. If the server is still waiting for a permit, it
starts without one after a timeout and a random delay.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from random import Random
from typing import Any

from landingshift.coldstart import wire
from landingshift.coldstart.downstream_saturation import UNKNOWN_SATURATION
from landingshift.coldstart.errors import InvalidMessageError
from landingshift.coldstart.grantor import ColdStartGrantor
from landingshift.coldstart.leases import HeldLease
from landingshift.coldstart.messages import ColdStartGrant, ColdStartRequest
from landingshift.coldstart.plan import ColdStartPlan
from landingshift.coldstart.start_sequence import StartSequence
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord
from landingshift.membership.node import SwimNode

REQUESTS_PER_LEASE_COUNT = 3.0  # requests per lease duration; a lease survives the loss of one request
REQUEST_JITTER = (0.9, 1.1)  # bounds of the random factor by which the request interval is multiplied
EARLY_REQUEST_FRACTION = 0.25  # shortest time before an early request, as a fraction of the interval
EARLY_REQUEST_NEED_RATIO = 2.0  # ratio of needed to requested call rate above which a request is sent early
SATISFIED_FRACTION = 0.9  # leases suffice if they cover at least this fraction of the needed call rate
SECOND_GRANTOR_LEASE_COUNT = 5.0  # how long a second grantor is asked after a shortfall, in lease durations


@dataclass(slots=True)
class LoadObservation:
    """A server's measurements of its own state and load.

    Attributes:
        warm_fraction: Progress of the warm-up, from 0 to 1.
        needed_calls_per_second: Downstream calls per second that the server needs.
        waiting_rpcs_per_second: Rate at which RPCs arrive at the server.
        saturation: Saturation of the downstream, below 0 if unknown.
        baseline_latency_ms: Latency of a call to the healthy downstream, 0 if never measured.
    """

    warm_fraction: float = 0.0
    needed_calls_per_second: float = 1.0
    waiting_rpcs_per_second: float = 0.0
    saturation: float = UNKNOWN_SATURATION
    baseline_latency_ms: float = 0.0


@dataclass(slots=True, eq=False)
class HeldLeases:
    """A server's leases from one grantor.

    Attributes:
        call_quota: Lease on downstream calls per second.
        start_permit: Lease on a start permit; its amount is 1 if the server has a permit, else 0.
    """

    call_quota: HeldLease
    start_permit: HeldLease

    def expires_at_ms(self) -> float:
        """Return the expiry time of the lease that expires last."""
        return max(self.call_quota.expires_at_ms, self.start_permit.expires_at_ms)


class ColdStartParticipant:
    """Requests one server's leases and advances the server through its start stages.

    If the server is a grantor, the participant also answers requests for leases.

    Attributes:
        node: Membership node of the server.
        plan: Cluster-wide cold start parameters.
        grantor: Grantor that runs in this server; None if this server is not a grantor.
        held_leases: Leases that the server holds, by grantor name.
        start_sequence: State machine of the server's start.
        observation: Latest measurements passed to `on_timer`.
        reported_baseline_ms: Baseline latency of downstream calls in the latest accepted grant, 0 if unknown.
        next_request_ms: Time of the next regular request to the grantors.
        request_count: Number of requests made since the process started.
        response_count: Number of grants accepted since the process started.
    """

    def __init__(
        self,
        node: SwimNode,
        plan: ColdStartPlan,
        rng: Random,
        now_ms: float,
        recovery_grace_ms: float | None = None,
    ) -> None:
        self.node, self.plan = node, plan
        self._rng = rng
        is_grantor = node.local_record.name in plan.grantor_names
        self.grantor = ColdStartGrantor(plan, now_ms, recovery_grace_ms) if is_grantor else None
        self.held_leases: dict[str, HeldLeases] = {}
        self.start_sequence = StartSequence(
            plan.grantor_timeout_ms, plan.max_servers, plan.ungranted_starts_per_second, rng, now_ms
        )
        self.observation = LoadObservation()
        self.reported_baseline_ms = 0.0
        self._request_interval_ms = plan.lease_ms / REQUESTS_PER_LEASE_COUNT
        # A random first delay keeps servers that start together from sending requests in step.
        self.next_request_ms = now_ms + self._request_interval_ms * rng.random()
        self.request_count = 0
        self.response_count = 0
        self._requested_calls_per_second = 0.0
        self._requested_at_ms = now_ms
        self._second_grantor_until_ms = 0.0
        node.message_handlers[wire.PACKAGE] = self.on_message

    # Held quotas and permits

    def call_quota(self, now_ms: float) -> float:
        """Return the downstream calls per second that this server is allowed to make: floor plus leases."""
        leased = sum(leases.call_quota.usable_amount(now_ms) for leases in self.held_leases.values())
        return self.floor_calls_per_second + leased

    @property
    def floor_calls_per_second(self) -> float:
        """Downstream calls per second that this server is allowed to make without a lease.

        The floors of all servers together must not exceed the part of the downstream's call rate that the
        plan reserves for them. If more than `plan.max_servers` servers are present, the floor is therefore
        reduced.
        """
        present_count = len(self.node.member_table.present_names) + 1
        return self.plan.floor_calls_per_second * min(1.0, self.plan.max_servers / present_count)

    def has_start_permit(self, now_ms: float) -> bool:
        """Return whether this server holds a start permit."""
        return any(leases.start_permit.usable_amount(now_ms) >= 1.0 for leases in self.held_leases.values())

    def present_grantors(self) -> list[str]:
        """Return the names of the present grantors, ordered by a hash that includes this server's name.

        The order differs between servers, so each grantor is first for about the same number of servers.
        """
        own_name = self.node.local_record.name
        present = [name for name in self.plan.grantor_names if name == own_name or self._is_present(name)]
        return sorted(present, key=lambda name: zlib.crc32(f"{name} {own_name}".encode()))

    def _is_present(self, name: str) -> bool:
        record = self.node.member_table.record(name)
        return record is not None and record.state not in DEPARTED_STATES

    # Sending requests

    def on_timer(self, now_ms: float, observation: LoadObservation) -> bool:
        """Send requests if they are due and advance the start sequence.

        Returns:
            Whether the start stage changed.
        """
        self.observation = observation
        if now_ms >= self.next_request_ms or self._is_early_request_due(now_ms):
            self.next_request_ms = now_ms + self._request_interval_ms * self._rng.uniform(*REQUEST_JITTER)
            self._send_requests(now_ms)
        self._remove_expired_leases(now_ms)
        return self.start_sequence.advance(
            now_ms,
            len(self.present_grantors()),
            self.has_start_permit(now_ms),
            observation.warm_fraction,
        )

    def _is_early_request_due(self, now_ms: float) -> bool:
        """Return whether to send a request before the next regular one.

        An early request is due if the needed call rate has more than doubled since the last request and the
        present quota covers almost all of the rate requested then. This happens, for example, when a server
        begins to accept RPCs.
        """
        requested = self._requested_calls_per_second
        known_need = max(requested, self.floor_calls_per_second)
        has_need_grown = (
            self.observation.needed_calls_per_second > EARLY_REQUEST_NEED_RATIO * known_need
            and self.call_quota(now_ms) >= SATISFIED_FRACTION * requested
        )
        earliest_ms = self._requested_at_ms + self._request_interval_ms * EARLY_REQUEST_FRACTION
        return has_need_grown and now_ms >= earliest_ms

    def _remove_expired_leases(self, now_ms: float) -> None:
        """Remove expired leases whose grantor has left the cluster or is no longer configured."""
        expired = [name for name, leases in self.held_leases.items() if leases.expires_at_ms() <= now_ms]
        for name in expired:
            if name not in self.plan.grantor_names or not self._is_present(name):
                del self.held_leases[name]

    def _send_requests(self, now_ms: float) -> None:
        """Request a call quota and, until the server is warm, a start permit.

        The request goes to the first of `present_grantors`. If the leases don't cover the needed call rate,
        the rest is requested from the second grantor, now and during the next `SECOND_GRANTOR_LEASE_COUNT`
        lease durations.
        """
        needed = self.observation.needed_calls_per_second
        self._requested_at_ms = now_ms
        self._requested_calls_per_second = needed
        grantors = self.present_grantors()[:2]
        if not grantors:
            return
        floor = self.floor_calls_per_second
        leased = self.call_quota(now_ms) - floor
        if self.response_count and leased < SATISFIED_FRACTION * (needed - floor):
            self._second_grantor_until_ms = now_ms + SECOND_GRANTOR_LEASE_COUNT * self.plan.lease_ms
        self._send_request(grantors[0], needed - floor, may_request_permit=True, now_ms=now_ms)
        if now_ms < self._second_grantor_until_ms and len(grantors) > 1:
            from_first = self.held_leases[grantors[0]].call_quota.usable_amount(now_ms)
            remaining = needed - floor - from_first
            self._send_request(grantors[1], remaining, may_request_permit=False, now_ms=now_ms)

    def _send_request(
        self, grantor_name: str, needed_calls_per_second: float, may_request_permit: bool, now_ms: float
    ) -> None:
        request = self._build_request(grantor_name, needed_calls_per_second, may_request_permit, now_ms)
        self.request_count += 1
        local_record = self.node.local_record
        if grantor_name == local_record.name and self.grantor is not None:
            grant = self.grantor.on_request(local_record, request, now_ms)
            if grant is not None:
                self._on_grant(grantor_name, grant, now_ms)
        else:
            self.node.send_to_member(grantor_name, wire.PACKAGE, wire.encode_request(request))

    def _build_request(
        self, grantor_name: str, needed_calls_per_second: float, may_request_permit: bool, now_ms: float
    ) -> ColdStartRequest:
        lease_ms = self.plan.lease_ms
        leases = self.held_leases.setdefault(
            grantor_name, HeldLeases(HeldLease(lease_ms), HeldLease(lease_ms))
        )
        quota_request_number, claimed_quota = leases.call_quota.next_request(now_ms)
        permit_request_number, claimed_permit = leases.start_permit.next_request(now_ms)
        return ColdStartRequest(
            quota_request_number=quota_request_number,
            claimed_quota=claimed_quota,
            needed_calls_per_second=max(0.0, needed_calls_per_second),
            permit_request_number=permit_request_number,
            claimed_permit=claimed_permit,
            wants_permit=may_request_permit and self.start_sequence.wants_permit,
            waiting_rpcs_per_second=self.observation.waiting_rpcs_per_second,
            saturation=self.observation.saturation,
            baseline_latency_ms=self.observation.baseline_latency_ms,
        )

    # Receiving messages

    def on_message(self, sender: MemberRecord, body: list[Any]) -> None:
        """Handle a request or a grant from another server. Ignore invalid messages and unrequested grants."""
        now_ms = self.node.now_ms
        try:
            message = wire.decode(body)
        except InvalidMessageError:
            return
        match message:
            case ColdStartRequest():
                self._on_request(sender, message, now_ms)
            case ColdStartGrant() if sender.name in self.held_leases:
                self._on_grant(sender.name, message, now_ms)

    def _on_request(self, sender: MemberRecord, request: ColdStartRequest, now_ms: float) -> None:
        if self.grantor is None:
            return
        grant = self.grantor.on_request(sender, request, now_ms)
        if grant is not None:
            self.node.send_to_member(sender.name, wire.PACKAGE, wire.encode_grant(grant))

    def _on_grant(self, grantor_name: str, grant: ColdStartGrant, now_ms: float) -> None:
        """Apply a grant's quota and permit; ignore either if it does not answer the latest request for it."""
        leases = self.held_leases[grantor_name]
        is_quota_accepted = leases.call_quota.on_grant(grant.quota_request_number, grant.quota, now_ms)
        is_permit_accepted = leases.start_permit.on_grant(grant.permit_request_number, grant.permit, now_ms)
        if is_quota_accepted or is_permit_accepted:
            self.start_sequence.last_grantor_response_ms = now_ms
            self.response_count += 1
            self.reported_baseline_ms = grant.baseline_latency_ms
