"""Errors of the policies package; their messages are shown to operators."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class PolicyError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidPolicyError(PolicyError, ValueError):
    """A policy can't be read, or this server can't apply it; the message begins with the key.

    Attributes:
        key: Dotted path of the invalid value, or a phrase that stands for the whole policy.
        reason: Description of the problem.
    """

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class InvalidSettingError(PolicyError, ValueError):
    """A value in the table `[policies]` can't be used; the message begins with the key."""

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class UnreadableMessageError(PolicyError):
    """A peer's message is not part of this protocol, or comes from a newer build."""

    def __init__(self, body: list[object]) -> None:
        self.body = body
        super().__init__(f"unreadable policy message that begins with {body[:1]!r}")


class OperatorCallError(PolicyError, ValueError):
    """An operator's call can't be answered; the message says why."""


class InvalidParamsError(OperatorCallError):
    """The parameters of a call are invalid; the message says which are expected."""

    def __init__(self, expectation: str) -> None:
        self.expectation = expectation
        super().__init__(expectation)


class UnknownMemberError(OperatorCallError):
    """This server knows no member of the given name."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: nobody of that name is known here")


class MemberAliveError(OperatorCallError):
    """A member that an operator declares departed is alive according to this server's membership."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: membership reports it as alive; only a stopped server can be removed")


class NotAVoterError(OperatorCallError):
    """This server is not a voter, and only voters can answer the call."""

    def __init__(self, voters: list[str]) -> None:
        self.voters = voters
        super().__init__(f"this server is not a voter; ask one of {', '.join(voters)}")


class PolicyNotStoredError(OperatorCallError):
    """This server no longer stores the policy of a version, or never did."""

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(f"version {version}: its text is not kept here")


class TrustRejectedError(OperatorCallError):
    """A version that an operator declares to be in force can't be adopted."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)
