"""The books that stand on one agreement: each takes its own entries, one snapshot holds them all. Pure.

An entry is a MessagePack array; one of a book other than the first begins with that book's name and "/".
"""

from __future__ import annotations

from typing import Protocol

import msgspec

MARK = "/"


class StateMachine(Protocol):
    def apply(self, data: bytes) -> None: ...
    def snapshot(self) -> bytes: ...
    def restore(self, state: bytes) -> None: ...


def encode_entry(name: str, *words: object) -> bytes:
    """Of the book `name`, for the agreement."""
    return msgspec.msgpack.encode([name + MARK, *words])


class StateMachineRegistry:
    """The first book that is added takes all that names no other. What is of a book that is not here is kept
    as it came, so that a voter on which a package is off still holds it for the others."""

    def __init__(self) -> None:
        self.books: dict[str, StateMachine] = {}
        self.strange: dict[str, list[bytes]] = {}  # entries of books that are not here
        self.states: dict[str, bytes] = {}  # and their last snapshots

    def register(self, name: str, book: StateMachine) -> None:
        """Late ones get what came before them."""
        self.books[name] = book
        if name in self.states:
            book.restore(self.states.pop(name))
        for data in self.strange.pop(name, []):
            book.apply(data)

    def apply(self, data: bytes) -> None:
        words = msgspec.msgpack.decode(data) if data else []
        name = str(words[0]) if words else ""
        if not name.endswith(MARK):
            next(iter(self.books.values())).apply(data)
            return
        name = name[: -len(MARK)]
        if name in self.books:
            self.books[name].apply(data)
        else:
            self.strange.setdefault(name, []).append(data)

    def snapshot(self) -> bytes:
        states: dict[str, tuple[bytes, list[bytes]]] = {
            n: (book.snapshot(), []) for n, book in self.books.items()
        }
        for name in {*self.states, *self.strange}:
            states[name] = self.states.get(name, b""), self.strange.get(name, [])
        return msgspec.msgpack.encode(states)

    def restore(self, state: bytes) -> None:
        states = msgspec.msgpack.decode(state, type=dict[str, tuple[bytes, list[bytes]]])
        self.states, self.strange = {}, {}
        for name, (had, since) in states.items():
            if name in self.books:
                self.books[name].restore(had)
                for data in since:
                    self.books[name].apply(data)
            else:
                self.strange[name] = list(since)
                if had:
                    self.states[name] = had
