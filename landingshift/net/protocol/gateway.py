"""Decodes MessagePack-RPC requests and notifications from gateways, and encodes the responses."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgpack
from msgpack import FormatError, StackError

from landingshift.errors import LandingshiftError
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.protocol.message_scanner import (
    MAX_ENTRIES,
    MessageScanner,
    ScanState,
)

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
    "max_array_len": MAX_ENTRIES,
    "max_map_len": MAX_ENTRIES,
    "max_ext_len": 0,
}


class MessageType:
    """The message types of MessagePack-RPC.

    The types are plain integers and not an enum, because every received message is compared with them and
    integers are compared faster.
    """

    REQUEST = 0
    RESPONSE = 1
    NOTIFICATION = 2


class InvalidFieldError(LandingshiftError):
    """A field of a request is missing or invalid, so the RPC can't be accepted.

    Attributes:
        field: The field's name on the wire.
    """

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


@dataclass(slots=True)
class Request:
    """A request; its response carries the same message id."""

    message_id: int
    method: str
    params: list[Any]


@dataclass(slots=True)
class CancelNotification:
    """The notification that the gateway no longer waits for the response to the request `message_id`."""

    message_id: int


@dataclass(slots=True)
class ProtocolFailure:
    """Reports that the bytes after the previous message are malformed and can't be decoded.

    Attributes:
        reason: A reason code for the log.
    """

    reason: str


Message = Request | CancelNotification | ProtocolFailure


@dataclass(slots=True)
class RequestFields:
    """The fields of an RPC's request.

    Attributes:
        arrived_unix_ms: The Unix time at which the RPC reached this machine.
        tenant: The name of the tenant; empty if the request has none.
        wait_ms: The time for which the caller waits for the answer; None if the request does not state it.
        memory_kb: The memory that the RPC uses while it is queued.
        cache_key: A key that is equal for requests that can share a result; None if the request has none.
        idempotency_key: A key that is equal for all attempts of one RPC; None if the request has none.
        work_hint_ms: The caller's estimate of the work that the RPC needs; None if the request has none.
        attempt_id: The id of the client's attempt; None if the request has none, or if the configuration
            names no field for this id.
    """

    rpc_id: bytes
    arrived_unix_ms: float
    caller_id: int
    tenant: str
    wait_ms: float | None
    memory_kb: float
    cache_key: str | None
    idempotency_key: str | None
    work_hint_ms: float | None
    is_retry: bool
    body: bytes
    attempt_id: str | None = None


class MessageDecoder:
    """Decodes the messages that arrive on one connection.

    Between calls, the decoder keeps only undecoded bytes and no parser, because parsers are large and most
    connections are idle. An incomplete message is not decoded again until it is complete.
    """

    def __init__(self) -> None:
        self.buffer = b""  # received bytes that are not decoded yet
        self.scanner: MessageScanner | None = None  # set if the buffer begins with an incomplete message

    @property
    def may_have_messages(self) -> bool:
        """Returns whether complete messages can be in the buffer."""
        return bool(self.buffer) and self.scanner is None

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the messages that are now complete.

        If the bytes after these messages are malformed, a `ProtocolFailure` is the last element.
        """
        self.receive(data)
        return [message for message in self.messages() if message is not None]

    def receive(self, data: bytes) -> None:
        """Adds received bytes."""
        self.buffer = self.buffer + data if self.buffer else data

    def messages(self) -> Iterator[Message | None]:
        """Yields the complete messages; None stands for a notification that this server ignores.

        If the bytes after these messages are malformed, a `ProtocolFailure` is the last element. If the
        caller stops early, the messages that were not yielded stay in the buffer.
        """
        if self.scanner is None:
            try:
                message = _decode(msgpack.unpackb(self.buffer, **PARSER_LIMITS))
            except (FormatError, StackError):
                yield ProtocolFailure("garbage")
                return
            except Exception:  # not exactly one complete message; decoded below
                self.scanner = MessageScanner()
            else:
                self.buffer = b""
                yield message
                return
        state = self.scanner.scan(self.buffer)
        if state is ScanState.COMPLETE:
            yield from self._decode_buffer()
        else:
            yield from self._failures(state)

    def _decode_buffer(self) -> Iterator[Message | None]:
        """Yields the messages in the buffer; the rest is the beginning of an incomplete message."""
        self.scanner = None
        unpacker = msgpack.Unpacker(max_buffer_size=len(self.buffer) + 1024, read_size=1024, **PARSER_LIMITS)
        end = 0
        try:
            unpacker.feed(self.buffer)
            for value in unpacker:
                end = unpacker.tell()
                yield _decode(value)
        except ProtocolError as err:
            yield ProtocolFailure(err.reason)
            return
        except Exception:  # msgpack raises various types for malformed bytes
            yield ProtocolFailure("garbage")
            return
        finally:
            self.buffer = self.buffer[end:]
        self.scanner = MessageScanner() if self.buffer else None
        state = self.scanner.scan(self.buffer) if self.scanner else ScanState.INCOMPLETE
        yield from self._failures(state)

    def _failures(self, state: ScanState) -> list[Message]:
        """Returns the failure to report for the incomplete message, if it can't become a valid one."""
        if state is ScanState.MALFORMED:
            return [ProtocolFailure("garbage")]
        if len(self.buffer) > MAX_MESSAGE_BYTES:
            return [ProtocolFailure("oversized")]
        return []


