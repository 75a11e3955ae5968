"""Records of the log file: what a change of the persistent state is on disk, and back.

The only module that knows the records and frames. A frame is four bytes of length, four of a checksum, and a
MessagePack list of records; the checksum is chained from frame to frame, so that a frame of another place or
time does not fit.
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
    """First element of a record, as it is on disk; the others follow."""

    TERM_AND_VOTE = 0  # term, voted_for
    APPEND = 1  # index, term, data
    TRUNCATE = 2  # the last index that stays
    SNAPSHOT = 3  # last included index and term, snapshot, voters (not in files of older builds)


@dataclass(slots=True, frozen=True)
class SavedImage:
    """What is on disk. Entries never change, so that a copy of the list will do."""

    term: int
    voted_for: str
    last_included_index: int
    entries: list[LogEntry]

    @classmethod
    def of(cls, state: PersistentState) -> SavedImage:
        """Image of a state that has just been saved or read."""
        return cls(state.term, state.voted_for, state.last_included_index, list(state.entries))


def records_of_change(saved: SavedImage, state: PersistentState) -> list[Record]:
    """Records that bring what is on disk to `state`; empty where nothing differs."""
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


def full_records(state: PersistentState) -> list[Record]:
    """Records that make up `state` from nothing."""
    return [_term_record(state), _snapshot_record(state), *_append_records(state, 0)]


def _term_record(state: PersistentState) -> Record:
    return [RecordKind.TERM_AND_VOTE, state.term, state.voted_for]


def _snapshot_record(state: PersistentState) -> Record:
    index, term = state.last_included_index, state.last_included_term
    return [RecordKind.SNAPSHOT, index, term, state.snapshot, list(state.voters)]


def _append_records(state: PersistentState, from_position: int) -> list[Record]:
    first_index = state.last_included_index + from_position + 1
    return [
        [RecordKind.APPEND, index, entry.term, entry.data]
        for index, entry in enumerate(state.entries[from_position:], first_index)
    ]


def _common_prefix_count(saved: list[LogEntry], current: list[LogEntry]) -> int:
    count = 0
    while count < min(len(saved), len(current)) and saved[count] == current[count]:
        count += 1
    return count


def apply_record(state: PersistentState, record: Record) -> None:
    """Makes the change of one record.

    Raises:
        EntryOrderError: The record appends an entry that does not follow the last one.
        UnknownRecordError: A record of no known kind.
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
            state.voters = _voters_of(voters)
            state.entries = state.entries[covered_count:] if covered_count > 0 else []
            state.last_included_index = index
            state.last_included_term = term
            state.snapshot = snapshot
        case _:
            raise UnknownRecordError(record[:1])


def _voters_of(optional_field: list[object]) -> tuple[str, ...]:
    """Voters of a snapshot record; empty where an older build left the field out."""
    if not optional_field:
        return ()
    return tuple(msgspec.convert(optional_field[0], list[str]))


@dataclass(slots=True, frozen=True)
class Frame:
    """One save on disk.

    Attributes:
        data: Bytes for the file, header included.
        checksum: Chained checksum up to and with this frame.
    """

    data: bytes
    checksum: int


def encode_frame(records: list[Record], previous_checksum: int) -> Frame:
    """Frame of the records, to stand after a frame with `previous_checksum`."""
    body = msgspec.msgpack.encode(records)
    checksum = zlib.crc32(body, previous_checksum)
    header = len(body).to_bytes(LENGTH_BYTES, "big") + checksum.to_bytes(CHECKSUM_BYTES, "big")
    return Frame(header + body, checksum)


def decode_records(body: bytes) -> list[Record]:
    """Records of a frame whose checksum is right."""
    return msgspec.msgpack.decode(body, type=list[list[object]])
