"""Runs the admission controller's periodic checks with the engine's gauges, such as core utilization.

Guarantee: if the engine does not report the gauges in time, the check runs without them. A check must not be
delayed further, because the checks also enforce the deadlines of RPCs.
"""

from __future__ import annotations

from landingshift.admission.interface import Gauges
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.transport.loop import Loop, Timer

MAX_GAUGE_WAIT_MS = 25.0  # longest time that a check waits for the gauges
MAX_GAUGE_AGE_MS = 500.0  # older values are not used, since they no longer describe the load on the cores
NO_GAUGES = Gauges(None, None, None)


class CheckRunner:
    """Runs the controller's checks at the times that the controller sets.

    Args:
        gauge_names: The names of the gauges, in the order in which the engine reports them.
    """

    def __init__(
        self, loop: Loop, driver: AdmissionDriver, engine: EngineLink, gauge_names: list[str]
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.engine = engine
        self.gauge_names = gauge_names
        self.gauges = NO_GAUGES
        self.gauges_at_ms = 0.0  # time at which the engine last reported the gauges
        self.check_timer: Timer | None = None
        self.gauge_wait_timer: Timer | None = None  # set while a check waits for the gauges

    def schedule_check(self, delay_ms: float) -> None:
        """Schedules the next check; cancels any check that is scheduled or waits for the gauges."""
        self.loop.cancel(self.check_timer)
        self.check_timer = self.loop.after(delay_ms, self._begin_check)
        if self.gauge_wait_timer is not None:
            self.loop.cancel(self.gauge_wait_timer)
            self.gauge_wait_timer = None

    def on_gauges(self, values: list[float]) -> None:
        """Stores the gauges that the engine reported and runs the check that waits for them, if any."""
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
            # The controller might not have scheduled its next check. Without further checks, RPCs would get
            # no answer by their deadlines.
            self.schedule_check(MAX_GAUGE_WAIT_MS)
            raise
