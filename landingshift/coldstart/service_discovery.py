"""When to ask the list service for neighbours: late, seldom, and not at all once one is known. Pure."""

from __future__ import annotations

from random import Random

from landingshift.coldstart.backoff import (
    DecorrelatedJitterBackoff,
    mean_rate_below_cap,
    random_start_delay_ms,
)

ANSWER = 5_000.0  # ms after which an answer is not waited for
FIRST = 1_000.0  # ms between two tries, at least
LONGEST = 30_000.0  # and at most, where the fleet is small enough


class ServiceDiscoveryPoller:
    """`per_s`: asks a second that the service bears from all of `servers` together; `known`: whether there
    are addresses from elsewhere, which are tried first, for `grace` ms."""

    def __init__(
        self, servers: int, per_s: float, known: bool, grace: float, chance: Random, now: float
    ) -> None:
        # All of them together, each after such a pause, bring about half of what is aimed at.
        pause = max(FIRST, 1000.0 * servers / mean_rate_below_cap(per_s))
        self.pauses = DecorrelatedJitterBackoff(chance, pause, max(LONGEST, 4.0 * pause))
        # Whoever is reached by one that has asked needs not ask itself: most turns never come.
        self.next_poll_ms = (
            now
            + random_start_delay_ms(chance, servers, mean_rate_below_cap(per_s))
            + (grace if known else 0.0)
        )
        self.polled_at_ms: float | None = None
        self.poll_count = self.consecutive_failures = 0

    def next_deadline_ms(self) -> float:
        return self.next_poll_ms if self.polled_at_ms is None else self.polled_at_ms + ANSWER

    def poll_due(self, now: float, joined: bool) -> bool:
        """True where it is to ask now."""
        if self.polled_at_ms is not None and now >= self.polled_at_ms + ANSWER:
            self.on_poll_finished(now, False)
        if joined or self.polled_at_ms is not None or now < self.next_poll_ms:
            return False
        self.polled_at_ms = now
        self.poll_count += 1
        return True

    def on_poll_finished(self, now: float, good: bool) -> None:
        """The answer is there, or known not to come. A good one that led nowhere is asked for again, too."""
        self.polled_at_ms = None
        self.consecutive_failures = 0 if good else self.consecutive_failures + 1
        if good:
            self.pauses.reset()
        self.next_poll_ms = now + self.pauses.next_pause_ms()
