"""What can fail in a hot restart."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class HotRestartError(LandingshiftError):
    """Base of all errors of a hot restart."""


class InvalidFrameError(HotRestartError):
    """The other side is no build that this one can speak to."""


class FrameVersionError(InvalidFrameError):
    """A frame of another version of the format.

    Attributes:
        version: Version of the frame.
        own_version: The one that this side reads.
    """

    def __init__(self, version: int, own_version: int) -> None:
        super().__init__(f"frames of version {version}, this build speaks {own_version}")
        self.version = version
        self.own_version = own_version


class FrameLimitError(InvalidFrameError):
    """A frame announces more bytes or descriptors than one may have.

    Attributes:
        body_bytes: Length of the body that it announces.
        descriptor_count: How many descriptors it announces.
    """

    def __init__(self, body_bytes: int, descriptor_count: int) -> None:
        super().__init__(f"a frame of {body_bytes} bytes with {descriptor_count} descriptors")
        self.body_bytes = body_bytes
        self.descriptor_count = descriptor_count


class MissingDescriptorsError(InvalidFrameError):
    """Fewer descriptors came than the frames announce.

    Attributes:
        announced_count: What the frame announces.
        received_count: What came and no earlier frame has claimed.
    """

    def __init__(self, announced_count: int, received_count: int) -> None:
        super().__init__(f"{announced_count} descriptors are said to come, {received_count} did")
        self.announced_count = announced_count
        self.received_count = received_count


class TruncatedDescriptorsError(InvalidFrameError):
    """The system dropped descriptors that were sent, as this process has too many open."""

    def __init__(self) -> None:
        super().__init__("descriptors were cut off: this process may not open so many")


class OversizedFrameError(HotRestartError, ValueError):
    """A frame that is to be sent is larger than the format allows.

    Attributes:
        size: Size of the frame, in the unit of the text.
        limit: The most that is allowed, in the same unit.
    """

    def __init__(self, text: str, size: int, limit: int) -> None:
        super().__init__(text)
        self.size = size
        self.limit = limit

    @classmethod
    def of_body(cls, size_bytes: int, limit_bytes: int) -> OversizedFrameError:
        """Returns the error for a body that is too long."""
        return cls(f"a frame of {size_bytes} bytes, at most {limit_bytes}", size_bytes, limit_bytes)

    @classmethod
    def of_descriptors(cls, count: int, limit: int) -> OversizedFrameError:
        """Returns the error for too many descriptors in one frame."""
        return cls(f"{count} descriptors in one frame, at most {limit}", count, limit)


class InvalidJournalError(HotRestartError, ValueError):
    """Memory that holds no request journal."""

    def __init__(self, text: str = "no journal") -> None:
        super().__init__(text)

    @classmethod
    def of_size(cls, size_bytes: int, expected_bytes: int) -> InvalidJournalError:
        """Returns the error for memory of another size."""
        return cls(f"a journal of {size_bytes} bytes, not {expected_bytes}")


class JournalFullError(HotRestartError):
    """No space for a record: what was to be recorded may not be done.

    Attributes:
        record_bytes: Length of the record's data.
        free_bytes: What data a record may have still.
        capacity_bytes: Size of the journal.
    """

    def __init__(self, record_bytes: int, free_bytes: int, capacity_bytes: int) -> None:
        super().__init__(f"{record_bytes} bytes, {free_bytes} are left of {capacity_bytes}")
        self.record_bytes = record_bytes
        self.free_bytes = free_bytes
        self.capacity_bytes = capacity_bytes


class StateTransferError(HotRestartError):
    """What is in hand can't go to another build; the old process goes on.

    Attributes:
        reason: Why, for operators.
    """

    reason = ""

    def __init__(self) -> None:
        super().__init__(self.reason)


class UnfinishedPassError(StateTransferError):
    """Work of the loop's pass is pending."""

    reason = "a pass is not over"


class AnswersGatedError(StateTransferError):
    """Answers wait for the ledger, whose state is not transferred."""

    reason = "a gate holds answers"


class UnmanagedRpcError(StateTransferError):
    """The router holds an RPC that the admission controller does not."""

    reason = "an RPC that the module does not know"


class ReplacedResultError(StateTransferError):
    """A repeat waits for a deduplication entry that a newer one has replaced."""

    reason = "a repeat waits for a result that was replaced"


class IncompatibleSettingsError(StateTransferError):
    """The new settings have no such method or tenant as an RPC in hand."""

    reason = "an RPC in hand has a method or tenant that the new settings lack"
