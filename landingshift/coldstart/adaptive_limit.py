"""A limit that adapts to the reported saturation of a shared resource. Pure.

The limit follows slow start and congestion avoidance: it doubles each window until saturation is reported for
the first time, grows by a tenth per window after that, and halves whenever saturation is reported.

Guarantee: while admitted servers report saturation, the limit decreases down to its minimum.
Failure mode: reports arrive a window late, so a limit may be too high for about two windows.
"""

from __future__ import annotations

WINDOW_MS = 1000.0  # reports are evaluated once per window
SLOW_START_GROWTH_FRACTION = 1.0  # per window, before the first reported saturation
GROWTH_FRACTION = 0.1  # per window, afterwards
UNSATURATED_RATIO = 0.5  # highest saturation at which the limit still grows
SATURATED_RATIO = 1.0  # saturation above which the limit is halved
DECREASE_RATIO = 0.5
HOLD_WINDOW_COUNT = 2  # windows without a change after a decrease, whose effect is reported with a delay
MAX_REPORT_COUNT = 4096  # per window
MIN_PERMIT_COUNT = 0.25  # with a limit below 1 no server is admitted for some windows, then one


class AdaptiveLimit:
    """Adaptive limit on the number of starting servers or on calls per second.

    Attributes:
        limit: Present limit.
        minimum: Lower bound of the limit.
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
        """Record a report; a value below 0 means that the saturation is unknown and is ignored."""
        if saturation >= 0.0 and len(self._reports) < MAX_REPORT_COUNT:
            self._reports.append(saturation)

    def evaluate(self, now_ms: float, is_exhausted: bool) -> bool:
        """Adapt the limit at the end of each window; may be called at any time.

        Args:
            now_ms: Present time.
            is_exhausted: Whether the limit is fully used and more is requested, so that a higher limit would
                have an effect. One call with True counts for the whole window, since capacity that is free
                at one moment says little about the rest of the window.

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
        """Return the upper quartile of the reports, so that a few faulty servers can't lower the limit."""
        if not self._reports:
            return None
        return sorted(self._reports)[len(self._reports) * 3 // 4]

    def _adapt(self, saturation: float | None, was_exhausted: bool) -> None:
        """Adapt the limit to one window; `saturation` is None if no server reported a known value."""
        if self._hold_windows:
            self._hold_windows -= 1
        elif saturation is not None and saturation > SATURATED_RATIO:
            self.limit = max(self.minimum, self.limit * DECREASE_RATIO)
            self._hold_windows = HOLD_WINDOW_COUNT
            self._growth_fraction = GROWTH_FRACTION
        elif was_exhausted and saturation is None and self.limit < 1.0:
            # No admitted server is left to report. Raise the limit up to 1, or the others would wait forever.
            self.limit = min(1.0, self._maximum, self._increased_limit())
        elif was_exhausted and self._is_unsaturated(saturation):
            self.limit = min(self._maximum, self._increased_limit())

    def _is_unsaturated(self, saturation: float | None) -> bool:
        """Return whether the limit may grow.

        A window without reports counts as unsaturated only before the first reported saturation, when no
        server may have made a call yet.
        """
        if saturation is None:
            return self._growth_fraction >= SLOW_START_GROWTH_FRACTION
        return saturation <= UNSATURATED_RATIO

    def _increased_limit(self) -> float:
        return self.limit + max(self.minimum, self._growth_fraction * self.limit)
