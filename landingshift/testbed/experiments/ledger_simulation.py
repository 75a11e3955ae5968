"""Simulation of an instance's ledger in virtual time, with an independent count of what it has to bill."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from landingshift import failpoints
from landingshift.ledger import audit
from landingshift.ledger.entries import IDENTITY_BYTES
from landingshift.ledger.export_cursor import Stop
from landingshift.ledger.exporter import Exporter
from landingshift.ledger.periods import PeriodUnit
from landingshift.ledger.receiver_client import Receiver
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.ledger.usage_ledger import CorrectionRequest
from landingshift.ledger.usage_queue import DeliveryOutcome, UsageQueue
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.export_receiver import BilledTotals, RecordKey

TIME_ZONE = "Europe/Copenhagen"
PERIOD_UNIT: PeriodUnit = "day"
DEDUP_WINDOW_MS = 60_000
START_MS = 1_774_738_800_000
"""Local midnight a day before daylight saving time begins in March 2026."""
DAY_MS = 86_400_000
QUEUE_LIMIT_BYTES = 1 << 20
MAX_IDENTITY_COUNT = 100_000
MAX_REPORTED_FINDING_COUNT = 2
COMMIT_FAILPOINTS = (
    "ledger.append",
    "ledger.appended",
    "ledger.indexed",
    "ledger.commit",
    "ledger.committed",
)
EXPORT_FAILPOINTS = ("ledger.export", "ledger.export_heard", "ledger.exported")

# Random traffic; the probabilities apply to each reported usage.
CLOCK_STEPS_MS = (50, 5_000, 40_000, 3_600_000)
BACKWARD_CLOCK_STEPS_MS = (3_000, 7_200_000)
BACKWARD_STEP_PROBABILITY = 0.05
RETRY_PROBABILITY = 0.25
RETRIED_ATTEMPT_COUNT = 4  # a retry repeats one of this many latest attempts
OUTCOME_PROBABILITY = 0.6
OUTCOME_WEIGHTS = {
    DeliveryOutcome.DELIVERED: 17,
    DeliveryOutcome.UNDELIVERED: 2,
    DeliveryOutcome.DISPUTED: 1,
}
COMMIT_PROBABILITY = 0.2
CRASH_PROBABILITY = 0.4  # applies to each commit
CLOSE_PROBABILITY = 0.05
CORRECTION_PROBABILITY = 0.03
EXPORTER_CRASH_PROBABILITY = 0.3

BilledByKey = dict[RecordKey, BilledTotals]


@dataclass(frozen=True, slots=True)
class LedgerCase:
    """Inputs of a run of a case.

    Attributes:
        rng: Generator for all random draws.
        directory: Directory that only this run uses.
        row: Row that records measured values and violations.
        receiver_checks_cursor: Whether the receiver rejects batches that don't follow its cursor. False
            disables this defence.
    """

    rng: Random
    directory: str
    row: ExperimentRow
    receiver_checks_cursor: bool = True


def billed_totals(store: UsageStore) -> BilledByKey:
    """Returns the totals of all periods that a store bills."""
    return {
        RecordKey(period.name, entry.service_period, entry.tenant, entry.method): BilledTotals(
            entry.totals.uses, entry.totals.work_us
        )
        for period in store.periods()
        for entry in store.tenant_totals(period.name)
    }


def remove_store_files(directory: str, names: tuple[str, ...]) -> None:
    """Removes the named files from a directory; missing files are ignored."""
    for name in names:
        path = os.path.join(directory, name)
        if os.path.exists(path):
            os.unlink(path)


@dataclass(slots=True)
class ExpectedBilling:
    """The totals that the ledger has to bill, counted without the ledger's code.

    Attributes:
        totals: Expected totals.
        counted_times_ms: Times of the attempts that count, by identity.
    """

    totals: BilledByKey = field(default_factory=dict)
    counted_times_ms: dict[bytes, list[int]] = field(default_factory=dict)

    def is_retry(self, usage: ReportedUsage) -> bool:
        """Returns whether an attempt of the same identity counts within the deduplication window.

        If not, the usage itself counts and is recorded.
        """
        times_ms = self.counted_times_ms.setdefault(usage.identity, [])
        if any(abs(usage.at_ms - time_ms) < DEDUP_WINDOW_MS for time_ms in times_ms):
            return True
        times_ms.append(usage.at_ms)
        return False

    def add(self, key: RecordKey, uses: int, work_us: int) -> None:
        """Adds uses and work to the expected totals of a key.

        As in the ledger, the service period is "" where it equals the billing period.
        """
        if key.service_period == key.period:
            key = key._replace(service_period="")
        before = self.totals.get(key, BilledTotals(0, 0))
        self.totals[key] = BilledTotals(before.uses + uses, before.work_us + work_us)


class LedgerSimulation:
    """A ledger store, the usage queue of its server, and the expected totals.

    Attributes:
        rng: Generator for all random draws.
        directory: Directory of the store.
        instance: Name of the instance that the ledger belongs to.
        now_ms: Wall clock of the server.
        queue: Usage that the server has yet to send to the store.
        run_id: Id of the server process.
        store: The open store.
        closed_end_ms: End of the last closed period; 0 if none is closed.
        expected: Independent count of the totals to bill.
        crash_count: Number of crashes of the store's process and of the exporter.
    """

    def __init__(self, rng: Random, directory: str, instance: str = "n1") -> None:
        self.rng = rng
        self.directory = directory
        self.instance = instance
        os.makedirs(directory, exist_ok=True)
        self.now_ms = START_MS
        self.queue = UsageQueue(QUEUE_LIMIT_BYTES)
        self.run_id = rng.randbytes(8)
        self.store = self.open_store()
        self.store.start_run(self.run_id, self.now_ms)
        self.closed_end_ms = 0
        self.expected = ExpectedBilling()
        self.crash_count = 0
        self._unsettled: dict[int, ReportedUsage] = {}

    def open_store(self) -> UsageStore:
        """Opens and returns the store."""
        return UsageStore(
            self.directory, self.instance, TIME_ZONE, PERIOD_UNIT, DEDUP_WINDOW_MS, MAX_IDENTITY_COUNT
        )

    def restart_server(self) -> None:
        """Simulates a new server process, with an empty queue, that opens the store on disk."""
        self.store = self.open_store()
        self.queue = UsageQueue(QUEUE_LIMIT_BYTES)
        self.run_id = self.rng.randbytes(8)

    # Usage

    def report_usage(
        self, identity: bytes, at_ms: int | None = None, tenant: bytes = b"t", method: bytes = b"m"
    ) -> int:
        """Queues the usage of an RPC that was answered ok, and returns its sequence number.

        Args:
            identity: Identity of the attempt.
            at_ms: Time of the usage; None for now.
            tenant: Tenant that is billed.
            method: Method that is billed.
        """
        work_us = self.rng.randrange(1, 400_000)
        time_ms = self.now_ms if at_ms is None else at_ms
        usage = ReportedUsage(0, time_ms, tenant, method, work_us, 100, 900, identity)
        assert self.queue.add(usage)
        self._unsettled[usage.sequence] = usage
        return usage.sequence

    def report_delivered(
        self, identity: bytes, at_ms: int | None = None, tenant: bytes = b"t", method: bytes = b"m"
    ) -> None:
        """Queues the usage of an RPC whose answer was delivered; arguments as in `report_usage`."""
        sequence = self.report_usage(identity, at_ms, tenant, method)
        self.queue.add_outcome(DeliveryOutcome.DELIVERED, sequence)

    def commit(self) -> None:
        """Commits all queued usage. If an armed failpoint crashes the store's process, retries the batch."""
        while (batch := self.queue.next_batch(1)) is not None:
            while not self._try_commit(batch):
                self.crash()
            self._on_committed(batch)

    def commit_again(self) -> None:
        """Commits the oldest batch whose commit failed."""
        batch = self.queue.unacknowledged_batches()[0]
        with self.store.ledger_transaction() as ledger:
            ledger.apply_batch(batch, self.now_ms)
        self._on_committed(batch)

    def crash(self) -> None:
        """Simulates a crash and a restart of the store's process."""
        self.crash_count += 1
        failpoints.arm("")
        self.store.close()
        self.store = self.open_store()
        self.store.start_run(self.run_id, self.now_ms)

    def _try_commit(self, batch: UsageBatch) -> bool:
        try:
            with self.store.ledger_transaction() as ledger:
                ledger.apply_batch(batch, self.now_ms)
        except failpoints.SimulatedCrashError:
            return False
        return True

    def _on_committed(self, batch: UsageBatch) -> None:
        for sequence in batch.delivered:
            self._expect(self._unsettled.pop(sequence))
        self.queue.acknowledge(batch.number)

    def _expect(self, usage: ReportedUsage) -> None:
        if self.expected.is_retry(usage):
            return
        calendar = self.store.calendar
        service_period = calendar.period_at(usage.at_ms).name
        is_open = usage.at_ms >= self.closed_end_ms
        period = service_period if is_open else calendar.period_at(self.closed_end_ms).name
        key = RecordKey(period, service_period, usage.tenant, usage.method)
        self.expected.add(key, 1, usage.work_us)

    # Traffic

    def run_traffic(self, usage_count: int) -> None:
        """Reports `usage_count` random uses, with retries, clock steps, late outcomes and crashes at commits.

        Ended periods are closed and corrections entered at random. All usage is committed at the end.
        """
        attempts = [bytes(IDENTITY_BYTES)]
        in_transit: list[int] = []
        for _ in range(usage_count):
            self._step_clock()
            attempts.append(self._draw_attempt(attempts))
            tenant = b"club %d" % self.rng.randrange(3)
            method = self.rng.choice((b"m", b"\xff\0"))
            in_transit.append(self.report_usage(attempts[-1], None, tenant, method))
            while in_transit and self.rng.random() < OUTCOME_PROBABILITY:
                self._add_random_outcome(in_transit)
            if self.rng.random() < COMMIT_PROBABILITY:
                self._commit_with_random_crash()
            if self.rng.random() < CLOSE_PROBABILITY:
                self.commit()
                self.close_ended_period()
            if self.rng.random() < CORRECTION_PROBABILITY:
                self.enter_correction()
        for sequence in in_transit:
            self.queue.add_outcome(DeliveryOutcome.DELIVERED, sequence)
        self.commit()

    def _step_clock(self) -> None:
        self.now_ms += self.rng.choice(CLOCK_STEPS_MS)
        if self.rng.random() < BACKWARD_STEP_PROBABILITY:
            self.now_ms -= self.rng.choice(BACKWARD_CLOCK_STEPS_MS)

    def _draw_attempt(self, attempts: list[bytes]) -> bytes:
        if self.rng.random() < RETRY_PROBABILITY:
            return self.rng.choice(attempts[-RETRIED_ATTEMPT_COUNT:])
        return self.rng.randbytes(IDENTITY_BYTES)

    def _add_random_outcome(self, in_transit: list[int]) -> None:
        sequence = in_transit.pop(self.rng.randrange(len(in_transit)))
        outcome = self.rng.choices(tuple(OUTCOME_WEIGHTS), tuple(OUTCOME_WEIGHTS.values()))[0]
        self.queue.add_outcome(outcome, sequence)

    def _commit_with_random_crash(self) -> None:
        if self.rng.random() < CRASH_PROBABILITY:
            failpoints.arm(self.rng.choice(COMMIT_FAILPOINTS), self.rng.randrange(1, 3))
        self.commit()
        failpoints.arm("")

    # Operator commands

    def close_ended_period(self) -> None:
        """Closes the first open period if it has ended."""
        name = self.store.first_open_period()
        if name is None:
            return
        period = self.store.calendar.period_named(name)
        if period.end_ms <= self.now_ms:
            with self.store.ledger_transaction() as ledger:
                ledger.close_period(name, self.now_ms, name, self.store.period_totals(name))
            self.closed_end_ms = period.end_ms

    def enter_correction(self) -> None:
        """Enters a correction that credits one use of today or yesterday."""
        corrected_ms = self.now_ms - self.rng.randrange(2) * DAY_MS
        service_period = self.store.calendar.period_at(corrected_ms).name
        request = CorrectionRequest(
            b"club 1", b"m", service_period, -1, -500, "-0.10", reason="credit", author="lab"
        )
        with self.store.ledger_transaction() as ledger:
            entry = ledger.correct(request, self.now_ms)
        self.expected.add(RecordKey(entry.period, service_period, b"club 1", b"m"), -1, -500)

    # Checks and export

    def check(self, row: ExperimentRow) -> None:
        """Requires that the store bills the expected totals and passes its audit."""
        totals = billed_totals(self.store)
        row.require(totals == self.expected.totals, "the totals differ from the independent count")
        for finding in audit.audit_store(self.store)[:MAX_REPORTED_FINDING_COUNT]:
            row.violations.append(f"audit: entry {finding.entry_number}: {finding.problem}")

    def export(self, receiver: Receiver, with_crashes: bool = False) -> Stop | None:
        """Exports all records to the receiver, restarting the exporter if it crashes.

        Args:
            receiver: Receiver of the records.
            with_crashes: Whether the exporter crashes at random failpoints.

        Returns:
            The reason for which the exporter stopped early; None if it exported all records.
        """
        while True:
            if with_crashes and self.rng.random() < EXPORTER_CRASH_PROBABILITY:
                failpoints.arm(self.rng.choice(EXPORT_FAILPOINTS), self.rng.randrange(1, 4))
            exporter = Exporter(self.store, receiver, self.rng, _no_log, sleep=_no_sleep)
            try:
                return exporter.run()
            except failpoints.SimulatedCrashError:
                self.crash_count += 1
            finally:
                failpoints.arm("")


def _no_log(_event: str, **_fields: object) -> None:
    """Discards a log entry."""


def _no_sleep(_seconds: float) -> None:
    """Returns at once, because virtual time does not wait."""


CaseFunction = Callable[[LedgerCase], None]
"""Runs a case once and adds measured values and violations to its row."""
