"""How near its limit the store is, by what this server's own calls see of it. Pure.

1 is the limit: calls take `SLOW` times their base, or `BAD` of them end without an answer. The base is the
lowest that this server knows, its own or one that a warm member tells: a server that starts into a collapse
has never seen the store well, and would take the collapse for its nature.
"""

from __future__ import annotations

SLOW = 3.0
BAD = 0.25
BUCKETS = 8
WIDTH = 250.0  # ms
FEW = 4  # calls below which nothing is concluded from how long they take
EMPTY = (0, 0, 0.0)


class Strain:
    def __init__(self) -> None:
        self.buckets: list[tuple[int, int, float]] = [EMPTY] * BUCKETS  # good, bad, ms of the good
        self.stamp = 0
        self.base = 0.0  # lowest mean of a bucket with enough calls; 0 where there was none

    def turn(self, now: float) -> None:
        stamp = int(now // WIDTH)
        if stamp != self.stamp:
            good, _, total = self.buckets[self.stamp % BUCKETS]
            if good >= FEW:
                mean = total / good
                self.base = min(self.base, mean) if self.base else mean
            for old in range(max(self.stamp + 1, stamp - BUCKETS + 1), stamp + 1):
                self.buckets[old % BUCKETS] = EMPTY
            self.stamp = stamp

    def called(self, now: float, good: bool, took: float) -> None:
        """`took` in ms."""
        self.turn(now)
        at = self.stamp % BUCKETS
        count, bad, total = self.buckets[at]
        self.buckets[at] = (count + 1, bad, total + took) if good else (count, bad + 1, total)

    def rate(self, now: float) -> float:
        """Calls a second that ended lately."""
        self.turn(now)
        return sum(g + b for g, b, _ in self.buckets) * 1000.0 / (BUCKETS * WIDTH)

    def value(self, now: float, told: float) -> float:
        """`told`: the lowest base that others know, 0 where none does."""
        self.turn(now)
        good = sum(b[0] for b in self.buckets)
        bad = sum(b[1] for b in self.buckets)
        if good + bad < FEW:
            return 0.0
        base = min(b for b in (self.base, told) if b) if self.base or told else 0.0
        mean = sum(b[2] for b in self.buckets) / good if good else 0.0
        slow = (mean / base - 1.0) / (SLOW - 1.0) if base and good >= FEW else 0.0
        return max(0.0, slow, bad / (good + bad) / BAD)
