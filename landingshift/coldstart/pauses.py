"""When a server that goes by itself tries again. Pure; chance is an argument."""

from __future__ import annotations

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


def spread(chance: Random, servers: int, per_s: float) -> float:
    """ms until a server's own turn where `servers` that know nothing of each other may be starting now.

    Chance times bunch: at the full rate every third second would bring more than `per_s`, so that half of it
    is aimed at.
    """
    return chance.random() * servers * 1000.0 / (per_s * 0.5)
