"""Raft's messages between voters: MessagePack arrays whose first element is a tag.

The only module that knows their encoding. `round`, in requests of a leader and their responses, numbers the
leader's heartbeat rounds; the paper has no such field.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from landingshift.consensus.errors import InvalidMessageError

MAX_BATCH_ENTRY_COUNT = 16  # entries in one AppendEntries
MAX_VOTER_COUNT = 9  # seven of the settings, and room while one is replaced
MAX_INDEX = 2**53  # what every MessagePack peer can represent exactly

Index = Annotated[int, Meta(ge=0, le=MAX_INDEX)]


class LogEntry(Struct, array_like=True, frozen=True):
    """One entry of the log.

    Attributes:
        term: Term of the leader that appended it.
        data: Command for the state machines; empty for the first entry of a term.
    """

    term: Index
    data: bytes


class RequestVote(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="a"):
    """Asks for a vote, or in a pre-vote whether there would be one.

    Attributes:
        term: The candidate's term; in a pre-vote the term that it would stand in.
        last_log_index: Index of the candidate's last entry.
        last_log_term: Term of that entry.
        is_pre_vote: Whether nothing is promised by the answer.
    """

    term: Index
    last_log_index: Index
    last_log_term: Index
    is_pre_vote: bool


class VoteResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="v"):
    """Answers RequestVote.

    Attributes:
        term: Term of the request, or the voter's own where that is newer.
        is_granted: Whether the vote is given.
        is_pre_vote: As in the request.
    """

    term: Index
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="e"):
    """Replicates entries; without any it is a heartbeat.

    Attributes:
        term: The leader's term.
        prev_log_index: Index of the entry before `entries`.
        prev_log_term: Term of that entry.
        entries: Entries from `prev_log_index` + 1 on.
        leader_commit: The leader's commit index.
        round: Heartbeat round in which it was sent.
    """

    term: Index
    prev_log_index: Index
    prev_log_term: Index
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=MAX_BATCH_ENTRY_COUNT)]
    leader_commit: Index
    round: Index


class AppendEntriesResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="r"):
    """Answers AppendEntries and InstallSnapshot.

    Attributes:
        term: The follower's term.
        is_success: Whether the follower's log matched.
        match_index: Up to where the logs are equal; without success, after which index to try next.
        round: Round of the request.
    """

    term: Index
    is_success: bool
    match_index: Index
    round: Index


class InstallSnapshot(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="i"):
    """Replaces the log of a follower that is further behind than the leader's log reaches.

    Attributes:
        term: The leader's term.
        last_included_index: Last entry that the snapshot covers.
        last_included_term: Term of that entry.
        snapshot: State of the state machines after that entry.
        round: Heartbeat round in which it was sent.
        voters: Voters as of that entry; empty means those of the settings.
    """

    term: Index
    last_included_index: Index
    last_included_term: Index
    snapshot: bytes
    round: Index
    voters: Annotated[tuple[str, ...], Meta(max_length=MAX_VOTER_COUNT)] = ()


Message = RequestVote | VoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot

_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Bytes of a message for the wire."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Message of a peer.

    Raises:
        InvalidMessageError: The bytes are no message of this protocol.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from error
