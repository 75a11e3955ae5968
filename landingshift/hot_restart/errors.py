"""Errors of a hot restart."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class HotRestartError(LandingshiftError):
    """Base class of all errors of a hot restart."""


class InvalidFrameError(HotRestartError):
    """The received data and descriptors are not a valid frame in the format of this build."""


class FrameVersionError(InvalidFrameError):
    """A received frame has an unsupported format version.

    Attributes:
        version: The format version of the frame.
        own_version: The format version that this process supports.
    """

    def __init__(self, version: int, own_version: int) -> None:
        super().__init__(f"received a frame of version {version}; this build supports version {own_version}")
        self.version = version
        self.own_version = own_version


class FrameLimitError(InvalidFrameError):
    """The header of a received frame announces more bytes or descriptors than the format allows.

    Attributes:
        body_bytes: The announced length of the body.
        descriptor_count: The announced number of descriptors.
    """

    def __init__(self, body_bytes: int, descriptor_count: int) -> None:
        super().__init__(
            f"frame header exceeds the limits: {body_bytes} body bytes, {descriptor_count} descriptors"
        )
        self.body_bytes = body_bytes
        self.descriptor_count = descriptor_count


class MissingDescriptorsError(InvalidFrameError):
    """A complete frame was received with fewer descriptors than its header announces.

    Attributes:
        announced_count: The number of descriptors that the header announces.
        received_count: The number of received descriptors that do not belong to an earlier frame.
    """

    def __init__(self, announced_count: int, received_count: int) -> None:
        super().__init__(f"frame announces {announced_count} descriptors, but {received_count} were received")
        self.announced_count = announced_count
        self.received_count = received_count


class TruncatedDescriptorsError(InvalidFrameError):
    """The kernel dropped received descriptors because this process has too many open."""

    def __init__(self) -> None:
        super().__init__("the kernel dropped received descriptors: too many are open in this process")


class OversizedFrameError(HotRestartError, ValueError):
    """A frame cannot be sent because it is larger than the format allows.

    Attributes:
        size: The number of body bytes or of descriptors, whichever exceeds its limit.
        limit: The maximum of that number.
    """

    def __init__(self, text: str, size: int, limit: int) -> None:
        super().__init__(text)
        self.size = size
        self.limit = limit

    @classmethod
    def of_body(cls, size_bytes: int, limit_bytes: int) -> OversizedFrameError:
        """Returns the error for a body that is too long."""
        return cls(f"frame body has {size_bytes} bytes, the limit is {limit_bytes}", size_bytes, limit_bytes)

    @classmethod
    def of_descriptors(cls, count: int, limit: int) -> OversizedFrameError:
        """Returns the error for too many descriptors in one frame."""
        return cls(f"frame has {count} descriptors, the limit is {limit}", count, limit)


class InvalidJournalError(HotRestartError, ValueError):
    """The shared memory does not contain a request journal of the expected size."""

    def __init__(self, text: str = "the memory does not contain a request journal") -> None:
        super().__init__(text)

    @classmethod
    def of_size(cls, size_bytes: int, expected_bytes: int) -> InvalidJournalError:
        """Returns the error for memory of an unexpected size."""
        return cls(f"the journal's memory has {size_bytes} bytes, expected {expected_bytes}")


class JournalFullError(HotRestartError):
    """The journal has no space for a record, so the caller must not perform the operation to be recorded.

    Attributes:
        record_bytes: The length of the record's data.
        free_bytes: The maximum length of data that still fits; negative if not even a record header fits.
        capacity_bytes: The size of the journal.
    """

    def __init__(self, record_bytes: int, free_bytes: int, capacity_bytes: int) -> None:
        super().__init__(
            f"no space for {record_bytes} bytes of data: {free_bytes} of {capacity_bytes} bytes are free"
        )
        self.record_bytes = record_bytes
        self.free_bytes = free_bytes
        self.capacity_bytes = capacity_bytes


class StateTransferError(HotRestartError):
    """The server's state cannot be transferred to another build; the old process continues to serve.

    Attributes:
        reason: The cause, as text for operators. Each subclass defines its own.
    """

    reason = ""

    def __init__(self) -> None:
        super().__init__(self.reason)


class UnfinishedPassError(StateTransferError):
    """The event loop has not finished its pass: events, writes or cancellations are pending."""

    reason = "the event loop has pending work from its current pass"


class AnswersGatedError(StateTransferError):
    """The router has an answer gate, which delays answers until the ledger has stored them.

    The state of the gate is not transferred.
    """

    reason = "an answer gate is active, and its state cannot be transferred"


class UnmanagedRpcError(StateTransferError):
    """The router has an RPC that the admission controller does not have."""

    reason = "the router has an RPC that is unknown to the admission controller"


class ReplacedResultError(StateTransferError):
    """A duplicate refers to a deduplication entry that has been replaced by a newer entry."""

    reason = "a duplicate refers to a deduplication entry that was replaced"


class IncompatibleSettingsError(StateTransferError):
    """The new settings lack the method or the tenant of an RPC in the transferred state."""

    reason = "the new settings lack the method or tenant of an RPC in the transferred state"
