"""Log lines and failpoints for the steps of a policy change on this server, as participant and as leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from landingshift import failpoints
from landingshift.policies.node import PolicyNode
from landingshift.policies.participant import ParticipantState

COMMITTING_STEP = "switching"  # the leader has proposed the commit, which is not applied yet
NO_STEP = "none"  # replaces an empty step or state in the names of failpoints


@dataclass(slots=True, frozen=True)
class ChangeProgress:
    """Progress of a change as this server sees it.

    Attributes:
        change_id: Id of the change that this server takes part in; empty if there is none.
        state: State of this server in that change.
        pending_change_id: Id of the change in progress, according to the entries applied here.
        is_leader: Whether this server is the leader.
        leader_step: `ChangePhase` value or `COMMITTING_STEP`; empty if this server is not the leader or no
            change is in progress.
    """

    change_id: str = ""
    state: ParticipantState = ParticipantState.NONE
    pending_change_id: str = ""
    is_leader: bool = False
    leader_step: str = ""


class ChangeLog:
    """Logs the progress of policy changes on this server, and calls `failpoints.reach` for each step.

    Each such call passes a failpoint: a named point at which a test can kill or delay the process.
    """

    def __init__(self, node: PolicyNode, log: Callable[..., None]) -> None:
        self._node = node
        self._log = log
        self._previous = ChangeProgress()

    def update(self, now_ms: float) -> None:
        """Compares the current progress with the progress at the previous call, and reports the differences.

        Logs a new state of this server, the start or end of this server's leadership, and the outcome of a
        change that has ended. Calls `failpoints.reach` for a new state and for a new step of the leader.
        """
        current = self._progress(now_ms)
        if current == self._previous:
            return
        previous = self._previous
        self._previous = current
        if current.leader_step != previous.leader_step:
            failpoints.reach(f"policies.leads_{current.leader_step or NO_STEP}")
        if (current.state, current.change_id) != (previous.state, previous.change_id):
            failpoints.reach(f"policies.{current.state.value or NO_STEP}")
            reason = self._node.participant.rejection_reason
            self._log("policy_stage", change=current.change_id, stage=current.state.value, said=reason)
        if current.is_leader != previous.is_leader:
            raft = self._node.raft
            term = raft.current_term if raft is not None else 0
            self._log("policy_leads", on=current.is_leader, term=term)
        if previous.pending_change_id and current.pending_change_id != previous.pending_change_id:
            self._log_ended(previous.pending_change_id)

    def _progress(self, now_ms: float) -> ChangeProgress:
        raft, coordinator = self._node.raft, self._node.coordinator
        participant = self._node.participant
        pending_change_id = self._node.state_machine.pending_change_id
        is_leader = raft is not None and raft.has_leader_lease(now_ms)
        leader_step = ""
        if is_leader and coordinator is not None and pending_change_id:
            is_committing = bool(coordinator.committing_change_id)
            leader_step = COMMITTING_STEP if is_committing else coordinator.phase.value
        return ChangeProgress(
            participant.change_id, participant.state, pending_change_id, is_leader, leader_step
        )

    def _log_ended(self, change_id: str) -> None:
        change = self._node.state_machine.find_change(change_id)
        if change is not None:
            outcome = change.outcome.value
            self._log("policy_ended", change=change.id, end=outcome, said=change.outcome_reason)
