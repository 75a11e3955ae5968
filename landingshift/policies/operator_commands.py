"""Operators' commands on their way to the leader, and what became of changes as far as this server knows.

Guarantee: a command is brought to the leader again and again until it is answered or too old; an outcome that
was told once is the same for ever. Failure mode: without a leader the answer is "unknown".
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.policies.commands import FINAL_OUTCOMES, UNKNOWN_OUTCOME
from landingshift.policies.messages import ChangeStatus, FindChange, OperatorCommand, ProposeChange

FORWARD_INTERVAL_MS = 300.0  # between two attempts to bring a command to the leader
COMMAND_TIMEOUT_MS = 120_000.0  # then one that nobody answered is given up
MAX_PENDING_COMMAND_COUNT = 32
MAX_STORED_STATUS_COUNT = 256


@dataclass(slots=True)
class PendingOperatorCommand:
    """What an operator wants, on its way to the leader.

    Attributes:
        command: What is wanted.
        submitted_at_ms: When it was last asked for.
        due_at_ms: When to bring it to the leader next.
        attempt_count: How often that was done.
    """

    command: OperatorCommand
    submitted_at_ms: float
    due_at_ms: float
    attempt_count: int = 0


class OperatorCommands:
    """Commands that were submitted to this server, and the answers to them.

    Attributes:
        pending: Commands without an answer by the id of their change.
        statuses: The last answers by the id of their change.
    """

    def __init__(self) -> None:
        self.pending: dict[str, PendingOperatorCommand] = {}
        self.statuses: dict[str, ChangeStatus] = {}

    def submit(self, change_id: str, command: OperatorCommand, now_ms: float) -> bool:
        """Takes a command; one for the same change takes the place of another, but for a proposal's.

        Returns:
            False where too many are pending.
        """
        pending = self.pending.get(change_id)
        if pending is None:
            if len(self.pending) >= MAX_PENDING_COMMAND_COUNT:
                return False
            self.pending[change_id] = PendingOperatorCommand(command, now_ms, now_ms)
        elif not isinstance(command, FindChange) and not isinstance(pending.command, ProposeChange):
            pending.command = command
            pending.submitted_at_ms = now_ms
        return True

    def due(self, now_ms: float) -> list[str]:
        """Ids whose command is to be brought to the leader now."""
        return [change_id for change_id, pending in self.pending.items() if pending.due_at_ms <= now_ms]

    def next_attempt(self, change_id: str, now_ms: float) -> PendingOperatorCommand | None:
        """Counts one more attempt; None where the command is too old, which gives it up."""
        pending = self.pending[change_id]
        pending.due_at_ms = now_ms + FORWARD_INTERVAL_MS
        if now_ms - pending.submitted_at_ms > COMMAND_TIMEOUT_MS:
            del self.pending[change_id]
            return None
        pending.attempt_count += 1
        return pending

    def on_status(self, status: ChangeStatus) -> None:
        """The leader's answer to a pending command."""
        change_id = status.change_id
        pending = self.pending.get(change_id)
        if pending is None:
            return
        self.statuses[change_id] = status
        if len(self.statuses) > MAX_STORED_STATUS_COUNT:
            del self.statuses[next(iter(self.statuses))]
        if status.outcome in FINAL_OUTCOMES or isinstance(pending.command, FindChange):
            del self.pending[change_id]

    def final_status(self, change_id: str) -> ChangeStatus | None:
        """How a change ended, where the leader has told it."""
        status = self.statuses.get(change_id)
        return status if status is not None and status.outcome in FINAL_OUTCOMES else None

    def last_status(self, change_id: str) -> ChangeStatus:
        """What the leader told last."""
        unknown = ChangeStatus(change_id, UNKNOWN_OUTCOME, 0, "no leader has told yet")
        return self.statuses.get(change_id, unknown)
