"""Measures the saturation of the shared downstream, and the demand for calls, from one server's own calls.

The downstream is the service, such as a database, that all servers call. A saturation of 1 means that calls
take three times their baseline latency, or that a quarter of them fails. The baseline latency is the latency
of calls to the healthy downstream. The server measures a baseline, grantors report another, and the lower of
the two is used. The reported baseline matters to a server that starts during an overload, because such a
server has measured only the latency under overload. If no call has ended within the rolling window, the
saturation is unknown: the absence of calls does not show that the downstream is healthy.

Does no I/O and reads no clock: times are passed in as ms.
"""

from __future__ import annotations

from dataclasses import dataclass

SATURATED_LATENCY_RATIO = 3.0  # ratio of mean latency to baseline latency at a saturation of 1
SATURATED_FAILURE_FRACTION = 0.25  # failed fraction of the finished calls at a saturation of 1
BUCKET_COUNT = 8
BUCKET_WIDTH_MS = 250.0
WINDOW_MS = BUCKET_COUNT * BUCKET_WIDTH_MS
MIN_BASELINE_CALL_COUNT = 4  # the mean latency of fewer answered calls is not used as a baseline
UNKNOWN_SATURATION = -1.0
NO_CALL_WANTED_MS = -1.0  # placeholder for the time of the first wanted call until there is one


@dataclass(slots=True)
class CallBucket:
    """Counts and total duration of the calls in one bucket of the rolling window.

    Attributes:
        answered_count: Number of answered calls.
        failed_count: Number of failed calls.
        answered_total_ms: Total duration of the answered calls.
        wanted_count: Number of calls that RPCs needed, whether or not the calls were made.
    """

    answered_count: int = 0
    failed_count: int = 0
    answered_total_ms: float = 0.0
    wanted_count: int = 0


class DownstreamSaturation:
    """Measures downstream saturation and the rate of wanted calls over a rolling window.

    Attributes:
        baseline_latency_ms: Lowest mean latency of any window with at least `MIN_BASELINE_CALL_COUNT`
            answered calls; 0 if there was no such window.
    """

    def __init__(self) -> None:
        self._buckets = [CallBucket() for _ in range(BUCKET_COUNT)]
        self._current_index = 0
        self._first_wanted_ms = NO_CALL_WANTED_MS
        self.baseline_latency_ms = 0.0

    def on_call_finished(self, now_ms: float, is_answered: bool, duration_ms: float) -> None:
        """Record the result of a call."""
        bucket = self._current_bucket(now_ms)
        if is_answered:
            bucket.answered_count += 1
            bucket.answered_total_ms += duration_ms
        else:
            bucket.failed_count += 1

    def on_call_wanted(self, now_ms: float) -> None:
        """Record that an RPC needs a call, even if the call is then not made."""
        bucket = self._current_bucket(now_ms)
        if self._first_wanted_ms < 0.0:
            self._first_wanted_ms = now_ms
        bucket.wanted_count += 1

    def wanted_calls_per_second(self, now_ms: float) -> float:
        """Return the mean rate of wanted calls over the window.

        If the first wanted call is more recent than the start of the window, the mean covers only the time
        since that call, but at least the width of one bucket.
        """
        self._current_bucket(now_ms)
        span_ms = WINDOW_MS
        if self._first_wanted_ms >= 0.0:
            span_ms = max(BUCKET_WIDTH_MS, min(WINDOW_MS, now_ms - self._first_wanted_ms))
        return sum(bucket.wanted_count for bucket in self._buckets) * 1000.0 / span_ms

    def saturation(self, now_ms: float, reported_baseline_ms: float) -> float:
        """Return the saturation of the downstream: 0 if healthy, 1 if saturated, above 1 if overloaded.

        Args:
            now_ms: Present time.
            reported_baseline_ms: Baseline latency reported by a grantor, 0 if unknown.

        Returns:
            The saturation, or `UNKNOWN_SATURATION` if no call has ended within the window.
        """
        self._current_bucket(now_ms)
        answered_count, mean_ms = self._answered_count_and_mean_ms()
        failed_count = sum(bucket.failed_count for bucket in self._buckets)
        call_count = answered_count + failed_count
        if not call_count:
            return UNKNOWN_SATURATION
        known_baselines = [
            baseline for baseline in (self.baseline_latency_ms, reported_baseline_ms) if baseline
        ]
        latency_saturation = 0.0
        if known_baselines and answered_count:
            latency_saturation = (mean_ms / min(known_baselines) - 1.0) / (SATURATED_LATENCY_RATIO - 1.0)
        failure_saturation = failed_count / call_count / SATURATED_FAILURE_FRACTION
        return max(0.0, latency_saturation, failure_saturation)

    def _answered_count_and_mean_ms(self) -> tuple[int, float]:
        """Return the number of answered calls in the window and their mean latency in ms."""
        count = sum(bucket.answered_count for bucket in self._buckets)
        total_ms = sum(bucket.answered_total_ms for bucket in self._buckets)
        return count, total_ms / count if count else 0.0

    def _current_bucket(self, now_ms: float) -> CallBucket:
        """Return the bucket for the present time.

        When a new bucket begins, update the baseline latency and clear the buckets that have left the window.
        """
        index = int(now_ms // BUCKET_WIDTH_MS)
        if index != self._current_index:
            self._update_baseline()
            oldest = max(self._current_index + 1, index - BUCKET_COUNT + 1)
            for expired in range(oldest, index + 1):
                self._buckets[expired % BUCKET_COUNT] = CallBucket()
            self._current_index = index
        return self._buckets[index % BUCKET_COUNT]

    def _update_baseline(self) -> None:
        count, mean_ms = self._answered_count_and_mean_ms()
        if count >= MIN_BASELINE_CALL_COUNT:
            known_ms = self.baseline_latency_ms
            self.baseline_latency_ms = min(known_ms, mean_ms) if known_ms else mean_ms
