"""Encoding of commands as entries of the replicated log, and of snapshots of the state machine.

An entry is a MessagePack array of the state machine's name, the command's name and its values. A voter of
another build may have written it, so unknown commands are skipped.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from landingshift.consensus.state_machines import encode_entry
from landingshift.maintenance.capacity_constraints import MachineFacts
from landingshift.maintenance.commands import (
    AddRequests,
    ChangeState,
    Command,
    ForgetMachine,
    IssuePermit,
    RecordDemand,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.requests import CompletedRequest, MaintenanceRequest, RequestState

STATE_MACHINE_NAME = "upkeep"
"""Name that tells this package's entries and snapshots from those of other state machines."""


class StoredRequest(Struct, array_like=True, frozen=True):
    """Request in a snapshot, stored as an array in this order. See `MaintenanceRequest` for the units."""

    name: str
    duration_minutes: float
    requested_at_ms: float
    urgency: float
    not_before_ms: float
    not_after_ms: float
    is_exclusive: bool
    group: str
    state: str
    permit_number: int
    permitted_at_ms: float
    reason: str
    permitted_run_id: int
    """Run ID of the process that the permit was issued to; 0 without a permit."""


class StoredState(Struct, array_like=True, frozen=True):
    """Snapshot, stored as an array in this order. Snapshots of earlier builds end after `history`."""

    last_permit_number: int
    pause_reason: str
    requests: list[StoredRequest]
    history: list[CompletedRequest]
    demand_by_quarter: list[float] = []
    machines: dict[str, MachineFacts] = {}


def encode_command(command: Command) -> bytes:
    """Returns the replicated log entry of a command."""
    match command:
        case AddRequests(requests):
            values: tuple[Any, ...] = ("wish", [_request_row(request) for request in requests])
        case IssuePermit(name, run_id, issued_at_ms):
            values = ("permit", name, run_id, issued_at_ms)
        case ChangeState(name, permit_number, new_state, reason, changed_at_ms):
            values = ("move", name, permit_number, new_state.value, reason, changed_at_ms)
        case SetPause(reason):
            values = ("hold", reason)
        case RegisterMachine(name, facts):
            values = (
                "machine",
                name,
                facts.capacity,
                facts.zone,
                facts.model,
                facts.serves_critical_methods,
            )
        case ForgetMachine(name):
            values = ("without", name)
        case RecordDemand(quarter, rpcs_per_second):
            values = ("seen", quarter, rpcs_per_second)
    return encode_entry(STATE_MACHINE_NAME, *values)


def decode_command(data: bytes) -> Command | None:
    """Returns the command of an entry; None if this build does not know it."""
    match msgspec.msgpack.decode(data)[1:]:
        case ["wish", list(rows)]:
            return AddRequests(tuple(_request_from_row(row) for row in rows))
        case ["permit", str(name), int(run_id), issued_at_ms]:
            return IssuePermit(name, run_id, issued_at_ms)
        case ["move", str(name), int(permit_number), str(state), str(reason), changed_at_ms]:
            return ChangeState(name, permit_number, RequestState(state), reason, changed_at_ms)
        case ["hold", str(reason)]:
            return SetPause(reason)
        case ["machine", str(name), float(capacity), str(zone), str(model), bool(is_critical)]:
            return RegisterMachine(name, MachineFacts(capacity, zone, model, is_critical))
        case ["without", str(name)]:
            return ForgetMachine(name)
        case ["seen", int(quarter), float(demand)]:
            return RecordDemand(quarter, demand)
    return None


def encode_snapshot(state: StoredState) -> bytes:
    """Returns the encoded snapshot."""
    return msgspec.msgpack.encode(state)


def decode_snapshot(data: bytes) -> StoredState:
    """Decodes a snapshot written by this build or an earlier one."""
    return msgspec.msgpack.decode(data, type=StoredState)


def stored_request(request: MaintenanceRequest, permitted_run_id: int) -> StoredRequest:
    """Returns a request as stored in a snapshot, with the run ID that its permit was issued to."""
    return StoredRequest(
        name=request.name,
        duration_minutes=request.duration_minutes,
        requested_at_ms=request.requested_at_ms,
        urgency=request.urgency,
        not_before_ms=request.not_before_ms,
        not_after_ms=request.not_after_ms,
        is_exclusive=request.is_exclusive,
        group=request.group,
        state=request.state.value,
        permit_number=request.permit_number,
        permitted_at_ms=request.permitted_at_ms,
        reason=request.reason,
        permitted_run_id=permitted_run_id,
    )


def restored_request(stored: StoredRequest) -> MaintenanceRequest:
    """Returns a request restored from a snapshot."""
    return MaintenanceRequest(
        name=stored.name,
        duration_minutes=stored.duration_minutes,
        requested_at_ms=stored.requested_at_ms,
        urgency=stored.urgency,
        not_before_ms=stored.not_before_ms,
        not_after_ms=stored.not_after_ms,
        is_exclusive=stored.is_exclusive,
        group=stored.group,
        state=RequestState(stored.state),
        permit_number=stored.permit_number,
        permitted_at_ms=stored.permitted_at_ms,
        reason=stored.reason,
    )


def _request_row(request: MaintenanceRequest) -> list[Any]:
    return [
        request.name,
        request.duration_minutes,
        request.requested_at_ms,
        request.urgency,
        request.not_before_ms,
        request.not_after_ms,
        request.is_exclusive,
        request.group,
    ]


def _request_from_row(row: list[Any]) -> MaintenanceRequest:
    name, duration_minutes, requested_at_ms, urgency, not_before_ms, not_after_ms, is_exclusive, group = row
    return MaintenanceRequest(
        name=name,
        duration_minutes=duration_minutes,
        requested_at_ms=requested_at_ms,
        urgency=urgency,
        not_before_ms=not_before_ms,
        not_after_ms=not_after_ms,
        is_exclusive=is_exclusive,
        group=group,
    )
