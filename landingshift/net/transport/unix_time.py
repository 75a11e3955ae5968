"""Converts Unix time, in which peers state times, to the monotonic time of the event loop."""

from __future__ import annotations

import time
from math import inf

MAX_READING_MS = 0.5  # readings of the two clocks that took longer are repeated
MAX_READINGS = 10


def unix_offset_ms() -> float:
    """Returns the difference between Unix time and monotonic time at one moment.

    The process can be paused between the readings of the two clocks. The Unix clock is therefore read between
    two readings of the monotonic clock, and the clocks are read again if these two are far apart.

    Returns:
        The Unix time minus the monotonic time, up to `MAX_READING_MS` too small and never too large: a
        converted time can be a little late but not early. If `MAX_READINGS` readings all took longer, the
        error is up to the duration of the shortest one.
    """
    shortest_ms, offset_ms = inf, 0.0
    for _ in range(MAX_READINGS):
        before_ms = time.monotonic() * 1000.0
        unix_ms = time.time() * 1000.0
        after_ms = time.monotonic() * 1000.0
        if after_ms - before_ms < shortest_ms:
            shortest_ms, offset_ms = after_ms - before_ms, unix_ms - after_ms
        if shortest_ms <= MAX_READING_MS:
            break
    return offset_ms
