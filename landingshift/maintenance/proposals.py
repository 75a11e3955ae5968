"""Proposals under way: an entry may be lost with a leader, so that each is repeated after a while."""

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
MAX_REMEMBERED_COUNT = 10_000
"""Bounds the memory of a long term: then everything is forgotten, and found again by the next evaluation."""
NEVER_MS = -1e9

Subject = tuple[object, ...]


def subject_of(command: Command) -> Subject:
    """Returns what a command is about: two commands of one subject are not proposed within the interval."""
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
    """What was proposed of late, and which permits are withheld meanwhile."""

    def __init__(self, environment: CoordinatorEnvironment) -> None:
        self._environment = environment
        self._proposed_at_ms: dict[Subject, float] = {}
        self._withheld_permits: set[tuple[str, int]] = set()

    def clear(self) -> None:
        """Forgets everything, at the beginning of a term."""
        self._proposed_at_ms.clear()
        self._withheld_permits.clear()

    def propose(self, command: Command, now_ms: float) -> None:
        """Proposes a command unless the same was proposed within the interval. `now_ms`: monotonic."""
        subject = subject_of(command)
        if now_ms - self._proposed_at_ms.get(subject, NEVER_MS) < RETRY_INTERVAL_MS:
            return
        if len(self._proposed_at_ms) + len(self._withheld_permits) >= MAX_REMEMBERED_COUNT:
            self.clear()
        self._proposed_at_ms[subject] = now_ms
        self._environment.propose(command)

    def withhold_permit(self, name: str, permit_number: int) -> None:
        """Marks a permit that was issued as not to be offered for the time being."""
        self._withheld_permits.add((name, permit_number))

    def release_permits(self) -> None:
        """Lets all withheld permits be offered again."""
        self._withheld_permits.clear()

    def is_withheld(self, name: str, permit_number: int) -> bool:
        """Returns whether a permit is not to be offered."""
        return (name, permit_number) in self._withheld_permits
