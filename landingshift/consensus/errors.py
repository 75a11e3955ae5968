"""Errors of the consensus package."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class ConsensusError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidMessageError(ConsensusError):
    """A peer sent bytes that are no Raft message."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"no Raft message: {reason}")


class RaftLogError(ConsensusError):
    """The log file must not be used; the text names the file and the problem."""


class ForeignLogError(RaftLogError):
    """The log file belongs to another fleet or server, or is no log file at all."""

    def __init__(self, path: str, found: bytes, expected_header: bytes) -> None:
        self.path, self.found, self.expected_header = path, found, expected_header
        expected = expected_header.decode().strip()
        super().__init__(f"{path}: {found!r} is not the journal of {expected}")


class DamagedLogError(RaftLogError):
    """A frame before the last one fails its checksum."""

    def __init__(self, path: str, offset: int, frame_number: int) -> None:
        self.path, self.offset, self.frame_number = path, offset, frame_number
        super().__init__(f"{path}: damaged at byte {offset}, frame {frame_number}")


class LostFrameError(RaftLogError):
    """The log file lacks a frame that was synced to it."""

    def __init__(self, path: str, frame_count: int) -> None:
        self.path, self.frame_count = path, frame_count
        super().__init__(
            f"{path}: frame {frame_count} was synced and is gone: this voter may have forgotten a "
            f"promise and must be replaced, not restarted"
        )


class EntryOrderError(RaftLogError):
    """A record appends an entry that does not follow the last one."""

    def __init__(self, index: int, last_index: int) -> None:
        self.index, self.last_index = index, last_index
        super().__init__(f"entry {index} stands after {last_index}")


class UnknownRecordError(RaftLogError):
    """A record of a kind that this build does not know."""

    def __init__(self, record_start: list[object]) -> None:
        self.record_start = record_start
        super().__init__(f"no such record: {record_start!r}")
