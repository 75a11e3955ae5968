"""The ledger's decisions: periods, prices, the book, the outbox, the cursor, merging; and its experiment."""

import tempfile
import unittest
from decimal import Decimal
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from landingshift.ledger.audit import audit
from landingshift.ledger.book import Book, Refused
from landingshift.ledger.cursor import REPEATS, Ask, Cursor, Idle, Send, Stop, Wait
from landingshift.ledger.entries import START, Batch, Raw, identity, numbers, ranges
from landingshift.ledger.merge import Fit, counted, fit
from landingshift.ledger.names import shown, taken
from landingshift.ledger.outbox import BATCH, Outbox
from landingshift.ledger.periods import BadPeriod, Calendar
from landingshift.ledger.prices import BadPlan, Line, Plan, Tier, charges, cost, load
from landingshift.ledger.recent import Recent
from landingshift.ledger.statements import as_csv, as_json, statements
from landingshift.ledger.store import BadStore, Store
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.ledger import CASES, ONCE, experiment

HOUR = 3_600_000


def raw(n: int = 0, at: int = 1000, who: bytes = b"i" * 16, tenant: bytes = b"t") -> Raw:
    return Raw(n, at, tenant, b"m", 5000, 10, 20, who)


class Periods(unittest.TestCase):
    def test_days_have_the_hours_that_the_zone_gives_them(self) -> None:
        for zone, day, hours in [
            ("UTC", "2026-03-29", 24), ("Europe/Copenhagen", "2026-03-29", 23),
            ("Europe/Copenhagen", "2026-10-25", 25), ("Europe/Copenhagen", "2026-06-01", 24),
            ("Africa/Cairo", "2026-04-24", 23),  # the clock jumps over midnight itself
            ("America/Havana", "2026-11-01", 25), ("Australia/Lord_Howe", "2026-10-04", 23.5),
        ]:  # fmt: skip
            with self.subTest(zone=zone, day=day):
                period = Calendar(zone, "day").named(day)
                self.assertEqual((period.end - period.start) / HOUR, hours)

    def test_names(self) -> None:
        for unit, name, good in [
            ("month", "2026-12", True), ("month", "2026-13", False), ("month", "2026-1", False),
            ("week", "2026-W53", True), ("week", "2025-W53", False), ("day", "2028-02-29", True),
            ("day", "2026-02-29", False), ("day", "2026-12", False), ("month", "0000-01", False),
        ]:  # fmt: skip
            with self.subTest(unit=unit, name=name):
                calendar = Calendar("Europe/Copenhagen", unit)  # type: ignore[arg-type]
                if good:
                    self.assertEqual(calendar.named(name).name, name)
                else:
                    self.assertRaises(BadPeriod, calendar.named, name)

    @settings(max_examples=200)
    @given(
        st.sampled_from(["UTC", "Europe/Copenhagen", "America/Havana", "Africa/Cairo", "Pacific/Apia"]),
        st.sampled_from(["day", "week", "month"]),
        st.integers(0, 4_000_000_000_000),
    )
    def test_periods_follow_each_other_without_gap_or_overlap(self, zone: str, unit: Any, ms: int) -> None:
        calendar = Calendar(zone, unit)
        period = calendar.at(ms)
        self.assertTrue(period.start <= ms < period.end)
        self.assertEqual(calendar.after(period).start, period.end)
        self.assertEqual(calendar.at(period.start - 1).end, period.start)


