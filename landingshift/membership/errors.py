"""Exceptions of the membership package."""

from __future__ import annotations

from enum import Enum

from landingshift.errors import LandingshiftError


class MembershipError(LandingshiftError):
    """Base class of all errors of this package."""


class DatagramRejection(Enum):
    """Reason for rejecting a datagram; the value is the name of its counter in the log."""

    OVERSIZED = "oversized"
    UNDECODABLE = "garbage"
    UNKNOWN_KIND = "bad_message"
    OTHER_CLUSTER = "other_fleet"
    INVALID_RECORD = "bad_record"
    INVALID_BODY = "bad_body"


class InvalidDatagramError(MembershipError):
    """A datagram is not a valid message of this cluster.

    Attributes:
        rejection: Reason for the rejection; its value is the error text.
    """

    def __init__(self, rejection: DatagramRejection) -> None:
        super().__init__(rejection.value)
        self.rejection = rejection


class TransferError(MembershipError, ValueError):
    """A fragment of a large message was rejected; the error text is returned to its sender."""


class MalformedTransferError(TransferError):
    """The parameters of a call or the reassembled message do not have the expected types.

    Attributes:
        detail: What is wrong with the reassembled message; empty if the parameters of the call are malformed.
    """

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"no letter: {detail}" if detail else "no letter")
        self.detail = detail


class UnknownSenderError(TransferError):
    """The fragment has a wrong cluster name, an unknown sender or run ID, or a package without a handler."""

    def __init__(self) -> None:
        super().__init__("from nobody that is known here")


class InvalidFragmentError(TransferError):
    """The fragment's index, count or size is out of bounds."""

    def __init__(self) -> None:
        super().__init__("no part of a letter")


class OperatorRpcError(MembershipError):
    """An operator call got no response, or an error response.

    Attributes:
        reason: Error text from the server, the operating system or the decoder of the response.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectionClosedError(OperatorRpcError):
    """The server closed the connection without sending a response."""

    def __init__(self) -> None:
        super().__init__("the server closed the connection without sending a response")


class InvalidSettingError(MembershipError, ValueError):
    """A setting has an unusable value.

    Attributes:
        key: Key in the TOML table.
        problem: What is wrong with the value.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key, self.problem = key, problem


class InvalidAddressError(InvalidSettingError):
    """A value is not an IPv4 address with a port.

    Attributes:
        text: The rejected value.
    """

    def __init__(self, key: str, text: str) -> None:
        super().__init__(key, f"expected an IPv4 address:port, got {text!r}")
        self.text = text


class ListenAddressError(InvalidSettingError):
    """The listen address can't be bound.

    Attributes:
        address: The configured address.
    """

    def __init__(self, address: str, os_error: OSError) -> None:
        super().__init__("listen", f"{address}: {os_error.strerror}")
        self.address = address