def _decode(value: Any) -> Message | None:
    """Converts an unpacked value to a message; returns None for a notification that this server ignores."""
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
    """Decodes and checks the parameters of an RPC's request.

    Args:
        params: The parameters as unpacked from MessagePack.
        attempt_id_field: The name of the field that identifies the client's attempt; empty if there is none.

    Raises:
        InvalidFieldError: A field is missing, of the wrong type or out of range.
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
        # Commands to the engine contain the id, so an id with a line end could inject a command.
        raise InvalidFieldError("id")
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
    """Returns whether a health check asks for a self-test of the engine."""
    return bool(params) and isinstance(params[0], dict) and params[0].get("deep") == "1"


def pack(value: Any) -> bytes:
    """Encodes `value` as MessagePack."""
    packed: bytes = msgpack.packb(value)
    return packed


def encode_ok(message_id: int, result: bytes, headers: dict[str, str]) -> bytes:
    """Encodes the response with an RPC's result; `headers` advertise the server's load to callers."""
    return pack([MessageType.RESPONSE, message_id, None, [result, headers]])


def encode_rejected(message_id: int, headers: dict[str, str]) -> bytes:
    """Encodes the response to an RPC that was rejected without being run."""
    return pack([MessageType.RESPONSE, message_id, ["Busy", headers], None])


def rejection_headers(headers: dict[str, str], retry_after_ms: float, is_final: bool) -> dict[str, str]:
    """Returns the response headers with the retry advice of a rejection.

    Args:
        headers: The headers that every response carries.
        retry_after_ms: The time for which the caller should not retry on this server; 0 for no such advice.
        is_final: If True, the caller is advised not to retry on another server either.
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
    """Returns the headers that advertise `load` to callers.

    Args:
        load: A load level, a credit or a weight; `Settings.load_advertisement` determines which.
    """
    return {"say": f"{load:g}"}


def encode_aborted(message_id: int, headers: dict[str, str]) -> bytes:
    """Encodes the response to an RPC that failed and might have been run."""
    return pack([MessageType.RESPONSE, message_id, ["Failed", headers], None])


def encode_health(message_id: int, is_healthy: bool, headers: dict[str, str]) -> bytes:
    """Encodes the response to a health check."""
    return pack([MessageType.RESPONSE, message_id, None, [is_healthy, headers]])


# Asks the gateway to close the connection after the gateway has received its outstanding responses.
GOAWAY = pack([MessageType.NOTIFICATION, "goaway", []])
