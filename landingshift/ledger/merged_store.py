"""The ledgers of many instances in one file: entries as they are, and the totals of all.

Guarantee: the totals follow from the set of merged entries alone, whatever the order, repetition or subset;
usage of one identity counts once a window, on whichever instances it was. Failure mode: entries that do not
follow their chain are refused as a whole.
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
    decode,
)
from landingshift.ledger.errors import (
    BrokenChainError,
    MissingEntryError,
    StoreMismatchError,
    StoreUnavailableError,
)
from landingshift.ledger.merge_rules import (
    EntryFit,
    UsageReference,
    branch_name,
    classify_entry,
    countable_usages,
)
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.periods import BillingCalendar, PeriodUnit
from landingshift.ledger.totals import TenantTotals, TotalsKey, UsageTotals
from landingshift.ledger.usage_ledger import correction_key

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
"""`lines` are branches; `head` and `hash` their newest entry, `until` the end of their last closed period."""


@dataclass(frozen=True, slots=True)
class BranchHead:
    """The newest entry of a branch."""

    number: int
    hash: bytes


@dataclass(slots=True)
class _BranchState:
    """A branch while entries are added to it."""

    name: str
    head_number: int
    closed_end_ms: int


class MergedStore:
    """A merged ledger that is open for reading and writing.

    Attributes:
        path: The file.
        dedup_window_ms: Within which usage of one identity counts once.
        calendar: The billing periods.
    """

    def __init__(self, path: str, time_zone: str, period_unit: PeriodUnit, dedup_window_ms: int) -> None:
        """Opens the file, which is made where there is none.

        Args:
            path: The file.
            time_zone: The instances' own.
            period_unit: The instances' own.
            dedup_window_ms: The instances' own.

        Raises:
            StoreUnavailableError: The file can't be used.
            StoreMismatchError: It was made with another time zone, unit or window.
        """
        self.path = path
        self.dedup_window_ms = dedup_window_ms
        self.db = connect(path)
        try:
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            with self._writing():
                make_tables(self.db, SCHEMA)
                self._agree_on("zone", time_zone)
                self._agree_on("unit", period_unit)
                self._agree_on("window", dedup_window_ms)
        except sqlite3.Error as err:
            raise StoreUnavailableError(path, err) from err
        self.calendar = BillingCalendar(time_zone, period_unit)

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    # Branches

    def heads(self) -> dict[str, BranchHead]:
        """The newest entry of each branch."""
        rows = self.db.execute("SELECT line, head, hash FROM lines")
        return {branch: BranchHead(number, entry_hash) for branch, number, entry_hash in rows}

    def head_number(self, branch: str) -> int:
        """The newest entry of a branch; 0 where there is no such branch."""
        head = self.heads().get(branch)
        return head.number if head else 0

    def current_branch(self, instance: str) -> str:
        """The branch that an instance went on last."""
        rows = self.db.execute(
            "SELECT line FROM lines WHERE instance = ? ORDER BY start DESC LIMIT 1", (instance,)
        )
        return next((branch for (branch,) in rows), instance)

    def hash_at(self, branch: str, number: int) -> bytes | None:
        """The chain's hash at an entry; None where the branch has it not."""
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
        """Whether an entry's hash follows from the one before it on a branch."""
        previous_hash = self.hash_at(branch, row.number - 1)
        return previous_hash is not None and chain_hash(previous_hash, row.kind, row.data) == row.hash

    def rows_after(self, branch: str, number: int, max_row_count: int) -> list[EntryRow]:
        """Entries of a branch after this one, in their order."""
        rows = self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE line = ? AND number > ? "
            "ORDER BY number LIMIT ?",
            (branch, number, max_row_count),
        )
        return [EntryRow._make(row) for row in rows]

    # Merging

    def add_entries(self, instance: str, rows: Iterable[EntryRow], branch: str = "") -> tuple[int, str]:
        """Adds entries of one instance, in their order: all or nothing; what is known changes nothing.

        Args:
            instance: Whose entries they are.
            rows: The entries.
            branch: The branch to begin with; the instance's first one by default.

        Returns:
            How many were new, and the branch that has them.

        Raises:
            BrokenChainError: An entry does not follow the one before it.
            MissingEntryError: An entry came without the one before it.
        """
        new_count = 0
        with self._writing():
            self._add_branch(instance, instance, 1, GENESIS_HASH, "")
            state = self._branch_state(branch or instance)
            for row in rows:
                state = self._matching_branch(instance, state, row)
                if row.number > state.head_number:
                    self._append(state, row)
                    new_count += 1
        return new_count, state.name

    def _matching_branch(self, instance: str, state: _BranchState, row: EntryRow) -> _BranchState:
        """The branch on which an entry is known, or next."""
        follows_chain = self.follows_chain(state.name, row)
        known_hash = self.hash_at(state.name, row.number)
        match classify_entry(row.number, row.hash, follows_chain, state.head_number, known_hash):
            case EntryFit.NEXT | EntryFit.KNOWN:
                return state
            case EntryFit.DIVERGED if follows_chain:
                return self._diverge(instance, state, row)
            case EntryFit.AHEAD:
                raise MissingEntryError(instance, state.head_number + 1, row.number)
            case _:
                raise BrokenChainError(instance, row.number)

    def _diverge(self, instance: str, state: _BranchState, row: EntryRow) -> _BranchState:
        """The branch that goes another way from this entry on, made where it is new."""
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

    # What follows from an entry

    def _apply(self, state: _BranchState, entry: Entry) -> None:
        match entry:
            case Settlement(counted=ranges) | Resolution(billed=ranges):
                for number in decode_ranges(ranges):
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
        """Looks at all usage of one identity again: an earlier one may have come from elsewhere."""
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
        """What counts, in the order of periods, tenants and methods; without totals of nothing."""
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

    def _writing(self) -> AbstractContextManager[None]:
        return transaction(self.db, "ledger.merge", "ledger.merged")

    def _agree_on(self, key: str, value: object) -> None:
        self.db.execute("INSERT OR IGNORE INTO meta VALUES(?, ?)", (key, value))
        stored = self.db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()[0]
        if stored != value:
            raise StoreMismatchError(self.path, key, stored, value)
