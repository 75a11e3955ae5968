"""The one loop: sockets are read, then timers fire, then what the pass produced is settled and written.

Guarantee: nothing that a handler raises stops the loop or keeps other handlers from their turn.
"""

from __future__ import annotations

import heapq
import selectors
import time
from collections.abc import Callable
from typing import Protocol

LATE_TIMER_MS = 5.0  # a timer later than this says that the process stood still
CATCH_UP_READ_COUNT = 16  # times that the sockets are read then before it fires
MAX_WAIT_MS = 1000.0  # for sockets where there is no timer
MIN_CANCELLED_TIMERS = 64  # that may stand in the heap whatever share of it they are


class Watcher(Protocol):
    """Called when a descriptor can be read or written."""

    def on_ready(self, mask: int) -> None:
        """`mask`: events of the `selectors` module that have come."""


class Writer(Protocol):
    """Has something to write at the end of the pass."""

    def flush(self) -> None:
        """Writes what can be written now."""


class Timer:
    """An action that is due at a time of the loop."""

    __slots__ = ("action", "due_ms")

    def __init__(self, due_ms: float, action: Callable[[], None] | None) -> None:
        self.due_ms = due_ms
        self.action = action  # None once it has fired or was cancelled


class Loop:
    """Runs handlers one after the other.

    Args:
        on_fault: Called within the handling of an exception that a handler raised.

    Attributes:
        now_ms: The monotonic time at which the sockets were last read; the same for all handlers of a pass.
        read_count: How often the sockets were read.
        pending_writers: Those that have something to write at the end of the pass.
        settle: Ends each pass, before what is to be written is written.
    """

    def __init__(self, on_fault: Callable[[], None]) -> None:
        self.selector = selectors.DefaultSelector()
        self.watchers: dict[int, Watcher] = {}
        self.timers: list[tuple[float, int, Timer]] = []  # heap; the number keeps the order of equal times
        self.timer_count = 0
        self.cancelled_count = 0  # of timers in the heap
        self.read_count = 0
        self.pending_writers: dict[Writer, None] = {}
        self.on_fault = on_fault
        self.is_running = True
        self.settle: Callable[[], None] = lambda: None
        self.now_ms = self.clock_ms()

    @staticmethod
    def clock_ms() -> float:
        """The monotonic time now; later than `now_ms` within a pass."""
        return time.monotonic() * 1000.0

    def after(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Has `action` called once the time has passed; equal times keep the order of the calls."""
        timer = Timer(self.now_ms + delay_ms, action)
        self.timer_count += 1
        heapq.heappush(self.timers, (timer.due_ms, self.timer_count, timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Keeps a timer from firing; does nothing for one that has fired or was cancelled."""
        if timer is None or timer.action is None:
            return
        timer.action = None
        self.cancelled_count += 1
        if self.cancelled_count > MIN_CANCELLED_TIMERS and self.cancelled_count * 2 > len(self.timers):
            # Bounded memory: far deadlines are mostly cancelled long before they would be popped.
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.cancelled_count = 0

    def watch(self, fd: int, mask: int, watcher: Watcher) -> None:
        """Watches a descriptor for `mask` (events of the `selectors` module); 0 ends it."""
        known = self.watchers.pop(fd, None)
        if mask:
            self.watchers[fd] = watcher
            if known is None:
                self.selector.register(fd, mask, watcher)
            else:
                self.selector.modify(fd, mask, watcher)
        elif known is not None:
            self.selector.unregister(fd)

    def stop(self) -> None:
        """Ends `run` after this pass."""
        self.is_running = False

    def run(self) -> None:
        """Runs passes until it is stopped."""
        while self.is_running:
            self.run_pass()

    def run_pass(self) -> None:
        """One pass: waits for sockets or the next timer, calls handlers, settles and writes."""
        wait_ms = max(0.0, self.timers[0][0] - self.clock_ms()) if self.timers else MAX_WAIT_MS
        self.read(wait_ms)
        if self.timers and self.now_ms - self.timers[0][0] > LATE_TIMER_MS:
            self._catch_up()
        self._fire_timers()
        self._guarded(self.settle)
        while self.pending_writers:
            writers = self.pending_writers
            self.pending_writers = {}
            for writer in writers:
                self._guarded(writer.flush)

    def _catch_up(self) -> None:
        """After a pause what came meanwhile must be seen before anything is held to be overdue."""
        for _ in range(CATCH_UP_READ_COUNT):
            if not self.read(0.0):
                return

    def _fire_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now_ms:
            timer = heapq.heappop(self.timers)[2]
            if timer.action is None:
                self.cancelled_count -= 1
                continue
            action = timer.action
            timer.action = None
            self._guarded(action)

    def read(self, wait_ms: float) -> bool:
        """Waits for sockets at most so long and calls their watchers; returns whether any was ready."""
        events = self.selector.select(wait_ms / 1000.0)
        self.now_ms = self.clock_ms()
        self.read_count += 1
        for key, mask in events:
            watcher = self.watchers.get(key.fd)
            if watcher is not None and watcher is key.data:  # not closed by a handler before it
                try:
                    watcher.on_ready(mask)
                except Exception:
                    self.on_fault()
        return bool(events)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # one bad message or defect must not end the RPCs of all others
            self.on_fault()
