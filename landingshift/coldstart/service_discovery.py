"""Schedules a server's polls of the list service until the server has joined the cluster.

The list service returns the addresses of the cluster's members.
Does no I/O and reads no clock: times are passed in as ms.

Guarantee: servers that start together rarely make more polls per second than the list service can serve.
Failure mode: while the list service is down and no member address is known, a server keeps polling with
growing pauses. The server serves RPCs meanwhile.
"""

from __future__ import annotations

from random import Random

from landingshift.coldstart.backoff import DecorrelatedJitterBackoff
from landingshift.coldstart.start_spreading import mean_rate_below_cap, random_start_delay_ms

POLL_TIMEOUT_MS = 5_000.0
MIN_POLL_PAUSE_MS = 1_000.0
MAX_POLL_PAUSE_MS = 30_000.0  # longest pause, unless MAX_PAUSE_RATIO times the shortest pause is longer
MAX_PAUSE_RATIO = 4.0  # the longest pause is at least this multiple of the shortest pause


class ServiceDiscoveryPoller:
    """Decides when one server polls the list service; the caller makes the polls.

    Attributes:
        next_poll_ms: Time of the next poll, if no poll is in progress.
        poll_count: Number of polls since the start.
        consecutive_failures: Number of failed polls since the last successful one.
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
        """Draw the time of the first poll.

        Args:
            max_servers: Largest number of servers that might start at the same time.
            polls_per_second: Rate of polls that the list service can serve, all servers together.
            has_known_addresses: Whether contact addresses are known from other sources and tried first.
            known_addresses_grace_ms: Time for which known addresses are tried before the first poll.
            rng: Random number generator for delays and pauses.
            now_ms: Present time.
        """
        mean_polls_per_second = mean_rate_below_cap(polls_per_second)
        # If all pauses were as short as this one, all servers together would poll at the mean rate. Most
        # pauses are longer, so the servers poll at about half the mean rate.
        pause_ms = max(MIN_POLL_PAUSE_MS, 1000.0 * max_servers / mean_polls_per_second)
        self._backoff = DecorrelatedJitterBackoff(
            rng, pause_ms, max(MAX_POLL_PAUSE_MS, MAX_PAUSE_RATIO * pause_ms)
        )
        grace_ms = known_addresses_grace_ms if has_known_addresses else 0.0
        # After a server has polled, it contacts other servers, and those join without a poll of their own.
        # Most of the scheduled polls are therefore never made.
        self.next_poll_ms = now_ms + random_start_delay_ms(rng, max_servers, mean_polls_per_second) + grace_ms
        self._polled_at_ms: float | None = None
        self.poll_count = 0
        self.consecutive_failures = 0

    def next_deadline_ms(self) -> float:
        """Return when the next poll is due or, during a poll, when that poll times out."""
        return self.next_poll_ms if self._polled_at_ms is None else self._polled_at_ms + POLL_TIMEOUT_MS

    def start_poll_if_due(self, now_ms: float, has_joined: bool) -> bool:
        """Return whether the caller must poll now; if so, record that a poll is in progress.

        Before that, if a poll has been in progress for `POLL_TIMEOUT_MS`, record it as failed.
        """
        if self._polled_at_ms is not None and now_ms >= self._polled_at_ms + POLL_TIMEOUT_MS:
            self.on_poll_finished(now_ms, is_successful=False)
        if has_joined or self._polled_at_ms is not None or now_ms < self.next_poll_ms:
            return False
        self._polled_at_ms = now_ms
        self.poll_count += 1
        return True

    def on_poll_finished(self, now_ms: float, is_successful: bool) -> None:
        """Record the end of a poll and schedule the next poll.

        The next poll is scheduled even after a success, in case the server has not joined by then.
        """
        self._polled_at_ms = None
        if is_successful:
            self.consecutive_failures = 0
            self._backoff.reset()
        else:
            self.consecutive_failures += 1
        self.next_poll_ms = now_ms + self._backoff.next_pause_ms()
