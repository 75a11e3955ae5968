"""Storage of the merged ledger: the entries of many instances and their common totals in one SQLite file.

Guarantee: the totals depend only on the set of merged entries, not on the order or repetition of merging.
Usage of one identity counts once per deduplication window, across all instances. Failure mode: `add_entries`
adds no entries at all if one of the given entries does not continue its hash chain.

A branch is one hash chain of an instance, see `merge_rules`. Its parent is the branch from which it diverged.
The entries before the divergence are stored only once, in the parent.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from contextlib import AbstractContextManager
from dataclasses import dataclass

from msgspec import structs

from landingshift.ledger.database import ADD_TOTALS, connect, make_tables, transaction
from landingshift.ledger.entries import (
    GENESIS_HASH,
    Correction,
    Entry,
    EntryRow,
    NameEntry,
    PeriodClose,
    Resolution,
    Settlement,
    UsageRecord,
    chain_hash,
    counted_ranges,
    decode,
)
from landingshift.ledger.errors import (
    BrokenChainError,
    MissingEntryError,
    StoreMismatchError,
    StoreUnavailableError,
)
from landingshift.ledger.merge_rules import (
    EntryRelation,
    UsageReference,
    branch_name,
    classify_entry,
    countable_usages,
)
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.periods import BillingCalendar, PeriodUnit
from landingshift.ledger.totals import TenantTotals, TotalsKey, UsageTotals
from landingshift.ledger.usage_ledger import correction_key

NO_LIMIT = 1 << 62
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS lines(line TEXT PRIMARY KEY, instance TEXT NOT NULL, start INTEGER NOT NULL,
    head INTEGER NOT NULL, hash BLOB NOT NULL, until INTEGER NOT NULL, parent TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS entries(line TEXT NOT NULL, number INTEGER NOT NULL, kind INTEGER NOT NULL,
    data BLOB NOT NULL, hash BLOB NOT NULL, PRIMARY KEY(line, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS names(id INTEGER PRIMARY KEY, name BLOB NOT NULL UNIQUE);
CREATE TABLE IF NOT EXISTS uses(identity BLOB NOT NULL, at INTEGER NOT NULL, line TEXT NOT NULL,
    number INTEGER NOT NULL, period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL, size_out INTEGER NOT NULL,
    counted INTEGER NOT NULL, PRIMARY KEY(identity, at, line, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS totals(period TEXT NOT NULL, belongs TEXT NOT NULL, tenant INTEGER NOT NULL,
    method INTEGER NOT NULL, uses INTEGER NOT NULL, work INTEGER NOT NULL, size_in INTEGER NOT NULL,
    size_out INTEGER NOT NULL, PRIMARY KEY(period, tenant, method, belongs)) WITHOUT ROWID;
"""
"""The table `lines` has one row per branch. `start` is the number of its first own entry, `head` and `hash`
are the number and hash of its newest entry, `until` is the end of its last closed period, and `parent` is the
name of its parent (empty if there is none)."""


@dataclass(frozen=True, slots=True)
class BranchHead:
    """The newest entry of a branch."""

    number: int
    hash: bytes


@dataclass(slots=True)
class _BranchState:
    """State of a branch while entries are added to it."""

    name: str
    head_number: int
    """Number of its newest entry."""
    closed_end_ms: int
    """End of its last closed period, Unix time."""


