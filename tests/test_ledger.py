"""Usage metering: periods, prices, accounting, queue, export cursor, merging; and the experiment."""

import tempfile
import unittest
from decimal import Decimal
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from landingshift.ledger.audit import audit_store
from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.entries import (
    GENESIS_HASH,
    KIND_BY_TYPE,
    Compaction,
    Correction,
    Entry,
    EntryKind,
    NameEntry,
    Opened,
    PeriodClose,
    Resolution,
    Settlement,
    UsageGap,
    attempt_identity,
)
from landingshift.ledger.entry_history import describe_entry, format_entry
from landingshift.ledger.errors import (
    CommandRejectedError,
    InvalidPeriodError,
    InvalidPricePlanError,
    StoreUnavailableError,
)
from landingshift.ledger.export_cursor import (
    MAX_STALLED_REPLY_COUNT,
    ExportCursor,
    Idle,
    QueryCursor,
    SendBatch,
    Stop,
    Wait,
)
from landingshift.ledger.merge_rules import EntryFit, UsageReference, classify_entry, countable_usages
from landingshift.ledger.name_escaping import escape_name, unescape_name
from landingshift.ledger.number_ranges import decode_ranges, encode_ranges
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.price_plan import PriceLine, PricePlan, PriceTier, load_price_plan
from landingshift.ledger.pricing import exact_cost, line_charges
from landingshift.ledger.settings import Settings
from landingshift.ledger.statements import statement_to_csv, statement_to_json, statements
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, StoreStatus, UsageBatch
from landingshift.ledger.totals import TenantTotals, TotalsKey, UsageTotals
from landingshift.ledger.usage_ledger import CorrectionRequest, UsageLedger
from landingshift.ledger.usage_queue import MAX_BATCH_USAGE_COUNT, DeliveryOutcome, UsageQueue
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.ledger import CASES, RUN_ONCE_CASES, experiment

HOUR_MS = 3_600_000
DAY_MS = 24 * HOUR_MS


def usage(
    sequence: int = 0, at_ms: int = 1000, identity: bytes = b"i" * 16, tenant: bytes = b"t"
) -> ReportedUsage:
    return ReportedUsage(sequence, at_ms, tenant, b"m", 5000, 10, 20, identity)


def tenant_totals(
    method: bytes, uses: int, work_us: int = 0, service_period: str = "", tenant: bytes = b"t"
) -> TenantTotals:
    return TenantTotals("2026-11", service_period, tenant, method, UsageTotals(uses, work_us))


def correction_request(
    uses: int = 0,
    service_period: str = "1970-01-01",
    amount: str = "",
    reason: str = "x",
    tenant: bytes = b"t",
) -> CorrectionRequest:
    return CorrectionRequest(tenant, b"m", service_period, uses, 0, amount, reason, author="me")


