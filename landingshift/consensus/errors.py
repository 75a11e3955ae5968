"""Errors of the consensus package."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class ConsensusError(LandingshiftError):
    """Base class of all errors of this package."""


class InvalidMessageError(ConsensusError):
    """A peer sent bytes that are not a valid Raft message."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"invalid Raft message: {reason}")


class RaftLogError(ConsensusError):
    """The log file can't be used."""


class ForeignLogError(RaftLogError):
    """The log file belongs to another fleet or server, or is not a Raft log file."""

    def __init__(self, path: str, found: bytes, expected_header: bytes) -> None:
        self.path, self.found, self.expected_header = path, found, expected_header
        expected = expected_header.decode().strip()
        super().__init__(f"{path} is not the journal of {expected}: it starts with {found!r}")


class DamagedLogError(RaftLogError):
    """A frame before the last one has a wrong checksum."""

    def __init__(self, path: str, offset: int, frame_number: int) -> None:
        self.path, self.offset, self.frame_number = path, offset, frame_number
        super().__init__(f"{path}: damaged at byte {offset}, frame {frame_number}")


class LostFrameError(RaftLogError):
    """The log file lacks a synced frame, or holds a different one in its place."""

    def __init__(self, path: str, frame_count: int) -> None:
        self.path, self.frame_count = path, frame_count
        super().__init__(
            f"{path}: frame {frame_count} was synced and is gone: this voter may have lost its vote or "
            f"acknowledged entries and must be replaced, not restarted"
        )


class EntryOrderError(RaftLogError):
    """A record appends an entry whose index does not follow the last one."""

    def __init__(self, index: int, last_index: int) -> None:
        self.index, self.last_index = index, last_index
        super().__init__(f"entry {index} does not follow the last entry, {last_index}")


class UnknownRecordError(RaftLogError):
    """A record's kind or fields are unknown to this version."""

    def __init__(self, record_start: list[object]) -> None:
        self.record_start = record_start
        super().__init__(f"unknown log record: {record_start!r}")
