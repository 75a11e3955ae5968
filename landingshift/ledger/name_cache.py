"""Numbers of the entries that name tenants and methods: a bounded cache before the table."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator, MutableMapping

MAX_CACHED_NAME_COUNT = 65_536

NameKey = tuple[bool, bytes]
"""Whether it is a tenant's, and the name."""


class NameNumberCache(MutableMapping[NameKey, int]):
    """The table `names` as a mapping; bounded, since a hundred thousand tenants must not stay in memory."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db
        self._numbers: dict[NameKey, int] = {}

    def __getitem__(self, key: NameKey) -> int:
        """The number from memory, else from the table."""
        number = self._numbers.get(key)
        if number is None:
            row = self._db.execute("SELECT number FROM names WHERE tenant = ? AND name = ?", key).fetchone()
            if row is None:
                raise KeyError(key)
            number = int(row[0])
            self[key] = number
        return number

    def __setitem__(self, key: NameKey, number: int) -> None:
        """Remembers a number; the commit at hand writes it to the table."""
        if len(self._numbers) >= MAX_CACHED_NAME_COUNT:
            self._numbers.clear()
        self._numbers[key] = number

    def __delitem__(self, key: NameKey) -> None:
        """Forgets a number; the table keeps it."""
        del self._numbers[key]

    def __iter__(self) -> Iterator[NameKey]:
        """The names in memory."""
        return iter(self._numbers)

    def __len__(self) -> int:
        """How many names are in memory."""
        return len(self._numbers)
