"""The deduplication window: identities of recently counted usage, in bounded memory.

An identity is a digest that identifies a client's attempt and is the same for its retries.

Guarantee: an identity that was counted less than one window ago is found. Failure mode: if more identities
are counted within a window than fit into memory, the oldest are forgotten early, and a retry might be counted
again. Merging the ledgers removes such duplicates, since it compares all entries.
"""

from __future__ import annotations

from bisect import bisect_left, insort

CountedTimes = int | list[int]  # Unix ms, sorted; a single time is stored as a plain number to save memory


class DedupWindow:
    """Finds identities counted within a time window.

    Identities are kept in two generations of at most `max_identity_count / 2` each, where an identity that
    was counted several times takes as many places. When the current generation is full, it replaces the
    previous one, whose identities are forgotten. This rotation depends on the number of identities and not on
    time, so that a clock that steps forward and back does not make the ledger forget identities.

    Attributes:
        window_ms: Time within which only one RPC of the same identity is billed.
        max_identity_count: Maximum number of identities kept.
        current_count: Number of times in the current generation.
        current_generation: Times at which the newer identities were counted, keyed by identity.
        previous_generation: Times at which the older identities were counted, keyed by identity.
        last_rotated_ms: Unix time of the usage that caused the last rotation.
        shortened_count: Number of times that identities were forgotten before their window had passed.
    """

    def __init__(self, window_ms: int, max_identity_count: int) -> None:
        self.window_ms = window_ms
        self.max_identity_count = max_identity_count
        self.current_generation: dict[bytes, CountedTimes] = {}
        self.previous_generation: dict[bytes, CountedTimes] = {}
        self.current_count = 0
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
                continue
            index = bisect_left(times, at_ms - window_ms + 1)
            if index < len(times) and times[index] < at_ms + window_ms:
                return True
        return False

    def add(self, identity: bytes, at_ms: int) -> None:
        """Adds an identity that was counted at `at_ms`."""
        if self.current_count * 2 >= self.max_identity_count:
            self._rotate(at_ms)
        self.current_count += 1
        times = self.current_generation.get(identity)
        if times is None:
            self.current_generation[identity] = at_ms
        elif isinstance(times, int):
            self.current_generation[identity] = sorted((times, at_ms))
        else:
            insort(times, at_ms)

    def _rotate(self, at_ms: int) -> None:
        if at_ms - self.last_rotated_ms < self.window_ms:
            self.shortened_count += 1
        self.previous_generation = self.current_generation
        self.current_generation = {}
        self.current_count = 0
        self.last_rotated_ms = at_ms
