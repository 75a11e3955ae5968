"""A voter's persistent state on disk: one file, a frame for each save.

Guarantee: after `save` returns, a crash of process or machine loses nothing; after `OSError` the file is as
it was and the save may be tried again. Failure mode: a disk that lies about syncs, which the integrity seal
notices at the next start; a voter that forgot a promise must not come back under its name.
"""

from __future__ import annotations

import os

from landingshift import failpoints
from landingshift.consensus.integrity_seal import IntegritySeal
from landingshift.consensus.log_records import (
    INITIAL_CHECKSUM,
    SavedImage,
    encode_frame,
    full_records,
    records_of_change,
)
from landingshift.consensus.log_recovery import recover_log
from landingshift.consensus.persistent_state import PersistentState

HEADER_PREFIX = b"landingshift-agreement 1 "  # format and version; fleet and server follow
MAX_LOG_FILE_BYTES = 8 << 20  # then the file is rewritten with what still counts
READ_CHUNK_BYTES = 1 << 20
FILE_MODE = 0o644


class RaftLogFile:
    """The log file of one voter.

    Attributes:
        path: Where it lies.
        persistent_state: What it held when it was opened.
        file_descriptor: Open for reading and writing.
        end_offset: Where the last frame ends, in bytes.
    """

    def __init__(self, path: str, fleet: str, server: str) -> None:
        """Opens or creates the file.

        Args:
            path: Where it lies; the seal and temporary files lie beside it.
            fleet: Whose it is, for the header.
            server: Whose it is, for the header.

        Raises:
            RaftLogError: It must not be used.
            OSError: It can't be opened.
        """
        self.path = path
        self._header = HEADER_PREFIX + f"{fleet} {server}\n".encode()
        self._seal = IntegritySeal(path, self._header)
        self.file_descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            log = recover_log(_read_all(self.file_descriptor), self._header, path)
            self._seal.check(log)
            self.persistent_state = log.state
            self.end_offset = log.end_offset
            self._checksum = log.checksum
            self._frame_count = log.frame_count
            os.ftruncate(self.file_descriptor, self.end_offset)
            if self.end_offset == 0:
                self._write_header()
        except BaseException:
            os.close(self.file_descriptor)
            raise
        self._saved = SavedImage.of(self.persistent_state)

    def save(self, state: PersistentState) -> None:
        """Writes what differs from the last save, and syncs it.

        Raises:
            OSError: The disk took nothing; the file is as it was.
        """
        records = records_of_change(self._saved, state)
        if not records:
            return
        frame = encode_frame(records, self._checksum)
        if self.end_offset + len(frame.data) > MAX_LOG_FILE_BYTES:
            self.rewrite(state)
            return
        try:
            os.lseek(self.file_descriptor, self.end_offset, os.SEEK_SET)
            _write_all(self.file_descriptor, frame.data)
            failpoints.reach("policies.written")
            os.fsync(self.file_descriptor)
        except OSError:
            # A part of a frame must not stand before the next one.
            os.ftruncate(self.file_descriptor, self.end_offset)
            raise
        failpoints.reach("policies.synced")
        self.end_offset += len(frame.data)
        self._checksum = frame.checksum
        self._frame_count += 1
        self._saved = SavedImage.of(state)
        self._seal.write(self._frame_count, self._checksum)

    def rewrite(self, state: PersistentState) -> None:
        """One frame with all that still counts, beside the old file and then in its place.

        Raises:
            OSError: The disk took nothing; the old file is as it was.
        """
        temporary_path = self.path + ".new"
        frame = encode_frame(full_records(state), INITIAL_CHECKSUM)
        new_descriptor = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _write_all(new_descriptor, self._header + frame.data)
            os.fsync(new_descriptor)
            failpoints.reach("policies.rewritten")
            self._seal.remove()  # it speaks of the old file's frames
            os.replace(temporary_path, self.path)
        except OSError:
            os.close(new_descriptor)
            raise
        os.close(self.file_descriptor)
        self.file_descriptor = new_descriptor
        self.end_offset = len(self._header) + len(frame.data)
        self._checksum = frame.checksum
        self._frame_count = 1
        self._saved = SavedImage.of(state)
        self._seal.write(self._frame_count, self._checksum)

    def close(self) -> None:
        """Closes the file; nothing is left to be written."""
        os.close(self.file_descriptor)

    def _write_header(self) -> None:
        os.lseek(self.file_descriptor, 0, os.SEEK_SET)
        os.write(self.file_descriptor, self._header)
        os.fsync(self.file_descriptor)
        self.end_offset = len(self._header)


def _read_all(file_descriptor: int) -> bytes:
    chunks = []
    os.lseek(file_descriptor, 0, os.SEEK_SET)
    while chunk := os.read(file_descriptor, READ_CHUNK_BYTES):
        chunks.append(chunk)
    return b"".join(chunks)


def _write_all(file_descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written_bytes = os.write(file_descriptor, remaining)
        remaining = remaining[written_bytes:]
