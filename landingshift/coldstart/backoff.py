"""Random pauses between attempts, so that servers that failed together don't try again in step. Pure."""

from __future__ import annotations

from random import Random

GROWTH_RATIO = 3.0  # largest ratio of a pause to the one before


class DecorrelatedJitterBackoff:
    """Pauses between attempts that grow while attempts fail.

    Each pause is drawn between the shortest one and three times the one before, up to the longest: two
    servers that failed together are apart by their second attempt, and a service that comes back is not met
    by all at once.
    """

    def __init__(self, rng: Random, min_pause_ms: float, max_pause_ms: float) -> None:
        self._rng = rng
        self._min_pause_ms, self._max_pause_ms = min_pause_ms, max_pause_ms
        self._last_pause_ms = min_pause_ms

    def next_pause_ms(self) -> float:
        """Draws the next pause."""
        longest_ms = max(self._min_pause_ms, GROWTH_RATIO * self._last_pause_ms)
        self._last_pause_ms = min(self._max_pause_ms, self._rng.uniform(self._min_pause_ms, longest_ms))
        return self._last_pause_ms

    def reset(self) -> None:
        """An attempt was successful."""
        self._last_pause_ms = self._min_pause_ms
