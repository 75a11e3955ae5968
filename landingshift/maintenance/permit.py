"""A permit to drain, on the machine that holds it.

Guarantee: a machine starts to drain at most once under each permit, and never after the time at which the
leader considers the permit expired. The validity counts from the time at which the machine sent its report,
by the machine's monotonic clock, so neither a delayed message nor a stopped process can extend it.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DrainPermit:
    """Latest permit offered to a machine. Times are ms of the machine's monotonic clock."""

    number: int = 0
    """Number of the permit, which never decreases; 0 before the first offer."""
    expires_at_ms: float = 0.0
    is_used: bool = False

    def offer(self, number: int, reported_at_ms: float, valid_ms: float) -> bool:
        """Accepts a permit, or extends the current one when it is offered again.

        Args:
            number: Number of the permit.
            reported_at_ms: Time at which the machine sent the report that the offer answers.
            valid_ms: Time after the report within which the permit may be used.

        Returns:
            Whether the offer was accepted: False for a permit older than the current one or already used.
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
        """Returns whether the machine may drain now; to be checked immediately before the drain."""
        return self.number > 0 and now_ms < self.expires_at_ms

    def consume(self) -> None:
        """Marks the permit as used, so that later offers of it are rejected."""
        self.expires_at_ms = 0.0
        self.is_used = True
