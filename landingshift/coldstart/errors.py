"""Exceptions of the cold start package."""

from __future__ import annotations

from landingshift.errors import LandingshiftError


class ColdStartError(LandingshiftError):
    """Base class of all errors of this package."""


class InvalidMessageError(ColdStartError):
    """A peer's message is neither a valid request nor a valid grant."""

    def __init__(self) -> None:
        super().__init__("message is neither a cold start request nor a grant")


class NotAGrantorError(ColdStartError, ValueError):
    """The operator call `lent` failed because the called server is not a grantor."""

    def __init__(self) -> None:
        super().__init__("it lends nothing: it is not among the lenders")


class EndpointCacheError(ColdStartError):
    """The endpoint cache can't be used; the server starts without it.

    Attributes:
        reason: Why the cache can't be used; logged in the field `why`.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MalformedEndpointCacheError(EndpointCacheError):
    """The file does not have the format of an endpoint cache."""

    def __init__(self) -> None:
        super().__init__("not an endpoint cache file")


class TornEndpointCacheError(EndpointCacheError):
    """The checksum of the file does not match its content."""

    def __init__(self) -> None:
        super().__init__("torn")


class OtherClusterError(EndpointCacheError):
    """The file was written by a server of another cluster.

    Attributes:
        cluster_name: Name of the other cluster, truncated to 64 characters.
    """

    def __init__(self, cluster_name: str) -> None:
        self.cluster_name = cluster_name[:64]
        super().__init__(f"written in another fleet: {self.cluster_name}")
