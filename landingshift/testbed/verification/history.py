"""The history of a run: what happened, as the invariants read it.

A history is a list of tuples in the order of time, `(at_ms, kind, ...)`. Simulations write it, real processes
print it line by line, and its digests are compared from release to release: the kinds and the order of the
values are a format. It is described here alone, by one struct for each kind; `events_of` reads a history.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, ClassVar

from msgspec import Struct

History = list[tuple[Any, ...]]


class HistoryEvent(Struct, frozen=True):
    """What all entries have.

    Attributes:
        at_ms: Virtual or monotonic time.
        kind: The word by which the entry is told from others.
    """

    KIND: ClassVar[str] = ""
    at_ms: float
    kind: str


class PolicyUsed(HistoryEvent, frozen=True):
    """An RPC was started or rejected by a version of the policy."""

    KIND: ClassVar[str] = "decided"
    server: str
    version: int
    policy: Any


class ChangeEnded(HistoryEvent, frozen=True):
    """A server says how a change of policy ended, and by which version."""

    KIND: ClassVar[str] = "end"
    server: str
    change_id: str
    outcome: str
    version: int


class RpcRead(HistoryEvent, frozen=True):
    """A server read an RPC, which it must have answered by `due_ms`."""

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
    """A gateway sent to a server that was down: a proof that nothing ran."""

    KIND: ClassVar[str] = "refused"
    server: str


class LeaseHeld(HistoryEvent, frozen=True):
    """What a server believes that a grantor leases to it: calls a second, and start permits."""

    KIND: ClassVar[str] = "loan"
    server: str
    grantor: str
    calls_per_second: float
    calls_expire_at_ms: float
    permits: float
    permits_expire_at_ms: float


class LeaseLimits(HistoryEvent, frozen=True):
    """What there is to lease in the whole cluster."""

    KIND: ClassVar[str] = "bounds"
    calls_per_second: float
    permits: float


class PermitUsed(HistoryEvent, frozen=True):
    """A server drains by a maintenance permit.

    Attributes:
        permit_in_force: What the leader of the voters has granted to it; 0 where that is not known.
    """

    KIND: ClassVar[str] = "left"
    server: str
    permit: int
    permit_in_force: int


class DeclaredDead(HistoryEvent, frozen=True):
    """A server declares another one dead."""

    KIND: ClassVar[str] = "buried"
    server: str
    member: str


class MemberSeen(HistoryEvent, frozen=True):
    """A server sees another one come or go."""

    KIND: ClassVar[str] = "sees"
    server: str
    member: str
    is_present: bool


class ServerPaused(HistoryEvent, frozen=True):
    """A process is stopped until a time."""

    KIND: ClassVar[str] = "still"
    server: str
    until_ms: float


class ServerStarted(HistoryEvent, frozen=True):
    """A process starts."""

    KIND: ClassVar[str] = "starts"
    server: str


class ServerKilled(HistoryEvent, frozen=True):
    """A process is killed."""

    KIND: ClassVar[str] = "killed"
    server: str


class DrainStarted(HistoryEvent, frozen=True):
    """A process begins to drain."""

    KIND: ClassVar[str] = "drains"
    server: str


class ServerEnded(HistoryEvent, frozen=True):
    """A process ends once it has drained."""

    KIND: ClassVar[str] = "ended"
    server: str


class FaultBegan(HistoryEvent, frozen=True):
    """A fault or an operator's command of the scenario begins.

    Attributes:
        fault: Its kind.
        place: Its number in the scenario.
        targets: Numbers of the servers that it is done to.
        duration_ms: 0 for what happens at once.
        amount: In the unit of its kind.
    """

    KIND: ClassVar[str] = "begins"
    fault: str
    place: int
    targets: tuple[int, ...]
    duration_ms: float
    amount: float = 0.0


class FaultEnded(HistoryEvent, frozen=True):
    """A fault is over."""

    KIND: ClassVar[str] = "over"
    fault: str
    place: int


class CapacitySampled(HistoryEvent, frozen=True):
    """Capacity of the warm servers and demand, in RPCs a second, and the servers that are there."""

    KIND: ClassVar[str] = "capacity"
    warm_capacity: float
    demand: float
    servers: list[str]


class ServerCapacity(HistoryEvent, frozen=True):
    """What one warm server can do, in RPCs a second."""

    KIND: ClassVar[str] = "each"
    rpcs_per_second: float


class TableSampled(HistoryEvent, frozen=True):
    """The size of a table that could grow without bound."""

    KIND: ClassVar[str] = "size"
    server: str
    table: str
    size: int


class MaintenanceRequested(HistoryEvent, frozen=True):
    """An operator's request for maintenance reached the leader."""

    KIND: ClassVar[str] = "wished"
    servers: tuple[str, ...]


class FaultsEnded(HistoryEvent, frozen=True):
    """From now on nothing is done to the cluster any more."""

    KIND: ClassVar[str] = "quiet"


class NotQuiescent(HistoryEvent, frozen=True):
    """A reason for which the cluster did not come to rest in time."""

    KIND: ClassVar[str] = "restless"
    reason: str


class SettlingEnded(HistoryEvent, frozen=True):
    """The end of the run.

    Attributes:
        since_ms: When the faults had ended.
    """

    KIND: ClassVar[str] = "rests"
    since_ms: float


def events_of(history: History, *event_types: type[HistoryEvent]) -> Iterator[HistoryEvent]:
    """Reads the events of some types from a history, in the order of time."""
    type_by_kind = {event_type.KIND: event_type for event_type in event_types}
    for entry in history:
        event_type = type_by_kind.get(entry[1])
        if event_type is not None:
            yield event_type(*entry)
