"""The deduplication table: stores the outcomes of RPCs, from which their duplicates are answered.

Requests with the same deduplication key are duplicates. The key consists of the method and either the
idempotency key or the cache key. One RPC runs for all of them: the owner of their entry in the table.

Guarantee: an RPC whose effect must not happen twice stays in the table until its deduplication window ends.
Under memory pressure its result is dropped, but not the record that it ran. Once the owner has ended, a
duplicate that arrives after the window runs as a new RPC.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

ENTRY_BYTES = 400  # size of an entry without its result
FULL_FRACTION = 0.9  # once `max_bytes` is exceeded, results are evicted down to this fraction of it

DedupKey = tuple[bytes, str]


@dataclass(slots=True, eq=False)
class DedupEntry:
    """The outcome of one RPC, the owner, from which duplicates of the owner are answered.

    The owner is the RPC that runs for all requests with the same deduplication key.
    """

    owner: RoutedRpc
    expires_ms: float  # end of the deduplication window
    outcome: Outcome | None = None  # None while the owner is queued or runs
    ended_ms: float = 0.0  # time at which the outcome was stored
    run_time_ms: float = 0.0
    result: bytes | None = None  # None if the outcome is not OK or the result was evicted
    waiters: dict[RoutedRpc, None] = field(default_factory=dict)  # duplicates that wait for the owner to end

    @property
    def has_result(self) -> bool:
        """Return whether a duplicate can be answered with the owner's result."""
        return self.outcome is Outcome.OK and self.result is not None


class DedupTable:
    """The deduplication entries, keyed by deduplication key. Their total size is bounded.

    Args:
        max_bytes: The total size of entries and results above which results are evicted.
        response_cache_ttl_ms: The time for which the result of an idempotent RPC is reused after its run.
        max_age_ms: The longest time from a duplicate's arrival at the machine until this server reads it.

    Attributes:
        used_bytes: The total size of entries and results.
        entries: The entries, keyed by deduplication key.
        originals: For each open duplicate (read and not yet closed), the entry that answers it.
    """

    def __init__(self, max_bytes: int, response_cache_ttl_ms: float, max_age_ms: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.response_cache_ttl_ms = response_cache_ttl_ms
        self.max_age_ms = max_age_ms
        self.used_bytes = 0
        self.entries: dict[DedupKey, DedupEntry] = {}
        self.originals: dict[RoutedRpc, DedupEntry] = {}

    def find(self, rpc: RoutedRpc, now_ms: float, arrived_ms: float) -> DedupEntry | None:
        """Return the entry that answers `rpc` as a duplicate; None if there is none.

        An entry whose owner has ended is removed if it has expired or if its result must not be reused. It
        has expired if `rpc` arrived at the machine (`arrived_ms`) after the end of the window. The time at
        which `rpc` is read does not matter, because a duplicate that is read late could otherwise be rejected
        as never run although the original ran.
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
        """Records that the open duplicate `rpc` is answered from `entry`."""
        self.originals[rpc] = entry

    def unlink_duplicate(self, rpc: RoutedRpc) -> None:
        """Forgets a closed duplicate; it no longer waits for its original."""
        entry = self.originals.pop(rpc, None)
        if entry is not None:
            entry.waiters.pop(rpc, None)

    def reserve(self, rpc: RoutedRpc, expires_ms: float) -> None:
        """Creates the entry of `rpc`, or moves the end of its window to `expires_ms`.

        An entry of another RPC with the same key is replaced.
        """
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
        """Removes an entry; has no effect if a newer entry has replaced it."""
        dedup_key = entry.owner.dedup_key
        if dedup_key is not None and self.entries.get(dedup_key) is entry:
            del self.entries[dedup_key]
            self.used_bytes -= ENTRY_BYTES + len(entry.result or b"")

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes, now_ms: float) -> list[RoutedRpc]:
        """Stores the outcome and result of the entry's owner; returns the duplicates that waited for them."""
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
        """Frees memory: removes expired entries, then evicts results, those of the oldest entries first.

        The entry of an RPC whose effect must not happen twice loses only its result: the record that the RPC
        ran is kept however little memory is left.
        """
        # An entry is kept for max_age_ms after its window ends, since a duplicate that arrived within the
        # window may not have been read yet. An entry whose owner has not ended is kept, too.
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