class BillingCalendarTest(unittest.TestCase):
    def test_days_have_the_hours_that_the_time_zone_gives_them(self) -> None:
        for time_zone, day, hours in [
            ("UTC", "2026-03-29", 24),
            ("Europe/Copenhagen", "2026-03-29", 23),
            ("Europe/Copenhagen", "2026-10-25", 25),
            ("Europe/Copenhagen", "2026-06-01", 24),
            ("Africa/Cairo", "2026-04-24", 23),  # the clock jumps over midnight itself
            ("America/Havana", "2026-11-01", 25),
            ("Australia/Lord_Howe", "2026-10-04", 23.5),
        ]:
            with self.subTest(time_zone=time_zone, day=day):
                period = BillingCalendar(time_zone, "day").period_named(day)
                self.assertEqual((period.end_ms - period.start_ms) / HOUR_MS, hours)

    def test_finds_periods_by_name_and_rejects_names_of_none(self) -> None:
        for unit, name, is_valid in [
            ("month", "2026-12", True),
            ("month", "2026-13", False),
            ("month", "2026-1", False),
            ("week", "2026-W53", True),
            ("week", "2025-W53", False),
            ("day", "2028-02-29", True),
            ("day", "2026-02-29", False),
            ("day", "2026-12", False),
            ("month", "0000-01", False),
        ]:
            with self.subTest(unit=unit, name=name):
                calendar = BillingCalendar("Europe/Copenhagen", unit)  # type: ignore[arg-type]
                if is_valid:
                    self.assertEqual(calendar.period_named(name).name, name)
                else:
                    self.assertRaises(InvalidPeriodError, calendar.period_named, name)

    @settings(max_examples=200)
    @given(
        st.sampled_from(["UTC", "Europe/Copenhagen", "America/Havana", "Africa/Cairo", "Pacific/Apia"]),
        st.sampled_from(["day", "week", "month"]),
        st.integers(0, 4_000_000_000_000),
    )
    def test_periods_follow_each_other_without_gap_or_overlap(
        self, time_zone: str, unit: Any, at_ms: int
    ) -> None:
        calendar = BillingCalendar(time_zone, unit)
        period = calendar.period_at(at_ms)
        self.assertTrue(period.start_ms <= at_ms < period.end_ms)
        self.assertEqual(calendar.following(period).start_ms, period.end_ms)
        self.assertEqual(calendar.period_at(period.start_ms - 1).end_ms, period.start_ms)


PLAN_TOML = """
currency = "EUR"
default = "standard"
[tenants]
gold = "free"
[[plans.standard]]
name = "dear"
unit = "rpc"
methods = ["climb"]
price = 0.005
[[plans.standard]]
name = "RPCs"
unit = "rpc"
free = 10
tiers = [{ upto = 100, price = 0.01 }, { price = 0.001 }]
[[plans.standard]]
name = "work"
unit = "work_s"
price = 0.1
[[plans.free]]
name = "RPCs"
unit = "rpc"
price = 0
"""


def price_plan(text: str = PLAN_TOML) -> PricePlan:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "plan.toml")
        path.write_text(text)
        return load_price_plan(str(path))


class PricingTest(unittest.TestCase):
    def test_charges_by_tiers_after_the_free_quantity(self) -> None:
        line = PriceLine(
            "x",
            "rpc",
            free_quantity=Decimal(10),
            tiers=[PriceTier(Decimal("0.01"), Decimal(100)), PriceTier(Decimal("0.001"))],
        )
        for quantity, cost in [
            (0, "0"),
            (10, "0"),
            (11, "0.01"),
            (110, "1.00"),
            (111, "1.001"),
            (-3, "-0.03"),
        ]:
            with self.subTest(quantity=quantity):
                self.assertEqual(exact_cost(line, Decimal(quantity)), Decimal(cost))

    def test_each_total_is_charged_once_a_unit_and_rounded_once_a_line(self) -> None:
        totals = [
            tenant_totals(b"climb", 3, 1_005_000),
            tenant_totals(b"m", 15),
            tenant_totals(b"m", 2, service_period="2026-10"),
        ]
        found = [
            (charge.name, charge.quantity, str(charge.amount), charge.late_quantities)
            for charge in line_charges(price_plan(), b"t", totals)
        ]
        self.assertEqual(
            found,
            [
                ("dear", 3, "0.02", {}),
                ("RPCs", 17, "0.07", {"2026-10": 2}),
                ("work", Decimal("1.005"), "0.10", {"2026-10": 0}),
            ],
        )
        for rounding, amount in [("half_even", "0.02"), ("half_up", "0.02"), ("down", "0.01")]:
            with self.subTest(rounding=rounding):
                plan = price_plan(f'rounding = "{rounding}"\n' + PLAN_TOML)
                self.assertEqual(str(line_charges(plan, b"t", totals[:1])[0].amount), amount)

    def test_rejects_bad_plans_by_file_and_key(self) -> None:
        for change, key in [
            ((PLAN_TOML, "x"), "plan.toml"),
            (("EUR", "euro"), "currency"),
            (('"standard"\n', '"other"\n'), "default"),
            (('gold = "free"', 'gold = "none"'), "tenants.gold"),
            (("price = 0.005", ""), "plans.standard[0]"),
            (("price = 0.005", "price = -1"), "plans.standard[0].price"),
            (("price = 0.005", "price = nan"), "plans.standard[0].price"),
            (("price = 0.005", 'price = "x"'), "price"),
            (("upto = 100, ", ""), "plans.standard[1].tiers[0].upto"),
            (("{ price = 0.001 }", "{ upto = 50, price = 1 }"), "plans.standard[1].tiers[1].upto"),
            (('unit = "work_s"', 'unit = "hours"'), "unit"),
            (("free = 10", "fre = 10"), "fre"),
            (("free = 10", "free = 1e16"), "plans.standard[1].free"),
            (("0.005", "0.0000000000001"), "price"),
        ]:
            with self.subTest(change=change), self.assertRaises(InvalidPricePlanError) as caught:
                price_plan(PLAN_TOML.replace(*change))
            self.assertIn(key, str(caught.exception))
            self.assertIn("plan.toml", str(caught.exception))


