"""The event loop: each pass reads sockets, fires timers, calls the hook `settle` and writes the output.

Guarantees:

- An exception in one handler neither stops the loop nor prevents calls of the other handlers.
- `now_ms` is never earlier than the receipt of the input that is being handled, and `settle` is called with
  the current time. Both also hold if the process is paused in the middle of a pass.
- A timer fires only if it was due when the sockets were last polled, and after the input that this poll found
  was read. After a pause, the sockets are polled again first.
"""

from __future__ import annotations

import heapq
import math
import selectors
import time
from collections.abc import Callable
from typing import Protocol

LATE_TIMER_MS = 5.0  # a timer that is overdue by more than this indicates that the process was paused
SLOW_PASS_MS = 100.0  # a pass that takes longer, without the wait for sockets, is reported
# If more time has passed since the sockets were polled, the process was paused or is busy.
MAX_POLL_AGE_MS = 50.0
MAX_CATCH_UP_READS = 16  # maximum number of `read` calls after a pause, before timers fire
# No further `read` call is made after this time: if input keeps arriving, the process is busy, not paused.
MAX_CATCH_UP_MS = 20.0
MAX_WAIT_MS = 1000.0  # maximum wait for sockets if there is no timer
MIN_CANCELLED_TIMERS = 64  # with fewer cancelled timers the heap is not compacted


class Watcher(Protocol):
    """Handles events of a file descriptor."""

    def on_ready(self, mask: int) -> None:
        """Handles the descriptor's events, given as a mask of the `selectors` module."""


class Writer(Protocol):
    """Has output that the loop writes at the end of a pass."""

    def flush(self) -> None:
        """Writes as much as can be written without blocking."""


class Timer:
    """An action that the loop calls once at a given time."""

    __slots__ = ("action", "due_ms")

    def __init__(self, due_ms: float, action: Callable[[], None] | None) -> None:
        self.due_ms = due_ms
        self.action = action  # None once it has fired or was cancelled


