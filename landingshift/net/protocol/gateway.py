"""MessagePack-RPC as the gateways speak it: requests and notifications in, responses and goaway out."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import msgpack

from landingshift.errors import LandingshiftError
from landingshift.net.protocol.lines import ProtocolError

MAX_BODY_BYTES = 2048
MAX_MESSAGE_BYTES = 16384
RPC_ID = re.compile("[0-9a-fA-F]{16}")
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
MIN_MEMORY_KB = 1e-6
MAX_MEMORY_KB = 2000.0
MAX_TIME_MS = 1e9
MAX_UNIX_MS = 1e15
MAX_CALLER = 1e9

HEALTH_CHECK_METHOD = "probe"


PARSER_LIMITS = {
    "max_str_len": 1024,
    "max_bin_len": MAX_MESSAGE_BYTES,
    "max_array_len": 64,
    "max_map_len": 64,
    "max_ext_len": 0,
}


class MessageType:
    """The message types of MessagePack-RPC; plain numbers, since every message is matched against them."""

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class InvalidFieldError(LandingshiftError):
    """An RPC that can't be taken.

    Attributes:
        field: The field that is wrong, by its name on the wire.
    """

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


@dataclass(slots=True)
class Request:
    """A request whose response bears the same message id."""

    message_id: int
    method: str
    params: list[Any]


@dataclass(slots=True)
class CancelNotification:
    """The gateway waits no more for the response to a request."""

    message_id: int


@dataclass(slots=True)
class ProtocolFailure:
    """Nothing after this can be read."""

    reason: str


Message = Request | CancelNotification | ProtocolFailure


@dataclass(slots=True)
class RequestFields:
    """What a gateway tells of an RPC."""

    rpc_id: bytes
    arrived_unix_ms: float  # when it came to this machine
    caller_id: int
    tenant: str
    wait_ms: float | None  # how long the caller waits; None where callers do not tell it
    memory_kb: float
    cache_key: str | None  # the same for requests whose result may be shared
    idempotency_key: str | None  # the same for all attempts of one RPC
    work_hint_ms: float | None
    is_retry: bool
    body: bytes
    attempt_id: str | None = None  # of the client's attempt, where the installation names a field for it


class MessageDecoder:
    """Bytes of one connection to messages.

    Keeps no parser between two pieces: parsers are large, and many connections are idle.
    """

    def __init__(self) -> None:
        self.buffer = b""  # of a message that is not complete yet

    def feed(self, data: bytes) -> list[Message]:
        """The complete messages so far, then a `ProtocolFailure` where a malformed one follows them."""
        if not self.buffer:
            try:
                message = _decode(msgpack.unpackb(data, **PARSER_LIMITS))
            except Exception:  # not exactly one complete message: what it is shows below
                pass
            else:
                return [message] if message is not None else []
        return self._feed_pieces(self.buffer + data)

    def _feed_pieces(self, data: bytes) -> list[Message]:
        messages: list[Message] = []
        unpacker = msgpack.Unpacker(max_buffer_size=len(data) + 1024, read_size=1024, **PARSER_LIMITS)
        end = 0
        try:
            unpacker.feed(data)
            for value in unpacker:
                end = unpacker.tell()
                message = _decode(value)
                if message is not None:
                    messages.append(message)
        except ProtocolError as err:
            return [*messages, ProtocolFailure(err.reason)]
        except Exception:  # the library raises many kinds for bytes that are no MessagePack
            return [*messages, ProtocolFailure("garbage")]
        self.buffer = data[end:]
        if len(self.buffer) > MAX_MESSAGE_BYTES:
            return [*messages, ProtocolFailure("oversized")]
        return messages


def _decode(value: Any) -> Message | None:
    """The message that `value` is; None for a notification that this server has no use for."""
    match value:
        case [MessageType.REQUEST, int(message_id), str(method), list(params)] if not isinstance(
            message_id, bool
        ):
            return Request(message_id, method, params)
        case [MessageType.NOTIFICATION, "giveUp", [int(message_id)]]:
            return CancelNotification(message_id)
        case [MessageType.NOTIFICATION, str(), list()]:
            return None
    raise ProtocolError("bad_message")


def _number(values: dict[Any, Any], name: str, low: float, high: float) -> float:
    value = values.get(name)
    if not isinstance(value, str) or not NUMBER.fullmatch(value) or not low <= float(value) <= high:
        raise InvalidFieldError(name)
    return float(value)


def _text(values: dict[Any, Any], name: str) -> str | None:
    value = values.get(name)
    if value is not None and not isinstance(value, str):
        raise InvalidFieldError(name)
    return value or None


def decode_fields(params: list[Any], attempt_id_field: str = "") -> RequestFields:
    """What the parameters of an RPC's request tell of it.

    Args:
        params: As they came.
        attempt_id_field: Name of the field with the client's attempt; empty where there is none.

    Raises:
        InvalidFieldError: A field is missing or out of its range.
    """
    match params:
        case [dict(values), bytes(body)]:
            pass
        case _:
            raise InvalidFieldError("params")
    if len(body) > MAX_BODY_BYTES:
        raise InvalidFieldError("body")
    rpc_id = values.get("id")
    if not isinstance(rpc_id, str) or not RPC_ID.fullmatch(rpc_id):
        raise InvalidFieldError("id")  # it goes into lines of words: anything else could forge a command
    return RequestFields(
        rpc_id=rpc_id.encode(),
        arrived_unix_ms=_number(values, "at", 0.0, MAX_UNIX_MS),
        caller_id=int(_number(values, "from", 0.0, MAX_CALLER)),
        tenant=_text(values, "tenant") or "",
        wait_ms=_number(values, "wait", 0.0, MAX_TIME_MS) if "wait" in values else None,
        memory_kb=_number(values, "kb", MIN_MEMORY_KB, MAX_MEMORY_KB),
        cache_key=_text(values, "key"),
        idempotency_key=_text(values, "once"),
        work_hint_ms=_number(values, "cost", 0.0, MAX_TIME_MS) if "cost" in values else None,
        is_retry=values.get("retry") == "1",
        body=body,
        attempt_id=_text(values, attempt_id_field) if attempt_id_field else None,
    )


def is_deep_health_check(params: list[Any]) -> bool:
    """Whether a health check asks for a piece of work by the engine."""
    return bool(params) and isinstance(params[0], dict) and params[0].get("deep") == "1"


def pack(value: Any) -> bytes:
    """MessagePack of `value`."""
    packed: bytes = msgpack.packb(value)
    return packed


def encode_ok(message_id: int, result: bytes, headers: dict[str, str]) -> bytes:
    """The response with an RPC's result; `headers` is what the server tells callers of its load."""
    return pack([MessageType.RESPONSE, message_id, None, [result, headers]])


