"""The state machines on one replicated log: each applies its own entries, one snapshot holds them all.

An entry is a MessagePack array whose first field names the command; an entry of any but the first state
machine begins with that machine's name and "/".

Guarantee: a voter on which a feature is off still keeps that feature's entries and snapshot for the others.
Failure mode: it keeps them unapplied, so that they grow until a voter that has the feature compacts them.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

NAME_SUFFIX = "/"  # ends the name of a state machine at the start of its entries


class StateMachine(Protocol):
    """Deterministic: the same entries in the same order give the same state on every voter."""

    def apply(self, data: bytes) -> None:
        """Applies a committed entry."""

    def snapshot(self) -> bytes:
        """The whole state, for `restore` on any voter."""

    def restore(self, state: bytes) -> None:
        """Takes the state of a snapshot in place of its own."""


def encode_entry(name: str, *fields: object) -> bytes:
    """Entry for the state machine `name`: the command's name and its arguments."""
    return msgspec.msgpack.encode([name + NAME_SUFFIX, *fields])


def _state_machine_name(data: bytes) -> str | None:
    """Whose entry it is; None for one that names nobody, which is the first state machine's."""
    fields = msgspec.msgpack.decode(data) if data else []
    first_field = str(fields[0]) if fields else ""
    return first_field.removesuffix(NAME_SUFFIX) if first_field.endswith(NAME_SUFFIX) else None


class StateMachineRegistry:
    """All state machines of one voter. The first that is registered takes entries that name none.

    Entries and snapshots for a state machine that is not registered are kept as they came.
    """

    def __init__(self) -> None:
        self._state_machines: dict[str, StateMachine] = {}
        self._unclaimed_entries: dict[str, list[bytes]] = {}  # after the unclaimed snapshot of that name
        self._unclaimed_snapshots: dict[str, bytes] = {}

    def register(self, name: str, state_machine: StateMachine) -> None:
        """Adds a state machine; it gets at once what came for it before."""
        self._state_machines[name] = state_machine
        if name in self._unclaimed_snapshots:
            state_machine.restore(self._unclaimed_snapshots.pop(name))
        for data in self._unclaimed_entries.pop(name, []):
            state_machine.apply(data)

    def apply(self, data: bytes) -> None:
        """Applies a committed entry to the state machine that it names."""
        name = _state_machine_name(data)
        if name is None:
            next(iter(self._state_machines.values())).apply(data)
        elif name in self._state_machines:
            self._state_machines[name].apply(data)
        else:
            self._unclaimed_entries.setdefault(name, []).append(data)

    def snapshot(self) -> bytes:
        """One snapshot of all: by name the state, and the entries after it that nobody applied here."""
        states: dict[str, tuple[bytes, list[bytes]]] = {
            name: (state_machine.snapshot(), []) for name, state_machine in self._state_machines.items()
        }
        for name in {*self._unclaimed_snapshots, *self._unclaimed_entries}:
            states[name] = self._unclaimed_snapshots.get(name, b""), self._unclaimed_entries.get(name, [])
        return msgspec.msgpack.encode(states)

    def restore(self, state: bytes) -> None:
        """Takes a snapshot of all in place of what is there."""
        states = msgspec.msgpack.decode(state, type=dict[str, tuple[bytes, list[bytes]]])
        self._unclaimed_snapshots = {}
        self._unclaimed_entries = {}
        for name, (snapshot, entries) in states.items():
            if name in self._state_machines:
                self._restore_one(self._state_machines[name], snapshot, entries)
            else:
                self._unclaimed_entries[name] = list(entries)
                if snapshot:
                    self._unclaimed_snapshots[name] = snapshot

    @staticmethod
    def _restore_one(state_machine: StateMachine, snapshot: bytes, entries: list[bytes]) -> None:
        state_machine.restore(snapshot)
        for data in entries:
            state_machine.apply(data)
