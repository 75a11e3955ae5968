"""Random delays for servers that know nothing of each other, so that they don't act in step. Pure."""

from __future__ import annotations

from math import sqrt
from random import Random

GROWTH_RATIO = 3.0  # largest ratio of a pause to the one before
CAP_STANDARD_DEVIATION_COUNT = 4.0  # by which the mean of a Poisson count stays below the cap


class DecorrelatedJitterBackoff:
    """Pauses between attempts that grow while attempts fail.

    Each pause is drawn between the shortest one and three times the one before, up to the longest: two
    servers that failed together are apart by their second attempt, and a service that comes back is not met
    by all at once.
    """

    def __init__(self, rng: Random, min_pause_ms: float, max_pause_ms: float) -> None:
        self._rng = rng
        self._min_pause_ms, self._max_pause_ms = min_pause_ms, max_pause_ms
        self._last_pause_ms = min_pause_ms

    def next_pause_ms(self) -> float:
        """Draws the next pause."""
        longest_ms = max(self._min_pause_ms, GROWTH_RATIO * self._last_pause_ms)
        self._last_pause_ms = min(self._max_pause_ms, self._rng.uniform(self._min_pause_ms, longest_ms))
        return self._last_pause_ms

    def reset(self) -> None:
        """An attempt was successful."""
        self._last_pause_ms = self._min_pause_ms


def mean_rate_below_cap(cap_per_second: float) -> float:
    """The mean rate at which a second with more than `cap_per_second` random events is rare.

    Random events bunch: this is the mean of a Poisson count that reaches the cap at its fourth standard
    deviation.
    """
    half_deviations = CAP_STANDARD_DEVIATION_COUNT / 2.0
    return (sqrt(half_deviations**2 + cap_per_second) - half_deviations) ** 2


def random_start_delay_ms(rng: Random, server_count: int, starts_per_second: float) -> float:
    """A server's own delay where up to `server_count` that know nothing of each other may be starting now.

    All delays together bring `starts_per_second` on average.
    """
    return rng.random() * server_count * 1000.0 / starts_per_second
