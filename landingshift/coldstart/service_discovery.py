"""When to poll the list service for endpoints: late, seldom, and not at all once a neighbour is known. Pure.

Guarantee: all servers together, starting at once, rarely bring more polls in a second than the service bears.
Failure mode: with the service down and no known address a server polls on with growing pauses, and serves
meanwhile.
"""

from __future__ import annotations

from random import Random

from landingshift.coldstart.backoff import DecorrelatedJitterBackoff
from landingshift.coldstart.start_spreading import mean_rate_below_cap, random_start_delay_ms

POLL_TIMEOUT_MS = 5_000.0
MIN_POLL_PAUSE_MS = 1_000.0
MAX_POLL_PAUSE_MS = 30_000.0  # where the cluster is small enough
MAX_PAUSE_RATIO = 4.0  # of the longest pause to the shortest in a large cluster


class ServiceDiscoveryPoller:
    """One server's polls.

    Attributes:
        next_poll_ms: When the next poll is due, while none is under way.
        poll_count: Polls since the start.
        consecutive_failures: Since the last answer.
    """

    def __init__(
        self,
        max_servers: int,
        polls_per_second: float,
        has_known_addresses: bool,
        known_addresses_grace_ms: float,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Draws the time of the first poll.

        Args:
            max_servers: Servers that may start at once.
            polls_per_second: What the service bears from all of them together.
            has_known_addresses: Whether there are addresses from elsewhere, which are tried first.
            known_addresses_grace_ms: For how long they are tried.
            rng: Source of chance.
            now_ms: Time.
        """
        mean_polls_per_second = mean_rate_below_cap(polls_per_second)
        # All of them together, each after such a pause, bring about half of that rate.
        pause_ms = max(MIN_POLL_PAUSE_MS, 1000.0 * max_servers / mean_polls_per_second)
        self._backoff = DecorrelatedJitterBackoff(
            rng, pause_ms, max(MAX_POLL_PAUSE_MS, MAX_PAUSE_RATIO * pause_ms)
        )
        grace_ms = known_addresses_grace_ms if has_known_addresses else 0.0
        # Whoever is reached by one that has polled needs not poll itself: most of these turns never come.
        self.next_poll_ms = now_ms + random_start_delay_ms(rng, max_servers, mean_polls_per_second) + grace_ms
        self._polled_at_ms: float | None = None
        self.poll_count = 0
        self.consecutive_failures = 0

    def next_deadline_ms(self) -> float:
        """When a poll is due, or the one under way has failed."""
        return self.next_poll_ms if self._polled_at_ms is None else self._polled_at_ms + POLL_TIMEOUT_MS

    def start_poll_if_due(self, now_ms: float, has_joined: bool) -> bool:
        """Returns whether the caller is to poll now; a poll without an answer in time has failed."""
        if self._polled_at_ms is not None and now_ms >= self._polled_at_ms + POLL_TIMEOUT_MS:
            self.on_poll_finished(now_ms, is_successful=False)
        if has_joined or self._polled_at_ms is not None or now_ms < self.next_poll_ms:
            return False
        self._polled_at_ms = now_ms
        self.poll_count += 1
        return True

    def on_poll_finished(self, now_ms: float, is_successful: bool) -> None:
        """The answer is there, or known not to come.

        After a good answer that led nowhere there is another poll, too.
        """
        self._polled_at_ms = None
        if is_successful:
            self.consecutive_failures = 0
            self._backoff.reset()
        else:
            self.consecutive_failures += 1
        self.next_poll_ms = now_ms + self._backoff.next_pause_ms()
