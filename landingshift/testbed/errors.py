"""Errors of the testbed."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class TestbedError(LandingshiftError):
    """Base of all errors of the testbed."""

    __test__ = False  # keeps pytest from collecting the class as a test case because of its name


class InvalidScenarioError(TestbedError, ValueError):
    """A scenario file is invalid.

    Attributes:
        place: Path of the invalid field in the file, or the names of several invalid fields.
        problem: Description of the problem.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class UndecodableScenarioError(InvalidScenarioError):
    """A scenario file is not valid JSON or does not match the schema of scenarios."""

    def __init__(self, problem: str) -> None:
        super().__init__("invalid scenario file", problem)


class VoterCountError(InvalidScenarioError):
    """A scenario has no voter, more voters than servers, or too many servers."""

    def __init__(self, max_servers: int) -> None:
        super().__init__("servers, voters", f"1 <= voters <= servers <= {max_servers} is expected")


class RealCaseError(TestbedError, RuntimeError):
    """The server processes of a test with real processes did not reach the state that the test needs."""


class HarnessUnresponsiveError(RealCaseError):
    """The event loop thread of the test harness no longer runs callbacks."""

    def __init__(self) -> None:
        super().__init__("the event loop of the harness does not respond")


class NoFreeAddressError(RealCaseError):
    """No loopback address or port is free.

    Attributes:
        resource: Description of the address or port that is not available.
    """

    def __init__(self, resource: str) -> None:
        super().__init__(f"no free {resource}")
        self.resource = resource


class ServerNotStartedError(RealCaseError):
    """A server process ended before it accepted RPCs; the message is the output of the process."""


class NotAllDecideError(RealCaseError):
    """After the timeout, some servers still had no policy that allows them to decide about RPCs.

    Attributes:
        statuses: Policy status of each server.
    """

    def __init__(self, statuses: list[dict[str, object]]) -> None:
        super().__init__(f"some servers have no policy to decide by: {statuses}")
        self.statuses = statuses


class NoLeaderError(RealCaseError):
    """After the timeout, none of the voters had become leader."""

    def __init__(self) -> None:
        super().__init__("no voter became leader in time")


class MemberNotGoneError(RealCaseError):
    """After the timeout, a server still had not accepted that a member has departed for good.

    Attributes:
        name: Name of the departed member.
        server: Number of the server that did not accept the departure.
    """

    def __init__(self, name: str, server: int) -> None:
        super().__init__(f"n{server} does not accept that {name} has departed")
        self.name = name
        self.server = server
