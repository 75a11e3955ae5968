"""Reads a ledger from its first entry and says what does not hold. Changes nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from landingshift.ledger.book import digest
from landingshift.ledger.entries import (
    START,
    Closed,
    Compacted,
    Correction,
    Entry,
    Kind,
    Name,
    Opened,
    Resolved,
    Settled,
    Use,
    chain,
    decode,
    numbers,
)
from landingshift.ledger.store import Store


@dataclass(slots=True)
class Finding:
    number: int  # of the entry; 0 where it concerns the index
    what: str


class Replay:
    """The totals as the entries give them, by the rules of the book but by none of its code."""

    def __init__(self, store: Store) -> None:
        self.calendar = store.calendar
        self.totals: dict[tuple[str, str, int, int], list[int]] = {}
        self.open: dict[int, Use] = {}  # neither settled nor resolved
        self.disputed: set[int] = set()
        self.names: dict[int, bool] = {}
        self.until = 0

    def begin(self, store: Store, gap: Compacted) -> None:
        """As things stood at a compaction's last entry."""
        self.until = gap.until
        for period, belongs, tenant, method, *sums in store.baseline():
            self.totals[period, belongs, tenant, method] = sums  # type: ignore[index, assignment]
        for number, kind, data, _ in store.rows(1, gap.last):
            entry = decode(kind, data)
            if isinstance(entry, Name):
                self.names[number] = entry.tenant
            elif isinstance(entry, Use):
                self.open[number] = entry
            elif isinstance(entry, Opened | Settled):
                self.disputed.update(n for n in numbers(entry.disputed) if n in self.open)

    def add(self, at: int, belongs: str, tenant: int, method: int, sums: tuple[int, int, int, int]) -> None:
        period = belongs if at >= self.until else self.calendar.at(self.until).name
        total = self.totals.setdefault(
            (period, "" if belongs == period else belongs, tenant, method), [0, 0, 0, 0]
        )
        for i, value in enumerate(sums):
            total[i] += value

    def count(self, spans: list[int]) -> Iterator[str]:
        for number in numbers(spans):
            use = self.open.pop(number, None)
            if use is None:
                yield f"settles entry {number}, which is no unsettled use"
                continue
            self.disputed.discard(number)
            belongs = self.calendar.at(use.at).name
            self.add(use.at, belongs, use.tenant, use.method, (1, use.work, use.size_in, use.size_out))

    def drop(self, spans: list[int]) -> Iterator[str]:
        for number in numbers(spans):
            self.disputed.discard(number)
            if self.open.pop(number, None) is None:
                yield f"settles entry {number}, which is no unsettled use"

    def doubt(self, spans: list[int]) -> Iterator[str]:
        for number in numbers(spans):
            if number not in self.open:
                yield f"disputes entry {number}, which is no unsettled use"
            self.disputed.add(number)

    def take(self, number: int, entry: Entry) -> Iterator[str]:
        match entry:
            case Opened():
                yield from self.doubt(entry.disputed)
            case Name():
                self.names[number] = entry.tenant
            case Use():
                if self.names.get(entry.tenant) is not True or self.names.get(entry.method) is not False:
                    yield "names no tenant or method"
                self.open[number] = entry
            case Settled():
                yield from self.count(entry.counted)
                yield from self.drop([*entry.repeats, *entry.void])
                yield from self.doubt(entry.disputed)
            case Resolved():
                yield from self.count(entry.billed)
                yield from self.drop(entry.waived)
            case Correction():
                period = self.calendar.named(entry.belongs)
                sums = (entry.uses, entry.work, 0, 0)
                self.add(period.end - 1, entry.belongs, entry.tenant, entry.method, sums)
            case Closed():
                rows: list[tuple[object, ...]] = [
                    (b, t, m, *s) for (p, b, t, m), s in self.totals.items() if p == entry.period
                ]
                if digest(rows) != entry.totals:
                    yield f"closed {entry.period} with totals that its entries do not give"
                self.until = entry.end


def audit(store: Store, progress: Callable[[int], None] = lambda _: None) -> list[Finding]:
    """All findings, at most a hundred; `progress` hears of every thousandth entry."""
    found: list[Finding] = []
    replay, before, due = Replay(store), START, 1
    gap = compacted(store)
    if gap is not None:
        if kept_digest(store, gap.last) != gap.kept:
            found.append(Finding(gap.last, "an entry kept from the compacted part is changed or missing"))
        if digest(store.baseline()) != gap.baseline:
            found.append(Finding(gap.last, "the totals of the compacted part are changed"))
        before, due = gap.hash, gap.last + 1
        replay.begin(store, gap)
    for number, kind, data, hash_ in store.rows(due):
        if len(found) >= 100:
            break
        if number % 1000 == 0:
            progress(number)
        if number != due:
            found.append(
                Finding(due, "missing" if number == due + 1 else f"missing, and all before {number}")
            )
            due = number
        elif chain(before, kind, data) != hash_:
            found.append(Finding(number, "changed, or out of its order"))
        before, due = hash_, number + 1
        try:
            found += [Finding(number, what) for what in replay.take(number, decode(kind, data))]
        except (msgspec.DecodeError, ValueError, KeyError) as err:
            found.append(Finding(number, f"cannot be read: {err}"))
    head = store.meta("head")
    if head is not None and head != due - 1:
        found.append(Finding(due, f"missing: the newest is {head}"))
    index = {
        (p, b, t, m): [u, w, i, o]
        for p, b, t, m, u, w, i, o in store.db.execute(
            "SELECT period, belongs, tenant, method, uses, work, size_in, size_out FROM totals"
        )
    }
    for place in sorted({*index, *replay.totals}):
        have, right = index.get(place, [0, 0, 0, 0]), replay.totals.get(place, [0, 0, 0, 0])
        if have != right:
            found.append(
                Finding(
                    0,
                    f"totals of {place[0]}, {store.named(place[2])!r}, {store.named(place[3])!r} are "
                    f"{have}, not {right}",
                )
            )
    for period, *sums in store.db.execute("SELECT period, uses, work, size_in, size_out FROM sums"):
        right = [
            sum(column)
            for column in zip(*(s for p, s in replay.totals.items() if p[0] == period), strict=True)
        ]
        if sums != (right or [0, 0, 0, 0]):
            found.append(Finding(0, f"sums of {period} are {sums}, not {right}"))
    listed = {number for (number,) in store.db.execute("SELECT number FROM disputed")}
    for number in sorted(listed ^ replay.disputed):
        found.append(Finding(0, f"entry {number} is disputed in the index or in the entries, not in both"))
    return found[:100]


def compacted(store: Store) -> Compacted | None:
    """The newest compaction."""
    row = store.db.execute(
        "SELECT data FROM entries WHERE kind = ? ORDER BY number DESC LIMIT 1", (Kind.COMPACTED,)
    ).fetchone()
    if row is None:
        return None
    entry = decode(Kind.COMPACTED, row[0])
    assert isinstance(entry, Compacted)
    return entry


def kept_digest(store: Store, last: int) -> bytes:
    """Of the entries up to `last` as they are now."""
    h = blake2b(digest_size=16)
    for number, kind, data, hash_ in store.rows(1, last):
        h.update(b"%d %d %d " % (number, kind, len(data)))
        h.update(data)
        h.update(hash_)
    return h.digest()
