"""Answers health checks and reports the server's health to the roster of servers."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.net.protocol import roster as wire
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.transport.datagram import DatagramSender
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address

REPORT_INTERVAL_MS = 200.0  # well below the time after which the roster drops a silent server


class HealthReporter:
    """Answers health checks, and reports the server's health to the roster once the server is ready.

    A deep health check also covers the engine.

    Args:
        server_name: The server's name in the roster.
        roster: The sender of reports to the roster.
        engine: The link to the engine, which can run a self-test.
        runs_deep_checks: Whether a deep health check runs the engine's self-test.
    """

    def __init__(
        self,
        loop: Loop,
        server_name: str,
        roster: DatagramSender,
        engine: EngineLink,
        runs_deep_checks: bool,
    ) -> None:
        self.loop = loop
        self.server_name = server_name
        self.roster = roster
        self.engine = engine
        self.runs_deep_checks = runs_deep_checks
        self.is_healthy = True  # set by the admission controller
        # Whether deep checks skip the self-test, to avoid its load at a bad time; set by the controller.
        self.is_shallow = True
        self.is_reporting = False
        self.is_started = False
        self.readiness_gates: set[str] = set()  # names of the services that are not ready yet

    def add_readiness_gate(self, service: str) -> None:
        """Marks the named service as not ready, until `remove_readiness_gate` is called for it.

        While any service is not ready, the server does not start reporting to the roster, and health checks
        fail.
        """
        self.readiness_gates.add(service)

    def remove_readiness_gate(self, service: str) -> None:
        """Marks the service as ready. Reports begin once all services are ready and `start` was called."""
        if service in self.readiness_gates:
            self.readiness_gates.remove(service)
            if self.is_started:
                self.start()

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the health and whether deep checks skip the self-test.

        Once reports have started, a change of the health is reported to the roster immediately.
        """
        has_changed = is_healthy != self.is_healthy
        self.is_healthy = is_healthy
        self.is_shallow = is_shallow
        if has_changed and self.is_reporting:
            self._send_report()

    def start(self) -> None:
        """Starts the periodic reports to the roster now, or when the last readiness gate is removed."""
        self.is_started = True
        if not self.is_reporting and not self.readiness_gates:
            self.is_reporting = True
            self._report()

    def change_address(self, roster: Address) -> None:
        """Sends reports to another roster address."""
        self.roster.address = roster
        if self.is_reporting:
            self._send_report()

    def check(self, is_deep: bool, answer: Callable[[bool], None]) -> None:
        """Answers a health check; a deep check can first wait for the engine's self-test.

        Args:
            is_deep: If True, the check also covers the engine.
            answer: Called with True if the server is healthy, otherwise with False.
        """
        if self.readiness_gates or (is_deep and not self.engine.is_working):
            answer(False)  # the server is not ready yet, or cannot work without its engine
        elif is_deep and self.runs_deep_checks and self.is_healthy and not self.is_shallow:
            self.engine.run_self_test(answer)
        else:
            answer(self.is_healthy)

    def _report(self) -> None:
        self._send_report()
        self.loop.after(REPORT_INTERVAL_MS, self._report)

    def _send_report(self) -> None:
        self.roster.send(wire.encode_presence(self.server_name, self.is_healthy))
