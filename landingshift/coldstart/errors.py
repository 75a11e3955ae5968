"""What can go wrong in the cold start package, as one hierarchy of exceptions."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class ColdStartError(LandingshiftError):
    """Base of all errors of this package."""


class InvalidMessageError(ColdStartError):
    """A peer's message is neither a request nor a grant."""

    def __init__(self) -> None:
        super().__init__("no cold start message")


class NotAGrantorError(ColdStartError, ValueError):
    """An operator asks for the grants of a server that grants nothing; the text is the answer."""

    def __init__(self) -> None:
        super().__init__("it lends nothing: it is not among the lenders")


class EndpointCacheError(ColdStartError):
    """The endpoint cache can't be used; the start goes on without it.

    Attributes:
        reason: Why; the field of a log line.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MalformedEndpointCacheError(EndpointCacheError):
    """The file is not one of this format."""

    def __init__(self) -> None:
        super().__init__("not a list")


class TornEndpointCacheError(EndpointCacheError):
    """The file's checksum does not match its content."""

    def __init__(self) -> None:
        super().__init__("torn")


class OtherClusterError(EndpointCacheError):
    """The file was written in another cluster.

    Attributes:
        cluster_name: Which one, cut to a sane length.
    """

    def __init__(self, cluster_name: str) -> None:
        self.cluster_name = cluster_name[:64]
        super().__init__(f"of another fleet: {self.cluster_name}")
