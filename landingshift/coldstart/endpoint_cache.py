"""The last list on disk: version, fleet, age and checksum, so that a start needs no list service.

The file is one line of ASCII (`landingshift-members 1 <blake2b of the rest>`) and msgpack after it, written
beside, synced and renamed: a kill leaves the old file or the new one.
"""

from __future__ import annotations

import hashlib
import os
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from landingshift import failpoints
from landingshift.membership.messages import Address

HEAD = b"landingshift-members 1 "
ENTRIES = 1024
LARGEST = 1 << 20


class Stored(Struct, array_like=True, forbid_unknown_fields=True):
    fleet: str
    saved: float  # Unix ms of the writer's clock
    entries: Annotated[
        list[tuple[Annotated[str, Meta(max_length=15)], Annotated[int, Meta(ge=1, le=65535)]]],
        Meta(max_length=ENTRIES),
    ]


@dataclass(slots=True)
class Found:
    """`why` is empty where the entries can be used; `age` in ms, negative where a clock was set back."""

    entries: list[Address]
    age: float
    why: str


def digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).hexdigest().encode()


def save(path: str, fleet: str, entries: list[Address], now: float) -> None:
    """Raises OSError. `now`: Unix ms."""
    body = msgspec.msgpack.encode(Stored(fleet, now, entries[:ENTRIES]))
    beside = f"{path}.new"
    fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        data = HEAD + digest(body) + b"\n" + body
        os.write(fd, data[:100])
        failpoints.reach("coldstart.snapshot_half")
        os.write(fd, data[100:])
        os.fsync(fd)
    finally:
        os.close(fd)
    failpoints.reach("coldstart.snapshot_synced")
    os.replace(beside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)  # else the old name may come back after a power cut: an older list, no worse
    finally:
        os.close(folder)


def mark(path: str, boot: str) -> None:
    """Raises OSError. Synced and renamed, like the list."""
    beside = f"{path}.new"
    with open(beside, "w") as file:
        file.write(boot + "\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


def marked(path: str) -> str:
    """The boot of the last run, "" where nothing is known."""
    try:
        with open(path) as file:
            return file.read(64).strip()
    except (OSError, UnicodeDecodeError):
        return ""


def unmark(path: str) -> bool:
    """False where it stays."""
    try:
        os.unlink(path)
    except FileNotFoundError:
        return True
    except OSError:
        return False
    return True


def load(path: str, fleet: str, now: float) -> Found:
    """Whatever is wrong with the file is a reason to do without it, never to stop."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
    except OSError as err:
        return Found([], 0.0, str(err.strerror))
    head, _, body = data.partition(b"\n")
    if len(data) > LARGEST or not head.startswith(HEAD):
        return Found([], 0.0, "not a list")
    if head[len(HEAD) :] != digest(body):
        return Found([], 0.0, "torn")
    try:
        stored = msgspec.msgpack.decode(body, type=Stored)
    except msgspec.DecodeError:
        return Found([], 0.0, "not a list")
    if stored.fleet != fleet:
        return Found([], 0.0, f"of another fleet: {stored.fleet[:64]}")
    return Found(list(stored.entries), now - stored.saved, "")