class MergedStore:
    """Reads and writes a merged ledger.

    Attributes:
        path: Path of the SQLite file.
        dedup_window_ms: Time within which usage of one identity counts once.
        db: Connection to the file.
        calendar: Billing periods.
    """

    def __init__(self, path: str, time_zone: str, period_unit: PeriodUnit, dedup_window_ms: int) -> None:
        """Opens the file; creates it if it does not exist.

        Args:
            path: Path of the SQLite file.
            time_zone: Time zone of the billing periods, the same as on the instances.
            period_unit: Length of the billing periods, the same as on the instances.
            dedup_window_ms: Time within which usage of one identity counts once.

        Raises:
            StoreUnavailableError: The file can't be opened or read.
            StoreMismatchError: The file was created with another time zone, period unit or window.
        """
        self.path = path
        self.dedup_window_ms = dedup_window_ms
        self.db = connect(path)
        try:
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            with self._transaction():
                make_tables(self.db, SCHEMA)
                self._set_or_check_meta("zone", time_zone)
                self._set_or_check_meta("unit", period_unit)
                self._set_or_check_meta("window", dedup_window_ms)
        except sqlite3.Error as err:
            raise StoreUnavailableError(path, err) from err
        self.calendar = BillingCalendar(time_zone, period_unit)

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    # Branches

    def heads(self) -> dict[str, BranchHead]:
        """Returns the newest entry of each branch, keyed by the name of the branch."""
        rows = self.db.execute("SELECT line, head, hash FROM lines")
        return {branch: BranchHead(number, entry_hash) for branch, number, entry_hash in rows}

    def head_number(self, branch: str) -> int:
        """Returns the number of a branch's newest entry; 0 if there is no such branch."""
        head = self.heads().get(branch)
        return head.number if head else 0

    def current_branch(self, instance: str) -> str:
        """Returns the name of the instance's branch that diverged at the highest entry number.

        The instance's first branch has the name of the instance; its name is returned if there is no other.
        """
        rows = self.db.execute(
            "SELECT line FROM lines WHERE instance = ? ORDER BY start DESC LIMIT 1", (instance,)
        )
        return next((branch for (branch,) in rows), instance)

    def hash_at(self, branch: str, number: int) -> bytes | None:
        """Returns the hash of an entry of a branch, including those in its parents.

        Returns:
            None if there is no such entry; `GENESIS_HASH` for number 0.
        """
        if number == 0:
            return GENESIS_HASH
        row = self.db.execute(
            "SELECT hash FROM entries WHERE line = ? AND number = ?", (branch, number)
        ).fetchone()
        if row is not None:
            return bytes(row[0])
        parent_row = self.db.execute("SELECT parent, start FROM lines WHERE line = ?", (branch,)).fetchone()
        if parent_row is None:
            return None
        parent, start = parent_row
        return self.hash_at(parent, number) if parent and number < start else None

    def follows_chain(self, branch: str, row: EntryRow) -> bool:
        """Returns whether an entry's hash matches its data and the hash of the branch's entry before it."""
        previous_hash = self.hash_at(branch, row.number - 1)
        return previous_hash is not None and chain_hash(previous_hash, row.kind, row.data) == row.hash

    def rows_after(
        self, branch: str, number: int, max_row_count: int, last: int = NO_LIMIT
    ) -> list[EntryRow]:
        """Returns at most `max_row_count` entries of a branch after entry `number`, in order.

        Entries that are stored in the branch's parents are included. If there are entries after `number`, at
        least one is returned.

        Args:
            branch: Name of the branch.
            number: Number of the entry before the first one to return.
            max_row_count: Maximum number of entries to return.
            last: Number of the last entry to return.
        """
        line = self.db.execute("SELECT parent, start FROM lines WHERE line = ?", (branch,)).fetchone()
        parent, start = line or ("", 1)
        if parent and number + 1 < start:
            return self.rows_after(parent, number, max_row_count, min(last, start - 1))
        rows = self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE line = ? AND number BETWEEN ? AND ? "
            "ORDER BY number LIMIT ?",
            (branch, number + 1, last, max_row_count),
        )
        return [EntryRow._make(row) for row in rows]

    # Merging

    def add_entries(self, instance: str, rows: Iterable[EntryRow], branch: str = "") -> tuple[int, str]:
        """Adds entries of one instance in a single transaction; ignores entries that are already merged.

        Args:
            instance: Name of the instance.
            rows: Entries in the order of their numbers.
            branch: Name of the branch that the first entry belongs to or diverges from; empty for the first
                branch of the instance.

        Returns:
            The number of new entries and the name of the branch that contains them.

        Raises:
            BrokenChainError: The hash of an entry does not match its data and its predecessor's hash.
            MissingEntryError: An entry was given without the entry before it.
        """
        new_count = 0
        with self._transaction():
            self._add_branch(instance, instance, 1, GENESIS_HASH, "")
            state = self._branch_state(branch or instance)
            for row in rows:
                state = self._matching_branch(instance, state, row)
                if row.number > state.head_number:
                    self._append(state, row)
                    new_count += 1
        return new_count, state.name

    def _matching_branch(self, instance: str, state: _BranchState, row: EntryRow) -> _BranchState:
        """Returns the branch of an entry: `state`, or the branch that diverges from it with this entry."""
        follows_chain = self.follows_chain(state.name, row)
        known_hash = self.hash_at(state.name, row.number)
        match classify_entry(row.number, row.hash, follows_chain, state.head_number, known_hash):
            case EntryRelation.NEXT | EntryRelation.KNOWN:
                return state
            case EntryRelation.DIVERGED if follows_chain:
                return self._diverge(instance, state, row)
            case EntryRelation.AHEAD:
                raise MissingEntryError(instance, state.head_number + 1, row.number)
            case _:
                raise BrokenChainError(instance, row.number)

    def _diverge(self, instance: str, state: _BranchState, row: EntryRow) -> _BranchState:
        """Returns the branch that diverges from `state` with this entry; adds it if it is new."""
        previous_hash = self.hash_at(state.name, row.number - 1)
        assert previous_hash is not None
        name = branch_name(instance, row.number, row.hash)
        self._add_branch(name, instance, row.number, previous_hash, state.name)
        return self._branch_state(name)

    def _branch_state(self, name: str) -> _BranchState:
        head_number, closed_end_ms = self.db.execute(
            "SELECT head, until FROM lines WHERE line = ?", (name,)
        ).fetchone()
        return _BranchState(name, head_number, closed_end_ms)

    def _add_branch(self, name: str, instance: str, start: int, previous_hash: bytes, parent: str) -> None:
        row = self.db.execute("SELECT until FROM lines WHERE line = ?", (parent,)).fetchone()
        closed_end_ms = row[0] if row else 0
        self.db.execute(
            "INSERT OR IGNORE INTO lines VALUES(?, ?, ?, ?, ?, ?, ?)",
            (name, instance, start, start - 1, previous_hash, closed_end_ms, parent),
        )

    def _append(self, state: _BranchState, row: EntryRow) -> None:
        self.db.execute("INSERT INTO entries VALUES(?, ?, ?, ?, ?)", (state.name, *row))
        self._apply(state, decode(row.kind, row.data))
        state.head_number = row.number
        self.db.execute(
            "UPDATE lines SET head = ?, hash = ?, until = ? WHERE line = ?",
            (row.number, row.hash, state.closed_end_ms, state.name),
        )

    # Totals

    def _apply(self, state: _BranchState, entry: Entry) -> None:
        match entry:
            case Settlement() | Resolution():
                for number in decode_ranges(counted_ranges(entry)):
                    self._add_usage(state, number)
            case Correction():
                key = structs.replace(
                    correction_key(entry),
                    tenant_number=self._name_id(state.name, entry.tenant_number),
                    method_number=self._name_id(state.name, entry.method_number),
                )
                self._add_totals(key, UsageTotals(entry.uses, entry.work_us))
            case PeriodClose():
                state.closed_end_ms = max(state.closed_end_ms, entry.end_ms)

    def _entry(self, branch: str, number: int) -> Entry:
        row = self.db.execute(
            "SELECT kind, data FROM entries WHERE line = ? AND number = ?", (branch, number)
        ).fetchone()
        if row is not None:
            return decode(*row)
        parent = self.db.execute("SELECT parent FROM lines WHERE line = ?", (branch,)).fetchone()[0]
        if not parent:
            raise StoreUnavailableError(branch, f"entry {number} is not there")
        return self._entry(parent, number)

    def _name_id(self, branch: str, number: int) -> int:
        entry = self._entry(branch, number)
        if not isinstance(entry, NameEntry):
            raise StoreUnavailableError(branch, f"entry {number} is no name")
        self.db.execute("INSERT OR IGNORE INTO names(name) VALUES(?)", (entry.name,))
        name_id: int = self.db.execute("SELECT id FROM names WHERE name = ?", (entry.name,)).fetchone()[0]
        return name_id

    def _add_usage(self, state: _BranchState, number: int) -> None:
        record = self._entry(state.name, number)
        if not isinstance(record, UsageRecord):
            raise StoreUnavailableError(state.name, f"entry {number} is no use")
        assigned = self.calendar.assign(record.at_ms, state.closed_end_ms)
        self.db.execute(
            "INSERT OR IGNORE INTO uses VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, 0)",
            (
                record.identity,
                record.at_ms,
                state.name,
                number,
                assigned.period,
                assigned.service_period,
                self._name_id(state.name, record.tenant_number),
                self._name_id(state.name, record.method_number),
                record.work_us,
                record.bytes_in,
                record.bytes_out,
            ),
        )
        self._recount(record.identity)

    def _recount(self, identity: bytes) -> None:
        """Decides again which usage of an identity counts, and updates the totals.

        Merging another instance can add earlier usage of the identity, which then counts instead of the usage
        counted so far.
        """
        rows = self.db.execute(
            "SELECT at, line, number, counted, period, belongs, tenant, method, work, size_in, "
            "size_out FROM uses WHERE identity = ?",
            (identity,),
        ).fetchall()
        countable = countable_usages([UsageReference(*row[:3]) for row in rows], self.dedup_window_ms)
        for at_ms, branch, number, was_counted, *key, work_us, bytes_in, bytes_out in rows:
            usage = UsageReference(at_ms, branch, number)
            is_counted = usage in countable
            if is_counted == bool(was_counted):
                continue
            totals = UsageTotals(1, work_us, bytes_in, bytes_out)
            self._add_totals(TotalsKey(*key), totals if is_counted else -totals)
            self.db.execute(
                "UPDATE uses SET counted = ? WHERE identity = ? AND at = ? AND line = ? AND number = ?",
                (is_counted, identity, *usage),
            )

    def _add_totals(self, key: TotalsKey, totals: UsageTotals) -> None:
        self.db.execute(ADD_TOTALS, (*key.as_row(), *totals.as_row()))

    def tenant_totals(self) -> list[TenantTotals]:
        """Returns all nonzero totals, ordered by period, tenant and method."""
        rows = self.db.execute(
            """SELECT period, belongs, t.name, m.name, uses, work, size_in, size_out FROM totals
               JOIN names t ON t.id = tenant JOIN names m ON m.id = method
               WHERE uses OR work OR size_in OR size_out
               ORDER BY period, t.name, m.name, belongs"""
        )
        return [
            TenantTotals(period, service_period, tenant, method, UsageTotals(*sums))
            for period, service_period, tenant, method, *sums in rows
        ]

    # The file

    def _transaction(self) -> AbstractContextManager[None]:
        return transaction(self.db, "ledger.merge", "ledger.merged")

    def _set_or_check_meta(self, key: str, value: object) -> None:
        self.db.execute("INSERT OR IGNORE INTO meta VALUES(?, ?)", (key, value))
        stored = self.db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()[0]
        if stored != value:
            raise StoreMismatchError(self.path, key, stored, value)
