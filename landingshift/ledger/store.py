"""Storage of one ledger in a SQLite file; the accounting rules are in `usage_ledger`.

Guarantee: a commit writes the entries and their index atomically and is durable (WAL mode, synced) when it
returns. Failure mode: a failed commit raises and changes nothing in the file; the next commit first recovers
the accounting state from the file.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager
from types import TracebackType

from landingshift import failpoints
from landingshift.ledger.database import connect, make_tables, transaction
from landingshift.ledger.entries import EntryKind, EntryRow
from landingshift.ledger.errors import StoreMismatchError, StoreUnavailableError
from landingshift.ledger.index_writer import IndexWriter
from landingshift.ledger.periods import BillingCalendar, PeriodUnit
from landingshift.ledger.recovery import recover_ledger
from landingshift.ledger.schema import (
    META_EXPORTED_NUMBER,
    META_FIRST_PENDING,
    META_INSTANCE,
    META_LAST_BATCH,
    META_LAST_NUMBER,
    META_PERIOD_UNIT,
    META_RUN_ID,
    META_TIME_ZONE,
    META_VERSION,
    SCHEMA,
    SCHEMA_VERSION,
)
from landingshift.ledger.settings import Settings
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.usage_ledger import CommitChanges, UsageLedger

STORE_FILE = "ledger.sqlite"
CACHE_SIZE = -8000  # a negative value is in KiB for SQLite
BACKUP_PAGES_PER_STEP = 1000  # the server can commit between two steps
_UNKNOWN_DATA_VERSION = -1


@contextmanager
def _closing_on_error(db: sqlite3.Connection, path: str) -> Iterator[None]:
    """Closes the connection if the block fails, and raises SQLite's errors as `StoreUnavailableError`."""
    try:
        yield
    except sqlite3.Error as err:
        db.close()
        raise StoreUnavailableError(path, err) from err
    except Exception:
        db.close()
        raise


