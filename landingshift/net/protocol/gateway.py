"""MessagePack-RPC as the gateways speak it."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import msgpack

from landingshift.net.protocol.lines import ProtocolError

BODY = 2048
FRAME = 16384  # an RPC with all its fields takes a fifth of this
ID = re.compile("[0-9a-fA-F]{16}")
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")


class InvalidFieldError(Exception):
    """An RPC that can't be taken; the text names the field."""


@dataclass(slots=True)
class Request:
    number: int
    method: str
    params: list[Any]


@dataclass(slots=True)
class CancelNotification:
    number: int


@dataclass(slots=True)
class ProtocolFailure:
    """Nothing after this can be read."""

    reason: str


Message = Request | CancelNotification | ProtocolFailure


@dataclass(slots=True)
class Fields:
    rid: bytes
    at: float
    caller: int
    tenant: str
    wait: float | None  # where the site's callers do not tell it
    kb: float
    key: str | None
    token: str | None
    hint: float | None
    retry: bool
    body: bytes
    mark: str | None = None  # of the client's try, where the installation names a field for it


LIMITS = {
    "max_str_len": 1024, "max_bin_len": FRAME, "max_array_len": 64, "max_map_len": 64, "max_ext_len": 0,
}  # fmt: skip


class MessageDecoder:
    """Keeps no parser between two pieces: one takes 40 KB, and many connections are idle."""

    def __init__(self) -> None:
        self.rest = b""  # of a message that is not whole yet

    def feed(self, data: bytes) -> list[Message]:
        """The whole messages so far; those before a broken one are still given out."""
        if not self.rest:
            try:
                message = decode(msgpack.unpackb(data, **LIMITS))
                return [message] if message is not None else []
            except Exception:  # not just one whole message: what it is shows below
                pass
        messages: list[Message] = []
        data = self.rest + data
        unpacker = msgpack.Unpacker(max_buffer_size=len(data) + 1024, read_size=1024, **LIMITS)
        end = 0
        try:
            unpacker.feed(data)
            for value in unpacker:
                end = unpacker.tell()
                message = decode(value)
                if message is not None:
                    messages.append(message)
        except ProtocolError as err:
            return [*messages, ProtocolFailure(str(err))]
        except Exception:  # the library raises many kinds for bytes that are no MessagePack
            return [*messages, ProtocolFailure("garbage")]
        self.rest = data[end:]
        if len(self.rest) > FRAME:
            return [*messages, ProtocolFailure("oversized")]
        return messages


def decode(value: Any) -> Message | None:
    match value:
        case [0, int(number), str(method), list(params)] if not isinstance(number, bool):
            return Request(number, method, params)
        case [2, "giveUp", [int(number)]]:
            return CancelNotification(number)
        case [2, str(), list()]:
            return None
    raise ProtocolError("bad_message")


def number(fields: dict[Any, Any], name: str, low: float, high: float) -> float:
    value = fields.get(name)
    if not isinstance(value, str) or not NUMBER.fullmatch(value) or not low <= float(value) <= high:
        raise InvalidFieldError(name)
    return float(value)


def text(fields: dict[Any, Any], name: str) -> str | None:
    value = fields.get(name)
    if value is not None and not isinstance(value, str):
        raise InvalidFieldError(name)
    return value or None


def fields(params: list[Any], mark: str = "") -> Fields:
    match params:
        case [dict(told), bytes(body)]:
            pass
        case _:
            raise InvalidFieldError("params")
    if len(body) > BODY:
        raise InvalidFieldError("body")
    rid = told.get("id")
    if not isinstance(rid, str) or not ID.fullmatch(rid):
        raise InvalidFieldError("id")  # it goes into lines of words: anything else could forge a command
    return Fields(
        rid=rid.encode(),
        at=number(told, "at", 0.0, 1e15),
        caller=int(number(told, "from", 0.0, 1e9)),
        tenant=text(told, "tenant") or "",
        wait=number(told, "wait", 0.0, 1e9) if "wait" in told else None,
        kb=number(told, "kb", 1e-6, 2000.0),
        key=text(told, "key"),
        token=text(told, "once"),
        hint=number(told, "cost", 0.0, 1e9) if "cost" in told else None,
        retry=told.get("retry") == "1",
        body=body,
        mark=text(told, mark) if mark else None,
    )


def deep(params: list[Any]) -> bool:
    return bool(params) and isinstance(params[0], dict) and params[0].get("deep") == "1"


def pack(value: Any) -> bytes:
    packed: bytes = msgpack.packb(value)
    return packed


def ok(number: int, body: bytes, told: dict[str, str]) -> bytes:
    return pack([1, number, None, [body, told]])


def pushed_back(number: int, told: dict[str, str]) -> bytes:
    return pack([1, number, ["Busy", told], None])


def aborted(number: int, told: dict[str, str]) -> bytes:
    return pack([1, number, ["Failed", told], None])


def probed(number: int, good: bool, told: dict[str, str]) -> bytes:
    return pack([1, number, None, [good, told]])


GOAWAY = pack([2, "goaway", []])