class EncodingTest(unittest.TestCase):
    @given(st.binary(max_size=40))
    def test_escaped_names_come_back(self, name: bytes) -> None:
        self.assertEqual(unescape_name(escape_name(name)), name)
        self.assertTrue(escape_name(name).isprintable())

    @given(st.sets(st.integers(1, 200)))
    def test_number_ranges_come_back(self, numbers: set[int]) -> None:
        self.assertEqual(decode_ranges(encode_ranges(list(numbers))), sorted(numbers))

    def test_identities_differ_where_the_parts_do(self) -> None:
        identities = {
            attempt_identity(tenant, method, has_attempt_id, content)
            for tenant, method, has_attempt_id, content in [
                (b"ab", b"c", True, b"x"),
                (b"a", b"bc", True, b"x"),
                (b"ab", b"c", False, b"x"),
                (b"ab", b"", True, b"cx"),
                (b"ab", b"c", True, b"y"),
            ]
        }
        self.assertEqual(len(identities), 5)


class OutsideNamesTest(unittest.TestCase):
    """What operators and other processes see keeps its names, whatever the code's are."""

    def test_entries_are_printed_with_the_names_that_operators_know(self) -> None:
        printed: list[tuple[Entry, str]] = [
            (Opened(b"r", 1, [2, 3]), "Opened(run=b'r', at=1, disputed=[2, 3])"),
            (NameEntry(True, b"t"), "Name(tenant=True, name=b't')"),
            (
                Settlement([1, 2], [3, 1], [], [4, 1]),
                "Settled(counted=[1, 2], repeats=[3, 1], void=[], disputed=[4, 1])",
            ),
            (
                Correction(1, 2, 3, "a", "b", 4, 5, "6", "why", "me"),
                "Correction(at=1, tenant=2, method=3, belongs='a', period='b', uses=4, work=5, "
                "amount='6', reason='why', who='me')",
            ),
            (PeriodClose(1, "a", 2, 3, b"d"), "Closed(at=1, period='a', start=2, end=3, totals=b'd')"),
            (UsageGap(1, 2), "Gap(at=1, dropped=2)"),
            (
                Resolution(1, [2, 1], [], "why", "me"),
                "Resolved(at=1, billed=[2, 1], waived=[], reason='why', who='me')",
            ),
            (
                Compaction(1, "a", 2, b"h", b"k", b"b", 3),
                "Compacted(at=1, period='a', last=2, hash=b'h', kept=b'k', baseline=b'b', until=3)",
            ),
        ]
        for entry, text in printed:
            with self.subTest(entry=type(entry).__name__):
                self.assertEqual(format_entry(entry), text)
        self.assertEqual(len(printed) + 1, len(KIND_BY_TYPE))  # usage is described in sentences

    def test_entry_kinds_keep_their_stored_values(self) -> None:
        self.assertEqual([kind.value for kind in EntryKind], list(range(1, 10)))

    def test_settings_go_to_the_store_process_by_the_names_of_the_file(self) -> None:
        text = msgspec.json.encode(Settings(directory="/d", instance="n1"))
        self.assertEqual(
            text,
            b'{"folder":"/d","instance":"n1","on":true,"durable":"before_answer","stuck":"answer",'
            b'"commit_ms":5.0,"settle_ms":50.0,"queue_kb":1024,"zone":"UTC","period":"month",'
            b'"window_s":900,"recent":100000,"identity_field":"","identity_key":false,'
            b'"lock_wait_ms":3000.0,"plan":""}',
        )
        self.assertEqual(msgspec.json.decode(text, type=Settings), Settings(directory="/d", instance="n1"))

    def test_messages_to_and_from_the_store_process_are_arrays_by_position(self) -> None:
        batch = UsageBatch(3, [usage(1)], [1], [2], [3], 4)
        self.assertEqual(
            msgpack.decode(msgpack.encode(batch)),
            [3, [[1, 1000, b"t", b"m", 5000, 10, 20, b"i" * 16]], [1], [2], [3], 4],
        )
        self.assertEqual(msgpack.decode(msgpack.encode(StoreStatus(3, "why", 5))), [3, "why", 5])


