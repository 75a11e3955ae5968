"""Benchmarks of the alternatives in the ledger's design: `python -m benchmarks.ledger_design`. Prints tables.

- identity: for each way to identify retries, how many different attempts it merges and how many retries it
  counts again, in generated traffic. Merged attempts are not billed; retries counted again are billed twice.
- delay: how late a sleep of 1 ms returns while usage is stored in a thread or process of the same machine.
- durable: usage records per second that a file accepts in commits of 100, each synced to disk.
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
SAME_BODY_FRACTION = 0.3  # of attempts: body depends only on the subject
RETRIED_FRACTION = 1.0 / 3.0  # of attempts that are retried once, so one RPC in four is a retry
CHANGED_BODY_FRACTION = 0.02  # of retries: body differs from that of the first attempt
RETRY_DELAY_MS = (200.0, 60_000.0)
IDENTITY_CASES = (("field", 900), ("key", 900), ("key", 60), ("body", 900), ("body", 60))  # source, seconds
UNBOUNDED_COUNT = 1 << 30

COMMIT_USAGE_COUNT = 100
STORED_USAGE_COUNT = 20_000
DELAY_BATCH_USAGE_COUNT = 200
DELAY_BATCH_INTERVAL_SECONDS = 0.01
TIMER_MS = 1.0
TIMER_COUNT = 2000


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """An RPC of the generated traffic: a first attempt or a retry."""

    at_ms: float
    number: int
    """Number of the first attempt; a retry has the same number."""
    key: bytes
    body: bytes


def generate_traffic(rng: Random) -> list[Attempt]:
    """Returns generated RPCs in order of time. One in four is a retry, at most a minute after the first."""
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


def count_identity_errors(source: str, window_ms: int) -> tuple[int, int]:
    """Counts the errors of a way to identify retries in the generated traffic.

    Args:
        source: The part of an RPC from which its identity is derived: "field", "key" or "body".
        window_ms: The deduplication window.

    Returns:
        The number of first attempts that were taken for retries of another attempt, and the number of retries
        that were counted again.
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
    """Returns the usage record of an RPC; all records have the same tenant."""
    return ReportedUsage(sequence, sequence, b"club", b"m", 90_000, 800, 2000, rng.randbytes(16))


def print_durable_rates() -> None:
    """Prints the usage records per second that each storage method commits durably."""
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
    started_at = time.perf_counter()
    for usages in commits:
        db.execute("BEGIN")
        rows = [(usage.sequence, encode(usage)) for usage in usages]
        db.executemany("INSERT INTO entries VALUES(?, ?)", rows)
        db.execute("COMMIT")
    elapsed_seconds = time.perf_counter() - started_at
    db.close()
    return elapsed_seconds


def _write_to_log(path: str, commits: list[list[ReportedUsage]]) -> float:
    fd = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)
    started_at = time.perf_counter()
    for usages in commits:
        data = b"".join(map(encode, usages))
        os.write(fd, zlib.crc32(data).to_bytes(4, "big") + data)
        os.fdatasync(fd)
    elapsed_seconds = time.perf_counter() - started_at
    os.close(fd)
    return elapsed_seconds


def store_until_stopped(directory: str, stop: threading.Event) -> None:
    """Commits a batch of 200 usage records every 10 ms until `stop` is set."""
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
    """Measures how late a 1 ms sleep returns; returns the p50 and p99 of the delay in ms.

    Args:
        place: Where usage is stored during the measurement: "thread", "process" or "nowhere".
    """
    with tempfile.TemporaryDirectory() as directory:
        stop = threading.Event()
        worker: threading.Thread | multiprocessing.Process | None = None
        if place == "thread":
            worker = threading.Thread(target=store_until_stopped, args=(directory, stop))
        elif place == "process":
            worker = multiprocessing.Process(target=_store_until_terminated, args=(directory,))
        if worker is not None:
            worker.start()
        delays_ms = sorted(_timer_delay_ms() for _ in range(TIMER_COUNT))
        stop.set()
        if isinstance(worker, multiprocessing.Process):
            worker.terminate()
        if worker is not None:
            worker.join()
    return delays_ms[TIMER_COUNT // 2], delays_ms[TIMER_COUNT * 99 // 100]


def _store_until_terminated(directory: str) -> None:
    store_until_stopped(directory, threading.Event())


def _timer_delay_ms() -> float:
    started_at = time.perf_counter()
    time.sleep(TIMER_MS / 1000.0)
    return (time.perf_counter() - started_at) * 1000.0 - TIMER_MS


def main() -> None:
    """Runs the benchmarks and prints their results as table rows."""
    for place in ("nowhere", "thread", "process"):
        median_ms, p99_ms = measure_timer_delay(place)
        print(f"| {place} | {median_ms:.2f} | {p99_ms:.2f} |")
    print("| identity | window | attempts merged with another | retries billed again |")
    for source, window_seconds in IDENTITY_CASES:
        merged_count, missed_count = count_identity_errors(source, window_seconds * 1000)
        merged = f"{merged_count / ATTEMPT_COUNT:.2%}"
        print(f"| {source} | {window_seconds} s | {merged} | {missed_count / ATTEMPT_COUNT:.2%} |")
    print_durable_rates()


if __name__ == "__main__":
    main()
