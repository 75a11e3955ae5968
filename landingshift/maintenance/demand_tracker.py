"""Demand as one leader observes it: its recent peak, its trend, and the profile that it adds to.

The peak fades slowly, since load may come back as it went; both the peak and the forecast err to the side of
waiting.
"""

from __future__ import annotations

from math import exp

from landingshift.maintenance.commands import RecordDemand
from landingshift.maintenance.demand_forecast import DailyDemandProfile, DemandTrend, forecast_demand

PEAK_RATIO = 0.9
"""Share of the recent peak that the demand is taken for at the least."""
NO_QUARTER = -1


class DemandTracker:
    """Samples of one term.

    Attributes:
        peak: The largest RPCs a second of late, which fades.
    """

    def __init__(self, peak_decay_ms: float) -> None:
        """Starts without samples. `peak_decay_ms`: time in which the peak fades to 1/e."""
        self._peak_decay_ms = peak_decay_ms
        self.reset(0.0)

    def reset(self, now_ms: float) -> None:
        """Forgets all samples, at the beginning of a term."""
        self.peak = 0.0
        self._sampled_at_ms = now_ms
        self._trend = DemandTrend()
        self._quarter = NO_QUARTER
        self._quarter_peak = 0.0

    def update_peak(self, now_ms: float, demand: float) -> None:
        """Lets the peak fade and rise. `now_ms`: monotonic; `demand`: RPCs a second."""
        decay = exp((self._sampled_at_ms - now_ms) / self._peak_decay_ms)
        self.peak = max(self.peak * decay, demand)
        self._sampled_at_ms = now_ms

    def record(self, now_ms: float, wall_ms: float, demand: float) -> RecordDemand | None:
        """Adds a sample to the trend; returns the peak of a quarter of an hour that has just ended."""
        self._trend.record(now_ms, demand)
        quarter = DailyDemandProfile.quarter_of_day(wall_ms)
        ended = None
        if quarter != self._quarter:
            if self._quarter != NO_QUARTER:
                ended = RecordDemand(self._quarter, self._quarter_peak)
            self._quarter = quarter
            self._quarter_peak = 0.0
        self._quarter_peak = max(self._quarter_peak, demand)
        return ended

    def expected(
        self, profile: DailyDemandProfile, current_demand: float, wall_ms: float, horizon_ms: float
    ) -> float:
        """Returns the RPCs a second that must be served within the horizon: forecast or recent peak."""
        forecast = forecast_demand(self._trend, profile, current_demand, wall_ms, horizon_ms)
        return max(forecast, PEAK_RATIO * self.peak)
