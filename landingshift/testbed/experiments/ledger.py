"""The ledger under what it is meant for: each case brings a failure about and counts by itself."""

from __future__ import annotations

import os
import shutil
import sqlite3
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import Any

from landingshift import failpoints
from landingshift.ledger import audit as audits
from landingshift.ledger.book import Book, Refused
from landingshift.ledger.compact import compact
from landingshift.ledger.entries import IDENTITY, Kind, Raw, identity
from landingshift.ledger.exchange import Peer, bring, serve
from landingshift.ledger.exporter import Receiver, export
from landingshift.ledger.merged import Merged, bring_file
from landingshift.ledger.outbox import Outbox
from landingshift.ledger.recent import Recent
from landingshift.ledger.repair import catch_up
from landingshift.ledger.store import BadStore, Lock, Store
from landingshift.net.program.features import FeatureConfigError, load_features
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.rows import Row, must
from landingshift.testbed.processes.export_receiver import FAULTS, Books, Failing, Server

ZONE, WINDOW = "Europe/Copenhagen", 60_000
START = 1_774_738_800_000  # a day before the clocks go forward there in March 2026, local midnight
DAY = 86_400_000
COMMIT = ("ledger.append", "ledger.appended", "ledger.indexed", "ledger.commit", "ledger.committed")
SENDING = ("ledger.export", "ledger.export_heard", "ledger.exported")
Totals = dict[
    tuple[str, str, bytes, bytes], tuple[int, int]
]  # uses and us by period, belongs, tenant, method


def stored(store: Store) -> Totals:
    return {
        (period, belongs, tenant, method): (uses, work)
        for period, _, _ in store.periods()
        for belongs, tenant, method, uses, work, _, _ in store.totals(period)
    }


