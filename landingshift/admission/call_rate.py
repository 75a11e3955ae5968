"""How fast this server calls the layer below: a token bucket whose rate follows the answers.

The rate falls while calls are lost or slow, and grows again while they are answered. Where two calls in a
row go without an answer it falls to the least at once: a layer that hangs does so for all servers, and each
call lost until then is a part of a small quota. A fleet may leave this server a quota of calls a second,
which bounds the rate.

A layer that is slow but answers well within the latency objectives is still worth its calls.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.interface import Outcome
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

RECENT_BUCKET_COUNT, RECENT_BUCKET_MS = 4, 250.0
UNANSWERED = -1.0
"""Stands in the recent calls for one that was not answered well."""
MIN_CALLS_FOR_CUT_COUNT = 6
MIN_ANSWERED_FRACTION = 0.75
"""Of the recent calls: with fewer answers the rate falls."""
SLOW_LATENCY_RATIO = 3.0
"""Times the base latency from which calls count as slow."""
TOLERATED_LATENCY_FRACTION = 0.4
"""Of the shortest latency objective: calls that take less are no reason to skip others."""
RATE_CUT_FRACTION_PER_SECOND = 0.5
MIN_CALLS_PER_SECOND = 1.0
MIN_QUOTA_PER_SECOND = 0.01
UNLIMITED_RATE_RATIO, UNLIMITED_EXTRA_CALLS_PER_SECOND = 2.0, 10.0
"""Times the recent calls, and more than that, from which a rate bounds nothing."""
CONSECUTIVE_LOSSES_FOR_PAUSE_COUNT = 2
MIN_BURST_CALLS = 1.0
BURST_SECONDS = 0.2
QUOTA_BURST_MS = 50.0
"""What may be saved up of a quota: that of the time between two checks, in which no token is added."""
PACING_MODE = "paced calls"


class CallRate:
    """The rate of downstream calls.

    Attributes:
        recent_ms: Latencies of the last second's calls, `UNANSWERED` for those that were not answered well.
        recent_mean_ms: Mean latency of those that were, at the last check.
        tokens: Calls that may start now.
        calls_per_second: By which tokens are added; infinite while the layer below keeps up.
        quota_per_second: What the fleet leaves to this server; infinite where it sets no quota.
        consecutive_losses: Calls without an answer since the last one with.
        last_pause_ms: When the rate was last cut to the least for them.
    """

    def __init__(self, server: ServerState, modes: ModeLog) -> None:
        self._server = server
        self._modes = modes
        self.recent_ms = RollingWindow(RECENT_BUCKET_COUNT, RECENT_BUCKET_MS)
        self.recent_mean_ms = 0.0
        self.tokens = inf
        self.calls_per_second = inf
        self.quota_per_second = inf
        self.consecutive_losses = 0
        self.last_pause_ms = server.now_ms

    @property
    def tolerated_latency_ms(self) -> float:
        """Latency up to which a call is worth waiting for, by the shortest latency objective."""
        return TOLERATED_LATENCY_FRACTION * self._server.shortest_objective_ms

    def has_token(self) -> bool:
        """Whether a call may start now."""
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Notes that a call starts."""
        self.tokens -= 1.0

    def recent_count(self) -> int:
        """Calls that ended in the last second."""
        return self.recent_ms.count(self._server.now_ms)

    def record(self, outcome: Outcome, latency_ms: float) -> None:
        """Learns from the end of a call.

        Args:
            outcome: How it ended. A broken connection says nothing of the load below.
            latency_ms: What it took.
        """
        if outcome is Outcome.OK:
            self.consecutive_losses = 0
        elif outcome is Outcome.NO_RESPONSE:
            self._pause_after_losses(latency_ms)
        if outcome is not Outcome.CONNECTION_LOST:
            recent_ms = latency_ms if outcome is Outcome.OK else UNANSWERED
            self.recent_ms.add(self._server.now_ms, recent_ms)

    def set_quota(self, calls_per_second: float) -> None:
        """Sets what the fleet leaves to this server, at once.

        What was saved up under a larger quota must not be spent under a smaller one. A server that was
        bounded by its quota alone follows it up at once too; one that was cut for losses does not.
        """
        is_bounded_by_quota = self.calls_per_second >= self.quota_per_second
        self.quota_per_second = max(MIN_QUOTA_PER_SECOND, calls_per_second)
        if is_bounded_by_quota:
            self.calls_per_second = self.quota_per_second
        else:
            self.calls_per_second = min(self.calls_per_second, self.quota_per_second)
        self.tokens = min(self.tokens, MIN_BURST_CALLS)

    def update(self, base_ms: float) -> None:
        """Moves the rate by the calls of the last second, and fills the bucket.

        Args:
            base_ms: Latency of calls without load; 0 where it is not known.
        """
        recent = self.recent_ms.values(self._server.now_ms)
        answered = [latency_ms for latency_ms in recent if latency_ms >= 0.0]
        mean_ms = sum(answered) / len(answered) if answered else 0.0
        self.recent_mean_ms = mean_ms
        is_slow = base_ms > 0.0 and mean_ms > SLOW_LATENCY_RATIO * base_ms
        self._move(len(recent), len(answered), is_slow)
        self._fill_bucket()
        is_paced = self.calls_per_second < self.quota_per_second
        self._modes.set(PACING_MODE, is_paced, f"mean {mean_ms:.0f} base {base_ms:.0f} ms")

    def _move(self, recent_count: int, answered_count: int, is_slow: bool) -> None:
        """Cuts or grows the rate.

        It is cut while more than a quarter of the calls go without a good answer, or while they are slow
        and take too much of the shortest latency objective. It grows while calls are answered, but not
        while some wait and none is; it becomes infinite well above what is called, unless calls are slow.
        """
        seconds = self._server.seconds_since_check
        is_intolerable = is_slow and self.recent_mean_ms > self.tolerated_latency_ms
        is_unanswered = answered_count < MIN_ANSWERED_FRACTION * recent_count
        if recent_count >= MIN_CALLS_FOR_CUT_COUNT and (is_unanswered or is_intolerable):
            kept_fraction = 1.0 - RATE_CUT_FRACTION_PER_SECOND * seconds
            rate = min(self.calls_per_second, recent_count) * kept_fraction
            self.calls_per_second = max(MIN_CALLS_PER_SECOND, rate)
        elif answered_count or not self._server.awaiting_call_slot:
            unlimited_from = UNLIMITED_RATE_RATIO * recent_count + UNLIMITED_EXTRA_CALLS_PER_SECOND
            if self.calls_per_second <= unlimited_from:
                self.calls_per_second = self.calls_per_second * (1.0 + seconds)
            elif not is_slow:
                self.calls_per_second = inf
        self.calls_per_second = min(self.calls_per_second, self.quota_per_second)

    def _fill_bucket(self) -> None:
        """Adds tokens for the time since the last check, up to the burst that is allowed.

        A quota is what the store bears of this server in a second: what is saved up is beyond it.
        """
        seconds = self._server.seconds_since_check
        burst = max(MIN_BURST_CALLS, BURST_SECONDS * self.calls_per_second)
        if self.calls_per_second >= self.quota_per_second:
            burst = min(burst, 1.0 + self.calls_per_second * QUOTA_BURST_MS / 1000.0)
        if seconds:
            self.tokens = min(self.tokens + self.calls_per_second * seconds, burst)

    def _pause_after_losses(self, waited_ms: float) -> None:
        """Cuts the rate to the least once several calls in a row go without an answer.

        Calls that were in flight at the last such cut do not count again.
        """
        self.consecutive_losses += 1
        is_repeated = self.consecutive_losses >= CONSECUTIVE_LOSSES_FOR_PAUSE_COUNT
        if is_repeated and self._server.now_ms - self.last_pause_ms >= waited_ms:
            self.calls_per_second = MIN_CALLS_PER_SECOND
            self.last_pause_ms = self._server.now_ms
