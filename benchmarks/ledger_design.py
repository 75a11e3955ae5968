"""What the ledger's design note weighed: `python -m benchmarks.ledger_design`. Prints three tables.

- delay: how late a loop's timer comes while another thread or process stores uses.
- identity: of generated attempts and retries, how many each identity merges (lost) or misses (billed twice).
- durability: uses a second that a file takes in commits of 100, each synced.
"""

from __future__ import annotations

import multiprocessing
import os
import sqlite3
import tempfile
import threading
import time
import zlib
from dataclasses import dataclass
from random import Random

from landingshift.ledger.entries import Batch, Raw, encode, identity
from landingshift.ledger.recent import Recent
from landingshift.ledger.store import Store

ATTEMPT_COUNT = 20_000
ATTEMPTS_PER_SECOND = 200.0
SUBJECT_COUNT = 2000  # drawn with weight 1 / rank
SHARED_BODY_FRACTION = 0.3  # of attempts whose body is that of every other attempt about its subject
RETRY_FRACTION = 1.0 / 3.0  # of attempts that are retried within a minute
CHANGED_BODY_FRACTION = 0.02  # of retries whose client made the body anew
MIN_RETRY_DELAY_MS = 200.0
MAX_RETRY_DELAY_MS = 60_000.0
RECENT_BYTES = 1 << 30
COMMIT_SIZE = 100
STORED_USE_COUNT = 20_000
BACKGROUND_COMMIT_SIZE = 200
BACKGROUND_COMMIT_INTERVAL_SECONDS = 0.01
TIMER_COUNT = 2000
TIMER_MS = 1.0


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """One request of a client.

    Attributes:
        at_ms: When it came.
        number: Of the attempt; a retry has that of its attempt.
        key: Names its subject.
        body: Of the request.
    """

    at_ms: float
    number: int
    key: bytes
    body: bytes


def generate_attempts(rng: Random) -> list[Attempt]:
    """Returns attempts and their retries in the order of their time."""
    weights = [1.0 / rank for rank in range(1, SUBJECT_COUNT + 1)]
    subjects = rng.choices(range(SUBJECT_COUNT), weights, k=ATTEMPT_COUNT)
    attempts = []
    for number, subject in enumerate(subjects):
        at_ms = number * 1000.0 / ATTEMPTS_PER_SECOND
        own_part = b"" if rng.random() < SHARED_BODY_FRACTION else b" of %d" % number
        body = b"route %d%b" % (subject, own_part)
        key = b"%d" % subject
        attempts.append(Attempt(at_ms, number, key, body))
        if rng.random() < RETRY_FRACTION:
            retry_body = body + b" anew" if rng.random() < CHANGED_BODY_FRACTION else body
            retry_ms = at_ms + rng.uniform(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS)
            attempts.append(Attempt(retry_ms, number, key, retry_body))
    return sorted(attempts)


def count_identity_errors(window_ms: int, source: str) -> tuple[int, int]:
    """Returns attempts that were merged with another one, and retries that counted again.

    Args:
        window_ms: For how long a use is remembered.
        source: What the identity is made of: "field", "key" or "body".
    """
    recent = Recent(window_ms, RECENT_BYTES)
    counted_numbers: set[int] = set()
    merged_count = 0
    missed_count = 0
    for attempt in generate_attempts(Random(1)):
        values = {"field": b"%d" % attempt.number, "key": attempt.key, "body": attempt.body}
        use_identity = identity(b"t", b"m", source != "body", values[source])
        if recent.seen(use_identity, int(attempt.at_ms)):
            merged_count += attempt.number not in counted_numbers
        else:
            recent.add(use_identity, int(attempt.at_ms))
            missed_count += attempt.number in counted_numbers
        counted_numbers.add(attempt.number)
    return merged_count, missed_count


def measure_durability() -> None:
    """Prints how many uses a second SQLite and an append-only file take."""
    rng = Random(1)
    uses = [
        Raw(number, number, b"club", b"m", 90_000, 800, 2000, rng.randbytes(16))
        for number in range(STORED_USE_COUNT)
    ]
    commits = [uses[start : start + COMMIT_SIZE] for start in range(0, len(uses), COMMIT_SIZE)]
    with tempfile.TemporaryDirectory() as folder:
        seconds = _write_to_sqlite(f"{folder}/a.sqlite", commits)
        print(f"| SQLite, WAL, synced each commit | {len(uses) / seconds:,.0f} |")
        seconds = _write_to_log(f"{folder}/log", commits)
        print(f"| append log with CRC | {len(uses) / seconds:,.0f} |")


