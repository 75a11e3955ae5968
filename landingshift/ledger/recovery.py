"""Recovery: rebuilds the accounting state of a store from the newest entries of its file.

It runs at every start, not only after a crash.
"""

from __future__ import annotations

from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import (
    GENESIS_HASH,
    Entry,
    EntryRow,
    NameEntry,
    Opened,
    PeriodClose,
    Settlement,
    UsageRecord,
    counted_ranges,
    decode,
    settled_ranges,
)
from landingshift.ledger.name_cache import NameNumberCache
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.schema import META_FIRST_PENDING, META_LAST_BATCH, META_RUN_ID
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.usage_ledger import PendingUsage, UsageLedger

FIRST_TAIL_ENTRIES = 1000  # initial number of entries to replay; doubled until they cover the window


def recover_ledger(reader: StoreReader, max_identity_count: int) -> UsageLedger:
    """Returns the accounting state of a store as of its newest entry.

    Args:
        reader: Store to read.
        max_identity_count: Maximum number of identities in the deduplication window.
    """
    window = DedupWindow(reader.dedup_window_ms, max_identity_count)
    ledger = UsageLedger(reader.calendar, window, NameNumberCache(reader.db))
    stored_first_pending = reader.meta(META_FIRST_PENDING)
    first_pending = stored_first_pending if isinstance(stored_first_pending, int) else 1
    first_replayed = min(first_pending, _first_entry_of_window(reader, first_pending, max_identity_count))
    previous_row = reader.row_before(first_replayed)
    ledger.last_number = previous_row.number if previous_row else 0
    ledger.last_hash = previous_row.hash if previous_row else GENESIS_HASH
    closes = reader.period_close_ends()
    if closes:
        _, ledger.closed_end_ms = closes[-1]
    replay = _TailReplay(reader, ledger)
    for row in reader.rows(first_replayed):
        replay.apply(row)
    # All usage before `first_pending` is settled, even if the replayed entries did not settle it.
    ledger.pending = {
        record.sequence: PendingUsage(number, record)
        for number, record in replay.pending.items()
        if number >= first_pending
    }
    batch_number = reader.meta(META_LAST_BATCH)
    has_run = reader.meta(META_RUN_ID) is not None
    ledger.last_batch_number = batch_number if isinstance(batch_number, int) and has_run else 0
    return ledger


class _TailReplay:
    """Applies stored entries to an accounting state, in order.

    Attributes:
        pending: Usage that the entries so far neither settle nor dispute, keyed by the number of its entry.
    """

    def __init__(self, reader: StoreReader, ledger: UsageLedger) -> None:
        self._reader = reader
        self._ledger = ledger
        self.pending: dict[int, UsageRecord] = {}

    def apply(self, row: EntryRow) -> None:
        """Applies the next entry."""
        ledger = self._ledger
        ledger.last_number = row.number
        ledger.last_hash = row.hash
        entry = decode(row.kind, row.data)
        match entry:
            case UsageRecord():
                self.pending[row.number] = entry
            case Opened():
                self.pending.clear()
                ledger.last_batch_number = 0
            case PeriodClose():
                ledger.closed_end_ms = max(ledger.closed_end_ms, entry.end_ms)
            case NameEntry():
                ledger.name_numbers[entry.is_tenant, entry.name] = row.number
            case _:
                self._settle(entry)

    def _settle(self, entry: Entry) -> None:
        for number in decode_ranges(counted_ranges(entry)):
            # Usage that a resolution bills was disputed, and can be older than the replayed entries.
            record = self.pending.get(number) or self._reader.usage(number)
            if record is not None:
                self._ledger.dedup_window.add(record.identity, record.at_ms)
        for number in decode_ranges(settled_ranges(entry)):
            self.pending.pop(number, None)
        if isinstance(entry, Settlement):
            for number in decode_ranges(entry.disputed):
                self.pending.pop(number, None)


def _first_entry_of_window(reader: StoreReader, first_pending: int, max_identity_count: int) -> int:
    """Returns the number of the first entry to replay so that the deduplication window is complete.

    The window reaches back from the oldest usage that is not settled yet, since that is still to be compared
    with usage counted before it.
    """
    newest_number = reader.newest_number()
    newest_usage_ms = reader.usage_time_at(newest_number)
    if newest_usage_ms is None:
        return 1
    oldest_pending = reader.usage(first_pending)
    next_settled_ms = min(newest_usage_ms, oldest_pending.at_ms if oldest_pending else newest_usage_ms)
    tail_entries = FIRST_TAIL_ENTRIES
    while tail_entries < min(newest_number, 2 * max_identity_count):
        usage_time_ms = reader.usage_time_at(newest_number - tail_entries)
        if usage_time_ms is None or usage_time_ms < next_settled_ms - reader.dedup_window_ms:
            break
        tail_entries *= 2
    return max(1, newest_number - tail_entries)
