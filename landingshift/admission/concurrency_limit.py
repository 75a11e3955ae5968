"""Adaptive limit on concurrent runs, computed from the ratio of run times to run times without load.

The limit starts at the number of cores and never falls below it. While RPCs are queued and cores are idle,
the limit is raised to the number of runs plus the number of idle cores. While the cores are busy, it is
divided by the ratio of measured run times to run times without load. It stays below the number of runs at
which the server fails. That number is smaller while the server is cold.

Reads of RPCs from the network also occupy cores, and a read cannot be stopped. While reads occupy many cores,
fewer RPCs run than the limit allows, and possibly fewer than there are cores. Otherwise, runs and reads would
slow each other down.
"""

from __future__ import annotations

from landingshift.admission.interface import Gauges
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import SAFE_FRACTION, ServerState
from landingshift.admission.service_times import ServiceTimes

BUSY_UTILIZATION_FRACTION = 0.95
"""Core utilization at and above which the cores count as busy."""
CUT_INTERVAL_MS = 500.0
"""Minimum interval between cuts of the limit, so that the effect of each cut is measured before the next."""
MIN_CUT_FACTOR = 0.5
"""A single cut removes at most half of the limit."""
MIN_SLOWDOWN = 0.01
MIN_RUNS_FOR_SLOWDOWN = 5
"""Minimum number of successful runs in the last 2 s for a meaningful mean of the slowdown (run time divided
by run time without load). Small servers do not reach this number, because they finish about two runs per
second."""
UNTHROTTLED_READING_FRACTION = 0.5
"""Fraction of the cores that reads can occupy without a reduction of the number of runs."""
SMOOTHING_OLD, SMOOTHING_NEW = 0.7, 0.3
SLOWDOWN_BUCKET_COUNT, SLOWDOWN_BUCKET_MS = 2, 1000.0
MIN_WARM_UP_MS = 1.0


class ConcurrencyLimit:
    """Adaptive limit on concurrent runs.

    Attributes:
        limit: Number of RPCs that can run concurrently, before cores busy with reads are subtracted.
        core_utilization: Core utilization from 0 to 1 at the last check.
        last_cut_ms: Time of the last cut of the limit.
        slowdown: Value for each successful run of the last 2 s: the run time, excluding downstream calls,
            divided by the method's estimated run time without load.
        busy_cores: Smoothed number of tasks that need a core.
        reading_cores: Smoothed number of tasks that need a core but are not runs; most of them read RPCs.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self.limit = float(server.settings.core_count)
        self.core_utilization = 0.0
        self.last_cut_ms = server.now_ms
        self.slowdown = RollingWindow(SLOWDOWN_BUCKET_COUNT, SLOWDOWN_BUCKET_MS)
        self.busy_cores = 0.0
        self.reading_cores = 0.0

    def record_run(self, service_times: ServiceTimes, own_ms: float) -> None:
        """Records the slowdown of a successful run, relative to the method's estimated run time without load.

        Args:
            service_times: Service times of the method.
            own_ms: Duration of the run without downstream calls.
        """
        if service_times.base_own_ms:
            self.slowdown.add(self._server.now_ms, own_ms / service_times.base_own_ms)

    def survivable_runs(self) -> float:
        """Returns how many RPCs can run concurrently without the risk that the server fails.

        The number grows while the server warms up.
        """
        settings = self._server.settings
        warmth = 1.0
        if settings.starts_cold:
            age_ms = self._server.now_ms - self._server.started_at_ms
            warmth = age_ms / max(MIN_WARM_UP_MS, settings.warm_up_ms)
        cold_speed = settings.cold_speed_fraction
        speed = min(1.0, cold_speed + (1.0 - cold_speed) * warmth)
        return (1.0 + (settings.max_runs_per_core - 1.0) * speed) * settings.core_count * SAFE_FRACTION

    def free_slots(self) -> float:
        """Returns how many more RPCs may start; a value below 1 means none.

        RPCs that make or wait for a downstream call return to the cores without a further check. They
        therefore count towards `survivable_runs`, but not towards the limit.
        """
        server = self._server
        running = server.running_count()
        calling = server.calling_count()
        unthrottled_cores = UNTHROTTLED_READING_FRACTION * server.settings.core_count
        limit = max(1.0, self.limit - max(0.0, self.reading_cores - unthrottled_cores))
        return min(limit - running, self.survivable_runs() - running - calling)

    def update(self, gauges: Gauges) -> bool:
        """Adapts the limit to the engine's gauges; uses the number of runs in place of a missing gauge.

        Returns:
            Whether the server is saturated: utilization is high and no core is idle.
        """
        core_count, running = self._server.settings.core_count, self._server.running_count()
        if gauges.core_utilization is not None:
            self.core_utilization = gauges.core_utilization
        else:
            self.core_utilization = min(1.0, running / core_count)
        on_cores = gauges.on_cores or 0.0
        self.busy_cores = SMOOTHING_OLD * self.busy_cores + SMOOTHING_NEW * on_cores
        reading = max(0.0, on_cores - running)
        self.reading_cores = SMOOTHING_OLD * self.reading_cores + SMOOTHING_NEW * reading
        idle_cores = core_count - (gauges.on_cores if gauges.on_cores is not None else running)
        is_busy = self.core_utilization >= BUSY_UTILIZATION_FRACTION
        if idle_cores > 0 and self._server.queued:
            self.limit = max(self.limit, running + idle_cores)
        elif is_busy and self._server.now_ms - self.last_cut_ms >= CUT_INTERVAL_MS:
            self._cut()
        self.limit = max(float(core_count), min(self.limit, self.survivable_runs()))
        return idle_cores <= 0 and is_busy

    def _cut(self) -> None:
        """Divides the limit by the mean slowdown of runs.

        If too few runs have ended to measure the slowdown, the number of tasks per core is used instead, so
        that the limit does not stay high on a server on which hardly any run ends.
        """
        now_ms = self._server.now_ms
        if self.slowdown.count(now_ms) >= MIN_RUNS_FOR_SLOWDOWN:
            slowdown = self.slowdown.mean(now_ms, 1.0)
        else:
            slowdown = self.busy_cores / self._server.settings.core_count
        self.limit *= max(MIN_CUT_FACTOR, min(1.0, 1.0 / max(MIN_SLOWDOWN, slowdown)))
        self.last_cut_ms = now_ms
