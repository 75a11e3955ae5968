"""State machines that share one replicated log: each applies its own entries, one snapshot covers all.

An entry is a MessagePack array whose first field is the name of the command. For all state machines except
the first, this field is the state machine's name followed by "/".

Guarantee: a voter on which a feature is disabled keeps that feature's entries and snapshot for other voters.
Failure mode: it can't apply them, so they grow until a voter with the feature compacts them.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

NAME_SUFFIX = "/"  # follows a state machine's name in the first field of its entries


class StateMachine(Protocol):
    """A deterministic state machine: the same entries in the same order give the same state everywhere."""

    def apply(self, data: bytes) -> None:
        """Applies a committed entry."""

    def snapshot(self) -> bytes:
        """Returns the whole state, which `restore` accepts on any voter."""

    def restore(self, state: bytes) -> None:
        """Replaces the state with that of a snapshot."""


def encode_entry(name: str, *fields: object) -> bytes:
    """Encodes an entry for the state machine `name`; `fields` are the command and its arguments."""
    return msgspec.msgpack.encode([name + NAME_SUFFIX, *fields])


def _state_machine_name(data: bytes) -> str | None:
    """Returns the state machine that an entry names, or None if it is for the first state machine."""
    fields = msgspec.msgpack.decode(data) if data else []
    first_field = str(fields[0]) if fields else ""
    return first_field.removesuffix(NAME_SUFFIX) if first_field.endswith(NAME_SUFFIX) else None


class StateMachineRegistry:
    """All state machines of one voter. Entries without a state machine's name go to the first one registered.

    Entries and snapshots for a state machine that is not registered are kept unchanged.
    """

    def __init__(self) -> None:
        self._state_machines: dict[str, StateMachine] = {}
        self._unregistered_entries: dict[str, list[bytes]] = {}  # by name; they follow the kept snapshot
        self._unregistered_snapshots: dict[str, bytes] = {}

    def register(self, name: str, state_machine: StateMachine) -> None:
        """Registers a state machine and applies the snapshot and entries that were kept for it."""
        self._state_machines[name] = state_machine
        if name in self._unregistered_snapshots:
            state_machine.restore(self._unregistered_snapshots.pop(name))
        for data in self._unregistered_entries.pop(name, []):
            state_machine.apply(data)

    def apply(self, data: bytes) -> None:
        """Applies a committed entry to its state machine, or keeps it if that is not registered."""
        name = _state_machine_name(data)
        if name is None:
            next(iter(self._state_machines.values())).apply(data)
        elif name in self._state_machines:
            self._state_machines[name].apply(data)
        else:
            self._unregistered_entries.setdefault(name, []).append(data)

    def snapshot(self) -> bytes:
        """Returns a snapshot that maps each state machine's name to its state and the unapplied entries."""
        states: dict[str, tuple[bytes, list[bytes]]] = {
            name: (state_machine.snapshot(), []) for name, state_machine in self._state_machines.items()
        }
        for name in {*self._unregistered_snapshots, *self._unregistered_entries}:
            states[name] = (
                self._unregistered_snapshots.get(name, b""),
                self._unregistered_entries.get(name, []),
            )
        return msgspec.msgpack.encode(states)

    def restore(self, state: bytes) -> None:
        """Replaces the state of all state machines with that of a snapshot."""
        states = msgspec.msgpack.decode(state, type=dict[str, tuple[bytes, list[bytes]]])
        self._unregistered_snapshots = {}
        self._unregistered_entries = {}
        for name, (snapshot, entries) in states.items():
            if name in self._state_machines:
                self._restore_one(self._state_machines[name], snapshot, entries)
            else:
                self._unregistered_entries[name] = list(entries)
                if snapshot:
                    self._unregistered_snapshots[name] = snapshot

    @staticmethod
    def _restore_one(state_machine: StateMachine, snapshot: bytes, entries: list[bytes]) -> None:
        state_machine.restore(snapshot)
        for data in entries:
            state_machine.apply(data)
