"""Rolling window of recent values in a ring of time buckets, with cheap insertion and expiry."""

from __future__ import annotations

MIN_VALUES_FOR_BUCKET_MEAN = 8
"""Minimum number of values in a bucket that `lowest_bucket_mean` considers, so that a single low value does
not determine the result."""


class RollingWindow:
    """Values that were added in the last `bucket_count` times `bucket_ms` ms, grouped into buckets by time.

    Within a bucket, the values are in the order in which they were added. The current bucket is only partly
    filled, so the window covers between `bucket_count - 1` and `bucket_count` bucket lengths.

    Attributes:
        bucket_count: Number of buckets.
        bucket_ms: Length of a bucket in ms.
        current_bucket: Number of the current bucket, counted from time 0; -1 before the first value.
        change_count: Number of values added or dropped so far. It shows whether the window has changed.
        buckets: Values of each bucket, indexed by bucket number modulo `bucket_count`.
        bucket_sums: Sum of each bucket, so that a mean does not need to visit all values.
    """

    def __init__(self, bucket_count: int, bucket_ms: float) -> None:
        self.bucket_count = bucket_count
        self.bucket_ms = bucket_ms
        self.current_bucket = -1
        self.change_count = 0
        self.buckets: list[list[float]] = [[] for _ in range(bucket_count)]
        self.bucket_sums = [0.0] * bucket_count

    @property
    def duration_ms(self) -> float:
        """Nominal length of the window in ms."""
        return self.bucket_count * self.bucket_ms

    def advance(self, now_ms: float) -> None:
        """Drops values that are older than the window at the given time."""
        bucket = int(now_ms // self.bucket_ms)
        if bucket == self.current_bucket:
            return
        first_reused = max(self.current_bucket, bucket - self.bucket_count) + 1
        for reused in range(first_reused, bucket + 1):
            index = reused % self.bucket_count
            self.change_count += len(self.buckets[index])
            self.buckets[index] = []
            self.bucket_sums[index] = 0.0
        self.current_bucket = bucket

    def add(self, now_ms: float, value: float) -> None:
        """Adds a value at the given time."""
        self.advance(now_ms)
        index = self.current_bucket % self.bucket_count
        self.buckets[index].append(value)
        self.bucket_sums[index] += value
        self.change_count += 1

    def values(self, now_ms: float) -> list[float]:
        """Returns all values, in the order of `buckets` instead of the order in which they were added."""
        self.advance(now_ms)
        return [value for bucket in self.buckets for value in bucket]

    def count(self, now_ms: float) -> int:
        """Returns the number of values."""
        self.advance(now_ms)
        return sum(map(len, self.buckets))

    def total(self, now_ms: float) -> float:
        """Returns the sum of all values."""
        self.advance(now_ms)
        return sum(self.bucket_sums)

    def mean(self, now_ms: float, default: float) -> float:
        """Returns the mean of all values, or `default` if there are none."""
        count = self.count(now_ms)
        return sum(self.bucket_sums) / count if count else default

    def lowest_bucket_mean(self, now_ms: float, default: float) -> float:
        """Returns the lowest mean among the buckets with enough values, or `default` if there are none.

        For latencies and run times, this estimates the mean without load.
        """
        self.advance(now_ms)
        means = (
            bucket_sum / len(bucket)
            for bucket_sum, bucket in zip(self.bucket_sums, self.buckets, strict=True)
            if len(bucket) >= MIN_VALUES_FOR_BUCKET_MEAN
        )
        return min(means, default=default)
