"""Opening a log file is recovery: reads its frames and tells a torn end from damage.

Guarantee: a last frame that is not complete was never synced, so that nothing rests on it, and is dropped;
damage before it is an error that names the place. Failure mode: a file and its seal restored together from an
old backup look sound.
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

MAX_FRAME_BYTES = 16 << 20  # a larger length is a torn header, not a frame
SHOWN_FILE_START_BYTES = 80  # of a file that is no log, in the error


@dataclass(slots=True)
class RecoveredLog:
    """What a log file holds.

    Attributes:
        state: Persistent state after the last complete frame.
        end_offset: Where that frame ends; 0 for a file without a complete header.
        checksum: Chained checksum up to and with that frame.
        frame_count: Complete frames.
    """

    state: PersistentState = field(default_factory=PersistentState)
    end_offset: int = 0
    checksum: int = INITIAL_CHECKSUM
    frame_count: int = 0


def recover_log(data: bytes, header: bytes, path: str) -> RecoveredLog:
    """Reads the bytes of a log file.

    Args:
        data: The whole file.
        header: What it must begin with.
        path: For error texts only.

    Raises:
        RaftLogError: The file is another's, or is damaged before its last frame.
    """
    log = RecoveredLog()
    if not data.startswith(header):
        was_killed_at_creation = len(data) < len(header) and header.startswith(data)
        if was_killed_at_creation:
            return log
        raise ForeignLogError(path, data[:SHOWN_FILE_START_BYTES], header)
    log.end_offset = len(header)
    while log.end_offset < len(data) and _read_frame(data, log, path):
        pass
    return log


def _read_frame(data: bytes, log: RecoveredLog, path: str) -> bool:
    """Applies the frame at the log's end; False where it is the torn last one."""
    offset = log.end_offset
    body_offset = offset + FRAME_HEADER_BYTES
    body_bytes = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
    stated_checksum = int.from_bytes(data[offset + LENGTH_BYTES : body_offset], "big")
    body = data[body_offset : body_offset + body_bytes]
    checksum = zlib.crc32(body, log.checksum)
    is_complete = len(data) >= body_offset and len(body) == body_bytes
    if not is_complete or checksum != stated_checksum:
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
