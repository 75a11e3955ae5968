"""Messages of policies between servers, and operators' commands on their way to the leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_SENT_REASON_CHARS = 200  # of a reason that a member is told


class ChangePhase(Enum):
    """What the leader wants of members for the change under way."""

    NONE = ""  # no change is under way
    VALIDATE = "check"  # fetch the policy and check it
    PREPARE = "arm"  # decide by the old version under leases only


# Operators' commands, carried to the leader


@dataclass(slots=True, frozen=True)
class ProposeChange:
    """Begin a change of policy."""

    policy: bytes
    author: str
    reason: str


@dataclass(slots=True, frozen=True)
class WithdrawChange:
    """End a change that is not committed yet."""

    author: str
    reason: str


@dataclass(slots=True, frozen=True)
class ChangeVoters:
    """Add a voter, or else remove one."""

    is_addition: bool
    name: str


@dataclass(slots=True, frozen=True)
class DeclareDeparted:
    """An operator's word that this run of a member has ended."""

    name: str
    run_id: int


@dataclass(slots=True, frozen=True)
class FindChange:
    """Ask what became of a change."""


@dataclass(slots=True, frozen=True)
class UnknownCommand:
    """A command of a newer build."""


OperatorCommand = (
    ProposeChange | WithdrawChange | ChangeVoters | DeclareDeparted | FindChange | UnknownCommand
)


# Messages between servers


@dataclass(slots=True, frozen=True)
class RaftPacket:
    """A message of the consensus package.

    Attributes:
        data: As that package encoded it.
    """

    data: bytes


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """A member tells the leader how far it is, and asks for a lease.

    Attributes:
        run_id: Which process of that name: drawn anew at each start.
        number: Number of the request; a reply carries it.
        version: In force at the member; -1 for none yet.
        change_id: The change that it has the policy of; empty for none.
        state: How far it is with that change (`ParticipantState`).
        rejection_reason: Why it can't decide by that policy.
        fingerprint: Its settings, which must be the leader's.
        can_become_voter: Whether it has a log file.
    """

    run_id: int
    number: int
    version: int
    change_id: str
    state: str
    rejection_reason: str
    fingerprint: object
    can_become_voter: bool


@dataclass(slots=True, frozen=True)
class UnreadableLeaseRequest:
    """A lease request of which only the number can be read."""

    number: int


@dataclass(slots=True, frozen=True)
class EndedChange:
    """What became of a change that the member named.

    Attributes:
        change_id: The change.
        outcome: Value of `ChangeOutcome`.
        version: The version that it became; 0 where it was not committed.
        reason: Why it was not committed.
    """

    change_id: str
    outcome: str
    version: int
    reason: str


@dataclass(slots=True, frozen=True)
class LeaseReply:
    """The leader's answer to a lease request.

    Attributes:
        number: Number of the request.
        is_member: Whether the member is one that changes wait for.
        version: In force.
        change_id: The change under way; empty for none.
        phase: What the leader wants of members for it.
        ended: What became of the change that the request named; None while it is under way.
        is_lease_granted: Whether the member may decide by its version for a lease.
        voters: All voters, as the leader's log has them.
    """

    number: int
    is_member: bool
    version: int
    change_id: str
    phase: ChangePhase
    ended: EndedChange | None
    is_lease_granted: bool
    voters: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Redirect:
    """Answer of a server that does not lead; `leader` is empty where it knows none."""

    number: int
    leader: str


@dataclass(slots=True, frozen=True)
class MembershipRefusal:
    """The leader does not take the sender as a member."""

    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class StatusPoll:
    """The leader asks for a lease request soon: there is something new."""


@dataclass(slots=True, frozen=True)
class PolicyRequest:
    """Asks for the policy of the change under way, or where that is empty of the version in force."""

    change_id: str
    version: int


@dataclass(slots=True, frozen=True)
class PolicyText:
    """A policy: of the change under way, or where that is empty of the version in force."""

    change_id: str
    version: int
    policy: bytes


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """An operator's command, brought to the leader by the server that was asked."""

    change_id: str
    command: OperatorCommand


@dataclass(slots=True, frozen=True)
class Departure:
    """The sender's process ends: this run decides nothing more."""

    run_id: int


@dataclass(slots=True, frozen=True)
class WaitingMember:
    """A member that a change waits for, and how far it is; the state is "away" for one that says nothing."""

    name: str
    state: str


@dataclass(slots=True, frozen=True)
class ChangeStatus:
    """What is known of a change.

    Attributes:
        change_id: The change, or the id of another operator's command.
        outcome: Value of `ChangeOutcome`, or "unknown".
        version: The version that it became; 0 where it was not committed.
        reason: Why it was not committed, or what else there is to say.
        waiting_members: Members that it waits for.
    """

    change_id: str
    outcome: str
    version: int
    reason: str
    waiting_members: tuple[WaitingMember, ...] = ()


MemberMessage = (
    LeaseRequest
    | UnreadableLeaseRequest
    | LeaseReply
    | Redirect
    | MembershipRefusal
    | StatusPoll
    | PolicyRequest
    | PolicyText
)
Message = MemberMessage | RaftPacket | OperatorRequest | Departure | ChangeStatus