class World:
    """One instance's ledger, its server's outbox, and a count of its own of what is to be billed."""

    def __init__(self, chance: Random, folder: str, instance: str = "n1", recent: int = 100_000) -> None:
        self.chance, self.folder, self.instance, self.recent = chance, folder, instance, recent
        os.makedirs(folder, exist_ok=True)
        self.now = START
        self.outbox = Outbox(1 << 20)
        self.run = chance.randbytes(8)
        self.store = self.open()
        self.store.open_run(self.run, self.now)
        self.until = 0
        self.truth: Totals = {}
        self.counted: dict[bytes, list[int]] = {}
        self.uses: dict[int, Raw] = {}
        self.crashes = 0

    def open(self) -> Store:
        return Store(self.folder, self.instance, ZONE, "day", WINDOW, self.recent)

    def use(self, who: bytes, at: int | None = None, tenant: bytes = b"t", method: bytes = b"m") -> int:
        """One RPC answered ok; returns the server's number for it."""
        work = self.chance.randrange(1, 400_000)
        raw = Raw(0, self.now if at is None else at, tenant, method, work, 100, 900, who)
        assert self.outbox.add(raw)
        self.uses[raw.n] = raw
        return raw.n

    def commit(self) -> None:
        """All that is owed, through crashes of the store's process if a point is armed."""
        while True:
            batch = self.outbox.cut(1)
            if batch is None:
                return
            while True:
                try:
                    with self.store.changing() as book:
                        book.take(batch, self.now)
                except failpoints.SimulatedCrashError:
                    self.crash()
                    continue
                break
            for n in batch.sent:
                self.count(self.uses.pop(n))
            self.outbox.ack(batch.number)

    def say_again(self) -> None:
        """The batch that could not be committed."""
        batch = self.outbox.again()[0]
        with self.store.changing() as book:
            book.take(batch, self.now)
        for n in batch.sent:
            self.count(self.uses.pop(n))
        self.outbox.ack(batch.number)

    def crash(self) -> None:
        self.crashes += 1
        failpoints.arm("")
        self.store.close()
        self.store = self.open()
        self.store.open_run(self.run, self.now)

    def count(self, raw: Raw) -> None:
        near = self.counted.setdefault(raw.identity, [])
        if any(abs(raw.at - at) < WINDOW for at in near):
            return
        near.append(raw.at)
        belongs = self.store.calendar.at(raw.at).name
        period = belongs if raw.at >= self.until else self.store.calendar.at(self.until).name
        self.add(period, belongs, raw.tenant, raw.method, 1, raw.work)

    def add(self, period: str, belongs: str, tenant: bytes, method: bytes, uses: int, work: int) -> None:
        place = (period, belongs if belongs != period else "", tenant, method)
        had = self.truth.get(place, (0, 0))
        self.truth[place] = had[0] + uses, had[1] + work

    def close_ended(self) -> None:
        name = self.store.first_open()
        if name is None:
            return
        period = self.store.calendar.named(name)
        if period.end <= self.now:
            with self.store.changing() as book:
                book.close(name, self.now, name, self.store.raw_totals(name))
            self.until = period.end

    def traffic(self, count: int) -> None:
        """Uses, repeated attempts, steps of the clock, late fates; periods closed, corrections."""
        chance, tried, open_uses = self.chance, [bytes(IDENTITY)], list[int]()
        for _ in range(count):
            self.now += chance.choice((50, 5_000, 40_000, 3_600_000))
            if chance.random() < 0.05:
                self.now -= chance.choice((3_000, 7_200_000))  # the clock steps back
            again = chance.random() < 0.25
            who = chance.choice(tried[-4:]) if again else chance.randbytes(IDENTITY)
            tried.append(who)
            open_uses.append(
                self.use(who, None, b"club %d" % chance.randrange(3), chance.choice((b"m", b"\xff\0")))
            )
            while open_uses and chance.random() < 0.6:
                n = open_uses.pop(chance.randrange(len(open_uses)))
                fate = chance.choices(("sent", "void", "disputed"), (17, 2, 1))[0]
                self.outbox.settle(getattr(self.outbox, fate), n)
            if chance.random() < 0.2:
                if chance.random() < 0.4:
                    failpoints.arm(chance.choice(COMMIT), chance.randrange(1, 3))
                self.commit()
                failpoints.arm("")
            if chance.random() < 0.05:
                self.commit()
                self.close_ended()
            if chance.random() < 0.03:
                self.correct()
        for n in open_uses:
            self.outbox.settle(self.outbox.sent, n)
        self.commit()

    def correct(self) -> None:
        about = self.store.calendar.at(self.now - self.chance.randrange(2) * DAY).name
        with self.store.changing() as book:
            entry = book.correct(b"club 1", b"m", about, -1, -500, "-0.10", "credit", "lab", self.now)
        self.add(entry.period, about, b"club 1", b"m", -1, -500)

    def check(self, row: Row) -> None:
        must(
            row,
            stored(self.store) == {k: v for k, v in self.truth.items()},
            "the totals are not what was answered",
        )
        for finding in audits.audit(self.store)[:2]:
            row.broken.append(f"audit: entry {finding.number}: {finding.what}")

    def deliver(self, receiver: Any, crashes: bool = False, once: bool = True) -> Any:
        """Exports until all is there, starting the exporter again where it was killed."""
        while True:
            if crashes and self.chance.random() < 0.3:
                failpoints.arm(self.chance.choice(SENDING), self.chance.randrange(1, 4))
            try:
                return export(self.store, receiver, self.chance, lambda *_, **__: None, once, lambda _: None)
            except failpoints.SimulatedCrashError:
                self.crashes += 1
            finally:
                failpoints.arm("")


# The cases; each takes its chance, a folder of its own and its row


