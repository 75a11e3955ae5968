"""The ledger's bytes: one SQLite file in WAL mode, every commit synced. Holds no rule of its own.

`entries` is the ledger; the other tables are an index over it that `audit` can make again. Opening is
recovery: there is no other way in, after a crash or without one.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path

from landingshift import failpoints
from landingshift.ledger.book import Book, Place, Step, Sums
from landingshift.ledger.entries import START, Closed, Kind, Settled, Use, decode, numbers
from landingshift.ledger.periods import Calendar, Unit
from landingshift.ledger.recent import Recent

VERSION = 1
FILE, LOCK = "ledger.sqlite", "ledger.lock"
NAMES = 65_536  # of tenants and methods kept at hand; the rest are looked up
BUSY = 10_000  # ms that a command waits for the server's commit, and the other way round
TAIL = 1000  # entries of the first step back
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries(number INTEGER PRIMARY KEY, kind INTEGER NOT NULL, data BLOB NOT NULL,
    hash BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS names(tenant INTEGER NOT NULL, name BLOB NOT NULL, number INTEGER NOT NULL,
    PRIMARY KEY(tenant, name)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS totals(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sums(period TEXT PRIMARY KEY, uses INTEGER NOT NULL, work INTEGER NOT NULL,
    size_in INTEGER NOT NULL, size_out INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS baseline(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS disputed(number INTEGER PRIMARY KEY);
CREATE TABLE IF NOT EXISTS corrections(number INTEGER PRIMARY KEY, period TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS closed(period TEXT PRIMARY KEY, number INTEGER NOT NULL) WITHOUT ROWID;
"""
ADD = """INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""
ADD_SUM = """INSERT INTO sums VALUES(?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""


class BadStore(Exception):
    """The text names the store and what keeps it from being used."""


class Lock:
    """One server a store: held from its start to its end, and let go by the kernel if it is killed."""

    def __init__(self, folder: str, wait: float) -> None:
        """`wait` in ms: a predecessor that was killed may still be committing what it had read."""
        path = os.path.join(folder, LOCK)
        try:
            self.fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as err:
            raise BadStore(f"{path}: {err.strerror}") from err
        end = time.monotonic() + wait / 1000.0
        while True:
            try:
                fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError as err:
                if time.monotonic() >= end:
                    holder = os.pread(self.fd, 64, 0).decode(errors="replace").strip()
                    os.close(self.fd)
                    raise BadStore(f"{path}: held by another server (process {holder or 'unknown'})") from err
                time.sleep(0.02)
        os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, str(os.getpid()).encode(), 0)

    def close(self) -> None:
        os.close(self.fd)


class Names(dict[tuple[bool, bytes], int]):
    """Numbers of names: a bounded cache before the table."""

    def __init__(self, db: sqlite3.Connection) -> None:
        super().__init__()
        self.db = db

    def get(self, key: tuple[bool, bytes], default: int | None = None) -> int | None:  # type: ignore[override]
        number = dict.get(self, key)
        if number is None:
            row = self.db.execute("SELECT number FROM names WHERE tenant = ? AND name = ?", key).fetchone()
            if row is not None:
                number = row[0]
                self[key] = row[0]
        return number

    def __setitem__(self, key: tuple[bool, bytes], number: int) -> None:
        if len(self) >= NAMES:
            self.clear()  # a hundred thousand tenants must not stay in memory
        super().__setitem__(key, number)


