"""The accounting decisions: which entries a batch becomes, what counts, in which period. Pure.

Guarantee: usage counts once it is settled, which means that its answer is with the gateway's machine and no
usage of the same identity was counted within the deduplication window. Settled usage stays in the period of
its time while that is open; after its close it counts in the period then open and names the one it is from.
A closed period never changes. Failure mode: a commit that fails leaves a `UsageLedger` that is ahead of the
store; it is discarded and recovered from the store.
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
from landingshift.ledger.number_ranges import decode_ranges, encode_ranges
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.ledger.totals import Totals, TotalsKey, UsageTotals, period_digest


@dataclass(slots=True)
class CommitChanges:
    """What one commit writes. Nothing of it is true before it is durable."""

    entries: list[EntryRow] = field(default_factory=list)
    totals: Totals = field(default_factory=dict)
    """What is added to the totals."""
    disputed: list[int] = field(default_factory=list)
    """Numbers of usage entries that are disputed from now on."""
    resolved: list[int] = field(default_factory=list)
    """Numbers of usage entries that are disputed no longer."""
    period_closes: list[tuple[int, PeriodClose]] = field(default_factory=list)
    """With the numbers of their entries, as are the next two."""
    corrections: list[tuple[int, Correction]] = field(default_factory=list)
    names: list[tuple[int, NameEntry]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CorrectionRequest:
    """What an operator asks to correct."""

    tenant: bytes
    method: bytes
    service_period: str
    """Name of the period that the correction is about."""
    uses: int
    work_us: int
    amount: str
    """A decimal number in the plan's currency, or empty."""
    reason: str
    author: str


class PendingUsage(Struct, frozen=True):
    """Usage that is not settled yet."""

    entry_number: int
    record: UsageRecord


class UsageLedger:
    """State of one store between two commits.

    Attributes:
        calendar: The billing periods.
        dedup_window: Identities that were counted lately.
        name_numbers: Finds the entry of a tenant's (True, name) or a method's (False, name) name.
        last_number: Number of the newest entry.
        last_hash: Its hash.
        closed_end_ms: End of the last period that was closed.
        last_batch_number: The last batch of this run that was applied.
        pending: Usage that is not settled yet, by the server's sequence.
        changes: What the next commit writes.
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

    def take_changes(self) -> CommitChanges:
        """What the commit at hand writes; the next one starts from nothing."""
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
        """The first entry that a recovery has to read for pending usage."""
        numbers = (usage.entry_number for usage in self.pending.values())
        return min(numbers, default=self.last_number + 1)

    # What servers report

    def start_run(self, run_id: bytes, now_ms: int) -> int:
        """A server run begins: what an earlier one left pending may or may not have arrived.

        Returns:
            How many usage entries are disputed by that.
        """
        unsettled = [usage.entry_number for usage in self.pending.values()]
        self.pending.clear()
        self.last_batch_number = 0
        self.append(Opened(run_id, now_ms, encode_ranges(unsettled)))
        self.changes.disputed += unsettled
        return len(unsettled)

    def apply_batch(self, batch: UsageBatch, now_ms: int) -> None:
        """Appends what a batch reports; one that was applied before changes nothing.

        Raises:
            BatchOutOfOrderError: A batch before this one is missing.
            UnknownUsageError: An outcome is about usage that is not pending.
        """
        if batch.number <= self.last_batch_number:
            return  # sent again by a server that did not get the status: no usage counts twice
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
            pending = self._take_pending(sequence)
            number = pending.entry_number
            record = pending.record
            if self.dedup_window.contains(record.identity, record.at_ms):
                duplicates.append(number)
            else:
                counted.append(number)
                self._count(record)
        undelivered = [self._take_pending(sequence).entry_number for sequence in batch.undelivered]
        disputed = [self._take_pending(sequence).entry_number for sequence in batch.disputed]
        self.changes.disputed += disputed
        self.append(
            Settlement(
                encode_ranges(counted),
                encode_ranges(duplicates),
                encode_ranges(undelivered),
                encode_ranges(disputed),
            )
        )

    def _take_pending(self, sequence: int) -> PendingUsage:
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

    # What operators enter

    def close_period(self, name: str, now_ms: int, first_open: str | None, totals: Totals) -> bool:
        """Closes a period for good.

        Args:
            name: The period.
            now_ms: Unix time.
            first_open: The earliest open period with anything in it.
            totals: The period's totals, whose digest goes into the chain.

        Returns:
            False where it was closed before.

        Raises:
            InvalidPeriodError: The name names no period.
            PeriodNotEndedError: Nothing can be closed before its end.
            EarlierPeriodOpenError: Periods are closed in their order.
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
        """Enters a correction; it counts in the period it is about while that is open, else in the open one.

        Raises:
            InvalidPeriodError: The name names no period.
            EmptyCorrectionError: Neither uses, work nor an amount is stated.
            MissingReasonError: It has no reason.
            PeriodNotBegunError: It is about a period in the future.
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
        """Bills or waives disputed usage; what turns out to be a retry of counted usage is waived.

        Args:
            billed: Usage to bill, by the number of its entry.
            waived: Numbers of usage entries that are not billed.
            counted_nearby: What was counted about the time of each: the window for new usage is too young.
            reason: The operator's reason.
            author: Who decided.
            now_ms: Unix time.

        Returns:
            How many of `billed` count.

        Raises:
            MissingReasonError: There is no reason.
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

    # What the store holds already

    def replay(self, number: int, entry: Entry, entry_hash: bytes) -> None:
        """Takes in an entry that is durable; entries come in their order."""
        self.last_number = number
        self.last_hash = entry_hash
        match entry:
            case UsageRecord():
                self.pending[entry.sequence] = PendingUsage(number, entry)
            case Settlement():
                self._replay_settlement(entry)
            case Opened():
                self.pending.clear()
                self.last_batch_number = 0
            case PeriodClose():
                self.closed_end_ms = max(self.closed_end_ms, entry.end_ms)
            case NameEntry():
                self.name_numbers[entry.is_tenant, entry.name] = number

    def _replay_settlement(self, settlement: Settlement) -> None:
        pending_by_number = {usage.entry_number: usage.record for usage in self.pending.values()}
        for number in decode_ranges(settlement.counted):
            record = pending_by_number.get(number)
            if record is not None:
                del self.pending[record.sequence]
                self.dedup_window.add(record.identity, record.at_ms)
        for ranges in (settlement.duplicates, settlement.undelivered, settlement.disputed):
            for number in decode_ranges(ranges):
                record = pending_by_number.get(number)
                if record is not None:
                    del self.pending[record.sequence]


def correction_key(correction: Correction) -> TotalsKey:
    """Where a correction counts."""
    is_late = correction.service_period != correction.period
    return TotalsKey(
        correction.period,
        correction.service_period if is_late else "",
        correction.tenant_number,
        correction.method_number,
    )
