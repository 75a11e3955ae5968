"""Aged periods to their totals: settled uses of closed periods go, the chain and all else stay.

What may go is decided by one pass over the entries: everything up to the first that concerns a later period.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift import failpoints
from landingshift.ledger.audit import Finding, Replay, audit, compacted, kept_digest
from landingshift.ledger.book import Refused, digest
from landingshift.ledger.entries import START, Compacted, Correction, Kind, Settled, Use, decode
from landingshift.ledger.store import Store


@dataclass(slots=True)
class Plan:
    last: int  # up to which settled uses go
    hash: bytes
    keep: set[int] = field(default_factory=set)  # uses up to there that are not settled by then
    uses: int = 0  # that go


def plan(store: Store, period: str) -> tuple[Plan, Replay]:
    """What goes for all periods up to this one. Raises Refused where it is not closed."""
    end = store.calendar.named(period).end
    if store.book.closed_until < end:
        raise Refused(f"{period} is not closed")
    replay, found = Replay(store), Plan(0, START)
    before = compacted(store)
    if before is not None:
        found.last, found.hash = before.last, before.hash
        replay.begin(store, before)
    doubts = [] if before is None else [n for n, k, _, _ in store.rows(1, before.last) if k == Kind.SETTLED]
    for number, kind, data, hash_ in store.rows(found.last + 1):
        entry = decode(kind, data)
        if isinstance(entry, Use) and entry.at >= end:
            break
        if isinstance(entry, Correction) and store.calendar.named(entry.period).end > end:
            break
        if kind == Kind.CLOSED and store.calendar.named(entry.period).end >= end:  # type: ignore[union-attr]
            break
        for _ in replay.take(number, entry):
            pass
        if isinstance(entry, Settled) and entry.disputed:
            doubts.append(number)  # it says so of uses that may stay
        found.last, found.hash = number, hash_
    there = "SELECT count(*) FROM entries WHERE number <= ? AND kind = ?"
    found.uses = store.db.execute(there, (found.last, Kind.USE)).fetchone()[0] - len(replay.open)
    found.keep = {*replay.open, *doubts}
    return found, replay


def compact(store: Store, period: str, now: int, exported: int | None) -> int:
    """Returns how many uses went. `exported`: the entry up to which the receiver has all; None to go without.

    Raises Refused for an open period, for one that is not exported whole, and for a ledger that does not
    hold.
    """
    findings: list[Finding] = audit(store)
    if findings:
        raise Refused(
            f"entry {findings[0].number}: {findings[0].what}; what is wrong now could not be found later"
        )
    with store.changing() as book:
        what, replay = plan(store, period)
        if exported is not None and exported < what.last:
            raise Refused(f"entry {exported + 1} of {what.last} is not exported yet")
        if not what.uses:
            return 0
        db = store.db
        db.execute("CREATE TEMP TABLE IF NOT EXISTS spared(number INTEGER PRIMARY KEY)")
        db.execute("DELETE FROM spared")
        db.executemany("INSERT INTO spared VALUES(?)", [(n,) for n in what.keep])
        db.execute(
            "DELETE FROM entries WHERE number <= ? AND kind IN (?, ?) "
            "AND number NOT IN (SELECT number FROM spared)",
            (what.last, Kind.USE, Kind.SETTLED),
        )
        failpoints.reach("ledger.compact")
        db.execute("DELETE FROM baseline")
        db.executemany(
            "INSERT INTO baseline VALUES(?, ?, ?, ?, ?, ?, ?, ?)",
            [(*p, *s) for p, s in replay.totals.items()],
        )
        failpoints.reach("ledger.compacted")
        book.append(
            Compacted(
                now,
                period,
                what.last,
                what.hash,
                kept_digest(store, what.last),
                digest(store.baseline()),
                replay.until,
            )
        )
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.db.execute("VACUUM")
    return what.uses
