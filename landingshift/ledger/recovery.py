"""Recovery: rebuilds the accounting state of a store from the newest entries of its file.

It runs at every start, not only after a crash.
"""

from __future__ import annotations

from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import GENESIS_HASH, decode
from landingshift.ledger.name_cache import NameNumberCache
from landingshift.ledger.schema import META_FIRST_PENDING, META_LAST_BATCH, META_RUN_ID
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.usage_ledger import UsageLedger

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
    first_replayed = min(first_pending, _first_entry_of_window(reader, max_identity_count))
    previous_row = reader.row_before(first_replayed)
    ledger.last_number = previous_row.number if previous_row else 0
    ledger.last_hash = previous_row.hash if previous_row else GENESIS_HASH
    closes = reader.period_close_ends()
    if closes:
        _, ledger.closed_end_ms = closes[-1]
    for row in reader.rows(first_replayed):
        ledger.replay(row.number, decode(row.kind, row.data), row.hash)
    if first_pending > first_replayed:
        # All usage before `first_pending` is settled. It must not stay pending, even if the replayed entries
        # did not settle it.
        ledger.pending = {
            sequence: usage
            for sequence, usage in ledger.pending.items()
            if usage.entry_number >= first_pending
        }
    batch_number = reader.meta(META_LAST_BATCH)
    has_run = reader.meta(META_RUN_ID) is not None
    ledger.last_batch_number = batch_number if isinstance(batch_number, int) and has_run else 0
    return ledger


def _first_entry_of_window(reader: StoreReader, max_identity_count: int) -> int:
    """Returns the number of the first entry to replay so that the deduplication window is complete."""
    newest_number = reader.newest_number()
    newest_usage_ms = reader.usage_time_at(newest_number)
    if newest_usage_ms is None:
        return 1
    tail_entries = FIRST_TAIL_ENTRIES
    while tail_entries < min(newest_number, 2 * max_identity_count):
        usage_time_ms = reader.usage_time_at(newest_number - tail_entries)
        if usage_time_ms is None or usage_time_ms < newest_usage_ms - reader.dedup_window_ms:
            break
        tail_entries *= 2
    return max(1, newest_number - tail_entries)
