"""Recovery of the persistent state from a log file, which distinguishes an unfinished write from damage.

Guarantee: an incomplete last frame is dropped; it was never synced, so no message depends on it. Damage
before it raises an error with its position. Failure mode: a log file that is restored from an old backup
together with its seal is not detected.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

from landingshift.consensus.errors import DamagedLogError, ForeignLogError
from landingshift.consensus.log_records import (
    FRAME_HEADER_BYTES,
    INITIAL_CHECKSUM,
    LENGTH_BYTES,
    apply_record,
    decode_records,
)
from landingshift.consensus.persistent_state import PersistentState

MAX_FRAME_BYTES = 16 << 20  # a larger length means an incompletely written frame header
MAX_SHOWN_BYTES = 80  # from the start of the file, in the error for a foreign file


@dataclass(slots=True)
class RecoveredLog:
    """Contents of a log file.

    Attributes:
        state: Persistent state after the last complete frame.
        end_offset: Byte offset at which that frame ends; 0 if the file header is incomplete.
        checksum: Checksum of all frames up to and including that frame.
        frame_count: Number of complete frames.
    """

    state: PersistentState = field(default_factory=PersistentState)
    end_offset: int = 0
    checksum: int = INITIAL_CHECKSUM
    frame_count: int = 0


def recover_log(data: bytes, header: bytes, path: str) -> RecoveredLog:
    """Recovers the state from the contents of a log file.

    Args:
        data: Contents of the file.
        header: Header that the file must start with.
        path: Path of the file, for error messages.

    Raises:
        RaftLogError: The file belongs to another fleet or server, or is damaged before its last frame.
    """
    log = RecoveredLog()
    if not data.startswith(header):
        is_header_incomplete = len(data) < len(header) and header.startswith(data)
        if is_header_incomplete:
            return log
        raise ForeignLogError(path, data[:MAX_SHOWN_BYTES], header)
    log.end_offset = len(header)
    while log.end_offset < len(data) and _read_frame(data, log, path):
        pass
    return log


def _read_frame(data: bytes, log: RecoveredLog, path: str) -> bool:
    """Applies the frame at `log.end_offset`; returns False if it is an incomplete last frame."""
    offset = log.end_offset
    body_offset = offset + FRAME_HEADER_BYTES
    body_bytes = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
    stored_checksum = int.from_bytes(data[offset + LENGTH_BYTES : body_offset], "big")
    body = data[body_offset : body_offset + body_bytes]
    checksum = zlib.crc32(body, log.checksum)
    is_complete = len(data) >= body_offset and len(body) == body_bytes
    if not is_complete or checksum != stored_checksum:
        is_last = body_offset + body_bytes >= len(data)
        if not is_last and body_bytes <= MAX_FRAME_BYTES:
            raise DamagedLogError(path, offset, log.frame_count)
        return False
    for record in decode_records(body):
        apply_record(log.state, record)
    log.end_offset = body_offset + body_bytes
    log.checksum = checksum
    log.frame_count += 1
    return True
