"""The downstream store that all servers call: it has a limited rate and recovers slowly from overload."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CALL_MS = 2000.0
"""Maximum duration of a call. A call that would take longer fails after this time."""
OVERLOADED_SPEED_DIVISOR = 3.0
"""Divisor of the normal rate of calls, which gives the rate that an overloaded store serves."""
OVERLOAD_QUEUE_SECONDS = 2.0
"""The store becomes overloaded when it has more queued calls than it can normally serve in this time."""
RECOVERED_QUEUE_SECONDS = 0.05
"""The store recovers when it has fewer queued calls than it can normally serve in this time."""


@dataclass(slots=True)
class SimulatedStore:
    """A store that serves queued calls at a constant rate, and at a third of that rate while overloaded.

    Intervals begin and end at calls of `sample`.

    Attributes:
        calls_per_second: Rate at which the store serves calls unless it is overloaded.
        base_latency_ms: Fixed part of the latency of a call. The time for serving the queue, including the
            call itself, is added to it.
        queued_calls: Number of calls in the queue at `updated_at_ms`; can be fractional.
        updated_at_ms: Virtual time of the last update of `queued_calls`.
        is_overloaded: Whether the store is overloaded. While it is, all calls fail.
        calls_in_interval: Number of calls to the store in the current interval.
        calls_by_interval: Number of calls to the store in each completed interval, in order.
    """

    calls_per_second: float
    base_latency_ms: float = 20.0
    queued_calls: float = 0.0
    updated_at_ms: float = 0.0
    is_overloaded: bool = False
    calls_in_interval: int = 0
    calls_by_interval: list[int] = field(default_factory=list)

    def call(self, now_ms: float) -> tuple[bool, float]:
        """Makes a call to the store; returns whether the call succeeds, and its duration in ms."""
        self._update_queue(now_ms)
        self.calls_in_interval += 1
        self.queued_calls += 1.0
        duration_ms = self.base_latency_ms + self.queued_calls * 1000.0 / self._current_rate()
        succeeds = duration_ms < MAX_CALL_MS and not self.is_overloaded
        return succeeds, min(duration_ms, MAX_CALL_MS)

    def sample(self, now_ms: float) -> None:
        """Ends the current interval, stores its number of calls and updates `is_overloaded`."""
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
        # This is done at each call. If served calls were subtracted only once per interval, all calls of an
        # interval would appear to queue, even if they were evenly spaced.
        served_calls = self._current_rate() * (now_ms - self.updated_at_ms) / 1000.0
        self.queued_calls = max(0.0, self.queued_calls - served_calls)
        self.updated_at_ms = now_ms
