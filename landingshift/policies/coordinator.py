"""Coordinator of policy changes on the leader: tracks members' states, and commits or ends the change.

Guarantee: a commit is proposed only once every member is prepared or certainly on standby. A prepared member
decides by the old version only under short leases. After proposing a commit, the leader grants no leases
until the log entry of the commit has been applied. The commit has no effect if a member has joined since the
proposal. Failure mode: the coordinator's state is lost when the leader changes. The next leader polls the
members again; everything that must survive is in the replicated state machine.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.consensus.raft import RaftNode
from landingshift.policies.commands import (
    UNKNOWN_OUTCOME,
    ChangeOutcome,
    Command,
    CommitChange,
    EndChange,
    JoinMembers,
    OpenChange,
    RemoveMember,
    encode_command,
)
from landingshift.policies.member_reports import NEVER_MS, MemberReport, MemberReports
from landingshift.policies.messages import (
    MAX_SENT_REASON_CHARS,
    ChangePhase,
    ChangeStatus,
    ChangeVoters,
    DeclareDeparted,
    EndedChange,
    FindChange,
    LeaseReply,
    LeaseRequest,
    MembershipRefusal,
    Message,
    OperatorRequest,
    PolicyRequest,
    PolicyText,
    ProposeChange,
    Redirect,
    StatusPoll,
    WaitingMember,
    WithdrawChange,
)
from landingshift.policies.participant import ParticipantState
from landingshift.policies.policy_settings import PolicySettings
from landingshift.policies.state_machine import Change, PolicyStateMachine
from landingshift.policies.voter_changes import plan_voter_change

POLL_INTERVAL_MS = 150.0  # between polls of lagging members
POLL_AFTER_COMMIT_MS = 5000.0  # duration of polling after a commit
BUSY_TICK_INTERVAL_MS = 50.0  # while a change is under way or members join
IDLE_TICK_INTERVAL_MS = 500.0
MAX_NAMED_MEMBER_COUNT = 5  # unprepared members named in the outcome reason of a timed-out change
MAX_REPORTED_MEMBER_COUNT = 64  # unprepared members listed in a reply to an operator
MAX_JOIN_COUNT = 256  # servers in one `JoinMembers` entry

EXPECTED_STATES = {
    ChangePhase.NONE: (),
    ChangePhase.VALIDATE: (ParticipantState.VALIDATED, ParticipantState.PREPARED),
    ChangePhase.PREPARE: (ParticipantState.PREPARED,),
}


class ChangeCoordinator:
    """Advances changes, and answers members and operators, while this voter is the leader.

    Attributes:
        reports: Reports that members sent during this leader's term.
        phase: Phase of the change in progress; lease replies tell the members this phase.
        committing_change_id: Id of the change whose commit is proposed and not yet applied; empty if there is
            none.
        next_deadline_ms: Time at which `tick` is due.
        outbox: Messages to send, each with its receiver.
    """

    def __init__(
        self,
        raft: RaftNode,
        state: PolicyStateMachine,
        settings: PolicySettings,
        wall_clock_ms: Callable[[], float],
    ) -> None:
        """Creates the coordinator of a voter that has not become leader yet.

        Args:
            raft: Raft node of this server.
            state: Replicated state machine.
            settings: Protocol settings, the same on all servers.
            wall_clock_ms: Returns the Unix time shown to operators; no decision depends on it.
        """
        self._raft = raft
        self._state = state
        self._settings = settings
        self._wall_clock_ms = wall_clock_ms
        self.outbox: list[tuple[str, Message]] = []
        self._term = 0
        self._begin_term(0.0)

    def _begin_term(self, now_ms: float) -> None:
        self.reports = MemberReports(self._settings, now_ms)
        self._joining: dict[str, int] = {}  # run id of each server whose join is not yet applied
        self._join_entry_index = 0
        self._change_id = ""  # the change that `phase` belongs to
        self._change_began_at_ms = now_ms
        self.phase = ChangePhase.NONE
        self.committing_change_id = ""
        self._commit_entry_index = 0
        self._ending_change_id = ""  # the change for which an `EndChange` is proposed
        self._proposed_entry_index: dict[str, int] = {}  # log index by proposal key, see `_propose_once`
        self._version = self._state.version
        self._committed_at_ms = NEVER_MS
        self._last_poll_at_ms = NEVER_MS
        self.next_deadline_ms = now_ms

    def _is_leading(self, now_ms: float) -> bool:
        """Returns whether this voter holds the leader lease; resets the coordinator if its term is new."""
        if not self._raft.has_leader_lease(now_ms):
            return False
        if self._raft.current_term != self._term:
            self._term = self._raft.current_term
            self._begin_term(now_ms)
        return True

    def _send(self, receiver: str, message: Message) -> None:
        self.outbox.append((receiver, message))

    # Requests of members

    def on_lease_request(
        self, sender: str, request: LeaseRequest, now_ms: float, known_leader: str = ""
    ) -> None:
        """Replies to a lease request with a lease reply, a redirect or a refusal.

        Args:
            sender: Name of the requesting server.
            request: The request.
            now_ms: Time of the monotonic clock, read after the request arrived.
            known_leader: Server to which this server sends its own lease requests. If Raft knows no leader,
                the redirect names `known_leader`. This is needed if this server is a removed voter. A removed
                voter receives no Raft messages, but servers that know only the initial voters still send
                lease requests to the removed voter.
        """
        if not self._is_leading(now_ms):
            leader = self._raft.leader or known_leader
            self._send(sender, Redirect(request.number, "" if leader == self._raft.name else leader))
            return
        refusal_reason = self._refusal_reason(sender, request)
        if refusal_reason:
            self._send(sender, MembershipRefusal(request.number, refusal_reason[:MAX_SENT_REASON_CHARS]))
            return
        is_member = self._state.has_member(sender, request.run_id)
        if not is_member and len(self._joining) < MAX_JOIN_COUNT:
            self._joining[sender] = request.run_id
            self.next_deadline_ms = now_ms
        # Once the commit is proposed, other servers can switch, so no leases for the old version are granted.
        is_leased = is_member and not self.committing_change_id
        if self.reports.record(sender, request, is_leased, now_ms):
            self.next_deadline_ms = now_ms
        reply = LeaseReply(
            request.number,
            is_member,
            self._state.version,
            self._state.pending_change_id,
            self._requested_phase(),
            self._ended_change(request.change_id),
            is_leased,
            self._raft.voters,
        )
        self._send(sender, reply)

    def _refusal_reason(self, sender: str, request: LeaseRequest) -> str:
        """Returns the reason why the sender can't be a member, or an empty string if it can."""
        own_fingerprint = self._settings.fingerprint
        if request.fingerprint != own_fingerprint:
            leader = self._raft.name
            return f"its [policies] is another than {leader}'s: {request.fingerprint}, not {own_fingerprint}"
        state = self._state
        if state.has_capacity_for(sender):
            return ""
        return f"{state.max_member_count} members are counted, which is the most"

    def _requested_phase(self) -> ChangePhase:
        """Returns the phase for lease replies; VALIDATE if `tick` has not seen the change in progress yet."""
        if self._change_id == self._state.pending_change_id:
            return self.phase
        return ChangePhase.VALIDATE if self._state.pending_change_id else ChangePhase.NONE

    def _ended_change(self, change_id: str) -> EndedChange | None:
        """Returns the outcome of the change; None if the change is unknown or in progress."""
        if not change_id or change_id == self._state.pending_change_id:
            return None
        change = self._state.find_change(change_id)
        if change is None:
            return None
        reason = change.outcome_reason[:MAX_SENT_REASON_CHARS]
        return EndedChange(change_id, change.outcome.value, change.version, reason)

    def on_policy_request(self, sender: str, request: PolicyRequest) -> None:
        """Sends the requested policy if it belongs to the change in progress or to the version in force."""
        state = self._state
        if request.change_id and request.change_id == state.pending_change_id:
            policy = state.changes[request.change_id].policy
            self._send(sender, PolicyText(request.change_id, 0, policy))
        elif not request.change_id and request.version == state.version:
            self._send(sender, PolicyText("", request.version, state.policies[request.version]))

    # Requests of operators

    def on_operator_request(self, sender: str, request: OperatorRequest, now_ms: float) -> None:
        """Executes an operator's command and replies with a status, if this voter is the leader.

        No status is sent for a new change, because the change has a status only once its first log entry is
        applied. The sender repeats the command until the reported outcome is final.
        """
        if not self._is_leading(now_ms):
            return
        change_id = request.change_id
        change = self._state.find_change(change_id)
        match request.command:
            case ChangeVoters() as command:
                self._change_voters(sender, change_id, command, now_ms)
                return
            case DeclareDeparted(name, run_id):
                self._remove_member(sender, change_id, name, run_id)
                return
            case ProposeChange(policy, author, reason) if change is None:
                opened_at_ms = self._wall_clock_ms()
                self._propose_once(change_id, OpenChange(change_id, policy, author, reason, opened_at_ms))
            case WithdrawChange(author, reason) if _can_be_withdrawn(change):
                outcome_reason = f"withdrawn by {author}: {reason}"
                end = EndChange(change_id, ChangeOutcome.WITHDRAWN, outcome_reason, self._wall_clock_ms())
                self._propose_once(f"{change_id} withdrawn", end)
        if change is not None:
            self._send(sender, self._change_status(change, now_ms))
        elif self._state.is_full:
            self._send(sender, ChangeStatus(change_id, UNKNOWN_OUTCOME, 0, "the book is full"))
        elif isinstance(request.command, FindChange):
            reason = "nobody has proposed it here"
            self._send(sender, ChangeStatus(change_id, UNKNOWN_OUTCOME, 0, reason))

    def _change_status(self, change: Change, now_ms: float) -> ChangeStatus:
        waiting: list[WaitingMember] = []
        if change.id == self._state.pending_change_id:
            waiting = self.unprepared_members(now_ms)[:MAX_REPORTED_MEMBER_COUNT]
        outcome = change.outcome.value
        return ChangeStatus(change.id, outcome, change.version, change.outcome_reason, tuple(waiting))

    def _change_voters(self, sender: str, change_id: str, command: ChangeVoters, now_ms: float) -> None:
        run_id = self._state.members.get(command.name)
        can_become_voter = self.reports.can_become_voter(command.name, run_id)
        plan = plan_voter_change(self._raft, command, can_become_voter, now_ms)
        if plan.new_voters:
            self._raft.change_voters(plan.new_voters, now_ms)
        outcome = ChangeOutcome.COMMITTED.value if plan.is_done else UNKNOWN_OUTCOME
        reason = plan.reason or f"voters are {', '.join(self._raft.voters)}"
        self._send(sender, ChangeStatus(change_id, outcome, 0, reason))

    def _remove_member(self, sender: str, change_id: str, name: str, run_id: int) -> None:
        """Proposes to remove the member `name` if its run id is `run_id`.

        Otherwise, the process `run_id` is no longer a member, and the reply reports success. A newer process
        that has joined under the same name remains a member.
        """
        if self._state.has_member(name, run_id):
            self._propose_once(f"{name} {run_id} gone", RemoveMember(name, run_id))
            return
        reason = f"that run of {name} is not counted"
        self._send(sender, ChangeStatus(change_id, ChangeOutcome.COMMITTED.value, 0, reason))

    def on_departure(self, sender: str, run_id: int, now_ms: float) -> None:
        """Proposes to remove the member `sender`, which has announced the end of its process `run_id`."""
        if self._state.has_member(sender, run_id) and self._is_leading(now_ms):
            self._propose_once(f"{sender} {run_id} gone", RemoveMember(sender, run_id))

    def _propose(self, command: Command) -> int | None:
        """Appends a command to the log; returns the entry's index, or None if Raft rejects the proposal."""
        return self._raft.propose(encode_command(command))

    def _propose_once(self, key: str, command: Command) -> None:
        """Proposes a command unless an earlier proposal with the same key is still uncommitted.

        This keeps repeated requests from filling the log; a duplicate entry would have no effect anyway.
        """
        if self._proposed_entry_index.get(key, 0) <= self._raft.commit_index:
            index = self._propose(command)
            if index is not None:
                self._proposed_entry_index[key] = index

    # Progress of a change

    def unprepared_members(self, now_ms: float) -> list[WaitingMember]:
        """Returns the members that a commit waits for: those neither prepared nor certainly on standby."""
        waiting = []
        for name, run_id in self._state.members.items():
            state = self.reports.state_of(name, run_id, self._state.pending_change_id)
            if state != ParticipantState.PREPARED and not self.reports.is_on_standby(name, now_ms):
                waiting.append(WaitingMember(name, state))
        return waiting

    def tick(self, now_ms: float) -> None:
        """Proposes joins, advances the change in progress and polls lagging members."""
        if not self._is_leading(now_ms):
            self.next_deadline_ms = now_ms + IDLE_TICK_INTERVAL_MS
            return
        is_busy = bool(self._state.pending_change_id or self._joining)
        self.next_deadline_ms = now_ms + (BUSY_TICK_INTERVAL_MS if is_busy else IDLE_TICK_INTERVAL_MS)
        self._drop_committed_proposals()
        self._propose_joins()
        self._observe_applied_entries(now_ms)
        if self._state.pending_change_id:
            self._advance_change(now_ms)
        self._poll_lagging_members(now_ms)

    def _drop_committed_proposals(self) -> None:
        commit_index = self._raft.commit_index
        self._proposed_entry_index = {
            key: index for key, index in self._proposed_entry_index.items() if index > commit_index
        }

    def _propose_joins(self) -> None:
        joining = [item for item in self._joining.items() if not self._state.has_member(*item)]
        if not joining:
            self._joining.clear()
            return
        is_earlier_join_applied = self._join_entry_index <= self._raft.commit_index
        if is_earlier_join_applied and not self.committing_change_id:  # a join would void the commit
            index = self._propose(JoinMembers(tuple(joining)))
            if index is not None:
                self._join_entry_index = index

    def _observe_applied_entries(self, now_ms: float) -> None:
        """Updates the coordinator after the state machine has applied entries."""
        state = self._state
        if self._version != state.version:
            self._version = state.version
            self._committed_at_ms = now_ms
            self._last_poll_at_ms = NEVER_MS
        is_another_pending = state.pending_change_id != self.committing_change_id
        is_commit_applied = self._raft.commit_index >= self._commit_entry_index
        if self.committing_change_id and (is_another_pending or is_commit_applied):
            self.committing_change_id = ""  # committed, or void because a member joined
        if state.pending_change_id != self._change_id:
            self._change_id = state.pending_change_id
            self.phase = ChangePhase.VALIDATE
            self._change_began_at_ms = now_ms
            self._last_poll_at_ms = NEVER_MS

    def _advance_change(self, now_ms: float) -> None:
        """Ends the change in progress, proposes its commit, or starts its prepare phase.

        The choice depends on the states of the members and on the time since the change began.
        """
        change_id = self._state.pending_change_id
        if self.committing_change_id or self._ending_change_id == change_id:
            return
        waiting = self.unprepared_members(now_ms)
        rejecting = next((member for member in waiting if member.state == ParticipantState.REJECTED), None)
        if rejecting is not None:
            reason = self.reports.by_member[rejecting.name].request.rejection_reason
            self._end_change(change_id, ChangeOutcome.REJECTED, f"{rejecting.name}: {reason}")
        elif now_ms - self._change_began_at_ms > self._settings.change_timeout_ms:
            reason = f"not in time; it waited for {_describe_waiting(waiting)}"
            self._end_change(change_id, ChangeOutcome.WITHDRAWN, reason)
        elif not waiting and self._state.members and not self._joining:
            index = self._propose(CommitChange(change_id, self._state.join_count))
            if index is not None:
                self.committing_change_id = change_id
                self._commit_entry_index = index
        elif self.phase is ChangePhase.VALIDATE and _are_all_validated(waiting):
            self.phase = ChangePhase.PREPARE
            self._last_poll_at_ms = NEVER_MS

    def _end_change(self, change_id: str, outcome: ChangeOutcome, reason: str) -> None:
        end = EndChange(change_id, outcome, reason, self._wall_clock_ms())
        if self._propose(end) is not None:
            self._ending_change_id = change_id

    def _poll_lagging_members(self, now_ms: float) -> None:
        """Polls the members whose last report lags behind the requested phase or the version in force."""
        if now_ms - self._last_poll_at_ms < POLL_INTERVAL_MS:
            return
        is_after_commit = now_ms - self._committed_at_ms < POLL_AFTER_COMMIT_MS
        if not self._state.pending_change_id and not is_after_commit:
            return
        self._last_poll_at_ms = now_ms
        for name, run_id in self._state.members.items():
            if self._is_lagging(self.reports.by_member.get(name), run_id):
                self._send(name, StatusPoll())

    def _is_lagging(self, report: MemberReport | None, run_id: int) -> bool:
        if report is None or report.request.run_id != run_id or report.request.version < self._state.version:
            return True
        change_id = self._state.pending_change_id
        if not change_id:
            return bool(report.request.change_id)  # still in a change that has ended
        has_expected_state = report.request.state in EXPECTED_STATES[self.phase]
        return report.request.change_id != change_id or not has_expected_state


def _can_be_withdrawn(change: Change | None) -> bool:
    """Returns whether a change can still be withdrawn; None stands for a change that is not proposed yet."""
    return change is None or change.outcome is ChangeOutcome.PENDING


def _are_all_validated(waiting: list[WaitingMember]) -> bool:
    return all(member.state == ParticipantState.VALIDATED for member in waiting)


def _describe_waiting(waiting: list[WaitingMember]) -> str:
    """Returns names and states of the first members in `waiting`, to explain why a change timed out."""
    named = [f"{member.name} ({member.state or 'no text yet'})" for member in waiting]
    unnamed_count = len(named) - MAX_NAMED_MEMBER_COUNT
    more = f" and {unnamed_count} more" if unnamed_count > 0 else ""
    return ", ".join(named[:MAX_NAMED_MEMBER_COUNT]) + more