class DedupWindowTest(unittest.TestCase):
    def test_a_bound_shortens_the_window_and_counts_it(self) -> None:
        window = DedupWindow(1000, 10)
        for at_ms in range(20):
            window.add(b"%d" % at_ms, at_ms)
        self.assertLessEqual(len(window.current_generation) + len(window.previous_generation), 10)
        self.assertTrue(window.contains(b"19", 20))
        self.assertFalse(window.contains(b"0", 20))
        self.assertGreater(window.shortened_count, 0)

    def test_a_clock_that_steps_forth_and_back_forgets_nothing(self) -> None:
        window = DedupWindow(1000, 1000)
        for at_ms in (0, 5000, -9000, 20_000, 3000):
            window.add(b"a", at_ms)
        window.add(b"b", 90_000)
        self.assertTrue(window.contains(b"a", 3500))
        self.assertTrue(window.contains(b"a", 20_999))
        self.assertFalse(window.contains(b"a", 40_000))


class UsageQueueTest(unittest.TestCase):
    def test_bounds_usage_and_keeps_batches_in_order_until_they_are_durable(self) -> None:
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
        self.assertIsNone(queue.next_batch(2))  # enough is in flight
        self.assertEqual([batch.number for batch in queue.unacknowledged_batches()], [1, 2])
        self.assertEqual(len(queue.acknowledge(1)), len(added))
        self.assertEqual([batch.number for batch in queue.unacknowledged_batches()], [2])
        queue.acknowledge(2)
        queue.next_batch(1)
        queue.acknowledge(3)
        self.assertTrue(queue.is_empty)
        self.assertEqual(queue.queued_bytes, 0)

    def test_an_outcome_never_goes_before_its_usage(self) -> None:
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

    def test_applies_batches_in_order_and_once(self) -> None:
        ledger = self.new_ledger()
        ledger.start_run(b"run", 0)
        batch = UsageBatch(1, [usage(1)], [1], [], [])
        ledger.apply_batch(batch, 0)
        last_number = ledger.last_number
        ledger.apply_batch(batch, 0)
        self.assertEqual(ledger.last_number, last_number)
        self.assertRaises(CommandRejectedError, ledger.apply_batch, UsageBatch(3, [], [], [], []), 0)

    def test_closes_a_period_in_its_turn_and_for_good(self) -> None:
        ledger = self.new_ledger()
        for name, now_ms, first_open, problem in [
            ("1970-01-01", DAY_MS - 1, None, "not ended"),
            ("1970-01-02", 2 * DAY_MS, "1970-01-01", "close it first"),
            ("1970-01-33", 9 * DAY_MS, None, "names no day"),
            ("1970-01-01", DAY_MS, "1970-01-01", ""),
            ("1970-01-01", DAY_MS, None, "before"),
        ]:
            with self.subTest(name=name, now_ms=now_ms):
                if problem and problem != "before":
                    with self.assertRaisesRegex(CommandRejectedError, problem):
                        ledger.close_period(name, now_ms, first_open, {})
                else:
                    self.assertEqual(ledger.close_period(name, now_ms, first_open, {}), not problem)
        ledger.apply_batch(UsageBatch(1, [usage(1, at_ms=5)], [1], [], []), DAY_MS)
        self.assertEqual(list(ledger.changes.totals), [TotalsKey("1970-01-02", "1970-01-01", 2, 3)])

    def test_corrections_name_their_period_and_reason(self) -> None:
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
    def test_no_bytes_from_elsewhere_pass_for_a_batch_that_breaks_the_ledger(self, data: bytes) -> None:
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
        """Two disputed uses, of which the client of the first tried again and was answered."""
        store = self.open_store()
        store.start_run(b"1", 0)
        usages = [usage(1, 100, b"a" * 16), usage(2, 100, b"b" * 16)]
        with store.changing() as ledger:
            ledger.apply_batch(UsageBatch(1, usages, [], [], []), 100)
        self.assertEqual(store.start_run(b"2", 200), 2)
        with store.changing() as ledger:
            ledger.apply_batch(UsageBatch(1, [usage(1, 300, b"a" * 16)], [1], [], []), 300)
        return store

    def test_disputes_are_resolved_once_and_a_retry_that_counted_makes_them_duplicates(self) -> None:
        store = self.store_with_disputes()
        disputed = dict(store.disputed())
        with store.changing() as ledger:
            counted_nearby = store.counted_near(disputed.values())
            billed_count = ledger.resolve_disputes(
                disputed, [], counted_nearby, "log of the gateway", "me", 10**9
            )
        self.assertEqual((billed_count, store.period_sum("1970-01-01").uses, store.disputed()), (1, 2, []))
        self.assertEqual(audit_store(store), [])

    def test_describes_usage_by_what_became_of_it(self) -> None:
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

    def test_rejects_a_file_that_is_no_ledger(self) -> None:
        Path(self.directory, "ledger.sqlite").write_bytes(b"no database at all, " * 100)
        with self.assertRaisesRegex(StoreUnavailableError, "not a database"):
            self.open_store()

    def test_statements_add_up(self) -> None:
        store = self.open_store()
        with store.changing() as ledger:
            ledger.start_run(b"run", 0)
            usages = [
                usage(number, 5000 * number, b"%016d" % number, b"t\xff" if number % 2 else b"u")
                for number in range(1, 30)
            ]
            delivered = [reported.sequence for reported in usages]
            ledger.apply_batch(UsageBatch(1, usages, delivered, [], []), 0)
            ledger.correct(correction_request(amount="-0.10", reason="fair", tenant=b"u"), 5)
        for statement in statements(store, price_plan(), "1970-01-01"):
            printed = statement_to_json(statement)
            self.assertEqual(
                sum(Decimal(line["amount"]) for line in printed["lines"]), Decimal(printed["total"])
            )
            rows = statement_to_csv(statement, with_header=False).splitlines()
            self.assertEqual(Decimal(rows[-1].split(",")[6]), statement.total)
        tenants = [statement.tenant for statement in statements(store, price_plan(), "1970-01-01")]
        self.assertEqual(tenants, ["t\\xff", "u"])


