"""Bounded cache of the entry numbers under which tenant and method names are registered."""

from __future__ import annotations

import sqlite3

MAX_CACHED_NAME_COUNT = 65_536

NameKey = tuple[bool, bytes]
"""(True, tenant name) or (False, method name)."""


class NameNumberCache(dict[NameKey, int]):
    """Maps names to the numbers of their `NameEntry`; looks up missing names in the table `names`."""

    def __init__(self, db: sqlite3.Connection) -> None:
        super().__init__()
        self._db = db

    def __missing__(self, key: NameKey) -> int:
        """Looks up a name in the table and caches the result.

        Raises:
            KeyError: The name is not in the table.
        """
        row = self._db.execute("SELECT number FROM names WHERE tenant = ? AND name = ?", key).fetchone()
        if row is None:
            raise KeyError(key)
        number = int(row[0])
        self[key] = number
        return number

    def __setitem__(self, key: NameKey, number: int) -> None:
        """Caches a number, without writing the table; empties the cache first if it is full."""
        if len(self) >= MAX_CACHED_NAME_COUNT:
            self.clear()
        super().__setitem__(key, number)
