"""Encoding of messages about policies as lists, called bodies, whose first element names the kind of message.

No other module depends on this encoding. A message can be larger than a datagram.
"""

from __future__ import annotations

from typing import Any

from landingshift.policies.errors import UnreadableMessageError
from landingshift.policies.messages import (
    ChangePhase,
    ChangeStatus,
    ChangeVoters,
    DeclareDeparted,
    Departure,
    EndedChange,
    FindChange,
    LeaseReply,
    LeaseRequest,
    MemberMessage,
    MembershipRefusal,
    Message,
    OperatorCommand,
    OperatorRequest,
    PolicyRequest,
    PolicyText,
    ProposeChange,
    RaftPacket,
    Redirect,
    StatusPoll,
    UnknownCommand,
    UnreadableLeaseRequest,
    WaitingMember,
    WithdrawChange,
)

MAX_RECEIVED_VOTER_COUNT = 9  # voters read from a lease reply; further ones are ignored

_PHASES = {phase.value: phase for phase in ChangePhase}


def encode_operator_command(command: OperatorCommand) -> list[Any]:
    """Encodes a command as the list of its fields, which begins with the command's name."""
    match command:
        case ProposeChange(policy, author, reason):
            return ["propose", policy, author, reason]
        case WithdrawChange(author, reason):
            return ["withdraw", author, reason]
        case ChangeVoters(is_addition, name):
            return ["voters", "add" if is_addition else "remove", name]
        case DeclareDeparted(name, run_id):
            return ["gone", name, run_id]
        case FindChange():
            return ["find"]
        case UnknownCommand():
            return []


def decode_operator_command(fields: list[Any]) -> OperatorCommand:
    """Decodes the fields of a command; returns `UnknownCommand` if the fields are unreadable."""
    match fields:
        case ["propose", bytes(policy), str(author), str(reason)]:
            return ProposeChange(policy, author, reason)
        case ["withdraw", str(author), str(reason)]:
            return WithdrawChange(author, reason)
        case ["voters", str(action), str(name)]:
            return ChangeVoters(action == "add", name)
        case ["gone", str(name), int(run_id)]:
            return DeclareDeparted(name, run_id)
        case ["find", *_]:
            return FindChange()
    return UnknownCommand()


def encode_message(message: Message) -> list[Any]:
    """Encodes a message as its body."""
    match message:
        case RaftPacket(data):
            return ["vote", data]
        case OperatorRequest(change_id, command):
            return ["do", change_id, *encode_operator_command(command)]
        case Departure(run_id):
            return ["bye", run_id]
        case ChangeStatus(change_id, outcome, version, reason, waiting_members):
            waiting = [[member.name, member.state] for member in waiting_members]
            return ["found", change_id, outcome, version, reason, waiting]
    return _encode_member_message(message)


def _encode_member_message(message: MemberMessage) -> list[Any]:
    """Encodes a message between a member and the leader as its body."""
    match message:
        case LeaseRequest():
            return _encode_lease_request(message)
        case UnreadableLeaseRequest(number):
            return ["here", 0, number]
        case LeaseReply():
            return _encode_lease_reply(message)
        case Redirect(number, leader):
            return ["ask", number, leader]
        case MembershipRefusal(number, reason):
            return ["no", number, reason]
        case StatusPoll():
            return ["look"]
        case PolicyRequest(change_id, version):
            return ["want", change_id, version]
        case PolicyText(change_id, version, policy):
            return ["text", change_id, version, policy]


def _encode_lease_request(request: LeaseRequest) -> list[Any]:
    return [
        "here",
        request.run_id,
        request.number,
        request.version,
        request.change_id,
        request.state,
        request.rejection_reason,
        request.fingerprint,
        request.can_become_voter,
    ]


def _encode_lease_reply(reply: LeaseReply) -> list[Any]:
    ended: list[Any] = []
    if reply.ended is not None:
        ended = [reply.ended.change_id, reply.ended.outcome, reply.ended.version, reply.ended.reason]
    return [
        "told",
        reply.number,
        reply.is_member,
        reply.version,
        reply.change_id,
        reply.phase.value,
        ended,
        reply.is_lease_granted,
        list(reply.voters),
    ]


def decode_message(body: list[Any]) -> Message:
    """Decodes the body of a message.

    Raises:
        UnreadableMessageError: The body is not a message of this protocol.
    """
    match body:
        case ["vote", bytes(data)]:
            return RaftPacket(data)
        case ["do", str(change_id), *fields]:
            return OperatorRequest(change_id, decode_operator_command(fields))
        case ["bye", int(run_id)]:
            return Departure(run_id)
        case ["found", str(change_id), str(outcome), int(version), str(reason), list(waiting)]:
            return ChangeStatus(change_id, outcome, version, reason, _decode_waiting(waiting))
    return _decode_member_message(body)


def _decode_member_message(body: list[Any]) -> MemberMessage:
    match body:
        case ["here", *fields]:
            return _decode_lease_request(fields)
        case ["told", *fields]:
            return _decode_lease_reply(fields)
        case ["ask", int(number), str(leader)]:
            return Redirect(number, leader)
        case ["no", int(number), str(reason)]:
            return MembershipRefusal(number, reason)
        case ["look"]:
            return StatusPoll()
        case ["want", str(change_id), int(version)]:
            return PolicyRequest(change_id, version)
        case ["text", str(change_id), int(version), bytes(policy)]:
            return PolicyText(change_id, version, policy)
    raise UnreadableMessageError(body)


def _decode_lease_request(fields: list[Any]) -> LeaseRequest | UnreadableLeaseRequest:
    match fields:
        case [
            int(run_id),
            int(number),
            int(version),
            str(change_id),
            str(state),
            str(reason),
            fingerprint,
            bool(can_become_voter),
        ]:
            return LeaseRequest(
                run_id, number, version, change_id, state, reason, fingerprint, can_become_voter
            )
        case [_, int(number), *_]:
            return UnreadableLeaseRequest(number)
    raise UnreadableMessageError(fields)


def _decode_lease_reply(fields: list[Any]) -> LeaseReply:
    match fields:
        case [
            int(number),
            bool(is_member),
            int(version),
            str(change_id),
            str(phase),
            list(ended),
            bool(is_lease_granted),
            [str(), *_] as voters,
        ]:
            names = tuple(str(name) for name in voters[:MAX_RECEIVED_VOTER_COUNT])
            return LeaseReply(
                number,
                is_member,
                version,
                change_id,
                _decode_phase(phase),
                _decode_ended(ended),
                is_lease_granted,
                names,
            )
    raise UnreadableMessageError(fields)


def _decode_phase(value: str) -> ChangePhase:
    """Decodes a phase; returns NONE for a phase of a newer build, because this build can't act on it."""
    return _PHASES.get(value, ChangePhase.NONE)


def _decode_ended(fields: list[Any]) -> EndedChange | None:
    match fields:
        case []:
            return None
        case [str(change_id), str(outcome), int(version), str(reason)]:
            return EndedChange(change_id, outcome, version, reason)
    raise UnreadableMessageError(fields)


def _decode_waiting(pairs: list[Any]) -> tuple[WaitingMember, ...]:
    waiting = []
    for pair in pairs:
        match pair:
            case [str(name), str(state)]:
                waiting.append(WaitingMember(name, state))
            case _:
                raise UnreadableMessageError(pairs)
    return tuple(waiting)
