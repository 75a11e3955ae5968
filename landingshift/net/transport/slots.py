"""Tables of numbered slots."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class Slots(Generic[T]):
    """A number names an entry for as long as it is in the table; a slot used again gets another number."""

    def __init__(self) -> None:
        self.items: list[T | None] = []
        self.generations: list[int] = []  # of each slot: how often it was emptied
        self.free: list[int] = []

    def put(self, item: T) -> int:
        """Takes in an entry; returns its number."""
        if self.free:
            index = self.free.pop()
        else:
            index = len(self.items)
            self.items.append(None)
            self.generations.append(0)
        self.items[index] = item
        return self.generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """The entry of this number; late news for the old holder of a slot must not reach the new one."""
        index = number & INDEX_MASK
        return self.items[index] if self.generations[index] == number >> INDEX_BITS else None

    def drop(self, number: int) -> None:
        """Empties the slot of this number, if its entry is still there."""
        if self.get(number) is not None:
            index = number & INDEX_MASK
            self.items[index] = None
            self.generations[index] += 1
            self.free.append(index)

    def __len__(self) -> int:
        """Entries in the table."""
        return len(self.items) - len(self.free)

    def __iter__(self) -> Iterator[T]:
        """The entries, in the order of their slots; the table may change meanwhile."""
        return (item for item in list(self.items) if item is not None)