PLAN = """
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


def plan(text: str = PLAN) -> Plan:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "plan.toml")
        path.write_text(text)
        return load(str(path))


class Prices(unittest.TestCase):
    def test_cost(self) -> None:
        line = Line(
            "x", "rpc", free=Decimal(10), tiers=[Tier(Decimal("0.01"), Decimal(100)), Tier(Decimal("0.001"))]
        )
        for quantity, price in [
            (0, "0"),
            (10, "0"),
            (11, "0.01"),
            (110, "1.00"),
            (111, "1.001"),
            (-3, "-0.03"),
        ]:
            with self.subTest(quantity=quantity):
                self.assertEqual(cost(line, Decimal(quantity)), Decimal(price))

    def test_each_total_is_charged_once_a_unit_and_rounded_once_a_line(self) -> None:
        totals = [("", b"t", b"climb", 3, 1_005_000, 0, 0), ("", b"t", b"m", 15, 0, 0, 0),
                  ("2026-10", b"t", b"m", 2, 0, 0, 0)]  # fmt: skip
        found = [(c.name, c.quantity, str(c.amount), c.late) for c in charges(plan(), b"t", totals)]
        self.assertEqual(found, [
            ("dear", 3, "0.02", {}), ("RPCs", 17, "0.07", {"2026-10": 2}),
            ("work", Decimal("1.005"), "0.10", {"2026-10": 0}),
        ])  # fmt: skip
        for rounding, amount in [("half_even", "0.02"), ("half_up", "0.02"), ("down", "0.01")]:
            with self.subTest(rounding=rounding):
                p = plan(f'rounding = "{rounding}"\n' + PLAN)
                self.assertEqual(str(charges(p, b"t", totals[:1])[0].amount), amount)

    def test_bad_plans_are_refused_by_file_and_key(self) -> None:
        for change, key in [
            ((PLAN, "x"), "plan.toml"), (("EUR", "euro"), "currency"),
            (('"standard"\n', '"other"\n'), "default"), (('gold = "free"', 'gold = "none"'), "tenants.gold"),
            (("price = 0.005", ""), "plans.standard[0]"),
            (("price = 0.005", "price = -1"), "plans.standard[0].price"),
            (("price = 0.005", "price = nan"), "plans.standard[0].price"),
            (("price = 0.005", 'price = "x"'), "price"),
            (("upto = 100, ", ""), "plans.standard[1].tiers[0].upto"),
            (("{ price = 0.001 }", "{ upto = 50, price = 1 }"), "plans.standard[1].tiers[1].upto"),
            (('unit = "work_s"', 'unit = "hours"'), "unit"), (("free = 10", "fre = 10"), "fre"),
            (("free = 10", "free = 1e16"), "plans.standard[1].free"), (("0.005", "0.0000000000001"), "price"),
        ]:  # fmt: skip
            with self.subTest(change=change), self.assertRaises(BadPlan) as caught:
                plan(PLAN.replace(*change))
            self.assertIn(key, str(caught.exception))
            self.assertIn("plan.toml", str(caught.exception))


class Words(unittest.TestCase):
    @given(st.binary(max_size=40))
    def test_names_come_back(self, name: bytes) -> None:
        self.assertEqual(taken(shown(name)), name)
        self.assertTrue(shown(name).isprintable())

    @given(st.sets(st.integers(1, 200)))
    def test_ranges_come_back(self, found: set[int]) -> None:
        self.assertEqual(numbers(ranges(list(found))), sorted(found))

    def test_identities_differ_where_the_parts_do(self) -> None:
        found = {
            identity(t, m, marked, w)
            for t, m, marked, w in [
                (b"ab", b"c", True, b"x"), (b"a", b"bc", True, b"x"), (b"ab", b"c", False, b"x"),
                (b"ab", b"", True, b"cx"), (b"ab", b"c", True, b"y"),
            ]
        }  # fmt: skip
        self.assertEqual(len(found), 5)


class Identities(unittest.TestCase):
    def test_a_bound_shortens_the_window_and_says_so(self) -> None:
        recent = Recent(1000, 10)
        for i in range(20):
            recent.add(b"%d" % i, i)
        self.assertLessEqual(len(recent.young) + len(recent.old), 10)
        self.assertTrue(recent.seen(b"19", 20))
        self.assertFalse(recent.seen(b"0", 20))
        self.assertGreater(recent.shortened, 0)

    def test_a_clock_that_steps_forth_and_back_forgets_nothing(self) -> None:
        recent = Recent(1000, 1000)
        for at in (0, 5000, -9000, 20_000, 3000):
            recent.add(b"a", at)
        recent.add(b"b", 90_000)
        self.assertTrue(recent.seen(b"a", 3500))
        self.assertTrue(recent.seen(b"a", 20_999))
        self.assertFalse(recent.seen(b"a", 40_000))


class Owing(unittest.TestCase):
    def test_bound_order_and_repetition(self) -> None:
        box = Outbox(1000)
        kept = [n for n in range(30) if box.add(raw())]
        self.assertLess(len(kept), 12)
        self.assertEqual(box.dropped, 30 - len(kept))
        box.settle(box.sent, 1)
        first = box.cut(2)
        assert first is not None
        self.assertEqual(
            (first.number, len(first.uses), first.sent, first.dropped), (1, len(kept), [1], 30 - len(kept))
        )
        box.settle(box.void, 2)
        self.assertEqual(box.cut(2).void, [2])  # type: ignore[union-attr]
        box.settle(box.disputed, 3)
        self.assertIsNone(box.cut(2))  # enough on the way
        self.assertEqual([b.number for b in box.again()], [1, 2])
        self.assertEqual(len(box.ack(1)), len(kept))
        self.assertEqual([b.number for b in box.again()], [2])
        box.ack(2)
        box.cut(1)
        box.ack(3)
        self.assertTrue(box.empty)
        self.assertEqual(box.bytes, 0)

    def test_what_became_of_a_use_never_goes_before_it(self) -> None:
        box = Outbox(1 << 20)
        for _ in range(BATCH + 5):
            box.add(raw())
        box.settle(box.sent, BATCH + 1)
        box.settle(box.sent, 1)
        self.assertEqual(box.cut(9).sent, [1])  # type: ignore[union-attr]
        self.assertEqual(box.cut(9).sent, [BATCH + 1])  # type: ignore[union-attr]


class Keeping(unittest.TestCase):
    def book(self, recent: int = 1000) -> Book:
        return Book(Calendar("UTC", "day"), Recent(1000, recent), {})

    def test_batches_come_in_order_and_once(self) -> None:
        book = self.book()
        book.open(b"run", 0)
        batch = Batch(1, [raw(1)], [1], [], [])
        book.take(batch, 0)
        last = book.last
        book.take(batch, 0)
        self.assertEqual(book.last, last)
        self.assertRaises(Refused, book.take, Batch(3, [], [], [], []), 0)

    def test_a_period_is_closed_in_its_turn_and_for_good(self) -> None:
        day = 24 * HOUR
        book = self.book()
        for name, now, first, said in [
            ("1970-01-01", day - 1, None, "not ended"),
            ("1970-01-02", 2 * day, "1970-01-01", "close it first"),
            ("1970-01-33", 9 * day, None, "names no day"), ("1970-01-01", day, "1970-01-01", ""),
            ("1970-01-01", day, None, "before"),
        ]:  # fmt: skip
            with self.subTest(name=name, now=now):
                if said and said != "before":
                    with self.assertRaisesRegex(Refused, said):
                        book.close(name, now, first, [])
                else:
                    self.assertEqual(book.close(name, now, first, []), not said)
        book.take(Batch(1, [raw(1, at=5)], [1], [], []), day)
        self.assertEqual(list(book.step.totals), [("1970-01-02", "1970-01-01", 2, 3)])

    def test_corrections_name_their_period_and_reason(self) -> None:
        book = self.book()
        for uses, about, why, said in [
            (0, "1970-01-01", "x", "of nothing"), (1, "1970-01-01", " ", "reason"),
            (1, "1970-01-09", "x", "begun"), (1, "then", "x", "names no day"),
        ]:  # fmt: skip
            with self.subTest(said=said), self.assertRaisesRegex(Refused, said):
                book.correct(b"t", b"m", about, uses, 0, "", why, "me", 5)
        self.assertEqual(book.last, 0)
        self.assertEqual(book.correct(b"t", b"m", "1970-01-01", -1, 0, "", "x", "me", 5).period, "1970-01-01")


class Kept(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def store(self, instance: str = "n1", zone: str = "UTC") -> Store:
        store = Store(self.folder, instance, zone, "day", 1000, 1000)
        self.addCleanup(store.close)
        return store

    def test_disputes_are_resolved_once_and_a_retry_that_counted_makes_them_repeats(self) -> None:
        store = self.store()
        store.open_run(b"1", 0)
        with store.changing() as book:
            book.take(Batch(1, [raw(1, 100, b"a" * 16), raw(2, 100, b"b" * 16)], [], [], []), 100)
        self.assertEqual(store.open_run(b"2", 200), 2)
        with store.changing() as book:  # the client of the first tries again and is answered
            book.take(Batch(1, [raw(1, 300, b"a" * 16)], [1], [], []), 300)
        uses = dict(store.disputed())
        with store.changing() as book:
            good = book.resolve(uses, [], store.counted_about(uses), "log of the gateway", "me", 10**9)
        self.assertEqual((good, store.sums("1970-01-01")[0], store.disputed()), (1, 2, []))
        self.assertEqual(audit(store), [])

    def test_another_instance_or_zone_is_refused(self) -> None:
        self.store().close()
        for change in ({"instance": "n2"}, {"zone": "Europe/Copenhagen"}):
            with self.subTest(**change), self.assertRaisesRegex(BadStore, next(iter(change))):
                self.store(**change)

    def test_a_file_that_is_no_ledger_is_refused(self) -> None:
        Path(self.folder, "ledger.sqlite").write_bytes(b"no database at all, " * 100)
        with self.assertRaisesRegex(BadStore, "not a database"):
            self.store()

    def test_statements_add_up(self) -> None:
        store = self.store()
        with store.changing() as book:
            book.open(b"run", 0)
            uses = [raw(i, 5000 * i, b"%016d" % i, b"t\xff" if i % 2 else b"u") for i in range(1, 30)]
            book.take(Batch(1, uses, [u.n for u in uses], [], []), 0)
            book.correct(b"u", b"m", "1970-01-01", 0, 0, "-0.10", "fair", "me", 5)
        for one in statements(store, plan(), "1970-01-01"):
            told = as_json(one)
            self.assertEqual(sum(Decimal(line["amount"]) for line in told["lines"]), Decimal(told["total"]))
            rows = as_csv(one, False).splitlines()
            self.assertEqual(Decimal(rows[-1].split(",")[6]), one.total)
        self.assertEqual([s.tenant for s in statements(store, plan(), "1970-01-01")], ["t\\xff", "u"])


class Exporting(unittest.TestCase):
    def cursor(self) -> Cursor:
        return Cursor({0: START, 5: b"5", 9: b"9"}.get, Random(1))

    def test_the_receiver_is_the_authority(self) -> None:
        c = self.cursor()
        self.assertEqual(c.next(9), Ask())
        self.assertIsNone(c.heard(0, START, 9))
        self.assertEqual(c.next(9), Send(0))
        self.assertIsNone(c.heard(9, b"9", 9))
        self.assertEqual(c.next(9), Idle())
        self.assertIsNone(c.heard(5, b"5", 9))  # it lost some
        self.assertEqual((c.next(9), c.rewinds), (Send(5), 1))

    def test_after_a_failure_it_waits_longer_each_time_and_asks(self) -> None:
        c, waits = self.cursor(), []
        for _ in range(12):
            c.failed()
            step = c.next(9)
            assert isinstance(step, Wait)
            waits.append(step.ms)
            self.assertEqual(c.next(9), Ask())
        self.assertLess(waits[0], 101.0)
        self.assertTrue(15_000.0 <= waits[-1] <= 30_000.0)

    def test_it_stops_where_the_pasts_differ(self) -> None:
        for cursor, hash_, said in [(12, b"x", "old backup"), (9, b"other", "parted"), (7, b"7", "no more")]:
            with self.subTest(said=said):
                found = self.cursor().heard(cursor, hash_, 9)
                assert isinstance(found, Stop)
                self.assertIn(said, found.reason)

    def test_replies_that_bring_nothing_forward_make_it_wait(self) -> None:
        c = self.cursor()
        c.heard(5, b"5", 9)
        for _ in range(REPEATS):
            c.heard(5, b"5", 9)
        self.assertIsInstance(c.next(9), Wait)


class Merging(unittest.TestCase):
    def test_fit(self) -> None:
        for number, hash_, follows, head, here, said in [
            (1, b"a", True, 0, None, Fit.NEXT), (1, b"a", False, 0, None, Fit.BROKEN),
            (2, b"a", True, 0, None, Fit.AHEAD), (1, b"a", True, 3, b"a", Fit.KNOWN),
            (1, b"b", True, 3, b"a", Fit.PARTED), (3, b"b", True, 3, None, Fit.PARTED),
        ]:  # fmt: skip
            with self.subTest(said=said):
                self.assertIs(fit(number, hash_, follows, head, here), said)

    @given(
        st.lists(st.tuples(st.integers(0, 500), st.sampled_from("abc"), st.integers(1, 9)), max_size=20),
        st.randoms(),
    )
    def test_any_order_and_repetition_counts_the_same(
        self, uses: list[tuple[int, str, int]], chance: Random
    ) -> None:
        found = counted(uses, 100)
        again = uses + uses[:3]
        chance.shuffle(again)
        self.assertEqual(counted(again, 100), found)
        times = sorted(at for at, _, _ in found)
        self.assertTrue(all(b - a >= 100 for a, b in pairwise(times)))


class Experiment(unittest.TestCase):
    def test_every_case_holds(self) -> None:
        rows = [row for row in experiment(5, 0, 7) if row.name not in ONCE]
        for row in rows:
            with self.subTest(case=row.name):
                self.assertEqual(row.broken, [])
        self.assertEqual({row.name for row in rows} | set(ONCE), set(CASES))

    def test_it_sees_each_defence_that_is_missing(self) -> None:
        for what, case in [
            ("cursor", "totals"),
            ("identity", "retries"),
            ("chain", "tampered"),
            ("batch", "totals"),
        ]:
            with self.subTest(what=what):
                self.assertFalse(all(row.holds for row in experiment(10, 0, 7, what, case)))

    def test_servers_killed_under_load(self) -> None:
        for what, holds in ((None, True), ("disputed", False)):
            with self.subTest(what=what):
                self.assertEqual(all(row.holds for row in experiment(1, 5, 3, what, "kills")), holds)


class Wire(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_no_bytes_from_elsewhere_pass_for_a_batch_that_breaks_the_book(self, data: bytes) -> None:
        book = Book(Calendar("UTC", "day"), Recent(1000, 100), {})
        try:
            batch = msgpack.decode(data, type=Batch)
        except Exception:
            return
        try:
            book.take(batch, 0)
        except (Refused, KeyError):
            self.assertEqual(book.closed_until, 0)


if __name__ == "__main__":
    unittest.main()
