"""Compaction of aged periods to their totals: settled usage goes, all else stays.

Guarantee: totals, corrections, disputed usage and the chain stay, and what stayed is sealed by a digest in
the chain. It refuses a ledger that does not hold, since what is wrong could not be found afterwards.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from landingshift import failpoints
from landingshift.ledger.audit import audit_store, retained_digest
from landingshift.ledger.entries import (
    GENESIS_HASH,
    Compaction,
    Correction,
    Entry,
    EntryKind,
    EntryRow,
    PeriodClose,
    Settlement,
    UsageRecord,
    decode,
)
from landingshift.ledger.errors import CorruptLedgerError, EntriesNotExportedError, PeriodNotClosedError
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.replay import LedgerReplay
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.totals import Totals, baseline_digest


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """What a compaction removes."""

    last_number: int
    """The entry up to which settled usage goes."""
    last_hash: bytes
    retained_numbers: set[int]
    """Usage up to there that is not settled, and settlements that dispute some."""
    removed_usage_count: int
    totals: Totals
    """As they are at `last_number`."""
    closed_end_ms: int
    """End of the last period that was closed by then."""


def compact_store(store: UsageStore, period: str, now_ms: int, exported_number: int | None) -> int:
    """Removes the settled usage of all periods up to this one.

    Args:
        store: The store.
        period: The last period to compact.
        now_ms: Unix time.
        exported_number: The entry up to which the receiver has everything; None to go without.

    Returns:
        How many usage entries were removed.

    Raises:
        CorruptLedgerError: The ledger does not hold.
        PeriodNotClosedError: The period is open.
        EntriesNotExportedError: The receiver has not everything.
    """
    _check_holds(store)
    with store.changing() as ledger:
        plan = plan_compaction(store, period, ledger.closed_end_ms)
        if exported_number is not None and exported_number < plan.last_number:
            raise EntriesNotExportedError(exported_number + 1, plan.last_number)
        if not plan.removed_usage_count:
            return 0
        store.remove_settled_usage(plan.last_number, plan.retained_numbers)
        failpoints.reach("ledger.compact")
        store.index.replace_baseline(plan.totals)
        failpoints.reach("ledger.compacted")
        ledger.append(_compaction_entry(store, plan, period, now_ms))
    store.reclaim_space()
    return plan.removed_usage_count


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


def plan_compaction(reader: StoreReader, period: str, closed_end_ms: int) -> CompactionPlan:
    """Decides by one pass what goes: all up to the first entry that concerns a later period.

    Args:
        reader: The store.
        period: The last period to compact.
        closed_end_ms: End of the last period that was closed.

    Raises:
        PeriodNotClosedError: The period is open.
    """
    end_ms = reader.calendar.period_named(period).end_ms
    if closed_end_ms < end_ms:
        raise PeriodNotClosedError(period)
    replay = LedgerReplay(reader)
    last_number = 0
    last_hash = GENESIS_HASH
    disputing_numbers = set()  # settlements that say of usage which may stay that it is disputed
    earlier = reader.newest_compaction()
    if earlier is not None:
        last_number = earlier.last_number
        last_hash = earlier.last_hash
        replay.start_after(reader, earlier)
        disputing_numbers = _settlement_numbers(reader, last_number)
    for row, entry in _entries_to_compact(reader, last_number + 1, end_ms):
        for _ in replay.apply(row.number, entry):
            pass  # the audit has reported what does not hold
        if isinstance(entry, Settlement) and entry.disputed:
            disputing_numbers.add(row.number)
        last_number = row.number
        last_hash = row.hash
    return CompactionPlan(
        last_number,
        last_hash,
        {*replay.unsettled, *disputing_numbers},
        reader.usage_count(last_number) - len(replay.unsettled),
        replay.totals,
        replay.closed_end_ms,
    )


def _settlement_numbers(reader: StoreReader, last_number: int) -> set[int]:
    return {row.number for row in reader.rows(1, last_number) if row.kind == EntryKind.SETTLEMENT}


def _check_holds(reader: StoreReader) -> None:
    findings = audit_store(reader)
    if findings:
        first = findings[0]
        raise CorruptLedgerError(
            first.entry_number, first.problem, "what is wrong now could not be found later"
        )


def _entries_to_compact(
    reader: StoreReader, first_number: int, end_ms: int
) -> Iterator[tuple[EntryRow, Entry]]:
    """Entries up to the first that concerns a period which ends after `end_ms`."""
    for row in reader.rows(first_number):
        entry = decode(row.kind, row.data)
        if _concerns_later_period(entry, end_ms, reader.calendar):
            return
        yield row, entry


def _concerns_later_period(entry: Entry, end_ms: int, calendar: BillingCalendar) -> bool:
    match entry:
        case UsageRecord():
            return entry.at_ms >= end_ms
        case Correction():
            return calendar.period_named(entry.period).end_ms > end_ms
        case PeriodClose():
            return calendar.period_named(entry.period).end_ms >= end_ms
    return False
