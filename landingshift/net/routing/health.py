"""What health checks and the roster hear."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.net.protocol import roster as wire
from landingshift.net.routing.engine import Engine
from landingshift.net.transport.datagram import Datagrams
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Address

REPORT = 200.0  # ms between two reports: fourteen in a row may be lost before the roster forgets a server


class HealthReporter:
    def __init__(self, loop: Loop, name: str, roster: Datagrams, engine: Engine, deep_checks: bool) -> None:
        self.loop, self.name, self.roster, self.engine = loop, name, roster, engine
        self.good, self.cheap, self.deep_checks = True, True, deep_checks
        self.is_reporting = self.ready = False
        self.held: set[str] = set()  # packages for which it is kept back

    def hold_back(self, package: str) -> None:
        """Until all that hold it released it, neither the roster nor a check hears that it is good."""
        self.held.add(package)

    def release(self, package: str) -> None:
        if package in self.held:
            self.held.remove(package)
            if self.ready:
                self.start()

    def set(self, good: bool, cheap: bool) -> None:
        changed, self.good, self.cheap = good != self.good, good, cheap
        if changed and self.is_reporting:
            self.say()

    def start(self) -> None:
        self.ready = True
        if not self.is_reporting and not self.held:
            self.is_reporting = True
            self.report()

    def report(self) -> None:
        self.say()
        self.loop.after(REPORT, self.report)

    def move(self, roster: Address) -> None:
        self.roster.address = roster
        if self.is_reporting:
            self.say()

    def say(self) -> None:
        self.roster.send(wire.here(self.name, self.good))

    def check(self, deep: bool, told: Callable[[bool], None]) -> None:
        if self.held or (deep and not self.engine.working):
            told(False)  # it is not to be counted on yet, or without its engine no work gets done here
        elif deep and self.deep_checks and self.good and not self.cheap:
            self.engine.test(told)
        else:
            told(self.good)
