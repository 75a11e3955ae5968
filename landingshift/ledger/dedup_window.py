"""The deduplication window: identities of recently counted usage, in bounded memory.

An identity is a digest that identifies a client's attempt and is the same for its retries.

Guarantee: an identity that was counted less than one window ago is found. Failure mode: if more identities
are counted within a window than fit into memory, the oldest are forgotten early, and a retry might be counted
again. Merging the ledgers removes such duplicates, since it compares all entries.
"""

from __future__ import annotations

MAX_TIMES_PER_IDENTITY = 4  # an identity counts again one window later, or after the clock stepped

CountedTimes = int | tuple[int, ...]  # Unix ms; a single time is stored as a plain number to save memory


class DedupWindow:
    """Finds identities counted within a time window.

    Identities are kept in two generations of at most `max_identity_count / 2` each. When the current
    generation is full, it replaces the previous one, whose identities are forgotten. This rotation depends on
    the number of identities and not on time, so that a clock that steps forward and back does not make the
    ledger forget identities.

    Attributes:
        window_ms: Time within which only one RPC of the same identity is billed.
        max_identity_count: Maximum number of identities kept.
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
