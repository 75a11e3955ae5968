"""What the voters agree on: who decides, which version is in force, and what became of each change. Pure.

Each voter applies the same commands in the same order and comes to the same book. A command that does not fit
any more when its turn comes (a switch after a new member came, a withdrawal after the switch) does nothing.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec
from msgspec import Struct

SHOWN = 256  # changes that are kept with all that was said
TEXTS = 32  # versions whose text is kept
IDS = 10_000  # changes of which it is known for ever whether they were taken
SAID = 300  # characters of a reason


class ChangeOutcome(Enum):
    PENDING = "open"
    COMMITTED = "taken"
    REJECTED = "refused"  # by a member, or at once
    WITHDRAWN = "withdrawn"  # by an operator, or in time


class Change(Struct, array_like=True):
    id: str
    policy: bytes
    who: str
    why: str
    at: float  # Unix ms of the leader that took it in
    end: ChangeOutcome = ChangeOutcome.PENDING
    version: int = 0  # that it became, where it was taken
    said: str = ""  # why not


class Kept(Struct, array_like=True):
    """The book as a snapshot."""

    members: dict[str, int]
    joins: int
    version: int
    texts: dict[int, bytes]
    open: str
    changes: list[Change]
    ids: dict[str, int]


class PolicyStateMachine:
    """`most`: members that may be counted."""

    def __init__(self, most: int = 2000) -> None:
        self.most = most
        self.members: dict[str, int] = {}  # who decides, and the run that was counted
        self.joins = 0  # how often that grew: a switch holds for those that its leader had asked
        self.version = 0  # in force; 0 is the settings of each start
        self.texts: dict[int, bytes] = {0: b""}
        self.pending_change_id = ""  # the change under way
        self.changes: dict[str, Change] = {}
        self.ids: dict[str, int] = {}  # each change that ended: its version, 0 where it was not taken

    def find_change(self, id: str) -> Change | None:
        """What became of it; one that is long past is told without its words."""
        change = self.changes.get(id)
        if change is None and id in self.ids:
            version = self.ids[id]
            change = Change(
                id, b"", "", "", 0.0, ChangeOutcome.COMMITTED if version else ChangeOutcome.WITHDRAWN, version
            )
        return change

    @property
    def full(self) -> bool:
        return len(self.ids) >= IDS

    # Commands

    def apply(self, data: bytes) -> None:
        if not data:
            return  # a leader's first entry
        match msgspec.msgpack.decode(data):
            case ["join", list(some)]:
                for name, run in some:
                    self.join(name, run)
            case ["gone", str(name), int(run)]:
                if self.members.get(name) == run:
                    del self.members[name]
            case ["propose", str(id), bytes(policy), str(who), str(why), at]:
                self.propose(Change(id, policy, who, why, float(at)))
            case ["switch", str(id), int(joins)]:
                if id == self.pending_change_id and joins == self.joins:
                    self.switch(self.changes[id])
            case ["end", str(id), str(end), str(said), at]:
                self.withdraw(id, ChangeOutcome(end), said, float(at))

    def join(self, name: str, run: int) -> None:
        if self.members.get(name) != run and (name in self.members or len(self.members) < self.most):
            self.members[name] = run  # its earlier run has ended: one name is one process at a time
            self.joins += 1

    def propose(self, change: Change) -> None:
        if change.id in self.changes or change.id in self.ids or self.full:
            return  # asked twice, done once
        self.changes[change.id] = change
        if self.pending_change_id:
            self.close(
                change, ChangeOutcome.REJECTED, f"another change is under way: {self.pending_change_id}"
            )
        elif change.policy == self.texts[self.version]:
            self.close(change, ChangeOutcome.REJECTED, f"it says what version {self.version} says")
        else:
            self.pending_change_id = change.id

    def switch(self, change: Change) -> None:
        self.version += 1
        self.texts[self.version] = change.policy
        if self.version > TEXTS:  # 0 is the start's, and costs nothing
            self.texts.pop(self.version - TEXTS, None)
        change.version, self.pending_change_id = self.version, ""
        self.close(change, ChangeOutcome.COMMITTED, "")

    def withdraw(self, id: str, end: ChangeOutcome, said: str, at: float) -> None:
        change = self.changes.get(id)
        if change is None and id not in self.ids and not self.full:
            change = self.changes[id] = Change(id, b"", "", "", at)  # whoever proposes it later is told so
        if change is not None and change.end is ChangeOutcome.PENDING:
            if self.pending_change_id == id:
                self.pending_change_id = ""
            self.close(change, end, said)

    def close(self, change: Change, end: ChangeOutcome, said: str) -> None:
        change.end, change.said = end, said[:SAID]
        self.ids[change.id] = change.version
        for id in [i for i, c in self.changes.items() if c.end is not ChangeOutcome.PENDING][:-SHOWN]:
            del self.changes[id]

    # Snapshots

    def snapshot(self) -> bytes:
        changes = list(self.changes.values())
        kept = Kept(
            self.members, self.joins, self.version, self.texts, self.pending_change_id, changes, self.ids
        )
        return msgspec.msgpack.encode(kept)

    def restore(self, state: bytes) -> None:
        kept = msgspec.msgpack.decode(state, type=Kept)
        self.members, self.joins, self.version = kept.members, kept.joins, kept.version
        self.texts, self.pending_change_id, self.ids = kept.texts, kept.open, kept.ids
        self.changes = {change.id: change for change in kept.changes}


def command(*words: Any) -> bytes:
    return msgspec.msgpack.encode(words)
