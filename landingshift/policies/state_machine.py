"""What the voters agree on: members, the version in force, and what became of each change.

Guarantee: each voter applies the same commands in the same order and comes to the same state; a change's id
ends in one way for ever. A command that does not fit any more when its turn comes (a commit after a new
member joined, a withdrawal after the commit) does nothing. Failure mode: once `MAX_CHANGE_ID_COUNT` ids are
known no new change is begun, since its end could not be kept.
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

MAX_DETAILED_CHANGE_COUNT = 256  # ended changes that are kept with reason and author
MAX_POLICY_TEXT_COUNT = 32  # versions whose policy is kept
MAX_CHANGE_ID_COUNT = 10_000  # changes of which it is known for ever whether they were committed
MAX_REASON_CHARS = 300
DEFAULT_MAX_MEMBER_COUNT = 2000


class Change(Struct, array_like=True):
    """One change; an array in snapshots, so that only the order of the fields is stored.

    Attributes:
        id: Chosen by whoever asked for it.
        policy: The policy as it is stored.
        author: Who asked.
        reason: Why they asked.
        opened_at_ms: Unix time of the leader that took it in.
        outcome: What became of it.
        version: The version that it became; 0 where it was not committed.
        outcome_reason: Why it was not committed.
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
    """The state machine as a snapshot; the fields are those of `PolicyStateMachine`."""

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
        max_member_count: Servers that can be members.
        members: Who must take part in a change, and the run that joined.
        join_count: How often `members` grew: a commit holds for those that its leader had asked.
        version: In force; 0 is the settings of each start.
        policies: Policy of each version that is kept.
        pending_change_id: The change under way; empty for none.
        changes: Changes with all details, in the order of their ids' first appearance.
        final_versions: For each change that ended its version, 0 where it was not committed.
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
        """What became of a change; one that is long past is told without its details."""
        change = self.changes.get(change_id)
        if change is not None or change_id not in self.final_versions:
            return change
        version = self.final_versions[change_id]
        outcome = ChangeOutcome.COMMITTED if version else ChangeOutcome.WITHDRAWN
        return Change(change_id, b"", "", "", 0.0, outcome, version)

    def has_member(self, name: str, run_id: int) -> bool:
        """Whether this very run is a member."""
        return self.members.get(name) == run_id

    def has_capacity_for(self, name: str) -> bool:
        """Whether the server is a member already, in whichever run, or one more fits."""
        return name in self.members or len(self.members) < self.max_member_count

    @property
    def is_full(self) -> bool:
        """Whether no new change can be begun."""
        return len(self.final_versions) >= MAX_CHANGE_ID_COUNT

    # Commands

    def apply(self, data: bytes) -> None:
        """Applies a committed entry."""
        if not data:
            return  # a leader's first entry
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
            self.members[name] = run_id  # its earlier run has ended: one name is one process at a time
            self.join_count += 1

    def _open(self, command: OpenChange) -> None:
        change_id = command.change_id
        if change_id in self.changes or change_id in self.final_versions or self.is_full:
            return  # asked twice, done once
        change = Change(change_id, command.policy, command.author, command.reason, command.opened_at_ms)
        self.changes[change_id] = change
        if self.pending_change_id:
            reason = f"another change is under way: {self.pending_change_id}"
            self._close(change, ChangeOutcome.REJECTED, reason)
        elif change.policy == self.policies[self.version]:
            self._close(change, ChangeOutcome.REJECTED, f"it says what version {self.version} says")
        else:
            self.pending_change_id = change_id

    def _commit(self, change: Change) -> None:
        self.version += 1
        self.policies[self.version] = change.policy
        if self.version > MAX_POLICY_TEXT_COUNT:  # 0 is the start's, and costs nothing
            self.policies.pop(self.version - MAX_POLICY_TEXT_COUNT, None)
        change.version = self.version
        self.pending_change_id = ""
        self._close(change, ChangeOutcome.COMMITTED, "")

    def _end(self, command: EndChange) -> None:
        change_id = command.change_id
        change = self.changes.get(change_id)
        if change is None and change_id not in self.final_versions and not self.is_full:
            # Whoever proposes it later is told that it was withdrawn.
            change = Change(change_id, b"", "", "", command.ended_at_ms)
            self.changes[change_id] = change
        if change is None or change.outcome is not ChangeOutcome.PENDING:
            return
        if self.pending_change_id == change_id:
            self.pending_change_id = ""
        self._close(change, command.outcome, command.reason)

    def _close(self, change: Change, outcome: ChangeOutcome, reason: str) -> None:
        change.outcome = outcome
        change.outcome_reason = reason[:MAX_REASON_CHARS]
        self.final_versions[change.id] = change.version
        ended_ids = [id for id, each in self.changes.items() if each.outcome is not ChangeOutcome.PENDING]
        for ended_id in ended_ids[:-MAX_DETAILED_CHANGE_COUNT]:
            del self.changes[ended_id]

    # Snapshots

    def snapshot(self) -> bytes:
        """The whole state."""
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
        """Takes the state of a snapshot in place of its own."""
        snapshot = msgspec.msgpack.decode(state, type=StateSnapshot)
        self.members = snapshot.members
        self.join_count = snapshot.join_count
        self.version = snapshot.version
        self.policies = snapshot.policies
        self.pending_change_id = snapshot.pending_change_id
        self.changes = {change.id: change for change in snapshot.changes}
        self.final_versions = snapshot.final_versions
