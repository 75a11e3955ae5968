"""Tests of the accounting rules, the deduplication window, the usage queue and the store."""

import tempfile
import unittest
from decimal import Decimal
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack

from landingshift.ledger.audit import audit_store
from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entry_history import describe_entry
from landingshift.ledger.errors import (
    CommandRejectedError,
    StoreUnavailableError,
)
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.statements import statement_to_csv, statement_to_json, statements
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import UsageBatch
from landingshift.ledger.totals import TotalsKey
from landingshift.ledger.usage_ledger import UsageLedger
from landingshift.ledger.usage_queue import MAX_BATCH_USAGE_COUNT, DeliveryOutcome, UsageQueue
from landingshift.testbed import MEMORY
from tests.ledger_fixtures import correction_request, price_plan, usage

HOUR_MS = 3_600_000
DAY_MS = 24 * HOUR_MS


class DedupWindowTest(unittest.TestCase):
    def test_the_bound_of_identities_shortens_the_window_and_is_counted(self) -> None:
        window = DedupWindow(1000, 10)
        for at_ms in range(20):
            window.add(b"%d" % at_ms, at_ms)
        self.assertLessEqual(len(window.current_generation) + len(window.previous_generation), 10)
        self.assertTrue(window.contains(b"19", 20))
        self.assertFalse(window.contains(b"0", 20))
        self.assertGreater(window.shortened_count, 0)

    def test_a_clock_stepping_forward_and_back_forgets_no_identity(self) -> None:
        window = DedupWindow(1000, 1000)
        for at_ms in (0, 5000, -9000, 20_000, 3000):
            window.add(b"a", at_ms)
        window.add(b"b", 90_000)
        self.assertTrue(window.contains(b"a", 3500))
        self.assertTrue(window.contains(b"a", 20_999))
        self.assertFalse(window.contains(b"a", 40_000))


class UsageQueueTest(unittest.TestCase):
    def test_limits_usage_and_keeps_batches_in_order_until_they_are_durable(self) -> None:
        queue = UsageQueue(1000)
        added = [number for number in range(30) if queue.add(usage())]
        self.assertLess(len(added), 12)
        self.assertEqual(queue.dropped_count, 30 - len(added))
        queue.add_outcome(DeliveryOutcome.DELIVERED, 1)
        first = queue.next_batch(2)
        assert first is not None
        self.assertEqual(
            (first.number, len(first.usages), first.delivered, first.dropped_count),
            (1, len(added), [1], 30 - len(added)),
        )
        queue.add_outcome(DeliveryOutcome.UNDELIVERED, 2)
        self.assertEqual(queue.next_batch(2).undelivered, [2])  # type: ignore[union-attr]
        queue.add_outcome(DeliveryOutcome.DISPUTED, 3)
        self.assertIsNone(queue.next_batch(2))  # two batches are unacknowledged
        self.assertEqual([batch.number for batch in queue.unacknowledged_batches()], [1, 2])
        self.assertEqual(len(queue.acknowledge(1)), len(added))
        self.assertEqual([batch.number for batch in queue.unacknowledged_batches()], [2])
        queue.acknowledge(2)
        queue.next_batch(1)
        queue.acknowledge(3)
        self.assertTrue(queue.is_empty)
        self.assertEqual(queue.queued_bytes, 0)

    def test_an_outcome_is_never_batched_before_its_usage(self) -> None:
        queue = UsageQueue(1 << 20)
        for _ in range(MAX_BATCH_USAGE_COUNT + 5):
            queue.add(usage())
        queue.add_outcome(DeliveryOutcome.DELIVERED, MAX_BATCH_USAGE_COUNT + 1)
        queue.add_outcome(DeliveryOutcome.DELIVERED, 1)
        self.assertEqual(queue.next_batch(9).delivered, [1])  # type: ignore[union-attr]
        self.assertEqual(queue.next_batch(9).delivered, [MAX_BATCH_USAGE_COUNT + 1])  # type: ignore[union-attr]


