"""How much will be asked for while a machine is away: by the last minutes, and by the day before. Pure.

Neither is enough alone. A line through the last minutes sees a load that rises now, and knows nothing of the
morning; the day before knows the morning and not that today is another day. The larger counts: a wrong one
then costs a wait, not the floor. A leader that is new has no line, but the book, which has the day.
"""

from __future__ import annotations

from math import sqrt

WIDTH = 30_000.0  # ms of a bucket of the line
COUNT = 40  # buckets that are looked back on
FEW = 4  # buckets without which there is no line
SURE = 2.0  # standard errors that the line is taken higher
DAY = 86_400_000.0
QUARTERS = 96  # of an hour, in a day
QUARTER = DAY / QUARTERS
OTHER = (0.5, 2.0)  # times the day before that today may be, at the least and most


class DemandTrend:
    """What was asked for in the last minutes, a mean a bucket."""

    def __init__(self) -> None:
        self.sums = [0.0] * COUNT
        self.counts = [0] * COUNT
        self.stamp = -1

    def add(self, now: float, demand: float) -> None:
        """`now` in ms of a monotonic clock."""
        stamp = int(now // WIDTH)
        if self.stamp < 0 or stamp - self.stamp >= COUNT:
            self.sums, self.counts = [0.0] * COUNT, [0] * COUNT
        else:
            for old in range(self.stamp + 1, stamp + 1):
                self.sums[old % COUNT], self.counts[old % COUNT] = 0.0, 0
        self.stamp = max(stamp, self.stamp)
        self.sums[stamp % COUNT] += demand
        self.counts[stamp % COUNT] += 1

    def points(self) -> list[tuple[float, float]]:
        """(ms before the newest bucket, as a number of 0 or less; mean of the bucket), the oldest first."""
        found = []
        for back in range(COUNT - 1, -1, -1):
            i = (self.stamp - back) % COUNT
            if self.stamp >= back and self.counts[i]:
                found.append((-back * WIDTH, self.sums[i] / self.counts[i]))
        return found

    def ahead(self, ms: float) -> float:
        """The most that the line expects within `ms`, 0 where there is none.

        It is not drawn further ahead than it was looked back: a rise of a minute says nothing of an hour.
        """
        points = self.points()
        if len(points) < FEW:
            return 0.0
        n = len(points)
        mid_x = sum(x for x, _ in points) / n
        mid_y = sum(y for _, y in points) / n
        spread = sum((x - mid_x) ** 2 for x, _ in points)
        slope = sum((x - mid_x) * (y - mid_y) for x, y in points) / spread
        if slope <= 0.0:
            return mid_y + slope * (0.0 - mid_x)
        off = sum((y - mid_y - slope * (x - mid_x)) ** 2 for x, y in points)
        x = min(ms, -points[0][0])
        error = sqrt(off / (n - 2) * (1.0 / n + (x - mid_x) ** 2 / spread))
        return mid_y + slope * (x - mid_x) + SURE * error


class DailyDemandProfile:
    """The most that was asked for in each quarter of an hour of the last day; 0 where nobody has seen it."""

    def __init__(self) -> None:
        self.most = [0.0] * QUARTERS

    @staticmethod
    def quarter(wall: float) -> int:
        """`wall`: Unix ms. Clocks a minute apart shift the day by as much, which the ratio forgives."""
        return int(wall % DAY // QUARTER)

    def seen(self, quarter: int, demand: float) -> None:
        self.most[quarter % QUARTERS] = max(0.0, demand)

    def ahead(self, wall: float, ms: float, now: float) -> float:
        """The most of the day before within `ms`, as today is to it by what is asked for `now`."""
        here = self.most[self.quarter(wall)]
        if not here or ms <= 0.0:
            return 0.0
        ratio = min(OTHER[1], max(OTHER[0], now / here))
        span = min(QUARTERS - 1, int((wall % QUARTER + ms) // QUARTER))
        first = self.quarter(wall)
        return ratio * max(self.most[(first + i) % QUARTERS] for i in range(span + 1))


def expected(line: DemandTrend, shape: DailyDemandProfile, now: float, wall: float, ms: float) -> float:
    """RPCs a second that must be reckoned with for the next `ms`; `now` is what is asked for just now."""
    return max(now, line.ahead(ms), shape.ahead(wall, ms, now))
