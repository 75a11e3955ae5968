"""Random delays that keep uncoordinated servers from acting at the same time."""

from __future__ import annotations

from math import sqrt
from random import Random

CAP_STANDARD_DEVIATION_COUNT = 4.0  # distance of the cap above the mean, in standard deviations


def mean_rate_below_cap(cap_per_second: float) -> float:
    """Return a mean rate at which more than `cap_per_second` random events in one second are rare.

    The cap is the returned rate plus four standard deviations of a Poisson distribution with that rate.
    """
    half_deviations = CAP_STANDARD_DEVIATION_COUNT / 2.0
    return (sqrt(half_deviations**2 + cap_per_second) - half_deviations) ** 2


def random_start_delay_ms(rng: Random, server_count: int, starts_per_second: float) -> float:
    """Draw the start delay of one of `server_count` servers that would otherwise start at the same time.

    The delay is uniformly distributed. With these delays, all servers together make `starts_per_second`
    starts per second on average.
    """
    return rng.random() * server_count * 1000.0 / starts_per_second
