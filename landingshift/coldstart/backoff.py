"""Exponential backoff with decorrelated jitter, so that servers don't retry in step. Does no I/O."""

from __future__ import annotations

from random import Random

GROWTH_RATIO = 3.0  # largest ratio of a pause to the previous pause


class DecorrelatedJitterBackoff:
    """Draws random pauses between attempts; the pauses tend to grow while attempts fail.

    Each pause is drawn between the minimum and three times the previous pause, and limited to the maximum.
    Servers whose attempts failed at the same time therefore retry at different times, so a service that
    recovers does not receive all their requests simultaneously.
    """

    def __init__(self, rng: Random, min_pause_ms: float, max_pause_ms: float) -> None:
        self._rng = rng
        self._min_pause_ms, self._max_pause_ms = min_pause_ms, max_pause_ms
        self._last_pause_ms = min_pause_ms

    def next_pause_ms(self) -> float:
        """Draw the pause before the next attempt."""
        longest_ms = max(self._min_pause_ms, GROWTH_RATIO * self._last_pause_ms)
        self._last_pause_ms = min(self._max_pause_ms, self._rng.uniform(self._min_pause_ms, longest_ms))
        return self._last_pause_ms

    def reset(self) -> None:
        """Restart at the minimum pause. Call this after a successful attempt."""
        self._last_pause_ms = self._min_pause_ms