class ExportCursorTest(unittest.TestCase):
    def new_cursor(self) -> ExportCursor:
        return ExportCursor({0: GENESIS_HASH, 5: b"5", 9: b"9"}.get, Random(1))

    def test_the_receiver_is_the_authority(self) -> None:
        cursor = self.new_cursor()
        self.assertEqual(cursor.next_step(9), QueryCursor())
        self.assertIsNone(cursor.on_reply(0, GENESIS_HASH, 9))
        self.assertEqual(cursor.next_step(9), SendBatch(0))
        self.assertIsNone(cursor.on_reply(9, b"9", 9))
        self.assertEqual(cursor.next_step(9), Idle())
        self.assertIsNone(cursor.on_reply(5, b"5", 9))  # it lost some
        self.assertEqual((cursor.next_step(9), cursor.rewind_count), (SendBatch(5), 1))

    def test_backs_off_longer_after_each_failure_and_asks_again(self) -> None:
        cursor = self.new_cursor()
        delays_ms = []
        for _ in range(12):
            cursor.on_request_failed()
            step = cursor.next_step(9)
            assert isinstance(step, Wait)
            delays_ms.append(step.delay_ms)
            self.assertEqual(cursor.next_step(9), QueryCursor())
        self.assertLess(delays_ms[0], 101.0)
        self.assertTrue(15_000.0 <= delays_ms[-1] <= 30_000.0)

    def test_stops_where_the_pasts_differ(self) -> None:
        for receiver_cursor, cursor_hash, problem in [
            (12, b"x", "old backup"),
            (9, b"other", "parted"),
            (7, b"7", "no more"),
        ]:
            with self.subTest(problem=problem):
                found = self.new_cursor().on_reply(receiver_cursor, cursor_hash, 9)
                assert isinstance(found, Stop)
                self.assertIn(problem, found.reason)

    def test_replies_that_bring_nothing_forward_make_it_wait(self) -> None:
        cursor = self.new_cursor()
        cursor.on_reply(5, b"5", 9)
        for _ in range(MAX_STALLED_REPLY_COUNT):
            cursor.on_reply(5, b"5", 9)
        self.assertIsInstance(cursor.next_step(9), Wait)


