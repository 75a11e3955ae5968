"""When to ask the list service for neighbours: late, seldom, and not at all once one is known. Pure."""

from __future__ import annotations

from random import Random

from landingshift.coldstart.pauses import Pauses, aim, spread

ANSWER = 5_000.0  # ms after which an answer is not waited for
FIRST = 1_000.0  # ms between two tries, at least
LONGEST = 30_000.0  # and at most, where the fleet is small enough


class Seek:
    """`per_s`: asks a second that the service bears from all of `servers` together; `known`: whether there
    are addresses from elsewhere, which are tried first, for `grace` ms."""

    def __init__(
        self, servers: int, per_s: float, known: bool, grace: float, chance: Random, now: float
    ) -> None:
        # All of them together, each after such a pause, bring about half of what is aimed at.
        pause = max(FIRST, 1000.0 * servers / aim(per_s))
        self.pauses = Pauses(chance, pause, max(LONGEST, 4.0 * pause))
        # Whoever is reached by one that has asked needs not ask itself: most turns never come.
        self.at = now + spread(chance, servers, aim(per_s)) + (grace if known else 0.0)
        self.out_since: float | None = None
        self.asks = self.failed = 0

    def next(self) -> float:
        return self.at if self.out_since is None else self.out_since + ANSWER

    def step(self, now: float, joined: bool) -> bool:
        """True where it is to ask now."""
        if self.out_since is not None and now >= self.out_since + ANSWER:
            self.over(now, False)
        if joined or self.out_since is not None or now < self.at:
            return False
        self.out_since = now
        self.asks += 1
        return True

    def over(self, now: float, good: bool) -> None:
        """The answer is there, or known not to come. A good one that led nowhere is asked for again, too."""
        self.out_since = None
        self.failed = 0 if good else self.failed + 1
        if good:
            self.pauses.well()
        self.at = now + self.pauses.next()
