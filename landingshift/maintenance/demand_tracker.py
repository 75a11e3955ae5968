"""Tracks the demand that one leader observes: its recent peak, its trend, and the peak of each quarter-hour.

The peak decays slowly because a load that has dropped may return. Both the peak and the forecast tend to
overestimate, which only delays maintenance.
"""

from __future__ import annotations

from math import exp

from landingshift.maintenance.commands import RecordDemand
from landingshift.maintenance.demand_forecast import DailyDemandProfile, DemandTrend, forecast_demand

PEAK_RATIO = 0.9
"""Fraction of the recent peak used as a lower bound of the expected demand."""
UNKNOWN_QUARTER = -1


class DemandTracker:
    """Demand samples of one term of a leader.

    Attributes:
        peak: Recent peak demand in RPCs per second, decaying over time.
    """

    def __init__(self, peak_decay_ms: float) -> None:
        """Starts without samples; `peak_decay_ms` is the time in which the peak decays to 1/e."""
        self._peak_decay_ms = peak_decay_ms
        self.reset(0.0)

    def reset(self, now_ms: float) -> None:
        """Discards all samples at the start of a term."""
        self.peak = 0.0
        self._sampled_at_ms = now_ms
        self._trend = DemandTrend()
        self._quarter = UNKNOWN_QUARTER
        self._quarter_peak = 0.0

    def update_peak(self, now_ms: float, demand: float) -> None:
        """Decays the peak, then raises it to `demand` (RPCs per second) if that is larger."""
        decay = exp((self._sampled_at_ms - now_ms) / self._peak_decay_ms)
        self.peak = max(self.peak * decay, demand)
        self._sampled_at_ms = now_ms

    def record(self, now_ms: float, wall_ms: float, demand: float) -> RecordDemand | None:
        """Adds a sample to the trend and the current quarter-hour.

        Returns:
            A command that records the peak of the previous quarter-hour if this is the first sample of a new
            one; None otherwise.
        """
        self._trend.record(now_ms, demand)
        quarter = DailyDemandProfile.quarter_of_day(wall_ms)
        ended = None
        if quarter != self._quarter:
            if self._quarter != UNKNOWN_QUARTER:
                ended = RecordDemand(self._quarter, self._quarter_peak)
            self._quarter = quarter
            self._quarter_peak = 0.0
        self._quarter_peak = max(self._quarter_peak, demand)
        return ended

    def expected(
        self, profile: DailyDemandProfile, current_demand: float, wall_ms: float, horizon_ms: float
    ) -> float:
        """Returns the larger of the forecast and `PEAK_RATIO` of the recent peak, in RPCs per second."""
        forecast = forecast_demand(self._trend, profile, current_demand, wall_ms, horizon_ms)
        return max(forecast, PEAK_RATIO * self.peak)
