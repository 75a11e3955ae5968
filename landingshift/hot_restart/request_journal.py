"""The request journal: what the new process does on probation, readable by the old one even after a kill.

It lies in memory that both processes map: a memfd, which goes over the channel.

Guarantee: a record is written before what it tells is acted on, and counts once its end is stored, in one
store of eight bytes. A kill in between leaves out only what was not done yet. Nothing is overwritten.
Failure mode: a full journal takes no more (`JournalFullError`), and the new process must stop reading. What
the machine itself loses is lost.
"""

from __future__ import annotations

import mmap
import os
import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from landingshift.hot_restart.errors import InvalidJournalError, JournalFullError

MAGIC = b"lsjournl"
HEADER = struct.Struct("=8sQ")  # magic, bytes of whole records
RECORD_HEADER = struct.Struct("=BQI")  # kind, subject, length of the data
USED_BYTES = struct.Struct("=Q")
USED_BYTES_OFFSET = 8  # in the header
MEMFD_NAME = "landingshift-journal"


class RecordKind(IntEnum):
    """What a record tells; the numbers are the stored ones."""

    CONNECTION_ACCEPTED = 1
    BYTES_READ = 2  # from a connection, before they are looked at
    RPC_ANSWERED = 3  # before the first byte of the answer goes out
    BYTES_SENT = 4  # how many bytes of a connection have gone in all
    CONNECTION_CLOSED = 5
    ENGINE_COMMAND = 6  # before it goes to the engine
    ENGINE_NOTICE = 7  # read from the engine


class JournalRecord(NamedTuple):
    """One record as it was read.

    Attributes:
        end_offset: Behind the record, from where `read` goes on.
        kind: What it tells.
        subject_id: The connection's number; for RPCs their number in the state that was transferred.
        data: What belongs to it.
    """

    end_offset: int
    kind: RecordKind
    subject_id: int
    data: bytes


class RequestJournal:
    """The journal, for the process that writes it and for the one that reads it.

    Args:
        descriptor: Descriptor of the shared memory; the journal owns it from now on.
        capacity_bytes: Size of the memory, with the header.
        is_new: Whether the memory is to be made a journal, not read as one.

    Raises:
        InvalidJournalError: For memory that holds no journal of that size.
    """

    def __init__(self, descriptor: int, capacity_bytes: int, is_new: bool) -> None:
        self._descriptor = descriptor
        self._capacity_bytes = capacity_bytes
        if is_new:
            os.ftruncate(descriptor, capacity_bytes)
        else:
            size_bytes = os.fstat(descriptor).st_size
            if size_bytes != capacity_bytes:
                raise InvalidJournalError.of_size(size_bytes, capacity_bytes)
        self.memory = mmap.mmap(descriptor, capacity_bytes)
        if is_new:
            self.memory[: HEADER.size] = HEADER.pack(MAGIC, 0)
        elif self.memory[: len(MAGIC)] != MAGIC:
            self.memory.close()
            raise InvalidJournalError

    @classmethod
    def create(cls, capacity_bytes: int) -> RequestJournal:
        """Returns an empty journal in new memory."""
        return cls(os.memfd_create(MEMFD_NAME, os.MFD_CLOEXEC), capacity_bytes, is_new=True)

    @classmethod
    def open(cls, descriptor: int, capacity_bytes: int) -> RequestJournal:
        """Returns the journal that another process has made. Raises InvalidJournalError."""
        return cls(descriptor, capacity_bytes, is_new=False)

    @property
    def used_bytes(self) -> int:
        """Bytes of whole records, no more than there can be."""
        stored_count: int = USED_BYTES.unpack_from(self.memory, USED_BYTES_OFFSET)[0]
        return min(stored_count, self._capacity_bytes - HEADER.size)

    @property
    def free_bytes(self) -> int:
        """The longest data that a further record may have."""
        return self._capacity_bytes - HEADER.size - self.used_bytes - RECORD_HEADER.size

    def write(self, kind: RecordKind, subject_id: int, data: bytes = b"") -> None:
        """Writes a record; called before what it tells is done.

        Raises:
            JournalFullError: Where there is no space; what was to be recorded may not be done.
        """
        if len(data) > self.free_bytes:
            raise JournalFullError(len(data), self.free_bytes, self._capacity_bytes)
        used_bytes = self.used_bytes
        record_start = HEADER.size + used_bytes
        data_start = record_start + RECORD_HEADER.size
        RECORD_HEADER.pack_into(self.memory, record_start, kind, subject_id, len(data))
        self.memory[data_start : data_start + len(data)] = data
        # Only this store makes the record count.
        USED_BYTES.pack_into(self.memory, USED_BYTES_OFFSET, used_bytes + RECORD_HEADER.size + len(data))

    def read(self, start_offset: int = 0) -> Iterator[JournalRecord]:
        """Yields the whole records from an offset on; stops at what is no record.

        Args:
            start_offset: 0, or the `end_offset` of the last record that was read.
        """
        position = HEADER.size + start_offset
        end = HEADER.size + self.used_bytes
        while position + RECORD_HEADER.size <= end:
            kind, subject_id, length = RECORD_HEADER.unpack_from(self.memory, position)
            data_start = position + RECORD_HEADER.size
            data_end = data_start + length
            if data_end > end or kind not in RecordKind.__members__.values():
                return
            data = self.memory[data_start:data_end]
            yield JournalRecord(data_end - HEADER.size, RecordKind(kind), subject_id, data)
            position = data_end

    def close(self) -> None:
        """Unmaps the memory and closes the descriptor."""
        self.memory.close()
        os.close(self._descriptor)
