"""Entry types of the append-only ledger and the hash chain over them.

The hash of an entry is a 16-byte blake2b digest of the previous entry's hash, the entry's kind and its data.
The data is the struct as a MessagePack array, so fields are stored by position. Lists of entry numbers are
stored as ranges, see `number_ranges`.
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
"""Previous hash from which the hash of the first entry is computed."""


class EntryKind(IntEnum):
    """Type of an entry as stored in the ledger; existing values must never change."""

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
    """Records the start of a server process and disputes the usage that earlier processes left pending."""

    run_id: bytes
    """Identifies the server process."""
    at_ms: int
    """Unix time at which the process was recorded."""
    disputed: list[int]
    """Ranges of the numbers of usage entries that become disputed."""


class NameEntry(Struct, array_like=True):
    """Records the name of a tenant or a method; later entries refer to the name by this entry's number."""

    is_tenant: bool
    """True for a tenant, False for a method."""
    name: bytes


class UsageRecord(Struct, array_like=True):
    """Records the usage of one RPC that was answered ok."""

    sequence: int
    """Number of this usage record within the server process, from 1."""
    at_ms: int
    """Unix time at which the answer was ready."""
    tenant_number: int
    """Number of the `NameEntry` of the tenant."""
    method_number: int
    """Number of the `NameEntry` of the method."""
    work_us: int
    """Run time on the engine."""
    bytes_in: int
    """Size of the request body."""
    bytes_out: int
    """Size of the result."""
    identity: bytes
    """Identity of the client's attempt, computed by `attempt_identity`."""


class Settlement(Struct, array_like=True):
    """Records the outcome of pending usage; each field contains ranges of usage entry numbers."""

    counted: list[int]
    """Usage that is billed."""
    duplicates: list[int]
    """Usage whose identity was already counted within the deduplication window; not billed."""
    undelivered: list[int]
    """Usage whose answer was never sent completely; not billed."""
    disputed: list[int]
    """Usage for which it is unknown whether the answer arrived."""


class Correction(Struct, array_like=True):
    """Records an operator's correction of a tenant's bill."""

    at_ms: int
    """Unix time at which the correction was entered."""
    tenant_number: int
    """Number of the `NameEntry` of the tenant."""
    method_number: int
    """Number of the `NameEntry` of the method."""
    service_period: str
    """Period whose usage is corrected."""
    period: str
    """Open period in which the correction is billed."""
    uses: int
    """Change of the number of RPCs."""
    work_us: int
    """Change of the run time on the engine."""
    amount: str
    """Change of the amount due: a decimal number in the price plan's currency, or empty."""
    reason: str
    author: str
    """Name of the operator."""


class PeriodClose(Struct, array_like=True):
    """Records that a period was closed; the totals of a closed period never change."""

    at_ms: int
    """Unix time at which the period was closed."""
    period: str
    start_ms: int
    """Unix time of the start of the period."""
    end_ms: int
    """Unix time of the end of the period, exclusive."""
    totals_digest: bytes
    """Digest of the period's totals, computed by `period_digest`."""


class UsageGap(Struct, array_like=True):
    """Records how much usage was dropped because the queue was full; dropped usage is never billed."""

    at_ms: int
    """Unix time at which the gap was stored."""
    dropped_count: int
    """Number of dropped usage records."""


class Resolution(Struct, array_like=True):
    """Records an operator's decision about disputed usage."""

    at_ms: int
    """Unix time at which the decision was entered."""
    billed: list[int]
    """Ranges of the numbers of usage entries that are billed."""
    waived: list[int]
    """Ranges of the numbers of usage entries that are not billed."""
    reason: str
    author: str
    """Name of the operator."""


class Compaction(Struct, array_like=True):
    """Records that settled usage up to entry `last_number` was removed.

    An audit continues the hash chain from `last_hash` and the totals from the stored baseline.
    """

    at_ms: int
    """Unix time of the compaction."""
    period: str
    """Last closed period whose usage records were removed."""
    last_number: int
    """Number of the last entry of the compacted part."""
    last_hash: bytes
    """Hash of that entry."""
    retained_digest: bytes
    """Digest of the entries kept in the compacted part, computed by `retained_digest`."""
    baseline_digest: bytes
    """Digest of the totals after entry `last_number`, computed by `baseline_digest`."""
    closed_end_ms: int
    """End of the last period that an entry up to `last_number` closed, Unix time."""


class EntryRow(NamedTuple):
    """An entry as stored in the table `entries`, in the order of its columns."""

    number: int
    """Position in the ledger, from 1."""
    kind: int
    """Value of `EntryKind`."""
    data: bytes
    """Encoded struct of that kind."""
    hash: bytes
    """Hash of the chain up to this entry."""


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
    """Decodes the data of an entry of the given kind.

    Raises:
        msgspec.DecodeError: The data does not decode as this kind.
        UnknownEntryKindError: The kind is unknown.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise UnknownEntryKindError(kind)
    entry: Entry = decoder.decode(data)
    return entry


def counted_ranges(entry: Entry) -> list[int]:
    """Returns the ranges of the usage that an entry counts (bills); no ranges for most kinds of entries.

    Usage is counted by the settlement that reports its delivery or, if it was disputed, by a resolution.
    """
    match entry:
        case Settlement(counted=ranges) | Resolution(billed=ranges):
            return ranges
    return []


def settled_ranges(entry: Entry) -> list[int]:
    """Returns the ranges of the usage whose outcome an entry decides, counted or not."""
    match entry:
        case Settlement():
            return [*entry.counted, *entry.duplicates, *entry.undelivered]
        case Resolution():
            return [*entry.billed, *entry.waived]
    return []


def decode_usage(data: bytes) -> UsageRecord:
    """Decodes the data of a usage entry.

    Raises:
        msgspec.DecodeError: The data does not decode as a usage record.
    """
    record: UsageRecord = _DECODERS[EntryKind.USAGE].decode(data)
    return record


def decode_period_close(data: bytes) -> PeriodClose:
    """Decodes the data of a period close.

    Raises:
        msgspec.DecodeError: The data does not decode as a period close.
    """
    period_close: PeriodClose = _DECODERS[EntryKind.PERIOD_CLOSE].decode(data)
    return period_close


def chain_hash(previous_hash: bytes, kind: int, data: bytes) -> bytes:
    """Returns the hash of an entry, given the hash of the entry before it."""
    digest = blake2b(previous_hash, digest_size=HASH_BYTES)
    digest.update(bytes((kind,)))
    digest.update(data)
    return digest.digest()


def attempt_identity(tenant: bytes, method: bytes, has_attempt_id: bool, content: bytes) -> bytes:
    """Returns a 16-byte digest that identifies a client's attempt and is the same for all its retries.

    The lengths of the names are part of the digest. Names may hold any bytes, and without the lengths two
    pairs of names whose concatenation is equal would give the same digest.

    Args:
        tenant: Name of the tenant.
        method: Name of the method.
        has_attempt_id: Whether `content` is an attempt ID (a token, a key or a configured field of the RPC).
        content: The attempt ID, or the body of the RPC if it has none.
    """
    parts = b"%d %d %b%b%b" % (len(tenant), len(method), tenant, method, content)
    person = b"use:mark" if has_attempt_id else b"use:body"
    return blake2b(parts, digest_size=IDENTITY_BYTES, person=person).digest()