def _write_to_sqlite(path: str, commits: list[list[Raw]]) -> float:
    """Returns the seconds that it takes."""
    database = sqlite3.connect(path, isolation_level=None)
    database.execute("PRAGMA journal_mode = WAL")
    database.execute("PRAGMA synchronous = FULL")
    database.execute("CREATE TABLE entries(number INTEGER PRIMARY KEY, data BLOB)")
    began_seconds = time.perf_counter()
    for uses in commits:
        database.execute("BEGIN")
        database.executemany("INSERT INTO entries VALUES(?, ?)", [(use.n, encode(use)) for use in uses])
        database.execute("COMMIT")
    seconds = time.perf_counter() - began_seconds
    database.close()
    return seconds


def _write_to_log(path: str, commits: list[list[Raw]]) -> float:
    """Returns the seconds that it takes."""
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    began_seconds = time.perf_counter()
    for uses in commits:
        data = b"".join(map(encode, uses))
        os.write(descriptor, zlib.crc32(data).to_bytes(4, "big") + data)
        os.fdatasync(descriptor)
    seconds = time.perf_counter() - began_seconds
    os.close(descriptor)
    return seconds


def measure_timer_delay(writer_kind: str) -> tuple[float, float]:
    """Returns how late a loop's 1 ms timer comes, p50 and p99 in ms, while uses are stored elsewhere.

    Args:
        writer_kind: Where: "nowhere", in a "thread" or in a "process".
    """
    with tempfile.TemporaryDirectory() as folder:
        stop = threading.Event()
        writer: threading.Thread | multiprocessing.Process | None = None
        if writer_kind == "thread":
            writer = threading.Thread(target=_store_uses, args=(folder, stop))
        elif writer_kind == "process":
            writer = multiprocessing.Process(target=_store_uses, args=(folder, stop))
        if writer is not None:
            writer.start()
        delays_ms = sorted(_timer_delay_ms() for _ in range(TIMER_COUNT))
        stop.set()
        if isinstance(writer, multiprocessing.Process):
            writer.terminate()
        if writer is not None:
            writer.join()
        return delays_ms[TIMER_COUNT // 2], delays_ms[TIMER_COUNT * 99 // 100]


def _store_uses(folder: str, stop: threading.Event) -> None:
    """Commits uses to a store until it is stopped."""
    store = Store(folder, "w", "UTC", "month", 900_000, 100_000)
    store.open_run(b"w", 0)
    rng = Random(1)
    batch_number = 0
    last_use_number = 0
    while not stop.is_set():
        batch_number += 1
        uses = [
            Raw(last_use_number + index, 1, b"club", b"m", 9, 8, 7, rng.randbytes(16))
            for index in range(1, BACKGROUND_COMMIT_SIZE + 1)
        ]
        last_use_number += BACKGROUND_COMMIT_SIZE
        with store.changing() as book:
            book.take(Batch(batch_number, uses, [use.n for use in uses], [], []), 1)
        stop.wait(BACKGROUND_COMMIT_INTERVAL_SECONDS)
    store.close()


def _timer_delay_ms() -> float:
    began_seconds = time.perf_counter()
    time.sleep(TIMER_MS / 1000.0)
    return (time.perf_counter() - began_seconds) * 1000.0 - TIMER_MS


def main() -> None:
    """Prints the three tables."""
    for writer_kind in ("nowhere", "thread", "process"):
        print("| {} | {:.2f} | {:.2f} |".format(writer_kind, *measure_timer_delay(writer_kind)))
    print("| identity | window | tries merged with another | retries billed again |")
    for source, window_seconds in (("field", 900), ("key", 900), ("key", 60), ("body", 900), ("body", 60)):
        merged_count, missed_count = count_identity_errors(window_seconds * 1000, source)
        merged_fraction, missed_fraction = merged_count / ATTEMPT_COUNT, missed_count / ATTEMPT_COUNT
        print(f"| {source} | {window_seconds} s | {merged_fraction:.2%} | {missed_fraction:.2%} |")
    measure_durability()


if __name__ == "__main__":
    main()