class MergeRulesTest(unittest.TestCase):
    def test_classifies_entries_by_the_branch_that_they_come_to(self) -> None:
        for number, entry_hash, follows_chain, head_number, known_hash, expected in [
            (1, b"a", True, 0, None, EntryFit.NEXT),
            (1, b"a", False, 0, None, EntryFit.BROKEN),
            (2, b"a", True, 0, None, EntryFit.AHEAD),
            (1, b"a", True, 3, b"a", EntryFit.KNOWN),
            (1, b"b", True, 3, b"a", EntryFit.DIVERGED),
            (3, b"b", True, 3, None, EntryFit.DIVERGED),
        ]:
            with self.subTest(expected=expected):
                found = classify_entry(number, entry_hash, follows_chain, head_number, known_hash)
                self.assertIs(found, expected)

    @given(
        st.lists(
            st.builds(UsageReference, st.integers(0, 500), st.sampled_from("abc"), st.integers(1, 9)),
            max_size=20,
        ),
        st.randoms(),
    )
    def test_any_order_and_repetition_counts_the_same(
        self, usages: list[UsageReference], rng: Random
    ) -> None:
        counted = countable_usages(usages, 100)
        repeated = usages + usages[:3]
        rng.shuffle(repeated)
        self.assertEqual(countable_usages(repeated, 100), counted)
        times_ms = sorted(reference.at_ms for reference in counted)
        self.assertTrue(all(later - earlier >= 100 for earlier, later in pairwise(times_ms)))


class ExperimentTest(unittest.TestCase):
    def test_every_case_holds(self) -> None:
        rows = [row for row in experiment(5, 0, 7) if row.name not in RUN_ONCE_CASES]
        for row in rows:
            with self.subTest(case=row.name):
                self.assertEqual(row.broken, [])
        self.assertEqual({row.name for row in rows} | set(RUN_ONCE_CASES), set(CASES))

    def test_cases_break_where_a_defence_is_removed(self) -> None:
        for defence, case in [
            ("cursor", "totals"),
            ("identity", "retries"),
            ("chain", "tampered"),
            ("batch", "totals"),
        ]:
            with self.subTest(defence=defence):
                self.assertFalse(all(row.holds for row in experiment(10, 0, 7, defence, case)))

    def test_servers_killed_under_load(self) -> None:
        for defence, holds in ((None, True), ("disputed", False)):
            with self.subTest(defence=defence):
                self.assertEqual(all(row.holds for row in experiment(1, 5, 3, defence, "kills")), holds)


if __name__ == "__main__":
    unittest.main()
