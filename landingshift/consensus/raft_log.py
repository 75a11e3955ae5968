"""The log file that holds a voter's persistent state; each save appends one frame.

Guarantee: after `save` returns, a crash of the process or the machine loses nothing; after `OSError` the
saved state is unchanged and the save may be retried. Failure mode: a disk that reports a sync as complete but
loses the data. The integrity seal detects this at the next start; the voter must then not rejoin under its
old name, because it may have lost its vote or acknowledged entries.
"""

from __future__ import annotations

import os

from landingshift import failpoints
from landingshift.consensus.integrity_seal import IntegritySeal
from landingshift.consensus.log_records import (
    INITIAL_CHECKSUM,
    SavedState,
    change_records,
    encode_frame,
    full_state_records,
)
from landingshift.consensus.log_recovery import recover_log
from landingshift.consensus.persistent_state import PersistentState

HEADER_PREFIX = b"landingshift-agreement 1 "  # format name and version, followed by fleet and server
MAX_LOG_FILE_BYTES = 8 << 20  # a save that would exceed it rewrites the file from the current state
READ_CHUNK_BYTES = 1 << 20
FILE_MODE = 0o644


class RaftLogFile:
    """The log file of one voter.

    Attributes:
        path: Path of the file.
        persistent_state: State recovered when the file was opened.
        file_descriptor: Descriptor of the file, open for reading and writing.
        end_offset: Byte offset at which the last frame ends.
    """

    def __init__(self, path: str, fleet: str, server: str) -> None:
        """Opens the file and recovers the state, or creates the file.

        Args:
            path: Path of the file; the seal and temporary files are created in the same directory.
            fleet: Name of the fleet, checked against the header.
            server: Name of this server, checked against the header.

        Raises:
            RaftLogError: The file is damaged, lacks a synced frame or belongs to another server.
            OSError: The file can't be opened, read or written.
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
        self._saved_state = SavedState.of(self.persistent_state)

    def save(self, state: PersistentState) -> None:
        """Appends the changes since the last save as one frame and syncs the file.

        Raises:
            OSError: The write or sync failed; the saved state is unchanged.
        """
        records = change_records(self._saved_state, state)
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
            # Remove a partially written frame, so that the next save does not follow it.
            os.ftruncate(self.file_descriptor, self.end_offset)
            raise
        failpoints.reach("policies.synced")
        self.end_offset += len(frame.data)
        self._checksum = frame.checksum
        self._frame_count += 1
        self._saved_state = SavedState.of(state)
        self._seal.write(self._frame_count, self._checksum)

    def rewrite(self, state: PersistentState) -> None:
        """Writes the whole state as one frame to a new file, which then replaces the old one.

        Raises:
            OSError: The write or sync failed; the old file is unchanged.
        """
        temporary_path = self.path + ".new"
        frame = encode_frame(full_state_records(state), INITIAL_CHECKSUM)
        new_descriptor = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _write_all(new_descriptor, self._header + frame.data)
            os.fsync(new_descriptor)
            failpoints.reach("policies.rewritten")
            self._seal.remove()  # the seal describes the old file
            os.replace(temporary_path, self.path)
        except OSError:
            os.close(new_descriptor)
            raise
        os.close(self.file_descriptor)
        self.file_descriptor = new_descriptor
        self.end_offset = len(self._header) + len(frame.data)
        self._checksum = frame.checksum
        self._frame_count = 1
        self._saved_state = SavedState.of(state)
        self._seal.write(self._frame_count, self._checksum)

    def close(self) -> None:
        """Closes the file."""
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
