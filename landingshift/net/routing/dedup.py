"""The deduplication table: what a repeat of an RPC is answered from."""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.admission.interface import Idempotency, Outcome
from landingshift.net.routing.rpc_record import RoutedRpc

ENTRY = 400  # bytes that an entry takes without its result


@dataclass(slots=True, eq=False)
class Entry:
    owner: RoutedRpc
    until: float
    outcome: Outcome | None = None  # None while its owner is held or runs
    ended: float = 0.0
    work: float = 0.0  # ms that the run took
    result: bytes | None = None
    waiting: dict[RoutedRpc, None] = field(default_factory=dict)


class DedupTable:
    def __init__(self, bound: int, response_cache_ttl_ms: float, oldest: float = 0.0) -> None:
        """`oldest`: ms since a repeat came to the machine, at most."""
        self.bound, self.response_cache_ttl_ms, self.oldest, self.bytes = (
            bound,
            response_cache_ttl_ms,
            oldest,
            0,
        )
        self.entries: dict[tuple[bytes, str], Entry] = {}

    def find(self, rpc: RoutedRpc, now: float, came: float) -> Entry | None:
        """`came`: when it reached the machine."""
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        if entry is None:
            return None
        if entry.outcome is None:
            return entry  # its effect may be under way: a second run beside it would have it twice
        # The window counts to the time at which a repeat came to the machine: it may be read long after, past
        # the end of its own wait, too. Taken for a new RPC it would be told that it never ran.
        stale = entry.until <= came
        if rpc.method.idempotency is Idempotency.IDEMPOTENT:
            stale = stale or entry.result is None or now - entry.ended > self.response_cache_ttl_ms
        if stale:
            self.remove(entry)
            return None
        return entry

    def keep(self, rpc: RoutedRpc, until: float) -> None:
        if rpc.dedup_key is None:
            return
        old = self.entries.get(rpc.dedup_key)
        if old is not None:
            if old.owner is rpc:
                old.until = until
                return
            self.remove(old)
        self.entries[rpc.dedup_key] = Entry(rpc, until)
        self.bytes += ENTRY

    def owned(self, rpc: RoutedRpc) -> Entry | None:
        entry = self.entries.get(rpc.dedup_key) if rpc.dedup_key else None
        return entry if entry is not None and entry.owner is rpc else None

    def remove(self, entry: Entry) -> None:
        dedup_key = entry.owner.dedup_key
        if dedup_key is not None and self.entries.get(dedup_key) is entry:
            del self.entries[dedup_key]
            self.bytes -= ENTRY + len(entry.result or b"")

    def end(self, entry: Entry, outcome: Outcome, result: bytes, now: float) -> list[RoutedRpc]:
        """Its owner is over; returns who waited for that."""
        entry.outcome, entry.ended = outcome, now
        if outcome is Outcome.OK:
            entry.result = result
            self.bytes += len(result)
        waiting, entry.waiting = list(entry.waiting), {}
        self.shrink(now)
        return waiting

    def shrink(self, now: float) -> None:
        """Bounded memory: oldest results go first; that an effect has happened is not forgotten for it."""
        if self.bytes <= self.bound:
            return
        # A repeat that came within the window may still wait to be read, and what runs must be known by it.
        over = now - self.oldest
        for entry in [e for e in self.entries.values() if e.until <= over and e.outcome is not None]:
            self.remove(entry)
        for entry in list(self.entries.values()):
            if self.bytes <= self.bound * 0.9:
                return
            if entry.result is not None:
                if entry.owner.method.idempotency is Idempotency.IDEMPOTENT:
                    self.remove(entry)
                else:
                    self.bytes -= len(entry.result)
                    entry.result = None
