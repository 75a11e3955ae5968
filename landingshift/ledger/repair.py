"""The index made anew from the entries, and entries given back that a ledger lost with an old copy."""

from __future__ import annotations

from landingshift import failpoints
from landingshift.ledger.audit import Replay, audit, compacted
from landingshift.ledger.book import Refused
from landingshift.ledger.entries import Closed, Correction, Name, Opened, decode
from landingshift.ledger.merged import Merged
from landingshift.ledger.store import Store, by_period

PART = 5000  # entries at a time


def reindex(store: Store) -> None:
    """All or nothing. Raises Refused where the entries themselves do not hold."""
    for finding in audit(store):
        if finding.number:
            raise Refused(f"entry {finding.number}: {finding.what}; totals can't be made from that")
    with store.changing():
        rebuild(store)


def rebuild(store: Store) -> None:
    """Within a transaction."""
    replay, gap, db = Replay(store), compacted(store), store.db
    for table in ("names", "totals", "sums", "disputed", "corrections", "closed"):
        db.execute(f"DELETE FROM {table}")
    if gap is not None:
        replay.begin(store, gap)
    low, newest = 0, 0
    for number, kind, data, _ in store.rows():
        entry = decode(kind, data)
        newest = number
        if gap is None or number > gap.last:
            for _ in replay.take(number, entry):
                pass
        match entry:
            case Name():
                db.execute("INSERT INTO names VALUES(?, ?, ?)", (entry.tenant, entry.name, number))
            case Closed():
                db.execute("INSERT INTO closed VALUES(?, ?)", (entry.period, number))
            case Correction():
                db.execute("INSERT INTO corrections VALUES(?, ?)", (number, entry.period))
            case Opened():
                low = number
    failpoints.reach("ledger.rebuild")
    totals = replay.totals
    db.executemany("INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?)", [(*p, *s) for p, s in totals.items()])
    db.executemany("INSERT INTO sums VALUES(?, ?, ?, ?, ?)", [(p, *s) for p, s in by_period(totals).items()])
    db.executemany("INSERT INTO disputed VALUES(?)", [(n,) for n in sorted(replay.disputed)])
    pending = [number for number in replay.open if number not in replay.disputed and number > low]
    store.note("low", min(pending, default=newest + 1))
    store.note("head", newest)


def catch_up(store: Store, merged: Merged) -> int:
    """Takes what the merged ledger has of this one and it lacks; returns how many entries.

    Raises Refused where this ledger has entries of its own that the merged line has not: then both stand, and
    the merged ledger has the totals.
    """
    line, head, hash_ = merged.current(store.instance), store.book.last, store.book.hash
    if merged.hash_at(line, head) != hash_:
        raise Refused(f"entry {head} is another one, or not there, in the merged ledger: the two have parted")
    came = 0
    with store.changing():
        while rows := merged.rows(line, head, PART):
            store.db.executemany("INSERT INTO entries VALUES(?, ?, ?, ?)", rows)
            head, came = rows[-1][0], came + len(rows)
        rebuild(store)
        store.note("run", None)  # whoever opens it next is another run: what is unsettled is disputed
        store.book = store.read()
    return came
