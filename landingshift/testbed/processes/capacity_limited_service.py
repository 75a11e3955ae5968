"""A model of a service with limited capacity, which becomes slower under overload."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.net.transport.loop import Loop

OVERLOAD_SLOWDOWN_FACTOR = 3.0
"""Factor by which the service time of a request is longer under overload."""
OVERLOAD_QUEUE_SECONDS = 2.0
"""Length of queue above which a service becomes overloaded, as the time needed to serve that queue."""
RECOVERED_QUEUE_FRACTION = 0.1
"""A service recovers when its queue is shorter than this fraction of `overload_queue_length`."""
SERVICE_LATENCY_MS = 5.0
"""Constant latency of each request, in addition to its time in the queue and its service time."""


class CapacityLimitedService:
    """A first-in, first-out queue that is served more slowly while the service is overloaded.

    Attributes:
        overload_queue_length: Number of waiting requests above which the service becomes overloaded.
        is_overloaded: Whether the service is overloaded; it remains so until the queue is short.
        overload_count: How often the service became overloaded.
        arrival_times_ms: Arrival time of each request of a server, in the loop's time.
    """

    def __init__(self, loop: Loop, requests_per_second: float) -> None:
        self._loop = loop
        self._requests_per_second = requests_per_second
        self.overload_queue_length = OVERLOAD_QUEUE_SECONDS * requests_per_second
        self._last_done_at_ms = loop.now_ms
        self._queue_length = 0
        self.is_overloaded = False
        self.overload_count = 0
        self.arrival_times_ms: list[float] = []

    def flood(self, count: int) -> None:
        """Adds `count` requests that do not come from the servers, to overload the service."""
        for _ in range(count):
            self._enqueue(_do_nothing)

    def request(self, on_done: Callable[[], None]) -> None:
        """Adds a request of a server; calls `on_done` when it has been served."""
        self.arrival_times_ms.append(self._loop.now_ms)
        self._enqueue(on_done)

    def _enqueue(self, on_done: Callable[[], None]) -> None:
        self._queue_length += 1
        if self._queue_length > self.overload_queue_length and not self.is_overloaded:
            self.is_overloaded = True
            self.overload_count += 1
        slowdown = OVERLOAD_SLOWDOWN_FACTOR if self.is_overloaded else 1.0
        service_ms = 1000.0 / self._requests_per_second * slowdown
        self._last_done_at_ms = max(self._last_done_at_ms, self._loop.now_ms) + service_ms
        delay_ms = self._last_done_at_ms - self._loop.now_ms + SERVICE_LATENCY_MS
        self._loop.after(delay_ms, lambda: self._on_done(on_done))

    def _on_done(self, on_done: Callable[[], None]) -> None:
        self._queue_length -= 1
        if self._queue_length < RECOVERED_QUEUE_FRACTION * self.overload_queue_length:
            self.is_overloaded = False
        on_done()

    def peak_count(self, window_ms: float = 1000.0) -> int:
        """Returns the greatest number of requests of servers that arrived within a window of `window_ms`."""
        peak = 0
        first = 0
        for last, arrival_ms in enumerate(self.arrival_times_ms):
            while self.arrival_times_ms[first] <= arrival_ms - window_ms:
                first += 1
            peak = max(peak, last - first + 1)
        return peak


def _do_nothing() -> None:
    """Ignores the result of a request that does not come from a server."""
