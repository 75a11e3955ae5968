"""The ledgers of many instances in one file, entries as they are, and the totals of all."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from contextlib import AbstractContextManager
from pathlib import Path

from landingshift.ledger.entries import (
    START,
    Closed,
    Correction,
    Name,
    Resolved,
    Settled,
    Use,
    chain,
    decode,
    numbers,
)
from landingshift.ledger.merge import Brought, Fit, counted, fit, parted
from landingshift.ledger.periods import Calendar, Unit
from landingshift.ledger.store import BadStore, connect, transaction

SCHEMA = """
CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS lines(line TEXT PRIMARY KEY, instance TEXT NOT NULL, start INTEGER NOT NULL,
    head INTEGER NOT NULL, hash BLOB NOT NULL, until INTEGER NOT NULL, parent TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries(line TEXT NOT NULL, number INTEGER NOT NULL, kind INTEGER NOT NULL,
    data BLOB NOT NULL, hash BLOB NOT NULL, PRIMARY KEY(line, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS names(id INTEGER PRIMARY KEY, name BLOB NOT NULL UNIQUE);
CREATE TABLE IF NOT EXISTS uses(identity BLOB NOT NULL, at INTEGER NOT NULL, line TEXT NOT NULL,
    number INTEGER NOT NULL, period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL, size_out INTEGER NOT NULL,
    counted INTEGER NOT NULL, PRIMARY KEY(identity, at, line, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS totals(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
"""
ADD = """INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""
Row = tuple[int, int, bytes, bytes]  # number, kind, data, hash


class Merged:
    def __init__(self, path: str, zone: str, unit: Unit, window: int) -> None:
        """`window` in ms, as the instances' own. Raises BadStore."""
        self.path, self.window = path, window
        self.db = connect(path)
        try:
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            with self.writing():
                for statement in SCHEMA.split(";"):
                    self.db.execute(statement)
                for key, value in (("zone", zone), ("unit", unit), ("window", window)):
                    self.db.execute("INSERT OR IGNORE INTO meta VALUES(?, ?)", (key, value))
                    kept = self.db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()[0]
                    if kept != value:
                        raise BadStore(f"{path}: its {key} is {kept!r}, not {value!r}")
        except sqlite3.Error as err:
            raise BadStore(f"{path}: {err}") from err
        self.calendar = Calendar(zone, unit)

    def writing(self) -> AbstractContextManager[None]:
        return transaction(self.db, "ledger.merge", "ledger.merged")

    # Lines

    def heads(self) -> dict[str, tuple[int, bytes]]:
        """The newest entry of each line and its hash."""
        return {
            line: (head, hash_) for line, head, hash_ in self.db.execute("SELECT line, head, hash FROM lines")
        }

    def head(self, line: str) -> int:
        return self.heads().get(line, (0, START))[0]

    def current(self, instance: str) -> str:
        """The line that an instance went on last."""
        rows = self.db.execute(
            "SELECT line FROM lines WHERE instance = ? ORDER BY start DESC LIMIT 1", (instance,)
        )
        return next((line for (line,) in rows), instance)

    def hash_at(self, line: str, number: int) -> bytes | None:
        if number == 0:
            return START
        row = self.db.execute(
            "SELECT hash FROM entries WHERE line = ? AND number = ?", (line, number)
        ).fetchone()
        if row is not None:
            return bytes(row[0])
        parent = self.db.execute("SELECT parent, start FROM lines WHERE line = ?", (line,)).fetchone()
        return self.hash_at(parent[0], number) if parent and parent[0] and number < parent[1] else None

    def follows(self, line: str, number: int, kind: int, data: bytes, hash_: bytes) -> bool:
        before = self.hash_at(line, number - 1)
        return before is not None and chain(before, kind, data) == hash_

    def rows(self, line: str, after: int, most: int) -> list[Row]:
        return self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE line = ? AND number > ? "
            "ORDER BY number LIMIT ?",
            (line, after, most),
        ).fetchall()

    def take(self, instance: str, rows: Iterable[Row], line: str = "") -> tuple[int, str]:
        """Entries of one instance in their order. Returns how many were new and the line that has them.

        All or nothing. Raises BadStore for entries that do not follow; what is known already changes nothing.
        """
        new, line = 0, line or instance
        with self.writing():
            self.line(instance, instance, 1, START, "")
            for number, kind, data, hash_ in rows:
                head, until = self.db.execute(
                    "SELECT head, until FROM lines WHERE line = ?", (line,)
                ).fetchone()
                follows = self.follows(line, number, kind, data, hash_)
                match fit(number, hash_, follows, head, self.hash_at(line, number)):
                    case Fit.KNOWN:
                        continue
                    case Fit.PARTED:
                        before = self.hash_at(line, number - 1)
                        if not follows or before is None:
                            raise BadStore(f"{instance}: entry {number} is changed, or out of its order")
                        other = parted(instance, number, hash_)
                        self.line(other, instance, number, before, line)
                        line = other
                        known = self.hash_at(line, number) == hash_
                        if known:
                            continue
                        until = self.db.execute("SELECT until FROM lines WHERE line = ?", (line,)).fetchone()[
                            0
                        ]
                    case Fit.AHEAD:
                        raise BadStore(f"{instance}: entry {head + 1} is missing before {number}")
                    case Fit.BROKEN:
                        raise BadStore(f"{instance}: entry {number} is changed, or out of its order")
                self.db.execute(
                    "INSERT INTO entries VALUES(?, ?, ?, ?, ?)", (line, number, kind, data, hash_)
                )
                until = self.follow(line, number, kind, data, until)
                self.db.execute(
                    "UPDATE lines SET head = ?, hash = ?, until = ? WHERE line = ?",
                    (number, hash_, until, line),
                )
                new += 1
        return new, line

    def line(self, line: str, instance: str, start: int, hash_: bytes, parent: str) -> None:
        row = self.db.execute("SELECT until FROM lines WHERE line = ?", (parent,)).fetchone()
        self.db.execute(
            "INSERT OR IGNORE INTO lines VALUES(?, ?, ?, ?, ?, ?, ?)",
            (line, instance, start, start - 1, hash_, row[0] if row else 0, parent),
        )

    # What follows from an entry

    def follow(self, line: str, number: int, kind: int, data: bytes, until: int) -> int:
        match decode(kind, data):
            case Settled(counted=spans) | Resolved(billed=spans):
                for at in numbers(spans):
                    self.use(line, at, until)
            case Correction() as entry:
                place = (
                    entry.period,
                    entry.belongs if entry.belongs != entry.period else "",
                    self.name(line, entry.tenant),
                    self.name(line, entry.method),
                )
                self.db.execute(ADD, (*place, entry.uses, entry.work, 0, 0))
            case Closed() as entry:
                return max(until, entry.end)
        return until

    def entry(self, line: str, number: int) -> object:
        row = self.db.execute(
            "SELECT kind, data FROM entries WHERE line = ? AND number = ?", (line, number)
        ).fetchone()
        if row is None:
            parent = self.db.execute("SELECT parent FROM lines WHERE line = ?", (line,)).fetchone()[0]
            if not parent:
                raise BadStore(f"{line}: entry {number} is not there")
            return self.entry(parent, number)
        return decode(*row)

    def name(self, line: str, number: int) -> int:
        entry = self.entry(line, number)
        if not isinstance(entry, Name):
            raise BadStore(f"{line}: entry {number} is no name")
        self.db.execute("INSERT OR IGNORE INTO names(name) VALUES(?)", (entry.name,))
        found: int = self.db.execute("SELECT id FROM names WHERE name = ?", (entry.name,)).fetchone()[0]
        return found

    def use(self, line: str, number: int, until: int) -> None:
        entry = self.entry(line, number)
        if not isinstance(entry, Use):
            raise BadStore(f"{line}: entry {number} is no use")
        period, belongs = self.calendar.counts_in(entry.at, until)
        self.db.execute(
            "INSERT OR IGNORE INTO uses VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, 0)",
            (
                entry.identity,
                entry.at,
                line,
                number,
                period,
                belongs,
                self.name(line, entry.tenant),
                self.name(line, entry.method),
                entry.work,
                entry.size_in,
                entry.size_out,
            ),
        )
        self.sweep(entry.identity)

    def sweep(self, identity: bytes) -> None:
        """Looks at all uses of one identity again: an earlier one may have come from elsewhere."""
        rows = self.db.execute(
            "SELECT at, line, number, counted, period, belongs, tenant, method, work, size_in, "
            "size_out FROM uses WHERE identity = ?",
            (identity,),
        ).fetchall()
        good = counted([row[:3] for row in rows], self.window)
        for *place, was, period, belongs, tenant, method, work, size_in, size_out in rows:
            now = tuple(place) in good
            if now != bool(was):
                sign = 1 if now else -1
                self.db.execute(
                    ADD, (period, belongs, tenant, method, sign, sign * work, sign * size_in, sign * size_out)
                )
                self.db.execute(
                    "UPDATE uses SET counted = ? WHERE identity = ? AND at = ? AND line = ? AND number = ?",
                    (now, identity, *place),
                )

    def totals(self, period: str | None = None) -> list[tuple[str, str, bytes, bytes, int, int, int, int]]:
        """Period, the one it belongs to or "", tenant, method, uses, work in us, bytes in and out; none of
        nothing."""
        return self.db.execute(
            """SELECT period, belongs, t.name, m.name, uses, work, size_in, size_out FROM totals
               JOIN names t ON t.id = tenant JOIN names m ON m.id = method
               WHERE (?1 IS NULL OR period = ?1) AND (uses OR work OR size_in OR size_out)
               ORDER BY period, t.name, m.name, belongs""",
            (period,),
        ).fetchall()

    def close(self) -> None:
        self.db.close()


def bring_file(merged: Merged, path: str) -> Brought:
    """All entries of a ledger's file. Raises BadStore for what is none or does not hold."""
    try:
        db = sqlite3.connect(f"{Path(path).resolve().as_uri()}?mode=ro", uri=True)
        try:
            row = db.execute("SELECT value FROM meta WHERE key = 'instance'").fetchone()
            if row is None:
                raise BadStore(f"{path}: no ledger")
            new, line = merged.take(
                str(row[0]), db.execute("SELECT number, kind, data, hash FROM entries ORDER BY number")
            )
            newest = db.execute("SELECT max(number) FROM entries").fetchone()[0] or 0
        finally:
            db.close()
    except sqlite3.Error as err:
        raise BadStore(f"{path}: {err}") from err
    return Brought(str(row[0]), new, line, max(0, merged.head(line) - newest))
