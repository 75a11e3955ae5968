"""Encoding and decoding of the log file's records, which describe changes of the persistent state.

This is the only module that knows the format of records and frames. A frame consists of a four-byte length, a
four-byte checksum and a MessagePack list of records. The checksum also covers all earlier frames, so that a
frame from another position or an older file is detected.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from landingshift.consensus.errors import EntryOrderError, UnknownRecordError
from landingshift.consensus.messages import LogEntry
from landingshift.consensus.persistent_state import PersistentState

LENGTH_BYTES = 4
CHECKSUM_BYTES = 4
FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
INITIAL_CHECKSUM = 0

Record = list[object]


class RecordKind(IntEnum):
    """First element of a record on disk. The comments list the fields that follow it."""

    TERM_AND_VOTE = 0  # term, voted_for
    APPEND = 1  # index, term, data
    TRUNCATE = 2  # last index that is kept
    SNAPSHOT = 3  # last included index, its term, snapshot, voters (absent in files of older versions)


@dataclass(slots=True, frozen=True)
class SavedState:
    """The parts of the state on disk that determine what the next save must write.

    A shallow copy of the entries suffices because entries are immutable.
    """

    term: int
    voted_for: str
    last_included_index: int
    entries: list[LogEntry]

    @classmethod
    def of(cls, state: PersistentState) -> SavedState:
        """Copies a state that has just been saved or read."""
        return cls(state.term, state.voted_for, state.last_included_index, list(state.entries))


def change_records(saved: SavedState, state: PersistentState) -> list[Record]:
    """Returns the records that turn the saved state into `state`; empty if they are equal."""
    records: list[Record] = []
    saved_entries = saved.entries
    if (state.term, state.voted_for) != (saved.term, saved.voted_for):
        records.append(_term_record(state))
    if state.last_included_index != saved.last_included_index:
        records.append(_snapshot_record(state))
        covered_count = state.last_included_index - saved.last_included_index
        saved_entries = saved_entries[covered_count:] if covered_count > 0 else []
    common_count = _common_prefix_count(saved_entries, state.entries)
    if common_count < len(saved_entries):
        records.append([RecordKind.TRUNCATE, state.last_included_index + common_count])
    return records + _append_records(state, common_count)


def full_state_records(state: PersistentState) -> list[Record]:
    """Returns the records that build `state` from an empty state."""
    return [_term_record(state), _snapshot_record(state), *_append_records(state, 0)]


def _term_record(state: PersistentState) -> Record:
    return [RecordKind.TERM_AND_VOTE, state.term, state.voted_for]


def _snapshot_record(state: PersistentState) -> Record:
    index, term = state.last_included_index, state.last_included_term
    return [RecordKind.SNAPSHOT, index, term, state.snapshot, list(state.voters)]


def _append_records(state: PersistentState, start: int) -> list[Record]:
    first_index = state.last_included_index + start + 1
    return [
        [RecordKind.APPEND, index, entry.term, entry.data]
        for index, entry in enumerate(state.entries[start:], first_index)
    ]


def _common_prefix_count(saved: list[LogEntry], current: list[LogEntry]) -> int:
    count = 0
    while count < min(len(saved), len(current)) and saved[count] == current[count]:
        count += 1
    return count


def apply_record(state: PersistentState, record: Record) -> None:
    """Applies the change that one record describes.

    Raises:
        EntryOrderError: The record appends an entry whose index does not follow the last one.
        UnknownRecordError: The record's kind or fields are unknown.
    """
    match record:
        case [RecordKind.TERM_AND_VOTE, int(term), str(voted_for)]:
            state.term = term
            state.voted_for = voted_for
        case [RecordKind.APPEND, int(index), int(term), bytes(data)]:
            last_index = state.last_included_index + len(state.entries)
            if index != last_index + 1:
                raise EntryOrderError(index, last_index)
            state.entries.append(LogEntry(term, data))
        case [RecordKind.TRUNCATE, int(index)]:
            del state.entries[max(0, index - state.last_included_index) :]
        case [RecordKind.SNAPSHOT, int(index), int(term), bytes(snapshot), *voters]:
            covered_count = index - state.last_included_index
            state.voters = _decode_voters(voters)
            state.entries = state.entries[covered_count:] if covered_count > 0 else []
            state.last_included_index = index
            state.last_included_term = term
            state.snapshot = snapshot
        case _:
            raise UnknownRecordError(record[:1])


def _decode_voters(optional_field: list[object]) -> tuple[str, ...]:
    """Returns the voters of a snapshot record; empty if an older version wrote it without them."""
    if not optional_field:
        return ()
    return tuple(msgspec.convert(optional_field[0], list[str]))


@dataclass(slots=True, frozen=True)
class Frame:
    """The bytes that one save adds to the log file.

    Attributes:
        data: Bytes of the frame, including its header.
        checksum: Checksum of all frames up to and including this one.
    """

    data: bytes
    checksum: int


def encode_frame(records: list[Record], previous_checksum: int) -> Frame:
    """Encodes records as a frame that follows a frame with `previous_checksum`."""
    body = msgspec.msgpack.encode(records)
    checksum = zlib.crc32(body, previous_checksum)
    header = len(body).to_bytes(LENGTH_BYTES, "big") + checksum.to_bytes(CHECKSUM_BYTES, "big")
    return Frame(header + body, checksum)


def decode_records(body: bytes) -> list[Record]:
    """Decodes the body of a frame whose checksum has been verified."""
    return msgspec.msgpack.decode(body, type=list[list[object]])
