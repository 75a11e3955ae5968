"""Graceful shutdown: answers all that was read, then lets the connections go, then ends the loop.

Guarantee: what waited to be accepted or read at the notice is answered. The loop ends when every connection
is gone; a gateway that keeps its side open is left to the kill, since a close over it could reset away
answers that it has not read.
"""

from __future__ import annotations

from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.gateways import Gateways
from landingshift.net.transport.loop import Loop

CONNECTION_DRAIN_MS = 600.0  # before the stop, at which connections are asked to go
CHECK_INTERVAL_MS = 20.0  # between two looks whether all have gone
MIN_TIME_LEFT_MS = 1.0


class GracefulShutdown:
    """The server's way from the notice to leave to its end.

    Args:
        stop_ms: The time from the notice to leave until the process is killed.

    Attributes:
        stop_at_ms: The loop's time at which the process is killed; 0 before the notice.
    """

    def __init__(
        self,
        loop: Loop,
        driver: AdmissionDriver,
        gateways: Gateways,
        answers: AnswerWriter,
        stop_ms: float,
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.gateways = gateways
        self.answers = answers
        self.stop_ms = stop_ms
        self.is_draining = False
        self.stop_at_ms = 0.0

    def start(self, notice_ms: float | None = None) -> None:
        """The notice to leave.

        Args:
            notice_ms: The loop's time at which it came. The time that it allows counts from then, however
                late the loop gets to it.
        """
        if self.is_draining:
            return
        self.is_draining = True
        elapsed_ms = max(0.0, self.loop.now_ms - notice_ms) if notice_ms is not None else 0.0
        left_ms = max(MIN_TIME_LEFT_MS, self.stop_ms - elapsed_ms)
        self.stop_at_ms = self.loop.now_ms + left_ms
        if self.driver.controller is None:
            # Nothing runs here, but what waits unread counts as received: it is told that it never ran.
            self._drain_connections()
            return
        self.driver.controller_for_event().start_draining(left_ms, elapsed_ms)
        drain_after_ms = self.schedule_connection_drain()
        if self.answers.gate is not None:
            self.answers.gate.flush_by(self.loop.now_ms + drain_after_ms)

    def resume(self, stop_at_ms: float) -> None:
        """Goes on with a drain that the old build began; called by hot restart alone."""
        self.is_draining = True
        self.stop_at_ms = stop_at_ms
        self.schedule_connection_drain()

    def schedule_connection_drain(self) -> float:
        """Sets the timer at which connections are asked to go; returns its delay in ms."""
        left_ms = self.stop_at_ms - self.loop.now_ms
        drain_after_ms = max(left_ms - CONNECTION_DRAIN_MS, left_ms / 2.0)
        self.loop.after(drain_after_ms, self._drain_connections)
        return drain_after_ms

    def _drain_connections(self) -> None:
        self.gateways.start_draining()
        self._wait_for_last()

    def _wait_for_last(self) -> None:
        if self.gateways.is_drained():
            self.loop.stop()
        else:
            self.loop.after(CHECK_INTERVAL_MS, self._wait_for_last)
