"""Messages about policies between servers, and operators' commands forwarded to the leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_SENT_REASON_CHARS = 200  # maximum length of a reason in a message to a member


class ChangePhase(Enum):
    """Phase of the change in progress, which tells members what to do."""

    NONE = ""  # no change is in progress
    VALIDATE = "check"  # fetch and validate the policy
    PREPARE = "arm"  # decide by the old version, and only while a lease is valid


# Operators' commands, forwarded to the leader in an `OperatorRequest`, which contains the id of the change


@dataclass(slots=True, frozen=True)
class ProposeChange:
    """Proposes a change of policy."""

    policy: bytes
    author: str
    reason: str


@dataclass(slots=True, frozen=True)
class WithdrawChange:
    """Withdraws a change that is not committed yet."""

    author: str
    reason: str


@dataclass(slots=True, frozen=True)
class ChangeVoters:
    """Adds a server to the voters if `is_addition` is True; otherwise removes the server from the voters."""

    is_addition: bool
    name: str


@dataclass(slots=True, frozen=True)
class DeclareDeparted:
    """Declares that the process `run_id` of a member has ended."""

    name: str
    run_id: int


@dataclass(slots=True, frozen=True)
class FindChange:
    """Asks for the status of the change whose id the `OperatorRequest` contains."""


@dataclass(slots=True, frozen=True)
class UnknownCommand:
    """Stands for a command that this build does not know."""


OperatorCommand = (
    ProposeChange | WithdrawChange | ChangeVoters | DeclareDeparted | FindChange | UnknownCommand
)


# Messages between servers


@dataclass(slots=True, frozen=True)
class RaftPacket:
    """Carries a message of the consensus package.

    Attributes:
        data: Message, encoded by that package.
    """

    data: bytes


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Reports a server's state to the leader and asks for a lease.

    Attributes:
        run_id: Random id of the process, new at each start.
        number: Number of the request, which the reply repeats.
        version: Version that the server decides by; -1 if it has none yet.
        change_id: Id of the change that the server takes part in, which means that it has received the
            change's policy and does not know the outcome yet; empty if there is none.
        state: Value of the server's `ParticipantState` in that change.
        rejection_reason: Reason why the server can't apply the policy of that change; empty if it can.
        fingerprint: `PolicySettings.fingerprint` of the server; must equal that of the leader.
        can_become_voter: Whether the server has a log file.
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
    """Stands for a lease request in an unknown format, of which only the number could be read."""

    number: int


@dataclass(slots=True, frozen=True)
class EndedChange:
    """Outcome of the change that a lease request named.

    Attributes:
        change_id: Id of the change.
        outcome: Value of the change's `ChangeOutcome`.
        version: Version that the change created; 0 if the change was not committed.
        reason: Reason why the change was not committed; empty if it was committed.
    """

    change_id: str
    outcome: str
    version: int
    reason: str


@dataclass(slots=True, frozen=True)
class LeaseReply:
    """Answers a lease request.

    Attributes:
        number: Number of the request.
        is_member: Whether the requesting server is a member, so that changes wait for it.
        version: Version in force.
        change_id: Id of the change in progress; empty if there is none.
        phase: Phase of that change.
        ended: Outcome of the change that the request named; None if the request named no change, or if the
            change is unknown or in progress.
        is_lease_granted: Whether the leader grants the member a lease to decide by `version`.
        voters: Names of all voters, from the leader's log.
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
    """Answers a lease request on a server that is not the leader.

    Attributes:
        number: Number of the request.
        leader: Name of the leader; empty if the server that answers does not know the leader.
    """

    number: int
    leader: str


@dataclass(slots=True, frozen=True)
class MembershipRefusal:
    """Tells a server that sent a lease request that the leader does not accept the server as a member."""

    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class StatusPoll:
    """Asks a member to send a lease request soon, because its last request shows an outdated state."""


@dataclass(slots=True, frozen=True)
class PolicyRequest:
    """Asks for the policy of the change `change_id`, or of the version `version` if `change_id` is empty."""

    change_id: str
    version: int


@dataclass(slots=True, frozen=True)
class PolicyText:
    """Carries the policy of the change `change_id`, or of the version `version` if `change_id` is empty."""

    change_id: str
    version: int
    policy: bytes


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """Forwards an operator's command to the leader from the server at which the operator submitted it."""

    change_id: str
    command: OperatorCommand


@dataclass(slots=True, frozen=True)
class Departure:
    """Announces that the sender's process is ending and decides on no more RPCs."""

    run_id: int


@dataclass(slots=True, frozen=True)
class WaitingMember:
    """A member that a change waits for, and its state in the change; "away" if no state is reported."""

    name: str
    state: str


@dataclass(slots=True, frozen=True)
class ChangeStatus:
    """Status of a change, or of an operator's command that does not concern a change.

    Attributes:
        change_id: Id of the change or command.
        outcome: Value of the `ChangeOutcome`, or "unknown".
        version: Version that the change created; 0 if the change was not committed.
        reason: Reason why the change was not committed, or another note for the operator.
        waiting_members: Members that the change waits for.
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
