"""What the ledger's design note weighed: `python -m benchmarks.ledger_design`. Prints tables.

- identity: of generated attempts and retries, how many each identity merges (lost) or misses (billed twice).
- delay: how late a loop's timer comes while usage is stored in a thread or a process beside it.
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
from dataclasses import dataclass
from random import Random

from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import attempt_identity, encode
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch

ATTEMPT_COUNT = 20_000
ATTEMPTS_PER_SECOND = 200.0
SUBJECT_COUNT = 2000  # drawn with weights 1 / rank
SAME_BODY_FRACTION = 0.3  # of attempts whose body is that of every other attempt about their subject
RETRIED_FRACTION = 1.0 / 3.0  # of attempts that are made again, which makes one in four a retry
CHANGED_BODY_FRACTION = 0.02  # of retries whose client made the body anew
RETRY_DELAY_MS = (200.0, 60_000.0)
WEIGHED_IDENTITIES = (("field", 900), ("key", 900), ("key", 60), ("body", 900), ("body", 60))  # window in s
UNBOUNDED_COUNT = 1 << 30

COMMIT_USAGE_COUNT = 100
STORED_USAGE_COUNT = 20_000
DELAY_BATCH_USAGE_COUNT = 200
DELAY_BATCH_INTERVAL_SECONDS = 0.01
TIMER_MS = 1.0
TIMER_COUNT = 2000


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """An RPC of the generated traffic."""

    at_ms: float
    number: int
    """The same for the retries of one attempt."""
    key: bytes
    body: bytes


def generate_traffic(rng: Random) -> list[Attempt]:
    """Attempts in their order; one in four is a retry within a minute."""
    weights = [1.0 / rank for rank in range(1, SUBJECT_COUNT + 1)]
    subjects = rng.choices(range(SUBJECT_COUNT), weights, k=ATTEMPT_COUNT)
    attempts = []
    for number, subject in enumerate(subjects):
        at_ms = number * 1000.0 / ATTEMPTS_PER_SECOND
        own_text = b"" if rng.random() < SAME_BODY_FRACTION else b" of %d" % number
        body = b"route %d%b" % (subject, own_text)
        key = b"%d" % subject
        attempts.append(Attempt(at_ms, number, key, body))
        if rng.random() < RETRIED_FRACTION:
            retry_body = body + b" anew" if rng.random() < CHANGED_BODY_FRACTION else body
            attempts.append(Attempt(at_ms + rng.uniform(*RETRY_DELAY_MS), number, key, retry_body))
    return sorted(attempts)


def weigh_identity(source: str, window_ms: int) -> tuple[int, int]:
    """Attempts that were merged with another one, and retries that counted.

    Args:
        source: What the identity is made from: "field", "key" or "body".
        window_ms: The deduplication window.
    """
    window = DedupWindow(window_ms, UNBOUNDED_COUNT)
    counted: set[int] = set()
    merged_count = 0
    missed_count = 0
    for attempt in generate_traffic(Random(1)):
        content = {"field": b"%d" % attempt.number, "key": attempt.key, "body": attempt.body}[source]
        identity = attempt_identity(b"t", b"m", source != "body", content)
        is_counted = attempt.number in counted
        if window.contains(identity, int(attempt.at_ms)):
            merged_count += not is_counted
        else:
            window.add(identity, int(attempt.at_ms))
            missed_count += is_counted
        counted.add(attempt.number)
    return merged_count, missed_count


def random_usage(sequence: int, rng: Random) -> ReportedUsage:
    """One use of one tenant."""
    return ReportedUsage(sequence, sequence, b"club", b"m", 90_000, 800, 2000, rng.randbytes(16))


def print_durable_rates() -> None:
    """Rows with uses a second of each way to keep them."""
    rng = Random(1)
    usages = [random_usage(sequence, rng) for sequence in range(STORED_USAGE_COUNT)]
    commits = [usages[i : i + COMMIT_USAGE_COUNT] for i in range(0, len(usages), COMMIT_USAGE_COUNT)]
    with tempfile.TemporaryDirectory() as directory:
        sqlite_seconds = _write_to_sqlite(directory + "/a.sqlite", commits)
        log_seconds = _write_to_log(directory + "/log", commits)
    print(f"| SQLite, WAL, synced each commit | {STORED_USAGE_COUNT / sqlite_seconds:,.0f} |")
    print(f"| append log with CRC | {STORED_USAGE_COUNT / log_seconds:,.0f} |")


def _write_to_sqlite(path: str, commits: list[list[ReportedUsage]]) -> float:
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("PRAGMA journal_mode = WAL")
    db.execute("PRAGMA synchronous = FULL")
    db.execute("CREATE TABLE entries(number INTEGER PRIMARY KEY, data BLOB)")
    began = time.perf_counter()
    for usages in commits:
        db.execute("BEGIN")
        rows = [(usage.sequence, encode(usage)) for usage in usages]
        db.executemany("INSERT INTO entries VALUES(?, ?)", rows)
        db.execute("COMMIT")
    took_seconds = time.perf_counter() - began
    db.close()
    return took_seconds


def _write_to_log(path: str, commits: list[list[ReportedUsage]]) -> float:
    fd = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    began = time.perf_counter()
    for usages in commits:
        data = b"".join(map(encode, usages))
        os.write(fd, zlib.crc32(data).to_bytes(4, "big") + data)
        os.fdatasync(fd)
    took_seconds = time.perf_counter() - began
    os.close(fd)
    return took_seconds


def store_until_stopped(directory: str, stop: threading.Event) -> None:
    """Commits 200 uses every 10 ms."""
    rng = Random(1)
    number = 0
    sequence = 0
    with UsageStore(directory, "w", "UTC", "month", 900_000, 100_000) as store:
        store.start_run(b"w", 0)
        while not stop.is_set():
            number += 1
            sequences = range(sequence + 1, sequence + 1 + DELAY_BATCH_USAGE_COUNT)
            usages = [ReportedUsage(n, 1, b"club", b"m", 9, 8, 7, rng.randbytes(16)) for n in sequences]
            sequence += DELAY_BATCH_USAGE_COUNT
            with store.ledger_transaction() as ledger:
                ledger.apply_batch(UsageBatch(number, usages, list(sequences), [], []), 1)
            stop.wait(DELAY_BATCH_INTERVAL_SECONDS)


def measure_timer_delay(place: str) -> tuple[float, float]:
    """How late a loop's 1 ms timer comes, p50 and p99 in ms.

    Args:
        place: Where usage is stored meanwhile: "thread", "process" or "nowhere".
    """
    with tempfile.TemporaryDirectory() as directory:
        stop = threading.Event()
        worker: threading.Thread | multiprocessing.Process | None = None
        if place == "thread":
            worker = threading.Thread(target=store_until_stopped, args=(directory, stop))
        elif place == "process":
            worker = multiprocessing.Process(target=_store_until_ended, args=(directory,))
        if worker is not None:
            worker.start()
        delays_ms = sorted(_timer_delay_ms() for _ in range(TIMER_COUNT))
        stop.set()
        if isinstance(worker, multiprocessing.Process):
            worker.terminate()
        if worker is not None:
            worker.join()
    return delays_ms[TIMER_COUNT // 2], delays_ms[TIMER_COUNT * 99 // 100]


def _store_until_ended(directory: str) -> None:
    store_until_stopped(directory, threading.Event())


def _timer_delay_ms() -> float:
    began = time.perf_counter()
    time.sleep(TIMER_MS / 1000.0)
    return (time.perf_counter() - began) * 1000.0 - TIMER_MS


def main() -> None:
    """Prints the tables."""
    for place in ("nowhere", "thread", "process"):
        median_ms, p99_ms = measure_timer_delay(place)
        print(f"| {place} | {median_ms:.2f} | {p99_ms:.2f} |")
    print("| identity | window | attempts merged with another | retries billed again |")
    for source, window_seconds in WEIGHED_IDENTITIES:
        merged_count, missed_count = weigh_identity(source, window_seconds * 1000)
        merged = f"{merged_count / ATTEMPT_COUNT:.2%}"
        print(f"| {source} | {window_seconds} s | {merged} | {missed_count / ATTEMPT_COUNT:.2%} |")
    print_durable_rates()


if __name__ == "__main__":
    main()
