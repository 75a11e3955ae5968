"""Formats entries as text for `ledger show`, and lists the later outcomes of a usage entry.

Operators' scripts may read the printed names, so these are fixed here and do not follow the code's names.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime

from landingshift.ledger.entries import (
    Compaction,
    Correction,
    Entry,
    EntryKind,
    NameEntry,
    Opened,
    PeriodClose,
    Resolution,
    Settlement,
    UsageGap,
    UsageRecord,
    decode,
)
from landingshift.ledger.errors import UnknownEntryError
from landingshift.ledger.name_escaping import escape_name
from landingshift.ledger.number_ranges import ranges_contain
from landingshift.ledger.store_reader import StoreReader

PRINTED_KINDS = {
    EntryKind.OPENED: "opened",
    EntryKind.NAME: "name",
    EntryKind.USAGE: "use",
    EntryKind.SETTLEMENT: "settled",
    EntryKind.CORRECTION: "correction",
    EntryKind.PERIOD_CLOSE: "closed",
    EntryKind.GAP: "gap",
    EntryKind.RESOLUTION: "resolved",
    EntryKind.COMPACTION: "compacted",
}
PRINTED_FIELDS: dict[type, tuple[str, tuple[str, ...]]] = {
    Opened: ("Opened", ("run", "at", "disputed")),
    NameEntry: ("Name", ("tenant", "name")),
    Settlement: ("Settled", ("counted", "repeats", "void", "disputed")),
    Correction: (
        "Correction",
        ("at", "tenant", "method", "belongs", "period", "uses", "work", "amount", "reason", "who"),
    ),
    PeriodClose: ("Closed", ("at", "period", "start", "end", "totals")),
    UsageGap: ("Gap", ("at", "dropped")),
    Resolution: ("Resolved", ("at", "billed", "waived", "reason", "who")),
    Compaction: ("Compacted", ("at", "period", "last", "hash", "kept", "baseline", "until")),
}
"""Printed names of each entry type and its fields, in the order of the struct's fields. `UsageRecord` is
absent, because usage entries are described in sentences."""
DISPUTED = "disputed"


def describe_entry(reader: StoreReader, number: int) -> Iterator[str]:
    """Yields lines of text that describe an entry and, for a usage entry, its outcomes.

    Raises:
        UnknownEntryError: There is no entry with this number.
    """
    row = reader.row(number)
    if row is None:
        raise UnknownEntryError(number)
    entry = decode(row.kind, row.data)
    yield f"entry {number}: {PRINTED_KINDS[EntryKind(row.kind)]}, hash {row.hash.hex()}"
    if not isinstance(entry, UsageRecord):
        yield format_entry(entry)
        return
    yield from _describe_usage(reader, entry)
    for later in reader.rows(number):
        for text in _outcomes(decode(later.kind, later.data), number):
            yield f"entry {later.number}: {text}"
            if DISPUTED not in text:
                return
    yield "nothing is known of its answer yet"


def format_entry(entry: Entry) -> str:
    """Returns any entry except a usage entry as one line of text."""
    name, printed_fields = PRINTED_FIELDS[type(entry)]
    values = [getattr(entry, field) for field in entry.__struct_fields__]
    fields = ", ".join(f"{field}={value!r}" for field, value in zip(printed_fields, values, strict=True))
    return f"{name}({fields})"


def _describe_usage(reader: StoreReader, usage: UsageRecord) -> Iterator[str]:
    tenant = escape_name(reader.name_of(usage.tenant_number))
    method = escape_name(reader.name_of(usage.method_number))
    local_time = datetime.fromtimestamp(usage.at_ms / 1000.0, reader.calendar.time_zone)
    yield f"{tenant} {method} at {local_time.isoformat()}"
    yield f"{usage.work_us / 1000.0:g} ms of work, {usage.bytes_in} bytes in, {usage.bytes_out} out"
    yield f"identity {usage.identity.hex()}, period {reader.calendar.period_at(usage.at_ms).name}"


def _outcomes(entry: Entry, number: int) -> list[str]:
    """Returns descriptions of the outcomes that `entry` records for usage entry `number`."""
    match entry:
        case Settlement():
            outcomes = [
                ("counted", entry.counted),
                ("a repeat of one counted before", entry.duplicates),
                ("void: the answer never left whole", entry.undelivered),
                (DISPUTED, entry.disputed),
            ]
        case Resolution():
            outcomes = [
                (f"billed by {entry.author}: {entry.reason}", entry.billed),
                (f"waived by {entry.author}: {entry.reason}", entry.waived),
            ]
        case Opened():
            outcomes = [("disputed: the server ended before it was known", entry.disputed)]
        case _:
            outcomes = []
    return [text for text, ranges in outcomes if ranges_contain(ranges, number)]
