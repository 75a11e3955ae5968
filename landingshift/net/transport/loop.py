"""The one loop: sockets are read, then timers fire, then what the pass produced is settled and written."""

from __future__ import annotations

import heapq
import selectors
import time
from collections.abc import Callable
from typing import Protocol

LATE = 5.0  # a timer later than this says that the process stood still
READS = 16  # times that the sockets are read before it fires


class Watcher(Protocol):
    def on_ready(self, mask: int) -> None: ...


class Writer(Protocol):
    def flush(self) -> None: ...


class Timer:
    __slots__ = ("action", "due_ms")

    def __init__(self, at: float, action: Callable[[], None] | None) -> None:
        self.due_ms, self.action = at, action


class Loop:
    """`settle` ends each pass; `fault` hears of what a handler raised, which must not stop the others."""

    def __init__(self, fault: Callable[[], None]) -> None:
        self.selector = selectors.DefaultSelector()
        self.watched: dict[int, Watcher] = {}
        self.timers: list[tuple[float, int, Timer]] = []
        self.count, self.dead = 0, 0
        self.passes_read = 0  # times that the sockets were read
        self.pending_writers: dict[Writer, None] = {}
        self.fault, self.is_running = fault, True
        self.settle: Callable[[], None] = lambda: None
        self.now_ms = self.clock_ms()

    @staticmethod
    def clock_ms() -> float:
        return time.monotonic() * 1000.0

    def after(self, delay: float, action: Callable[[], None]) -> Timer:
        timer = Timer(self.now_ms + delay, action)
        self.count += 1
        heapq.heappush(self.timers, (timer.due_ms, self.count, timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        if timer is None or timer.action is None:
            return
        timer.action = None
        self.dead += 1
        if self.dead > 64 and self.dead * 2 > len(self.timers):
            # Bounded memory: far deadlines are mostly cancelled long before they would be popped.
            self.timers = [entry for entry in self.timers if entry[2].action is not None]
            heapq.heapify(self.timers)
            self.dead = 0

    def watch(self, fd: int, mask: int, watcher: Watcher) -> None:
        """Watches for `mask`; 0 ends it."""
        known = self.watched.pop(fd, None)
        if mask:
            self.watched[fd] = watcher
            (self.selector.register if known is None else self.selector.modify)(fd, mask, watcher)
        elif known is not None:
            self.selector.unregister(fd)

    def stop(self) -> None:
        self.is_running = False

    def run(self) -> None:
        while self.is_running:
            self.run_pass()

    def run_pass(self) -> None:
        self.read(max(0.0, self.timers[0][0] - self.clock_ms()) if self.timers else 1000.0)
        if self.timers and self.now_ms - self.timers[0][0] > LATE:
            # After a pause what came meanwhile must be seen before anything is held to be overdue.
            for _ in range(READS):
                if not self.read(0.0):
                    break
        while self.timers and self.timers[0][0] <= self.now_ms:
            timer = heapq.heappop(self.timers)[2]
            if timer.action is None:
                self.dead -= 1
            else:
                action, timer.action = timer.action, None
                self.guarded(action)
        self.guarded(self.settle)
        while self.pending_writers:
            writers, self.pending_writers = self.pending_writers, {}
            for writer in writers:
                self.guarded(writer.flush)

    def read(self, wait: float) -> bool:
        events = self.selector.select(wait / 1000.0)
        self.now_ms = self.clock_ms()
        self.passes_read += 1
        for key, mask in events:
            watcher = self.watched.get(key.fd)
            if watcher is not None and watcher is key.data:  # not closed by a handler before it
                try:
                    watcher.on_ready(mask)
                except Exception:
                    self.fault()
        return bool(events)

    def guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # one bad message or defect must not end the RPCs of all others
            self.fault()