def encode_rejected(message_id: int, headers: dict[str, str]) -> bytes:
    """The response that the RPC never ran here."""
    return pack([MessageType.RESPONSE, message_id, ["Busy", headers], None])


def rejection_headers(headers: dict[str, str], retry_after_ms: float, is_final: bool) -> dict[str, str]:
    """The headers with the advice that comes with a rejection.

    Args:
        headers: What each response carries.
        retry_after_ms: How long the caller should leave this server alone; none where it is 0.
        is_final: The caller should not try another server either.
    """
    if retry_after_ms <= 0 and not is_final:
        return headers
    advice = dict(headers)
    if retry_after_ms > 0:
        advice["after"] = f"{retry_after_ms:.0f}"
    if is_final:
        advice["last"] = "1"
    return advice


def load_headers(load: float) -> dict[str, str]:
    """The headers that tell callers of the server's load: its weight, level or credit."""
    return {"say": f"{load:g}"}


def encode_aborted(message_id: int, headers: dict[str, str]) -> bytes:
    """The response that the RPC may have run and brought no result."""
    return pack([MessageType.RESPONSE, message_id, ["Failed", headers], None])


def encode_health(message_id: int, is_healthy: bool, headers: dict[str, str]) -> bytes:
    """The response to a health check."""
    return pack([MessageType.RESPONSE, message_id, None, [is_healthy, headers]])


# Asks the gateway to close the connection once it has its answers.
GOAWAY = pack([MessageType.NOTIFICATION, "goaway", []])
