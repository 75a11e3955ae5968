"""Random histories of a ledger: an independent count and a merged ledger must agree with what it bills.

The merged ledger compares all uses of an identity, so it finds each use that the ledger billed twice.
LEDGER_HISTORIES sets the number of histories, LEDGER_HISTORIES_SEED the first seed.
"""

import os
import shutil
import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path
from random import Random
from unittest import mock

from landingshift.ledger import recovery
from landingshift.ledger.audit import audit_store
from landingshift.ledger.compaction import compact_store
from landingshift.ledger.entries import UsageRecord
from landingshift.ledger.export_pb2 import Record
from landingshift.ledger.exporter import Exporter
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.reconciliation import merge_file
from landingshift.ledger.repair import reindex, restore_missing_entries
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import UsageBatch
from landingshift.testbed import MEMORY
from landingshift.testbed.processes.export_receiver import FaultyReceiver, ReceiverState
from tests.ledger_fixtures import usage

HISTORY_COUNT = int(os.environ.get("LEDGER_HISTORIES", "40"))
FIRST_SEED = int(os.environ.get("LEDGER_HISTORIES_SEED", "1"))
STEP_COUNT = 90
WINDOW_MS = 1000
DAY_MS = 86_400_000
MIDNIGHT_DISTANCE_MS = 400
RETRY_PROBABILITY = 0.5
RETRIED_ATTEMPT_COUNT = 4


class ExpectedUses:
    """The independent count: an attempt counts unless it counted less than a window before or after."""

    def __init__(self) -> None:
        self.times_by_identity: dict[bytes, list[int]] = {}
        self.count = 0

    def add(self, identity: bytes, at_ms: int) -> None:
        times = self.times_by_identity.setdefault(identity, [])
        if all(abs(at_ms - time_ms) >= WINDOW_MS for time_ms in times):
            times.append(at_ms)
            self.count += 1


