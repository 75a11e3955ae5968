"""The engine's commands and notices."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from landingshift.admission.interface import Outcome
from landingshift.net.protocol.lines import LineDecoder, ProtocolError, encode_line, length

ENDS = {
    b"good": Outcome.OK,
    b"bad": Outcome.ABORTED,
    b"cut": Outcome.CANCELLED,
    b"gone": Outcome.NOT_SENT,
}


@dataclass(slots=True)
class Hello:
    cold: bool
    age: float


@dataclass(slots=True)
class Done:
    number: int
    rid: bytes
    outcome: Outcome
    elapsed: float
    result: bytes


@dataclass(slots=True)
class Need:
    number: int
    rid: bytes
    body: bytes


@dataclass(slots=True)
class Note:
    number: int


@dataclass(slots=True)
class Stats:
    tag: bytes
    values: list[float]


@dataclass(slots=True)
class Tested:
    tag: bytes
    good: bool


@dataclass(slots=True)
class No:
    command: bytes
    rid: bytes


Message = Hello | Done | Need | Note | Stats | Tested | No


def has_body(words: list[bytes]) -> bool:
    return (words[0] == b"DONE" and len(words) == 6) or words[0] == b"NEED"


def decode(words: list[bytes], body: bytes) -> Message:
    try:
        match words:
            case [b"HELLO", state, age]:
                return Hello(state == b"new", float(age))
            case [b"DONE", number, rid, end, elapsed, *_]:
                return Done(length(number), rid, ENDS[end], float(elapsed), body)
            case [b"NEED", number, rid, _]:
                return Need(length(number), rid, body)
            case [b"NOTE", number, *_]:
                return Note(length(number))
            case [b"STATS", tag, *values]:
                return Stats(tag, [float(v) for v in values])
            case [b"TESTED", tag, end]:
                return Tested(tag, end == b"good")
            case [b"NO", command, rid, *_]:
                return No(command, rid)
    except (KeyError, ValueError) as err:
        raise ProtocolError("bad_word") from err
    raise ProtocolError("bad_line")


class NoticeDecoder:
    def __init__(self) -> None:
        self.lines = LineDecoder(has_body)

    def feed(self, data: bytes) -> Iterator[Message]:
        """What is good is given out before what is broken behind it is found."""
        for words, body in self.lines.feed(data):
            yield decode(words, body)


def attach(number: int) -> bytes:
    return encode_line(b"ATTACH", b"%d" % number)


def run(rid: bytes, method: bytes, body: bytes) -> bytes:
    return encode_line(b"RUN", rid, method, body=body)


def feed(rid: bytes, reply: bytes) -> bytes:
    return encode_line(b"FEED", rid, body=reply)


def skip(rid: bytes, number: int) -> bytes:
    return encode_line(b"SKIP", rid, b"%d" % number)


def halt(rid: bytes) -> bytes:
    return encode_line(b"HALT", rid)


def stat(tag: bytes) -> bytes:
    return encode_line(b"STAT", tag)


def test(tag: bytes) -> bytes:
    return encode_line(b"TEST", tag)
