"""What the ledger's design note weighed: `python -m benchmarks.ways`. Prints two tables.

- identity: of generated tries and retries, how many each identity merges (lost) or misses (billed twice).
- durable: uses a second that a file takes in commits of 100, each synced.
"""

from __future__ import annotations

import multiprocessing
import os
import sqlite3
import tempfile
import threading
import time
import zlib
from random import Random

from landingshift.ledger.entries import Batch, Raw, encode, identity
from landingshift.ledger.recent import Recent
from landingshift.ledger.store import Store

USES, RATE, SUBJECTS = 20_000, 200.0, 2000  # tries, tries a second, subjects drawn by 1 / rank
SAME_BODY = 0.3  # share of tries whose body is that of every other try about its subject
CHANGED = 0.02  # share of retries whose client made the body anew


def traffic(chance: Random) -> list[tuple[float, int, bytes, bytes]]:
    """Time in ms, the client's try, key and body; one in four is a retry within a minute."""
    weights = [1.0 / rank for rank in range(1, SUBJECTS + 1)]
    subjects = chance.choices(range(SUBJECTS), weights, k=USES)
    found = []
    for i, subject in enumerate(subjects):
        at = i * 1000.0 / RATE
        own = b"" if chance.random() < SAME_BODY else b" of %d" % i
        body = b"route %d%b" % (subject, own)
        found.append((at, i, b"%d" % subject, body))
        if chance.random() < 1.0 / 3.0:
            again = body + b" anew" if chance.random() < CHANGED else body
            found.append((at + chance.uniform(200.0, 60_000.0), i, b"%d" % subject, again))
    return sorted(found)


def weigh(window: int, mark: str) -> tuple[int, int]:
    """Tries that were merged with another one, and retries that counted."""
    recent, counted, merged, missed = Recent(window, 1 << 30), set[int](), 0, 0
    for at, number, key, body in traffic(Random(1)):
        what = {"field": b"%d" % number, "key": key, "body": body}[mark]
        who = identity(b"t", b"m", mark != "body", what)
        if recent.seen(who, int(at)):
            merged += number not in counted
            counted.add(number)
            continue
        recent.add(who, int(at))
        missed += number in counted
        counted.add(number)
    return merged, missed


def durable() -> None:
    chance = Random(1)
    rows = [Raw(i, i, b"club", b"m", 90_000, 800, 2000, chance.randbytes(16)) for i in range(20_000)]
    with tempfile.TemporaryDirectory() as folder:
        db = sqlite3.connect(folder + "/a.sqlite", isolation_level=None)
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute("CREATE TABLE entries(number INTEGER PRIMARY KEY, data BLOB)")
        began = time.perf_counter()
        for i in range(0, len(rows), 100):
            db.execute("BEGIN")
            db.executemany("INSERT INTO entries VALUES(?, ?)", [(r.n, encode(r)) for r in rows[i : i + 100]])
            db.execute("COMMIT")
        print(f"| SQLite, WAL, synced each commit | {len(rows) / (time.perf_counter() - began):,.0f} |")
        db.close()
        fd = os.open(folder + "/log", os.O_CREAT | os.O_WRONLY | os.O_APPEND)
        began = time.perf_counter()
        for i in range(0, len(rows), 100):
            data = b"".join(map(encode, rows[i : i + 100]))
            os.write(fd, zlib.crc32(data).to_bytes(4, "big") + data)
            os.fdatasync(fd)
        print(f"| append log with CRC | {len(rows) / (time.perf_counter() - began):,.0f} |")
        os.close(fd)


def held_up(where: str) -> tuple[float, float]:
    """How late a loop's 1 ms timer comes, p50 and p99 in ms, while 200 uses a commit are kept elsewhere."""
    with tempfile.TemporaryDirectory() as folder:
        stop = threading.Event()

        def keep() -> None:
            store = Store(folder, "w", "UTC", "month", 900_000, 100_000)
            store.open_run(b"w", 0)
            number, chance, n = 0, Random(1), 0
            while not stop.is_set():
                number += 1
                raws = [Raw(n + i, 1, b"club", b"m", 9, 8, 7, chance.randbytes(16)) for i in range(1, 201)]
                n += 200
                with store.changing() as book:
                    book.take(Batch(number, raws, [r.n for r in raws], [], []), 1)
                stop.wait(0.01)
            store.close()

        worker: threading.Thread | multiprocessing.Process | None = None
        if where == "thread":
            worker = threading.Thread(target=keep)
        elif where == "process":
            worker = multiprocessing.Process(target=keep)
        if worker is not None:
            worker.start()
        late = []
        for _ in range(2000):
            began = time.perf_counter()
            time.sleep(0.001)
            late.append((time.perf_counter() - began) * 1000.0 - 1.0)
        stop.set()
        if isinstance(worker, multiprocessing.Process):
            worker.terminate()
        if worker is not None:
            worker.join()
        late.sort()
        return late[1000], late[1980]


def main() -> None:
    for where in ("nowhere", "thread", "process"):
        print("| {} | {:.2f} | {:.2f} |".format(where, *held_up(where)))
    print("| identity | window | tries merged with another | retries billed again |")
    for mark, window in (("field", 900), ("key", 900), ("key", 60), ("body", 900), ("body", 60)):
        merged, missed = weigh(window * 1000, mark)
        print(f"| {mark} | {window} s | {merged / USES:.2%} | {missed / USES:.2%} |")
    durable()


if __name__ == "__main__":
    main()
