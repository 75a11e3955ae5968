r"""Reversible conversion of names to printable text: bytes that are not printable UTF-8 become \xNN."""

from __future__ import annotations

import re

_ESCAPE = re.compile(rb"\\(?:x([0-9a-f]{2})|(\\))")


def escape_name(name: bytes) -> str:
    """Returns a name as printable text; backslashes are doubled."""
    parts = []
    for character in name.decode("utf-8", "surrogateescape"):
        if character == "\\":
            parts.append("\\\\")
        elif character.isprintable():
            parts.append(character)
        else:
            parts += [f"\\x{byte:02x}" for byte in character.encode("utf-8", "surrogateescape")]
    return "".join(parts)


def unescape_name(text: str) -> bytes:
    """Returns the name that `escape_name` converted to this text."""
    return _ESCAPE.sub(_unescape_match, text.encode("utf-8", "surrogateescape"))


def _unescape_match(match: re.Match[bytes]) -> bytes:
    if match.group(1):
        return bytes((int(match.group(1), 16),))
    return b"\\"
