"""Errors of the maintenance package. Their texts are shown to operators and peers."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class MaintenanceError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidTransitionError(MaintenanceError, ValueError):
    """A request was to change to a state that its present state does not lead to.

    Attributes:
        machine: Name of the machine.
        current: Stored value of the state it is in.
        requested: Stored value of the state it was to get.
    """

    def __init__(self, machine: str, current: str, requested: str) -> None:
        self.machine = machine
        self.current = current
        self.requested = requested
        super().__init__(f"{machine}: {current}, so that it can't be {requested}")


class StalePermitError(MaintenanceError, ValueError):
    """A machine acted by a permit that is not the one in force.

    Attributes:
        machine: Name of the machine.
        permit_number: The permit that it named.
        permit_in_force: The permit that its request has.
    """

    def __init__(self, machine: str, permit_number: int, permit_in_force: int) -> None:
        self.machine = machine
        self.permit_number = permit_number
        self.permit_in_force = permit_in_force
        super().__init__(f"{machine}: permission {permit_number} is not the one in force, {permit_in_force}")


class InvalidMessageError(MaintenanceError, ValueError):
    """A message between servers does not have the form of a report or of its answer."""

    def __init__(self) -> None:
        super().__init__("not a report of a machine nor the answer to one")


class TooManyMachinesError(MaintenanceError, ValueError):
    """An exact search was asked for more machines than it can go through.

    Attributes:
        count: Machines that were given.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        super().__init__(f"{count} machines are too many to go through all orders")


class InvalidSettingError(MaintenanceError, ValueError):
    """A key of the table `[upkeep]` has a value that can't be used.

    Attributes:
        key: Name of the key.
    """

    def __init__(self, key: str, problem: str) -> None:
        self.key = key
        super().__init__(f"{key}: {problem}")


class NotLeaderError(MaintenanceError, ValueError):
    """An operator's call that only the leader can answer reached another server.

    Attributes:
        leader: Name of the leader, empty where none is known.
    """

    def __init__(self, leader: str) -> None:
        self.leader = leader
        super().__init__(f"it does not lead: ask {leader or 'a voter'}")


class ProposalRejectedError(MaintenanceError, ValueError):
    """The consensus group takes no entry just now."""

    def __init__(self) -> None:
        super().__init__("the agreement takes nothing just now")


class InvalidCallError(MaintenanceError, ValueError):
    """An operator's call has parameters that can't be used; the text says which are expected."""


class MachineCountError(InvalidCallError):
    """A call names no machine, or too many.

    Attributes:
        max_count: Machines that one call may name.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        super().__init__(f"1 to {max_count} machines are expected")


class RequestLimitsError(InvalidCallError):
    """A request has a name, a duration or an urgency out of its range.

    Attributes:
        machine: The name as it was given, cut off where it is too long.
    """

    def __init__(self, machine: str) -> None:
        self.machine = machine
        super().__init__(f"{machine}: minutes to 100000 and an urgency to 100 are expected")


class RequestFormError(InvalidCallError):
    """A request is not a row of the values that are expected."""

    def __init__(self) -> None:
        super().__init__("a row is name, minutes, urgency, not_before, not_after, alone, group")


class PauseReasonError(InvalidCallError):
    """A pause was requested with something else than one text."""

    def __init__(self) -> None:
        super().__init__("a reason is expected, or nothing to go on")
