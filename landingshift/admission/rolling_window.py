"""Values of the recent past, in time buckets that are used again: bounded in time, cheap to add to."""

from __future__ import annotations

MIN_VALUES_FOR_BUCKET_MEAN = 8
"""A bucket with fewer values does not count as the lowest: one lucky run would set it."""


class RollingWindow:
    """Values of the last `bucket_count` x `bucket_ms`, in the order they came within each bucket.

    The bucket in hand counts as a whole one, so that the window covers between `bucket_count - 1` and
    `bucket_count` buckets.

    Attributes:
        bucket_count: Number of buckets.
        bucket_ms: Length of each.
        current_bucket: Number of the bucket in hand, counted from time 0; -1 before the first value.
        change_count: Values added or dropped so far; says whether it is worth looking again.
        buckets: Values by bucket number modulo `bucket_count`.
        bucket_sums: Sum of each bucket, so that a mean need not go through all values.
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
        """Time that the window covers."""
        return self.bucket_count * self.bucket_ms

    def advance(self, now_ms: float) -> None:
        """Drops what is older than the window."""
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
        """Adds a value at this time."""
        self.advance(now_ms)
        index = self.current_bucket % self.bucket_count
        self.buckets[index].append(value)
        self.bucket_sums[index] += value
        self.change_count += 1

    def values(self, now_ms: float) -> list[float]:
        """All values, bucket by bucket as they are stored."""
        self.advance(now_ms)
        return [value for bucket in self.buckets for value in bucket]

    def count(self, now_ms: float) -> int:
        """How many values there are."""
        self.advance(now_ms)
        return sum(map(len, self.buckets))

    def total(self, now_ms: float) -> float:
        """Sum of all values."""
        self.advance(now_ms)
        return sum(self.bucket_sums)

    def mean(self, now_ms: float, default: float) -> float:
        """Mean of all values, or `default` where there are none."""
        count = self.count(now_ms)
        return sum(self.bucket_sums) / count if count else default

    def lowest_bucket_mean(self, now_ms: float, default: float) -> float:
        """The least mean of a bucket with enough values, or `default`: what is possible without a load."""
        self.advance(now_ms)
        means = (
            bucket_sum / len(bucket)
            for bucket_sum, bucket in zip(self.bucket_sums, self.buckets, strict=True)
            if len(bucket) >= MIN_VALUES_FOR_BUCKET_MEAN
        )
        return min(means, default=default)
