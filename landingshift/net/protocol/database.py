"""Encodes calls to the shared database and decodes its replies."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from landingshift.admission.interface import Outcome
from landingshift.net.protocol.lines import LineDecoder, ProtocolError, encode_line

STATUS_WITH_BODY = b"ROWS"
OUTCOME_BY_STATUS = {
    STATUS_WITH_BODY: Outcome.OK,
    b"FULL": Outcome.REJECTED,
    b"FAIL": Outcome.ABORTED,
    b"TIMEOUT": Outcome.NO_RESPONSE,
    b"NONE": Outcome.NO_CONNECTION,  # this status proves, like a failed connection, that the call never ran
}


@dataclass(slots=True)
class Reply:
    """The database's reply to one call."""

    rpc_id: bytes
    outcome: Outcome
    rows: bytes  # empty unless the outcome is OK


def _has_body(tokens: list[bytes]) -> bool:
    return len(tokens) == 3 and tokens[1] == STATUS_WITH_BODY


class ReplyDecoder:
    """Decodes the replies that arrive on one connection to the database."""

    def __init__(self) -> None:
        # Requiring a line end after an empty body detects a body whose length is wrongly given as 0.
        self.line_decoder = LineDecoder(_has_body, empty_body_has_line_end=True)

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Adds received bytes and yields the replies that are complete.

        Raises:
            ProtocolError: The bytes after the replies yielded so far are malformed.
        """
        for tokens, body in self.line_decoder.feed(data):
            if len(tokens) < 2 or tokens[1] not in OUTCOME_BY_STATUS:
                raise ProtocolError("bad_line")
            if len(tokens) != 2 + (tokens[1] == STATUS_WITH_BODY):
                raise ProtocolError("bad_line")
            yield Reply(tokens[0], OUTCOME_BY_STATUS[tokens[1]], body)

    @property
    def has_partial_reply(self) -> bool:
        """Returns whether part of an incomplete reply has arrived."""
        return bool(self.line_decoder.buffer)


def encode_call(rpc_id: bytes, timeout_ms: float, request: bytes) -> bytes:
    """Encodes a call for an RPC; the database should reply within `timeout_ms`."""
    return encode_line(b"Q", rpc_id, b"%d" % max(1, round(timeout_ms)), body=request)


def encode_cancel(rpc_id: bytes) -> bytes:
    """Encodes the cancellation of an RPC's call, for use when the call's reply is no longer needed."""
    return encode_line(b"X", rpc_id)
