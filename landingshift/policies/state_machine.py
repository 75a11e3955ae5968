"""Replicated state machine of policies: the members, the version in force, and the outcome of each change.

Guarantee: all voters apply the same commands in the same order and reach the same state; the outcome of a
change is never replaced once the outcome is final. A command can become obsolete before its log entry is
committed; the command then has no effect. Examples are the commit of a change if a member joined after the
commit was proposed, and the withdrawal of a change that has been committed. Failure mode: once
`MAX_CHANGE_ID_COUNT` changes are recorded, new changes are ignored, because their outcome could not be
recorded.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from landingshift.policies.commands import (
    ChangeOutcome,
    CommitChange,
    EndChange,
    JoinMembers,
    OpenChange,
    RemoveMember,
    decode_command,
)

MAX_DETAILED_CHANGE_COUNT = 256  # committed, rejected or withdrawn changes that are stored with all details
MAX_STORED_POLICY_COUNT = 32  # most recent versions whose policies are stored
MAX_CHANGE_ID_COUNT = 10_000  # changes whose outcomes are stored; outcomes are never deleted
MAX_REASON_CHARS = 300
DEFAULT_MAX_MEMBER_COUNT = 2000


class Change(Struct, array_like=True):
    """A policy change. Snapshots store it as an array, so fields can be renamed but not reordered.

    Attributes:
        id: Id chosen by the operator.
        policy: Proposed policy, encoded.
        author: Operator who proposed the change.
        reason: The operator's reason for the change.
        opened_at_ms: Unix time of the leader when it accepted the proposal.
        outcome: Outcome of the change.
        version: Version that the change created; 0 if the change was not committed.
        outcome_reason: Reason why the change was not committed; empty if it was committed or is pending.
    """

    id: str
    policy: bytes
    author: str
    reason: str
    opened_at_ms: float
    outcome: ChangeOutcome = ChangeOutcome.PENDING
    version: int = 0
    outcome_reason: str = ""


class StateSnapshot(Struct, array_like=True):
    """Snapshot of the state machine; the fields correspond to the attributes of `PolicyStateMachine`."""

    members: dict[str, int]
    join_count: int
    version: int
    policies: dict[int, bytes]
    pending_change_id: str
    changes: list[Change]
    final_versions: dict[str, int]


class PolicyStateMachine:
    """The replicated state of policies.

    Attributes:
        max_member_count: Maximum number of members.
        members: Run id of each member's process, keyed by member name.
        join_count: Number of joins applied. A `CommitChange` contains the join count at the time of its
            proposal. If a member has joined since, the commit has no effect, because the leader did not wait
            for that member.
        version: Version in force; 0 stands for the settings that each server started with.
        policies: Encoded policies of the stored versions.
        pending_change_id: Id of the change in progress; empty if there is none.
        changes: Changes stored with all details, keyed by id, in the order in which the ids first appeared.
        final_versions: Version created by each change whose outcome is final, keyed by change id; 0 if the
            change was not committed.
    """

    def __init__(self, max_member_count: int = DEFAULT_MAX_MEMBER_COUNT) -> None:
        self.max_member_count = max_member_count
        self.members: dict[str, int] = {}
        self.join_count = 0
        self.version = 0
        self.policies: dict[int, bytes] = {0: b""}
        self.pending_change_id = ""
        self.changes: dict[str, Change] = {}
        self.final_versions: dict[str, int] = {}

    def find_change(self, change_id: str) -> Change | None:
        """Returns the change with this id, or None if the id is unknown.

        The details of old changes are no longer stored. An old change that was not committed is returned as
        withdrawn, even if it was rejected.
        """
        change = self.changes.get(change_id)
        if change is not None or change_id not in self.final_versions:
            return change
        version = self.final_versions[change_id]
        outcome = ChangeOutcome.COMMITTED if version else ChangeOutcome.WITHDRAWN
        return Change(change_id, b"", "", "", 0.0, outcome, version)

    def has_member(self, name: str, run_id: int) -> bool:
        """Returns whether the server `name` is a member with this run id."""
        return self.members.get(name) == run_id

    def has_capacity_for(self, name: str) -> bool:
        """Returns whether the server `name` is already a member, or one more member is allowed."""
        return name in self.members or len(self.members) < self.max_member_count

    @property
    def is_full(self) -> bool:
        """Whether the limit on recorded changes is reached, so that no new change is accepted."""
        return len(self.final_versions) >= MAX_CHANGE_ID_COUNT

    # Commands

    def apply(self, data: bytes) -> None:
        """Applies a committed entry of the replicated log."""
        if not data:
            return  # the empty entry that a leader appends at the start of its term
        match decode_command(data):
            case JoinMembers(members):
                for name, run_id in members:
                    self._join(name, run_id)
            case RemoveMember(name, run_id):
                if self.has_member(name, run_id):
                    del self.members[name]
            case OpenChange() as command:
                self._open(command)
            case CommitChange(change_id, join_count):
                if change_id == self.pending_change_id and join_count == self.join_count:
                    self._commit(self.changes[change_id])
            case EndChange() as command:
                self._end(command)

    def _join(self, name: str, run_id: int) -> None:
        if not self.has_member(name, run_id) and self.has_capacity_for(name):
            self.members[name] = run_id  # one process at a time uses a name, so the previous one has ended
            self.join_count += 1

    def _open(self, command: OpenChange) -> None:
        change_id = command.change_id
        if change_id in self.changes or change_id in self.final_versions or self.is_full:
            return  # the change is already recorded, or its outcome could not be recorded
        change = Change(change_id, command.policy, command.author, command.reason, command.opened_at_ms)
        self.changes[change_id] = change
        if self.pending_change_id:
            reason = f"another change is under way: {self.pending_change_id}"
            self._finish(change, ChangeOutcome.REJECTED, reason)
        elif change.policy == self.policies[self.version]:
            self._finish(change, ChangeOutcome.REJECTED, f"it says what version {self.version} says")
        else:
            self.pending_change_id = change_id

    def _commit(self, change: Change) -> None:
        self.version += 1
        self.policies[self.version] = change.policy
        if self.version > MAX_STORED_POLICY_COUNT:  # version 0 is empty and is always kept
            self.policies.pop(self.version - MAX_STORED_POLICY_COUNT, None)
        change.version = self.version
        self.pending_change_id = ""
        self._finish(change, ChangeOutcome.COMMITTED, "")

    def _end(self, command: EndChange) -> None:
        change_id = command.change_id
        change = self.changes.get(change_id)
        if change is None and change_id not in self.final_versions and not self.is_full:
            # The withdrawal precedes the proposal. Recording the change makes the later proposal ineffective.
            change = Change(change_id, b"", "", "", command.ended_at_ms)
            self.changes[change_id] = change
        if change is None or change.outcome is not ChangeOutcome.PENDING:
            return
        if self.pending_change_id == change_id:
            self.pending_change_id = ""
        self._finish(change, command.outcome, command.reason)

    def _finish(self, change: Change, outcome: ChangeOutcome, reason: str) -> None:
        change.outcome = outcome
        change.outcome_reason = reason[:MAX_REASON_CHARS]
        self.final_versions[change.id] = change.version
        final_ids = [id for id, other in self.changes.items() if other.outcome is not ChangeOutcome.PENDING]
        for final_id in final_ids[:-MAX_DETAILED_CHANGE_COUNT]:
            del self.changes[final_id]

    # Snapshots

    def snapshot(self) -> bytes:
        """Returns the whole state as an encoded `StateSnapshot`."""
        return msgspec.msgpack.encode(
            StateSnapshot(
                self.members,
                self.join_count,
                self.version,
                self.policies,
                self.pending_change_id,
                list(self.changes.values()),
                self.final_versions,
            )
        )

    def restore(self, state: bytes) -> None:
        """Replaces the whole state with an encoded `StateSnapshot`."""
        snapshot = msgspec.msgpack.decode(state, type=StateSnapshot)
        self.members = snapshot.members
        self.join_count = snapshot.join_count
        self.version = snapshot.version
        self.policies = snapshot.policies
        self.pending_change_id = snapshot.pending_change_id
        self.changes = {change.id: change for change in snapshot.changes}
        self.final_versions = snapshot.final_versions
