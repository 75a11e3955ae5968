"""Rate limit for repeated proposals.

The coordinator proposes a command in each evaluation until the command is applied, since an entry may be lost
when the leader changes. At most one proposal of the same command is made in each retry interval.
"""

from __future__ import annotations

from landingshift.maintenance.commands import (
    AddRequests,
    ChangeState,
    Command,
    ForgetMachine,
    IssuePermit,
    RecordDemand,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.environment import CoordinatorEnvironment

RETRY_INTERVAL_MS = 1000.0
MAX_TRACKED_COUNT = 10_000
"""Maximum number of tracked commands and permits, which bounds the memory of a long term.

Beyond it all are discarded; later evaluations propose or withhold again what is still due.
"""
NEVER_MS = -1e9

CommandKey = tuple[object, ...]


def command_key(command: Command) -> CommandKey:
    """Returns the key of a command; commands with equal keys count as repetitions of one proposal."""
    match command:
        case ChangeState(name, permit_number, new_state):
            return ChangeState, new_state, name, permit_number
        case IssuePermit(name) | RegisterMachine(name) | ForgetMachine(name):
            return type(command), name
        case RecordDemand(quarter):
            return RecordDemand, quarter
        case SetPause() | AddRequests():
            return (type(command),)


class Proposals:
    """Tracks recent proposals of one term, and the permits that are withheld."""

    def __init__(self, environment: CoordinatorEnvironment) -> None:
        self._environment = environment
        self._proposed_at_ms: dict[CommandKey, float] = {}
        self._withheld_permits: set[tuple[str, int]] = set()

    def clear(self) -> None:
        """Discards all tracked proposals and withheld permits at the start of a term."""
        self._proposed_at_ms.clear()
        self._withheld_permits.clear()

    def propose(self, command: Command, now_ms: float) -> None:
        """Proposes a command unless one with the same key was proposed within `RETRY_INTERVAL_MS`.

        Args:
            command: Command to propose.
            now_ms: Current monotonic time in ms.
        """
        key = command_key(command)
        if now_ms - self._proposed_at_ms.get(key, NEVER_MS) < RETRY_INTERVAL_MS:
            return
        if len(self._proposed_at_ms) + len(self._withheld_permits) >= MAX_TRACKED_COUNT:
            self.clear()
        self._proposed_at_ms[key] = now_ms
        self._environment.propose(command)

    def withhold_permit(self, name: str, permit_number: int) -> None:
        """Prevents an issued permit from being offered until the permits are released."""
        self._withheld_permits.add((name, permit_number))

    def release_permits(self) -> None:
        """Allows all withheld permits to be offered again."""
        self._withheld_permits.clear()

    def is_withheld(self, name: str, permit_number: int) -> bool:
        """Returns whether a permit must not be offered at present."""
        return (name, permit_number) in self._withheld_permits
