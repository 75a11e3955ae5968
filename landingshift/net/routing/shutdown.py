"""Graceful shutdown: answers all RPCs, then closes the connections, then stops the loop.

Guarantee: every request that had reached the server's sockets at the shutdown signal is answered, even if
its connection had not been accepted or the request had not been read. The loop stops when all connections are
closed. If a gateway does not close its side, the process runs until it is killed. If this server closed the
connection earlier, a reset could discard answers that the gateway has not read.
"""

from __future__ import annotations

from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.gateways import Gateways
from landingshift.net.transport.loop import Loop

CONNECTION_DRAIN_MS = 600.0  # time from goaway until the kill; or half of the time left, if shorter
CHECK_INTERVAL_MS = 20.0  # interval at which the server checks whether all connections are closed
MIN_TIME_LEFT_MS = 1.0  # assumed time left if the loop handles the signal only after the kill was due


class GracefulShutdown:
    """Drains the server after the shutdown signal and stops the loop.

    Args:
        stop_ms: The time from the shutdown signal until the process is killed.

    Attributes:
        stop_at_ms: The time on the loop's clock at which the process will be killed; 0 before the signal.
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
        """Starts the shutdown; a repeated call has no effect.

        Args:
            notice_ms: The time of the shutdown signal on the loop's clock; now by default. The process is
                killed `stop_ms` after the signal, even if the loop handles the signal late.
        """
        if self.is_draining:
            return
        self.is_draining = True
        elapsed_ms = max(0.0, self.loop.now_ms - notice_ms) if notice_ms is not None else 0.0
        left_ms = max(MIN_TIME_LEFT_MS, self.stop_ms - elapsed_ms)
        self.stop_at_ms = self.loop.now_ms + left_ms
        if self.driver.controller is None:
            # No RPC runs yet, but requests that have not been read must still be read and rejected.
            self._drain_connections()
            return
        self.driver.controller_for_event().start_draining(left_ms, elapsed_ms)
        drain_after_ms = self.schedule_connection_drain()
        if self.answers.gate is not None:
            self.answers.gate.flush_by(self.loop.now_ms + drain_after_ms)

    def resume(self, stop_at_ms: float) -> None:
        """Continues a drain that the old process began before a hot restart."""
        self.is_draining = True
        self.stop_at_ms = stop_at_ms
        self.schedule_connection_drain()

    def schedule_connection_drain(self) -> float:
        """Schedules the time at which the listener is closed and goaway is sent on all connections.

        Returns:
            The time until then, in ms.
        """
        left_ms = self.stop_at_ms - self.loop.now_ms
        drain_after_ms = max(left_ms - CONNECTION_DRAIN_MS, left_ms / 2.0)
        self.loop.after(drain_after_ms, self._drain_connections)
        return drain_after_ms

    def _drain_connections(self) -> None:
        self.gateways.start_draining()
        self._stop_when_drained()

    def _stop_when_drained(self) -> None:
        if self.gateways.is_drained():
            self.loop.stop()
        else:
            self.loop.after(CHECK_INTERVAL_MS, self._stop_when_drained)
