"""Wire protocol of the simulator: message names, event types, and decoding and validation of fields.

A message is a JSON array that begins with the message name. `Batch` begins a batch and `End` ends it. All
events in a batch happen at the same simulated time, and each carries the number of its instance. Only this
module uses the keywords of the protocol; it translates them to the types of the admission controller.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from landingshift.admission.interface import Gauges, Outcome, Rpc, Settings
from landingshift.drill.errors import (
    InvalidFieldsError,
    NotANumberError,
    UnknownEventError,
    UnknownReferenceError,
)

# Messages from the simulator.
BATCH, END, CONFIGURE, DESTROY = "Batch", "End", "Configure", "Destroy"
INGRESS, RESULT, WANTS_CALL, CALL_DONE = "Ingress", "Result", "WantsCall", "CallDone"
HANGUP, QUIESCE, ELAPSED = "Hangup", "Quiesce", "Elapsed"

# Messages to the simulator.
EXECUTE, YANK, BUSY, ERROR = "Execute", "Yank", "Busy", "Error"
GO_CALL, BYPASS = "GoCall", "Bypass"
RETAIN, EVICT, JOIN = "Retain", "Evict", "Join"
SET_HEALTH, ADVERTISE, REAP_AFTER = "SetHealth", "Advertise", "ReapAfter"
NOTIFY_ME, NOTE_DOWN, GIVE_IN, YIELD = "NotifyMe", "NoteDown", "GiveIn", "Yield"

OUTCOMES = {
    "served": Outcome.OK,
    "server_error": Outcome.ABORTED,
    "turned_away": Outcome.REJECTED,
    "no_answer": Outcome.NO_RESPONSE,
    "no_connection": Outcome.NO_CONNECTION,
    "connection_lost": Outcome.CONNECTION_LOST,
    "called_off": Outcome.CANCELLED,
    "not_sent": Outcome.NOT_SENT,
}
FIELD_COUNTS = {INGRESS: 12, RESULT: 3, WANTS_CALL: 1, CALL_DONE: 3, HANGUP: 1, QUIESCE: 1, ELAPSED: 2}
"""Number of fields of each event after the instance number; missing trailing fields count as null."""

HINT_BIT, RETRY_BIT, WRITE_BIT = 1, 2, 4
"""Bits in the flags of an RPC: the work hint is valid; the RPC is a retry; the RPC changes state."""
METHOD_FIELD, TENANT_FIELD = 6, 8
"""Indices of fields of `Ingress`."""
NUMBER_FIELDS = (2, 3, 4, 7, 11)
"""Indices of the fields of `Ingress` that are numbers or null."""


@dataclass(slots=True, eq=False)
class SimulatedRpc(Rpc):
    """An RPC with the id by which the simulator refers to it."""

    rpc_id: str


@dataclass(slots=True)
class RpcRead:
    """An RPC has been read."""

    rpc: SimulatedRpc


@dataclass(slots=True)
class RunFinished:
    """A run has ended, or the original attempt that a duplicate waited for has ended."""

    rpc_id: str
    outcome: Outcome
    run_ms: float


@dataclass(slots=True)
class CallNeeded:
    """A run needs a downstream call."""

    rpc_id: str


@dataclass(slots=True)
class CallFinished:
    """A downstream call has ended."""

    rpc_id: str
    outcome: Outcome
    latency_ms: float


@dataclass(slots=True)
class CallerGone:
    """The caller of an RPC has disconnected."""

    rpc_id: str


@dataclass(slots=True)
class DrainNotice:
    """The instance is notified that its process will be stopped in `remaining_ms`."""

    remaining_ms: float


@dataclass(slots=True)
class TimerFired:
    """A timer that the controller has requested has expired."""

    gauges: Gauges


Event = RpcRead | RunFinished | CallNeeded | CallFinished | CallerGone | DrainNotice | TimerFired


def padded_fields(name: str, fields: list[Any]) -> list[Any]:
    """Returns the fields of an event, padded with None or shortened to the length in `FIELD_COUNTS`."""
    count = FIELD_COUNTS[name]
    return [*fields, *[None] * (count - len(fields))][:count]


def validate_event(name: str, fields: list[Any], settings: Settings) -> None:
    """Validates the fields of an event.

    Args:
        name: Name of the event.
        fields: Fields of the event, as returned by `padded_fields`.
        settings: Settings of the instance that receives the event.

    Raises:
        MalformedMessageError: A field has the wrong type, or refers to a method or tenant that is not in the
            settings.
    """
    if name == ELAPSED:
        return
    if name == QUIESCE:
        if not isinstance(fields[0], int | float):
            raise InvalidFieldsError(name, "a time")
        return
    if not isinstance(fields[0], str):
        raise InvalidFieldsError(name, "the id of an RPC")
    if name in (RESULT, CALL_DONE):
        _validate_outcome(name, fields)
    elif name == INGRESS:
        _validate_rpc(fields, settings)


def _validate_outcome(name: str, fields: list[Any]) -> None:
    outcome, elapsed_ms = fields[1], fields[2]
    if outcome not in OUTCOMES or not isinstance(elapsed_ms, int | float):
        raise InvalidFieldsError(name, f"an outcome and a time, not {outcome!r} and {elapsed_ms!r}")


def _validate_rpc(fields: list[Any], settings: Settings) -> None:
    method, tenant = fields[METHOD_FIELD], fields[TENANT_FIELD]
    if not isinstance(method, int) or not 0 <= method < len(settings.methods):
        raise UnknownReferenceError(INGRESS, "type", method)
    if settings.tenants and not 0 <= (tenant or 0) < len(settings.tenants):
        raise UnknownReferenceError(INGRESS, "client-group", tenant)
    numbers = [fields[index] for index in NUMBER_FIELDS]
    if not all(number is None or isinstance(number, int | float) for number in numbers):
        raise NotANumberError(INGRESS)


def decode_event(name: str, fields: list[Any], settings: Settings) -> Event:
    """Decodes an event whose fields `validate_event` has accepted."""
    match name:
        case "Ingress":
            return RpcRead(_decode_rpc(fields, settings))
        case "Result":
            return RunFinished(fields[0], OUTCOMES[fields[1]], fields[2])
        case "WantsCall":
            return CallNeeded(fields[0])
        case "CallDone":
            return CallFinished(fields[0], OUTCOMES[fields[1]], fields[2])
        case "Hangup":
            return CallerGone(fields[0])
        case "Quiesce":
            return DrainNotice(fields[0])
        case "Elapsed":
            stats = fields[1] or {}
            return TimerFired(Gauges(stats.get("core_use"), stats.get("on_cores"), stats.get("links")))
    raise UnknownEventError(name)


def _decode_rpc(fields: list[Any], settings: Settings) -> SimulatedRpc:
    rpc_id, key, ttl_ms, waited_ms, memory_kb, caller_id, method, hint_ms, tenant, _, original, flags = fields
    bits = flags or 0
    # If callers do not send deadlines, a remaining time of 0 stands for an unknown remaining time.
    has_remaining = ttl_ms is not None and (ttl_ms > 0 or settings.callers_send_deadline)
    return SimulatedRpc(
        method=settings.methods[method],
        tenant=settings.tenants[tenant or 0] if settings.tenants else None,
        remaining_ms=ttl_ms if has_remaining else None,
        waited_ms=waited_ms or 0.0,
        memory_kb=memory_kb or 0.0,
        caller_id=caller_id or 0,
        work_hint_ms=hint_ms if hint_ms and bits & HINT_BIT else None,
        has_cache_key=bool(key),
        is_duplicate=bool(original),
        is_retry=bool(bits & RETRY_BIT),
        is_write=bool(bits & WRITE_BIT),
        rpc_id=rpc_id,
    )
