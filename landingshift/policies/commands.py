"""Commands of the replicated log: what the state machine of policies applies.

The only module that knows their encoding: a MessagePack array whose first word names the command.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec


class ChangeOutcome(Enum):
    """What became of a change. The values are stored and sent."""

    PENDING = "open"
    COMMITTED = "taken"
    REJECTED = "refused"  # by a member, or at once
    WITHDRAWN = "withdrawn"  # by an operator, or after its time


FINAL_OUTCOMES = tuple(outcome.value for outcome in ChangeOutcome if outcome is not ChangeOutcome.PENDING)
UNKNOWN_OUTCOME = "unknown"  # reported, never stored


@dataclass(slots=True, frozen=True)
class JoinMembers:
    """Servers become members: from then on a change needs them.

    Attributes:
        members: Name and run of each; a run is one life of a process.
    """

    members: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class RemoveMember:
    """One run of a member has ended and decides nothing more."""

    name: str
    run_id: int


@dataclass(slots=True, frozen=True)
class OpenChange:
    """A change begins.

    Attributes:
        change_id: Chosen by whoever asks, so that asking twice is safe.
        policy: The whole policy as it is stored.
        author: Who asks for it.
        reason: Why.
        opened_at_ms: Unix time of the leader that took it in.
    """

    change_id: str
    policy: bytes
    author: str
    reason: str
    opened_at_ms: float


@dataclass(slots=True, frozen=True)
class CommitChange:
    """The next version is in force, unless a member joined after its leader had asked all.

    Attributes:
        change_id: The change that it becomes of.
        join_count: How often members had joined when the leader had asked all.
    """

    change_id: str
    join_count: int


@dataclass(slots=True, frozen=True)
class EndChange:
    """A change ends without a new version.

    Attributes:
        change_id: The change.
        outcome: How it ends.
        reason: Why.
        ended_at_ms: Unix time of the leader.
    """

    change_id: str
    outcome: ChangeOutcome
    reason: str
    ended_at_ms: float


Command = JoinMembers | RemoveMember | OpenChange | CommitChange | EndChange


def encode_command(command: Command) -> bytes:
    """Entry for the replicated log."""
    return msgspec.msgpack.encode(_to_array(command))


def _to_array(command: Command) -> list[Any]:
    match command:
        case JoinMembers(members):
            return ["join", [list(member) for member in members]]
        case RemoveMember(name, run_id):
            return ["gone", name, run_id]
        case OpenChange(change_id, policy, author, reason, opened_at_ms):
            return ["propose", change_id, policy, author, reason, opened_at_ms]
        case CommitChange(change_id, join_count):
            return ["switch", change_id, join_count]
        case EndChange(change_id, outcome, reason, ended_at_ms):
            return ["end", change_id, outcome.value, reason, ended_at_ms]


def decode_command(data: bytes) -> Command | None:
    """Command of an entry; None for an entry that this build does not know."""
    match msgspec.msgpack.decode(data):
        case ["join", list(members)]:
            return JoinMembers(tuple((name, run_id) for name, run_id in members))
        case ["gone", str(name), int(run_id)]:
            return RemoveMember(name, run_id)
        case ["propose", str(change_id), bytes(policy), str(author), str(reason), opened_at_ms]:
            return OpenChange(change_id, policy, author, reason, float(opened_at_ms))
        case ["switch", str(change_id), int(join_count)]:
            return CommitChange(change_id, join_count)
        case ["end", str(change_id), str(outcome), str(reason), ended_at_ms]:
            return EndChange(change_id, ChangeOutcome(outcome), reason, float(ended_at_ms))
    return None
