"""Adapts a limit on the use of a shared resource to the saturation that servers report.

As in TCP, slow start is followed by congestion avoidance. The limit is evaluated at the end of each window of
`WINDOW_MS`. It grows if it was fully used in the window and the reported saturation is low. It doubles per
window until its first decrease; after that it grows by only a tenth per window. If the reported saturation
exceeds 1, the limit is halved and then left unchanged for two windows.

Guarantee: while at least a quarter of the reports in each window exceed 1, the limit falls to its minimum.
Failure mode: reports arrive a window late, so the limit can be too high for about two windows.

Does no I/O and reads no clock: times are passed in as ms.
"""

from __future__ import annotations

WINDOW_MS = 1000.0  # reports are evaluated once per window
SLOW_START_GROWTH_FRACTION = 1.0  # growth per window before the first decrease, relative to the limit
GROWTH_FRACTION = 0.1  # growth per window after the first decrease, relative to the limit
UNSATURATED_RATIO = 0.5  # highest saturation at which the limit still grows
SATURATED_RATIO = 1.0  # saturation above which the limit is halved
DECREASE_RATIO = 0.5  # ratio of the limit after a decrease to the limit before it
HOLD_WINDOW_COUNT = 2  # windows without a change after a decrease, because reports show the effect late
MAX_REPORT_COUNT = 4096  # reports recorded per window; further reports are ignored
# Default lower bound of the limit. A limit on permits that is below 1 admits no server until the limit has
# grown to 1 again.
MIN_PERMIT_COUNT = 0.25


class AdaptiveLimit:
    """Adaptive limit on the number of starting servers or on calls per second.

    Attributes:
        limit: Current limit.
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
        """Record the saturation that a server reports; negative values mean unknown and are ignored."""
        if saturation >= 0.0 and len(self._reports) < MAX_REPORT_COUNT:
            self._reports.append(saturation)

    def evaluate(self, now_ms: float, is_exhausted: bool) -> bool:
        """Adapt the limit if the current window has ended; otherwise only record `is_exhausted`.

        Args:
            now_ms: Present time.
            is_exhausted: Whether the limit is fully used and more is requested, so that a higher limit would
                have an effect. If this is True in one call, the limit counts as exhausted for the whole
                window: capacity that is free at one moment says little about the rest of the window.

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
        """Return the upper quartile of the window's reports, or None if there are none.

        With a quartile instead of the maximum, a few faulty servers can't lower the limit.
        """
        if not self._reports:
            return None
        return sorted(self._reports)[len(self._reports) * 3 // 4]

    def _adapt(self, saturation: float | None, was_exhausted: bool) -> None:
        """Adapt the limit after a window; `saturation` is None if no server reported a known value."""
        if self._hold_windows:
            self._hold_windows -= 1
        elif saturation is not None and saturation > SATURATED_RATIO:
            self.limit = max(self.minimum, self.limit * DECREASE_RATIO)
            self._hold_windows = HOLD_WINDOW_COUNT
            self._growth_fraction = GROWTH_FRACTION
        elif was_exhausted and saturation is None and self.limit < 1.0:
            # A limit below 1 admits no server, so none reports a saturation. Raise the limit up to 1;
            # otherwise the waiting servers would wait forever.
            self.limit = min(1.0, self._maximum, self._increased_limit())
        elif was_exhausted and self._is_unsaturated(saturation):
            self.limit = min(self._maximum, self._increased_limit())

    def _is_unsaturated(self, saturation: float | None) -> bool:
        """Return whether the resource has room for a higher limit.

        A window without reports counts as unsaturated only before the first decrease of the limit: at
        that time, perhaps no server has made a call yet.
        """
        if saturation is None:
            return self._growth_fraction >= SLOW_START_GROWTH_FRACTION
        return saturation <= UNSATURATED_RATIO

    def _increased_limit(self) -> float:
        return self.limit + max(self.minimum, self._growth_fraction * self.limit)
