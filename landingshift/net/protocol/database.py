"""The calls to the shared database and its replies."""

from __future__ import annotations

from collections.abc import Iterator

from landingshift.admission.interface import Outcome
from landingshift.net.protocol.lines import LineDecoder, ProtocolError, encode_line

ENDS = {
    b"ROWS": Outcome.OK,
    b"FULL": Outcome.REJECTED,
    b"FAIL": Outcome.ABORTED,
    b"TIMEOUT": Outcome.NO_RESPONSE,
    b"NONE": Outcome.NO_CONNECTION,  # it proves as much: the call never ran
}


def has_body(words: list[bytes]) -> bool:
    return len(words) == 3 and words[1] == b"ROWS"


class ReplyDecoder:
    def __init__(self) -> None:
        # A length of 0 where a body follows must not pass as an empty reply.
        self.lines = LineDecoder(has_body, strict=True)

    def feed(self, data: bytes) -> Iterator[tuple[bytes, Outcome, bytes]]:
        """Good replies are given out before a spoilt one behind them is found."""
        for words, body in self.lines.feed(data):
            if len(words) < 2 or words[1] not in ENDS or len(words) != 2 + (words[1] == b"ROWS"):
                raise ProtocolError("bad_line")
            yield words[0], ENDS[words[1]], body

    @property
    def half(self) -> bool:
        return bool(self.lines.buffer)


def call(rid: bytes, allow: float, body: bytes) -> bytes:
    return encode_line(b"Q", rid, b"%d" % max(1, round(allow)), body=body)


def give_up(rid: bytes) -> bytes:
    return encode_line(b"X", rid)
