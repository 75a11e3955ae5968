"""Errors of the testbed."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class TestbedError(LandingshiftError):
    """Base of all errors of the testbed."""

    __test__ = False  # no test case, whatever its name begins with


class InvalidScenarioError(TestbedError, ValueError):
    """A file that holds no scenario.

    Attributes:
        place: Which part of the file.
        problem: What is wrong with it.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place}: {problem}")
        self.place = place
        self.problem = problem


class UndecodableScenarioError(InvalidScenarioError):
    """The file has no scenario's form."""

    def __init__(self, problem: str) -> None:
        super().__init__("not a day", problem)


class VoterCountError(InvalidScenarioError):
    """More voters than servers, or none."""

    def __init__(self, max_servers: int) -> None:
        super().__init__("servers, voters", f"1 <= voters <= servers <= {max_servers} is expected")


class RealCaseError(TestbedError, RuntimeError):
    """Real processes did not get as far as a case needs them to."""


class HarnessUnresponsiveError(RealCaseError):
    """The harness's own thread does nothing any more."""

    def __init__(self) -> None:
        super().__init__("the rig's loop hangs")


class NoFreeAddressError(RealCaseError):
    """No loopback address or port is free."""

    def __init__(self, resource: str) -> None:
        super().__init__(f"no free {resource}")
        self.resource = resource


class ServerNotStartedError(RealCaseError):
    """A server process ended before it took RPCs; the text is what it wrote."""


class NotAllDecideError(RealCaseError):
    """Not all servers have a policy to decide by in time."""

    def __init__(self, statuses: list[dict[str, object]]) -> None:
        super().__init__(f"not all decide: {statuses}")
        self.statuses = statuses


class NoLeaderError(RealCaseError):
    """No voter leads in time."""

    def __init__(self) -> None:
        super().__init__("nobody leads")


class MemberNotGoneError(RealCaseError):
    """A server does not take a member's departure for final in time."""

    def __init__(self, name: str, server: int) -> None:
        super().__init__(f"{name} does not count as gone at n{server}")
        self.name = name
        self.server = server
