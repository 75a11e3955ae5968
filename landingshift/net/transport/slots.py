"""A table that assigns unique numbers to its entries and reuses the slots of removed entries."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class Slots(Generic[T]):
    """A table that assigns a unique number to each entry, even if the entry reuses the slot of another.

    A number consists of the index of the slot and a generation, which counts how often the slot was emptied.
    """

    def __init__(self) -> None:
        self.items: list[T | None] = []
        self.generations: list[int] = []  # of each slot: how often it was emptied
        self.free_indexes: list[int] = []

    def put(self, item: T) -> int:
        """Adds an entry and returns the number assigned to it."""
        if self.free_indexes:
            index = self.free_indexes.pop()
        else:
            index = len(self.items)
            self.items.append(None)
            self.generations.append(0)
        self.items[index] = item
        return self.generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """Returns the entry with this number, or None if that entry was removed."""
        index = number & INDEX_MASK
        return self.items[index] if self.generations[index] == number >> INDEX_BITS else None

    def drop(self, number: int) -> None:
        """Removes the entry with this number, if it is still in the table."""
        if self.get(number) is not None:
            index = number & INDEX_MASK
            self.items[index] = None
            self.generations[index] += 1
            self.free_indexes.append(index)

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self.items) - len(self.free_indexes)

    def __iter__(self) -> Iterator[T]:
        """Iterates over a copy of the entries in slot order, so the table can be changed meanwhile."""
        return (item for item in list(self.items) if item is not None)
