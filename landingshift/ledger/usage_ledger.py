"""Accounting rules: converts batches to entries and decides which usage is billed in which period. No I/O.

Usage is pending until a batch reports whether its answer was delivered, and is then settled. Guarantee:
settled usage is counted (billed) if the gateway's machine acknowledged the answer and no usage of the same
identity was counted within the deduplication window. It is billed in the period in which it occurred. If that
period is closed, it is billed in the first open period, and its totals name the period in which it occurred.
A closed period never changes. Failure mode: after a failed commit, a `UsageLedger` contains entries that the
store does not have; the store discards it and recovers a new one.
"""

from __future__ import annotations

from collections.abc import Mapping, MutableMapping
from dataclasses import dataclass, field

from msgspec import Struct

from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import (
    GENESIS_HASH,
    KIND_BY_TYPE,
    Correction,
    Entry,
    EntryRow,
    NameEntry,
    Opened,
    PeriodClose,
    Resolution,
    Settlement,
    UsageGap,
    UsageRecord,
    chain_hash,
    encode,
)
from landingshift.ledger.errors import (
    BatchOutOfOrderError,
    EarlierPeriodOpenError,
    EmptyCorrectionError,
    MissingReasonError,
    PeriodNotBegunError,
    PeriodNotEndedError,
    UnknownUsageError,
)
from landingshift.ledger.number_ranges import encode_ranges
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.ledger.totals import Totals, TotalsKey, UsageTotals, period_digest


@dataclass(slots=True)
class CommitChanges:
    """Changes that the next commit writes; do not report them to anyone before that commit is durable."""

    entries: list[EntryRow] = field(default_factory=list)
    totals: Totals = field(default_factory=dict)
    """Usage to add to the stored totals."""
    disputed: list[int] = field(default_factory=list)
    """Numbers of usage entries that become disputed."""
    resolved: list[int] = field(default_factory=list)
    """Numbers of usage entries whose dispute was resolved."""
    period_closes: list[tuple[int, PeriodClose]] = field(default_factory=list)
    """New period closes with their entry numbers."""
    corrections: list[tuple[int, Correction]] = field(default_factory=list)
    """New corrections with their entry numbers."""
    names: list[tuple[int, NameEntry]] = field(default_factory=list)
    """New names with their entry numbers."""


@dataclass(frozen=True, slots=True)
class CorrectionRequest:
    """A correction as entered by an operator."""

    tenant: bytes
    method: bytes
    service_period: str
    """Name of the period whose usage is corrected."""
    uses: int
    """Change of the number of RPCs."""
    work_us: int
    """Change of the run time on the engine."""
    amount: str
    """Change of the amount due: a decimal number in the price plan's currency, or empty."""
    reason: str
    author: str
    """Name of the operator."""


class PendingUsage(Struct, frozen=True):
    """A usage entry that is not settled yet."""

    entry_number: int
    record: UsageRecord


