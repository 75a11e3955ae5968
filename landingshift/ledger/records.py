"""Entries to records for the receiver: uses in the order they were settled, corrections, closed periods."""

from __future__ import annotations

from typing import Any

from landingshift.ledger.audit import compacted
from landingshift.ledger.entries import (
    START,
    Closed,
    Correction,
    Kind,
    Resolved,
    Settled,
    Use,
    decode,
    pairs,
)
from landingshift.ledger.export_pb2 import Batch, Record
from landingshift.ledger.store import Store

RECORDS = 2000  # in one batch; an entry's own are never parted
ENTRIES = 20_000  # looked at for one batch


class Exporting:
    """Reads one store, forward. A use's period is found as the book found it: by the closes before."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.closes: list[tuple[int, int]] = []  # entry, end of the period
        self.closes_from = 0
        self.names: dict[int, bytes] = {}

    def hash_at(self, number: int) -> bytes | None:
        if number == 0:
            return START
        row = self.store.db.execute("SELECT hash FROM entries WHERE number = ?", (number,)).fetchone()
        if row is None:
            gap = compacted(self.store)
            return gap.hash if gap is not None and gap.last == number else None
        return bytes(row[0])

    def newest(self) -> int:
        return self.store.db.execute("SELECT max(number) FROM entries").fetchone()[0] or 0

    def name(self, number: int) -> bytes:
        if number not in self.names:
            if len(self.names) > 65_536:
                self.names.clear()
            self.names[number] = self.store.named(number)
        return self.names[number]

    def until(self, number: int) -> int:
        """End of the last period that was closed when this entry was made."""
        rows = self.store.db.execute(
            "SELECT c.number, e.data FROM closed c JOIN entries e USING(number) "
            "WHERE number > ? ORDER BY number",
            (self.closes_from,),
        )
        for at, data in rows:
            entry = decode(Kind.CLOSED, data)
            assert isinstance(entry, Closed)
            self.closes.append((at, entry.end))
            self.closes_from = at
        return max((end for at, end in self.closes if at < number), default=0)

    def batch(self, after: int) -> Batch | None:
        """What comes after this entry; None at the ledger's end."""
        batch = Batch(instance=self.store.instance, to=after)
        setattr(batch, "from", after)
        batch.from_hash = self.hash_at(after) or b""
        for seen, (number, kind, data, hash_) in enumerate(self.store.rows(after + 1)):
            if seen >= ENTRIES or len(batch.records) >= RECORDS:
                break
            if kind in (Kind.SETTLED, Kind.RESOLVED, Kind.CORRECTION, Kind.CLOSED):
                self.add(batch, number, decode(kind, data))
            batch.to, batch.to_hash = number, hash_
        return batch if batch.to > after else None

    def add(self, batch: Batch, number: int, entry: Any) -> None:
        calendar = self.store.calendar
        match entry:
            case Settled(counted=spans) | Resolved(billed=spans):
                until = self.until(number)
                for first, count in pairs(spans):
                    for at, kind, data, _ in self.store.rows(first, first + count - 1):
                        use = decode(kind, data)
                        assert isinstance(use, Use)
                        period, belongs = calendar.counts_in(use.at, until)
                        batch.records.append(
                            Record(
                                kind=Record.USE,
                                id=at,
                                at_ms=use.at,
                                tenant=self.name(use.tenant),
                                method=self.name(use.method),
                                period=period,
                                belongs=belongs,
                                uses=1,
                                work_us=use.work,
                                size_in=use.size_in,
                                size_out=use.size_out,
                                identity=use.identity,
                            )
                        )
            case Correction():
                batch.records.append(
                    Record(
                        kind=Record.CORRECTION,
                        id=number,
                        at_ms=entry.at,
                        tenant=self.name(entry.tenant),
                        method=self.name(entry.method),
                        period=entry.period,
                        belongs=entry.belongs,
                        uses=entry.uses,
                        work_us=entry.work,
                        amount=entry.amount,
                        reason=entry.reason,
                        who=entry.who,
                    )
                )
            case Closed():
                batch.records.append(
                    Record(kind=Record.CLOSE, id=number, at_ms=entry.at, period=entry.period)
                )
