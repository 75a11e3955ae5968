"""When a server that goes by itself tries again. Pure; chance is an argument."""

from __future__ import annotations

from math import sqrt
from random import Random


class Pauses:
    """Decorrelated pauses between tries, ms: they grow while tries fail and never fall into step.

    Each is drawn between `first` and three times the one before, `most` at most: two servers that failed
    together are apart by their second try, and a service that comes back is not met by all at once.
    """

    def __init__(self, chance: Random, first: float, most: float) -> None:
        self.chance, self.first, self.most = chance, first, most
        self.last = first

    def next(self) -> float:
        self.last = min(self.most, self.chance.uniform(self.first, max(self.first, 3.0 * self.last)))
        return self.last

    def well(self) -> None:
        self.last = self.first


def aim(per_s: float) -> float:
    """The rate to aim at by chance so that a second with more than `per_s` is rare: the mean of a Poisson
    count whose fourth standard deviation is there."""
    return (sqrt(4.0 + per_s) - 2.0) ** 2


def spread(chance: Random, servers: int, rate: float) -> float:
    """ms until a server's own turn where `servers` that know nothing of each other may be starting now;
    `rate` a second on average."""
    return chance.random() * servers * 1000.0 / rate
