"""The last endpoint list on disk, so that a start needs no list service.

The file is one line of ASCII (`landingshift-members 1 <blake2b of the rest>`) with MessagePack after it.

Guarantee: it is written beside, synced and renamed, so that a crash leaves the old file or the new one.
Failure mode: a file that is torn, old or of another cluster is a reason to do without, never to stop.
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
FIRST_WRITE_BYTES = 100  # before the failpoint that leaves half a file
FAILPOINT_HALF_WRITTEN = "coldstart.snapshot_half"
FAILPOINT_SYNCED = "coldstart.snapshot_synced"


class StoredEndpoints(Struct, array_like=True, forbid_unknown_fields=True):
    """Content of the file, in the order in which it is stored.

    Attributes:
        cluster_name: Whose endpoints they are.
        saved_at_unix_ms: By the writer's wall clock.
        endpoints: Addresses of members.
    """

    cluster_name: str
    saved_at_unix_ms: float
    endpoints: Annotated[
        list[tuple[Annotated[str, Meta(max_length=15)], Annotated[int, Meta(ge=1, le=65535)]]],
        Meta(max_length=MAX_ENDPOINT_COUNT),
    ]


@dataclass(slots=True, frozen=True)
class CachedEndpoints:
    """What a start reads.

    Attributes:
        endpoints: Addresses of members.
        age_ms: Since they were saved, negative where a clock was set back.
    """

    endpoints: list[Address]
    age_ms: float


def save(path: str, cluster_name: str, endpoints: list[Address], now_unix_ms: float) -> None:
    """Replaces the file.

    Raises:
        OSError: It can't be written; the old one stays.
    """
    body = msgspec.msgpack.encode(StoredEndpoints(cluster_name, now_unix_ms, endpoints[:MAX_ENDPOINT_COUNT]))
    data = HEADER_PREFIX + _checksum(body) + b"\n" + body
    temporary_path = f"{path}.new"
    _write_synced(temporary_path, data)
    failpoints.reach(FAILPOINT_SYNCED)
    os.replace(temporary_path, path)
    _sync_folder(os.path.dirname(path) or ".")


def load(path: str, cluster_name: str, now_unix_ms: float) -> CachedEndpoints:
    """Reads the file.

    Raises:
        EndpointCacheError: It can't be read or used.
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


def _sync_folder(folder: str) -> None:
    """Else the old name may come back after a power cut, which is no worse than an older list."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
