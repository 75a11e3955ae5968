"""Maintenance requests, their states, and the table of legal transitions.

A request changes state only along `TRANSITIONS`, and a transition initiated by its machine must carry the
permit in force. A stale or repeated command therefore fails with a typed error and is never applied twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from landingshift.maintenance.errors import InvalidTransitionError, StalePermitError


class RequestState(Enum):
    """State of a request. The values are stored, and sent to servers and operators."""

    REQUESTED = "wished"
    PERMITTED = "permitted"
    """The machine may start to drain until its permit expires."""
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"
    """The process has restarted, but gateways may not route to it yet."""
    WARMING_UP = "warming"
    COMPLETED = "done"
    CANCELLED = "cancelled"
    REJECTED = "refused"


class Initiator(Enum):
    """Party that initiates a transition."""

    LEADER = "leader"
    OPERATOR = "operator"
    MACHINE = "machine"


TRANSITIONS: dict[tuple[RequestState, RequestState], Initiator] = {
    (RequestState.REQUESTED, RequestState.PERMITTED): Initiator.LEADER,
    (RequestState.REQUESTED, RequestState.CANCELLED): Initiator.OPERATOR,
    (RequestState.REQUESTED, RequestState.REJECTED): Initiator.LEADER,
    (RequestState.PERMITTED, RequestState.DRAINING): Initiator.MACHINE,
    # The permit expired unused, or the process restarted before it drained.
    (RequestState.PERMITTED, RequestState.REQUESTED): Initiator.LEADER,
    (RequestState.PERMITTED, RequestState.CANCELLED): Initiator.OPERATOR,
    (RequestState.DRAINING, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
    # The process was killed while it drained, and restarted.
    (RequestState.DRAINING, RequestState.RETURNING): Initiator.MACHINE,
    (RequestState.OUT_OF_SERVICE, RequestState.RETURNING): Initiator.MACHINE,
    (RequestState.RETURNING, RequestState.WARMING_UP): Initiator.MACHINE,
    # The machine crashed after its restart.
    (RequestState.RETURNING, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
    (RequestState.WARMING_UP, RequestState.COMPLETED): Initiator.MACHINE,
    (RequestState.WARMING_UP, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
}

FINAL_STATES = (RequestState.COMPLETED, RequestState.CANCELLED, RequestState.REJECTED)
UNAVAILABLE_STATES = (
    RequestState.PERMITTED,  # the machine may start to drain at any moment
    RequestState.DRAINING,
    RequestState.OUT_OF_SERVICE,
    RequestState.RETURNING,
)
"""States in which the whole capacity of a machine counts as unavailable."""


@dataclass(slots=True)
class MaintenanceRequest:
    """A request to take one machine out of service. Times are Unix ms unless stated otherwise."""

    name: str
    duration_minutes: float
    """Expected duration of the work."""
    requested_at_ms: float
    urgency: float = 1.0
    """Weight of the waiting time: of two requests with equal waiting times, urgency 2 precedes 1."""
    not_before_ms: float = 0.0
    not_after_ms: float = float("inf")
    is_exclusive: bool = False
    """Whether no other machine may be out of service at the same time."""
    group: str = ""
    """Name of the group whose machines drain together or not at all; empty without a group."""
    state: RequestState = RequestState.REQUESTED
    permit_number: int = 0
    """Number of the permit in force; 0 without one."""
    permitted_at_ms: float = 0.0
    """Time at which the permit was issued, in monotonic ms of the leader."""
    warm_fraction: float = 0.0
    """Fraction of the capacity that is in service while the machine warms up."""
    reason: str = ""
    """Reason given by the latest `ChangeState` command, for operators; may be empty."""

    def transition(self, new_state: RequestState, permit_number: int = 0) -> None:
        """Changes the state to `new_state`.

        Args:
            new_state: State to enter.
            permit_number: Permit under which the machine acts; checked only if the machine is the initiator.

        Raises:
            InvalidTransitionError: `TRANSITIONS` has no such transition.
            StalePermitError: The machine acts under a permit other than the one in force.
        """
        initiator = TRANSITIONS.get((self.state, new_state))
        if initiator is None:
            raise InvalidTransitionError(self.name, self.state.value, new_state.value)
        if initiator is Initiator.MACHINE and permit_number != self.permit_number:
            raise StalePermitError(self.name, permit_number, self.permit_number)
        self.state = new_state

    def unavailable_fraction(self) -> float:
        """Returns the fraction of the machine's capacity that is unavailable because of this request."""
        if self.state in UNAVAILABLE_STATES:
            return 1.0
        if self.state is RequestState.WARMING_UP:
            return 1.0 - self.warm_fraction
        return 0.0

    @property
    def accounts_for_unavailability(self) -> bool:
        """Whether missing capacity of the machine is planned, so that it must not also count as lost."""
        return self.state in UNAVAILABLE_STATES or self.state is RequestState.WARMING_UP


class CompletedRequest(Struct, array_like=True):
    """Ended request in the history. Stored as an array, so the order of the fields is fixed."""

    name: str
    final_state: str
    """Stored value of one of `FINAL_STATES`."""
    reason: str
    requested_at_ms: float
    """Unix ms."""
    ended_at_ms: float
    """Unix ms of the leader."""
    permit_number: int


def unavailable_fractions(
    requests: Iterable[MaintenanceRequest], lost: Mapping[str, float]
) -> dict[str, float]:
    """Returns the unavailable fraction of each machine, by name.

    Args:
        requests: All requests; those under way make their machines unavailable as planned.
        lost: Fraction of each machine that is unavailable without a plan, by name; overrides `requests`.
    """
    planned = {}
    for request in requests:
        fraction = request.unavailable_fraction()
        if fraction > 0.0:
            planned[request.name] = fraction
    return planned | dict(lost)
