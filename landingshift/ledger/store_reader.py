"""Read access to the tables of a store."""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Iterator

from landingshift.ledger.counted_usage_search import counted_near
from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import (
    Compaction,
    Correction,
    EntryKind,
    EntryRow,
    UsageRecord,
    decode,
    decode_period_close,
    decode_usage,
)
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.schema import META_COMPACTION_NUMBER, META_EXPORTED_NUMBER
from landingshift.ledger.totals import (
    ZERO_TOTALS,
    PeriodSummary,
    TenantTotals,
    Totals,
    TotalsKey,
    UsageTotals,
)

NO_LIMIT = 1 << 62
UNKNOWN_NAME = b"?"  # returned for a name that is missing in the index


class StoreReader:
    """Reads a store; other processes may write to it at the same time.

    Attributes:
        db: Connection to the SQLite file.
        calendar: Billing periods of the store.
        dedup_window_ms: Time within which only one RPC of the same identity is billed.
    """

    def __init__(self, db: sqlite3.Connection, calendar: BillingCalendar, dedup_window_ms: int) -> None:
        self.db = db
        self.calendar = calendar
        self.dedup_window_ms = dedup_window_ms

    def meta(self, key: str) -> object:
        """Returns a value of the table `meta`; None if the key is not set."""
        row = self.db.execute("SELECT value FROM meta WHERE key = ?", (key,)).fetchone()
        return row[0] if row else None

    def exported_number(self) -> int:
        """Returns the number of the last entry that the receiver acknowledged; 0 if there is none."""
        number = self.meta(META_EXPORTED_NUMBER)
        return number if isinstance(number, int) else 0

    # Entries

    def rows(self, first: int = 1, last: int = NO_LIMIT) -> Iterator[EntryRow]:
        """Yields the entries from `first` to `last`, both inclusive, in order."""
        cursor = self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE number BETWEEN ? AND ? ORDER BY number",
            (first, last),
        )
        return map(EntryRow._make, cursor)

    def row(self, number: int) -> EntryRow | None:
        """Returns the entry with this number; None if it does not exist or was compacted."""
        return next(self.rows(number, number), None)

    def row_before(self, number: int) -> EntryRow | None:
        """Returns the last stored entry before entry `number`; None if there is none."""
        row = self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE number < ? ORDER BY number DESC LIMIT 1",
            (number,),
        ).fetchone()
        return EntryRow._make(row) if row else None

    def first_missing_number(self, after: int) -> int | None:
        """Returns the number of the first entry after entry `after` that was compacted; None if all exist."""
        newest_number = self.newest_number()
        if after >= newest_number:
            return None
        if self.row(after + 1) is None:
            return after + 1
        last_of_run: int = self.db.execute(
            "SELECT number FROM entries AS e WHERE number > ? "
            "AND NOT EXISTS (SELECT 1 FROM entries WHERE number = e.number + 1) ORDER BY number LIMIT 1",
            (after,),
        ).fetchone()[0]
        return last_of_run + 1 if last_of_run < newest_number else None

    def newest_number(self) -> int:
        """Returns the number of the newest entry; 0 if there is none."""
        return self.db.execute("SELECT max(number) FROM entries").fetchone()[0] or 0

    def usage(self, number: int) -> UsageRecord | None:
        """Returns the usage entry with this number; None if there is none or it was compacted."""
        row = self.row(number)
        return decode_usage(row.data) if row is not None and row.kind == EntryKind.USAGE else None

    def usage_count(self, last: int) -> int:
        """Returns the number of stored usage entries up to entry `last`."""
        count: int = self.db.execute(
            "SELECT count(*) FROM entries WHERE number <= ? AND kind = ?", (last, EntryKind.USAGE)
        ).fetchone()[0]
        return count

    def usage_time_at(self, number: int) -> int | None:
        """Returns the Unix time of the last usage entry up to entry `number`; None if there is none."""
        row = self.db.execute(
            "SELECT data FROM entries WHERE number <= ? AND kind = ? ORDER BY number DESC LIMIT 1",
            (number, EntryKind.USAGE),
        ).fetchone()
        return decode_usage(row[0]).at_ms if row else None

    def newest_compaction(self) -> Compaction | None:
        """Returns the newest compaction that removed entries from this store; None if there is none."""
        row = self._newest_compaction_row()
        if row is None:
            return None
        entry = decode(row.kind, row.data)
        assert isinstance(entry, Compaction)
        return entry

    def newest_compaction_number(self) -> int:
        """Returns the number of the entry of `newest_compaction`; 0 if there is none."""
        row = self._newest_compaction_row()
        return row.number if row else 0

    def _newest_compaction_row(self) -> EntryRow | None:
        limit = self.meta(META_COMPACTION_NUMBER)
        row = self.db.execute(
            "SELECT number, kind, data, hash FROM entries WHERE kind = ? AND number <= ? "
            "ORDER BY number DESC LIMIT 1",
            (EntryKind.COMPACTION, limit if isinstance(limit, int) else NO_LIMIT),
        ).fetchone()
        return EntryRow._make(row) if row else None

    def period_close_ends(self, after: int = 0) -> list[tuple[int, int]]:
        """Returns the `PeriodClose` entries that follow entry `after`, in order.

        Returns:
            Pairs of the number of the entry and the end of the period that it closes, in Unix ms.
        """
        rows = self.db.execute(
            "SELECT c.number, e.data FROM closed c JOIN entries e USING(number) "
            "WHERE number > ? ORDER BY number",
            (after,),
        )
        return [(number, decode_period_close(data).end_ms) for number, data in rows]

    def corrections(self, period: str) -> Iterator[Correction]:
        """Yields the corrections that are billed in a period."""
        rows = self.db.execute(
            "SELECT e.data FROM corrections c JOIN entries e USING(number) WHERE period = ?", (period,)
        )
        for (data,) in rows:
            entry = decode(EntryKind.CORRECTION, data)
            assert isinstance(entry, Correction)
            yield entry

    def disputed(self) -> list[tuple[int, UsageRecord]]:
        """Returns the number and the record of each disputed usage entry, in the order of the numbers."""
        rows = self.db.execute(
            "SELECT d.number, e.data FROM disputed d JOIN entries e USING(number) ORDER BY number"
        )
        return [(number, decode_usage(data)) for number, data in rows]

    def disputed_numbers(self) -> set[int]:
        """Returns the numbers of the disputed usage entries."""
        return {number for (number,) in self.db.execute("SELECT number FROM disputed")}

    # Names

    def name_of(self, number: int) -> bytes:
        """Returns the tenant or method name registered by entry `number`; `UNKNOWN_NAME` if there is none."""
        row = self.db.execute("SELECT name FROM names WHERE number = ?", (number,)).fetchone()
        return row[0] if row else UNKNOWN_NAME

    def has_tenant(self, name: bytes) -> bool:
        """Returns whether a tenant of this name is registered in the ledger."""
        return (
            self.db.execute("SELECT 1 FROM names WHERE tenant = 1 AND name = ?", (name,)).fetchone()
            is not None
        )

    # Periods and totals

    def tenant_totals(self, period: str) -> list[TenantTotals]:
        """Returns the totals billed in a period, ordered by tenant and method."""
        rows = self.db.execute(
            """SELECT belongs, t.name, m.name, uses, work, size_in, size_out FROM totals
               JOIN names t ON t.number = totals.tenant AND t.tenant = 1
               JOIN names m ON m.number = totals.method AND m.tenant = 0
               WHERE period = ? ORDER BY t.name, m.name, belongs""",
            (period,),
        )
        return [
            TenantTotals(period, service_period, tenant, method, UsageTotals(*sums))
            for service_period, tenant, method, *sums in rows
        ]

    def period_totals(self, period: str) -> Totals:
        """Returns the totals billed in a period.

        Their keys contain the entry numbers under which tenant and method names are registered.
        """
        return self._totals("SELECT * FROM totals WHERE period = ?", (period,))

    def all_totals(self) -> Totals:
        """Returns the totals of all periods, with keys as in `period_totals`."""
        return self._totals("SELECT * FROM totals", ())

    def baseline(self) -> Totals:
        """Returns the totals after the last entry of the compacted part; empty if there was no compaction."""
        return self._totals("SELECT * FROM baseline", ())

    def _totals(self, statement: str, parameters: tuple[str, ...]) -> Totals:
        rows = self.db.execute(statement, parameters)
        return {
            TotalsKey(period, service_period, tenant, method): UsageTotals(*sums)
            for period, service_period, tenant, method, *sums in rows
        }

    def period_sum(self, period: str) -> UsageTotals:
        """Returns the totals billed in a period over all tenants and methods; zero if there are none."""
        row = self.db.execute(
            "SELECT uses, work, size_in, size_out FROM sums WHERE period = ?", (period,)
        ).fetchone()
        return UsageTotals(*row) if row else ZERO_TOTALS

    def period_sums(self) -> dict[str, UsageTotals]:
        """Returns the sum over all tenants and methods for each period, keyed and ordered by period name."""
        rows = self.db.execute("SELECT period, uses, work, size_in, size_out FROM sums")
        return {period: UsageTotals(*sums) for period, *sums in rows}

    def periods(self) -> list[PeriodSummary]:
        """Returns all periods that have totals, in chronological order."""
        closed = {name for (name,) in self.db.execute("SELECT period FROM closed")}
        summaries = [
            PeriodSummary(name, totals, name in closed) for name, totals in self.period_sums().items()
        ]
        return sorted(summaries, key=lambda summary: self.calendar.period_named(summary.name).start_ms)

    def is_closed(self, period: str) -> bool:
        """Returns whether a period is closed."""
        row = self.db.execute("SELECT 1 FROM closed WHERE period = ?", (period,)).fetchone()
        return row is not None

    def first_open_period(self) -> str | None:
        """Returns the name of the earliest open period that has totals; None if there is none."""
        return next((summary.name for summary in self.periods() if not summary.is_closed), None)

    # Deduplication of old usage

    def counted_near(self, records: Collection[UsageRecord]) -> DedupWindow:
        """Returns a window with the times at which the identities of the given records were counted.

        It covers at least one deduplication window before and after the time of each record, also where an
        entry of a much later time counted the usage.
        """
        return counted_near(self, records)