class UsageStore(StoreReader):
    """Reads and writes the SQLite file (the store) that holds one ledger.

    Attributes:
        path: Path of the SQLite file.
        instance: Unique name of the server whose usage the ledger records.
        time_zone: Time zone of the billing periods.
        period_unit: Length of the billing periods.
        max_identity_count: Maximum number of identities in the deduplication window.
        index: Writer of the index tables.
        ledger: Accounting state after the last commit that this object recovered or made.
    """

    def __init__(
        self,
        directory: str,
        instance: str,
        time_zone: str,
        period_unit: PeriodUnit,
        dedup_window_ms: int,
        max_identity_count: int,
    ) -> None:
        """Opens the store and recovers its accounting state; creates the file if it does not exist.

        Args:
            directory: Directory of the SQLite file.
            instance: Unique name of the server whose usage the ledger records.
            time_zone: Time zone of the billing periods.
            period_unit: Length of the billing periods.
            dedup_window_ms: Time within which only one RPC of the same identity is billed.
            max_identity_count: Maximum number of identities in the deduplication window.

        Raises:
            StoreUnavailableError: The file can't be opened or read.
            StoreMismatchError: The file was created for another instance, time zone or period unit.
        """
        self.path = os.path.join(directory, STORE_FILE)
        self.instance = instance
        self.time_zone = time_zone
        self.period_unit = period_unit
        self.max_identity_count = max_identity_count
        db = connect(self.path)
        with _closing_on_error(db, self.path):
            self._prepare(db)
            super().__init__(db, BillingCalendar(time_zone, period_unit), dedup_window_ms)
            self.index = IndexWriter(db)
            self._data_version = _UNKNOWN_DATA_VERSION  # PRAGMA data_version for which `ledger` is current
            self.ledger = recover_ledger(self, max_identity_count)

    @classmethod
    def from_settings(cls, settings: Settings) -> UsageStore:
        """Opens the store with the values of the settings."""
        return cls(
            settings.directory,
            settings.instance,
            settings.time_zone,
            settings.period_unit,
            settings.dedup_window_ms,
            settings.max_identity_count,
        )

    def __enter__(self) -> UsageStore:
        """Returns this store, which is already open."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Closes the file."""
        self.close()

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    def transaction(self) -> AbstractContextManager[None]:
        """Returns a context manager that runs its block as one atomic, durable transaction.

        The block sees the commits that other processes made before the transaction began.
        """
        return transaction(self.db, "ledger.commit", "ledger.committed")

    @contextmanager
    def ledger_transaction(self) -> Iterator[UsageLedger]:
        """Runs its block as one transaction and commits the changes that the block makes to the ledger.

        Yields:
            The accounting state after the last commit of any process. If the transaction fails, the next call
            recovers the state from the file.
        """
        is_committed = False
        try:
            with self.transaction():
                data_version = self.db.execute("PRAGMA data_version").fetchone()[0]
                if data_version != self._data_version:
                    self.ledger = recover_ledger(self, self.max_identity_count)
                    self._data_version = data_version
                yield self.ledger
                self._write(self.ledger.pop_changes())
            is_committed = True
        finally:
            if not is_committed:
                self._data_version = _UNKNOWN_DATA_VERSION

    def start_run(self, run_id: bytes, now_ms: int) -> int:
        """Records the start of a server process and disputes the usage that earlier processes left pending.

        A second call with the same `run_id` changes nothing, so a restarted store process keeps the usage of
        its server pending.

        Returns:
            The number of usage entries that became disputed.
        """
        with self.ledger_transaction() as ledger:
            if self.meta(META_RUN_ID) == run_id:
                return 0
            self.set_meta(META_RUN_ID, run_id)
            return ledger.start_run(run_id, now_ms)

    def set_meta(self, key: str, value: object) -> None:
        """Sets a value of the table `meta`; must be called within a transaction."""
        self.db.execute(
            "INSERT INTO meta VALUES(?, ?) ON CONFLICT DO UPDATE SET value = excluded.value", (key, value)
        )

    def set_exported_number(self, number: int) -> None:
        """Stores the number of the last entry that the receiver acknowledged.

        Only `ledger status` and `ledger compact` read it; the export always continues from the cursor that
        the receiver reports.
        """
        if self.meta(META_EXPORTED_NUMBER) != number:
            with self.transaction():
                self.set_meta(META_EXPORTED_NUMBER, number)

    def insert_entries(self, rows: Iterable[EntryRow]) -> None:
        """Inserts entries without updating the index; must be called within a transaction."""
        self.db.executemany("INSERT INTO entries VALUES(?, ?, ?, ?)", rows)

    def remove_settled_usage(self, last_number: int, retained_numbers: Iterable[int]) -> None:
        """Removes usage and settlement entries up to `last_number`, except those in `retained_numbers`.

        Must be called within a transaction.
        """
        self.db.execute("CREATE TEMP TABLE IF NOT EXISTS spared(number INTEGER PRIMARY KEY)")
        self.db.execute("DELETE FROM spared")
        self.db.executemany("INSERT INTO spared VALUES(?)", [(number,) for number in retained_numbers])
        self.db.execute(
            "DELETE FROM entries WHERE number <= ? AND kind IN (?, ?) "
            "AND number NOT IN (SELECT number FROM spared)",
            (last_number, EntryKind.USAGE, EntryKind.SETTLEMENT),
        )

    def reclaim_space(self) -> None:
        """Returns the disk space of removed entries to the file system."""
        self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self.db.execute("VACUUM")

    def backup(self, path: str) -> None:
        """Writes a consistent copy of the store to `path`; a server may keep writing meanwhile."""
        copy = sqlite3.connect(path)
        try:
            self.db.backup(copy, pages=BACKUP_PAGES_PER_STEP)
        finally:
            copy.close()

    def _prepare(self, db: sqlite3.Connection) -> None:
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute(f"PRAGMA cache_size = {CACHE_SIZE}")
        with transaction(db, "ledger.commit", "ledger.committed"):
            make_tables(db, SCHEMA)
            self._set_or_check_meta(db, META_VERSION, SCHEMA_VERSION)
            self._set_or_check_meta(db, META_INSTANCE, self.instance)
            self._set_or_check_meta(db, META_TIME_ZONE, self.time_zone)
            self._set_or_check_meta(db, META_PERIOD_UNIT, self.period_unit)

    def _set_or_check_meta(self, db: sqlite3.Connection, key: str, value: object) -> None:
        row = db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()
        stored = row[0] if row else None
        if stored is None:
            db.execute("INSERT INTO meta VALUES(?, ?)", (key, value))
        elif stored != value:
            raise StoreMismatchError(self.path, key, stored, value)

    def _write(self, changes: CommitChanges) -> None:
        failpoints.reach("ledger.append")
        self.insert_entries(changes.entries)
        failpoints.reach("ledger.appended")
        self._write_index(changes)
        self.set_meta(META_FIRST_PENDING, self.ledger.first_pending_number())
        self.set_meta(META_LAST_BATCH, self.ledger.last_batch_number)
        self.set_meta(META_LAST_NUMBER, self.ledger.last_number)
        failpoints.reach("ledger.indexed")

    def _write_index(self, changes: CommitChanges) -> None:
        self.index.add_names(changes.names)
        self.index.add_totals(changes.totals)
        self.index.add_disputed(changes.disputed)
        self.index.remove_disputed(changes.resolved)
        self.index.add_period_closes(changes.period_closes)
        self.index.add_corrections(changes.corrections)
