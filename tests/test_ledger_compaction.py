"""Tests of what reads a compacted ledger: the export, for every cursor of a receiver, and merging."""

import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from landingshift.ledger import export_records, peer_exchange
from landingshift.ledger.audit import audit_store
from landingshift.ledger.compaction import compact_store
from landingshift.ledger.entries import GENESIS_HASH, EntryKind, counted_ranges, decode
from landingshift.ledger.errors import EntriesCompactedError, MissingEntryError
from landingshift.ledger.export_cursor import Stop
from landingshift.ledger.export_pb2 import Record
from landingshift.ledger.export_records import ExportReader
from landingshift.ledger.exporter import Exporter
from landingshift.ledger.merge_rules import MergeResult
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.peer_exchange import PeerClient
from landingshift.ledger.reconciliation import merge_file, merge_peer
from landingshift.ledger.repair import reindex, restore_missing_entries
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import UsageBatch
from landingshift.testbed import MEMORY
from landingshift.testbed.processes.export_receiver import AppliedBatch, FaultyReceiver, ReceiverState
from tests.ledger_fixtures import usage

DAY_MS = 86_400_000
DAYS = ("1970-01-01", "1970-01-02", "1970-01-03")
Cursor = tuple[int, bytes]


class CompactionTestCase(unittest.TestCase):
    """A ledger of three days. On each, uses are counted, repeated, disputed, billed and waived."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.store = self.open_store("n1")

    def new_store(self, name: str = "n1") -> UsageStore:
        return UsageStore(f"{self.directory}/{name}", "n1", "UTC", "day", 1000, 1000)

    def open_store(self, name: str) -> UsageStore:
        store = self.new_store(name)
        self.addCleanup(store.close)
        return store

    def copy_store(self, name: str) -> UsageStore:
        """Returns a copy of the store, as an operator makes one with `ledger backup`."""
        Path(self.directory, name).mkdir()
        self.store.backup(f"{self.directory}/{name}/ledger.sqlite")
        return self.open_store(name)

    def run_day(self, day: int, leaves_disputed: bool = False) -> None:
        at_ms = day * DAY_MS + DAY_MS // 2
        self.store.start_run(b"first %d" % day, at_ms)
        identities = [b"%d use %08d" % (day, number) for number in range(5)]
        usages = [usage(number + 1, at_ms, identity) for number, identity in enumerate(identities)]
        usages.append(usage(6, at_ms + 1, identities[0]))
        with self.store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, usages, [1, 2], [], []), at_ms)
            ledger.apply_batch(UsageBatch(2, [], [3, 6], [], []), at_ms)
        self.store.start_run(b"second %d" % day, at_ms + 10)
        if not leaves_disputed:
            with self.store.ledger_transaction() as ledger:
                (first, record), (second, _) = self.store.disputed()[-2:]
                nearby = self.store.counted_near([record])
                ledger.resolve_disputes({first: record}, [second], nearby, "in the log", "me", at_ms)
        with self.store.ledger_transaction() as ledger:
            ledger.close_period(DAYS[day], 9 * DAY_MS, DAYS[day], self.store.period_totals(DAYS[day]))

    def compact(self, day: int) -> None:
        self.assertGreater(compact_store(self.store, DAYS[day], 9 * DAY_MS, None), 0)
        self.assertEqual(audit_store(self.store), [])

    def cursors(self, store: UsageStore) -> list[Cursor]:
        return [(0, GENESIS_HASH), *((row.number, row.hash) for row in store.rows())]

    def export(
        self, store: UsageStore, state: ReceiverState, skips_compacted: bool = False
    ) -> tuple[Stop | None, list[str]]:
        """Exports a store and returns why the export stopped, and the names of the logged events."""
        events: list[str] = []
        exporter = Exporter(
            store,
            FaultyReceiver(state, Random(1), fault_probability=0.0),
            Random(1),
            lambda event, **_: events.append(event),
            lambda _: None,
            skips_compacted,
        )
        return exporter.run(), events

    def receiver_at(self, cursor: Cursor) -> ReceiverState:
        state = ReceiverState()
        state.history = [AppliedBatch(*cursor, 0)]
        return state

    def records_after(self, store: UsageStore, cursor: Cursor) -> list[Record]:
        state = self.receiver_at(cursor)
        stop, _ = self.export(store, state)
        self.assertIsNone(stop)
        return state.records


class ExportAfterCompactionTest(CompactionTestCase):
    # Guards against this fault: an export skipped what a compaction had removed and ended well.

    def test_every_cursor_gets_all_records_or_the_export_stops_and_changes_nothing(self) -> None:
        for day in (0, 1):
            self.run_day(day)
        self.compact(0)
        self.run_day(2)
        backup = self.copy_store("backup")  # lacks what the first compaction removed
        cursors = self.cursors(backup)
        self.compact(1)
        served = []
        for cursor in cursors:
            with self.subTest(cursor=cursor[0]):
                state = self.receiver_at(cursor)
                stop, _ = self.export(self.store, state)
                if stop is None:
                    served.append(cursor[0])
                    self.assertEqual(state.records, self.records_after(backup, cursor))
                else:
                    self.assertEqual((state.records, len(state.history)), ([], 1))
                    self.assertIn("restore the receiver from a newer copy", stop.reason)
        self.assertEqual(served, self.sound_cursors(backup))

    def sound_cursors(self, backup: UsageStore) -> list[int]:
        """Returns the cursors after which the store still has each entry and all usage that these count."""
        compaction = self.store.newest_compaction()
        assert compaction is not None
        left = {row.number for row in self.store.rows()}
        sound = []
        needed: set[int] = set()
        for row in reversed(list(backup.rows())):
            if needed <= left and row.number in left | {compaction.last_number}:
                sound.append(row.number)
            needed.add(row.number)
            needed.update(decode_ranges(counted_ranges(decode(row.kind, row.data))))
        return sorted(sound)

    def test_every_cursor_is_served_where_nothing_was_compacted(self) -> None:
        for day in range(3):
            self.run_day(day)
        everything = self.records_after(self.store, (0, GENESIS_HASH))
        self.assertEqual(sum(record.kind == Record.USE for record in everything), 12)
        for cursor in self.cursors(self.store):
            with self.subTest(cursor=cursor[0]):
                records = self.records_after(self.store, cursor)
                self.assertEqual(records, everything[len(everything) - len(records) :])

    def test_a_cursor_between_a_dispute_and_its_resolution_stops_if_the_use_was_compacted(self) -> None:
        self.run_day(0)
        opened = [row for row in self.store.rows() if row.kind == EntryKind.OPENED][-1]
        self.run_day(1)
        self.compact(0)
        stop, _ = self.export(self.store, self.receiver_at((opened.number, opened.hash)))
        assert stop is not None
        self.assertIn("--skip-compacted", stop.reason)

    def test_export_of_a_backup_and_then_of_the_ledger_delivers_each_record_once(self) -> None:
        self.run_day(0)
        state = ReceiverState()
        self.export(self.store, state)
        copy = state.history[-1], list(state.records)
        self.run_day(1)
        everything = self.records_after(self.store, (0, GENESIS_HASH))
        backup = self.copy_store("backup")
        self.compact(1)
        self.run_day(2)
        restored = self.receiver_at((copy[0].cursor, copy[0].hash))
        restored.records = copy[1]
        self.assertIsNotNone(self.export(self.store, restored)[0])
        self.assertIsNone(self.export(backup, restored)[0])
        self.assertEqual(restored.records, everything)
        self.assertIsNone(self.export(self.store, restored)[0])
        self.assertEqual(sum(record.kind == Record.USE for record in restored.records), 12)

    def test_a_compaction_between_two_batches_ends_the_export(self) -> None:
        self.run_day(0)
        self.run_day(1)
        reader = ExportReader(self.store)
        with mock.patch.object(export_records, "MAX_BATCH_ENTRY_COUNT", 3):
            batch = reader.next_batch(0)
            assert batch is not None
            self.compact(0)
            self.assertRaises(EntriesCompactedError, reader.next_batch, batch.to)

    def test_skipping_is_logged_and_delivers_what_is_left(self) -> None:
        self.run_day(0)
        self.run_day(1)
        self.compact(0)
        state = ReceiverState()
        stop, events = self.export(self.store, state, skips_compacted=True)
        self.assertIsNone(stop)
        self.assertEqual(events, ["export_skipped"])
        self.assertEqual(sum(record.kind == Record.USE for record in state.records), 4)


class RetriesAfterCompactionTest(CompactionTestCase):
    # Guards against this fault: compaction removed the counted uses that show what is a retry.

    def report(self, batch_number: int, at_ms: int, identity: bytes, is_delivered: bool = True) -> None:
        with self.store.ledger_transaction() as ledger:
            batch = UsageBatch(batch_number, [usage(batch_number, at_ms, identity)], [], [], [])
            if is_delivered:
                batch.delivered.append(batch_number)
            ledger.apply_batch(batch, at_ms)

    def close_and_compact(self, day: int) -> int:
        with self.store.ledger_transaction() as ledger:
            ledger.close_period(DAYS[day], 9 * DAY_MS, DAYS[day], self.store.period_totals(DAYS[day]))
        return compact_store(self.open_store("n1"), DAYS[day], 9 * DAY_MS, None)

    def bill_disputed(self) -> int:
        with self.store.ledger_transaction() as ledger:
            disputed = dict(self.store.disputed())
            nearby = self.store.counted_near(disputed.values())
            return ledger.resolve_disputes(disputed, [], nearby, "in the log", "me", 0)

    def require_uses(self, count: int) -> None:
        self.assertEqual(sum(period.totals.uses for period in self.store.periods()), count)
        self.assertEqual(audit_store(self.store), [])
        reindex(self.store)
        self.assertEqual(sum(period.totals.uses for period in self.store.periods()), count)

    def test_disputed_use_is_a_duplicate_of_its_retry_that_was_counted_and_compacted(self) -> None:
        for dispute_ms, retry_ms in [(100, 400), (DAY_MS + 100, DAY_MS - 100)]:  # within a day, and across
            with self.subTest(dispute_ms=dispute_ms):
                self.setUp()
                self.store.start_run(b"1", 0)
                self.report(1, 5, b"b" * 16)
                self.report(2, min(dispute_ms, retry_ms), b"a" * 16, is_delivered=retry_ms < dispute_ms)
                self.report(3, max(dispute_ms, retry_ms), b"a" * 16, is_delivered=retry_ms > dispute_ms)
                self.store.start_run(b"2", DAY_MS + 200)
                self.report(1, 2 * DAY_MS, b"c" * 16)
                self.assertEqual(self.close_and_compact(0), 1)  # the use of b
                self.assertEqual(self.bill_disputed(), 0)
                self.require_uses(3)

    def test_retry_after_midnight_is_a_duplicate_of_a_use_whose_period_was_compacted_at_once(self) -> None:
        for is_billed_by_resolution in (False, True):
            with self.subTest(is_billed_by_resolution=is_billed_by_resolution):
                self.setUp()
                self.store.start_run(b"1", 0)
                self.report(1, 5, b"b" * 16)
                self.report(2, DAY_MS - 100, b"a" * 16, is_delivered=not is_billed_by_resolution)
                self.store.start_run(b"2", DAY_MS - 50)
                self.assertEqual(self.bill_disputed(), int(is_billed_by_resolution))
                self.assertEqual(self.close_and_compact(0), 1)
                self.report(1, DAY_MS + 700, b"a" * 16)
                self.require_uses(2)
                self.report(2, DAY_MS + 900, b"a" * 16)  # a window after the first: another use
                self.require_uses(3)

    def test_what_is_kept_for_retries_leaves_with_a_later_compaction(self) -> None:
        self.run_day(0, leaves_disputed=True)
        self.run_day(1)
        self.compact(0)
        self.assertEqual(self.kept_kinds().count(EntryKind.USAGE), 2)  # the disputed ones
        self.bill_disputed()
        self.run_day(2)
        self.report(1, 5 * DAY_MS, b"a" * 16)
        self.compact(2)
        self.assertFalse({EntryKind.USAGE, EntryKind.SETTLEMENT} & set(self.kept_kinds()))

    def kept_kinds(self) -> list[int]:
        """Returns the kinds of the entries that are left in the compacted part."""
        compaction = self.store.newest_compaction()
        assert compaction is not None
        return [row.kind for row in self.store.rows(1, compaction.last_number)]


class MergeAfterCompactionTest(CompactionTestCase):
    # Guards against this fault: a merge over the network ended well where compacted entries were missing.

    def test_merging_a_peer_whose_compacted_entries_were_never_merged_is_reported(self) -> None:
        for is_merged_before in (True, False):
            with self.subTest(is_merged_before=is_merged_before):
                self.setUp()
                merged = MergedStore(f"{self.directory}/merged.sqlite", "UTC", "day", 1000)
                self.addCleanup(merged.close)
                self.run_day(0)
                if is_merged_before:
                    self.merge(merged)
                self.compact(0)
                self.run_day(1)
                if is_merged_before:
                    self.assertEqual(self.merge(merged).missing_entry_count, 0)
                    self.assertEqual(merged.head_number("n1"), self.store.newest_number())
                else:
                    self.assertRaisesRegex(MissingEntryError, "is missing before", self.merge, merged)

    def merge(self, merged: MergedStore) -> MergeResult:
        """Merges the store over loopback, with replies of few entries."""
        with mock.patch.object(peer_exchange, "MAX_REPLY_ENTRIES", 2):
            server, port = peer_exchange.serve(self.new_store, "127.0.0.1:0")
            try:
                with PeerClient(f"127.0.0.1:{port}", 10_000.0) as peer:
                    return merge_peer(merged, peer)
            finally:
                server.stop(None).wait()


class CatchUpTest(CompactionTestCase):
    """A store that was restored from an old copy gets the entries back that it lacks."""

    def setUp(self) -> None:
        super().setUp()
        self.merged = MergedStore(f"{self.directory}/merged.sqlite", "UTC", "day", 1000)
        self.addCleanup(self.merged.close)

    def merge(self, store: UsageStore) -> None:
        merge_file(self.merged, store.path)

    def require_restored(self, copy: UsageStore, original: UsageStore) -> None:
        """Restores what a copy lacks; requires that it then has the original's entries and totals."""
        restore_missing_entries(copy, self.merged)
        self.assertEqual(copy.all_totals(), original.all_totals())
        self.assertEqual(audit_store(copy), [])
        numbers = [row.number for row in copy.rows(copy.newest_compaction_number() + 1)]
        self.assertEqual(numbers[-1], original.newest_number())
        rows = {row.number: row for row in copy.rows()}
        self.assertEqual([rows[row.number] for row in original.rows()], list(original.rows()))

    # Guards against this fault: the totals of periods that were compacted after the copy were lost.

    def test_compactions_after_the_copy_lose_no_totals(self) -> None:
        for is_copy_compacted in (False, True):
            with self.subTest(is_copy_compacted=is_copy_compacted):
                self.setUp()
                for day in range(3):
                    self.run_day(day)
                self.merge(self.store)
                if is_copy_compacted:
                    self.compact(0)
                    self.merge(self.store)
                copy = self.copy_store("copy")
                self.compact(1)
                self.store.start_run(b"later", 9 * DAY_MS)
                self.merge(self.store)
                self.require_restored(copy, self.store)
                reindex(copy)
                self.assertEqual(copy.all_totals(), self.store.all_totals())
                self.assertIsNone(self.export(copy, self.receiver_at(self.cursors(copy)[-3]))[0])
                # A later compaction removes the entries from the copy as well.
                compact_store(copy, DAYS[1], 9 * DAY_MS, None)
                self.assertEqual(copy.all_totals(), self.store.all_totals())
                self.assertEqual(audit_store(copy), [])

    # Guards against this fault: of an instance with two branches, entries before the second one were lost.

    def test_entries_of_the_parent_branch_come_back(self) -> None:
        self.run_day(0)
        oldest = self.copy_store("oldest")
        self.run_day(1)
        second = self.copy_store("second")
        self.store.start_run(b"first branch", 9 * DAY_MS)
        self.merge(self.store)
        second.start_run(b"second branch", 9 * DAY_MS)
        self.merge(second)
        self.require_restored(oldest, second)


if __name__ == "__main__":
    unittest.main()
