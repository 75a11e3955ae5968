"""Runs the admission controller's checks, each with the engine's gauges where they come in time.

Guarantee: a check that was asked for happens, whatever the engine does: deadlines do not wait for it.
"""

from __future__ import annotations

from landingshift.admission.interface import Gauges
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.transport.loop import Loop, Timer

MAX_GAUGE_WAIT_MS = 25.0  # that a check waits for the gauges
MAX_GAUGE_AGE_MS = 500.0  # that gauges are taken for the state of the cores
NO_GAUGES = Gauges(None, None, None)


class CheckRunner:
    """Runs the controller's checks at the times that it asks for.

    Args:
        gauge_names: The gauges' names, in the order in which the engine reports them.
    """

    def __init__(
        self, loop: Loop, driver: AdmissionDriver, engine: EngineLink, gauge_names: list[str]
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.engine = engine
        self.gauge_names = gauge_names
        self.gauges = NO_GAUGES
        self.gauges_at_ms = 0.0  # when they came
        self.check_timer: Timer | None = None
        self.gauge_wait_timer: Timer | None = None  # set while a check waits for the gauges

    def schedule_check(self, delay_ms: float) -> None:
        """The next check happens after the delay, in place of any that was asked for or is under way."""
        self.loop.cancel(self.check_timer)
        self.check_timer = self.loop.after(delay_ms, self._begin_check)
        if self.gauge_wait_timer is not None:
            self.loop.cancel(self.gauge_wait_timer)
            self.gauge_wait_timer = None

    def on_gauges(self, values: list[float]) -> None:
        """The engine reported its gauges."""
        named = dict(zip(self.gauge_names, values, strict=False))
        self.gauges = Gauges(named.get("core_use"), named.get("on_cores"), named.get("links"))
        self.gauges_at_ms = self.loop.now_ms
        if self.gauge_wait_timer is not None:
            self._check()

    def _begin_check(self) -> None:
        self.check_timer = None
        if not self.engine.is_ready:
            self._check()
            return
        self.engine.query_gauges()
        if self.gauge_wait_timer is None:
            self.gauge_wait_timer = self.loop.after(MAX_GAUGE_WAIT_MS, self._check)

    def _check(self) -> None:
        self.loop.cancel(self.gauge_wait_timer)
        self.gauge_wait_timer = None
        is_fresh = self.loop.now_ms - self.gauges_at_ms < MAX_GAUGE_AGE_MS
        try:
            self.driver.controller_for_event().on_timer(self.gauges if is_fresh else NO_GAUGES)
        except Exception:
            # A defect must not end the checks: nothing would be answered in time.
            self.schedule_check(MAX_GAUGE_WAIT_MS)
            raise
