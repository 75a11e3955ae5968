"""A machine's request for maintenance and its states, with one table of the legal transitions.

A request moves only along `TRANSITIONS`; a transition that its machine brings about must name the permit in
force. A stale or repeated command therefore fails with a typed error and never moves a request twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from landingshift.maintenance.errors import InvalidTransitionError, StalePermitError


class RequestState(Enum):
    """How far a request is. The values are stored and sent."""

    REQUESTED = "wished"
    PERMITTED = "permitted"
    """The machine may leave, if it does so before its permit expires."""
    DRAINING = "draining"
    OUT_OF_SERVICE = "out"
    RETURNING = "returning"
    """Its process is back, but gateways do not know it yet."""
    WARMING_UP = "warming"
    COMPLETED = "done"
    CANCELLED = "cancelled"
    REJECTED = "refused"


class Initiator(Enum):
    """Who brings a transition about."""

    LEADER = "leader"
    OPERATOR = "operator"
    MACHINE = "machine"


TRANSITIONS: dict[tuple[RequestState, RequestState], Initiator] = {
    (RequestState.REQUESTED, RequestState.PERMITTED): Initiator.LEADER,
    (RequestState.REQUESTED, RequestState.CANCELLED): Initiator.OPERATOR,
    (RequestState.REQUESTED, RequestState.REJECTED): Initiator.LEADER,
    (RequestState.PERMITTED, RequestState.DRAINING): Initiator.MACHINE,
    # The permit expired unused, or its process was restarted.
    (RequestState.PERMITTED, RequestState.REQUESTED): Initiator.LEADER,
    (RequestState.PERMITTED, RequestState.CANCELLED): Initiator.OPERATOR,
    (RequestState.DRAINING, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
    # Killed while it drained, and started again.
    (RequestState.DRAINING, RequestState.RETURNING): Initiator.MACHINE,
    (RequestState.OUT_OF_SERVICE, RequestState.RETURNING): Initiator.MACHINE,
    (RequestState.RETURNING, RequestState.WARMING_UP): Initiator.MACHINE,
    # It crashed on its way back.
    (RequestState.RETURNING, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
    (RequestState.WARMING_UP, RequestState.COMPLETED): Initiator.MACHINE,
    (RequestState.WARMING_UP, RequestState.OUT_OF_SERVICE): Initiator.MACHINE,
}

FINAL_STATES = (RequestState.COMPLETED, RequestState.CANCELLED, RequestState.REJECTED)
UNAVAILABLE_STATES = (
    RequestState.PERMITTED,  # it may leave at any moment
    RequestState.DRAINING,
    RequestState.OUT_OF_SERVICE,
    RequestState.RETURNING,
)
"""States in which a machine counts as out of service with all its capacity."""


@dataclass(slots=True)
class MaintenanceRequest:
    """One machine that operators want to take out of service. Times are Unix ms of the leader's clock."""

    name: str
    duration_minutes: float
    """How long the work is expected to take."""
    requested_at_ms: float
    urgency: float = 1.0
    """Weight of the time waited: 2 goes before 1 that has waited as long."""
    not_before_ms: float = 0.0
    not_after_ms: float = float("inf")
    is_exclusive: bool = False
    """No other machine may be out of service meanwhile."""
    group: str = ""
    """Machines of one group leave together or not at all; empty where it is in none."""
    state: RequestState = RequestState.REQUESTED
    permit_number: int = 0
    """Number of the permit in force; 0 before the first one."""
    permitted_at_ms: float = 0.0
    """When the permit was issued, by the leader's monotonic clock."""
    warm_fraction: float = 0.0
    """Share of its capacity that serves while it warms up."""
    reason: str = ""
    """Why it entered its present state, for operators."""

    def transition(self, new_state: RequestState, permit_number: int = 0) -> None:
        """Enters `new_state`.

        Args:
            new_state: The state to enter.
            permit_number: The permit that the machine acts by; looked at only where the machine initiates it.

        Raises:
            InvalidTransitionError: The table has no such transition.
            StalePermitError: The machine acts by another permit than the one in force.
        """
        initiator = TRANSITIONS.get((self.state, new_state))
        if initiator is None:
            raise InvalidTransitionError(self.name, self.state.value, new_state.value)
        if initiator is Initiator.MACHINE and permit_number != self.permit_number:
            raise StalePermitError(self.name, permit_number, self.permit_number)
        self.state = new_state

    def unavailable_fraction(self) -> float:
        """Returns the fraction of the machine's capacity that does not serve because of this request."""
        if self.state in UNAVAILABLE_STATES:
            return 1.0
        if self.state is RequestState.WARMING_UP:
            return 1.0 - self.warm_fraction
        return 0.0

    @property
    def accounts_for_unavailability(self) -> bool:
        """Returns whether the missing capacity is planned, so that it must not count as lost as well."""
        return self.state in UNAVAILABLE_STATES or self.state is RequestState.WARMING_UP


class CompletedRequest(Struct, array_like=True):
    """A request that has ended, as kept in the history. Stored as an array: the order of fields is fixed."""

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
    """Returns by name the fraction of each machine that does not serve, planned or `lost` without a plan."""
    planned = {}
    for request in requests:
        fraction = request.unavailable_fraction()
        if fraction > 0.0:
            planned[request.name] = fraction
    return planned | dict(lost)
