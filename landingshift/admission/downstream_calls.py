"""Who calls the layer below, and how long each call may take.

A run that needs a call waits for a slot. Slots go to those whose value gains most by the call, while three
bounds allow: the rate (`call_rate`), this server's time in the shared store (`downstream_time_budget`), and
calls in flight by Little's law, so that a layer that turns slow is not filled with calls that all run out of
time. Where no slot is free, a run that has waited too long for one, or has too little time left, skips the
call, or fails where it cannot do without. A free slot is given whatever the time left.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.admission.call_rate import CallRate
from landingshift.admission.downstream_time_budget import DownstreamTimeBudget
from landingshift.admission.interface import Outcome
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS = 10, 3000.0
MAX_TIMEOUT_FRACTION = 0.8
"""Of the time left: what is lost below must leave time to call again, or to do without."""
MIN_TIMEOUT_CAP_MS, TIMEOUT_LATENCY_RATIO = 300.0, 6.0
"""A call may take this long, or this many mean latencies where that is more."""
DEFAULT_LATENCY_MS = 100.0
MIN_CALLS_IN_FLIGHT_COUNT, DEFAULT_CALLS_IN_FLIGHT_COUNT = 2.0, 6.0
IN_FLIGHT_LATENCY_RATIO = 6.0
"""Recent mean latencies that a call in flight may take, as long as one is waited for."""
MAX_SLOT_WAIT_FRACTION = 0.1
"""Of its time budget that an RPC may wait for a call that it can skip."""
MIN_TIMEOUT_LATENCY_RATIO = 2.0
"""A call with less time left than this many mean latencies is not worth waiting for a slot."""


class DownstreamCalls:
    """The downstream calls of this server.

    Attributes:
        rate: Bounds how fast they start.
        time_budget: Bounds how much of the shared store they take.
        latency_ms: Latencies of answered calls, of the last 30 s.
    """

    def __init__(self, server: ServerState, rate: CallRate, time_budget: DownstreamTimeBudget) -> None:
        self._server = server
        self.rate = rate
        self.time_budget = time_budget
        self.latency_ms = RollingWindow(LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS)

    def mean_latency_ms(self) -> float:
        """Mean of the calls answered in the last 30 s; 0 where there is none."""
        return self.latency_ms.mean(self._server.now_ms, 0.0)

    def timeout_ms(self, managed: ManagedRpc) -> float:
        """How long a call for this RPC may take from now on."""
        latency_ms = self.latency_ms.mean(self._server.now_ms, DEFAULT_LATENCY_MS)
        time_left_ms = managed.check_deadline_ms - self._server.now_ms
        max_timeout_ms = max(MIN_TIMEOUT_CAP_MS, TIMEOUT_LATENCY_RATIO * latency_ms)
        return min(MAX_TIMEOUT_FRACTION * time_left_ms, max_timeout_ms)

    def on_started(self, managed: ManagedRpc) -> float:
        """Notes that the RPC's call starts now; returns its timeout in ms."""
        now_ms = self._server.now_ms
        timeout_ms = self.timeout_ms(managed)
        managed.call_started_at_ms = now_ms
        managed.call_expires_at_ms = now_ms + timeout_ms + self._server.settings.lost_call_linger_ms
        return timeout_ms

    def on_cancelled(self, managed: ManagedRpc) -> None:
        """Notes that nobody waits for the RPC's call any more; the layer below may go on with it."""
        self.time_budget.record(managed, is_lost=True)

    def on_finished(self, managed: ManagedRpc, outcome: Outcome, latency_ms: float) -> None:
        """Learns from the end of a call.

        Args:
            managed: Whose call it is.
            outcome: How it ended.
            latency_ms: What it took.
        """
        managed.total_call_ms += latency_ms
        if outcome is Outcome.OK:
            self.latency_ms.add(self._server.now_ms, latency_ms)
        self.rate.record(outcome, latency_ms)
        self.time_budget.record(managed, is_lost=outcome in (Outcome.NO_RESPONSE, Outcome.CONNECTION_LOST))

    def update(self) -> None:
        """Moves the rate."""
        self.rate.update(self.latency_ms.lowest_bucket_mean(self._server.now_ms, 0.0))

    def assign_slots(self, resume: Callable[[ManagedRpc, RpcEvent], None]) -> None:
        """Permits the calls that there are slots for; of the others denies those that are too late.

        A call that has a slot is made even where little time is left for it.

        Args:
            resume: Tells an RPC's lifecycle the decision.
        """
        mean_ms = self.mean_latency_ms()
        waiting = sorted(self._server.awaiting_call_slot, key=lambda managed: -managed.call_gain)
        for place, managed in enumerate(waiting, 1):
            is_too_late = self._waits_too_long(managed, place)
            if self._has_slot(managed):
                self.rate.take_token()
                resume(managed, RpcEvent.CALL_PERMITTED)
            elif is_too_late or self.timeout_ms(managed) < MIN_TIMEOUT_LATENCY_RATIO * mean_ms:
                resume(managed, RpcEvent.CALL_DENIED)

    def _waits_too_long(self, managed: ManagedRpc, place: int) -> bool:
        """Whether an RPC that can skip its call has waited, or would wait, too much of its time for it."""
        if managed.rpc.method.degraded_value_fraction <= 0:
            return False
        waited_ms = self._server.now_ms - managed.call_started_at_ms
        wait_ms = max(waited_ms, place * 1000.0 / self.rate.calls_per_second)
        return wait_ms > MAX_SLOT_WAIT_FRACTION * managed.time_budget_ms

    def _has_slot(self, managed: ManagedRpc) -> bool:
        """Whether the RPC may call now, by rate, calls in flight and time budget."""
        if not self.rate.has_token() or len(self._server.calling) >= self._max_in_flight():
            return False
        return self.time_budget.fits(self.timeout_ms(managed))

    def _max_in_flight(self) -> float:
        """Calls that may be in flight, by Little's law: the rate of answers times a bearable latency.

        More than come back at a bearable time only wait below until they are given up. The minimum is less
        where the quota is small: several times a small quota is a crowd for the store.
        """
        quota = self._server.settings.downstream_concurrency_quota or DEFAULT_CALLS_IN_FLIGHT_COUNT
        minimum = max(MIN_CALLS_IN_FLIGHT_COUNT, min(DEFAULT_CALLS_IN_FLIGHT_COUNT, quota))
        bearable_ms = min(self.rate.tolerated_latency_ms, IN_FLIGHT_LATENCY_RATIO * self.rate.recent_mean_ms)
        return max(minimum, self.rate.recent_count() * bearable_ms / 1000.0)