class Store:
    def __init__(self, folder: str, instance: str, zone: str, unit: Unit, window: int, recent: int) -> None:
        """`window` in ms. Raises BadStore for a file that can't be used or is another instance's."""
        self.path = os.path.join(folder, FILE)
        self.instance, self.zone, self.unit, self.window, self.most = instance, zone, unit, window, recent
        self.db = connect(self.path)
        try:
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            self.db.execute("PRAGMA cache_size = -8000")
            with self.writing():
                for statement in SCHEMA.split(";"):
                    self.db.execute(statement)
                self.agree("version", VERSION)
                self.agree("instance", instance)
                self.agree("zone", zone)
                self.agree("unit", unit)
            self.calendar = Calendar(zone, unit)
            self.seen = -1  # the state of the file that `book` stands for
            self.book = self.read()
        except sqlite3.Error as err:
            self.db.close()
            raise BadStore(f"{self.path}: {err}") from err
        except Exception:
            self.db.close()
            raise

    def agree(self, key: str, value: object) -> None:
        kept = self.meta(key)
        if kept is None:
            self.db.execute("INSERT INTO meta VALUES(?, ?)", (key, value))
        elif kept != value:
            raise BadStore(f"{self.path}: its {key} is {kept!r}, not {value!r}")

    def meta(self, key: str) -> object:
        row = self.db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()
        return row[0] if row else None

    def writing(self) -> AbstractContextManager[None]:
        """All or nothing; another process's commit before it is seen."""
        return transaction(self.db, "ledger.commit", "ledger.committed")

    @contextmanager
    def changing(self) -> Iterator[Book]:
        """The book, to take what a commit is to hold; if that fails the book is made anew."""
        good = False
        try:
            with self.writing():
                version = self.db.execute("PRAGMA data_version").fetchone()[0]
                if version != self.seen:
                    self.book, self.seen = self.read(), version
                yield self.book
                self.write(self.book.take_step())
            good = True
        finally:
            if not good:
                self.seen = -1

    # Reading

    def read(self) -> Book:
        """The book as the file has it: only the tail of the entries is looked at."""
        book = Book(self.calendar, Recent(self.window, self.most), Names(self.db))
        newest = self.db.execute("SELECT max(number) FROM entries").fetchone()[0] or 0
        low = self.meta("low")
        low = low if isinstance(low, int) else 1
        start = min(low, self.tail(newest))
        row = self.db.execute(
            "SELECT number, hash FROM entries WHERE number < ? ORDER BY number DESC LIMIT 1", (start,)
        ).fetchone()
        book.last, book.hash = row or (0, START)
        closed = self.db.execute(
            "SELECT e.data FROM closed c JOIN entries e USING(number) ORDER BY number DESC LIMIT 1"
        )
        for (data,) in closed:
            entry = decode(Kind.CLOSED, data)
            assert isinstance(entry, Closed)
            book.closed_until = entry.end
        for number, kind, data, hash_ in self.rows(start):
            book.replay(number, decode(kind, data), hash_, True)
        if low > start:  # those before it are settled: by an entry before `start`
            book.pending = {n: kept for n, kept in book.pending.items() if kept[0] >= low}
        run, batch = self.meta("run"), self.meta("batch")
        book.batch = batch if isinstance(batch, int) and run is not None else 0
        return book

    def tail(self, newest: int) -> int:
        """The first entry of the window that repeated attempts are looked for in."""
        back, end = TAIL, self.newest_use(newest)
        if end is None:
            return 1
        while back < min(newest, 2 * self.most):
            first = self.newest_use(newest - back)
            if first is None or first < end - self.window:
                break
            back *= 2
        return max(1, newest - back)

    def newest_use(self, number: int) -> int | None:
        row = self.db.execute(
            "SELECT data FROM entries WHERE number <= ? AND kind = ? ORDER BY number DESC LIMIT 1",
            (number, Kind.USE),
        ).fetchone()
        if row is None:
            return None
        use = decode(Kind.USE, row[0])
        assert isinstance(use, Use)
        return use.at

    def rows(self, start: int = 1, end: int | None = None) -> Iterator[tuple[int, int, bytes, bytes]]:
        """Number, kind, data and hash of entries from `start` up to `end`, both included."""
        yield from self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE number BETWEEN ? AND ? ORDER BY number",
            (start, end if end is not None else 1 << 62),
        )

    def totals(self, period: str) -> list[tuple[str, bytes, bytes, int, int, int, int]]:
        """Period that it belongs to (or ""), tenant, method, uses, work in us, bytes in and out."""
        return self.db.execute(
            """SELECT belongs, t.name, m.name, uses, work, size_in, size_out FROM totals
               JOIN names t ON t.number = totals.tenant AND t.tenant = 1
               JOIN names m ON m.number = totals.method AND m.tenant = 0
               WHERE period = ? ORDER BY t.name, m.name, belongs""",
            (period,),
        ).fetchall()

    def sums(self, period: str) -> tuple[int, int, int, int]:
        """Uses, work in us, bytes in and out of a whole period."""
        row = self.db.execute(
            "SELECT uses, work, size_in, size_out FROM sums WHERE period = ?", (period,)
        ).fetchone()
        return row or (0, 0, 0, 0)

    def first_open(self) -> str | None:
        """The earliest period with totals that is not closed."""
        rows = self.db.execute("SELECT period FROM sums WHERE period NOT IN (SELECT period FROM closed)")
        names = [name for (name,) in rows]
        return min(names, key=lambda name: self.calendar.named(name).start, default=None)

    def periods(self) -> list[tuple[str, tuple[int, int, int, int], bool]]:
        """Name, sums and whether it is closed, in their order."""
        rows = self.db.execute(
            "SELECT s.period, uses, work, size_in, size_out, c.number IS NOT NULL FROM sums s "
            "LEFT JOIN closed c USING(period)"
        ).fetchall()
        found = [(name, (uses, work, i, o), bool(closed)) for name, uses, work, i, o, closed in rows]
        return sorted(found, key=lambda row: self.calendar.named(row[0]).start)

    def backup(self, path: str) -> None:
        """A whole copy, taken while the server goes on."""
        copy = sqlite3.connect(path)
        try:
            self.db.backup(copy, pages=1000)
        finally:
            copy.close()

    def raw_totals(self, period: str) -> list[tuple[object, ...]]:
        return self.db.execute(
            "SELECT belongs, tenant, method, uses, work, size_in, size_out FROM totals WHERE period = ?",
            (period,),
        ).fetchall()

    def baseline(self) -> list[tuple[object, ...]]:
        """Totals at the last compaction: period, belongs, tenant, method, uses, work, bytes in and out."""
        return self.db.execute(
            "SELECT period, belongs, tenant, method, uses, work, size_in, size_out FROM baseline"
        ).fetchall()

    def disputed(self, most: int = 1 << 62) -> list[tuple[int, Use]]:
        rows = self.db.execute(
            "SELECT d.number, e.data FROM disputed d JOIN entries e USING(number) ORDER BY number LIMIT ?",
            (most,),
        )
        found = []
        for number, data in rows:
            use = decode(Kind.USE, data)
            assert isinstance(use, Use)
            found.append((number, use))
        return found

    def named(self, number: int) -> bytes:
        row = self.db.execute("SELECT name FROM names WHERE number = ?", (number,)).fetchone()
        return row[0] if row else b"?"

    def counted_about(self, uses: dict[int, Use]) -> Recent:
        """All identities that were counted within a window of these uses' times."""
        known = Recent(1 << 60, 1 << 60)
        if not uses:
            return known
        known.window = self.window
        first, last = min(u.at for u in uses.values()), max(u.at for u in uses.values())
        wanted = {u.identity for u in uses.values()}
        start, seen = self.at_or_after(first - self.window), {}
        for number, kind, data, _ in self.rows(start):
            if kind == Kind.USE:
                use = decode(kind, data)
                assert isinstance(use, Use)
                if use.at > last + 2 * self.window:
                    break
                if use.identity in wanted:
                    seen[number] = use
            elif kind == Kind.SETTLED and seen:
                settled = decode(kind, data)
                assert isinstance(settled, Settled)
                for at in numbers(settled.counted):
                    if at in seen:
                        known.add(seen[at].identity, seen[at].at)
        return known

    def at_or_after(self, at: int) -> int:
        """An entry before which all uses are older than `at`, if clocks went straight; found by halving."""
        low, high = 1, self.db.execute("SELECT max(number) FROM entries").fetchone()[0] or 1
        while low < high:
            middle = (low + high) // 2
            time_ = self.newest_use(middle)
            if time_ is None or time_ < at:
                low = middle + 1
            else:
                high = middle
        return low

    # Writing

    def write(self, step: Step) -> None:
        db = self.db
        failpoints.reach("ledger.append")
        db.executemany("INSERT INTO entries VALUES(?, ?, ?, ?)", step.rows)
        failpoints.reach("ledger.appended")
        if step.names:
            db.executemany(
                "INSERT INTO names VALUES(?, ?, ?)", [(e.tenant, e.name, n) for e, n in step.names]
            )
        if step.totals:
            db.executemany(ADD, [(*place, *sums) for place, sums in step.totals.items()])
            db.executemany(ADD_SUM, [(period, *sums) for period, sums in by_period(step.totals).items()])
        if step.disputed:
            db.executemany("INSERT INTO disputed VALUES(?)", [(n,) for n in step.disputed])
        if step.resolved:
            db.executemany("DELETE FROM disputed WHERE number = ?", [(n,) for n in step.resolved])
        for closed, number in step.closed:
            db.execute("INSERT INTO closed VALUES(?, ?)", (closed.period, number))
        for correction, number in step.corrections:
            db.execute("INSERT INTO corrections VALUES(?, ?)", (number, correction.period))
        self.note("low", self.book.low())
        self.note("batch", self.book.batch)
        self.note("head", self.book.last)
        failpoints.reach("ledger.indexed")

    def note(self, key: str, value: object) -> None:
        self.db.execute(
            "INSERT INTO meta VALUES(?, ?) ON CONFLICT DO UPDATE SET value = excluded.value", (key, value)
        )

    def open_run(self, run: bytes, now: int) -> int:
        """Returns how many uses of an earlier run are disputed now; for the same run, nothing changes."""
        with self.changing() as book:
            if self.meta("run") == run:
                return 0
            self.note("run", run)
            return book.open(run, now)

    def close(self) -> None:
        self.db.close()


def by_period(totals: dict[Place, Sums]) -> dict[str, Sums]:
    found: dict[str, Sums] = {}
    for (period, *_), sums in totals.items():
        found[period] = [a + b for a, b in zip(found.get(period, [0, 0, 0, 0]), sums, strict=True)]
    return found


@contextmanager
def transaction(db: sqlite3.Connection, before: str, after: str) -> Iterator[None]:
    """`before` and `after` name the failpoints on both sides of the commit."""
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        failpoints.reach(before)
        db.execute("COMMIT")
        failpoints.reach(after)
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


def connect(path: str) -> sqlite3.Connection:
    try:
        Path(path).parent.mkdir(parents=True, exist_ok=True, mode=0o700)
        db = sqlite3.connect(path, isolation_level=None, timeout=BUSY / 1000.0, cached_statements=64)
        db.execute("SELECT count(*) FROM sqlite_master").fetchone()
    except (sqlite3.Error, OSError) as err:
        raise BadStore(f"{path}: {err}") from err
    return db
