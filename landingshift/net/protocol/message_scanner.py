"""Finds the end of a MessagePack message whose bytes arrive in pieces, without decoding it for each piece.

Guarantee: each byte is examined at most once, and at most `MAX_ELEMENTS` elements are examined. The work for
a message therefore does not depend on the number of pieces in which it arrives. A message with more elements
never counts as complete.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

MAX_ELEMENTS = 512  # a request with all its fields has a quarter of this
MAX_ENTRIES = 64  # of one array or map


class ScanState(Enum):
    """What is known about a message after some of its bytes were scanned."""

    INCOMPLETE = 1
    COMPLETE = 2
    MALFORMED = 3


class ElementFormat(NamedTuple):
    """The format of an element of a message, which its first byte determines.

    Attributes:
        payload_bytes: The number of bytes after the first byte; without the content if `length_bytes` is set.
        children: The number of elements inside it, if the first byte states it.
        length_bytes: The size of the length that follows the first byte; 0 if there is none.
        children_per_entry: What the length counts: 0 bytes of content, 1 elements of an array, 2 entries of a
            map, each of which has two elements.
    """

    payload_bytes: int = 0
    children: int = 0
    length_bytes: int = 0
    children_per_entry: int = 0


def _element_formats() -> list[ElementFormat | None]:
    """Returns the format for each first byte; None for bytes that no accepted message contains."""
    formats: list[ElementFormat | None] = [ElementFormat()] * 256  # integers that fit into one byte
    for count in range(16):
        formats[0x80 + count] = ElementFormat(children=2 * count)
        formats[0x90 + count] = ElementFormat(children=count)
    for length in range(32):
        formats[0xA0 + length] = ElementFormat(payload_bytes=length)
    # 0xC0, 0xC2 and 0xC3 are nil and booleans without a payload.
    formats[0xC1] = None
    for first_byte in (*range(0xC7, 0xCA), *range(0xD4, 0xD9)):
        formats[first_byte] = None  # extension types
    for exponent in range(3):
        formats[0xC4 + exponent] = ElementFormat(length_bytes=1 << exponent)
        formats[0xD9 + exponent] = ElementFormat(length_bytes=1 << exponent)
    formats[0xCA] = ElementFormat(payload_bytes=4)
    formats[0xCB] = ElementFormat(payload_bytes=8)
    for exponent in range(4):
        formats[0xCC + exponent] = ElementFormat(payload_bytes=1 << exponent)
        formats[0xD0 + exponent] = ElementFormat(payload_bytes=1 << exponent)
    for exponent in range(2):
        formats[0xDC + exponent] = ElementFormat(length_bytes=2 << exponent, children_per_entry=1)
        formats[0xDE + exponent] = ElementFormat(length_bytes=2 << exponent, children_per_entry=2)
    return formats


ELEMENT_FORMATS = _element_formats()


class MessageScanner:
    """Scans one message from its first byte.

    Attributes:
        position: The offset of the next element; beyond the received bytes if its content is incomplete.
        pending_elements: The number of elements that are still to come.
        element_count: The number of elements that were scanned.
    """

    __slots__ = ("element_count", "pending_elements", "position")

    def __init__(self) -> None:
        self.position = 0
        self.pending_elements = 1
        self.element_count = 0

    def scan(self, data: bytes) -> ScanState:
        """Continues the scan; `data` is the message as far as it was received."""
        size = len(data)
        while self.pending_elements and self.position < size:
            element = ELEMENT_FORMATS[data[self.position]]
            if self.element_count >= MAX_ELEMENTS:
                return ScanState.INCOMPLETE
            if element is None:
                return ScanState.MALFORMED
            end = self.position + 1 + element.length_bytes
            if end > size:
                return ScanState.INCOMPLETE
            children = element.children
            content_bytes = element.payload_bytes
            if element.length_bytes:
                length = int.from_bytes(data[self.position + 1 : end], "big")
                if element.children_per_entry and length > MAX_ENTRIES:
                    return ScanState.MALFORMED
                children = length * element.children_per_entry
                content_bytes = 0 if element.children_per_entry else length
            self.position = end + content_bytes
            self.pending_elements += children - 1
            self.element_count += 1
        is_complete = not self.pending_elements and self.position <= size
        return ScanState.COMPLETE if is_complete else ScanState.INCOMPLETE
