"""The deduplication window: which identities were counted lately; bounded in memory.

Guarantee: an identity that was counted less than a window ago is found. Failure mode: where more identities
come within a window than may be remembered, the window is shortened, never the memory grown: a retry may
then be counted again until ledgers are merged, which looks at all entries.
"""

from __future__ import annotations

MAX_TIMES_PER_IDENTITY = 4  # an identity counts again after a window, or where the clock stepped

CountedTimes = int | tuple[int, ...]  # Unix ms; one time as a plain number


class DedupWindow:
    """Two generations of half the bound each; the previous one is dropped once the current one is full.

    Turned over by number, not by time: a clock that steps forth and back must not make the ledger forget.

    Attributes:
        window_ms: Within which a like attempt is a retry.
        max_identity_count: How many identities are remembered.
        shortened_count: Times that the bound cut the window.
    """

    def __init__(self, window_ms: int, max_identity_count: int) -> None:
        self.window_ms = window_ms
        self.max_identity_count = max_identity_count
        self.current_generation: dict[bytes, CountedTimes] = {}
        self.previous_generation: dict[bytes, CountedTimes] = {}
        self.turned_over_ms = 0
        self.shortened_count = 0

    def contains(self, identity: bytes, at_ms: int) -> bool:
        """Whether this identity was counted less than a window from `at_ms`; clocks may step back."""
        window_ms = self.window_ms
        for generation in (self.current_generation, self.previous_generation):
            times = generation.get(identity)
            if times is None:
                continue
            if isinstance(times, int):
                if abs(at_ms - times) < window_ms:
                    return True
            elif any(abs(at_ms - time_ms) < window_ms for time_ms in times):
                return True
        return False

    def add(self, identity: bytes, at_ms: int) -> None:
        """Remembers that this identity was counted at `at_ms`."""
        if len(self.current_generation) * 2 >= self.max_identity_count:
            self._turn_over(at_ms)
        times = self.current_generation.get(identity)
        if times is None:
            self.current_generation[identity] = at_ms
            return
        earlier = times if isinstance(times, tuple) else (times,)
        self.current_generation[identity] = (*earlier, at_ms)[-MAX_TIMES_PER_IDENTITY:]

    def _turn_over(self, at_ms: int) -> None:
        if at_ms - self.turned_over_ms < self.window_ms:
            self.shortened_count += 1
        self.previous_generation = self.current_generation
        self.current_generation = {}
        self.turned_over_ms = at_ms
