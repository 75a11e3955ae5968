"""The deduplication table stores the outcomes of RPCs, so that duplicates can be answered without a run.

Requests with the same deduplication key are duplicates. The key consists of the method and either the
idempotency key or the cache key. One RPC, the owner of the entry in the table, runs for all duplicates.

The deduplication window of an entry is the time within which duplicates are answered from the entry.
Guarantee: if the effect of an RPC must not happen twice, the entry of the RPC is kept until its window ends.
If memory is short, the result is dropped, but not the record that the RPC ran. A duplicate that arrives after
the window runs as a new RPC, unless the owner is still queued or running.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

ENTRY_BYTES = 400  # size of an entry without its result
# Once the size of the table exceeds `max_bytes`, results are evicted until the size is at most this fraction
# of `max_bytes`.
FULL_FRACTION = 0.9

DedupKey = tuple[bytes, str]


@dataclass(slots=True, eq=False)
class DedupEntry:
    """The outcome of one RPC, the owner; duplicates of the owner are answered with this outcome.

    The owner is the RPC that runs for all requests with the same deduplication key.
    """

    owner: RoutedRpc
    expires_ms: float  # end of the deduplication window
    outcome: Outcome | None = None  # None while the owner is queued or runs
    ended_ms: float = 0.0  # time at which the outcome was stored
    run_time_ms: float = 0.0  # duration of the owner's run
    result: bytes | None = None  # None if the outcome is not OK or the result was evicted
    waiters: dict[RoutedRpc, None] = field(default_factory=dict)  # duplicates that wait for the owner to end

    @property
    def has_result(self) -> bool:
        """Return whether a duplicate can be answered with the owner's result."""
        return self.outcome is Outcome.OK and self.result is not None


class DedupTable:
    """The deduplication entries, keyed by deduplication key. The total size of the entries is bounded.

    Args:
        max_bytes: The total size of entries and results, in bytes, above which results are evicted.
        response_cache_ttl_ms: The time after the end of an idempotent RPC for which its result is reused.
        max_age_ms: The maximum time from a duplicate's arrival at the machine until this server reads it.

    Attributes:
        used_bytes: The total size of entries and results, in bytes.
        entries: The entries, keyed by deduplication key.
        originals: For each open duplicate (read and not yet closed), the entry from which it is answered.
    """

    def __init__(self, max_bytes: int, response_cache_ttl_ms: float, max_age_ms: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.response_cache_ttl_ms = response_cache_ttl_ms
        self.max_age_ms = max_age_ms
        self.used_bytes = 0
        self.entries: dict[DedupKey, DedupEntry] = {}
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
        if entry is not None:
            entry.waiters.pop(rpc, None)

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
        """Stores the outcome and result of the entry's owner; returns the duplicates that waited for it."""
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

        The entry of an idempotent RPC is removed together with its result. The entry of an RPC whose effect
        must not happen twice loses only its result: the record that the RPC ran is kept even if the table
        then still exceeds its maximum size.
        """
        # An entry is kept for max_age_ms after its window ends, since a duplicate that arrived within the
        # window might not have been read yet. An entry whose owner has not ended is kept, too.
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
