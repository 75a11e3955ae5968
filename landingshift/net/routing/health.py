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
    """Answers health checks, and reports to the roster once the server can serve.

    Args:
        server_name: The server's name in the roster.
        roster: The sender of reports to the roster.
        engine: The link to the engine, which runs a self-test for a deep check.
        runs_deep_checks: Whether deep checks run that self-test.
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
        # Set by the admission controller, too: deep checks skip the self-test, whose load may be untimely.
        self.is_shallow = True
        self.is_reporting = False
        self.is_started = False
        self.readiness_gates: set[str] = set()  # services that hold back reports

    def add_readiness_gate(self, service: str) -> None:
        """Makes the server count as not ready until each service that added a gate has removed it.

        Until then the server does not start reporting to the roster, and health checks fail.
        """
        self.readiness_gates.add(service)

    def remove_readiness_gate(self, service: str) -> None:
        """Removes the service's gate; reports begin with the removal of the last one."""
        if service in self.readiness_gates:
            self.readiness_gates.remove(service)
            if self.is_started:
                self.start()

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the state that the admission controller decided; a change of health is reported at once."""
        has_changed = is_healthy != self.is_healthy
        self.is_healthy = is_healthy
        self.is_shallow = is_shallow
        if has_changed and self.is_reporting:
            self._send_report()

    def start(self) -> None:
        """Starts reports once the engine is up, unless a readiness gate holds them back."""
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
        """Answers a health check, at once or after the engine's self-test for a deep one."""
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
