"""Numbers of the entries that name tenants and methods: a bounded cache before the table."""

from __future__ import annotations

import sqlite3

MAX_CACHED_NAME_COUNT = 65_536

NameKey = tuple[bool, bytes]
"""Whether it is a tenant's, and the name."""


class NameNumberCache(dict[NameKey, int]):
    """Looks in the table for what is not in memory, which is bounded."""

    def __init__(self, db: sqlite3.Connection) -> None:
        super().__init__()
        self._db = db

    def __missing__(self, key: NameKey) -> int:
        """The number from the table.

        Raises:
            KeyError: No entry has this name.
        """
        row = self._db.execute("SELECT number FROM names WHERE tenant = ? AND name = ?", key).fetchone()
        if row is None:
            raise KeyError(key)
        number = int(row[0])
        self[key] = number
        return number

    def __setitem__(self, key: NameKey, number: int) -> None:
        """Remembers a number; the commit at hand writes it to the table."""
        if len(self) >= MAX_CACHED_NAME_COUNT:
            self.clear()
        super().__setitem__(key, number)
