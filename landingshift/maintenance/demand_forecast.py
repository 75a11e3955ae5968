"""Forecasts the demand during an outage from the trend of the last minutes and the profile of the last day.

Neither suffices alone: the trend follows a current rise but can't foresee the morning peak; the profile
contains the morning peak but not how today differs. The larger forecast is used, because an overestimate only
delays maintenance while an underestimate violates the disruption budget. A new leader has no trend yet, but
the profile is part of the replicated state.
"""

from __future__ import annotations

from math import sqrt

BUCKET_MS = 30_000.0
BUCKET_COUNT = 40
MIN_TREND_POINTS = 4
"""Minimum number of buckets with samples for a trend."""
CONFIDENCE_STANDARD_ERRORS = 2.0
"""Number of standard errors added to the forecast of a rising trend."""
DAY_MS = 86_400_000.0
QUARTERS_COUNT = 96
"""Number of quarter-hours in a day."""
QUARTER_MS = DAY_MS / QUARTERS_COUNT
MIN_DAY_RATIO = 0.5
MAX_DAY_RATIO = 2.0
"""Bounds on the ratio of today's demand to that of the day before."""


class DemandTrend:
    """Linear trend of the demand over the last `BUCKET_COUNT * BUCKET_MS`, from the mean of each bucket."""

    def __init__(self) -> None:
        self._sums = [0.0] * BUCKET_COUNT
        self._counts = [0] * BUCKET_COUNT
        self._newest_bucket = -1

    def record(self, now_ms: float, demand: float) -> None:
        """Adds a sample of the demand, in RPCs per second, at the monotonic time `now_ms`."""
        bucket = int(now_ms // BUCKET_MS)
        if self._newest_bucket < 0 or bucket - self._newest_bucket >= BUCKET_COUNT:
            self._sums = [0.0] * BUCKET_COUNT
            self._counts = [0] * BUCKET_COUNT
        else:
            for skipped in range(self._newest_bucket + 1, bucket + 1):
                self._sums[skipped % BUCKET_COUNT] = 0.0
                self._counts[skipped % BUCKET_COUNT] = 0
        self._newest_bucket = max(bucket, self._newest_bucket)
        self._sums[bucket % BUCKET_COUNT] += demand
        self._counts[bucket % BUCKET_COUNT] += 1

    def points(self) -> list[tuple[float, float]]:
        """Returns the buckets with samples, oldest first, as (time, mean demand).

        Times are ms relative to the newest bucket, 0 or less.
        """
        points = []
        for age in range(BUCKET_COUNT - 1, -1, -1):
            index = (self._newest_bucket - age) % BUCKET_COUNT
            if self._newest_bucket >= age and self._counts[index]:
                points.append((-age * BUCKET_MS, self._sums[index] / self._counts[index]))
        return points

    def forecast(self, horizon_ms: float) -> float:
        """Returns the largest demand that the trend predicts within `horizon_ms`; 0 without a trend.

        A rising trend is extrapolated no further ahead than its samples reach back, since a rise over one
        minute does not predict the next hour. A falling trend is not extrapolated.
        """
        points = self.points()
        if len(points) < MIN_TREND_POINTS:
            return 0.0
        count = len(points)
        mean_time = sum(time for time, _ in points) / count
        mean_demand = sum(demand for _, demand in points) / count
        time_spread = sum((time - mean_time) ** 2 for time, _ in points)
        covariance = sum((time - mean_time) * (demand - mean_demand) for time, demand in points)
        slope = covariance / time_spread
        if slope <= 0.0:
            return mean_demand + slope * (0.0 - mean_time)
        squared_residuals = sum(
            (demand - mean_demand - slope * (time - mean_time)) ** 2 for time, demand in points
        )
        target = min(horizon_ms, -points[0][0])
        variance = squared_residuals / (count - 2) * (1.0 / count + (target - mean_time) ** 2 / time_spread)
        return mean_demand + slope * (target - mean_time) + CONFIDENCE_STANDARD_ERRORS * sqrt(variance)


class DailyDemandProfile:
    """Peak demand of each quarter-hour of the last day.

    Attributes:
        peaks: Peak demand in RPCs per second by quarter-hour of the day; 0 if none was recorded.
    """

    def __init__(self) -> None:
        self.peaks = [0.0] * QUARTERS_COUNT

    @staticmethod
    def quarter_of_day(wall_ms: float) -> int:
        """Returns the index of the quarter-hour of `wall_ms` (Unix ms), counted from midnight UTC."""
        return int(wall_ms % DAY_MS // QUARTER_MS)

    def record(self, quarter: int, demand: float) -> None:
        """Records the peak demand of a quarter-hour that has ended, replacing the value of the day before."""
        self.peaks[quarter % QUARTERS_COUNT] = max(0.0, demand)

    def forecast(self, wall_ms: float, horizon_ms: float, current_demand: float) -> float:
        """Returns the day-before peak within the horizon, scaled by today's ratio to the day before.

        Args:
            wall_ms: Current Unix time in ms.
            horizon_ms: Time to look ahead.
            current_demand: Current demand in RPCs per second.

        Returns:
            Forecast in RPCs per second; 0 if no peak was recorded for the current quarter-hour.
        """
        first = self.quarter_of_day(wall_ms)
        peak_day_before = self.peaks[first]
        if not peak_day_before or horizon_ms <= 0.0:
            return 0.0
        ratio = min(MAX_DAY_RATIO, max(MIN_DAY_RATIO, current_demand / peak_day_before))
        span = min(QUARTERS_COUNT - 1, int((wall_ms % QUARTER_MS + horizon_ms) // QUARTER_MS))
        return ratio * max(self.peaks[(first + offset) % QUARTERS_COUNT] for offset in range(span + 1))


def forecast_demand(
    trend: DemandTrend,
    profile: DailyDemandProfile,
    current_demand: float,
    wall_ms: float,
    horizon_ms: float,
) -> float:
    """Returns the demand to expect within the next `horizon_ms`, in RPCs per second."""
    return max(
        current_demand,
        trend.forecast(horizon_ms),
        profile.forecast(wall_ms, horizon_ms, current_demand),
    )
