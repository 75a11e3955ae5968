"""A stand-in's queue that overload slows down, and when requests came to it."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.net.transport.loop import Loop

OVERLOAD_SLOWDOWN_FACTOR = 3.0
OVERLOAD_QUEUE_SECONDS = 2.0
"""Requests of so long a time wait when a service becomes overloaded."""
RECOVERED_QUEUE_FRACTION = 0.1
"""Of the queue at which a service becomes overloaded; below that it has recovered."""
SERVICE_LATENCY_MS = 5.0


class CapacityLimitedService:
    """A queue that is worked off in turn, more slowly while the service is overloaded.

    Attributes:
        overload_queue_length: Above which the service becomes overloaded.
        is_overloaded: Whether it is, until its queue is short again.
        overload_count: How often it became so.
        arrival_times_ms: Of the servers' requests.
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
        """Adds requests from elsewhere, which are none of the servers' doing."""
        for _ in range(count):
            self._enqueue(_do_nothing)

    def request(self, on_done: Callable[[], None]) -> None:
        """Adds a server's request."""
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
        """Returns the most requests of servers that came within the window."""
        peak = 0
        first = 0
        for last, arrival_ms in enumerate(self.arrival_times_ms):
            while self.arrival_times_ms[first] <= arrival_ms - window_ms:
                first += 1
            peak = max(peak, last - first + 1)
        return peak


def _do_nothing() -> None:
    """What follows on a request from elsewhere."""
