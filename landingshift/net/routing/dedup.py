"""The deduplication table stores the outcomes of RPCs, so that duplicates can be answered without a run.

Requests with the same deduplication key are duplicates. The key consists of the method and a key from a field
of the request: the idempotency key if the method's idempotency is `KEYED`, otherwise the cache key. One RPC,
the owner of the entry in the table, runs for all duplicates.

The deduplication window of an entry is the time within which duplicates are answered from the entry.
Guarantee: if the effect of an RPC must not happen twice, the entry of the RPC is kept until its window ends.
If memory is short, the result is dropped, but not the record that the RPC ran. A duplicate that arrives after
the window runs as a new RPC, unless the owner is still queued or running.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from landingshift.admission.interface import Idempotency, Method, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

# Size of an entry without its key and result, including its share of the table and of the expiry heap.
ENTRY_BYTES = 600
# Size of the record of an RPC that the admission controller keeps until the deduplication window ends.
RPC_RECORD_BYTES = 1200
# Results are evicted until the size is below the bound by the rest of this fraction of `max_bytes`.
FULL_FRACTION = 0.9
MIN_EXPIRY_ITEMS = 64  # with fewer items the expiry heap is not compacted

DedupKey = tuple[bytes, str]


@dataclass(slots=True, eq=False)
class DedupEntry:
    """The outcome of one RPC, the owner; duplicates of the owner are answered with this outcome.

    The owner is the RPC that runs for all requests with the same deduplication key.
    """

    dedup_key: DedupKey
    method: Method
    owner: RoutedRpc | None  # None once the owner is closed, so that its memory is freed
    expires_ms: float  # end of the deduplication window
    outcome: Outcome | None = None  # None while the owner is queued or runs
    ended_ms: float = 0.0  # time at which the outcome was stored
    run_time_ms: float = 0.0  # duration of the owner's run
    result: bytes | None = None  # None if the outcome is not OK or the result was evicted
    # Duplicates that wait for the owner to end; None once it has ended.
    waiters: dict[RoutedRpc, None] | None = field(default_factory=dict)

    @property
    def has_result(self) -> bool:
        """Return whether a duplicate can be answered with the owner's result."""
        return self.outcome is Outcome.OK and self.result is not None

    @property
    def size_bytes(self) -> int:
        """Return the memory that the entry uses, without its owner."""
        result_bytes = sys.getsizeof(self.result) if self.result is not None else 0
        return ENTRY_BYTES + sys.getsizeof(self.dedup_key[1]) + result_bytes

    @property
    def evictable_bytes(self) -> int:
        """Return the memory that eviction can free.

        The entry of an idempotent RPC is evicted together with its result. Of an RPC whose effect must not
        happen twice, only the result is evicted.
        """
        if self.outcome is None:
            return 0
        if self.method.idempotency is Idempotency.IDEMPOTENT:
            return self.size_bytes
        return sys.getsizeof(self.result) if self.result is not None else 0


