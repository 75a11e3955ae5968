"""The index made anew from the entries, and entries given back that a ledger lost with an old copy."""

from __future__ import annotations

from collections.abc import Iterable

from landingshift import failpoints
from landingshift.ledger.audit import audit_store
from landingshift.ledger.entries import Correction, Entry, NameEntry, Opened, PeriodClose, decode
from landingshift.ledger.errors import CorruptLedgerError, DivergedLedgerError
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.recovery import recover_ledger
from landingshift.ledger.replay import LedgerReplay
from landingshift.ledger.schema import META_FIRST_PENDING, META_LAST_NUMBER, META_RUN_ID
from landingshift.ledger.store import UsageStore
from landingshift.ledger.totals import sum_by_period

MAX_ROW_COUNT = 5000  # entries copied at a time
INDEX_TABLES = ("names", "totals", "sums", "disputed", "corrections", "closed")


def reindex(store: UsageStore) -> None:
    """Makes the index anew, all or nothing.

    Raises:
        CorruptLedgerError: The entries themselves do not hold.
    """
    for finding in audit_store(store):
        if finding.entry_number:
            raise CorruptLedgerError(finding.entry_number, finding.problem, "totals can't be made from that")
    with store.changing():
        _rebuild_index(store)


def restore_missing_entries(store: UsageStore, merged: MergedStore) -> int:
    """Takes what the merged ledger has of this one and it lacks.

    Returns:
        How many entries came back.

    Raises:
        DivergedLedgerError: This ledger has entries of its own that the merged branch has not. Both stand,
            and the merged ledger has the totals.
    """
    branch = merged.current_branch(store.instance)
    last_number = store.ledger.last_number
    if merged.hash_at(branch, last_number) != store.ledger.last_hash:
        raise DivergedLedgerError(last_number)
    restored_count = 0
    with store.changing():
        while rows := merged.rows_after(branch, last_number, MAX_ROW_COUNT):
            store.db.executemany("INSERT INTO entries VALUES(?, ?, ?, ?)", rows)
            last_number = rows[-1].number
            restored_count += len(rows)
        _rebuild_index(store)
        store.set_meta(META_RUN_ID, None)  # whoever opens it next is another run: what is pending is disputed
        store.ledger = recover_ledger(store, store.max_identity_count)
    return restored_count


def _rebuild_index(store: UsageStore) -> None:
    """Within a commit."""
    replay = LedgerReplay(store)
    compaction = store.newest_compaction()
    for table in INDEX_TABLES:
        store.db.execute(f"DELETE FROM {table}")
    compacted_number = 0
    if compaction is not None:
        compacted_number = compaction.last_number
        replay.start_after(store, compaction)
    run_start_number = 0
    newest_number = 0
    for row in store.rows():
        entry = decode(row.kind, row.data)
        newest_number = row.number
        if row.number > compacted_number:
            for _ in replay.apply(row.number, entry):
                pass  # the audit has reported what does not hold
        if isinstance(entry, Opened):
            run_start_number = row.number
        _index_entry(store, row.number, entry)
    failpoints.reach("ledger.rebuild")
    _write_replayed(store, replay)
    pending = _pending_numbers(replay, run_start_number)
    store.set_meta(META_FIRST_PENDING, min(pending, default=newest_number + 1))
    store.set_meta(META_LAST_NUMBER, newest_number)


def _index_entry(store: UsageStore, number: int, entry: Entry) -> None:
    match entry:
        case NameEntry():
            store.db.execute("INSERT INTO names VALUES(?, ?, ?)", (entry.is_tenant, entry.name, number))
        case PeriodClose():
            store.db.execute("INSERT INTO closed VALUES(?, ?)", (entry.period, number))
        case Correction():
            store.db.execute("INSERT INTO corrections VALUES(?, ?)", (number, entry.period))


def _write_replayed(store: UsageStore, replay: LedgerReplay) -> None:
    store.db.executemany(
        "INSERT INTO totals VALUES(?, ?, ?, ?, ?, ?, ?, ?)",
        [(*key.as_row(), *usage.as_row()) for key, usage in replay.totals.items()],
    )
    store.db.executemany(
        "INSERT INTO sums VALUES(?, ?, ?, ?, ?)",
        [(period, *usage.as_row()) for period, usage in sum_by_period(replay.totals).items()],
    )
    store.db.executemany("INSERT INTO disputed VALUES(?)", [(number,) for number in sorted(replay.disputed)])


def _pending_numbers(replay: LedgerReplay, run_start_number: int) -> Iterable[int]:
    """Usage of the latest run that is neither settled nor disputed."""
    return (
        number for number in replay.unsettled if number not in replay.disputed and number > run_start_number
    )
