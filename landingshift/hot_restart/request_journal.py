"""The request journal: a log of the operations that the new process performs on probation.

The journal is in shared memory (a memfd passed over the channel), so the old process can read it even if the
new process has been killed.

Guarantee: if the new process writes each record before the operation that it describes, the journal contains
every operation that was performed. A record becomes valid by a single 8-byte store of the used length. A kill
before that store loses only the record of an operation that had not begun. Records are never overwritten.
Failure mode: writing to a full journal raises `JournalFullError`, and the new process must stop reading its
sockets. The journal does not survive a crash of the machine.
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
HEADER = struct.Struct("=8sQ")  # magic, total length of complete records
RECORD_HEADER = struct.Struct("=BQI")  # kind, subject id, length of the data
USED_BYTES = struct.Struct("=Q")
USED_BYTES_OFFSET = 8  # offset of the length field in `HEADER`
MEMFD_NAME = "landingshift-journal"


class RecordKind(IntEnum):
    """The operation that a record describes. The values are part of the stored format."""

    CONNECTION_ACCEPTED = 1
    BYTES_READ = 2  # from a connection; written before the bytes are parsed
    RPC_ANSWERED = 3  # written before the first byte of the answer is sent
    BYTES_SENT = 4  # total number of bytes sent on a connection
    CONNECTION_CLOSED = 5
    ENGINE_COMMAND = 6  # written before the command is sent
    ENGINE_NOTICE = 7  # received from the engine


class JournalRecord(NamedTuple):
    """A record read from the journal.

    Attributes:
        end_offset: The offset of the next record, for use as the `start_offset` of `read`.
        kind: The operation that the record describes.
        subject_id: The number of the connection or, for an RPC, its index in `StoredState.rpcs`.
        data: The content of the record, in a format that depends on `kind`.
    """

    end_offset: int
    kind: RecordKind
    subject_id: int
    data: bytes


class RequestJournal:
    """The request journal. The new process writes it; the old process reads it.

    Args:
        descriptor: The descriptor of the shared memory. The journal takes ownership unless the
            constructor raises.
        capacity_bytes: The size of the memory, including the header.
        is_new: Whether to initialize the memory as an empty journal instead of opening an existing one.

    Raises:
        InvalidJournalError: If the memory to open does not contain a journal of that size.
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
        """Creates an empty journal in new shared memory."""
        return cls(os.memfd_create(MEMFD_NAME, os.MFD_CLOEXEC), capacity_bytes, is_new=True)

    @classmethod
    def open(cls, descriptor: int, capacity_bytes: int) -> RequestJournal:
        """Opens the journal that another process has created.

        Raises:
            InvalidJournalError: If the memory does not contain a journal of that size.
        """
        return cls(descriptor, capacity_bytes, is_new=False)

    @property
    def used_bytes(self) -> int:
        """The total length of complete records; at most the length of the memory after the header."""
        stored_bytes: int = USED_BYTES.unpack_from(self.memory, USED_BYTES_OFFSET)[0]
        return min(stored_bytes, self._capacity_bytes - HEADER.size)

    @property
    def free_bytes(self) -> int:
        """The maximum data length of another record; negative if not even its header fits."""
        return self._capacity_bytes - HEADER.size - self.used_bytes - RECORD_HEADER.size

    def write(self, kind: RecordKind, subject_id: int, data: bytes = b"") -> None:
        """Appends a record; call this before performing the operation that the record describes.

        Raises:
            JournalFullError: If there is no space. The caller must not perform the operation.
        """
        if len(data) > self.free_bytes:
            raise JournalFullError(len(data), self.free_bytes, self._capacity_bytes)
        used_bytes = self.used_bytes
        record_start = HEADER.size + used_bytes
        data_start = record_start + RECORD_HEADER.size
        RECORD_HEADER.pack_into(self.memory, record_start, kind, subject_id, len(data))
        self.memory[data_start : data_start + len(data)] = data
        # This store makes the record valid: a writer killed before it leaves no partial record.
        USED_BYTES.pack_into(self.memory, USED_BYTES_OFFSET, used_bytes + RECORD_HEADER.size + len(data))

    def read(self, start_offset: int = 0) -> Iterator[JournalRecord]:
        """Yields the complete records that begin at or after `start_offset`; stops at an invalid record.

        Args:
            start_offset: 0 for the first record, or the `end_offset` of the last record that was read.
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
