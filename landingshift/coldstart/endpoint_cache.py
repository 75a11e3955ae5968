"""Endpoint cache: a file with the last known member addresses, for a start without the list service.

The file begins with one line of ASCII, `landingshift-members 1 <blake2b of the rest>`. The rest is a
`StoredEndpoints`, encoded as MessagePack.

Guarantee: the file is replaced atomically, so a crash leaves either the old file or the new one.
Failure mode: a file that is incomplete, malformed or from another cluster is rejected. The server then starts
without the cache.
"""

from __future__ import annotations

import hashlib
import os
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from landingshift import failpoints
from landingshift.coldstart.errors import (
    EndpointCacheError,
    MalformedEndpointCacheError,
    OtherClusterError,
    TornEndpointCacheError,
)
from landingshift.membership.messages import Address

HEADER_PREFIX = b"landingshift-members 1 "
MAX_ENDPOINT_COUNT = 1024
MAX_FILE_BYTES = 1 << 20
CHECKSUM_BYTES = 16
FIRST_WRITE_BYTES = 100  # written before the failpoint that simulates a crash in the middle of a write
FAILPOINT_HALF_WRITTEN = "coldstart.snapshot_half"
FAILPOINT_SYNCED = "coldstart.snapshot_synced"


class StoredEndpoints(Struct, array_like=True, forbid_unknown_fields=True):
    """Content of the file; the fields are stored in the order given here.

    Attributes:
        cluster_name: Name of the cluster to which the endpoints belong.
        saved_at_unix_ms: Time at which the file was saved, by the wall clock of the server that saved it.
        endpoints: Addresses of the members.
    """

    cluster_name: str
    saved_at_unix_ms: float
    endpoints: Annotated[
        list[tuple[Annotated[str, Meta(max_length=15)], Annotated[int, Meta(ge=1, le=65535)]]],
        Meta(max_length=MAX_ENDPOINT_COUNT),
    ]


@dataclass(slots=True, frozen=True)
class CachedEndpoints:
    """Endpoints loaded from the cache.

    Attributes:
        endpoints: Addresses of the members.
        age_ms: Time since the endpoints were saved, negative if the clock was set back.
    """

    endpoints: list[Address]
    age_ms: float


def save(path: str, cluster_name: str, endpoints: list[Address], now_unix_ms: float) -> None:
    """Replace the file atomically; only the first `MAX_ENDPOINT_COUNT` endpoints are saved.

    Raises:
        OSError: The new file can't be written, in which case the old file is kept, or the directory can't be
            synced.
    """
    body = msgspec.msgpack.encode(StoredEndpoints(cluster_name, now_unix_ms, endpoints[:MAX_ENDPOINT_COUNT]))
    data = HEADER_PREFIX + _checksum(body) + b"\n" + body
    temporary_path = f"{path}.new"
    _write_synced(temporary_path, data)
    failpoints.reach(FAILPOINT_SYNCED)
    os.replace(temporary_path, path)
    _sync_directory(os.path.dirname(path) or ".")


def load(path: str, cluster_name: str, now_unix_ms: float) -> CachedEndpoints:
    """Load the endpoints of the cluster `cluster_name` from the file.

    Raises:
        EndpointCacheError: The file can't be read or its content can't be used.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise EndpointCacheError(str(error.strerror)) from error
    header, _, body = data.partition(b"\n")
    if len(data) > MAX_FILE_BYTES or not header.startswith(HEADER_PREFIX):
        raise MalformedEndpointCacheError
    if header[len(HEADER_PREFIX) :] != _checksum(body):
        raise TornEndpointCacheError
    try:
        stored = msgspec.msgpack.decode(body, type=StoredEndpoints)
    except msgspec.DecodeError as error:
        raise MalformedEndpointCacheError from error
    if stored.cluster_name != cluster_name:
        raise OtherClusterError(stored.cluster_name)
    return CachedEndpoints(list(stored.endpoints), now_unix_ms - stored.saved_at_unix_ms)


def _checksum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()


def _write_synced(path: str, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        os.write(descriptor, data[:FIRST_WRITE_BYTES])
        failpoints.reach(FAILPOINT_HALF_WRITTEN)
        os.write(descriptor, data[FIRST_WRITE_BYTES:])
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _sync_directory(directory: str) -> None:
    """Sync the directory, so that a power failure does not undo the rename and restore the old file."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
