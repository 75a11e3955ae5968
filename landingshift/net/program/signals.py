"""Delivers signals of the operating system as events of the loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable
from selectors import EVENT_READ

from landingshift.net.transport.loop import Loop

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
WATCHED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)
MAX_SIGNALS_PER_READ = 64


class SignalWatcher:
    """Delivers SIGTERM, SIGINT and SIGHUP as events of the loop.

    Once the watcher has been created, these signals no longer end the process.

    Attributes:
        on_signal: Called with the signal's number and the time of its receipt on the loop's clock.
        received_ms: The time of receipt of each undelivered signal, keyed by signal number; if a signal was
            received several times, the first time.
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

    @property
    def is_shutdown_received(self) -> bool:
        """Whether a signal that ends the program was received and not delivered yet."""
        return not self.received_ms.keys().isdisjoint(SHUTDOWN_SIGNALS)

    def _record_time(self, number: int, _frame: object) -> None:
        """Records the time of receipt.

        The time allowed for a shutdown runs from the receipt of the signal, not from the end of a long loop
        pass.
        """
        self.received_ms.setdefault(number, self.loop.clock_ms())

    def on_ready(self, _mask: int) -> None:
        """Delivers the received signals; several signals with the same number are delivered once."""
        numbers = sorted(set(self.reader.recv(MAX_SIGNALS_PER_READ)))
        self.loop.update_now()
        for number in numbers:
            received_ms = self.received_ms.pop(number, self.loop.now_ms)
            if self.on_signal is not None:
                self.on_signal(number, received_ms)

    def close(self) -> None:
        """Closes the socket from which the loop reads signals."""
        self.reader.close()
