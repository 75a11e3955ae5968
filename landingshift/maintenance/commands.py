"""Commands of the replicated state machine, as types; `storage` has their stored form."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.maintenance.capacity_constraints import MachineFacts
from landingshift.maintenance.requests import MaintenanceRequest, RequestState


@dataclass(frozen=True, slots=True)
class AddRequests:
    """Operators request maintenance of machines."""

    requests: tuple[MaintenanceRequest, ...]


@dataclass(frozen=True, slots=True)
class IssuePermit:
    """The leader lets a machine leave."""

    name: str
    run_id: int
    """Number of the process that the permit is meant for."""
    issued_at_ms: float
    """Monotonic ms of the leader."""


@dataclass(frozen=True, slots=True)
class ChangeState:
    """A request enters another state."""

    name: str
    permit_number: int
    """The permit that the request had when this was proposed."""
    new_state: RequestState
    reason: str
    changed_at_ms: float
    """Unix ms of the leader."""


@dataclass(frozen=True, slots=True)
class SetPause:
    """No permits are issued or offered from now on; an empty reason resumes."""

    reason: str


@dataclass(frozen=True, slots=True)
class RegisterMachine:
    """A machine reported for the first time, or its facts changed."""

    name: str
    facts: MachineFacts


@dataclass(frozen=True, slots=True)
class ForgetMachine:
    """Membership has forgotten a machine."""

    name: str


@dataclass(frozen=True, slots=True)
class RecordDemand:
    """The largest demand of a quarter of an hour of the day that is over."""

    quarter: int
    rpcs_per_second: float


Command = AddRequests | IssuePermit | ChangeState | SetPause | RegisterMachine | ForgetMachine | RecordDemand
