"""The integrity seal: a small file beside the log file that identifies the last synced frame.

Guarantee: the next start detects a disk that lost an acknowledged frame, or a log restored from an older
copy. The seal is not synced: it serves against disks that lose acknowledged data, and it stays correct when
the process is killed. Failure mode: if the seal is missing or out of date, only the checksums in the log
detect damage.
"""

from __future__ import annotations

import os

import msgspec

from landingshift.consensus.errors import LostFrameError
from landingshift.consensus.log_recovery import RecoveredLog

SEAL_SUFFIX = ".seal"


class IntegritySeal:
    """The seal file of one log file."""

    def __init__(self, log_path: str, log_header: bytes) -> None:
        self._log_path = log_path
        self._log_header = log_header
        self._path = log_path + SEAL_SUFFIX

    def check(self, log: RecoveredLog) -> None:
        """Compares the log with its seal; accepts any log if the seal is missing or unreadable.

        Raises:
            LostFrameError: A synced frame is missing, or a different one is in its place.
        """
        try:
            with open(self._path, "rb") as file:
                sealed = msgspec.msgpack.decode(file.read(), type=tuple[int, int, bytes])
        except (OSError, msgspec.DecodeError):
            return  # killed before the seal was written, or restored without a seal
        frame_count, checksum, header = sealed
        is_frame_missing = frame_count > log.frame_count
        is_frame_different = frame_count == log.frame_count and checksum != log.checksum
        if header == self._log_header and (is_frame_missing or is_frame_different):
            raise LostFrameError(self._log_path, frame_count)

    def write(self, frame_count: int, checksum: int) -> None:
        """Replaces the seal with one for the frame that was just synced."""
        temporary_path = self._path + ".new"
        with open(temporary_path, "wb") as file:
            file.write(msgspec.msgpack.encode((frame_count, checksum, self._log_header)))
        os.replace(temporary_path, self._path)

    def remove(self) -> None:
        """Removes the seal; call it before the log file is replaced."""
        if os.path.exists(self._path):
            os.unlink(self._path)
