"""Forecast of the demand while a machine is away: by the last minutes, and by the day before.

Neither is enough alone. A trend of the last minutes follows a load that rises now and knows nothing of the
morning; the profile of the day before knows the morning, but not that today differs. The larger one counts:
an overestimate costs a wait, an underestimate the disruption budget. A new leader has no trend, but the
profile is part of the replicated state.
"""

from __future__ import annotations

from math import sqrt

BUCKET_MS = 30_000.0
BUCKET_COUNT = 40
MIN_POINTS_COUNT = 4
"""Buckets without which there is no trend."""
CONFIDENCE_STANDARD_ERRORS = 2.0
"""By how many standard errors a rising trend is taken higher."""
DAY_MS = 86_400_000.0
QUARTERS_COUNT = 96
"""Quarters of an hour in a day."""
QUARTER_MS = DAY_MS / QUARTERS_COUNT
MIN_DAY_RATIO = 0.5
MAX_DAY_RATIO = 2.0
"""What today may be of the day before, at the least and at the most."""


class DemandTrend:
    """Mean demand of each bucket of the last `BUCKET_COUNT * BUCKET_MS`, with a regression line."""

    def __init__(self) -> None:
        self._sums = [0.0] * BUCKET_COUNT
        self._counts = [0] * BUCKET_COUNT
        self._newest_bucket = -1

    def record(self, now_ms: float, demand: float) -> None:
        """Adds a sample. `now_ms`: of a monotonic clock; `demand`: RPCs a second."""
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
        """Returns (ms relative to the newest bucket, 0 or less; mean demand), the oldest first."""
        found = []
        for age in range(BUCKET_COUNT - 1, -1, -1):
            index = (self._newest_bucket - age) % BUCKET_COUNT
            if self._newest_bucket >= age and self._counts[index]:
                found.append((-age * BUCKET_MS, self._sums[index] / self._counts[index]))
        return found

    def forecast(self, horizon_ms: float) -> float:
        """Returns the largest demand that the trend expects within `horizon_ms`; 0 where there is none.

        It is extrapolated no further ahead than it looks back: the rise of a minute says nothing of an hour.
        A fall is not extrapolated at all.
        """
        points = self.points()
        if len(points) < MIN_POINTS_COUNT:
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
    """The largest demand of each quarter of an hour of the last day.

    Attributes:
        peaks: RPCs a second by quarter of the day; 0 where nothing was recorded.
    """

    def __init__(self) -> None:
        self.peaks = [0.0] * QUARTERS_COUNT

    @staticmethod
    def quarter_of_day(wall_ms: float) -> int:
        """Returns the quarter of an hour of `wall_ms`, Unix ms, counted from midnight UTC."""
        return int(wall_ms % DAY_MS // QUARTER_MS)

    def record(self, quarter: int, demand: float) -> None:
        """Notes the largest demand of a quarter that is over, in place of the day before's."""
        self.peaks[quarter % QUARTERS_COUNT] = max(0.0, demand)

    def forecast(self, wall_ms: float, horizon_ms: float, current_demand: float) -> float:
        """Returns the largest demand of the day before within the horizon, scaled as today is to it now.

        Args:
            wall_ms: Unix ms now.
            horizon_ms: How far to look ahead.
            current_demand: RPCs a second now.

        Returns:
            RPCs a second; 0 where nothing was recorded for the present quarter.
        """
        first = self.quarter_of_day(wall_ms)
        same_time_before = self.peaks[first]
        if not same_time_before or horizon_ms <= 0.0:
            return 0.0
        ratio = min(MAX_DAY_RATIO, max(MIN_DAY_RATIO, current_demand / same_time_before))
        span = min(QUARTERS_COUNT - 1, int((wall_ms % QUARTER_MS + horizon_ms) // QUARTER_MS))
        return ratio * max(self.peaks[(first + offset) % QUARTERS_COUNT] for offset in range(span + 1))


def forecast_demand(
    trend: DemandTrend,
    profile: DailyDemandProfile,
    current_demand: float,
    wall_ms: float,
    horizon_ms: float,
) -> float:
    """Returns the RPCs a second to be reckoned with for the next `horizon_ms`."""
    return max(
        current_demand,
        trend.forecast(horizon_ms),
        profile.forecast(wall_ms, horizon_ms, current_demand),
    )
