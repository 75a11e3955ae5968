"""The deduplication window: the identities counted recently, in bounded memory.

Guarantee: an identity that was counted less than one window ago is found. Failure mode: if more identities
are counted within a window than fit, the oldest are forgotten early. A retry may then be counted again;
merging the ledgers removes such duplicates, since it compares all entries.
"""

from __future__ import annotations

MAX_TIMES_PER_IDENTITY = 4  # one identity can count several times: after a window, or if the clock stepped

CountedTimes = int | tuple[int, ...]  # Unix ms; a single time is stored as a plain number to save memory


class DedupWindow:
    """Finds identities counted within a time window.

    Identities are kept in two generations of at most half the bound each. When the current generation is
    full, it replaces the previous one. Rotation depends on the number of identities and not on time, so that
    a clock that steps forward and back does not make the ledger forget identities.

    Attributes:
        window_ms: Time within which an attempt of the same identity is a retry.
        max_identity_count: Maximum number of identities kept.
        current_generation: Times at which each identity was counted, for the newer identities.
        previous_generation: The same for the older identities.
        last_rotated_ms: Time of the identity that caused the last rotation, Unix ms.
        shortened_count: Number of times that identities were forgotten before their window had passed.
    """

    def __init__(self, window_ms: int, max_identity_count: int) -> None:
        self.window_ms = window_ms
        self.max_identity_count = max_identity_count
        self.current_generation: dict[bytes, CountedTimes] = {}
        self.previous_generation: dict[bytes, CountedTimes] = {}
        self.last_rotated_ms = 0
        self.shortened_count = 0

    def contains(self, identity: bytes, at_ms: int) -> bool:
        """Returns whether this identity was counted less than one window before or after `at_ms`.

        Times after `at_ms` matter because clocks may step back.
        """
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
        """Adds an identity that was counted at `at_ms`."""
        if len(self.current_generation) * 2 >= self.max_identity_count:
            self._rotate(at_ms)
        times = self.current_generation.get(identity)
        if times is None:
            self.current_generation[identity] = at_ms
            return
        earlier = times if isinstance(times, tuple) else (times,)
        self.current_generation[identity] = (*earlier, at_ms)[-MAX_TIMES_PER_IDENTITY:]

    def _rotate(self, at_ms: int) -> None:
        if at_ms - self.last_rotated_ms < self.window_ms:
            self.shortened_count += 1
        self.previous_generation = self.current_generation
        self.current_generation = {}
        self.last_rotated_ms = at_ms
