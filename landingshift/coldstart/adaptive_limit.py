"""A limit that follows the saturation of what it protects. Pure.

The rule of slow start and congestion avoidance: doubled each window until something was saturated for the
first time, raised by a tenth after that, halved when something is saturated.

Guarantee: while those who are admitted report saturation, the limit falls until they don't, down to its
minimum.
Failure mode: reports come a window late, so that a limit may be too high for about two windows.
"""

from __future__ import annotations

WINDOW_MS = 1000.0  # in which reports are gathered
SLOW_START_GROWTH_FRACTION = 1.0  # per window until something was saturated
GROWTH_FRACTION = 0.1  # per window after that
UNSATURATED_RATIO = 0.5  # saturation up to which the limit is raised
SATURATED_RATIO = 1.0  # saturation above which the limit is halved
DECREASE_RATIO = 0.5
HOLD_WINDOW_COUNT = 2  # after a decrease: its effect shows later
MAX_REPORT_COUNT = 4096  # in one window
MIN_PERMIT_COUNT = 0.25  # below one nobody is admitted for some windows, then one


class AdaptiveLimit:
    """A limit on admitted servers, or on calls a second.

    Attributes:
        limit: The limit as it stands.
        minimum: It never falls below that.
    """

    def __init__(
        self, initial: float, maximum: float, now_ms: float, minimum: float = MIN_PERMIT_COUNT
    ) -> None:
        self.limit = min(initial, maximum)
        self.minimum = minimum
        self._maximum = maximum
        self._window_began_ms = now_ms
        self._reports: list[float] = []
        self._was_exhausted = False
        self._hold_windows = 0
        self._growth_fraction = SLOW_START_GROWTH_FRACTION

    def record_saturation(self, saturation: float) -> None:
        """Takes a report; one below 0 says that nothing is known, which is no reason for anything."""
        if saturation >= 0.0 and len(self._reports) < MAX_REPORT_COUNT:
            self._reports.append(saturation)

    def evaluate(self, now_ms: float, is_exhausted: bool) -> bool:
        """Adapts the limit once a window; called as often as wanted.

        Args:
            now_ms: Time.
            is_exhausted: Whether all is in use and more is asked for, so that a higher limit would be tried
                out. It counts for the whole window: what is free at this moment says nothing of the rest.

        Returns:
            Whether the limit changed.
        """
        self._was_exhausted |= is_exhausted
        if now_ms - self._window_began_ms < WINDOW_MS:
            return False
        saturation = self._typical_saturation()
        was_exhausted = self._was_exhausted
        self._reports = []
        self._was_exhausted = False
        self._window_began_ms = now_ms
        previous_limit = self.limit
        self._adapt(saturation, was_exhausted)
        return self.limit != previous_limit

    def _typical_saturation(self) -> float | None:
        """Upper quartile of the reports: a few who have a fault of their own must not stop all."""
        if not self._reports:
            return None
        return sorted(self._reports)[len(self._reports) * 3 // 4]

    def _adapt(self, saturation: float | None, was_exhausted: bool) -> None:
        """The rule itself, for one window; `saturation` is None where nobody had anything to report."""
        if self._hold_windows:
            self._hold_windows -= 1
        elif saturation is not None and saturation > SATURATED_RATIO:
            self.limit = max(self.minimum, self.limit * DECREASE_RATIO)
            self._hold_windows = HOLD_WINDOW_COUNT
            self._growth_fraction = GROWTH_FRACTION
        elif was_exhausted and saturation is None and self.limit < 1.0:
            # Nobody is admitted who could report: up to one is, or those who wait would wait for ever.
            self.limit = min(1.0, self._maximum, self._raised_limit())
        elif was_exhausted and self._is_unsaturated(saturation):
            self.limit = min(self._maximum, self._raised_limit())

    def _is_unsaturated(self, saturation: float | None) -> bool:
        """Silence counts as unsaturated only as long as nothing was ever saturated: nobody has called yet."""
        if saturation is None:
            return self._growth_fraction >= SLOW_START_GROWTH_FRACTION
        return saturation <= UNSATURATED_RATIO

    def _raised_limit(self) -> float:
        return self.limit + max(self.minimum, self._growth_fraction * self.limit)
