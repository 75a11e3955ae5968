"""How saturated the shared downstream is by one server's own calls, and how many calls it needs. Pure.

At a saturation of 1 calls take a multiple of their baseline, or a good part of them fails. The baseline is
the lowest that is known, this server's own or one that it was told: a server that starts into an overload
has never seen the downstream healthy, and would take the overload for its nature. Without a call nothing is
known: silence must not pass for a healthy downstream.
"""

from __future__ import annotations

from dataclasses import dataclass

SATURATED_LATENCY_RATIO = 3.0  # to the baseline
SATURATED_FAILURE_FRACTION = 0.25  # of all calls
BUCKET_COUNT = 8
BUCKET_WIDTH_MS = 250.0
WINDOW_MS = BUCKET_COUNT * BUCKET_WIDTH_MS
MIN_BASELINE_CALL_COUNT = 4  # with fewer calls their mean is no baseline
UNKNOWN_SATURATION = -1.0
NOT_STARTED_MS = -1.0


@dataclass(slots=True)
class CallBucket:
    """Calls of one stretch of the window.

    Attributes:
        answered_count: Calls that were answered.
        failed_count: Calls that were not.
        answered_total_ms: What the answered ones took together.
        wanted_count: Calls that RPCs asked for, made or not.
    """

    answered_count: int = 0
    failed_count: int = 0
    answered_total_ms: float = 0.0
    wanted_count: int = 0


class DownstreamSaturation:
    """Rolling window over this server's calls.

    Attributes:
        baseline_latency_ms: Lowest mean of any window with enough calls, 0 where there was none.
    """

    def __init__(self) -> None:
        self._buckets = [CallBucket() for _ in range(BUCKET_COUNT)]
        self._current_index = 0
        self._first_wanted_ms = NOT_STARTED_MS
        self.baseline_latency_ms = 0.0

    def on_call_finished(self, now_ms: float, is_answered: bool, duration_ms: float) -> None:
        """A call has ended."""
        bucket = self._current_bucket(now_ms)
        if is_answered:
            bucket.answered_count += 1
            bucket.answered_total_ms += duration_ms
        else:
            bucket.failed_count += 1

    def on_call_wanted(self, now_ms: float) -> None:
        """An RPC asks for a call, whether or not it will get one: what was left out is needed too."""
        bucket = self._current_bucket(now_ms)
        if self._first_wanted_ms < 0.0:
            self._first_wanted_ms = now_ms
        bucket.wanted_count += 1

    def wanted_calls_per_second(self, now_ms: float) -> float:
        """Calls that were asked for lately; where the first one was just now, since then."""
        self._current_bucket(now_ms)
        span_ms = WINDOW_MS
        if self._first_wanted_ms >= 0.0:
            span_ms = max(BUCKET_WIDTH_MS, min(WINDOW_MS, now_ms - self._first_wanted_ms))
        return sum(bucket.wanted_count for bucket in self._buckets) * 1000.0 / span_ms

    def saturation(self, now_ms: float, reported_baseline_ms: float) -> float:
        """How saturated the downstream is: 0 healthy, 1 saturated, more where it is worse.

        Args:
            now_ms: Time.
            reported_baseline_ms: The lowest baseline that others know, 0 where none does.

        Returns:
            `UNKNOWN_SATURATION` where no call ended within the window.
        """
        self._current_bucket(now_ms)
        answered_count, mean_ms = self._answered()
        failed_count = sum(bucket.failed_count for bucket in self._buckets)
        call_count = answered_count + failed_count
        if not call_count:
            return UNKNOWN_SATURATION
        known_baselines = [
            baseline for baseline in (self.baseline_latency_ms, reported_baseline_ms) if baseline
        ]
        by_latency = 0.0
        if known_baselines and answered_count:
            by_latency = (mean_ms / min(known_baselines) - 1.0) / (SATURATED_LATENCY_RATIO - 1.0)
        by_failures = failed_count / call_count / SATURATED_FAILURE_FRACTION
        return max(0.0, by_latency, by_failures)

    def _answered(self) -> tuple[int, float]:
        """How many calls of the window were answered, and their mean in ms."""
        count = sum(bucket.answered_count for bucket in self._buckets)
        total_ms = sum(bucket.answered_total_ms for bucket in self._buckets)
        return count, total_ms / count if count else 0.0

    def _current_bucket(self, now_ms: float) -> CallBucket:
        """The bucket of the present; first empties those that have passed."""
        index = int(now_ms // BUCKET_WIDTH_MS)
        if index != self._current_index:
            self._update_baseline()
            oldest = max(self._current_index + 1, index - BUCKET_COUNT + 1)
            for passed in range(oldest, index + 1):
                self._buckets[passed % BUCKET_COUNT] = CallBucket()
            self._current_index = index
        return self._buckets[index % BUCKET_COUNT]

    def _update_baseline(self) -> None:
        count, mean_ms = self._answered()
        if count >= MIN_BASELINE_CALL_COUNT:
            known_ms = self.baseline_latency_ms
            self.baseline_latency_ms = min(known_ms, mean_ms) if known_ms else mean_ms
