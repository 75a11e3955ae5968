"""The engine's notices and the commands that it is given."""

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
RUN_COMMAND = b"RUN"  # as a refusal names it
NO_NOTICE_NUMBER = 0  # no notice of the engine has it


@dataclass(slots=True)
class Hello:
    """The engine took the link."""

    is_cold: bool  # it was started with this server and warms up from now on
    age_ms: float


@dataclass(slots=True)
class RunEnded:
    """The run of an RPC is over."""

    notice_number: int  # `NO_NOTICE_NUMBER` where this server concludes it by itself
    rpc_id: bytes
    outcome: Outcome
    elapsed_ms: float
    result: bytes


@dataclass(slots=True)
class CallNeeded:
    """A running RPC asks for a call to the database."""

    notice_number: int
    rpc_id: bytes
    request: bytes


@dataclass(slots=True)
class OtherNotice:
    """A numbered notice that this server has no use for."""

    notice_number: int


@dataclass(slots=True)
class GaugeReport:
    """The answer to a query for the gauges, in the order of the configuration."""

    tag: bytes
    values: list[float]


@dataclass(slots=True)
class SelfTestResult:
    """The answer to a self-test."""

    tag: bytes
    has_passed: bool


@dataclass(slots=True)
class CommandRefused:
    """The engine did not take a command."""

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
            case [b"DONE", number, rpc_id, end, elapsed, *_]:
                outcome = OUTCOME_BY_STATUS[end]
                return RunEnded(decode_number(number), rpc_id, outcome, float(elapsed), body)
            case [b"NEED", number, rpc_id, _]:
                return CallNeeded(decode_number(number), rpc_id, body)
            case [b"NOTE", number, *_]:
                return OtherNotice(decode_number(number))
            case [b"STATS", tag, *values]:
                return GaugeReport(tag, [float(value) for value in values])
            case [b"TESTED", tag, end]:
                return SelfTestResult(tag, end == b"good")
            case [b"NO", command, rpc_id, *_]:
                return CommandRefused(command, rpc_id)
    except (KeyError, ValueError) as err:
        raise ProtocolError("bad_word") from err
    raise ProtocolError("bad_line")


class NoticeDecoder:
    """Bytes of one link to messages."""

    def __init__(self) -> None:
        self.line_decoder = LineDecoder(_has_body)

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields complete messages.

        Raises:
            ProtocolError: What follows the messages given out so far is none.
        """
        for tokens, body in self.line_decoder.feed(data):
            yield _decode(tokens, body)


def encode_attach(last_notice_number: int) -> bytes:
    """Takes the link; the engine repeats the notices after this one."""
    return encode_line(b"ATTACH", b"%d" % last_notice_number)


def encode_run(rpc_id: bytes, method: bytes, body: bytes) -> bytes:
    """Starts the run of an RPC."""
    return encode_line(RUN_COMMAND, rpc_id, method, body=body)


def encode_call_reply(rpc_id: bytes, reply: bytes) -> bytes:
    """Hands a run the reply to the call that it asked for."""
    return encode_line(b"FEED", rpc_id, body=reply)


def encode_skip_call(rpc_id: bytes, notice_number: int) -> bytes:
    """Lets a run go on without the call that the notice of this number asked for."""
    return encode_line(b"SKIP", rpc_id, b"%d" % notice_number)


def encode_halt(rpc_id: bytes) -> bytes:
    """Stops a run."""
    return encode_line(b"HALT", rpc_id)


def encode_gauge_query(tag: bytes) -> bytes:
    """Asks for the gauges; the answer bears the same tag."""
    return encode_line(b"STAT", tag)


def encode_self_test(tag: bytes) -> bytes:
    """Asks the engine to do a piece of work for a deep health check."""
    return encode_line(b"TEST", tag)
