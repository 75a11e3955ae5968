"""The store below all servers: it bears so many calls a second, and is slow to recover from overload."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CALL_MS = 2000.0
"""A call that takes longer fails."""
OVERLOADED_SPEED_DIVISOR = 3.0
OVERLOAD_QUEUE_SECONDS = 2.0
"""A queue of so many seconds' calls overloads the store."""
RECOVERED_QUEUE_SECONDS = 0.05


@dataclass(slots=True)
class SimulatedStore:
    """Works off its queue at a constant rate, and at a third of it while it is overloaded.

    Attributes:
        calls_per_second: What it bears.
        base_latency_ms: Of a call that finds no queue.
        queued_calls: As of `updated_at_ms`.
        updated_at_ms: Virtual time.
        is_overloaded: Calls fail until the queue is worked off.
        calls_in_interval: Since the last call of `sample`.
        calls_by_interval: Calls between each two calls of `sample`.
    """

    calls_per_second: float
    base_latency_ms: float = 20.0
    queued_calls: float = 0.0
    updated_at_ms: float = 0.0
    is_overloaded: bool = False
    calls_in_interval: int = 0
    calls_by_interval: list[int] = field(default_factory=list)

    def call(self, now_ms: float) -> tuple[bool, float]:
        """Makes a call; returns whether it succeeds, and how many ms it takes."""
        self._work_off_queue(now_ms)
        self.calls_in_interval += 1
        self.queued_calls += 1.0
        duration_ms = self.base_latency_ms + self.queued_calls * 1000.0 / self._current_rate()
        succeeds = duration_ms < MAX_CALL_MS and not self.is_overloaded
        return succeeds, min(duration_ms, MAX_CALL_MS)

    def sample(self, now_ms: float) -> None:
        """Ends an interval, and decides whether the store is overloaded."""
        self._work_off_queue(now_ms)
        if self.queued_calls > OVERLOAD_QUEUE_SECONDS * self.calls_per_second:
            self.is_overloaded = True
        elif self.queued_calls < RECOVERED_QUEUE_SECONDS * self.calls_per_second:
            self.is_overloaded = False
        self.calls_by_interval.append(self.calls_in_interval)
        self.calls_in_interval = 0

    def _current_rate(self) -> float:
        if self.is_overloaded:
            return self.calls_per_second / OVERLOADED_SPEED_DIVISOR
        return self.calls_per_second

    def _work_off_queue(self, now_ms: float) -> None:
        # At each call and not once an interval, else calls that come evenly would seem to crowd each other.
        done_calls = self._current_rate() * (now_ms - self.updated_at_ms) / 1000.0
        self.queued_calls = max(0.0, self.queued_calls - done_calls)
        self.updated_at_ms = now_ms
