"""Commands of the replicated state machine; `storage` encodes them for the replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.capacity_constraints import MachineFacts
from landingshift.maintenance.requests import MaintenanceRequest, RequestState


@dataclass(frozen=True, slots=True)
class AddRequests:
    """Adds requests made by an operator."""

    requests: tuple[MaintenanceRequest, ...]


@dataclass(frozen=True, slots=True)
class IssuePermit:
    """Issues a permit to drain to a machine."""

    name: str
    run_id: int
    """Run ID of the process that the permit is issued to."""
    issued_at_ms: float
    """Time of the proposal, in monotonic ms of the leader."""


@dataclass(frozen=True, slots=True)
class ChangeState:
    """Changes the state of a request."""

    name: str
    permit_number: int
    """Number of the permit in force when the command was proposed; 0 without one."""
    new_state: RequestState
    reason: str
    changed_at_ms: float
    """Time of the proposal, in Unix ms of the leader."""


@dataclass(frozen=True, slots=True)
class SetPause:
    """Pauses the issue and offer of permits; an empty reason resumes it."""

    reason: str


@dataclass(frozen=True, slots=True)
class RegisterMachine:
    """Records the facts of a machine after its first report or a change."""

    name: str
    facts: MachineFacts


@dataclass(frozen=True, slots=True)
class ForgetMachine:
    """Removes a machine that membership no longer knows."""

    name: str


@dataclass(frozen=True, slots=True)
class RecordDemand:
    """Records the peak demand of a quarter-hour of the day that has ended.

    Attributes:
        quarter: Index of the quarter-hour, counted from midnight UTC.
        rpcs_per_second: Peak demand.
    """

    quarter: int
    rpcs_per_second: float


Command = AddRequests | IssuePermit | ChangeState | SetPause | RegisterMachine | ForgetMachine | RecordDemand
