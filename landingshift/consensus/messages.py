"""Raft messages between voters, encoded as MessagePack arrays whose first element is a tag.

This is the only module that knows their encoding. The field `round`, which the Raft paper does not have,
is the number of the leader's heartbeat round; responses repeat it.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from landingshift.consensus.errors import InvalidMessageError

MAX_BATCH_ENTRY_COUNT = 16  # per AppendEntries request
MAX_VOTER_COUNT = 9  # the settings allow seven; the rest is room for replacing voters
MAX_INDEX = 2**53  # every MessagePack implementation represents integers up to this one exactly

Index = Annotated[int, Meta(ge=0, le=MAX_INDEX)]


class LogEntry(Struct, array_like=True, frozen=True):
    """One log entry.

    Attributes:
        term: Term of the leader that appended it.
        data: Command for a state machine or voter configuration; empty for the first entry of a term.
    """

    term: Index
    data: bytes


class RequestVote(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="a"):
    """Requests a vote, or asks in a pre-vote whether the vote would be granted.

    Attributes:
        term: The candidate's term; in a pre-vote, the term that it would enter.
        last_log_index: Index of the candidate's last entry.
        last_log_term: Term of that entry.
        is_pre_vote: Whether this is a pre-vote, whose response does not bind the voter.
    """

    term: Index
    last_log_index: Index
    last_log_term: Index
    is_pre_vote: bool


class VoteResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="v"):
    """Response to RequestVote.

    Attributes:
        term: Term of the request, or the voter's own term if it rejects an older one.
        is_granted: Whether the vote is granted.
        is_pre_vote: Value of `is_pre_vote` in the request.
    """

    term: Index
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="e"):
    """Replicates log entries; serves as a heartbeat if it has none.

    Attributes:
        term: The leader's term.
        prev_log_index: Index of the entry before `entries`.
        prev_log_term: Term of that entry.
        entries: Entries that follow `prev_log_index`.
        leader_commit: The leader's commit index.
        round: Heartbeat round in which the request was sent.
    """

    term: Index
    prev_log_index: Index
    prev_log_term: Index
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=MAX_BATCH_ENTRY_COUNT)]
    leader_commit: Index
    round: Index


class AppendEntriesResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="r"):
    """Response to AppendEntries and InstallSnapshot.

    Attributes:
        term: The follower's term.
        is_success: Whether the follower's log matched the leader's.
        match_index: On success, last index up to which both logs are equal; otherwise the index that the
            leader should try as `prev_log_index`.
        round: Heartbeat round of the request.
    """

    term: Index
    is_success: bool
    match_index: Index
    round: Index


class InstallSnapshot(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="i"):
    """Sends a snapshot to a follower that needs entries which the leader has compacted.

    Attributes:
        term: The leader's term.
        last_included_index: Index of the last entry that the snapshot covers.
        last_included_term: Term of that entry.
        snapshot: State of the state machines after that entry.
        round: Heartbeat round in which the snapshot was sent.
        voters: Voters as of that entry; empty for the voters in the settings.
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
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Decodes a message from a peer.

    Raises:
        InvalidMessageError: The bytes are not a valid Raft message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(str(error)) from error
