"""Spreads what many servers do at the same time, of which none knows the others. Pure."""

from __future__ import annotations

from math import sqrt
from random import Random

CAP_STANDARD_DEVIATION_COUNT = 4.0  # by which the mean of a Poisson count stays below the cap


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
