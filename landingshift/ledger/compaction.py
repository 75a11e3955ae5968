"""Compaction: removes the settled usage entries of old closed periods and keeps their totals.

Guarantee: totals, corrections and disputed usage are kept, and so is counted usage of which other usage can
still be a duplicate (`compaction_retention`). The hash chain continues, and the compaction entry contains a
digest of the entries kept. An inconsistent ledger is not compacted, because finding its faults
requires the entries that would be removed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from landingshift import failpoints
from landingshift.ledger.audit import audit_store, retained_digest
from landingshift.ledger.compaction_retention import CompactionRetention, NeededUsage
from landingshift.ledger.entries import (
    GENESIS_HASH,
    Compaction,
    Correction,
    Entry,
    EntryRow,
    PeriodClose,
    UsageRecord,
    decode,
)
from landingshift.ledger.errors import CorruptLedgerError, EntriesNotExportedError, PeriodNotClosedError
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.replay import LedgerReplay
from landingshift.ledger.schema import META_COMPACTION_NUMBER
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.totals import Totals, baseline_digest
from landingshift.ledger.usage_ledger import UsageLedger


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """The entries that a compaction removes and keeps."""

    last_number: int
    """Number of the last entry of the compacted part."""
    last_hash: bytes
    """Hash of that entry."""
    retained_numbers: set[int]
    """Numbers of the usage and settlement entries that are kept, see `CompactionRetention`."""
    removed_usage_count: int
    """Number of usage entries that are removed."""
    totals: Totals
    """Totals after entry `last_number`."""
    closed_end_ms: int
    """End of the last period that an entry up to `last_number` closed, Unix time."""


def compact_store(store: UsageStore, period: str, now_ms: int, exported_number: int | None) -> int:
    """Removes the settled usage of a period and all periods before it.

    Args:
        store: Store to compact.
        period: Name of the last period to compact.
        now_ms: Current Unix time.
        exported_number: Number of the last entry that the receiver acknowledged; None to compact entries even
            if they were not exported.

    Returns:
        The number of removed usage entries.

    Raises:
        CorruptLedgerError: An audit found an inconsistency.
        PeriodNotClosedError: The period is open.
        EntriesNotExportedError: The receiver does not have all entries of the compacted part.
    """
    _check_consistency(store)
    with store.ledger_transaction() as ledger:
        needed = _needed_usage(store, ledger, now_ms)
        plan = plan_compaction(store, period, ledger.closed_end_ms, needed)
        if exported_number is not None and exported_number < plan.last_number:
            raise EntriesNotExportedError(exported_number + 1, plan.last_number)
        if not plan.removed_usage_count:
            return 0
        store.remove_settled_usage(plan.last_number, plan.retained_numbers)
        failpoints.reach("ledger.compact")
        store.index.replace_baseline(plan.totals)
        failpoints.reach("ledger.compacted")
        ledger.append(_compaction_entry(store, plan, period, now_ms))
        if store.meta(META_COMPACTION_NUMBER) is not None:
            store.set_meta(META_COMPACTION_NUMBER, None)  # the newest compaction removed entries again
    store.reclaim_space()
    return plan.removed_usage_count


def _needed_usage(store: UsageStore, ledger: UsageLedger, now_ms: int) -> NeededUsage:
    """Returns the counted usage to keep, by the usage that is pending or disputed now."""
    newest_usage_ms = store.usage_time_at(ledger.last_number)
    next_usage_ms = now_ms if newest_usage_ms is None else min(now_ms, newest_usage_ms)
    undecided = [record for _, record in store.disputed()]
    undecided += [usage.record for usage in ledger.pending.values()]
    return NeededUsage(store.dedup_window_ms, undecided, next_usage_ms)


def _compaction_entry(store: UsageStore, plan: CompactionPlan, period: str, now_ms: int) -> Compaction:
    return Compaction(
        now_ms,
        period,
        plan.last_number,
        plan.last_hash,
        retained_digest(store, plan.last_number),
        baseline_digest(store.baseline()),
        plan.closed_end_ms,
    )


def plan_compaction(
    reader: StoreReader, period: str, closed_end_ms: int, needed: NeededUsage
) -> CompactionPlan:
    """Decides which entries to remove.

    The compacted part ends before the first entry that belongs to a later period or closes this one.

    Args:
        reader: Store to compact.
        period: Name of the last period to compact.
        closed_end_ms: End of the last closed period, Unix time.
        needed: Counted usage that must be kept.

    Raises:
        PeriodNotClosedError: The period is open.
    """
    end_ms = reader.calendar.period_named(period).end_ms
    if closed_end_ms < end_ms:
        raise PeriodNotClosedError(period)
    replay = LedgerReplay(reader)
    retention = CompactionRetention(needed)
    last_number = 0
    last_hash = GENESIS_HASH
    earlier = reader.newest_compaction()
    if earlier is not None:
        last_number = earlier.last_number
        last_hash = earlier.last_hash
        replay.start_after(reader, earlier)
        for row in reader.rows(1, last_number):
            retention.apply(row.number, decode(row.kind, row.data))
    for row, entry in _entries_to_compact(reader, last_number + 1, end_ms):
        for _ in replay.apply(row.number, entry):
            pass  # `_check_consistency` has already found no inconsistency
        retention.apply(row.number, entry)
        last_number = row.number
        last_hash = row.hash
    return CompactionPlan(
        last_number,
        last_hash,
        retention.retained_numbers(),
        reader.usage_count(last_number) - retention.usage_count(),
        replay.totals,
        replay.closed_end_ms,
    )


def _check_consistency(reader: StoreReader) -> None:
    findings = audit_store(reader)
    if findings:
        first = findings[0]
        raise CorruptLedgerError(
            first.entry_number, first.problem, "what is wrong now could not be found later"
        )


def _entries_to_compact(
    reader: StoreReader, first_number: int, end_ms: int
) -> Iterator[tuple[EntryRow, Entry]]:
    """Yields the entries from `first_number` to the end of the part to compact, see `plan_compaction`."""
    for row in reader.rows(first_number):
        entry = decode(row.kind, row.data)
        if _belongs_to_later_period(entry, end_ms, reader.calendar):
            return
        yield row, entry


def _belongs_to_later_period(entry: Entry, end_ms: int, calendar: BillingCalendar) -> bool:
    """Returns whether an entry belongs to a period after `end_ms` or closes the period that ends there."""
    match entry:
        case UsageRecord():
            return entry.at_ms >= end_ms
        case Correction():
            return calendar.period_named(entry.period).end_ms > end_ms
        case PeriodClose():
            return calendar.period_named(entry.period).end_ms >= end_ms
    return False
