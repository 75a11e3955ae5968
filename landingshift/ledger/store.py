"""The store: one SQLite file in WAL mode, every commit synced. Holds no accounting rule of its own.

Guarantee: a commit writes entries and index together or not at all, and it is durable when it returns.
Failure mode: a commit that fails raises, changes nothing, and the next one recovers the accounting state
from the file.
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
CACHE_SIZE = -8000  # KB, in the way SQLite counts
BACKUP_STEP_COUNT = 1000  # pages that are copied at a time, so that the server goes on meanwhile
_UNKNOWN_DATA_VERSION = -1


@contextmanager
def _closing_on_error(db: sqlite3.Connection, path: str) -> Iterator[None]:
    """Closes the file where it can't be used; SQLite's errors become `StoreUnavailableError`."""
    try:
        yield
    except sqlite3.Error as err:
        db.close()
        raise StoreUnavailableError(path, err) from err
    except Exception:
        db.close()
        raise


class UsageStore(StoreReader):
    """A store that is open for reading and writing.

    Attributes:
        path: The file.
        instance: Names this ledger among others.
        time_zone: Time zone of the billing periods.
        period_unit: Length of the billing periods.
        index: Writes the index over the entries.
        ledger: The accounting state as of the last commit that was seen.
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
        """Opens the store, which is made where there is none.

        Args:
            directory: Holds the file.
            instance: Names this ledger among others.
            time_zone: Time zone of the billing periods.
            period_unit: Length of the billing periods.
            dedup_window_ms: Within which a like RPC is a retry.
            max_identity_count: Identities that are remembered for that.

        Raises:
            StoreUnavailableError: The file can't be used.
            StoreMismatchError: It is another instance's, or was made with another time zone or unit.
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
            self._data_version = _UNKNOWN_DATA_VERSION  # the state of the file that `ledger` stands for
            self.ledger = recover_ledger(self, max_identity_count)

    @classmethod
    def from_settings(cls, settings: Settings) -> UsageStore:
        """Opens the store that the settings name."""
        return cls(
            settings.directory,
            settings.instance,
            settings.time_zone,
            settings.period_unit,
            settings.dedup_window_ms,
            settings.max_identity_count,
        )

    def __enter__(self) -> UsageStore:
        """Open already."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Closes the file."""
        self.close()

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    def writing(self) -> AbstractContextManager[None]:
        """One commit, all or nothing; another process's commit before it is seen."""
        return transaction(self.db, "ledger.commit", "ledger.committed")

    @contextmanager
    def changing(self) -> Iterator[UsageLedger]:
        """The accounting state for one commit; where the commit fails the state is recovered anew."""
        is_committed = False
        try:
            with self.writing():
                data_version = self.db.execute("PRAGMA data_version").fetchone()[0]
                if data_version != self._data_version:
                    self.ledger = recover_ledger(self, self.max_identity_count)
                    self._data_version = data_version
                yield self.ledger
                self._write(self.ledger.take_changes())
            is_committed = True
        finally:
            if not is_committed:
                self._data_version = _UNKNOWN_DATA_VERSION

    def start_run(self, run_id: bytes, now_ms: int) -> int:
        """A server run begins; for the same run, nothing changes.

        Returns:
            How much usage of an earlier run is disputed now.
        """
        with self.changing() as ledger:
            if self.meta(META_RUN_ID) == run_id:
                return 0
            self.set_meta(META_RUN_ID, run_id)
            return ledger.start_run(run_id, now_ms)

    def set_meta(self, key: str, value: object) -> None:
        """Sets a value of the table `meta`, within a commit."""
        self.db.execute(
            "INSERT INTO meta VALUES(?, ?) ON CONFLICT DO UPDATE SET value = excluded.value", (key, value)
        )

    def remember_exported(self, number: int) -> None:
        """Notes how far the receiver is, for `status` and `compact` alone: the receiver is the authority."""
        if self.meta(META_EXPORTED_NUMBER) != number:
            with self.writing():
                self.set_meta(META_EXPORTED_NUMBER, number)

    def insert_entries(self, rows: Iterable[EntryRow]) -> None:
        """Adds entries as they are, within a commit; the index does not follow by itself."""
        self.db.executemany("INSERT INTO entries VALUES(?, ?, ?, ?)", rows)

    def remove_settled_usage(self, last_number: int, retained_numbers: Iterable[int]) -> None:
        """Removes usage and settlements up to an entry but for those to retain, within a commit."""
        self.db.execute("CREATE TEMP TABLE IF NOT EXISTS spared(number INTEGER PRIMARY KEY)")
        self.db.execute("DELETE FROM spared")
        self.db.executemany("INSERT INTO spared VALUES(?)", [(number,) for number in retained_numbers])
        self.db.execute(
            "DELETE FROM entries WHERE number <= ? AND kind IN (?, ?) "
            "AND number NOT IN (SELECT number FROM spared)",
            (last_number, EntryKind.USAGE, EntryKind.SETTLEMENT),
        )

    def reclaim_space(self) -> None:
        """Gives the space of removed entries back to the disk."""
        self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self.db.execute("VACUUM")

    def backup(self, path: str) -> None:
        """Makes a complete copy while the server goes on."""
        copy = sqlite3.connect(path)
        try:
            self.db.backup(copy, pages=BACKUP_STEP_COUNT)
        finally:
            copy.close()

    def _prepare(self, db: sqlite3.Connection) -> None:
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute(f"PRAGMA cache_size = {CACHE_SIZE}")
        with transaction(db, "ledger.commit", "ledger.committed"):
            make_tables(db, SCHEMA)
            self._agree_on(db, META_VERSION, SCHEMA_VERSION)
            self._agree_on(db, META_INSTANCE, self.instance)
            self._agree_on(db, META_TIME_ZONE, self.time_zone)
            self._agree_on(db, META_PERIOD_UNIT, self.period_unit)

    def _agree_on(self, db: sqlite3.Connection, key: str, value: object) -> None:
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
