"""Delivers signals as events of the loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable
from selectors import EVENT_READ

from landingshift.net.transport.loop import Loop

WATCHED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_SIGNALS_PER_READ = 64


class SignalWatcher:
    """Delivers signals as events of the loop; from its creation on, none of them ends the program.

    Attributes:
        on_signal: Called with the signal's number and the loop's time at which the signal was received.
        received_ms: By signal number, the time of the first signal that has not been delivered yet.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.on_signal: Callable[[int, float], None] | None = None
        self.received_ms: dict[int, float] = {}
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in WATCHED_SIGNALS:
            signal.signal(number, self._record_time)
        loop.watch(self.reader.fileno(), EVENT_READ, self)

    def _record_time(self, number: int, _frame: object) -> None:
        """Records the time of a signal, which counts from now and not from the end of a long pass."""
        self.received_ms.setdefault(number, self.loop.clock_ms())

    def on_ready(self, _mask: int) -> None:
        """Delivers the received signals; several with the same number count as one."""
        for number in sorted(set(self.reader.recv(MAX_SIGNALS_PER_READ))):
            received_ms = self.received_ms.pop(number, self.loop.now_ms)
            if self.on_signal is not None:
                self.on_signal(number, received_ms)

    def close(self) -> None:
        """Closes the socket that the loop reads."""
        self.reader.close()
