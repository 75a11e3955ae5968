"""The cold start of a simulated server: start permit, call quota and polls of the endpoint list."""

from __future__ import annotations

from random import Random

from landingshift.coldstart.participant import ColdStartParticipant, LoadObservation
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.membership.node import SwimNode
from landingshift.testbed.simulation.cluster_context import ClusterContext
from landingshift.testbed.simulation.removed_defences import (
    RECOVERY_GRACE,
    RESERVED_AMOUNT,
    remove_recovery_grace,
    remove_reserved_amount,
)
from landingshift.testbed.simulation.rpc_service import RpcService
from landingshift.testbed.simulation.virtual_time import SimulatedHost
from landingshift.testbed.simulation.workload import WARM_UP_MS
from landingshift.testbed.verification.history import LeaseHeld

LIST_POLLS_PER_SECOND = 20.0
LIST_TIMEOUT_MS = 3000.0
DEMAND_MARGIN_FACTOR = 1.25
"""Ratio of the downstream call rate that a server requests as its quota to the rate that its RPCs need."""
MIN_DEMAND_CALLS_PER_SECOND = 1.0


class ServerColdStart:
    """The cold start of a server: start permit, call quota and polls of the endpoint list.

    Attributes:
        participant: Requests leases and, on a grantor, grants them.
        poller: Decides when to poll the endpoint list for addresses of other servers.
        is_open: Whether the server has begun to accept RPCs.
        call_quota: Call quota that was last passed to admission, in downstream calls per second; -1 if none
            has been passed.
    """

    def __init__(
        self, name: str, index: int, cluster: ClusterContext, host: SimulatedHost, node: SwimNode, rng: Random
    ) -> None:
        self._name = name
        self._index = index
        self._cluster = cluster
        self._host = host
        self._node = node
        now_ms = host.clock_ms()
        self.participant = ColdStartParticipant(node, cluster.config.cold_start, rng, now_ms)
        if cluster.config.removed_defence == RECOVERY_GRACE:
            remove_recovery_grace(self.participant, now_ms)
        if cluster.config.removed_defence == RESERVED_AMOUNT:
            remove_reserved_amount(self.participant)
        self.poller = ServiceDiscoveryPoller(
            cluster.config.server_count, LIST_POLLS_PER_SECOND, True, LIST_TIMEOUT_MS, rng, now_ms
        )
        self.is_open = False
        self.call_quota = -1.0
        self._recorded_leases: dict[str, tuple[float, ...]] = {}

    def warm_fraction(self, rpcs: RpcService) -> float:
        """Returns the capacity that the server has reached, as a fraction (0 to 1) of its full capacity."""
        if not self.is_open:
            return 0.0
        age_fraction = (self._host.clock_ms() - rpcs.admission.started_at_ms) / WARM_UP_MS
        return min(1.0, age_fraction, rpcs.engine.cache_fill_fraction)

    def step(self, rpcs: RpcService, now_ms: float) -> None:
        """Reports the load of the server to the participant, and applies the participant's decisions.

        Also polls the endpoint list if a poll is due.
        """
        self._node.now_ms = now_ms
        start_sequence = self.participant.start_sequence
        if self.participant.on_timer(now_ms, self._observe(rpcs, now_ms)):
            self.is_open = start_sequence.is_open
        call_quota = self.participant.call_quota(now_ms)
        if call_quota != self.call_quota:
            self.call_quota = call_quota
            rpcs.set_call_rate_quota(call_quota, now_ms)
        is_list_up = self._cluster.is_endpoint_list_up
        if is_list_up and self.poller.start_poll_if_due(now_ms, self._node.has_joined):
            self.poller.on_poll_finished(now_ms, True)
            self._node.add_contact_addresses(self._cluster.contact_addresses(self._index))
        self._record_leases()

    def _observe(self, rpcs: RpcService, now_ms: float) -> LoadObservation:
        saturation = rpcs.saturation
        needed_calls = 0.0
        if self.participant.start_sequence.is_open:
            wanted_calls = DEMAND_MARGIN_FACTOR * saturation.wanted_calls_per_second(now_ms)
            needed_calls = max(MIN_DEMAND_CALLS_PER_SECOND, wanted_calls)
        return LoadObservation(
            warm_fraction=self.warm_fraction(rpcs),
            needed_calls_per_second=needed_calls,
            waiting_rpcs_per_second=rpcs.admission.arrivals_per_second(now_ms),
            saturation=saturation.saturation(now_ms, self.participant.reported_baseline_ms),
            baseline_latency_ms=saturation.baseline_latency_ms,
        )

    def _record_leases(self) -> None:
        for grantor, leases in self.participant.held_leases.items():
            values = (
                leases.call_quota.held_amount,
                self._host.network_time_ms(leases.call_quota.expires_at_ms),
                leases.start_permit.held_amount,
                self._host.network_time_ms(leases.start_permit.expires_at_ms),
            )
            if self._recorded_leases.get(grantor) != values:
                self._recorded_leases[grantor] = values
                self._cluster.record(LeaseHeld.KIND, self._name, grantor, *values)
