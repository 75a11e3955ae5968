"""Commands of the policies state machine, and their encoding in the replicated log.

Each log entry is a MessagePack array whose first element names the command. No other module depends on this
encoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec


class ChangeOutcome(Enum):
    """Outcome of a change. The values are stored and sent to other servers."""

    PENDING = "open"
    COMMITTED = "taken"
    REJECTED = "refused"  # a member refused, another change was pending, or the policy was already in force
    WITHDRAWN = "withdrawn"  # by an operator, or by the leader after a timeout


FINAL_OUTCOMES = tuple(outcome.value for outcome in ChangeOutcome if outcome is not ChangeOutcome.PENDING)
UNKNOWN_OUTCOME = "unknown"  # reported to operators, never stored


@dataclass(slots=True, frozen=True)
class JoinMembers:
    """Adds servers to the members. A change waits for every member that is not known to be on standby.

    Attributes:
        members: Name and run id of each server.
    """

    members: tuple[tuple[str, int], ...]


@dataclass(slots=True, frozen=True)
class RemoveMember:
    """Removes a member whose process `run_id` has ended; does nothing if the member has another run id."""

    name: str
    run_id: int


@dataclass(slots=True, frozen=True)
class OpenChange:
    """Records a proposed change.

    The change becomes the change in progress. It is rejected instead if another change is in progress, or if
    its policy equals the policy in force.

    Attributes:
        change_id: Id chosen by the operator; another proposal with the same id has no effect.
        policy: Complete policy, encoded.
        author: Operator who proposes the change.
        reason: The operator's reason for the change.
        opened_at_ms: Unix time of the leader when it accepted the proposal.
    """

    change_id: str
    policy: bytes
    author: str
    reason: str
    opened_at_ms: float


@dataclass(slots=True, frozen=True)
class CommitChange:
    """Puts the policy of a change in force as the next version.

    The commit has no effect if a member has joined since the leader proposed it.

    Attributes:
        change_id: Id of the change.
        join_count: `PolicyStateMachine.join_count` when the leader proposed the commit.
    """

    change_id: str
    join_count: int


@dataclass(slots=True, frozen=True)
class EndChange:
    """Ends a change without a new version.

    Attributes:
        change_id: Id of the change.
        outcome: Final outcome.
        reason: Reason for the outcome.
        ended_at_ms: Unix time of the leader when it proposed this command.
    """

    change_id: str
    outcome: ChangeOutcome
    reason: str
    ended_at_ms: float


Command = JoinMembers | RemoveMember | OpenChange | CommitChange | EndChange


def encode_command(command: Command) -> bytes:
    """Encodes a command as the data of a log entry."""
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
    """Decodes the command in the data of a log entry; returns None if this build does not know it."""
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
