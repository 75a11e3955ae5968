"""Computes the totals from the entries, for audits, compaction and rebuilding the index.

It implements the accounting rules a second time, because an audit that used the code of `usage_ledger` could
not find faults in that code.
"""

from __future__ import annotations

from collections.abc import Iterator

from landingshift.ledger.entries import (
    Compaction,
    Correction,
    Entry,
    NameEntry,
    Opened,
    PeriodClose,
    Resolution,
    Settlement,
    UsageRecord,
    decode,
)
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.store_reader import StoreReader
from landingshift.ledger.totals import ZERO_TOTALS, Totals, TotalsKey, UsageTotals, period_digest


class LedgerReplay:
    """Replays the entries of a ledger in order and reports those that contradict earlier entries.

    Attributes:
        calendar: Billing periods.
        totals: Totals computed from the entries so far.
        unsettled: Usage that is pending or disputed, keyed by the number of its entry.
        disputed: Numbers of disputed usage entries.
        closed_end_ms: End of the last closed period, Unix time.
    """

    def __init__(self, reader: StoreReader) -> None:
        self.calendar = reader.calendar
        self.totals: Totals = {}
        self.unsettled: dict[int, UsageRecord] = {}
        self.disputed: set[int] = set()
        self.closed_end_ms = 0
        self._is_tenant_by_number: dict[int, bool] = {}

    def start_after(self, reader: StoreReader, compaction: Compaction) -> None:
        """Loads the state after the compacted part of the ledger from the baseline and the entries kept."""
        self.closed_end_ms = compaction.closed_end_ms
        self.totals.update(reader.baseline())
        for row in reader.rows(1, compaction.last_number):
            entry = decode(row.kind, row.data)
            match entry:
                case NameEntry():
                    self._is_tenant_by_number[row.number] = entry.is_tenant
                case UsageRecord():
                    self.unsettled[row.number] = entry
                case Opened():
                    self._dispute_kept(entry.disputed)
                case Settlement():
                    self._settle_kept([*entry.counted, *entry.duplicates, *entry.undelivered])
                    self._dispute_kept(entry.disputed)
                case Resolution():
                    self._settle_kept([*entry.billed, *entry.waived])

    def _dispute_kept(self, ranges: list[int]) -> None:
        self.disputed.update(number for number in decode_ranges(ranges) if number in self.unsettled)

    def _settle_kept(self, ranges: list[int]) -> None:
        """Marks usage as settled; the baseline has the totals of what was counted."""
        for number in decode_ranges(ranges):
            self.unsettled.pop(number, None)
            self.disputed.discard(number)

    def apply(self, number: int, entry: Entry) -> Iterator[str]:
        """Applies the next entry and yields a description of each inconsistency found.

        The caller must exhaust the iterator, because the state is updated during iteration.
        """
        match entry:
            case Opened():
                yield from self._dispute(entry.disputed)
            case NameEntry():
                self._is_tenant_by_number[number] = entry.is_tenant
            case UsageRecord():
                if not self._has_names(entry):
                    yield "names no tenant or method"
                self.unsettled[number] = entry
            case Settlement():
                yield from self._count(entry.counted)
                yield from self._remove_unbilled([*entry.duplicates, *entry.undelivered])
                yield from self._dispute(entry.disputed)
            case Resolution():
                yield from self._count(entry.billed)
                yield from self._remove_unbilled(entry.waived)
            case Correction():
                self._correct(entry)
            case PeriodClose():
                yield from self._close(entry)

    def _has_names(self, record: UsageRecord) -> bool:
        names_tenant = self._is_tenant_by_number.get(record.tenant_number) is True
        return names_tenant and self._is_tenant_by_number.get(record.method_number) is False

    def _add(
        self, at_ms: int, service_period: str, name_numbers: tuple[int, int], usage: UsageTotals
    ) -> None:
        is_open = at_ms >= self.closed_end_ms
        period = service_period if is_open else self.calendar.period_at(self.closed_end_ms).name
        key = TotalsKey(period, "" if service_period == period else service_period, *name_numbers)
        self.totals[key] = self.totals.get(key, ZERO_TOTALS) + usage

    def _count(self, ranges: list[int]) -> Iterator[str]:
        for number in decode_ranges(ranges):
            record = self.unsettled.pop(number, None)
            if record is None:
                yield f"settles entry {number}, which is no unsettled use"
                continue
            self.disputed.discard(number)
            self._add(
                record.at_ms,
                self.calendar.period_at(record.at_ms).name,
                (record.tenant_number, record.method_number),
                UsageTotals(1, record.work_us, record.bytes_in, record.bytes_out),
            )

    def _remove_unbilled(self, ranges: list[int]) -> Iterator[str]:
        for number in decode_ranges(ranges):
            self.disputed.discard(number)
            if self.unsettled.pop(number, None) is None:
                yield f"settles entry {number}, which is no unsettled use"

    def _dispute(self, ranges: list[int]) -> Iterator[str]:
        for number in decode_ranges(ranges):
            if number not in self.unsettled:
                yield f"disputes entry {number}, which is no unsettled use"
            self.disputed.add(number)

    def _correct(self, correction: Correction) -> None:
        service_period = self.calendar.period_named(correction.service_period)
        self._add(
            service_period.end_ms - 1,
            correction.service_period,
            (correction.tenant_number, correction.method_number),
            UsageTotals(correction.uses, correction.work_us),
        )

    def _close(self, period_close: PeriodClose) -> Iterator[str]:
        totals = {key: usage for key, usage in self.totals.items() if key.period == period_close.period}
        if period_digest(totals) != period_close.totals_digest:
            yield f"closed {period_close.period} with totals that its entries do not give"
        self.closed_end_ms = period_close.end_ms
