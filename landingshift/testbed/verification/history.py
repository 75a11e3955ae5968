"""Format of histories: the events of a simulation or of real processes, on which invariants are checked.

A history is a list of tuples `(at_ms, kind, ...)`, ordered by time. Simulations record it, real processes
write it to a file line by line, and tests compare digests of histories between releases. The kinds and the
order of the values must therefore not change. This module defines one struct for each kind, whose fields have
the order of the tuple; `events_of` reads a history as structs.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, ClassVar

from msgspec import Struct

History = list[tuple[Any, ...]]


class HistoryEvent(Struct, frozen=True):
    """Base of all events.

    Attributes:
        at_ms: Virtual time in a simulation, monotonic time in a real process.
        kind: Kind of the event; equal to `KIND` of its struct.
    """

    KIND: ClassVar[str] = ""
    at_ms: float
    kind: str


class PolicyUsed(HistoryEvent, frozen=True):
    """A server started or rejected an RPC according to a version of the policy."""

    KIND: ClassVar[str] = "decided"
    server: str
    version: int
    policy: Any


class ChangeEnded(HistoryEvent, frozen=True):
    """A server reports the outcome of a policy change, and the policy version that belongs to the outcome."""

    KIND: ClassVar[str] = "end"
    server: str
    change_id: str
    outcome: str
    version: int


class RpcRead(HistoryEvent, frozen=True):
    """A server read an RPC, which it must answer by `due_ms`."""

    KIND: ClassVar[str] = "read"
    server: str
    number: int
    due_ms: float


class RpcAnswered(HistoryEvent, frozen=True):
    """A server answered an RPC."""

    KIND: ClassVar[str] = "answer"
    server: str
    number: int
    answer: str


class RunStarted(HistoryEvent, frozen=True):
    """A server told its engine to run an RPC."""

    KIND: ClassVar[str] = "run"
    server: str
    number: int


class RpcRefused(HistoryEvent, frozen=True):
    """A gateway sent an RPC to a server that was down, which proves that the RPC did not run."""

    KIND: ClassVar[str] = "refused"
    server: str


class LeaseHeld(HistoryEvent, frozen=True):
    """A server reports its lease from a grantor.

    Attributes:
        calls_per_second: Leased rate of database calls.
        calls_expire_at_ms: Time at which the lease of calls expires.
        permits: Leased number of start permits.
        permits_expire_at_ms: Time at which the lease of start permits expires.
    """

    KIND: ClassVar[str] = "loan"
    server: str
    grantor: str
    calls_per_second: float
    calls_expire_at_ms: float
    permits: float
    permits_expire_at_ms: float


class LeaseLimits(HistoryEvent, frozen=True):
    """The total amounts that all grantors together can lease to servers."""

    KIND: ClassVar[str] = "bounds"
    calls_per_second: float
    permits: float


class PermitUsed(HistoryEvent, frozen=True):
    """A server uses a maintenance permit to begin its drain.

    Attributes:
        permit: Number of the permit that the server uses.
        permit_in_force: Number of the permit that the leader's state has for this server; 0 if unknown.
    """

    KIND: ClassVar[str] = "left"
    server: str
    permit: int
    permit_in_force: int


class DeclaredDead(HistoryEvent, frozen=True):
    """A server declares another member dead."""

    KIND: ClassVar[str] = "buried"
    server: str
    member: str


class MemberSeen(HistoryEvent, frozen=True):
    """A server's view of another member changes to present or absent."""

    KIND: ClassVar[str] = "sees"
    server: str
    member: str
    is_present: bool


class ServerPaused(HistoryEvent, frozen=True):
    """The process of a server is paused until `until_ms`."""

    KIND: ClassVar[str] = "still"
    server: str
    until_ms: float


class ServerStarted(HistoryEvent, frozen=True):
    """The process of a server starts."""

    KIND: ClassVar[str] = "starts"
    server: str


class ServerKilled(HistoryEvent, frozen=True):
    """The process of a server is killed."""

    KIND: ClassVar[str] = "killed"
    server: str


class DrainStarted(HistoryEvent, frozen=True):
    """A server begins to drain."""

    KIND: ClassVar[str] = "drains"
    server: str


class ServerEnded(HistoryEvent, frozen=True):
    """The process of a server exits after its drain."""

    KIND: ClassVar[str] = "ended"
    server: str


class FaultBegan(HistoryEvent, frozen=True):
    """A fault of the scenario begins, or an operator's command is given.

    Attributes:
        fault: Kind of the fault or command.
        place: Index of the fault in the scenario.
        targets: Numbers of the servers that it affects.
        duration_ms: How long the fault lasts; 0 if it has no duration, as a command.
        amount: Strength of the fault, in the unit of its kind.
    """

    KIND: ClassVar[str] = "begins"
    fault: str
    place: int
    targets: tuple[int, ...]
    duration_ms: float
    amount: float = 0.0


class FaultEnded(HistoryEvent, frozen=True):
    """A fault with a duration ends."""

    KIND: ClassVar[str] = "over"
    fault: str
    place: int


class CapacitySampled(HistoryEvent, frozen=True):
    """A sample of capacity and demand, in RPCs per second.

    Attributes:
        warm_capacity: Capacity of all servers that are not draining; a server that warms up counts in part.
        demand: Rate of RPCs that clients want to send.
        servers: Names of the servers that are running and not draining.
    """

    KIND: ClassVar[str] = "capacity"
    warm_capacity: float
    demand: float
    servers: list[str]


class ServerCapacity(HistoryEvent, frozen=True):
    """The capacity of one warm server, in RPCs per second."""

    KIND: ClassVar[str] = "each"
    rpcs_per_second: float


class TableSampled(HistoryEvent, frozen=True):
    """A sample of the size of a server's table whose size must stay bounded."""

    KIND: ClassVar[str] = "size"
    server: str
    table: str
    size: int


class MaintenanceRequested(HistoryEvent, frozen=True):
    """The leader received an operator's request for the maintenance of some servers."""

    KIND: ClassVar[str] = "wished"
    servers: tuple[str, ...]


class FaultsEnded(HistoryEvent, frozen=True):
    """All faults of the scenario have ended, and the cluster has a limited time to recover."""

    KIND: ClassVar[str] = "quiet"


class NotQuiescent(HistoryEvent, frozen=True):
    """A reason why the cluster had not recovered in time after the faults had ended."""

    KIND: ClassVar[str] = "restless"
    reason: str


class SettlingEnded(HistoryEvent, frozen=True):
    """The time for recovery after the faults is over, and the history ends.

    Attributes:
        since_ms: Time at which the faults had ended.
    """

    KIND: ClassVar[str] = "rests"
    since_ms: float


def events_of(history: History, *event_types: type[HistoryEvent]) -> Iterator[HistoryEvent]:
    """Yields the events of the given types from a history, as structs, ordered by time."""
    type_by_kind = {event_type.KIND: event_type for event_type in event_types}
    for entry in history:
        event_type = type_by_kind.get(entry[1])
        if event_type is not None:
            yield event_type(*entry)
