"""Writes the index tables, which are derived from the entries."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable

from landingshift.ledger.database import ADD_TOTALS
from landingshift.ledger.entries import Correction, NameEntry, PeriodClose
from landingshift.ledger.totals import Totals, sum_by_period

INDEX_TABLES = ("names", "totals", "sums", "disputed", "corrections", "closed")
ADD_PERIOD_SUM = """INSERT INTO sums VALUES(?, ?, ?, ?, ?) ON CONFLICT DO UPDATE
    SET uses = uses + excluded.uses,
    work = work + excluded.work, size_in = size_in + excluded.size_in,
    size_out = size_out + excluded.size_out"""


class IndexWriter:
    """Writes the index tables of one store. All methods must be called within a transaction."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def clear(self) -> None:
        """Empties all index tables; the baseline, which can't be derived from the entries, is kept."""
        for table in INDEX_TABLES:
            self._db.execute(f"DELETE FROM {table}")

    def add_totals(self, totals: Totals) -> None:
        """Adds usage to the totals per tenant and method and to the sums per period."""
        rows = [(*key.as_row(), *usage.as_row()) for key, usage in totals.items()]
        self._db.executemany(ADD_TOTALS, rows)
        sums = [(period, *usage.as_row()) for period, usage in sum_by_period(totals).items()]
        self._db.executemany(ADD_PERIOD_SUM, sums)

    def add_names(self, names: Iterable[tuple[int, NameEntry]]) -> None:
        """Adds names, each with the number of its entry."""
        rows = [(entry.is_tenant, entry.name, number) for number, entry in names]
        self._db.executemany("INSERT INTO names VALUES(?, ?, ?)", rows)

    def add_period_closes(self, period_closes: Iterable[tuple[int, PeriodClose]]) -> None:
        """Adds closed periods, each with the number of its entry."""
        rows = [(entry.period, number) for number, entry in period_closes]
        self._db.executemany("INSERT INTO closed VALUES(?, ?)", rows)

    def add_corrections(self, corrections: Iterable[tuple[int, Correction]]) -> None:
        """Adds corrections, each with the number of its entry."""
        rows = [(number, entry.period) for number, entry in corrections]
        self._db.executemany("INSERT INTO corrections VALUES(?, ?)", rows)

    def add_disputed(self, numbers: Iterable[int]) -> None:
        """Adds the numbers of usage entries that became disputed."""
        self._db.executemany("INSERT INTO disputed VALUES(?)", [(number,) for number in numbers])

    def remove_disputed(self, numbers: Iterable[int]) -> None:
        """Removes the numbers of usage entries whose dispute was resolved."""
        rows = [(number,) for number in numbers]
        self._db.executemany("DELETE FROM disputed WHERE number = ?", rows)

    def replace_baseline(self, totals: Totals) -> None:
        """Sets the baseline, which is the totals after the last entry of the compacted part."""
        self._db.execute("DELETE FROM baseline")
        rows = [(*key.as_row(), *usage.as_row()) for key, usage in totals.items()]
        self._db.executemany("INSERT INTO baseline VALUES(?, ?, ?, ?, ?, ?, ?, ?)", rows)
