"""Service times of one method, measured on successful runs.

The deadline check uses the p99 as its margin, and the start order uses the mean as the expected work. The
base time estimates the run time without load. It is the lowest of the mean run times of the 5 s buckets in
the last 40 s. The concurrency limit is divided by the ratio of run times to the base time.
"""

from __future__ import annotations

from landingshift.admission.rolling_window import RollingWindow

RUN_BUCKET_COUNT, RUN_BUCKET_MS = 8, 2000.0
OWN_BUCKET_COUNT, OWN_BUCKET_MS = 8, 5000.0
REFRESH_CHANGE_FRACTION = 0.01
"""Fraction of the values that must have changed before the statistics are recomputed. Fewer changes hardly
affect the p99, and computing the p99 requires sorting all values."""


class ServiceTimes:
    """Service times of one method. All statistics are 0 until `refresh` is called after the first run.

    Attributes:
        run_ms: Run times including downstream calls.
        own_ms: Run times without downstream calls.
        changes_seen: Value of `run_ms.change_count` when the statistics were last computed.
        p99_ms: 99th percentile of `run_ms`.
        mean_own_ms: Mean of `own_ms`.
        base_own_ms: Lowest bucket mean of `own_ms`, or its overall mean while no bucket has enough values.
    """

    def __init__(self) -> None:
        self.run_ms = RollingWindow(RUN_BUCKET_COUNT, RUN_BUCKET_MS)
        self.own_ms = RollingWindow(OWN_BUCKET_COUNT, OWN_BUCKET_MS)
        self.changes_seen = 0
        self.p99_ms = 0.0
        self.mean_own_ms = 0.0
        self.base_own_ms = 0.0

    def record(self, now_ms: float, run_ms: float, own_ms: float) -> None:
        """Records a successful run.

        Args:
            now_ms: Current time.
            run_ms: Duration of the run, including downstream calls.
            own_ms: Duration of the run without downstream calls.
        """
        self.run_ms.add(now_ms, run_ms)
        self.own_ms.add(now_ms, own_ms)

    def refresh(self, now_ms: float) -> None:
        """Recomputes the statistics if enough values have changed."""
        count = self.run_ms.count(now_ms)
        if self.run_ms.change_count - self.changes_seen <= REFRESH_CHANGE_FRACTION * count:
            return
        self.changes_seen = self.run_ms.change_count
        self.p99_ms = sorted(self.run_ms.values(now_ms))[int(count * 0.99)] if count else 0.0
        self.mean_own_ms = self.own_ms.mean(now_ms, 0.0)
        self.base_own_ms = self.own_ms.lowest_bucket_mean(now_ms, self.mean_own_ms)