class Loop:
    """A single-threaded event loop.

    Args:
        on_fault: Called when a handler raises an exception; called in the `except` block, so that
            `traceback.format_exc` can format the exception.

    Attributes:
        now_ms: The monotonic time that handlers use as the current time. It was read after the input that is
            being handled was received; while timers fire, it can be late by `MAX_POLL_AGE_MS`.
        polled_ms: The monotonic time at which the sockets were last polled; timers due by then fire.
        on_slow_pass: Called with the duration of a pass that took longer than `SLOW_PASS_MS`.
        read_count: The number of `read` calls.
        pending_writers: The writers with output to write at the end of the pass, in order.
        settle: A hook that is called once in each pass, after all handlers and before the output is written.
    """

    def __init__(self, on_fault: Callable[[], None]) -> None:
        self.selector = selectors.DefaultSelector()
        self.watchers: dict[int, Watcher] = {}
        self.timers: list[tuple[float, int, Timer]] = []  # heap; the sequence number orders equal times
        self.timer_count = 0  # timers ever started
        self.cancelled_count = 0  # cancelled timers in the heap
        self.read_count = 0
        self.pending_writers: dict[Writer, None] = {}
        self.on_fault = on_fault
        self.is_running = True
        self.settle: Callable[[], None] = lambda: None
        self.on_slow_pass: Callable[[float], None] = lambda _duration_ms: None
        self.now_ms = self.clock_ms()
        self.polled_ms = self.now_ms

    @staticmethod
    def clock_ms() -> float:
        """Returns the current monotonic time."""
        return time.monotonic() * 1000.0

    def update_now(self) -> None:
        """Sets `now_ms` to the current time.

        Whoever receives input calls this after the receipt and before the input is handled. A message would
        otherwise seem to have been read before it arrived, if the process was paused after the poll.
        """
        self.now_ms = self.clock_ms()

    def after(self, delay_ms: float, action: Callable[[], None]) -> Timer:
        """Starts a timer that calls `action` after the delay.

        Actions that are due at the same time are called in the order in which their timers were started.
        """
        timer = Timer(self.now_ms + delay_ms, action)
        self.timer_count += 1
        heapq.heappush(self.timers, (timer.due_ms, self.timer_count, timer))
        return timer

    def in_next_pass(self, action: Callable[[], None]) -> Timer:
        """Starts a timer that calls `action` in the next pass, which polls the sockets without a wait."""
        return self.after(math.nextafter(self.now_ms, math.inf) - self.now_ms, action)

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer; does nothing if it is None, has fired or is already cancelled."""
        if timer is None or timer.action is None:
            return
        timer.action = None
        self.cancelled_count += 1
        if self.cancelled_count > MIN_CANCELLED_TIMERS and self.cancelled_count * 2 > len(self.timers):
            # Without compaction the heap would grow: most timers are cancelled long before they are due.
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.cancelled_count = 0

    def watch(self, fd: int, mask: int, watcher: Watcher) -> None:
        """Watches a file descriptor for the events in `mask` (of module `selectors`); 0 stops watching it."""
        previous = self.watchers.pop(fd, None)
        if mask:
            self.watchers[fd] = watcher
            if previous is None:
                self.selector.register(fd, mask, watcher)
            else:
                self.selector.modify(fd, mask, watcher)
        elif previous is not None:
            self.selector.unregister(fd)

    def stop(self) -> None:
        """Stops the loop after the current pass."""
        self.is_running = False

    def run(self) -> None:
        """Runs passes until the loop is stopped."""
        while self.is_running:
            self.run_pass()

    def run_pass(self) -> None:
        """Waits for sockets or the next timer, calls handlers and then `settle`, and writes the output."""
        wait_ms = max(0.0, self.timers[0][0] - self.clock_ms()) if self.timers else MAX_WAIT_MS
        self.read(wait_ms)
        began_ms = self.polled_ms
        if self._is_input_outdated():
            self._catch_up()
        self._fire_timers()
        self.update_now()
        self._run_guarded(self.settle)
        while self.pending_writers:
            writers = self.pending_writers
            self.pending_writers = {}
            for writer in writers:
                self._run_guarded(writer.flush)
        duration_ms = self.clock_ms() - began_ms
        if duration_ms > SLOW_PASS_MS:
            self.on_slow_pass(duration_ms)

    def _is_input_outdated(self) -> bool:
        """Returns whether the process was probably paused, so that more input can have arrived."""
        if self.clock_ms() - self.polled_ms > MAX_POLL_AGE_MS:
            return True
        return bool(self.timers) and self.polled_ms - self.timers[0][0] > LATE_TIMER_MS

    def _catch_up(self) -> None:
        """Reads input that arrived during a pause of the process, so that no timer treats it as missing.

        If the process was not paused but is busy, this must not delay the decisions on what was read.
        """
        has_input = self.read(0.0)
        began_ms = self.polled_ms
        read_count = 1
        while has_input and read_count < MAX_CATCH_UP_READS and self.polled_ms - began_ms < MAX_CATCH_UP_MS:
            has_input = self.read(0.0)
            read_count += 1

    def _fire_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.polled_ms:
            timer = heapq.heappop(self.timers)[2]
            if timer.action is None:
                self.cancelled_count -= 1
                continue
            action = timer.action
            timer.action = None
            self._run_guarded(action)

    def read(self, wait_ms: float) -> bool:
        """Waits at most `wait_ms` for socket events and calls the watchers.

        Returns:
            Whether any socket was ready.
        """
        events = self.selector.select(wait_ms / 1000.0)
        self.update_now()
        self.polled_ms = self.now_ms
        self.read_count += 1
        for key, mask in events:
            watcher = self.watchers.get(key.fd)
            if watcher is not None and watcher is key.data:  # no earlier handler has closed the socket
                try:
                    watcher.on_ready(mask)
                except Exception:
                    self.on_fault()
        return bool(events)

    def _run_guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # a fault in the handling of one RPC must not end all other RPCs
            self.on_fault()
