"""Calls that operators make through the command line, to query a server or to submit commands to the server.

Each call takes a list of parameters and returns a value that MessagePack can encode. A call that can't be
answered raises an `OperatorCallError`, whose message is shown to the operator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from landingshift.membership.messages import MemberState
from landingshift.policies.document import MAX_POLICY_BYTES
from landingshift.policies.errors import (
    InvalidParamsError,
    MemberAliveError,
    NotAVoterError,
    PolicyNotStoredError,
    TrustRejectedError,
    UnknownMemberError,
)
from landingshift.policies.messages import ChangeStatus, DeclareDeparted, OperatorCommand, WaitingMember
from landingshift.policies.state_machine import MAX_REASON_CHARS, Change
from landingshift.policies.wire import decode_operator_command

if TYPE_CHECKING:
    from landingshift.policies.service import PolicyService

MAX_CHANGE_ID_CHARS = 64
MAX_AUTHOR_CHARS = 64
MAX_SERVER_NAME_CHARS = 32
MAX_WAITING_MEMBER_COUNT = 64

EXPECTED_COMMAND = "an id and what is to be done are expected"
EXPECTED_ID = "an id is expected"
EXPECTED_VERSION = "a version is expected"
EXPECTED_VERSION_AND_POLICY = "a version and its text are expected"


class OperatorCalls:
    """Handlers of the calls whose names begin with `policy_`."""

    def __init__(self, service: PolicyService) -> None:
        self._service = service
        self._node = service.policy_node
        self._participant = service.policy_node.participant

    def handlers(self) -> dict[str, Callable[[list[Any]], Any]]:
        """Returns the handlers, keyed by the names of the calls."""
        return {
            "policy_do": self.submit,
            "policy_known": self.change_status,
            "policy_status": self.server_status,
            "policy_history": self.history,
            "policy_text": self.policy_text,
            "policy_trust": self.trust,
        }

    def submit(self, params: list[Any]) -> bool:
        """Submits a command for the leader; returns False if too many commands are pending.

        Args:
            params: [id, name of the command, fields of the command ...].
        """
        match params:
            case [str(change_id), "gone", str(name)]:
                return self._service.submit_command(change_id, self._declare_departed(name))
            case [str(change_id), *fields] if 0 < len(change_id) <= MAX_CHANGE_ID_CHARS:
                if _is_valid_command(fields):
                    return self._service.submit_command(change_id, decode_operator_command(fields))
        raise InvalidParamsError(EXPECTED_COMMAND)

    def _declare_departed(self, name: str) -> OperatorCommand:
        """Returns the command which declares that the last known process of the member `name` has ended."""
        record = self._service.member_record(name)
        if record is None:
            raise UnknownMemberError(name)
        if record.state is MemberState.ALIVE:
            raise MemberAliveError(name)
        return DeclareDeparted(name, record.run_id)

    def change_status(self, params: list[Any]) -> dict[str, Any]:
        """Returns the status of a change as known to this server; `params` is [id]."""
        match params:
            case [str(change_id)]:
                return _status_to_map(self._node.change_status(change_id))
        raise InvalidParamsError(EXPECTED_ID)

    def server_status(self, _params: list[Any]) -> dict[str, Any]:
        """Returns the policy state of this server; takes no parameters.

        If this server has a log file, the result also contains the Raft state.
        """
        participant = self._participant
        now_ms = self._service.clock_ms()
        may_decide = participant.may_decide(now_ms)
        leader = participant.discovery.leader
        leader_record = self._service.member_record(leader) if leader else None
        status: dict[str, Any] = {
            "name": self._node.name,
            "version": self._service.enforcement.applied_version,
            "decides": may_decide,
            "why_not": "" if may_decide else self._service.enforcement.standby_reason(),
            "newest": participant.latest_version,
            "leader": leader,
            "leader_at": f"{leader_record.host}:{leader_record.port}" if leader_record is not None else "",
            "change": participant.change_id,
            "stage": participant.state.value,
            "said": participant.rejection_reason,
            "voters": list(participant.discovery.voters),
            "when_cut_off": self._service.settings.when_cut_off,
        }
        return status | self._voter_status(now_ms)

    def _voter_status(self, now_ms: float) -> dict[str, Any]:
        """Returns the Raft state for `server_status`; empty on a server without a log file."""
        raft, coordinator, state = self._node.raft, self._node.coordinator, self._node.state_machine
        if raft is None or coordinator is None:
            return {}
        is_leader = raft.has_leader_lease(now_ms)
        status: dict[str, Any] = {
            "voter": raft.role.value,
            "term": raft.current_term,
            "taken_entries": raft.commit_index,
            "leads": is_leader,
            "counted": len(state.members),
            "open": state.pending_change_id,
        }
        if is_leader:
            waiting = coordinator.unprepared_members(now_ms) if state.pending_change_id else []
            status["waits_for"] = _waiting_to_lists(waiting[:MAX_WAITING_MEMBER_COUNT])
        return status

    def history(self, _params: list[Any]) -> list[dict[str, Any]]:
        """Returns all changes that this voter stores with details, newest last; takes no parameters."""
        if self._node.raft is None or not self._node.raft.is_voter:
            raise NotAVoterError(self._participant.discovery.voters)
        return [_change_to_map(change) for change in self._node.list_changes()]

    def policy_text(self, params: list[Any]) -> bytes:
        """Returns the encoded policy of a version; `params` is [version]."""
        match params:
            case [int(version)]:
                return self._find_policy(version)
        raise InvalidParamsError(EXPECTED_VERSION)

    def _find_policy(self, version: int) -> bytes:
        if version == self._participant.version:
            return self._participant.policy
        policy = self._node.state_machine.policies.get(version)
        if policy is None:
            raise PolicyNotStoredError(version)
        return policy

    def trust(self, params: list[Any]) -> bool:
        """Adopts a version that an operator declares to be in force; `params` is [version, policy]."""
        match params:
            case [int(version), bytes(policy)] if version >= 0:
                reason = self._participant.adopt_trusted_version(version, policy)
                if reason:
                    raise TrustRejectedError(reason)
                self._service.on_version_trusted(version)
                return True
        raise InvalidParamsError(EXPECTED_VERSION_AND_POLICY)


def _is_valid_command(fields: list[Any]) -> bool:
    """Returns whether the fields are a command within the size limits.

    The command "gone" is not valid here, because `submit` handles that command separately.
    """
    match fields:
        case ["propose", bytes(policy), str(author), str(reason)]:
            return len(policy) <= MAX_POLICY_BYTES and _are_within_limits(author, reason)
        case ["withdraw", str(author), str(reason)]:
            return _are_within_limits(author, reason)
        case ["voters", "add" | "remove", str(name)]:
            return 0 < len(name) <= MAX_SERVER_NAME_CHARS
        case ["find"]:
            return True
    return False


def _are_within_limits(author: str, reason: str) -> bool:
    return len(author) <= MAX_AUTHOR_CHARS and len(reason) <= MAX_REASON_CHARS


def _waiting_to_lists(waiting: list[WaitingMember]) -> list[list[str]]:
    return [[member.name, member.state] for member in waiting]


def _status_to_map(status: ChangeStatus) -> dict[str, Any]:
    return {
        "id": status.change_id,
        "end": status.outcome,
        "version": status.version,
        "said": status.reason,
        "waits": _waiting_to_lists(list(status.waiting_members)),
    }


def _change_to_map(change: Change) -> dict[str, Any]:
    return {
        "id": change.id,
        "end": change.outcome.value,
        "version": change.version,
        "who": change.author,
        "why": change.reason,
        "at": change.opened_at_ms,
        "said": change.outcome_reason,
    }
