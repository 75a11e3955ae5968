"""When a server that goes by itself tries again. Pure; chance is an argument."""

from __future__ import annotations

from math import sqrt
from random import Random


class DecorrelatedJitterBackoff:
    """Decorrelated pauses between tries, ms: they grow while tries fail and never fall into step.

    Each is drawn between `first` and three times the one before, `most` at most: two servers that failed
    together are apart by their second try, and a service that comes back is not met by all at once.
    """

    def __init__(self, chance: Random, first: float, most: float) -> None:
        self.rng, self.min_pause_ms, self.max_pause_ms = chance, first, most
        self.last_pause_ms = first

    def next_pause_ms(self) -> float:
        self.last_pause_ms = min(
            self.max_pause_ms,
            self.rng.uniform(self.min_pause_ms, max(self.min_pause_ms, 3.0 * self.last_pause_ms)),
        )
        return self.last_pause_ms

    def reset(self) -> None:
        self.last_pause_ms = self.min_pause_ms


def mean_rate_below_cap(per_s: float) -> float:
    """The rate to aim at by chance so that a second with more than `per_s` is rare: the mean of a Poisson
    count whose fourth standard deviation is there."""
    return (sqrt(4.0 + per_s) - 2.0) ** 2


def random_start_delay_ms(chance: Random, servers: int, rate: float) -> float:
    """ms until a server's own turn where `servers` that know nothing of each other may be starting now;
    `rate` a second on average."""
    return chance.random() * servers * 1000.0 / rate
