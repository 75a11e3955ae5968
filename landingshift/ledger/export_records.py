"""Converts entries to export records of billed usage, corrections and period closes.

The records of usage have the order in which the usage was settled.
"""

from __future__ import annotations

from landingshift.ledger.database import read_snapshot
from landingshift.ledger.entries import (
    GENESIS_HASH,
    Correction,
    Entry,
    EntryKind,
    PeriodClose,
    Resolution,
    Settlement,
    UsageRecord,
    counted_ranges,
    decode,
    decode_usage,
)
from landingshift.ledger.errors import EntriesCompactedError
from landingshift.ledger.export_pb2 import Batch, Record
from landingshift.ledger.number_ranges import iterate_ranges
from landingshift.ledger.store import UsageStore

MAX_BATCH_RECORD_COUNT = 2000  # can be exceeded, since the records of one entry are never split
MAX_BATCH_ENTRY_COUNT = 20_000  # bound of the entries read for one batch; most give no record
MAX_CACHED_NAME_COUNT = 65_536
EXPORTED_KINDS = (
    EntryKind.SETTLEMENT,
    EntryKind.RESOLUTION,
    EntryKind.CORRECTION,
    EntryKind.PERIOD_CLOSE,
)


class ExportReader:
    """Builds batches from the entries of one store.

    Usage has the same billing period as in the ledger, which depends on the periods that were closed before
    the usage was settled.

    Guarantee: a batch contains the records of all entries between its cursors; if a compaction removed some
    of them, there is no batch. `skips_compacted` gives up this guarantee.

    Attributes:
        skips_compacted: Whether batches leave out what a compaction removed.
    """

    def __init__(self, store: UsageStore) -> None:
        self._store = store
        self.skips_compacted = False
        self._complete_after: int | None = None  # no entry after this one was missing when last checked
        self._period_closes: list[tuple[int, int]] = []  # entry number, end of the closed period
        self._names: dict[int, bytes] = {}

    def hash_at(self, number: int) -> bytes | None:
        """Returns the hash of an entry; None if the entry does not exist or was removed by a compaction.

        The hash of the last entry of the compacted part is always known.
        """
        if number == 0:
            return GENESIS_HASH
        row = self._store.row(number)
        if row is not None:
            return row.hash
        compaction = self._store.newest_compaction()
        if compaction is not None and compaction.last_number == number:
            return compaction.last_hash
        return None

    def newest_number(self) -> int:
        """Returns the number of the ledger's newest entry."""
        return self._store.newest_number()

    def next_batch(self, after: int) -> Batch | None:
        """Returns a batch with the records of the next entries after entry `after`.

        Returns:
            None if there are no entries after `after`.

        Raises:
            EntriesCompactedError: A compaction removed an entry after `after`, or usage that one counts.
        """
        with read_snapshot(self._store.db):  # a compaction can run in another process
            if not self.skips_compacted:
                self._check_complete(after)
            return self._build_batch(after)

    def _check_complete(self, after: int) -> None:
        """Requires that no entry after `after` was removed by a compaction.

        Entries after a number that was checked before are checked again while the batch is built.
        """
        if self._complete_after is not None and after >= self._complete_after:
            return
        missing_number = self._store.first_missing_number(after)
        if missing_number is not None:
            raise EntriesCompactedError(after, missing_number)
        self._complete_after = after

    def _build_batch(self, after: int) -> Batch | None:
        batch = Batch(instance=self._store.instance, to=after)
        setattr(batch, "from", after)  # the name of the field is a Python keyword
        batch.from_hash = self.hash_at(after) or b""
        for entry_count, row in enumerate(self._store.rows(after + 1)):
            if entry_count >= MAX_BATCH_ENTRY_COUNT or len(batch.records) >= MAX_BATCH_RECORD_COUNT:
                break
            if row.number != batch.to + 1 and not self.skips_compacted:
                raise EntriesCompactedError(after, batch.to + 1)
            if row.kind in EXPORTED_KINDS:
                batch.records.extend(self._records(after, row.number, decode(row.kind, row.data)))
            batch.to = row.number
            batch.to_hash = row.hash
        return batch if batch.to > after else None

    def _records(self, after: int, number: int, entry: Entry) -> list[Record]:
        match entry:
            case Settlement() | Resolution():
                return self._usage_records(after, number, counted_ranges(entry))
            case Correction():
                return [self._correction_record(number, entry)]
            case PeriodClose():
                return [Record(kind=Record.CLOSE, id=number, at_ms=entry.at_ms, period=entry.period)]
        return []

    def _usage_records(self, after: int, settling_number: int, ranges: list[int]) -> list[Record]:
        closed_end_ms = self._closed_end_ms_before(settling_number)
        records = []
        for first, count in iterate_ranges(ranges):
            rows = list(self._store.rows(first, first + count - 1))
            if len(rows) < count and not self.skips_compacted:
                found = {row.number for row in rows}
                missing = next(number for number in range(first, first + count) if number not in found)
                raise EntriesCompactedError(after, missing)
            records += [self._usage_record(row.number, decode_usage(row.data), closed_end_ms) for row in rows]
        return records

    def _usage_record(self, number: int, usage: UsageRecord, closed_end_ms: int) -> Record:
        assigned = self._store.calendar.assign(usage.at_ms, closed_end_ms)
        return Record(
            kind=Record.USE,
            id=number,
            at_ms=usage.at_ms,
            tenant=self._name_of(usage.tenant_number),
            method=self._name_of(usage.method_number),
            period=assigned.period,
            belongs=assigned.service_period,
            uses=1,
            work_us=usage.work_us,
            size_in=usage.bytes_in,
            size_out=usage.bytes_out,
            identity=usage.identity,
        )

    def _correction_record(self, number: int, correction: Correction) -> Record:
        return Record(
            kind=Record.CORRECTION,
            id=number,
            at_ms=correction.at_ms,
            tenant=self._name_of(correction.tenant_number),
            method=self._name_of(correction.method_number),
            period=correction.period,
            belongs=correction.service_period,
            uses=correction.uses,
            work_us=correction.work_us,
            amount=correction.amount,
            reason=correction.reason,
            who=correction.author,
        )

    def _closed_end_ms_before(self, number: int) -> int:
        """Returns the end of the last period that an earlier entry closed, Unix time; 0 if there is none."""
        last_known = self._period_closes[-1][0] if self._period_closes else 0
        self._period_closes += self._store.period_close_ends(last_known)
        ends = (end_ms for close_number, end_ms in self._period_closes if close_number < number)
        return max(ends, default=0)

    def _name_of(self, number: int) -> bytes:
        if number not in self._names:
            if len(self._names) > MAX_CACHED_NAME_COUNT:
                self._names.clear()
            self._names[number] = self._store.name_of(number)
        return self._names[number]