class UsageLedgerTest(unittest.TestCase):
    def new_ledger(self, max_identity_count: int = 1000) -> UsageLedger:
        return UsageLedger(BillingCalendar("UTC", "day"), DedupWindow(1000, max_identity_count), {})

    def test_applies_each_batch_once_and_rejects_a_gap(self) -> None:
        ledger = self.new_ledger()
        ledger.start_run(b"run", 0)
        batch = UsageBatch(1, [usage(1)], [1], [], [])
        ledger.apply_batch(batch, 0)
        last_number = ledger.last_number
        ledger.apply_batch(batch, 0)
        self.assertEqual(ledger.last_number, last_number)
        self.assertRaises(CommandRejectedError, ledger.apply_batch, UsageBatch(3, [], [], [], []), 0)

    def test_closes_periods_in_order_and_bills_later_usage_in_the_next_one(self) -> None:
        ledger = self.new_ledger()
        for name, now_ms, first_open, problem in [  # no problem: the period is closed
            ("1970-01-01", DAY_MS - 1, None, "not ended"),
            ("1970-01-02", 2 * DAY_MS, "1970-01-01", "close it first"),
            ("1970-01-33", 9 * DAY_MS, None, "names no day"),
            ("1970-01-01", DAY_MS, "1970-01-01", ""),
            ("1970-01-01", DAY_MS, None, "closed before"),
        ]:
            with self.subTest(name=name, now_ms=now_ms):
                if problem and problem != "closed before":
                    with self.assertRaisesRegex(CommandRejectedError, problem):
                        ledger.close_period(name, now_ms, first_open, {})
                else:
                    self.assertEqual(ledger.close_period(name, now_ms, first_open, {}), not problem)
        ledger.apply_batch(UsageBatch(1, [usage(1, at_ms=5)], [1], [], []), DAY_MS)
        self.assertEqual(list(ledger.changes.totals), [TotalsKey("1970-01-02", "1970-01-01", 2, 3)])

    def test_rejects_corrections_without_change_reason_or_valid_period(self) -> None:
        ledger = self.new_ledger()
        for uses, service_period, reason, problem in [
            (0, "1970-01-01", "x", "of nothing"),
            (1, "1970-01-01", " ", "reason"),
            (1, "1970-01-09", "x", "begun"),
            (1, "then", "x", "names no day"),
        ]:
            with self.subTest(problem=problem), self.assertRaisesRegex(CommandRejectedError, problem):
                ledger.correct(correction_request(uses, service_period, reason=reason), 5)
        self.assertEqual(ledger.last_number, 0)
        self.assertEqual(ledger.correct(correction_request(-1), 5).period, "1970-01-01")

    @given(st.binary(max_size=200))
    def test_batches_of_arbitrary_bytes_raise_only_expected_errors(self, data: bytes) -> None:
        ledger = self.new_ledger(max_identity_count=100)
        try:
            batch = msgpack.decode(data, type=UsageBatch)
        except Exception:
            return
        try:
            ledger.apply_batch(batch, 0)
        except (CommandRejectedError, KeyError):
            self.assertEqual(ledger.closed_end_ms, 0)


class UsageStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def open_store(self, instance: str = "n1", zone: str = "UTC") -> UsageStore:
        store = UsageStore(self.directory, instance, zone, "day", 1000, 1000)
        self.addCleanup(store.close)
        return store

    def store_with_disputes(self) -> UsageStore:
        """Returns a store with two disputed usage entries; the first one was retried and counted."""
        store = self.open_store()
        store.start_run(b"1", 0)
        usages = [usage(1, 100, b"a" * 16), usage(2, 100, b"b" * 16)]
        with store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, usages, [], [], []), 100)
        self.assertEqual(store.start_run(b"2", 200), 2)
        with store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, [usage(1, 300, b"a" * 16)], [1], [], []), 300)
        return store

    def test_billing_disputes_skips_usage_whose_retry_was_counted(self) -> None:
        store = self.store_with_disputes()
        disputed = dict(store.disputed())
        with store.ledger_transaction() as ledger:
            counted_nearby = store.counted_near(disputed.values())
            billed_count = ledger.resolve_disputes(
                disputed, [], counted_nearby, "found in the gateway log", "operator", 10**9
            )
        self.assertEqual((billed_count, store.period_sum("1970-01-01").uses, store.disputed()), (1, 2, []))
        self.assertEqual(audit_store(store), [])

    def test_describes_usage_with_its_outcomes(self) -> None:
        store = self.store_with_disputes()
        number, _ = store.disputed()[0]
        described = list(describe_entry(store, number))
        self.assertRegex(described[0], rf"^entry {number}: use, hash [0-9a-f]{{32}}$")
        self.assertEqual(described[1], "t m at 1970-01-01T00:00:00.100000+00:00")
        self.assertEqual(described[2], "5 ms of work, 10 bytes in, 20 out")
        self.assertRegex(described[4], r"^entry \d+: disputed: the server ended before it was known$")
        self.assertEqual(described[5], "nothing is known of its answer yet")

    def test_rejects_another_instance_or_time_zone(self) -> None:
        self.open_store().close()
        for change in ({"instance": "n2"}, {"zone": "Europe/Copenhagen"}):
            with (
                self.subTest(**change),
                self.assertRaisesRegex(StoreUnavailableError, next(iter(change))),
            ):
                self.open_store(**change)

    def test_rejects_a_file_that_is_not_a_database(self) -> None:
        Path(self.directory, "ledger.sqlite").write_bytes(b"not a database file, " * 100)
        with self.assertRaisesRegex(StoreUnavailableError, "not a database"):
            self.open_store()

    def test_statement_lines_add_up_to_the_total(self) -> None:
        store = self.open_store()
        with store.ledger_transaction() as ledger:
            ledger.start_run(b"run", 0)
            usages = [
                usage(number, 5000 * number, b"%016d" % number, b"t\xff" if number % 2 else b"u")
                for number in range(1, 30)
            ]
            delivered = [reported.sequence for reported in usages]
            ledger.apply_batch(UsageBatch(1, usages, delivered, [], []), 0)
            ledger.correct(correction_request(amount="-0.10", reason="goodwill", tenant=b"u"), 5)
        for statement in statements(store, price_plan(), "1970-01-01"):
            printed = statement_to_json(statement)
            self.assertEqual(
                sum(Decimal(line["amount"]) for line in printed["lines"]), Decimal(printed["total"])
            )
            rows = statement_to_csv(statement, with_header=False).splitlines()
            self.assertEqual(Decimal(rows[-1].split(",")[6]), statement.total)
        tenants = [statement.tenant for statement in statements(store, price_plan(), "1970-01-01")]
        self.assertEqual(tenants, ["t\\xff", "u"])


if __name__ == "__main__":
    unittest.main()
