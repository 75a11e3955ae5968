"""Decodes the engine's messages and encodes the commands to it.

The engine numbers its notices consecutively. After a reconnection, the attach command contains the number of
the last notice received. The engine then repeats all later notices, so no notice is lost when a connection
breaks.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from landingshift.admission.interface import Outcome
from landingshift.net.protocol.lines import LineDecoder, ProtocolError, decode_number, encode_line

OUTCOME_BY_STATUS = {
    b"good": Outcome.OK,
    b"bad": Outcome.ABORTED,
    b"cut": Outcome.CANCELLED,
    b"gone": Outcome.NOT_SENT,
}
RUN_COMMAND = b"RUN"
NO_NOTICE_NUMBER = 0  # no notice of the engine has this number


@dataclass(slots=True)
class Hello:
    """The engine's reply to the attach command: the engine accepts the connection as its link.

    Attributes:
        is_cold: Whether the engine was started together with this server and is beginning to warm up.
        age_ms: The time since the engine was started.
    """

    is_cold: bool
    age_ms: float


@dataclass(slots=True)
class RunEnded:
    """The notice that the run of an RPC has ended.

    Attributes:
        notice_number: The notice's number; `NO_NOTICE_NUMBER` if the engine sent no notice and this server
            inferred the end of the run.
        elapsed_ms: The duration of the run.
    """

    notice_number: int
    rpc_id: bytes
    outcome: Outcome
    elapsed_ms: float
    result: bytes


@dataclass(slots=True)
class CallNeeded:
    """The notice that a run needs a call to the database."""

    notice_number: int
    rpc_id: bytes
    request: bytes


@dataclass(slots=True)
class OtherNotice:
    """A numbered notice that this server ignores."""

    notice_number: int


@dataclass(slots=True)
class GaugeReport:
    """The answer to a gauge query; the values are in the order of the configured gauge names."""

    tag: bytes
    values: list[float]


@dataclass(slots=True)
class SelfTestResult:
    """The answer to a self-test command."""

    tag: bytes
    has_passed: bool


@dataclass(slots=True)
class CommandRefused:
    """The message by which the engine rejects a command."""

    command: bytes
    rpc_id: bytes


NumberedNotice = RunEnded | CallNeeded | OtherNotice
Message = Hello | NumberedNotice | GaugeReport | SelfTestResult | CommandRefused


def _has_body(tokens: list[bytes]) -> bool:
    return (tokens[0] == b"DONE" and len(tokens) == 6) or tokens[0] == b"NEED"


def _decode(tokens: list[bytes], body: bytes) -> Message:
    try:
        match tokens:
            case [b"HELLO", state, age]:
                return Hello(state == b"new", float(age))
            case [b"DONE", number, rpc_id, status, elapsed, *_]:
                outcome = OUTCOME_BY_STATUS[status]
                return RunEnded(decode_number(number), rpc_id, outcome, float(elapsed), body)
            case [b"NEED", number, rpc_id, _]:
                return CallNeeded(decode_number(number), rpc_id, body)
            case [b"NOTE", number, *_]:
                return OtherNotice(decode_number(number))
            case [b"STATS", tag, *values]:
                return GaugeReport(tag, [float(value) for value in values])
            case [b"TESTED", tag, status]:
                return SelfTestResult(tag, status == b"good")
            case [b"NO", command, rpc_id, *_]:
                return CommandRefused(command, rpc_id)
    except (KeyError, ValueError) as err:
        raise ProtocolError("bad_word") from err
    raise ProtocolError("bad_line")


class NoticeDecoder:
    """Decodes the messages that arrive on one connection to the engine."""

    def __init__(self) -> None:
        self.line_decoder = LineDecoder(_has_body)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Adds received bytes and yields the messages that are complete.

        Raises:
            ProtocolError: The bytes after the messages yielded so far are malformed.
        """
        for tokens, body in self.line_decoder.feed(data):
            yield _decode(tokens, body)


def encode_attach(last_notice_number: int) -> bytes:
    """Encodes the command that makes a new connection the engine's link.

    The engine then repeats all notices with numbers higher than `last_notice_number`.
    """
    return encode_line(b"ATTACH", b"%d" % last_notice_number)


def encode_run(rpc_id: bytes, method: bytes, body: bytes) -> bytes:
    """Encodes the command that starts the run of an RPC."""
    return encode_line(RUN_COMMAND, rpc_id, method, body=body)


def encode_call_reply(rpc_id: bytes, reply: bytes) -> bytes:
    """Encodes the command that passes the reply to a database call to the run that requested the call."""
    return encode_line(b"FEED", rpc_id, body=reply)


def encode_skip_call(rpc_id: bytes, notice_number: int) -> bytes:
    """Encodes the command that continues a run without the database call requested by the given notice."""
    return encode_line(b"SKIP", rpc_id, b"%d" % notice_number)


def encode_halt(rpc_id: bytes) -> bytes:
    """Encodes the command that stops a run."""
    return encode_line(b"HALT", rpc_id)


def encode_gauge_query(tag: bytes) -> bytes:
    """Encodes a query for the engine's gauges; the answer carries the same tag."""
    return encode_line(b"STAT", tag)


def encode_self_test(tag: bytes) -> bytes:
    """Encodes the self-test command of a deep health check; the answer carries the same tag."""
    return encode_line(b"TEST", tag)
