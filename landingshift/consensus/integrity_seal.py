"""The integrity seal beside a log file: names the last frame that was synced.

Guarantee: a disk that lost an acknowledged frame, or a file put back from an older copy, is noticed at the
next start. Not synced itself: it is for a disk that loses what it had acknowledged, and a kill of the process
leaves it right. Failure mode: without a seal, or with an older one, only the log's own checksums speak.
"""

from __future__ import annotations

import os

import msgspec

from landingshift.consensus.errors import LostFrameError
from landingshift.consensus.log_recovery import RecoveredLog

SEAL_SUFFIX = ".seal"


class IntegritySeal:
    """The seal of one log file."""

    def __init__(self, log_path: str, log_header: bytes) -> None:
        self._log_path = log_path
        self._log_header = log_header
        self._path = log_path + SEAL_SUFFIX

    def check(self, log: RecoveredLog) -> None:
        """Compares the log with its seal; a missing or unreadable seal says nothing.

        Raises:
            LostFrameError: A frame that was synced is gone or another one.
        """
        try:
            with open(self._path, "rb") as file:
                sealed = msgspec.msgpack.decode(file.read(), type=tuple[int, int, bytes])
        except (OSError, msgspec.DecodeError):
            return  # a kill between frame and seal, or an older copy without one
        frame_count, checksum, header = sealed
        is_frame_lost = frame_count > log.frame_count
        is_frame_other = frame_count == log.frame_count and checksum != log.checksum
        if header == self._log_header and (is_frame_lost or is_frame_other):
            raise LostFrameError(self._log_path, frame_count)

    def write(self, frame_count: int, checksum: int) -> None:
        """Names the frame that has just been synced."""
        temporary_path = self._path + ".new"
        with open(temporary_path, "wb") as file:
            file.write(msgspec.msgpack.encode((frame_count, checksum, self._log_header)))
        os.replace(temporary_path, self._path)

    def remove(self) -> None:
        """Takes the seal away, before the log that it speaks of is replaced."""
        if os.path.exists(self._path):
            os.unlink(self._path)
