"""The entries of the ledger: only ever appended, each with a hash over the one before it.

An entry's hash is blake2b of 16 bytes over the hash before it, its kind and its data (MessagePack of the
struct as an array: fields are stored by position). Lists of numbers are packed as `number_ranges`
specifies.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Any, NamedTuple

from msgspec import Struct, msgpack

from landingshift.ledger.errors import UnknownEntryKindError

HASH_BYTES = 16
IDENTITY_BYTES = 16
GENESIS_HASH = bytes(HASH_BYTES)
"""The hash before the first entry."""


class EntryKind(IntEnum):
    """Stored with each entry; the values never change."""

    OPENED = 1
    NAME = 2
    USAGE = 3
    SETTLEMENT = 4
    CORRECTION = 5
    PERIOD_CLOSE = 6
    GAP = 7
    RESOLUTION = 8
    COMPACTION = 9


class Opened(Struct, array_like=True):
    """A server run opened the ledger; what its predecessor left unsettled is disputed from here on."""

    run_id: bytes
    at_ms: int
    """Unix time."""
    disputed: list[int]
    """Ranges of usage entries."""


class NameEntry(Struct, array_like=True):
    """A tenant or a method; later entries refer to it by this entry's number."""

    is_tenant: bool
    name: bytes


class UsageRecord(Struct, array_like=True):
    """One RPC answered ok."""

    sequence: int
    """The server run's own count of its usage."""
    at_ms: int
    """Unix time."""
    tenant_number: int
    """Entry that names the tenant."""
    method_number: int
    """Entry that names the method."""
    work_us: int
    bytes_in: int
    bytes_out: int
    identity: bytes
    """Names the client's attempt, as `attempt_identity` gives it."""


class Settlement(Struct, array_like=True):
    """What became of usage, as ranges of usage entries."""

    counted: list[int]
    duplicates: list[int]
    """Attempts whose identity was counted within the window."""
    undelivered: list[int]
    """The answer never left complete."""
    disputed: list[int]
    """Whether the answer arrived is unknown."""


class Correction(Struct, array_like=True):
    """An operator's change of what a tenant is billed."""

    at_ms: int
    tenant_number: int
    method_number: int
    service_period: str
    """The period that the correction is about."""
    period: str
    """The open period in which it counts."""
    uses: int
    work_us: int
    amount: str
    """A decimal number in the plan's currency, or empty."""
    reason: str
    author: str


class PeriodClose(Struct, array_like=True):
    """A period is closed; its totals never change afterwards."""

    at_ms: int
    period: str
    start_ms: int
    end_ms: int
    totals_digest: bytes


class UsageGap(Struct, array_like=True):
    """Usage that could not be stored: counted, never billed."""

    at_ms: int
    dropped_count: int


class Resolution(Struct, array_like=True):
    """An operator's decision about disputed usage."""

    at_ms: int
    billed: list[int]
    """Ranges of usage entries."""
    waived: list[int]
    """Ranges of usage entries."""
    reason: str
    author: str


class Compaction(Struct, array_like=True):
    """Settled usage up to one is removed; the chain goes on from its hash, the totals from a baseline."""

    at_ms: int
    period: str
    """Closed, and the last that has lost its usage records."""
    last_number: int
    """The last entry of the compacted part."""
    last_hash: bytes
    retained_digest: bytes
    """Digest of the entries up to `last_number` that stayed."""
    baseline_digest: bytes
    """Digest of the totals as they were at `last_number`."""
    closed_end_ms: int
    """End of the last period that was closed by then."""


class EntryRow(NamedTuple):
    """An entry as it is stored, in the order of the columns."""

    number: int
    kind: int
    data: bytes
    hash: bytes


Entry = (
    Opened
    | NameEntry
    | UsageRecord
    | Settlement
    | Correction
    | PeriodClose
    | UsageGap
    | Resolution
    | Compaction
)
KIND_BY_TYPE: dict[type, EntryKind] = {
    Opened: EntryKind.OPENED,
    NameEntry: EntryKind.NAME,
    UsageRecord: EntryKind.USAGE,
    Settlement: EntryKind.SETTLEMENT,
    Correction: EntryKind.CORRECTION,
    PeriodClose: EntryKind.PERIOD_CLOSE,
    UsageGap: EntryKind.GAP,
    Resolution: EntryKind.RESOLUTION,
    Compaction: EntryKind.COMPACTION,
}
_DECODERS: dict[int, msgpack.Decoder[Any]] = {
    kind: msgpack.Decoder(entry_type) for entry_type, kind in KIND_BY_TYPE.items()
}
encode = msgpack.Encoder().encode


def decode(kind: int, data: bytes) -> Entry:
    """Decodes an entry of any kind.

    Raises:
        msgspec.DecodeError: The data is not what any build has written.
        UnknownEntryKindError: There is no such kind.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise UnknownEntryKindError(kind)
    entry: Entry = decoder.decode(data)
    return entry


def decode_usage(data: bytes) -> UsageRecord:
    """Decodes the data of a usage entry.

    Raises:
        msgspec.DecodeError: The data is not what any build has written.
    """
    record: UsageRecord = _DECODERS[EntryKind.USAGE].decode(data)
    return record


def decode_period_close(data: bytes) -> PeriodClose:
    """Decodes the data of a period's close.

    Raises:
        msgspec.DecodeError: The data is not what any build has written.
    """
    period_close: PeriodClose = _DECODERS[EntryKind.PERIOD_CLOSE].decode(data)
    return period_close


def chain_hash(previous_hash: bytes, kind: int, data: bytes) -> bytes:
    """The hash of an entry that follows the one with `previous_hash`."""
    digest = blake2b(previous_hash, digest_size=HASH_BYTES)
    digest.update(bytes((kind,)))
    digest.update(data)
    return digest.digest()


def attempt_identity(tenant: bytes, method: bytes, has_attempt_id: bool, content: bytes) -> bytes:
    """Identifies a client's attempt, so that its retries are counted once.

    Lengths stand before the parts: names may hold any bytes, and two attempts must not get one digest by
    that.

    Args:
        tenant: Name of the tenant.
        method: Name of the method.
        has_attempt_id: Whether `content` names the attempt (a token, a key or the installation's field).
        content: What names the attempt, else the body of the RPC.
    """
    parts = b"%d %d %b%b%b" % (len(tenant), len(method), tenant, method, content)
    person = b"use:mark" if has_attempt_id else b"use:body"
    return blake2b(parts, digest_size=IDENTITY_BYTES, person=person).digest()