class DedupTable:
    """The deduplication entries, keyed by deduplication key. The total size of the entries is bounded.

    Args:
        max_bytes: The total size of entries and results, in bytes, above which results are evicted. The table
            has no room for new entries if this is not enough.
        response_cache_ttl_ms: The time after the end of an idempotent RPC for which its result is reused.
        max_age_ms: The maximum time from a duplicate's arrival at the machine until this server reads it.

    Attributes:
        used_bytes: The total size of entries and results, in bytes.
        evictable_bytes: The part of `used_bytes` that eviction can free.
        entries: The entries, keyed by deduplication key.
        expiries: A heap of the entries whose owners have ended, ordered by the time of their removal; the
            sequence number orders equal times. Entries that were removed early are skipped.
        originals: For each open duplicate (read and not yet closed), the entry from which it is answered.
    """

    def __init__(self, max_bytes: int, response_cache_ttl_ms: float, max_age_ms: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.response_cache_ttl_ms = response_cache_ttl_ms
        self.max_age_ms = max_age_ms
        self.used_bytes = 0
        self.evictable_bytes = 0
        self.entries: dict[DedupKey, DedupEntry] = {}
        self.expiries: list[tuple[float, int, DedupEntry]] = []
        self.completed_count = 0
        self.originals: dict[RoutedRpc, DedupEntry] = {}

    def find(self, rpc: RoutedRpc, now_ms: float, arrived_ms: float) -> DedupEntry | None:
        """Return the entry from which `rpc` is answered as a duplicate; None if there is none.

        An entry has expired if `rpc` arrived at the machine (at `arrived_ms`) after the end of the entry's
        deduplication window. An entry whose owner has ended is removed if it has expired, or if its result
        must not be reused.

        Expiry does not depend on the time at which `rpc` is read. Otherwise a duplicate that arrived within
        the window and is read late would count as a new RPC. It could then be rejected as never run although
        the original ran.
        """
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        if entry is None:
            return None
        if entry.outcome is None:
            return entry  # the owner might be running, and a second run could repeat its effect
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
        """Forgets a closed duplicate, which no longer waits for its original."""
        entry = self.originals.pop(rpc, None)
        if entry is not None and entry.waiters is not None:
            entry.waiters.pop(rpc, None)

    def has_room(self, dedup_key: DedupKey, now_ms: float, rpc_record_count: int) -> bool:
        """Return whether an entry with this key can be added; removes expired entries and evicts results.

        There is no room if the entries that must be kept already use `max_bytes`. An RPC whose effect must
        not happen twice must not be accepted then, because its duplicates would not be recognized.

        Args:
            dedup_key: The key of the new entry.
            now_ms: The current time.
            rpc_record_count: The number of records that the admission controller keeps; they share the bound.
        """
        if dedup_key in self.entries:
            return True
        added_bytes = ENTRY_BYTES + sys.getsizeof(dedup_key[1]) + rpc_record_count * RPC_RECORD_BYTES
        if self.used_bytes + added_bytes > self.max_bytes:
            self._make_room(now_ms, self.max_bytes - added_bytes)
        return self.used_bytes + added_bytes <= self.max_bytes

    def reserve(self, rpc: RoutedRpc, expires_ms: float) -> None:
        """Creates the entry of `rpc`, or sets the end of the existing entry's window to `expires_ms`.

        An entry of another RPC with the same key is replaced. Has no effect if `rpc` has no key.
        """
        if rpc.dedup_key is None:
            return
        existing = self.entries.get(rpc.dedup_key)
        if existing is not None:
            if existing.owner is rpc:
                existing.expires_ms = expires_ms
                return
            self.remove(existing)
        self.add(DedupEntry(rpc.dedup_key, rpc.method, rpc, expires_ms))

    def add(self, entry: DedupEntry) -> None:
        """Adds an entry, which can already have an outcome; no entry with its key must exist."""
        self.entries[entry.dedup_key] = entry
        self._count(entry, 1)
        if entry.outcome is not None:
            self._schedule_removal(entry)

    def owned_by(self, rpc: RoutedRpc) -> DedupEntry | None:
        """Return the entry whose owner is `rpc`, if there is one and `rpc` is not closed."""
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        return entry if entry is not None and entry.owner is rpc else None

    def release_owner(self, rpc: RoutedRpc) -> None:
        """Forgets the closed RPC `rpc`, which would otherwise use memory as long as its entry is kept."""
        entry = self.owned_by(rpc)
        if entry is not None:
            entry.owner = None

    def remove(self, entry: DedupEntry) -> None:
        """Removes an entry; has no effect if a newer entry has replaced it."""
        if self.entries.get(entry.dedup_key) is entry:
            del self.entries[entry.dedup_key]
            self._count(entry, -1)
            entry.result = None  # the expiry heap still refers to the entry
            self._compact_expiries()

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes, now_ms: float) -> list[RoutedRpc]:
        """Stores the outcome and result of the entry's owner; returns the duplicates that waited for it."""
        waiters = list(entry.waiters or ())
        entry.waiters = None
        is_first_outcome = entry.outcome is None
        is_in_table = self.entries.get(entry.dedup_key) is entry
        if is_in_table:
            self._count(entry, -1)
        entry.outcome = outcome
        entry.ended_ms = now_ms
        if outcome is Outcome.OK:
            entry.result = result
        if is_in_table:
            self._count(entry, 1)
            if is_first_outcome:
                self._schedule_removal(entry)
            self._make_room(now_ms, self.max_bytes)
            if self.used_bytes > self.max_bytes:
                self._evict(entry)
        return waiters

    # Memory

    def _count(self, entry: DedupEntry, sign: int) -> None:
        """Adds the sizes of an entry to the totals, or subtracts them if `sign` is -1."""
        self.used_bytes += sign * entry.size_bytes
        self.evictable_bytes += sign * entry.evictable_bytes

    def _schedule_removal(self, entry: DedupEntry) -> None:
        # An entry is kept for max_age_ms after its window ends, since a duplicate that arrived within the
        # window might not have been read yet.
        self.completed_count += 1
        heappush(self.expiries, (entry.expires_ms + self.max_age_ms, self.completed_count, entry))

    def _compact_expiries(self) -> None:
        """Drops the removed entries from the expiry heap once they are the majority."""
        if len(self.expiries) > max(MIN_EXPIRY_ITEMS, 2 * len(self.entries)):
            self.expiries = [item for item in self.expiries if self._is_kept(item[2])]
            heapify(self.expiries)

    def _is_kept(self, entry: DedupEntry) -> bool:
        return self.entries.get(entry.dedup_key) is entry

    def _make_room(self, now_ms: float, max_bytes: int) -> None:
        """Removes expired entries, then evicts results if more than `max_bytes` are used.

        An entry whose owner has not ended is kept.
        """
        while self.expiries and self.expiries[0][0] <= now_ms:
            self.remove(heappop(self.expiries)[2])
        # If there is little to evict, a search for it at the end of each run would take too long.
        min_evicted_bytes = self.max_bytes * (1.0 - FULL_FRACTION)
        if self.used_bytes > max_bytes and self.evictable_bytes >= min_evicted_bytes:
            self._evict_oldest(max_bytes - min_evicted_bytes)

    def _evict_oldest(self, max_bytes: float) -> None:
        """Evicts results, those of the oldest entries first, until at most `max_bytes` are used."""
        for entry in list(self.entries.values()):
            if self.used_bytes <= max_bytes:
                return
            if entry.evictable_bytes:
                self._evict(entry)

    def _evict(self, entry: DedupEntry) -> None:
        """Evicts the result of an entry whose owner has ended.

        The entry of an idempotent RPC is removed together with its result. The entry of an RPC whose effect
        must not happen twice loses only its result: the record that the RPC ran is kept.
        """
        if entry.method.idempotency is Idempotency.IDEMPOTENT:
            self.remove(entry)
            return
        self._count(entry, -1)
        entry.result = None
        self._count(entry, 1)
