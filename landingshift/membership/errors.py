"""What can go wrong in the membership package, as one hierarchy of exceptions."""

from __future__ import annotations

from enum import Enum

from landingshift.errors import LandingshiftError


class MembershipError(LandingshiftError):
    """Base of all errors of this package."""


class DatagramRejection(Enum):
    """Why a datagram was rejected; the values are reason codes of the log."""

    OVERSIZED = "oversized"
    UNDECODABLE = "garbage"
    UNKNOWN_KIND = "bad_message"
    OTHER_CLUSTER = "other_fleet"
    INVALID_RECORD = "bad_record"
    INVALID_BODY = "bad_body"


class InvalidDatagramError(MembershipError):
    """A datagram is no message of this cluster.

    Attributes:
        rejection: Why it was rejected; the error's text is its value.
    """

    def __init__(self, rejection: DatagramRejection) -> None:
        super().__init__(rejection.value)
        self.rejection = rejection


class TransferError(MembershipError, ValueError):
    """A fragment of a large message was rejected; the text goes back to its sender."""


class MalformedTransferError(TransferError):
    """A call, or the message put together from its fragments, does not have the expected shape.

    Attributes:
        detail: What is wrong, empty where the parameters themselves do not match.
    """

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"no letter: {detail}" if detail else "no letter")
        self.detail = detail


class UnknownSenderError(TransferError):
    """The fragment is from another cluster, from no known incarnation, or for a package without a handler."""

    def __init__(self) -> None:
        super().__init__("from nobody that is known here")


class InvalidFragmentError(TransferError):
    """The part's index, count or size is out of bounds."""

    def __init__(self) -> None:
        super().__init__("no part of a letter")


class OperatorRpcError(MembershipError):
    """An operator's call was not answered, or answered with an error.

    Attributes:
        reason: What the server or the operating system said.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectionClosedError(OperatorRpcError):
    """The server has closed the connection without an answer."""

    def __init__(self) -> None:
        super().__init__("it closed the connection")


class InvalidSettingError(MembershipError, ValueError):
    """A setting can't be used.

    Attributes:
        key: The key in the TOML table.
        problem: What is wrong with its value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key, self.problem = key, problem


class InvalidAddressError(InvalidSettingError):
    """A setting is no IPv4 address with a port.

    Attributes:
        text: The value as it was given.
    """

    def __init__(self, key: str, text: str) -> None:
        super().__init__(key, f"an IPv4 address:port is expected, not {text!r}")
        self.text = text


class ListenAddressError(InvalidSettingError):
    """The address to listen at can't be bound.

    Attributes:
        address: The address as it is configured.
    """

    def __init__(self, address: str, os_error: OSError) -> None:
        super().__init__("listen", f"{address}: {os_error.strerror}")
        self.address = address
