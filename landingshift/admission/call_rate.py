"""Rate limit of downstream calls: a token bucket whose rate adapts to the outcomes of recent calls.

The rate falls while calls fail or are slow and grows while they succeed. After two consecutive calls without
a response, the rate drops to the minimum immediately. If a downstream service hangs, it hangs for all
servers. Further calls would probably also be lost and would only use up the quota. The quota is an upper
bound of the rate. The fleet can assign a quota to this server, and the quota can be below one call per
second.

Slow calls do not reduce the rate as long as their mean latency is well below the latency objectives.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.interface import Outcome
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

RECENT_BUCKET_COUNT, RECENT_BUCKET_MS = 4, 250.0
UNANSWERED = -1.0
"""Value recorded in place of the latency of a call that failed."""
MIN_CALLS_FOR_CUT_COUNT = 6
MIN_ANSWERED_FRACTION = 0.75
"""Fraction of successful recent calls below which the rate is cut."""
SLOW_LATENCY_RATIO = 3.0
"""Ratio of the mean latency to the estimated latency without load above which calls count as slow."""
TOLERATED_LATENCY_FRACTION = 0.4
"""Mean call latency up to which slow calls do not cut the rate, as a fraction of the shortest latency
objective."""
RATE_CUT_FRACTION_PER_SECOND = 0.5
MIN_CALLS_PER_SECOND = 1.0
MIN_QUOTA_PER_SECOND = 0.01
UNLIMITED_RATE_RATIO, UNLIMITED_EXTRA_CALLS_PER_SECOND = 2.0, 10.0
"""The rate rises to the quota once it exceeds the first value times the number of calls in the last second,
plus the second value. The rate limit then has no effect, because far fewer calls are made."""
CONSECUTIVE_LOSSES_FOR_PAUSE_COUNT = 2
MIN_BURST_CALLS = 1.0
BURST_SECONDS = 0.2
QUOTA_BURST_MS = 50.0
"""Maximum time for which unused quota accumulates as tokens. It equals the interval between checks, because
tokens are only added at checks."""
PACING_MODE = "paced calls"


class CallRate:
    """Token bucket that limits the rate of downstream calls.

    Attributes:
        recent_ms: Latencies of the calls that ended in the last second; `UNANSWERED` for a failed call.
        recent_mean_ms: Mean latency of the successful calls in `recent_ms`, as of the last check.
        tokens: Number of calls that may start now.
        calls_per_second: Rate at which tokens are added; infinite while the downstream service keeps up.
        quota_per_second: Upper bound of the rate, assigned by the fleet; infinite without a quota.
        consecutive_losses: Number of calls without a response since the last successful one.
        last_pause_ms: Time of the latest cut to the minimum rate because of consecutive losses; initially the
            time at which this object was created.
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
        """Mean call latency up to which slow calls do not reduce the rate."""
        return TOLERATED_LATENCY_FRACTION * self._server.shortest_objective_ms

    def has_token(self) -> bool:
        """Returns whether there is a token for another call."""
        return self.tokens >= 1.0

    def take_token(self) -> None:
        """Uses one token for a call that starts."""
        self.tokens -= 1.0

    def recent_count(self) -> int:
        """Returns the number of calls that ended in the last second."""
        return self.recent_ms.count(self._server.now_ms)

    def record(self, outcome: Outcome, latency_ms: float) -> None:
        """Records the outcome of a call.

        Args:
            outcome: How the call ended. A lost connection is ignored, because it does not indicate the load
                of the downstream service.
            latency_ms: Duration of the call.
        """
        if outcome is Outcome.OK:
            self.consecutive_losses = 0
        elif outcome is Outcome.NO_RESPONSE:
            self._pause_after_losses(latency_ms)
        if outcome is not Outcome.CONNECTION_LOST:
            recent_ms = latency_ms if outcome is Outcome.OK else UNANSWERED
            self.recent_ms.add(self._server.now_ms, recent_ms)

    def set_quota(self, calls_per_second: float) -> None:
        """Replaces the quota, which is the upper bound of the rate.

        If the rate was equal to the old quota, it is set to the new one. Otherwise it can only fall: a rate
        that was cut because calls failed or were slow is not raised. All accumulated tokens but one are
        discarded, because they may stem from a larger quota.
        """
        is_bounded_by_quota = self.calls_per_second >= self.quota_per_second
        self.quota_per_second = max(MIN_QUOTA_PER_SECOND, calls_per_second)
        if is_bounded_by_quota:
            self.calls_per_second = self.quota_per_second
        else:
            self.calls_per_second = min(self.calls_per_second, self.quota_per_second)
        self.tokens = min(self.tokens, MIN_BURST_CALLS)

    def update(self, base_ms: float) -> None:
        """Adapts the rate to the calls of the last second and adds tokens.

        Args:
            base_ms: Estimated call latency of the downstream service without load; 0 if unknown.
        """
        recent = self.recent_ms.values(self._server.now_ms)
        answered = [latency_ms for latency_ms in recent if latency_ms >= 0.0]
        mean_ms = sum(answered) / len(answered) if answered else 0.0
        self.recent_mean_ms = mean_ms
        is_slow = base_ms > 0.0 and mean_ms > SLOW_LATENCY_RATIO * base_ms
        self._adapt_rate(len(recent), len(answered), is_slow)
        self._add_tokens()
        is_paced = self.calls_per_second < self.quota_per_second
        self._modes.set(PACING_MODE, is_paced, f"mean {mean_ms:.0f} base {base_ms:.0f} ms")

    def _adapt_rate(self, recent_count: int, answered_count: int, is_slow: bool) -> None:
        """Cuts or raises the rate.

        If there are enough recent calls, the rate is cut when more than a quarter of these calls failed, or
        when the calls are slow and their mean latency exceeds the tolerated latency. Otherwise the rate
        grows, unless RPCs wait for a call slot and no recent call succeeded. Once the rate is well above the
        number of recent calls and calls are not slow, the rate rises to the quota, which can be infinite.
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

    def _add_tokens(self) -> None:
        """Adds tokens for the time since the last check, up to the allowed burst.

        While the quota limits the rate, the burst is smaller, because a large burst would exceed the quota
        within one second.
        """
        seconds = self._server.seconds_since_check
        burst = max(MIN_BURST_CALLS, BURST_SECONDS * self.calls_per_second)
        if self.calls_per_second >= self.quota_per_second:
            burst = min(burst, 1.0 + self.calls_per_second * QUOTA_BURST_MS / 1000.0)
        if seconds:
            self.tokens = min(self.tokens + self.calls_per_second * seconds, burst)

    def _pause_after_losses(self, waited_ms: float) -> None:
        """Cuts the rate to the minimum after several consecutive calls without a response.

        A call that was already in flight at the previous cut of this kind does not trigger another cut.

        Args:
            waited_ms: Time after which the latest of these calls was given up.
        """
        self.consecutive_losses += 1
        is_repeated = self.consecutive_losses >= CONSECUTIVE_LOSSES_FOR_PAUSE_COUNT
        if is_repeated and self._server.now_ms - self.last_pause_ms >= waited_ms:
            self.calls_per_second = MIN_CALLS_PER_SECOND
            self.last_pause_ms = self._server.now_ms
