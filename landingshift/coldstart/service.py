"""Cold start service on the server's event loop.

The service reports the server as not ready until the server's start stage allows the gateway to send RPCs.
The service also passes the server's call quota to admission control.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

from landingshift import failpoints, system_clock
from landingshift.admission.interface import Outcome
from landingshift.coldstart import wire
from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.coldstart.endpoint_discovery import EndpointDiscovery
from landingshift.coldstart.last_boot import read_last_boot_id, remove_last_boot_id, write_last_boot_id
from landingshift.coldstart.lease_history import LeaseHistory
from landingshift.coldstart.operator_views import cold_start_status, granted_leases, published_metadata
from landingshift.coldstart.participant import ColdStartParticipant, LoadObservation
from landingshift.coldstart.recovery_grace import recovery_grace_ms
from landingshift.coldstart.settings import Settings, cold_start_plan
from landingshift.membership.messages import MemberRecord
from landingshift.membership.service import MembershipService
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc

EVALUATION_INTERVAL_MS = 200.0  # longest time between two measurements of this server's load
MIN_TIMER_DELAY_MS = 5.0
NEED_HEADROOM_RATIO = 1.25  # ratio of the requested to the measured call rate; leaves room for growth
MIN_NEEDED_CALLS_PER_SECOND = 1.0
NO_CALL_QUOTA = -1.0  # placeholder until the first quota is applied; a real quota is never negative


def grantor_recovery_grace_ms(settings: Settings, name: str, log: Callable[..., None]) -> float | None:
    """Determine the length of a grantor's recovery grace period, and store the id of the present boot.

    The id is stored before anything is granted, because a later process in the same boot must find it.

    Returns:
        The length in ms. None if this server is not a grantor or if the default of one reservation period
        applies. Infinity if the id stored by an earlier process can be neither replaced nor removed; holders
        are then never granted more than they claim.
    """
    if not settings.endpoint_cache_path or name not in settings.grantor_names:
        return None
    path = f"{settings.endpoint_cache_path}.boot"
    boot = system_clock.system_boot()
    last_boot_id = read_last_boot_id(path)
    grace_ms = recovery_grace_ms(cold_start_plan(settings).reservation_ms, boot, last_boot_id)
    try:
        write_last_boot_id(path, boot.boot_id)
    except OSError as error:
        log("coldstart_boot_id_not_saved", error=str(error))
        # Without a stored id, the next process waits for a whole reservation period. The id of an older boot
        # would let it grant too early, so that id must be removed.
        return inf if last_boot_id and not remove_last_boot_id(path) else None
    log("coldstart_recovery_grace", ms=round(grace_ms), uptime_s=round(boot.uptime_ms / 1000.0))
    return grace_ms


class ColdStartService:
    """Drives a `ColdStartParticipant` and an `EndpointDiscovery` by timers, messages and router events.

    Attributes:
        name: Name of the service's readiness gate.
    """

    name = "coldstart"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        membership = host.services["fleet"]
        assert isinstance(membership, MembershipService)
        self._membership, self._node, self._log = membership, membership.node, host.log
        self._router, self._loop, self._settings = host.router, host.router.loop, settings
        config = self._router.config
        rng = Random(f"{config.seed} coldstart {config.name}")
        grace_ms = grantor_recovery_grace_ms(settings, self._node.local_record.name, self._log)
        # The clock is read after the uptime, so that the grace period does not end too early.
        self._participant = ColdStartParticipant(
            self._node, cold_start_plan(settings), rng, self._loop.clock_ms(), grace_ms
        )
        self._saturation = DownstreamSaturation()
        self._discovery = EndpointDiscovery(self._loop, membership, settings, rng, self._log)
        self._lease_history = LeaseHistory()
        self._applied_call_quota = NO_CALL_QUOTA
        self._router.health_reporter.add_readiness_gate(self.name)
        self._router.observers.add(self)
        self._router.before_decisions.append(self._apply_call_quota)
        membership.operator_rpc.handlers |= {
            "coldstart": self._on_status_call,
            "lent": self._on_granted_leases_call,
        }
        self._node.message_handlers[wire.PACKAGE] = self._on_message
        self._timer: Timer | None = self._loop.after(0.0, self._on_timer)

    # Router events

    def on_call_needed(self, _rpc: RoutedRpc) -> None:
        """Record that an RPC needs a downstream call."""
        self._saturation.on_call_wanted(self._loop.now_ms)

    def on_call_finished(self, _rpc: RoutedRpc, outcome: Outcome, duration_ms: float) -> None:
        """Record the result of a downstream call."""
        self._saturation.on_call_finished(self._loop.now_ms, outcome is Outcome.OK, duration_ms)

    def _observe(self) -> LoadObservation:
        """Measure this server's state and load."""
        now_ms, admission = self._loop.now_ms, self._router.admission
        if admission is None:
            return LoadObservation()
        warm_up_ms = admission.settings.warm_up_ms if admission.settings.starts_cold else 0.0
        age_ms = now_ms - admission.started_at_ms
        # Before a server accepts RPCs, it makes no calls and requests no quota. This leaves more for servers
        # that are filling their caches.
        needed = 0.0
        if self._participant.start_sequence.is_open:
            wanted = self._saturation.wanted_calls_per_second(now_ms)
            needed = max(MIN_NEEDED_CALLS_PER_SECOND, NEED_HEADROOM_RATIO * wanted)
        return LoadObservation(
            warm_fraction=min(1.0, age_ms / warm_up_ms) if warm_up_ms else 1.0,
            needed_calls_per_second=needed,
            waiting_rpcs_per_second=admission.arrivals_per_second(now_ms),
            saturation=self._saturation.saturation(now_ms, self._participant.reported_baseline_ms),
            baseline_latency_ms=self._saturation.baseline_latency_ms,
        )

    # Timer and messages

    def _on_message(self, sender: MemberRecord, body: list[Any]) -> None:
        self._participant.on_message(sender, body)
        self._on_timer()  # applies a new grant immediately

    def _on_timer(self) -> None:
        self._advance()
        self._membership.flush_outgoing()
        now_ms = self._loop.now_ms
        expiries = [
            expires_at_ms
            for leases in self._participant.held_leases.values()
            for expires_at_ms in (leases.call_quota.expires_at_ms, leases.start_permit.expires_at_ms)
            if expires_at_ms > now_ms
        ]
        next_ms = min([now_ms + EVALUATION_INTERVAL_MS, self._participant.next_request_ms, *expiries])
        self._loop.cancel(self._timer)
        self._timer = self._loop.after(max(MIN_TIMER_DELAY_MS, next_ms - now_ms), self._on_timer)

    def _advance(self) -> None:
        now_ms, participant = self._loop.now_ms, self._participant
        # `admission` is None until the engine has answered. Until then the server can't serve RPCs, so a
        # permit would be wasted.
        if self._router.admission is not None and participant.on_timer(now_ms, self._observe()):
            self._on_stage_changed()
        self._lease_history.update(participant)
        self._discovery.on_timer()
        self._node.publish_metadata(now_ms, **published_metadata(participant, now_ms))

    def _on_stage_changed(self) -> None:
        start = self._participant.start_sequence
        failpoints.reach(f"coldstart.{start.stage.value}")
        self._log(
            "coldstart",
            stage=start.stage.value,
            alone=start.started_without_grantor,
            share=round(self._participant.call_quota(self._loop.now_ms), 2),
            members=len(self._node.member_table.present_names) + 1,
        )
        if start.is_open:
            self._router.health_reporter.remove_readiness_gate(self.name)

    def _apply_call_quota(self) -> None:
        """Pass the call quota to admission control if it has changed.

        Called before the controller decides, so that it assigns no calls under a lease that has expired.
        """
        admission = self._router.admission
        if not self._settings.downstream_calls_per_second or admission is None:
            return
        quota = self._participant.call_quota(self._loop.now_ms)
        if quota != self._applied_call_quota:
            self._applied_call_quota = quota
            admission.set_call_rate_quota(quota)

    def finish(self) -> None:
        """End the discovery of members and save the endpoint cache for the next start."""
        self._discovery.finish()

    # Operator calls

    def _on_status_call(self, _params: list[Any]) -> dict[str, Any]:
        return cold_start_status(self._participant, self._discovery.poll_count, self._loop.now_ms)

    def _on_granted_leases_call(self, _params: list[Any]) -> dict[str, Any]:
        return granted_leases(self._participant)


def attach(host: ServiceHost, settings: Settings) -> ColdStartService:
    """Start the service. The membership service must already be running."""
    return ColdStartService(host, settings)