class History:
    """A server's store, the operator's commands on it, a receiver and a merged ledger."""

    def __init__(self, rng: Random, directory: str) -> None:
        self.rng = rng
        self.directory = directory
        self.path = Path(directory, "ledger.sqlite")
        self.backup_path = Path(directory, "backup.sqlite")
        self.now_ms = 10 * DAY_MS - rng.randrange(5000)
        self.expected = ExpectedUses()
        self.identities = [rng.randbytes(16)]
        self.pending: dict[int, tuple[bytes, int]] = {}
        self.batch_number = 0
        self.sequence = 0
        self.run_id = b""
        self.server = self.open_store()
        self.merged = MergedStore(f"{directory}/merged.sqlite", "UTC", "day", WINDOW_MS)
        self.receiver_state = ReceiverState()
        self.is_compacted = False
        self.start_run()

    def open_store(self) -> UsageStore:
        return UsageStore(self.directory, "n1", "UTC", "day", WINDOW_MS, 1000)

    def close(self) -> None:
        self.server.close()
        self.merged.close()

    def step(self) -> None:
        self.advance_clock()
        self.report_uses()
        command = self.rng.choice(
            [
                self.settle,
                self.settle,
                self.kill,
                self.restart_store_process,
                self.resolve,
                self.resolve,
                self.close_periods,
                self.merge,
                self.compact,
                self.export,
                self.export_to_restored_receiver,
                self.reindex,
                self.back_up,
                self.restore_backup_and_catch_up,
            ]
        )
        command()

    def advance_clock(self) -> None:
        to_midnight_ms = DAY_MS - self.now_ms % DAY_MS
        steps_ms = [1, 1, 50, 50, 300, 700, 1500]
        if self.rng.random() < 0.1:
            steps_ms = [max(1, to_midnight_ms - self.rng.randrange(MIDNIGHT_DISTANCE_MS))]
        self.now_ms += self.rng.choice(steps_ms)

    # The server

    def start_run(self) -> None:
        self.run_id = self.rng.randbytes(8)
        self.pending.clear()
        self.batch_number = self.sequence = 0
        self.server.start_run(self.run_id, self.now_ms)

    def apply_batch(
        self,
        usages: list[tuple[bytes, int]],
        delivered: tuple[int, ...] = (),
        undelivered: tuple[int, ...] = (),
        disputed: tuple[int, ...] = (),
    ) -> None:
        self.batch_number += 1
        reported = []
        for identity, at_ms in usages:
            self.sequence += 1
            self.pending[self.sequence] = (identity, at_ms)
            reported.append(usage(self.sequence, at_ms, identity))
        batch = UsageBatch(self.batch_number, reported, list(delivered), list(undelivered), list(disputed))
        with self.server.ledger_transaction() as ledger:
            ledger.apply_batch(batch, self.now_ms)
        for sequence in delivered:
            self.expected.add(*self.pending.pop(sequence))
        for sequence in (*undelivered, *disputed):
            del self.pending[sequence]

    def report_uses(self) -> None:
        usages = []
        for _ in range(self.rng.randrange(3)):
            if self.rng.random() < RETRY_PROBABILITY:
                identity = self.rng.choice(self.identities[-RETRIED_ATTEMPT_COUNT:])
            else:
                identity = self.rng.randbytes(16)
                self.identities.append(identity)
            usages.append((identity, self.now_ms))
        self.apply_batch(usages)

    def settle(self) -> None:
        outcomes: tuple[list[int], ...] = ([], [], [])
        for sequence in list(self.pending):
            if self.rng.random() < 0.7:
                self.rng.choices(outcomes, (8, 1, 2))[0].append(sequence)
        delivered, undelivered, disputed = map(tuple, outcomes)
        self.apply_batch([], delivered, undelivered, disputed)

    def kill(self) -> None:
        self.restart_store_process()
        self.start_run()

    def restart_store_process(self) -> None:
        self.server.close()
        self.server = self.open_store()
        self.server.start_run(self.run_id, self.now_ms)

    # Commands, each in a process of its own

    def resolve(self) -> None:
        with self.open_store() as store, store.ledger_transaction() as ledger:
            billed: dict[int, UsageRecord] = {}
            waived = []
            for number, record in store.disputed():
                draw = self.rng.random()
                if draw < 0.4:
                    billed[number] = record
                elif draw < 0.6:
                    waived.append(number)
            nearby = store.counted_near(billed.values())
            ledger.resolve_disputes(billed, waived, nearby, "in the log", "operator", self.now_ms)
        for record in billed.values():
            self.expected.add(record.identity, record.at_ms)

    def close_periods(self) -> None:
        with self.open_store() as store:
            while name := store.first_open_period():
                if store.calendar.period_named(name).end_ms > self.now_ms:
                    return
                with store.ledger_transaction() as ledger:
                    ledger.close_period(name, self.now_ms, name, store.period_totals(name))

    def merge(self) -> None:
        merge_file(self.merged, str(self.path))

    def compact(self) -> None:
        self.close_periods()
        self.export()
        self.merge()
        with self.open_store() as store:
            closed = [period.name for period in store.periods() if period.is_closed]
            if closed:
                name = self.rng.choice(closed)
                removed_count = compact_store(store, name, self.now_ms, store.exported_number())
                self.is_compacted |= removed_count > 0

    def reindex(self) -> None:
        with self.open_store() as store:
            reindex(store)

    def back_up(self) -> None:
        self.backup_path.unlink(missing_ok=True)
        with self.open_store() as store:
            store.backup(str(self.backup_path))

    def restore_backup_and_catch_up(self) -> None:
        """Replaces the store by its backup, restores the entries since from the merged ledger, and starts."""
        if not self.backup_path.exists():
            return
        self.merge()
        self.server.close()
        for name in ("ledger.sqlite", "ledger.sqlite-wal", "ledger.sqlite-shm"):
            Path(self.directory, name).unlink(missing_ok=True)
        self.backup_path.rename(self.path)
        self.server = self.open_store()
        restore_missing_entries(self.server, self.merged)
        self.start_run()

    def export(self) -> None:
        """Exports all entries; requires that nothing is missing at the receiver."""
        stop = self.run_export(self.receiver_state)
        if stop is not None:
            raise AssertionError(f"an export to the usual receiver stopped: {stop}")

    def export_to_restored_receiver(self) -> None:
        """Exports to a receiver that was restored from a copy: it gets all records, or the export stops."""
        self.export()
        newest = self.receiver_state
        restored = ReceiverState()
        restored.instance = newest.instance
        restored.history = newest.history[: self.rng.randrange(1, len(newest.history) + 1)]
        restored.records = newest.records[: restored.history[-1].record_count]
        stop = self.run_export(restored)
        if stop is None:
            assert restored.records == newest.records, "an export ended well and left out records"
            return
        assert self.is_compacted, "an export stopped where nothing was compacted"

    def run_export(self, state: ReceiverState) -> object:
        receiver = FaultyReceiver(state, Random(1), fault_probability=0.0)
        with self.open_store() as store:
            return Exporter(store, receiver, Random(1), lambda *_, **__: None, lambda _: None).run()


class LedgerHistoriesTest(unittest.TestCase):
    def test_no_history_bills_an_attempt_twice_or_forgets_one(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + HISTORY_COUNT):
            with self.subTest(seed=seed), ExitStack() as stack:
                directory = tempfile.mkdtemp(dir=MEMORY)
                stack.callback(shutil.rmtree, directory)
                # So that a recovery replays no more than the window, as in a long ledger.
                stack.enter_context(mock.patch.object(recovery, "FIRST_TAIL_ENTRIES", 1))
                history = History(Random(seed), directory)
                stack.callback(history.close)
                for _ in range(STEP_COUNT):
                    history.step()
                    billed = sum(period.totals.uses for period in history.server.periods())
                    self.assertEqual(billed, history.expected.count)
                self.check_at_the_end(history)

    def check_at_the_end(self, history: History) -> None:
        history.export()
        history.merge()
        records = [record for record in history.receiver_state.records if record.kind == Record.USE]
        self.assertEqual(len({record.id for record in records}), len(records))
        self.assertEqual(len(records), history.expected.count)
        merged = sum(entry.totals.uses for entry in history.merged.tenant_totals())
        self.assertEqual(merged, history.expected.count)
        self.assertEqual(audit_store(history.server), [])


if __name__ == "__main__":
    unittest.main()
