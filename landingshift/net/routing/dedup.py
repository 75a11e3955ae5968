"""The deduplication table: stores the outcomes from which duplicates of an RPC are answered.

Guarantee: within the deduplication window, an RPC whose effect must not happen twice stays in the table.
Under memory pressure its result is dropped, but not the fact that it ran. A duplicate whose entry has expired
runs as a new RPC.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

ENTRY_BYTES = 400  # size of an entry without its result
FULL_FRACTION = 0.9  # fraction of the bound down to which results are evicted once the bound is exceeded

DedupKey = tuple[bytes, str]


@dataclass(slots=True, eq=False)
class DedupEntry:
    """An RPC from which duplicates are answered: a first attempt, or the first request with a cache key."""

    owner: RoutedRpc
    expires_ms: float
    outcome: Outcome | None = None  # None while the owner is queued or runs
    ended_ms: float = 0.0
    run_time_ms: float = 0.0
    result: bytes | None = None  # None if the outcome is not OK or the result was evicted
    waiters: dict[RoutedRpc, None] = field(default_factory=dict)  # duplicates that wait for the owner to end

    @property
    def has_result(self) -> bool:
        """Return whether a duplicate can be answered with the owner's result."""
        return self.outcome is Outcome.OK and self.result is not None


class DedupTable:
    """Entries by the key that an RPC shares with its duplicates; bounded in bytes.

    Args:
        max_bytes: The bound on the total size of entries and their results.
        response_cache_ttl_ms: The time for which the result of an idempotent RPC answers others with its key.
        max_age_ms: The longest time between a duplicate's arrival at the machine and its read.
    """

    def __init__(self, max_bytes: int, response_cache_ttl_ms: float, max_age_ms: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.response_cache_ttl_ms = response_cache_ttl_ms
        self.max_age_ms = max_age_ms
        self.used_bytes = 0
        self.entries: dict[DedupKey, DedupEntry] = {}
        self.originals: dict[RoutedRpc, DedupEntry] = {}  # by open duplicate

    def find(self, rpc: RoutedRpc, now_ms: float, arrived_ms: float) -> DedupEntry | None:
        """Return the entry of which `rpc` is a duplicate, or remove the entry if it has expired.

        A duplicate is within the window if it arrived at the machine before the window ended, even if it is
        read much later. If it counted as a new RPC, it could be rejected as never run although its original
        ran.
        """
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        if entry is None:
            return None
        if entry.outcome is None:
            return entry  # the owner may be running: a second run could repeat its effect
        has_lapsed = entry.expires_ms <= arrived_ms
        if rpc.method.idempotency is Idempotency.IDEMPOTENT:
            is_too_old = now_ms - entry.ended_ms > self.response_cache_ttl_ms
            has_lapsed = has_lapsed or entry.result is None or is_too_old
        if has_lapsed:
            self.remove(entry)
            return None
        return entry

    def link_duplicate(self, rpc: RoutedRpc, entry: DedupEntry) -> None:
        """Records the original of an open duplicate."""
        self.originals[rpc] = entry

    def unlink_duplicate(self, rpc: RoutedRpc) -> None:
        """Removes a duplicate that is closed, also from its original's waiters."""
        entry = self.originals.pop(rpc, None)
        if entry is not None:
            entry.waiters.pop(rpc, None)

    def reserve(self, rpc: RoutedRpc, expires_ms: float) -> None:
        """Creates or extends the entry that answers duplicates of `rpc` until `expires_ms`."""
        if rpc.dedup_key is None:
            return
        existing = self.entries.get(rpc.dedup_key)
        if existing is not None:
            if existing.owner is rpc:
                existing.expires_ms = expires_ms
                return
            self.remove(existing)
        self.entries[rpc.dedup_key] = DedupEntry(rpc, expires_ms)
        self.used_bytes += ENTRY_BYTES

    def owned_by(self, rpc: RoutedRpc) -> DedupEntry | None:
        """Return the entry whose owner is `rpc`, if there is one."""
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        return entry if entry is not None and entry.owner is rpc else None

    def remove(self, entry: DedupEntry) -> None:
        """Removes an entry unless a newer one has taken over its key."""
        dedup_key = entry.owner.dedup_key
        if dedup_key is not None and self.entries.get(dedup_key) is entry:
            del self.entries[dedup_key]
            self.used_bytes -= ENTRY_BYTES + len(entry.result or b"")

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes, now_ms: float) -> list[RoutedRpc]:
        """Stores the outcome of the owner's run; returns the duplicates that waited for it."""
        entry.outcome = outcome
        entry.ended_ms = now_ms
        if outcome is Outcome.OK:
            entry.result = result
            self.used_bytes += len(result)
        waiters = list(entry.waiters)
        entry.waiters = {}
        if self.used_bytes > self.max_bytes:
            self._evict(now_ms)
        return waiters

    def _evict(self, now_ms: float) -> None:
        """Frees memory: removes expired entries, then evicts the oldest results.

        The entry of an RPC whose effect must not happen twice loses only its result: the fact that the RPC
        ran is kept however little memory is left.
        """
        # An entry is kept for max_age_ms after its window, since a duplicate that arrived within the window
        # may not be read yet. Entries of RPCs that still run are kept, too.
        latest_expired_ms = now_ms - self.max_age_ms
        expired = [
            entry
            for entry in self.entries.values()
            if entry.expires_ms <= latest_expired_ms and entry.outcome is not None
        ]
        for entry in expired:
            self.remove(entry)
        for entry in list(self.entries.values()):
            if self.used_bytes <= self.max_bytes * FULL_FRACTION:
                return
            if entry.result is None:
                continue
            if entry.owner.method.idempotency is Idempotency.IDEMPOTENT:
                self.remove(entry)
            else:
                self.used_bytes -= len(entry.result)
                entry.result = None
