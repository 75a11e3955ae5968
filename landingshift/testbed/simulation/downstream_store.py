"""The downstream store that all servers call: it has a limited rate and recovers slowly from overload."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CALL_MS = 2000.0
"""A call that takes longer fails."""
OVERLOADED_SPEED_DIVISOR = 3.0
"""An overloaded store serves its normal rate of calls divided by this."""
OVERLOAD_QUEUE_SECONDS = 2.0
"""The store becomes overloaded when its queue exceeds the calls that it normally serves in this time."""
RECOVERED_QUEUE_SECONDS = 0.05
"""The store recovers when its queue falls below the calls that it normally serves in this time."""


@dataclass(slots=True)
class SimulatedStore:
    """Serves queued calls at a constant rate, and at a third of that rate while it is overloaded.

    Attributes:
        calls_per_second: Rate at which the store serves calls unless it is overloaded.
        base_latency_ms: Latency of a call in addition to the time for serving the queue and the call itself.
        queued_calls: Length of the queue at `updated_at_ms`.
        updated_at_ms: Virtual time of the last update of `queued_calls`.
        is_overloaded: Whether the store is overloaded. All calls then fail until the queue is almost empty.
        calls_in_interval: Number of calls since the last call of `sample`.
        calls_by_interval: Number of calls in each interval that a call of `sample` has ended.
    """

    calls_per_second: float
    base_latency_ms: float = 20.0
    queued_calls: float = 0.0
    updated_at_ms: float = 0.0
    is_overloaded: bool = False
    calls_in_interval: int = 0
    calls_by_interval: list[int] = field(default_factory=list)

    def call(self, now_ms: float) -> tuple[bool, float]:
        """Makes a call; returns whether it succeeds and its duration in ms."""
        self._update_queue(now_ms)
        self.calls_in_interval += 1
        self.queued_calls += 1.0
        duration_ms = self.base_latency_ms + self.queued_calls * 1000.0 / self._current_rate()
        succeeds = duration_ms < MAX_CALL_MS and not self.is_overloaded
        return succeeds, min(duration_ms, MAX_CALL_MS)

    def sample(self, now_ms: float) -> None:
        """Ends a sampling interval: counts its calls, and updates whether the store is overloaded."""
        self._update_queue(now_ms)
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

    def _update_queue(self, now_ms: float) -> None:
        # Runs at each call. If it ran only once per interval, evenly spaced calls would appear to queue.
        served_calls = self._current_rate() * (now_ms - self.updated_at_ms) / 1000.0
        self.queued_calls = max(0.0, self.queued_calls - served_calls)
        self.updated_at_ms = now_ms
