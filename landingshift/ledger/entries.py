"""What the ledger is made of: entries that are only ever appended, each with a hash over the one before.

An entry's hash is blake2b of 16 bytes over the hash before it, its kind and its data (MessagePack of the
struct).
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from hashlib import blake2b
from typing import Any

from msgspec import Struct, msgpack

START = bytes(16)  # the hash before the first entry
IDENTITY = 16  # bytes


class Kind(IntEnum):
    OPENED = 1
    NAME = 2
    USE = 3
    SETTLED = 4
    CORRECTION = 5
    CLOSED = 6
    GAP = 7
    RESOLVED = 8
    COMPACTED = 9


class Opened(Struct, array_like=True):
    """A server's start; what its predecessor left unsettled is disputed from here on."""

    run: bytes
    at: int
    disputed: list[int]  # ranges


class Name(Struct, array_like=True):
    """A tenant or method; later entries name it by this entry's number."""

    tenant: bool
    name: bytes


class Use(Struct, array_like=True):
    """One RPC answered ok. `at` Unix ms, `work` in us, sizes in bytes."""

    n: int  # the server's own count
    at: int
    tenant: int
    method: int
    work: int
    size_in: int
    size_out: int
    identity: bytes


class Settled(Struct, array_like=True):
    """What became of uses, as ranges of entry numbers: first, count, first, count, ..."""

    counted: list[int]
    repeats: list[int]  # of a use that was counted within the window
    void: list[int]  # the answer never left whole
    disputed: list[int]  # nobody knows whether it arrived


class Correction(Struct, array_like=True):
    at: int
    tenant: int
    method: int
    belongs: str  # the period that it is about
    period: str  # the open one in which it counts
    uses: int
    work: int  # us
    amount: str  # a decimal number in the plan's currency, or empty
    reason: str
    who: str


class Closed(Struct, array_like=True):
    at: int
    period: str
    start: int
    end: int
    totals: bytes  # digest of the period's totals as they stay


class Gap(Struct, array_like=True):
    """Uses that could not be kept: counted, never billed."""

    at: int
    dropped: int


class Resolved(Struct, array_like=True):
    """An operator's word on disputed uses."""

    at: int
    billed: list[int]  # ranges
    waived: list[int]
    reason: str
    who: str


class Compacted(Struct, array_like=True):
    """Settled uses up to entry `last` are gone; the chain goes on from `hash`, the totals from a baseline."""

    at: int
    period: str  # closed, and the last that has lost its uses
    last: int
    hash: bytes  # of entry `last`
    kept: bytes  # digest of the entries up to `last` that stayed
    baseline: bytes  # digest of the totals as they were at `last`
    until: int  # end of the last period closed by then


Entry = Opened | Name | Use | Settled | Correction | Closed | Gap | Resolved | Compacted
KINDS: dict[type, Kind] = {
    Opened: Kind.OPENED, Name: Kind.NAME, Use: Kind.USE, Settled: Kind.SETTLED, Correction: Kind.CORRECTION,
    Closed: Kind.CLOSED, Gap: Kind.GAP, Resolved: Kind.RESOLVED, Compacted: Kind.COMPACTED,
}  # fmt: skip
DECODERS: dict[Kind, msgpack.Decoder[Any]] = {k: msgpack.Decoder(struct) for struct, k in KINDS.items()}
encode = msgpack.Encoder().encode


def decode(kind: int, data: bytes) -> Entry:
    """Raises msgspec.DecodeError or KeyError for what no build has written."""
    entry: Entry = DECODERS[Kind(kind)].decode(data)
    return entry


def chain(before: bytes, kind: int, data: bytes) -> bytes:
    h = blake2b(before, digest_size=16)
    h.update(bytes((kind,)))
    h.update(data)
    return h.digest()


def identity(tenant: bytes, method: bytes, marked: bool, what: bytes) -> bytes:
    """Of a client's try: by its mark (token, key or the installation's field) or, unmarked, by the body.

    Lengths stand before the parts: names may hold any bytes, and two tries must not meet in one digest by
    that.
    """
    parts = b"%d %d %b%b%b" % (len(tenant), len(method), tenant, method, what)
    return blake2b(parts, digest_size=IDENTITY, person=b"use:mark" if marked else b"use:body").digest()


def ranges(numbers: list[int]) -> list[int]:
    """Sorted numbers as first, count, first, count, ..."""
    out: list[int] = []
    for number in sorted(numbers):
        if out and out[-2] + out[-1] == number:
            out[-1] += 1
        else:
            out += (number, 1)
    return out


def pairs(spans: list[int]) -> Iterator[tuple[int, int]]:
    return zip(spans[::2], spans[1::2], strict=True)


def numbers(spans: list[int]) -> list[int]:
    return [n for first, count in pairs(spans) for n in range(first, first + count)]


# Between the server and the process that keeps the store


class Raw(Struct, array_like=True):
    """A use as the server tells it, with names in full."""

    n: int
    at: int
    tenant: bytes
    method: bytes
    work: int
    size_in: int
    size_out: int
    identity: bytes


class Batch(Struct, array_like=True):
    """Committed as one; `number` rises by one within a run and makes a repetition known."""

    number: int
    uses: list[Raw]
    sent: list[int]  # by n: the gateway's machine has the whole answer
    void: list[int]
    disputed: list[int]
    dropped: int = 0


class Word(Struct, array_like=True):
    """What the process tells: `acked` is the last batch committed; `fault` says why none is at the moment."""

    acked: int
    fault: str = ""
    shortened: int = 0  # times that identities were forgotten within their window
