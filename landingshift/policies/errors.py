"""Errors of the policies package; their messages are shown to operators."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class PolicyError(LandingshiftError):
    """Base class of all errors of this package."""


class InvalidPolicyError(PolicyError, ValueError):
    """A policy can't be read, or this server can't apply it; the message begins with `key`.

    Attributes:
        key: Dotted path of the invalid value; a phrase such as "the whole" if no single value is invalid.
        reason: Description of the problem.
    """

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class InvalidSettingError(PolicyError, ValueError):
    """A value in the table `[policies]` can't be used; the message begins with `key`."""

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class UnreadableMessageError(PolicyError):
    """A message from a peer can't be decoded: it is malformed, or comes from a newer build."""

    def __init__(self, body: list[object]) -> None:
        self.body = body
        super().__init__(f"unreadable policy message that begins with {body[:1]!r}")


class OperatorCallError(PolicyError, ValueError):
    """An operator's call can't be answered; the message says why."""


class InvalidParamsError(OperatorCallError):
    """The parameters of a call are invalid; the message describes the expected parameters."""

    def __init__(self, expectation: str) -> None:
        self.expectation = expectation
        super().__init__(expectation)


class UnknownMemberError(OperatorCallError):
    """This server knows no member of the given name."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: nobody of that name is known here")


class MemberAliveError(OperatorCallError):
    """An operator declared a member departed, but this server's membership reports the member as alive."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: membership reports it as alive; only a stopped server can be removed")


class NotAVoterError(OperatorCallError):
    """This server is not a voter, and only voters can answer the call."""

    def __init__(self, voters: list[str]) -> None:
        self.voters = voters
        super().__init__(f"this server is not a voter; ask one of {', '.join(voters)}")


class PolicyNotStoredError(OperatorCallError):
    """The policy of the requested version is not stored on this server."""

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(f"version {version}: its text is not kept here")


class TrustRejectedError(OperatorCallError):
    """This server can't adopt a version that an operator declared to be in force."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)
