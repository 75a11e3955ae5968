"""Lines of tokens that end in CR LF, some of them followed by as many bytes as their last token says."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from landingshift.errors import LandingshiftError

MAX_LINE_BYTES = 512
MAX_BODY_BYTES = 1 << 16
MAX_NUMBER_DIGITS = 9
LINE_END = b"\r\n"


class ProtocolError(LandingshiftError):
    """A peer sent bytes that are not its protocol.

    Attributes:
        reason: Reason code, as it stands in the log line of the closed connection.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_number(token: bytes) -> int:
    """The non-negative whole number that `token` spells.

    Raises:
        ProtocolError: `token` is no such number.
    """
    if not token.isdigit() or len(token) > MAX_NUMBER_DIGITS:
        raise ProtocolError("bad_number")
    return int(token)


class LineDecoder:
    """Splits a stream of bytes into lines of tokens and their bodies.

    Args:
        has_body: Whether a line of these tokens is followed by a body.
        empty_body_has_line_end: An empty body is followed by a line end, too; anything else there is an
            error. Otherwise a length of 0 may stand for no body at all.
    """

    def __init__(
        self, has_body: Callable[[list[bytes]], bool], empty_body_has_line_end: bool = False
    ) -> None:
        self.has_body = has_body
        self.empty_body_has_line_end = empty_body_has_line_end
        self.buffer = bytearray()  # bytes of a line or body that is not complete yet

    def feed(self, data: bytes) -> Iterator[tuple[list[bytes], bytes]]:
        """Yields tokens and body of each complete line.

        Raises:
            ProtocolError: What follows the lines given out so far is none.
        """
        self.buffer += data
        start = 0
        try:
            while True:
                line_end = self.buffer.find(LINE_END, start)
                if line_end < 0:
                    if len(self.buffer) - start > MAX_LINE_BYTES:
                        raise ProtocolError("long_line")
                    return
                tokens = bytes(self.buffer[start:line_end]).split(b" ")
                end = line_end + len(LINE_END)
                body = b""
                if self.has_body(tokens):
                    body_end = self._body_end(tokens, end)
                    if body_end > len(self.buffer):
                        return
                    body = self._read_body(end, body_end)
                    end = body_end
                start = end
                if tokens != [b""]:  # the line end behind an empty body
                    yield tokens, body
        finally:
            del self.buffer[:start]

    def _body_end(self, tokens: list[bytes], body_start: int) -> int:
        """The index at which the body and its line end are over; `body_start` where there is no body."""
        size = decode_number(tokens[-1])
        if size > MAX_BODY_BYTES:
            raise ProtocolError("oversized")
        if size or self.empty_body_has_line_end:
            return body_start + size + len(LINE_END)
        return body_start

    def _read_body(self, body_start: int, body_end: int) -> bytes:
        if body_start == body_end:
            return b""
        text_end = body_end - len(LINE_END)
        if self.buffer[text_end:body_end] != LINE_END:
            raise ProtocolError("bad_length")
        return bytes(self.buffer[body_start:text_end])


def encode_line(*tokens: bytes, body: bytes | None = None) -> bytes:
    """One line, with the length of `body` as its last token and the body behind it where there is one."""
    if body is None:
        return b" ".join(tokens) + LINE_END
    return b"%b %d\r\n%b\r\n" % (b" ".join(tokens), len(body), body)
