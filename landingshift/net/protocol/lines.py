"""Encodes and decodes the lines of the engine and database protocols.

A line consists of tokens separated by spaces and ends with CR LF. Some lines are followed by a body and
another CR LF; the last token of such a line is the length of the body in bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from landingshift.errors import LandingshiftError

MAX_LINE_BYTES = 512
MAX_BODY_BYTES = 1 << 16
MAX_NUMBER_DIGITS = 9
LINE_END = b"\r\n"


class ProtocolError(LandingshiftError):
    """A peer violated its protocol.

    Attributes:
        reason: A reason code, which appears in the log when the connection is closed.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_number(token: bytes) -> int:
    """Returns the non-negative integer that `token` contains.

    Raises:
        ProtocolError: `token` is not a decimal integer, or has too many digits.
    """
    if not token.isdigit() or len(token) > MAX_NUMBER_DIGITS:
        raise ProtocolError("bad_number")
    return int(token)


class LineDecoder:
    """Splits a byte stream into lines, and each line into its tokens and body.

    Args:
        has_body: Returns whether a body follows a line with the given tokens.
        empty_body_has_line_end: If True, an empty body must be followed by a line end like any other body. If
            False, the line end after an empty body can be missing.
    """

    def __init__(
        self, has_body: Callable[[list[bytes]], bool], empty_body_has_line_end: bool = False
    ) -> None:
        self.has_body = has_body
        self.empty_body_has_line_end = empty_body_has_line_end
        self.buffer = bytearray()  # received bytes of an incomplete line or body

    def feed(self, data: bytes) -> Iterator[tuple[list[bytes], bytes]]:
        """Adds received bytes and yields the tokens and the body of each complete line.

        Raises:
            ProtocolError: The bytes after the lines yielded so far are malformed.
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
                if tokens != [b""]:  # skips the line end after an empty body
                    yield tokens, body
        finally:
            del self.buffer[:start]

    def _body_end(self, tokens: list[bytes], body_start: int) -> int:
        """Returns the buffer index after the body and its line end.

        For an empty body that needs no line end, this is `body_start`.
        """
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
    """Encodes one line; if `body` is given, the body's length becomes the last token and the body follows."""
    if body is None:
        return b" ".join(tokens) + LINE_END
    return b"%b %d\r\n%b\r\n" % (b" ".join(tokens), len(body), body)
