"""Names of any bytes as text and back: printable UTF-8 as it is, all else as \\xNN."""

from __future__ import annotations

import re

ESCAPE = re.compile(rb"\\(?:x([0-9a-f]{2})|(\\))")


def shown(name: bytes) -> str:
    out = []
    for ch in name.decode("utf-8", "surrogateescape"):
        if ch == "\\":
            out.append("\\\\")
        elif ch.isprintable():
            out.append(ch)
        else:
            out += [f"\\x{byte:02x}" for byte in ch.encode("utf-8", "surrogateescape")]
    return "".join(out)


def taken(text: str) -> bytes:
    """The bytes that `shown` gave this text for."""
    return ESCAPE.sub(
        lambda m: bytes((int(m.group(1), 16),)) if m.group(1) else b"\\",
        text.encode("utf-8", "surrogateescape"),
    )