def totals(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    books = Books(not broken("cursor"))
    receiver = Failing(books, chance, 0.3)
    for _ in range(3):
        world.traffic(chance.randrange(10, 40))
        world.deliver(receiver, True)
    receiver.share, receiver.away = 0.0, 0
    stop = world.deliver(receiver)
    world.check(row)
    must(row, stop is None, f"the export stopped: {stop}")
    must(row, books.totals() == stored(world.store), "the receiver's totals are not the ledger's")
    ids = [(r.kind, r.id) for r in books.records]
    must(row, len(ids) == len(set(ids)), "a record is there twice")
    for fault, count in receiver.seen.items():
        row.figures[fault] = row.figures.get(fault, 0) + count
    row.figures["crashes"] = row.figures.get("crashes", 0) + world.crashes
    row.figures["records"] = row.figures.get("records", 0) + len(ids)
    world.store.close()


def one_fault(fault: str) -> Callable[[Random, str, Row], None]:
    def case(chance: Random, folder: str, row: Row) -> None:
        world = World(chance, folder)
        world.traffic(40)
        books = Books(not broken("cursor"))
        receiver = Failing(books, chance, 0.5, (fault,))
        if fault == "away":
            receiver.away = 1000
        world.deliver(receiver)
        if fault == "loses":
            books.lose()
            world.deliver(receiver)
        receiver.share, receiver.away = 0.0, 0
        world.deliver(receiver)
        must(row, books.totals() == stored(world.store), "the receiver's totals are not the ledger's")
        row.figures["faults"] = row.figures.get("faults", 0) + sum(receiver.seen.values())
        world.store.close()

    return case


def over_http(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    world.traffic(30)
    books = Books(not broken("cursor"))
    server = Server(Failing(books, chance, 0.3, ("before", "after", "twice", "old")))
    try:
        world.deliver(Receiver(server.url, 2000.0))
    finally:
        server.close()
    must(row, books.totals() == stored(world.store), "the receiver's totals are not the ledger's")
    world.store.close()


def old_backup(chance: Random, folder: str, row: Row) -> None:
    """The ledger comes back from an old copy and the receiver is ahead: noticed, never billed over."""
    world = World(chance, folder)
    world.traffic(20)
    copy = folder + "/copy.sqlite"
    world.store.backup(copy)
    world.traffic(20)
    books = Books()
    receiver = Failing(books, chance, 0.0)
    world.deliver(receiver)
    had = books.totals()
    for gone_on in (False, True):
        world.store.close()
        for name in ("ledger.sqlite", "ledger.sqlite-wal", "ledger.sqlite-shm"):
            with suppress(FileNotFoundError):
                os.unlink(f"{folder}/{name}")
        shutil.copy(copy, f"{folder}/ledger.sqlite")
        world.store, world.outbox = world.open(), Outbox(1 << 20)
        world.run = chance.randbytes(8)
        world.store.open_run(world.run, world.now)
        if gone_on:
            world.traffic(60)
        stop = world.deliver(receiver)
        must(row, stop is not None, "an old copy went on exporting")
        must(row, books.totals() == had, "the receiver took what is not its ledger's")
    world.store.close()


def retries(chance: Random, folder: str, row: Row) -> None:
    """A repeated attempt on another connection, after a restart, in the next period, late after a close."""
    world = World(chance, folder)
    midnight = world.store.calendar.at(START).end
    world.now = midnight - 10_000
    for who, steps in ((b"a" * 16, (0, 1_000)), (b"b" * 16, (0, 15_000)), (b"c" * 16, (0, 59_999, 60_001))):
        for step in steps:
            n = world.use(who, midnight - 10_000 + step)
            world.outbox.settle(world.outbox.sent, n)
            world.commit()
    world.crash()
    n = world.use(b"b" * 16, midnight + 20_000)
    world.outbox.settle(world.outbox.sent, n)
    world.commit()
    world.now = midnight + DAY
    world.close_ended()
    n = world.use(b"d" * 16, midnight - 5_000)  # answered before midnight, settled after the close
    world.outbox.settle(world.outbox.sent, n)
    world.commit()
    world.check(row)
    uses = {place[:2]: sums[0] for place, sums in stored(world.store).items()}
    must(
        row,
        uses == {("2026-03-29", ""): 3, ("2026-03-30", ""): 1, ("2026-03-30", "2026-03-29"): 1},
        f"{uses}",
    )
    world.store.close()


def clock_steps_back(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    midnight = world.store.calendar.at(START).end
    for at in (midnight - 1, midnight, midnight - 1, midnight - 3_600_000, midnight + 1):
        world.now = at
        world.outbox.settle(world.outbox.sent, world.use(chance.randbytes(16)))
        world.commit()
    world.check(row)
    must(row, world.store.sums("2026-03-29")[0] == 3, "a use is in the wrong period")
    world.store.close()


def disk_full(chance: Random, folder: str, row: Row) -> None:
    """What fails to be written is written once there is room; nothing is half there."""
    world = World(chance, folder)
    world.traffic(20)
    pages = world.store.db.execute("PRAGMA page_count").fetchone()[0]
    world.store.db.execute(f"PRAGMA max_page_count = {pages}")
    failed = 0
    for _ in range(2000):
        world.outbox.settle(world.outbox.sent, world.use(chance.randbytes(16)))
    try:
        world.commit()
    except sqlite3.Error:
        failed = 1
    must(row, failed == 1, "the disk was not full")
    world.store.db.execute("PRAGMA max_page_count = 1000000000")
    world.say_again()
    world.commit()
    world.check(row)
    world.store.close()


def read_only(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    world.traffic(10)
    before = stored(world.store)
    world.store.db.execute("PRAGMA query_only = ON")
    world.outbox.settle(world.outbox.sent, world.use(chance.randbytes(16)))
    try:
        world.commit()
        row.broken.append("it wrote to a disk that takes nothing")
    except sqlite3.Error:
        must(row, stored(world.store) == before, "a commit that failed changed the totals")
    world.store.db.execute("PRAGMA query_only = OFF")
    world.say_again()
    world.check(row)
    world.store.close()


def torn_page(chance: Random, folder: str, row: Row) -> None:
    """The last commit's pages are half written, as after a power cut: it opens at the commit before."""
    world = World(chance, folder)
    world.traffic(30)
    world.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    entries = [(world.store.book.last, stored(world.store))]
    for _ in range(5):
        world.outbox.settle(world.outbox.sent, world.use(chance.randbytes(16)))
        world.commit()
        entries.append((world.store.book.last, stored(world.store)))
    torn = folder + "/torn"
    os.mkdir(torn)
    for name in ("ledger.sqlite", "ledger.sqlite-wal"):
        shutil.copy(f"{folder}/{name}", f"{torn}/{name}")
    size = os.path.getsize(torn + "/ledger.sqlite-wal")
    with open(torn + "/ledger.sqlite-wal", "r+b") as wal:
        wal.truncate(chance.randrange(size // 2, size))
        wal.seek(-100, os.SEEK_END)
        wal.write(chance.randbytes(100))
    store = Store(torn, "n1", ZONE, "day", WINDOW, 1000)
    must(row, (store.book.last, stored(store)) in entries, "it opened between two commits")
    must(row, not audits.audit(store), "what it opened does not hold")
    store.close()
    world.store.close()


def locked(chance: Random, folder: str, row: Row) -> None:
    first = Lock(folder, 0.0)
    try:
        Lock(folder, 30.0)
        row.broken.append("two servers have one store")
    except BadStore as err:
        must(row, "held by another server" in str(err) and folder in str(err), f"said {err}")
    first.close()
    Lock(folder, 0.0).close()


def tampered(chance: Random, folder: str, row: Row) -> None:
    """Each change to the file is found and named."""
    world = World(chance, folder)
    world.traffic(60)
    db = world.store.db
    uses = [n for (n,) in db.execute("SELECT number FROM entries WHERE kind = ?", (Kind.USE,))]
    victim = chance.choice(uses[1:-1])
    newest = world.store.book.last
    cases = {
        "changed": ("UPDATE entries SET data = CAST(data || x'00' AS BLOB) WHERE number = :n", {victim}),
        "missing": ("DELETE FROM entries WHERE number = :n", {victim}),
        "cut off": ("DELETE FROM entries WHERE number = :last", {newest}),
        "index": ("UPDATE totals SET uses = uses + 1 WHERE rowid IS NULL OR tenant > 0", {0}),
        "reordered": (
            "UPDATE entries SET data = (SELECT data FROM entries WHERE number = :other) WHERE number = :n",
            {victim},
        ),
    }
    for name, (change, named) in cases.items():
        db.execute("BEGIN")
        db.execute(change.replace("rowid IS NULL OR ", ""), {"n": victim, "last": newest, "other": uses[0]}
                   if ":other" in change else {"n": victim} if ":n" in change
                   else {"last": newest} if ":last" in change else {})  # fmt: skip
        found = {finding.number for finding in audits.audit(world.store)}
        must(row, named <= found, f"{name}: entry {named} is not among {sorted(found)[:5]}")
        db.execute("ROLLBACK")
    must(row, not audits.audit(world.store), "what was put back does not hold")
    world.store.close()


def closing(chance: Random, folder: str, row: Row) -> None:
    """Killed at each point of a close and of a correction; closed once, closed for good."""
    world = World(chance, folder)
    world.traffic(30)
    world.now += 3 * DAY
    name = world.store.first_open()
    assert name is not None
    for point in COMMIT:
        failpoints.arm(point)
        with suppress(failpoints.SimulatedCrashError), world.store.changing() as book:
            book.close(name, world.now, world.store.first_open(), world.store.raw_totals(name))
        world.crash()
    before = world.store.totals(name)
    with world.store.changing() as book:
        again = book.close(name, world.now, world.store.first_open(), world.store.raw_totals(name))
    must(row, not again, "a period closed twice")
    world.until = world.store.calendar.named(name).end
    world.correct()
    n = world.use(chance.randbytes(16), world.store.calendar.named(name).start)
    world.outbox.settle(world.outbox.sent, n)
    world.commit()
    must(row, world.store.totals(name) == before, "a closed period changed")
    for late, why in ((world.store.calendar.at(world.now).name, "an open day"), ("2026-02-30", "no day")):
        try:
            with world.store.changing() as book:
                book.close(late, world.now, world.store.first_open(), [])
            row.broken.append(f"it closed {why}")
        except Refused:
            pass
    world.check(row)
    world.store.close()


def compacting(chance: Random, folder: str, row: Row) -> None:
    """Killed at each point; totals, chain and what is disputed stay, a retry is still known."""
    world = World(chance, folder)
    world.traffic(60)
    world.now += 3 * DAY
    while (name := world.store.first_open()) and world.store.calendar.named(name).end <= world.now:
        world.close_ended()
    last = [period for period, _, closed in world.store.periods() if closed][-1]
    before, listed = stored(world.store), world.store.disputed()
    for point in ("ledger.compact", "ledger.compacted", *COMMIT):
        failpoints.arm(point)
        with suppress(failpoints.SimulatedCrashError):
            compact(world.store, last, world.now, None)
        world.crash()
    gone = compact(world.store, last, world.now, None)
    row.figures["uses_left"] = row.figures.get("uses_left", 0) + len(world.store.book.pending) + gone
    must(row, stored(world.store) == before, "compacting changed the totals")
    must(row, world.store.disputed() == listed, "compacting changed what is disputed")
    world.traffic(20)
    world.check(row)
    try:
        compact(world.store, world.store.calendar.at(world.now).name, world.now, None)
        row.broken.append("an open period was compacted")
    except Refused:
        pass
    world.store.close()


def merging(chance: Random, folder: str, row: Row) -> None:
    """Three ledgers, any order, any repetition, killed on the way: the same totals; a retry counts once."""
    worlds = [World(chance, f"{folder}/{i}", f"n{i}") for i in range(3)]
    shared = [chance.randbytes(16) for _ in range(10)]
    for world in worlds:
        world.traffic(15)
        for who in shared:
            world.outbox.settle(
                world.outbox.sent, world.use(who, START + 5 * DAY + world.chance.randrange(20_000))
            )
        world.commit()
    found = []
    for turn in range(3):
        merged = Merged(f"{folder}/merged{turn}.sqlite", ZONE, "day", WINDOW)
        order = [world for world in worlds for _ in range(2)]
        chance.shuffle(order)
        for world in order:
            failpoints.arm(chance.choice(("ledger.merge", "ledger.merged", "")), 1)
            with suppress(failpoints.SimulatedCrashError):
                bring_file(merged, world.store.path)
            failpoints.arm("")
        for world in worlds:
            bring_file(merged, world.store.path)
        found.append(merged.totals())
        merged.close()
    must(row, all(one == found[0] for one in found), "the order of merging changed the totals")
    late = [t for t in found[0] if t[0] == "2026-04-03"]
    must(row, sum(t[4] for t in late) == 10, f"a retry on another instance counted: {late}")
    subset = Merged(f"{folder}/subset.sqlite", ZONE, "day", WINDOW)
    bring_file(subset, worlds[0].store.path)
    alone = {t[:4]: (t[4], t[5]) for t in subset.totals()}
    must(
        row,
        alone == {k: v for k, v in stored(worlds[0].store).items() if v != (0, 0)},
        "one alone is not itself",
    )
    subset.close()
    for world in worlds:
        world.store.close()


def away_or_old(chance: Random, folder: str, row: Row) -> None:
    """Over gRPC: an instance that was away for a day, one back from an old copy that goes on."""
    world = World(chance, folder + "/n1")
    merged = Merged(folder + "/merged.sqlite", ZONE, "day", WINDOW)
    server, port = serve(world.open, "127.0.0.1:0")
    peer = Peer(f"127.0.0.1:{port}", 5000.0)
    try:
        world.traffic(20)
        must(row, bring(merged, peer).new == world.store.book.last, "not all came")
        copy = folder + "/copy.sqlite"
        world.store.backup(copy)
        world.now += DAY
        world.traffic(20)
        bring(merged, peer)
        must(row, merged.heads()["n1"][0] == world.store.book.last, "a day away is not brought up to date")
        before = merged.totals()
        totals_then = stored(world.store)
        world.store.close()
        for name in ("ledger.sqlite-wal", "ledger.sqlite-shm"):
            with suppress(FileNotFoundError):
                os.unlink(f"{folder}/n1/{name}")
        shutil.copy(copy, f"{folder}/n1/ledger.sqlite")
        world.store = world.open()
        must(row, bring(merged, peer).behind > 0, "an old copy was not noticed")
        catch_up(world.store, merged)
        must(row, stored(world.store) == totals_then, "caught up, it has other totals")
        must(row, not audits.audit(world.store), "caught up, it does not hold")
        world.store.close()
        for name in ("ledger.sqlite-wal", "ledger.sqlite-shm"):
            with suppress(FileNotFoundError):
                os.unlink(f"{folder}/n1/{name}")
        shutil.copy(copy, f"{folder}/n1/ledger.sqlite")
        world.store, world.outbox = world.open(), Outbox(1 << 20)
        world.run = chance.randbytes(8)
        for _ in range(2):  # at once, and once it has gone on
            world.store.open_run(world.run, world.now)
            who = chance.randbytes(16)
            world.outbox.settle(world.outbox.sent, world.use(who, START + 9 * DAY))
            world.commit()
            must(row, bring(merged, peer).line != "n1", "an old copy that went on was not noticed")
        after = [t for t in merged.totals() if t[0] != "2026-04-07"]
        must(row, after == before, "what the old copy lacks was lost")
        must(
            row,
            sum(t[4] for t in merged.totals() if t[0] == "2026-04-07") == 2,
            "what it went on with is not there",
        )
    finally:
        peer.close()
        server.stop(0).wait()
        merged.close()
        world.store.close()


def many_tenants(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    world.outbox.bound = 1 << 30
    count = 100_000
    for i in range(count):
        world.outbox.settle(world.outbox.sent, world.use(i.to_bytes(16, "big"), START + 1, b"club %d" % i))
        if len(world.outbox.uses) >= 2000:
            world.commit()
    world.commit()
    world.check(row)
    must(row, world.store.sums("2026-03-29")[0] == count, "not every tenant's use is there")
    row.figures["bytes_a_use"] = os.path.getsize(world.store.path) // count
    world.store.close()


def bad_settings(chance: Random, folder: str, row: Row) -> None:
    """Each is refused with file, table and key, and nothing is made."""
    good = {
        "folder": f'"{folder}/l"',
        "instance": '"n1"',
        "zone": '"UTC"',
        "period": '"day"',
        "commit_ms": "5",
    }
    bad = {"folder": '"relative"', "instance": '"a b"', "zone": '"No/Where"', "period": "3"}
    bad |= {"commit_ms": "-1", "plan": '"none.toml"', "unknown": "1"}
    for key, value in bad.items():
        path = folder + "/ours.toml"
        with open(path, "w") as file:
            file.write("[ledger]\n" + "".join(f"{k} = {v}\n" for k, v in (good | {key: value}).items()))
        try:
            load_features(path)
            row.broken.append(f"{key} = {value} was taken")
        except FeatureConfigError as err:
            must(row, all(part in str(err) for part in (path, "[ledger]", key)), f"said {err}")
        must(row, not os.path.exists(folder + "/l"), "a refused start left something behind")


def any_bytes(chance: Random, folder: str, row: Row) -> None:
    world = World(chance, folder)
    names = [
        b"",
        b"\0",
        b"\xff\xfe",
        b"a,b\n",
        "æøå".encode(),
        b"\\x00",
        b"'; DROP TABLE entries",
        bytes(1000),
    ]
    for name in names:
        for method in (b"m", name):
            n = world.use(identity(name, method, False, b""), None, name, method)
            world.outbox.settle(world.outbox.sent, n)
    world.commit()
    world.check(row)
    books = Books()
    world.deliver(Failing(books, chance, 0.0))
    must(row, books.totals() == stored(world.store), "a name came out changed")
    world.store.close()


CASES: dict[str, Callable[[Random, str, Row], None]] = {
    "totals": totals,
    **{f"receiver_{fault}": one_fault(fault) for fault in FAULTS},
    "receiver_over_http": over_http,
    "old_backup": old_backup,
    "retries": retries,
    "clock_steps_back": clock_steps_back,
    "disk_full": disk_full,
    "disk_read_only": read_only,
    "torn_page": torn_page,
    "locked": locked,
    "tampered": tampered,
    "closing_killed": closing,
    "compacting_killed": compacting,
    "merging_killed": merging,
    "merging_away_or_old": away_or_old,
    "any_bytes": any_bytes,
    "bad_settings": bad_settings,
    "many_tenants": many_tenants,
}
ONCE = ("many_tenants",)
FEW = 5  # one in so many repeats is enough for all cases but `totals`

_broken = ""


def broken(what: str) -> bool:
    return _broken == what


@contextmanager
def without(what: str | None) -> Iterator[None]:
    """Takes one defence away for as long as it lasts."""
    global _broken
    _broken = what or ""
    seen, opened, taken, audited = Recent.seen, Book.open, Book.take, audits.audit
    if what == "identity":
        Recent.seen = lambda *_: False  # type: ignore[method-assign]
    if what == "chain":
        audits.audit = lambda *_, **__: []
    if what == "disputed":

        def forgets(book: Book, run: bytes, now: int) -> int:
            book.pending.clear()
            return opened(book, run, now)

        Book.open = forgets  # type: ignore[method-assign, assignment]
    if what == "batch":

        def trusts(book: Book, batch: Any, now: int) -> None:
            book.batch = batch.number - 1
            taken(book, batch, now)

        Book.take = trusts  # type: ignore[method-assign, assignment]
    try:
        yield
    finally:
        _broken = ""
        Recent.seen, Book.open, Book.take, audits.audit = seen, opened, taken, audited  # type: ignore[method-assign]


def experiment(
    repeats: int, kills: int, seed: int, take_away: str | None = None, only: str | None = None
) -> Iterator[Row]:
    """Rows as they are done; a run that raises is broken. The same seed gives the same faults."""
    with without(take_away):
        for name, case in CASES.items():
            if only and only != name:
                continue
            row = Row(name)
            few = 1 if name in ONCE else repeats if name == "totals" else max(1, repeats // FEW)
            for run in range(few):
                # Kills are of processes here: nothing is learned from waiting for a disk.
                with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
                    try:
                        case(Random(f"{seed} {name} {run}"), folder, row)
                    except Exception as err:
                        row.broken.append(f"run {run}: {type(err).__name__}: {err}")
                    finally:
                        failpoints.arm("")
                row.runs += 1
            yield row
        if kills and not (only and only != "kills"):
            from landingshift.testbed.experiments.ledger_real import kills as run_kills

            yield run_kills(kills, seed, take_away)
