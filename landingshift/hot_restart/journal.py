"""What the new build reads and answers on probation, where the guardian sees it even after a kill.

Memory shared by both (a memfd that goes over the carrier). The writer puts a record behind the last and then,
in one store of eight bytes, says that it is there; a kill in between leaves the record out, and what it was
about was not done yet, since it is always written before it is acted on. Nothing is ever overwritten: full,
it takes no more.
"""

from __future__ import annotations

import mmap
import os
import struct
from collections.abc import Iterator
from enum import IntEnum

MAGIC = b"lsjournl"
HEAD = struct.Struct("=8sQ")  # magic, bytes of whole records
RECORD = struct.Struct("=BQI")  # kind, whom it is about, length
END = struct.Struct("=Q")
AT = 8  # of the count of bytes


class Kind(IntEnum):
    """`whom` is the connection's number, but for RPCs their number in the state that moved."""

    ACCEPTED = 1  # a new connection
    READ = 2  # bytes taken from a connection, before they are looked at
    ANSWERED = 3  # an answer, before its first byte goes out
    SENT = 4  # how many bytes of a connection have gone in all
    CLOSED = 5  # a connection
    SAID = 6  # a command, before it goes to the engine
    TOLD = 7  # a notice read from the engine


class Full(Exception):
    """No room: what was to be written may not be done."""


class Journal:
    """`size` bytes, for the writer and for the guardian; both map the same descriptor."""

    def __init__(self, fd: int, size: int, new: bool) -> None:
        """Takes `fd` over. Raises ValueError for memory that holds no journal."""
        self.fd, self.size = fd, size
        if new:
            os.ftruncate(fd, size)
        elif os.fstat(fd).st_size != size:
            raise ValueError(f"a journal of {os.fstat(fd).st_size} bytes, not {size}")
        self.map = mmap.mmap(fd, size)
        if new:
            self.map[: HEAD.size] = HEAD.pack(MAGIC, 0)
        elif self.map[: len(MAGIC)] != MAGIC:
            self.map.close()
            raise ValueError("no journal")

    @classmethod
    def make(cls, size: int) -> Journal:
        return cls(os.memfd_create("landingshift-journal", os.MFD_CLOEXEC), size, True)

    @property
    def used(self) -> int:
        count: int = END.unpack_from(self.map, AT)[0]
        return min(count, self.size - HEAD.size)

    @property
    def room(self) -> int:
        return self.size - HEAD.size - self.used - RECORD.size

    def write(self, kind: Kind, whom: int, data: bytes = b"") -> None:
        """Before what it says is done. Raises Full."""
        if len(data) > self.room:
            raise Full(f"{len(data)} bytes, {self.room} are left of {self.size}")
        used = self.used
        at = HEAD.size + used
        RECORD.pack_into(self.map, at, kind, whom, len(data))
        self.map[at + RECORD.size : at + RECORD.size + len(data)] = data
        END.pack_into(self.map, AT, used + RECORD.size + len(data))

    def read(self, start: int = 0) -> Iterator[tuple[int, Kind, int, bytes]]:
        """Whole records from a place on: the place after it, kind, whom, data. Stops at what is no record."""
        at, end = HEAD.size + start, HEAD.size + self.used
        while at + RECORD.size <= end:
            kind, whom, length = RECORD.unpack_from(self.map, at)
            at += RECORD.size
            if at + length > end or kind not in Kind.__members__.values():
                return
            yield at + length - HEAD.size, Kind(kind), whom, self.map[at : at + length]
            at += length

    def close(self) -> None:
        self.map.close()
        os.close(self.fd)
