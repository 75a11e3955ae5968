"""What runs of one method take, learned from those that ended well.

The p99 is the margin of the deadline check, the mean the expected work in the start order. The base is what
a run takes on a server without load: the least mean of a 5 s bucket in the last 40 s. The concurrency limit
is cut by how much longer than that runs take.
"""

from __future__ import annotations

from landingshift.admission.rolling_window import RollingWindow

RUN_BUCKET_COUNT, RUN_BUCKET_MS = 8, 2000.0
OWN_BUCKET_COUNT, OWN_BUCKET_MS = 8, 5000.0
REFRESH_CHANGE_FRACTION = 0.01
"""Of the values: fewer new ones hardly move the p99, and to compute it all are sorted."""


class ServiceTimes:
    """Service times of one method. All figures are 0 until a run has ended.

    Attributes:
        run_ms: Run times, calls included.
        own_ms: Run times without calls.
        changes_seen: Changes of `run_ms` that the figures include.
        p99_ms: 99th percentile of whole runs.
        mean_own_ms: Mean of runs without their calls.
        base_own_ms: Least mean of a bucket of runs without their calls.
    """

    def __init__(self) -> None:
        self.run_ms = RollingWindow(RUN_BUCKET_COUNT, RUN_BUCKET_MS)
        self.own_ms = RollingWindow(OWN_BUCKET_COUNT, OWN_BUCKET_MS)
        self.changes_seen = 0
        self.p99_ms = 0.0
        self.mean_own_ms = 0.0
        self.base_own_ms = 0.0

    def record(self, now_ms: float, run_ms: float, own_ms: float) -> None:
        """Notes a run that ended well.

        Args:
            now_ms: Time.
            run_ms: What it took in all.
            own_ms: The part of that which was not spent in downstream calls.
        """
        self.run_ms.add(now_ms, run_ms)
        self.own_ms.add(now_ms, own_ms)

    def refresh(self, now_ms: float) -> None:
        """Computes the figures anew where enough has changed."""
        count = self.run_ms.count(now_ms)
        if self.run_ms.change_count - self.changes_seen <= REFRESH_CHANGE_FRACTION * count:
            return
        self.changes_seen = self.run_ms.change_count
        self.p99_ms = sorted(self.run_ms.values(now_ms))[int(count * 0.99)] if count else 0.0
        self.mean_own_ms = self.own_ms.mean(now_ms, 0.0)
        self.base_own_ms = self.own_ms.lowest_bucket_mean(now_ms, self.mean_own_ms)
