"""Operators' commands pending on this server, and the leader's replies to them.

Guarantee: a command is forwarded to the leader repeatedly until its outcome is final or the command times
out; a final outcome never changes. Failure mode: without a leader the outcome is "unknown".
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.policies.commands import FINAL_OUTCOMES, UNKNOWN_OUTCOME
from landingshift.policies.messages import ChangeStatus, FindChange, OperatorCommand, ProposeChange

FORWARD_INTERVAL_MS = 300.0  # between attempts to forward a command
COMMAND_TIMEOUT_MS = 120_000.0  # after which a command without a final outcome is dropped
MAX_PENDING_COMMAND_COUNT = 32
MAX_STORED_STATUS_COUNT = 256


@dataclass(slots=True)
class PendingOperatorCommand:
    """Operator's command whose outcome is not final yet.

    Attributes:
        command: The command. A later command for the same change can replace it.
        submitted_at_ms: Time when the operator submitted `command`.
        due_at_ms: Time of the next attempt to forward the command.
        attempt_count: Number of attempts to forward this command and the commands that it replaced.
    """

    command: OperatorCommand
    submitted_at_ms: float
    due_at_ms: float
    attempt_count: int = 0


class OperatorCommands:
    """Commands submitted to this server, and the replies to them.

    Attributes:
        pending: Commands whose outcome is not final yet, keyed by change id.
        statuses: The leader's last reply for each change, keyed by change id.
    """

    def __init__(self) -> None:
        self.pending: dict[str, PendingOperatorCommand] = {}
        self.statuses: dict[str, ChangeStatus] = {}

    def submit(self, change_id: str, command: OperatorCommand, now_ms: float) -> bool:
        """Queues a command, which replaces a pending command for the same change.

        A pending proposal is never replaced, and a `FindChange` replaces nothing.

        Returns:
            False if the command was dropped because too many are pending.
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
        """Returns the ids of the changes whose pending commands are due to be forwarded."""
        return [change_id for change_id, pending in self.pending.items() if pending.due_at_ms <= now_ms]

    def next_attempt(self, change_id: str, now_ms: float) -> PendingOperatorCommand | None:
        """Returns the pending command of a change for forwarding, and counts the attempt.

        If the command has timed out, drops the command and returns None.
        """
        pending = self.pending[change_id]
        pending.due_at_ms = now_ms + FORWARD_INTERVAL_MS
        if now_ms - pending.submitted_at_ms > COMMAND_TIMEOUT_MS:
            del self.pending[change_id]
            return None
        pending.attempt_count += 1
        return pending

    def on_status(self, status: ChangeStatus) -> None:
        """Stores the leader's reply to a pending command.

        Removes the command if the outcome in the reply is final, or if the command is a `FindChange`.
        """
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
        """Returns the final status of a change, or None if the leader has not reported one."""
        status = self.statuses.get(change_id)
        return status if status is not None and status.outcome in FINAL_OUTCOMES else None

    def last_status(self, change_id: str) -> ChangeStatus:
        """Returns the status that the leader reported last; "unknown" if it has reported none."""
        unknown = ChangeStatus(change_id, UNKNOWN_OUTCOME, 0, "no leader has answered yet")
        return self.statuses.get(change_id, unknown)
