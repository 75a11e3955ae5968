"""Searches the stored entries for counted usage of which other usage can be a duplicate.

Guarantee: all such usage is found that the store still has, whichever entry counted it. Failure mode: if the
server's clock stepped back by more than `MAX_CLOCK_STEP_MS`, usage from around that step can be missed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Set
from typing import TYPE_CHECKING

from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import (
    EntryKind,
    UsageRecord,
    counted_ranges,
    decode,
    decode_usage,
    settled_ranges,
)
from landingshift.ledger.number_ranges import decode_ranges

if TYPE_CHECKING:
    from landingshift.ledger.store_reader import StoreReader

MAX_CLOCK_STEP_MS = 7_200_000
"""Step back of the server's clock up to which the search finds all usage."""
UNBOUNDED_IDENTITY_COUNT = 1 << 62  # the window holds no more identities than there are records


def counted_near(reader: StoreReader, records: Collection[UsageRecord]) -> DedupWindow:
    """Returns a window with the times at which the identities of the given records were counted.

    It covers at least one deduplication window before and after the time of each record.
    """
    counted = DedupWindow(reader.dedup_window_ms, UNBOUNDED_IDENTITY_COUNT)
    if not records:
        return counted
    times = [record.at_ms for record in records]
    identities = {record.identity for record in records}
    earliest_ms = min(times) - reader.dedup_window_ms
    latest_ms = max(times) + reader.dedup_window_ms
    candidates = _usage_of(reader, identities, earliest_ms, latest_ms)
    for number in reader.disputed_numbers():
        candidates.pop(number, None)
    for record in _counted_among(reader, candidates):
        counted.add(record.identity, record.at_ms)
    return counted


def _usage_of(
    reader: StoreReader, identities: Set[bytes], earliest_ms: int, latest_ms: int
) -> dict[int, UsageRecord]:
    """Returns all usage of some identities between two times, and some usage before and after them."""
    suffix_length = min(map(len, identities))  # the identity is the end of an encoded usage record
    reader.db.execute("CREATE TEMP TABLE IF NOT EXISTS wanted(suffix BLOB PRIMARY KEY) WITHOUT ROWID")
    reader.db.execute("DELETE FROM wanted")
    reader.db.executemany(
        "INSERT OR IGNORE INTO wanted VALUES(?)", [(identity[-suffix_length:],) for identity in identities]
    )
    rows = reader.db.execute(
        "SELECT number, data FROM entries WHERE number BETWEEN ? AND ? AND kind = ? "
        "AND substr(data, ?) IN (SELECT suffix FROM wanted)",
        (
            _first_entry_since(reader, earliest_ms - MAX_CLOCK_STEP_MS),
            _first_entry_since(reader, latest_ms + MAX_CLOCK_STEP_MS),
            EntryKind.USAGE,
            -suffix_length,
        ),
    )
    found = {number: decode_usage(data) for number, data in rows}
    return {number: record for number, record in found.items() if record.identity in identities}


def _first_entry_since(reader: StoreReader, at_ms: int) -> int:
    """Returns the number of an entry before which all usage is older than `at_ms`, found by bisection.

    The usage of this entry is not older, unless it is the newest entry. If the server's clock stepped back,
    earlier entries can be newer, and later ones older, by as much as it stepped back.
    """
    low = 1
    high = reader.newest_number() or 1
    while low < high:
        middle = (low + high) // 2
        usage_time_ms = reader.usage_time_at(middle)
        if usage_time_ms is None or usage_time_ms < at_ms:
            low = middle + 1
        else:
            high = middle
    return low


def _counted_among(reader: StoreReader, candidates: dict[int, UsageRecord]) -> Iterator[UsageRecord]:
    """Yields those of the given usage entries that a settlement or a resolution counts.

    The search ends once the outcome of each of them is known.
    """
    undecided = dict(candidates)
    rows = reader.db.execute(
        "SELECT kind, data FROM entries WHERE number > ? AND kind IN (?, ?) ORDER BY number",
        (min(undecided, default=reader.newest_number()), EntryKind.SETTLEMENT, EntryKind.RESOLUTION),
    )
    for kind, data in rows:
        entry = decode(kind, data)
        for number in decode_ranges(counted_ranges(entry)):
            if number in undecided:
                yield undecided[number]
        for number in decode_ranges(settled_ranges(entry)):
            undecided.pop(number, None)
        if not undecided:
            return
