"""Repairs a store: rebuilds its index, and restores entries missing after a restore from an old backup."""

from __future__ import annotations

from collections.abc import Iterable

from landingshift import failpoints
from landingshift.ledger.audit import audit_store
from landingshift.ledger.entries import Correction, Entry, NameEntry, Opened, PeriodClose, decode
from landingshift.ledger.errors import CorruptLedgerError, DivergedLedgerError
from landingshift.ledger.index_writer import IndexWriter
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.recovery import recover_ledger
from landingshift.ledger.replay import LedgerReplay
from landingshift.ledger.schema import (
    META_COMPACTION_NUMBER,
    META_FIRST_PENDING,
    META_LAST_NUMBER,
    META_RUN_ID,
)
from landingshift.ledger.store import UsageStore

MAX_ROW_COUNT = 5000  # entries copied per query


def reindex(store: UsageStore) -> None:
    """Rebuilds the index from the entries, in one transaction.

    Raises:
        CorruptLedgerError: The entries are inconsistent.
    """
    for finding in audit_store(store):
        if finding.entry_number:
            raise CorruptLedgerError(finding.entry_number, finding.problem, "totals can't be made from that")
    with store.ledger_transaction():
        _rebuild_index(store)


def restore_missing_entries(store: UsageStore, merged: MergedStore) -> int:
    """Restores the entries that the store lost, by copying them from the merged ledger.

    Restored compaction entries remove nothing from the store: it has the entries that they removed.

    Returns:
        The number of restored entries.

    Raises:
        DivergedLedgerError: The store's newest entry is not in the merged ledger. Nothing is changed.
            Merging the store adds its entries to the merged ledger as a branch of their own.
    """
    branch = merged.current_branch(store.instance)
    last_number = store.ledger.last_number
    if merged.hash_at(branch, last_number) != store.ledger.last_hash:
        raise DivergedLedgerError(last_number)
    restored_count = 0
    with store.ledger_transaction():
        if store.meta(META_COMPACTION_NUMBER) is None:
            store.set_meta(META_COMPACTION_NUMBER, store.newest_compaction_number())
        while rows := merged.rows_after(branch, last_number, MAX_ROW_COUNT):
            store.insert_entries(rows)
            last_number = rows[-1].number
            restored_count += len(rows)
        _rebuild_index(store)
        store.set_meta(META_RUN_ID, None)  # so that the next start disputes the pending usage
        store.ledger = recover_ledger(store, store.max_identity_count)
    return restored_count


def _rebuild_index(store: UsageStore) -> None:
    """Rebuilds the index tables and the `meta` values derived from entries; call it within a transaction."""
    replay = LedgerReplay(store)
    compaction = store.newest_compaction()
    store.index.clear()
    compacted_number = 0
    if compaction is not None:
        compacted_number = compaction.last_number
        replay.start_after(store, compaction)
    last_start_number = 0
    newest_number = 0
    for row in store.rows():
        entry = decode(row.kind, row.data)
        newest_number = row.number
        if row.number > compacted_number:
            for _ in replay.apply(row.number, entry):
                pass  # only the new state is needed; `audit_store` reports inconsistencies
        if isinstance(entry, Opened):
            last_start_number = row.number
        _index_entry(store.index, row.number, entry)
    failpoints.reach("ledger.rebuild")
    store.index.add_totals(replay.totals)
    store.index.add_disputed(sorted(replay.disputed))
    pending = _pending_numbers(replay, last_start_number)
    store.set_meta(META_FIRST_PENDING, min(pending, default=newest_number + 1))
    store.set_meta(META_LAST_NUMBER, newest_number)


def _index_entry(index: IndexWriter, number: int, entry: Entry) -> None:
    match entry:
        case NameEntry():
            index.add_names([(number, entry)])
        case PeriodClose():
            index.add_period_closes([(number, entry)])
        case Correction():
            index.add_corrections([(number, entry)])


def _pending_numbers(replay: LedgerReplay, last_start_number: int) -> Iterable[int]:
    """Returns the numbers of usage entries since the last server start that are not settled or disputed."""
    return (
        number for number in replay.unsettled if number not in replay.disputed and number > last_start_number
    )
