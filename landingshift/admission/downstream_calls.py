"""Calls to the layer below: how fast, how many at once, how long each may take, and who makes one.

Four rules guard the layer below, each on its own:

- a rate, cut while calls are lost or slow and grown again while they are answered;
- a bound on calls in flight by Little's law: no more than come back within a bearable time;
- a quota of the shared store in call time over its window, lost calls with their linger included;
- a quota of calls a second that the fleet may leave to this server.

Runs that wait for a slot are served by what their value gains by the call. One whose turn comes too late
skips the call, or fails where it cannot do without.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from landingshift.admission.interface import DownstreamKind, Outcome
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import SAFE_FRACTION, ServerState

LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS = 10, 3000.0
RECENT_BUCKET_COUNT, RECENT_BUCKET_MS = 4, 250.0
QUOTA_BUCKETS_PER_WINDOW = 10
MIN_QUOTA_BUCKET_MS = 1.0
UNANSWERED = -1.0
"""Stands in the recent calls for one that was not answered well."""

MAX_TIMEOUT_FRACTION = 0.8
"""Of the time left: what is lost below must leave time to call again, or to do without."""
MIN_TIMEOUT_CAP_MS = 300.0
TIMEOUT_LATENCY_FACTOR = 6.0
DEFAULT_LATENCY_MS = 100.0

MIN_RECENT_FOR_CUT = 6
MIN_ANSWERED_FRACTION = 0.75
SLOW_LATENCY_FACTOR = 3.0
"""Times the base latency from which calls count as slow."""
TOLERATED_LATENCY_FRACTION = 0.4
"""Of the shortest latency objective: calls that take less are no reason to skip others."""
RATE_CUT_PER_SECOND = 0.5
MIN_CALLS_PER_SECOND = 1.0
MIN_QUOTA_PER_SECOND = 0.01
UNLIMITED_RATE_FACTOR = 2.0
UNLIMITED_RATE_MARGIN = 10.0
MIN_BURST_CALLS = 1.0
BURST_SECONDS = 0.2
QUOTA_BURST_SECONDS_MS = 50.0
CONSECUTIVE_LOSSES_FOR_PAUSE = 2

MIN_CALLS_IN_FLIGHT = 2.0
DEFAULT_CALLS_IN_FLIGHT = 6.0
IN_FLIGHT_LATENCY_FACTOR = 6.0

MAX_SLOT_WAIT_FRACTION = 0.1
"""Of its time budget that an RPC may wait for a call that it can skip."""
MIN_TIMEOUT_LATENCY_FACTOR = 2.0
"""A call with less time than this many mean latencies is not worth making."""
PACING_MODE = "paced calls"


class DownstreamCalls:
    """The downstream calls of this server.

    Attributes:
        latency_ms: Latencies of answered calls, of the last 30 s. recent_ms: Latencies of the last second's
        calls, `UNANSWERED` for those that were not answered well. call_time_ms: Time that calls were in the
        layer's hands, lost ones with their linger, over the quota window. tokens: Calls that may start now
        (token bucket). calls_per_second: Rate of the bucket; unlimited while the layer below keeps up.
        quota_per_second: Calls a second that the fleet leaves to this server. consecutive_losses: Calls
        without an answer since the last one with. last_pause_ms: When the rate was last cut to the least
        for them. recent_mean_ms: Mean latency of calls answered in the last second.
    """

    def __init__(self, server: ServerState, modes: ModeLog) -> None:
        self._server = server
        self._modes = modes
        window_ms = server.settings.downstream_quota_window_ms
        self.latency_ms = RollingWindow(LATENCY_BUCKET_COUNT, LATENCY_BUCKET_MS)
        self.recent_ms = RollingWindow(RECENT_BUCKET_COUNT, RECENT_BUCKET_MS)
        self.call_time_ms = RollingWindow(
            QUOTA_BUCKETS_PER_WINDOW + 1, max(MIN_QUOTA_BUCKET_MS, window_ms / QUOTA_BUCKETS_PER_WINDOW)
        )
        self.tokens = inf
        self.calls_per_second = inf
        self.quota_per_second = inf
        self.consecutive_losses = 0
        self.last_pause_ms = server.now_ms
        self.recent_mean_ms = 0.0

    def mean_latency_ms(self) -> float:
        """Mean of the calls answered in the last 30 s; 0 where there is none."""
        return self.latency_ms.mean(self._server.now_ms, 0.0)

    def timeout_ms(self, managed: ManagedRpc) -> float:
        """How long a call for this RPC may take from now on."""
        latency_ms = self.latency_ms.mean(self._server.now_ms, DEFAULT_LATENCY_MS)
        time_left_ms = managed.check_deadline_ms - self._server.now_ms
        max_timeout_ms = max(MIN_TIMEOUT_CAP_MS, TIMEOUT_LATENCY_FACTOR * latency_ms)
        return min(MAX_TIMEOUT_FRACTION * time_left_ms, max_timeout_ms)

    def on_started(self, managed: ManagedRpc) -> float:
        """Notes that the RPC's call starts now; returns its timeout in ms."""
        now_ms = self._server.now_ms
        timeout_ms = self.timeout_ms(managed)
        managed.call_started_at_ms = now_ms
        managed.call_expires_at_ms = now_ms + timeout_ms + self._server.settings.lost_call_linger_ms
        return timeout_ms

    def on_given_up(self, managed: ManagedRpc) -> None:
        """Notes that nobody waits for the RPC's call any more; the layer below may go on with it."""
        self._record_call_time(managed, is_lost=True)

    def on_finished(self, managed: ManagedRpc, outcome: Outcome, latency_ms: float) -> None:
        """Learns from the end of a call.

        Args:
            managed: Whose call it is.
            outcome: How it ended.
            latency_ms: What it took.
        """
        now_ms = self._server.now_ms
        managed.total_call_ms += latency_ms
        if outcome is Outcome.OK:
            self.latency_ms.add(now_ms, latency_ms)
            self.consecutive_losses = 0
        elif outcome is Outcome.NO_RESPONSE:
            self._pause_after_losses(latency_ms)
        is_lost = outcome in (Outcome.NO_RESPONSE, Outcome.CONNECTION_LOST)
        self._record_call_time(managed, is_lost)
        if outcome is not Outcome.CONNECTION_LOST:  # a broken connection says nothing of the load below
            self.recent_ms.add(now_ms, latency_ms if outcome is Outcome.OK else UNANSWERED)

    def set_quota(self, calls_per_second: float) -> None:
        """Sets what the fleet leaves to this server, at once.

        What was saved up under a larger quota must not be spent under a smaller one. A server that was
        paced by its quota alone follows it up at once too; one that was paced for losses does not.
        """
        is_paced_by_quota_alone = self.calls_per_second >= self.quota_per_second
        self.quota_per_second = max(MIN_QUOTA_PER_SECOND, calls_per_second)
        if is_paced_by_quota_alone:
            self.calls_per_second = self.quota_per_second
        else:
            self.calls_per_second = min(self.calls_per_second, self.quota_per_second)
        self.tokens = min(self.tokens, MIN_BURST_CALLS)

    def update_rate(self) -> None:
        """Moves the rate by the calls of the last second, and fills the bucket.

        The rate falls while more than a quarter of the calls go without a good answer, or while they take
        several times their base latency and too much of the shortest latency objective. It grows while
        calls are answered, but not while some wait and none is; it becomes unlimited well above what is
        called, unless calls are slow.
        """
        now_ms, seconds = self._server.now_ms, self._server.seconds_since_check
        recent = self.recent_ms.values(now_ms)
        answered = [latency_ms for latency_ms in recent if latency_ms >= 0.0]
        base_ms = self.latency_ms.lowest_bucket_mean(now_ms, 0.0)
        mean_ms = sum(answered) / len(answered) if answered else 0.0
        self.recent_mean_ms = mean_ms
        is_slow = base_ms > 0.0 and mean_ms > SLOW_LATENCY_FACTOR * base_ms
        is_intolerable = is_slow and mean_ms > self._tolerated_latency_ms()
        is_unanswered = len(answered) < MIN_ANSWERED_FRACTION * len(recent)
        if len(recent) >= MIN_RECENT_FOR_CUT and (is_unanswered or is_intolerable):
            cut = 1.0 - RATE_CUT_PER_SECOND * seconds
            self.calls_per_second = max(MIN_CALLS_PER_SECOND, min(self.calls_per_second, len(recent)) * cut)
        elif answered or not self._server.awaiting_call_slot:
            if self.calls_per_second <= UNLIMITED_RATE_FACTOR * len(recent) + UNLIMITED_RATE_MARGIN:
                self.calls_per_second = self.calls_per_second * (1.0 + seconds)
            elif not is_slow:
                self.calls_per_second = inf
        self.calls_per_second = min(self.calls_per_second, self.quota_per_second)
        self._fill_bucket(seconds)
        is_paced = self.calls_per_second < self.quota_per_second
        self._modes.set(PACING_MODE, is_paced, f"mean {mean_ms:.0f} base {base_ms:.0f} ms")

    def assign_slots(self, resume: Callable[[ManagedRpc, RpcEvent], None]) -> None:
        """Lets the runs that wait for a slot call, in the order of what they gain; denies those too late.

        Args:
            resume: Tells an RPC's lifecycle the decision.
        """
        server = self._server
        mean_ms = self.mean_latency_ms()
        waiting = sorted(server.awaiting_call_slot, key=lambda managed: -managed.call_gain)
        for place, managed in enumerate(waiting, 1):
            waited_ms = server.now_ms - managed.call_started_at_ms
            wait_ms = max(waited_ms, place * 1000.0 / self.calls_per_second)
            is_skippable = managed.rpc.method.degraded_value_fraction > 0
            is_too_long = is_skippable and wait_ms > MAX_SLOT_WAIT_FRACTION * managed.time_budget_ms
            if self._has_slot(managed):
                self.tokens -= 1.0
                resume(managed, RpcEvent.CALL_PERMITTED)
            elif is_too_long or self.timeout_ms(managed) < MIN_TIMEOUT_LATENCY_FACTOR * mean_ms:
                resume(managed, RpcEvent.CALL_DENIED)

    def _tolerated_latency_ms(self) -> float:
        return TOLERATED_LATENCY_FRACTION * self._server.shortest_objective_ms

    def _pause_after_losses(self, waited_ms: float) -> None:
        """Cuts the rate to the least once two calls in a row go without an answer.

        A layer that hangs does so for all servers at once: each call lost until then is a part of a small
        quota. Calls that were in flight at the last cut do not count again.
        """
        self.consecutive_losses += 1
        is_repeated = self.consecutive_losses >= CONSECUTIVE_LOSSES_FOR_PAUSE
        if is_repeated and self._server.now_ms - self.last_pause_ms >= waited_ms:
            self.calls_per_second = MIN_CALLS_PER_SECOND
            self.last_pause_ms = self._server.now_ms

    def _record_call_time(self, managed: ManagedRpc, is_lost: bool) -> None:
        now_ms = self._server.now_ms
        linger_ms = self._server.settings.lost_call_linger_ms * is_lost
        self.call_time_ms.add(now_ms, now_ms - managed.call_started_at_ms + linger_ms)

    def _fill_bucket(self, seconds: float) -> None:
        """Adds tokens for the time since the last check, up to the burst that is allowed.

        A quota is what the store bears of this server in a second: what is saved up is beyond it.
        """
        burst = max(MIN_BURST_CALLS, BURST_SECONDS * self.calls_per_second)
        if self.calls_per_second >= self.quota_per_second:
            burst = min(burst, 1.0 + self.calls_per_second * QUOTA_BURST_SECONDS_MS / 1000.0)
        if seconds:
            self.tokens = min(self.tokens + self.calls_per_second * seconds, burst)

    def _has_slot(self, managed: ManagedRpc) -> bool:
        """Whether the RPC may call now, by rate, calls in flight and quota."""
        settings = self._server.settings
        in_flight = len(self._server.calling)
        if self.tokens < 1.0 or in_flight >= self._max_in_flight():
            return False
        has_quota = (
            settings.downstream is DownstreamKind.SHARED_STORE and settings.downstream_concurrency_quota > 0
        )
        return not has_quota or self._fits_quota(managed)

    def _max_in_flight(self) -> float:
        """Calls that may be in flight, by Little's law: the rate of answers times a bearable latency.

        More than come back at a bearable time only wait below until they are given up. The least is less
        where the quota is small: several times a small quota is a crowd for the store.
        """
        quota = self._server.settings.downstream_concurrency_quota or DEFAULT_CALLS_IN_FLIGHT
        least = max(MIN_CALLS_IN_FLIGHT, min(DEFAULT_CALLS_IN_FLIGHT, quota))
        bearable_ms = min(self._tolerated_latency_ms(), IN_FLIGHT_LATENCY_FACTOR * self.recent_mean_ms)
        return max(least, self.recent_ms.count(self._server.now_ms) * bearable_ms / 1000.0)

    def _fits_quota(self, managed: ManagedRpc) -> bool:
        """Whether the call keeps to this server's part of the shared store over any window.

        The store dies where calls in its hands exceed what it bears in the mean. What was in its hands and
        what calls in flight may still take stay within the quota, however rarely it is looked at.
        """
        settings = self._server.settings
        in_flight_ms = sum(
            calling.call_expires_at_ms - calling.call_started_at_ms for calling in self._server.calling
        )
        quota_ms = settings.downstream_concurrency_quota * settings.downstream_quota_window_ms * SAFE_FRACTION
        used_ms = self.call_time_ms.total(self._server.now_ms)
        return used_ms + in_flight_ms + self.timeout_ms(managed) + settings.lost_call_linger_ms <= quota_ms
