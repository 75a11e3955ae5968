"""SQLite helpers shared by the stores: connections, transactions and the statement that updates totals."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from landingshift import failpoints
from landingshift.ledger.errors import StoreUnavailableError

LOCK_TIMEOUT_MS = 10_000  # wait for another process's transaction, such as the server's commit
MAX_CACHED_STATEMENT_COUNT = 64
ADD_TOTALS = """INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""
"""Adds usage to the totals; the parameters are `TotalsKey.as_row()` followed by `UsageTotals.as_row()`."""


def connect(path: str) -> sqlite3.Connection:
    """Opens a SQLite database; creates the file and its directory if they do not exist.

    Raises:
        StoreUnavailableError: The file can't be opened or is not a database.
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
    """Executes the statements of a schema, separated by semicolons; must be called within a transaction."""
    for statement in schema.split(";"):
        db.execute(statement)


@contextmanager
def transaction(db: sqlite3.Connection, before_commit: str, after_commit: str) -> Iterator[None]:
    """Runs its block as a write transaction: commits it durably, or rolls it back if the block raises.

    Args:
        db: Connection to the database.
        before_commit: Name of the failpoint reached before the commit.
        after_commit: Name of the failpoint reached after the commit.
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


@contextmanager
def read_snapshot(db: sqlite3.Connection) -> Iterator[None]:
    """Runs its block as a read transaction, whose statements see no commit made after its first one."""
    db.execute("BEGIN")
    try:
        yield
    finally:
        db.execute("ROLLBACK")
