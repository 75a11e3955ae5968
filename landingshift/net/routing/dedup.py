"""The deduplication table: what duplicates of an RPC are answered from.

Guarantee: within the repeat window an RPC whose effect must not happen twice is found again, however short
memory is: then results are forgotten, but not that the RPC ran. A duplicate whose entry has lapsed runs anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

ENTRY_BYTES = 400  # that an entry takes without its result
FULL_FRACTION = 0.9  # of the bound, down to which results are forgotten once it is passed

DedupKey = tuple[bytes, str]


@dataclass(slots=True, eq=False)
class DedupEntry:
    """An RPC that duplicates are answered from: a first attempt, or the first request with a cache key."""

    owner: RoutedRpc
    expires_ms: float
    outcome: Outcome | None = None  # None while the owner is held or runs
    ended_ms: float = 0.0
    run_time_ms: float = 0.0
    result: bytes | None = None  # None where the outcome is not OK or the result was forgotten
    waiters: dict[RoutedRpc, None] = field(default_factory=dict)  # duplicates that wait for the owner's end

    @property
    def has_result(self) -> bool:
        """Whether a duplicate can be answered with the owner's result."""
        return self.outcome is Outcome.OK and self.result is not None


class DedupTable:
    """Entries by the key that they share with their duplicates; bounded in bytes.

    Args:
        max_bytes: The bound on entries and their results together.
        response_cache_ttl_ms: How long the result of an idempotent RPC answers others with the same key.
        max_age_ms: The longest time from a duplicate's arrival at the machine until it is read.
    """

    def __init__(self, max_bytes: int, response_cache_ttl_ms: float, max_age_ms: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.response_cache_ttl_ms = response_cache_ttl_ms
        self.max_age_ms = max_age_ms
        self.used_bytes = 0
        self.entries: dict[DedupKey, DedupEntry] = {}
        self.originals: dict[RoutedRpc, DedupEntry] = {}  # of the open duplicates

    def find(self, rpc: RoutedRpc, now_ms: float, arrived_ms: float) -> DedupEntry | None:
        """The entry whose duplicate `rpc` is; drops one that has lapsed.

        A duplicate counts as within the window if it arrived at the machine before the window's end, even
        where it is read much later. Taken for a new RPC, it could be answered that it never ran, though its
        original did.
        """
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        if entry is None:
            return None
        if entry.outcome is None:
            return entry  # its effect may be under way: a second run beside it would have it twice
        has_lapsed = entry.expires_ms <= arrived_ms
        if rpc.method.idempotency is Idempotency.IDEMPOTENT:
            is_too_old = now_ms - entry.ended_ms > self.response_cache_ttl_ms
            has_lapsed = has_lapsed or entry.result is None or is_too_old
        if has_lapsed:
            self.remove(entry)
            return None
        return entry

    def link_duplicate(self, rpc: RoutedRpc, entry: DedupEntry) -> None:
        """Remembers the original of an open duplicate."""
        self.originals[rpc] = entry

    def unlink_duplicate(self, rpc: RoutedRpc) -> None:
        """The RPC is closed: it waits for nothing any more."""
        entry = self.originals.pop(rpc, None)
        if entry is not None:
            entry.waiters.pop(rpc, None)

    def reserve(self, rpc: RoutedRpc, expires_ms: float) -> None:
        """Duplicates of `rpc` are answered from it until `expires_ms`."""
        if rpc.dedup_key is None:
            return
        known = self.entries.get(rpc.dedup_key)
        if known is not None:
            if known.owner is rpc:
                known.expires_ms = expires_ms
                return
            self.remove(known)
        self.entries[rpc.dedup_key] = DedupEntry(rpc, expires_ms)
        self.used_bytes += ENTRY_BYTES

    def owned_by(self, rpc: RoutedRpc) -> DedupEntry | None:
        """The entry whose owner is `rpc`."""
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        return entry if entry is not None and entry.owner is rpc else None

    def remove(self, entry: DedupEntry) -> None:
        """Forgets an entry, if it is the one that its key names."""
        dedup_key = entry.owner.dedup_key
        if dedup_key is not None and self.entries.get(dedup_key) is entry:
            del self.entries[dedup_key]
            self.used_bytes -= ENTRY_BYTES + len(entry.result or b"")

    def complete(self, entry: DedupEntry, outcome: Outcome, result: bytes, now_ms: float) -> list[RoutedRpc]:
        """The owner's run is over; returns the duplicates that waited for that."""
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
        """Brings the table back within its bound: entries past their window go, then the oldest results.

        That an RPC whose effect must not happen twice has run is not forgotten for want of memory.
        """
        # A duplicate that arrived within the window may not be read yet. Entries of RPCs that still run
        # stay, too.
        no_duplicate_after_ms = now_ms - self.max_age_ms
        lapsed = [
            entry
            for entry in self.entries.values()
            if entry.expires_ms <= no_duplicate_after_ms and entry.outcome is not None
        ]
        for entry in lapsed:
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
