"""Random delays that spread out the actions of servers that start together without coordination."""

from __future__ import annotations

from math import sqrt
from random import Random

CAP_STANDARD_DEVIATION_COUNT = 4.0  # standard deviations between the mean of a Poisson count and the cap


def mean_rate_below_cap(cap_per_second: float) -> float:
    """Return a mean rate of random events at which a second with more than `cap_per_second` events is rare.

    The cap lies four standard deviations above the mean of a Poisson distribution with the returned rate.
    """
    half_deviations = CAP_STANDARD_DEVIATION_COUNT / 2.0
    return (sqrt(half_deviations**2 + cap_per_second) - half_deviations) ** 2


def random_start_delay_ms(rng: Random, server_count: int, starts_per_second: float) -> float:
    """Draw a random delay for one of `server_count` servers that would otherwise start at the same time.

    With these delays, all servers together make `starts_per_second` starts per second on average.
    """
    return rng.random() * server_count * 1000.0 / starts_per_second
