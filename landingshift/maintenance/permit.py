"""A permit to leave, as the machine that holds it sees it.

Guarantee: a machine leaves at most once by each permit, and never after the time at which the leader takes
the permit for expired. The machine counts from when it asked, by its own monotonic clock, so that neither
slow messages nor a process that was stopped can extend it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DrainPermit:
    """The latest permit that a machine was offered. Times are ms of its monotonic clock."""

    number: int = 0
    """Number of the permit, which only grows; 0 where it was never offered one."""
    expires_at_ms: float = 0.0
    is_used: bool = False

    def offer(self, number: int, reported_at_ms: float, valid_ms: float) -> bool:
        """Takes a permit, or the same one once more with a later expiry.

        Args:
            number: The permit's number.
            reported_at_ms: When the machine sent the report that this answers.
            valid_ms: For how long after that it may be used.

        Returns:
            False for a permit that is older than the present one or was used already.
        """
        if number < self.number:
            return False
        is_repeated = number == self.number
        if is_repeated and self.is_used:
            return False
        expires_at_ms = reported_at_ms + valid_ms
        if is_repeated:
            expires_at_ms = max(self.expires_at_ms, expires_at_ms)
        self.expires_at_ms = expires_at_ms
        self.number = number
        self.is_used = False
        return True

    def is_valid(self, now_ms: float) -> bool:
        """Returns whether the machine may leave now; to be asked once, just before it drains."""
        return self.number > 0 and now_ms < self.expires_at_ms

    def consume(self) -> None:
        """Makes sure that no later offer of the same permit is taken."""
        self.expires_at_ms = 0.0
        self.is_used = True
