"""Lines of words that end in CR LF, some of them followed by as many bytes as their last word says."""

from __future__ import annotations

from collections.abc import Callable, Iterator

LONGEST = 512
BIGGEST = 1 << 16


class ProtocolError(Exception):
    """What came is not the protocol; the text is the reason code."""


def length(word: bytes) -> int:
    if not word.isdigit() or len(word) > 9:
        raise ProtocolError("bad_number")
    return int(word)


class LineDecoder:
    """`strict`: an empty body has its line end too; anything else in its place is broken."""

    def __init__(self, has_body: Callable[[list[bytes]], bool], strict: bool = False) -> None:
        self.has_body, self.strict = has_body, strict
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[list[bytes], bytes]]:
        self.buffer += data
        at = 0
        try:
            while True:
                end = self.buffer.find(b"\r\n", at)
                if end < 0:
                    if len(self.buffer) - at > LONGEST:
                        raise ProtocolError("long_line")
                    return
                words = bytes(self.buffer[at:end]).split(b" ")
                after = end + 2
                body = b""
                if self.has_body(words):
                    size = length(words[-1])
                    if size > BIGGEST:
                        raise ProtocolError("oversized")
                    if size or self.strict:
                        if len(self.buffer) < after + size + 2:
                            return
                        if self.buffer[after + size : after + size + 2] != b"\r\n":
                            raise ProtocolError("bad_length")
                        body = bytes(self.buffer[after : after + size])
                        after += size + 2
                at = after
                if words != [b""]:  # the end of an empty body
                    yield words, body
        finally:
            del self.buffer[:at]


def encode_line(*words: bytes, body: bytes | None = None) -> bytes:
    if body is None:
        return b" ".join(words) + b"\r\n"
    return b"%b %d\r\n%b\r\n" % (b" ".join(words), len(body), body)