class UsageLedger:
    """Accounting state of one ledger; operations append entries and collect `changes` for the next commit.

    Attributes:
        calendar: Billing periods.
        dedup_window: Identities counted recently.
        name_numbers: Numbers of the name entries, keyed by (True, tenant name) or (False, method name).
        last_number: Number of the newest entry; 0 if there is none.
        last_hash: Hash of the newest entry.
        closed_end_ms: End of the last closed period, Unix time.
        last_batch_number: Number of the last batch applied for the current server process.
        pending: Usage that is not settled yet, keyed by its sequence number within the server process.
        changes: Changes that the next commit writes.
    """

    def __init__(
        self,
        calendar: BillingCalendar,
        dedup_window: DedupWindow,
        name_numbers: MutableMapping[tuple[bool, bytes], int],
    ) -> None:
        self.calendar = calendar
        self.dedup_window = dedup_window
        self.name_numbers = name_numbers
        self.last_number = 0
        self.last_hash = GENESIS_HASH
        self.closed_end_ms = 0
        self.last_batch_number = 0
        self.pending: dict[int, PendingUsage] = {}
        self.changes = CommitChanges()

    def pop_changes(self) -> CommitChanges:
        """Returns the changes collected since the last call and starts a new, empty collection."""
        changes = self.changes
        self.changes = CommitChanges()
        return changes

    def append(self, entry: Entry) -> int:
        """Appends an entry to the chain and returns its number."""
        kind = KIND_BY_TYPE[type(entry)]
        data = encode(entry)
        self.last_number += 1
        self.last_hash = chain_hash(self.last_hash, kind, data)
        self.changes.entries.append(EntryRow(self.last_number, kind, data, self.last_hash))
        return self.last_number

    def first_pending_number(self) -> int:
        """Returns the number of the first pending usage entry, or of the next new entry if there is none."""
        numbers = (usage.entry_number for usage in self.pending.values())
        return min(numbers, default=self.last_number + 1)

    # Reports of the server

    def start_run(self, run_id: bytes, now_ms: int) -> int:
        """Records the start of a server process and disputes all pending usage.

        Pending usage is from an earlier server process. Whether its answers arrived is unknown.

        Returns:
            The number of usage entries that became disputed.
        """
        unsettled = [usage.entry_number for usage in self.pending.values()]
        self.pending.clear()
        self.last_batch_number = 0
        self.append(Opened(run_id, now_ms, encode_ranges(unsettled)))
        self.changes.disputed += unsettled
        return len(unsettled)

    def apply_batch(self, batch: UsageBatch, now_ms: int) -> None:
        """Appends the usage of a batch and settles the pending usage whose outcomes the batch reports.

        A batch that was already applied is ignored.

        Raises:
            BatchOutOfOrderError: A batch before this one is missing.
            UnknownUsageError: An outcome refers to usage that is not pending.
        """
        if batch.number <= self.last_batch_number:
            return  # the server resends batches whose commit was not confirmed; count them only once
        if batch.number != self.last_batch_number + 1:
            raise BatchOutOfOrderError(batch.number, self.last_batch_number)
        self.last_batch_number = batch.number
        for usage in batch.usages:
            self._record_usage(usage)
        if batch.dropped_count:
            self.append(UsageGap(now_ms, batch.dropped_count))
        if batch.delivered or batch.undelivered or batch.disputed:
            self._settle(batch)

    def _record_usage(self, usage: ReportedUsage) -> None:
        record = UsageRecord(
            usage.sequence,
            usage.at_ms,
            self._name_number(True, usage.tenant),
            self._name_number(False, usage.method),
            usage.work_us,
            usage.bytes_in,
            usage.bytes_out,
            usage.identity,
        )
        self.pending[usage.sequence] = PendingUsage(self.append(record), record)

    def _name_number(self, is_tenant: bool, name: bytes) -> int:
        try:
            return self.name_numbers[is_tenant, name]
        except KeyError:
            entry = NameEntry(is_tenant, name)
            number = self.append(entry)
            self.name_numbers[is_tenant, name] = number
            self.changes.names.append((number, entry))
            return number

    def _settle(self, batch: UsageBatch) -> None:
        counted = []
        duplicates = []
        for sequence in batch.delivered:
            pending = self._pop_pending(sequence)
            number = pending.entry_number
            record = pending.record
            if self.dedup_window.contains(record.identity, record.at_ms):
                duplicates.append(number)
            else:
                counted.append(number)
                self._count(record)
        undelivered = [self._pop_pending(sequence).entry_number for sequence in batch.undelivered]
        disputed = [self._pop_pending(sequence).entry_number for sequence in batch.disputed]
        self.changes.disputed += disputed
        self.append(
            Settlement(
                encode_ranges(counted),
                encode_ranges(duplicates),
                encode_ranges(undelivered),
                encode_ranges(disputed),
            )
        )

    def _pop_pending(self, sequence: int) -> PendingUsage:
        usage = self.pending.pop(sequence, None)
        if usage is None:
            raise UnknownUsageError(sequence)
        return usage

    def _count(self, record: UsageRecord) -> None:
        self.dedup_window.add(record.identity, record.at_ms)
        assigned = self.calendar.assign(record.at_ms, self.closed_end_ms)
        key = TotalsKey(assigned.period, assigned.service_period, record.tenant_number, record.method_number)
        self._add_totals(key, UsageTotals(1, record.work_us, record.bytes_in, record.bytes_out))

    def _add_totals(self, key: TotalsKey, usage: UsageTotals) -> None:
        total = self.changes.totals.get(key)
        self.changes.totals[key] = usage if total is None else total + usage

    # Commands of operators

    def close_period(self, name: str, now_ms: int, first_open: str | None, totals: Totals) -> bool:
        """Appends the close of a period, after which its totals can't change any more.

        Args:
            name: Name of the period.
            now_ms: Current Unix time.
            first_open: Name of the earliest open period that has totals, if any.
            totals: Totals of the period; the entry stores their digest.

        Returns:
            False if the period was already closed.

        Raises:
            InvalidPeriodError: `name` is not the name of a period.
            PeriodNotEndedError: The period has not ended yet.
            EarlierPeriodOpenError: An earlier period is open and must be closed first.
        """
        period = self.calendar.period_named(name)
        if period.end_ms <= self.closed_end_ms:
            return False
        if now_ms < period.end_ms:
            raise PeriodNotEndedError(name)
        if first_open is not None and self.calendar.period_named(first_open).start_ms < period.start_ms:
            raise EarlierPeriodOpenError(first_open, name)
        entry = PeriodClose(now_ms, name, period.start_ms, period.end_ms, period_digest(totals))
        self.changes.period_closes.append((self.append(entry), entry))
        self.closed_end_ms = period.end_ms
        return True

    def correct(self, request: CorrectionRequest, now_ms: int) -> Correction:
        """Appends a correction, billed in the corrected period or, if that is closed, in the first open one.

        Raises:
            InvalidPeriodError: The service period is not the name of a period.
            EmptyCorrectionError: The correction changes neither the RPC count, the run time nor the amount.
            MissingReasonError: The correction has no reason.
            PeriodNotBegunError: The service period is in the future.
        """
        service_period = self.calendar.period_named(request.service_period)
        if not (request.uses or request.work_us or request.amount):
            raise EmptyCorrectionError
        if not request.reason.strip():
            raise MissingReasonError("correction")
        if service_period.start_ms > now_ms:
            raise PeriodNotBegunError(request.service_period)
        is_open = service_period.end_ms > self.closed_end_ms
        period = service_period if is_open else self.calendar.period_at(self.closed_end_ms)
        entry = Correction(
            now_ms,
            self._name_number(True, request.tenant),
            self._name_number(False, request.method),
            request.service_period,
            period.name,
            request.uses,
            request.work_us,
            request.amount,
            request.reason,
            request.author,
        )
        self.changes.corrections.append((self.append(entry), entry))
        self._add_totals(correction_key(entry), UsageTotals(entry.uses, entry.work_us))
        return entry

    def resolve_disputes(
        self,
        billed: Mapping[int, UsageRecord],
        waived: list[int],
        counted_nearby: DedupWindow,
        reason: str,
        author: str,
        now_ms: int,
    ) -> int:
        """Bills or waives disputed usage, as an operator decided.

        Usage in `billed` is waived if its identity was already counted within the deduplication window.

        Args:
            billed: Disputed usage to bill, keyed by the number of its entry.
            waived: Numbers of disputed usage entries that are not billed.
            counted_nearby: Identities counted around the times of `billed`. The ledger's own deduplication
                window does not reach back that far.
            reason: The operator's reason.
            author: Name of the operator.
            now_ms: Current Unix time.

        Returns:
            The number of entries of `billed` that were counted.

        Raises:
            MissingReasonError: The reason is empty.
        """
        if not reason.strip():
            raise MissingReasonError("resolution")
        counted = []
        duplicates = []
        for number, record in billed.items():
            if counted_nearby.contains(record.identity, record.at_ms):
                duplicates.append(number)
                continue
            counted.append(number)
            counted_nearby.add(record.identity, record.at_ms)
            self._count(record)
        not_billed = encode_ranges(waived + duplicates)
        self.append(Resolution(now_ms, encode_ranges(counted), not_billed, reason, author))
        self.changes.resolved += [*billed, *waived]
        return len(counted)


def correction_key(correction: Correction) -> TotalsKey:
    """Returns the key of the totals that a correction changes."""
    is_late = correction.service_period != correction.period
    return TotalsKey(
        correction.period,
        correction.service_period if is_late else "",
        correction.tenant_number,
        correction.method_number,
    )
