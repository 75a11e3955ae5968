"""Errors of the policies package. Their texts reach operators."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class PolicyError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidPolicyError(PolicyError, ValueError):
    """A policy that can't be read or that this server can't decide by; the text begins with the key.

    Attributes:
        key: Dotted path in the policy.
        reason: What is wrong with it.
    """

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class InvalidSettingError(PolicyError, ValueError):
    """A value of the table `[policies]` that can't be used; the text begins with the key."""

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class UnreadableMessageError(PolicyError):
    """A message of a peer that is none of this protocol, or of a newer build."""

    def __init__(self, body: list[object]) -> None:
        self.body = body
        super().__init__(f"no message of policies: {body[:1]!r}")


class OperatorCallError(PolicyError, ValueError):
    """An operator's call that can't be answered; the text says why."""


class InvalidParamsError(OperatorCallError):
    """The call's parameters are not what is expected."""

    def __init__(self, expectation: str) -> None:
        self.expectation = expectation
        super().__init__(expectation)


class UnknownMemberError(OperatorCallError):
    """Nobody of that name is known on this server."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: nobody of that name is known here")


class MemberAliveError(OperatorCallError):
    """A member that is to be removed is alive as this server sees it."""

    def __init__(self, name: str) -> None:
        self.name = name
        super().__init__(f"{name}: it is there, as this server sees it")


class NotAVoterError(OperatorCallError):
    """Only voters can answer the call."""

    def __init__(self, voters: list[str]) -> None:
        self.voters = voters
        super().__init__(f"it is no voter: ask one of {', '.join(voters)}")


class PolicyNotStoredError(OperatorCallError):
    """The text of a version is not on this server any more."""

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__(f"version {version}: its text is not kept here")


class TrustRejectedError(OperatorCallError):
    """An operator's word for the version in force can't be taken."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)
