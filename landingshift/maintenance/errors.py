"""Errors of the maintenance package; their texts are shown to operators and sent to peers."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class MaintenanceError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidTransitionError(MaintenanceError, ValueError):
    """A request can't change from its current state to the requested one.

    Attributes:
        machine: Name of the machine.
        current: Stored value of the current state.
        requested: Stored value of the requested state.
    """

    def __init__(self, machine: str, current: str, requested: str) -> None:
        self.machine = machine
        self.current = current
        self.requested = requested
        super().__init__(f"{machine}: no transition from {current} to {requested}")


class StalePermitError(MaintenanceError, ValueError):
    """A machine acted under a permit that is not the one in force.

    Attributes:
        machine: Name of the machine.
        permit_number: Permit under which the machine acted.
        permit_in_force: Current permit of its request.
    """

    def __init__(self, machine: str, permit_number: int, permit_in_force: int) -> None:
        self.machine = machine
        self.permit_number = permit_number
        self.permit_in_force = permit_in_force
        super().__init__(f"{machine}: permit {permit_number} is not the permit in force, {permit_in_force}")


class InvalidMessageError(MaintenanceError, ValueError):
    """A message between servers is neither a report nor an answer to one."""

    def __init__(self) -> None:
        super().__init__("neither a report of a machine nor an answer to one")


class TooManyMachinesError(MaintenanceError, ValueError):
    """There are too many machines for an exhaustive search.

    Attributes:
        count: Number of machines.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        super().__init__(f"{count} machines are too many for an exhaustive search")


class InvalidSettingError(MaintenanceError, ValueError):
    """A key of the table `[upkeep]` has an invalid value.

    Attributes:
        key: Name of the key.
    """

    def __init__(self, key: str, problem: str) -> None:
        self.key = key
        super().__init__(f"{key}: {problem}")


class NotLeaderError(MaintenanceError, ValueError):
    """An operator call that only the leader can answer reached another server.

    Attributes:
        leader: Name of the leader; empty if none is known.
    """

    def __init__(self, leader: str) -> None:
        self.leader = leader
        super().__init__(f"this server is not the leader: call {leader or 'another voter'}")


class ProposalRejectedError(MaintenanceError, ValueError):
    """The consensus group did not accept a proposal."""

    def __init__(self) -> None:
        super().__init__("the consensus group accepts no proposals at present")


class InvalidCallError(MaintenanceError, ValueError):
    """An operator call has invalid parameters; the text says which are expected."""


class MachineCountError(InvalidCallError):
    """A call names no machine or too many.

    Attributes:
        max_count: Maximum number of machines in one call.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        super().__init__(f"1 to {max_count} machines are expected")


class RequestLimitsError(InvalidCallError):
    """A request has a name, a duration or an urgency out of range.

    Attributes:
        machine: Name as given, truncated to the maximum length.
    """

    def __init__(self, machine: str) -> None:
        self.machine = machine
        super().__init__(
            f"{machine}: a name of 1 to 32 characters, minutes above 0 and up to 100000, "
            "and an urgency above 0 and up to 100 are expected"
        )


class RequestFormError(InvalidCallError):
    """A request is not a row of the expected values."""

    def __init__(self) -> None:
        super().__init__("a row is name, minutes, urgency, not_before, not_after, alone, group")


class PauseReasonError(InvalidCallError):
    """The parameters of a pause are not exactly one text."""

    def __init__(self) -> None:
        super().__init__("a reason is expected, or nothing to go on")
