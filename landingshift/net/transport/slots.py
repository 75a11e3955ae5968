"""Tables of numbered slots."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
BITS = 20


class Slots(Generic[T]):
    """A number names an entry for as long as it lives; a slot used again gets another number."""

    def __init__(self) -> None:
        self.items: list[T | None] = []
        self.lives: list[int] = []
        self.free: list[int] = []

    def put(self, item: T) -> int:
        if self.free:
            index = self.free.pop()
        else:
            index = len(self.items)
            self.items.append(None)
            self.lives.append(0)
        self.items[index] = item
        return self.lives[index] << BITS | index

    def get(self, number: int) -> T | None:
        index = number & (1 << BITS) - 1
        # Late news for the old holder of a slot must not reach the new one.
        return self.items[index] if self.lives[index] == number >> BITS else None

    def drop(self, number: int) -> None:
        if self.get(number) is not None:
            index = number & (1 << BITS) - 1
            self.items[index] = None
            self.lives[index] += 1
            self.free.append(index)

    def __len__(self) -> int:
        return len(self.items) - len(self.free)

    def __iter__(self) -> Iterator[T]:
        return (item for item in list(self.items) if item is not None)
