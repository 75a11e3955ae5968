"""SQLite as the stores use it: explicit transactions, and the statement that adds up totals."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from landingshift import failpoints
from landingshift.ledger.errors import StoreUnavailableError

LOCK_TIMEOUT_MS = 10_000  # that a command waits for the server's commit, and the other way round
MAX_CACHED_STATEMENT_COUNT = 64
ADD_TOTALS = """INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""
"""Takes a `TotalsKey` and the row of a `UsageTotals`."""


def connect(path: str) -> sqlite3.Connection:
    """Opens a database, which is made where there is none.

    Raises:
        StoreUnavailableError: The file can't be used.
    """
    try:
        Path(path).parent.mkdir(parents=True, exist_ok=True, mode=0o700)
        db = sqlite3.connect(
            path,
            isolation_level=None,
            timeout=LOCK_TIMEOUT_MS / 1000.0,
            cached_statements=MAX_CACHED_STATEMENT_COUNT,
        )
        db.execute("SELECT count(*) FROM sqlite_master").fetchone()
    except (sqlite3.Error, OSError) as err:
        raise StoreUnavailableError(path, err) from err
    return db


def make_tables(db: sqlite3.Connection, schema: str) -> None:
    """Makes the tables that are not there; within a transaction."""
    for statement in schema.split(";"):
        db.execute(statement)


@contextmanager
def transaction(db: sqlite3.Connection, before_commit: str, after_commit: str) -> Iterator[None]:
    """All or nothing, durable at the end; another process's commit before it is seen.

    Args:
        db: The connection.
        before_commit: Name of the failpoint before the commit.
        after_commit: Name of the failpoint after it.
    """
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        failpoints.reach(before_commit)
        db.execute("COMMIT")
        failpoints.reach(after_commit)
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise
