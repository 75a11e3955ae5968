"""How near its limit the store is, by what this server's own calls see of it, and what it needs. Pure.

1 is the limit: calls take `SLOW` times their base, or `BAD` of them end without an answer. The base is the
lowest that this server knows, its own or one that a warm member tells: a server that starts into a collapse
has never seen the store well, and would take the collapse for its nature. Without a call there is nothing to
tell: silence must not pass for a store that is well.
"""

from __future__ import annotations

SLOW = 3.0
BAD = 0.25
BUCKETS = 8
WIDTH = 250.0  # ms
FEW = 4  # calls below which their mean is no base
UNKNOWN_SATURATION = -1.0
EMPTY = (0, 0, 0.0)


class DownstreamSaturation:
    def __init__(self) -> None:
        self.buckets: list[tuple[int, int, float]] = [EMPTY] * BUCKETS  # good, bad, ms of the good
        self.wants = [0] * BUCKETS  # calls that RPCs asked for
        self.stamp = 0
        self.since = -1.0  # when the first call was asked for, ms
        self.baseline_latency_ms = 0.0  # lowest mean of all buckets with enough calls; 0 where there was none

    def turn(self, now: float) -> None:
        stamp = int(now // WIDTH)
        if stamp != self.stamp:
            good, mean = self.good()
            if good >= FEW:
                self.baseline_latency_ms = (
                    min(self.baseline_latency_ms, mean) if self.baseline_latency_ms else mean
                )
            for old in range(max(self.stamp + 1, stamp - BUCKETS + 1), stamp + 1):
                self.buckets[old % BUCKETS], self.wants[old % BUCKETS] = EMPTY, 0
            self.stamp = stamp

    def good(self) -> tuple[int, float]:
        """How many were answered, and ms on average."""
        good = sum(b[0] for b in self.buckets)
        return good, sum(b[2] for b in self.buckets) / good if good else 0.0

    def on_call_finished(self, now: float, good: bool, took: float) -> None:
        """`took` in ms."""
        self.turn(now)
        at = self.stamp % BUCKETS
        count, bad, total = self.buckets[at]
        self.buckets[at] = (count + 1, bad, total + took) if good else (count, bad + 1, total)

    def on_call_wanted(self, now: float) -> None:
        """An RPC asks for a call, whether or not it will get one: what was left out is needed too."""
        self.turn(now)
        if self.since < 0.0:
            self.since = now
        self.wants[self.stamp % BUCKETS] += 1

    def wanted_calls_per_second(self, now: float) -> float:
        """Calls a second that were asked for lately; of one that has just begun, since it began."""
        self.turn(now)
        span = max(WIDTH, min(BUCKETS * WIDTH, now - self.since)) if self.since >= 0.0 else BUCKETS * WIDTH
        return sum(self.wants) * 1000.0 / span

    def saturation(self, now: float, told: float) -> float:
        """`told`: the lowest base that others know, 0 where none does. UNKNOWN without a call."""
        self.turn(now)
        good, mean = self.good()
        bad = sum(b[1] for b in self.buckets)
        if not good + bad:
            return UNKNOWN_SATURATION
        base = (
            min(b for b in (self.baseline_latency_ms, told) if b) if self.baseline_latency_ms or told else 0.0
        )
        slow = (mean / base - 1.0) / (SLOW - 1.0) if base and good else 0.0
        return max(0.0, slow, bad / (good + bad) / BAD)
