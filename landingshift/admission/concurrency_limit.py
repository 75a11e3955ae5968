"""How many RPCs run at once, led by the latency of runs over what they take without load.

The limit starts and is floored at the number of cores. It grows at once by the idle cores while RPCs are
queued, is cut by base over measured latency while the cores are busy, and stays below what the server
survives, which is less while it is cold. Reads cannot be stopped: where they fill the cores, the limit
gives way to them, below its floor too, or runs and reads crowd each other.
"""

from __future__ import annotations

from landingshift.admission.interface import Gauges
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import SAFE_FRACTION, ServerState
from landingshift.admission.service_times import ServiceTimes

BUSY_UTILIZATION_FRACTION = 0.95
"""Core utilization from which the cores count as busy."""
CUT_INTERVAL_MS = 500.0
"""Between two cuts, so that the effect of one is measured before the next."""
MIN_CUT_FACTOR = 0.5
"""One cut takes no more than half of the limit."""
MIN_SLOWDOWN = 0.01
MIN_RUNS_FOR_SLOWDOWN = 5
"""Fewer runs in 2 s say nothing; small servers end two a second."""
UNTHROTTLED_READING_FRACTION = 0.5
"""Of the cores that may read before the limit gives way."""
SMOOTHING_OLD, SMOOTHING_NEW = 0.7, 0.3
SLOWDOWN_BUCKET_COUNT, SLOWDOWN_BUCKET_MS = 2, 1000.0
MIN_WARM_UP_MS = 1.0


class ConcurrencyLimit:
    """The limit on runs.

    Attributes:
        limit: RPCs that may run at once, before reads are considered.
        core_utilization: From 0 to 1, at the last check.
        last_cut_ms: When the limit was last cut.
        slowdown: Run times without calls over the method's base, of the last 2 s.
        busy_cores: All that needs a core, smoothed.
        reading_cores: What of that is no run, smoothed: reads above all.
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
        """Notes how much slower than the base of its method a run was that ended well.

        Args:
            service_times: Of the method.
            own_ms: What the run took without downstream calls.
        """
        if service_times.base_own_ms:
            self.slowdown.add(self._server.now_ms, own_ms / service_times.base_own_ms)

    def survivable_runs(self) -> float:
        """RPCs on the cores that this server survives; fewer while it is cold, growing with its age."""
        settings = self._server.settings
        warmth = 1.0
        if settings.starts_cold:
            age_ms = self._server.now_ms - self._server.started_at_ms
            warmth = age_ms / max(MIN_WARM_UP_MS, settings.warm_up_ms)
        cold_speed = settings.cold_speed_fraction
        speed = min(1.0, cold_speed + (1.0 - cold_speed) * warmth)
        return (1.0 + (settings.max_runs_per_core - 1.0) * speed) * settings.core_count * SAFE_FRACTION

    def free_slots(self) -> float:
        """How many more RPCs may start; less than 1 for none.

        Those at a downstream call come back unasked: all together stay below what the server survives.
        """
        server = self._server
        running = server.running_count()
        calling = server.calling_count()
        unthrottled_cores = UNTHROTTLED_READING_FRACTION * server.settings.core_count
        limit = max(1.0, self.limit - max(0.0, self.reading_cores - unthrottled_cores))
        return min(limit - running, self.survivable_runs() - running - calling)

    def update(self, gauges: Gauges) -> bool:
        """Moves the limit by the engine's gauges, or by what runs where there are none.

        Returns:
            Whether the cores are busy and none of them is idle.
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
        """Cuts the limit by the slowdown of runs.

        Where few runs end, by what is on the cores: the limit must not stay up.
        """
        now_ms = self._server.now_ms
        if self.slowdown.count(now_ms) >= MIN_RUNS_FOR_SLOWDOWN:
            slowdown = self.slowdown.mean(now_ms, 1.0)
        else:
            slowdown = self.busy_cores / self._server.settings.core_count
        self.limit *= max(MIN_CUT_FACTOR, min(1.0, 1.0 / max(MIN_SLOWDOWN, slowdown)))
        self.last_cut_ms = now_ms
