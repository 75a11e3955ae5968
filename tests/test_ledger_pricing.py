"""Tests of billing periods, price plans and pricing."""

import unittest
from decimal import Decimal
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.ledger.errors import (
    InvalidPeriodError,
    InvalidPricePlanError,
)
from landingshift.ledger.periods import BillingCalendar
from landingshift.ledger.price_plan import PriceLine, PriceTier
from landingshift.ledger.pricing import exact_cost, line_charges
from tests.ledger_fixtures import PLAN_TOML, price_plan, tenant_totals

HOUR_MS = 3_600_000


class BillingCalendarTest(unittest.TestCase):
    def test_days_are_shorter_or_longer_when_clocks_change(self) -> None:
        for time_zone, day, hours in [
            ("UTC", "2025-03-30", 24),
            ("Europe/Copenhagen", "2025-03-30", 23),
            ("Europe/Copenhagen", "2025-10-26", 25),
            ("Europe/Copenhagen", "2025-06-01", 24),
            ("Africa/Cairo", "2025-04-25", 23),  # the clock jumps over midnight
            ("America/Havana", "2025-11-02", 25),
            ("Australia/Lord_Howe", "2025-10-05", 23.5),
        ]:
            with self.subTest(time_zone=time_zone, day=day):
                period = BillingCalendar(time_zone, "day").period_named(day)
                self.assertEqual((period.end_ms - period.start_ms) / HOUR_MS, hours)

    def test_finds_periods_by_name_and_rejects_invalid_names(self) -> None:
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
    def test_periods_have_no_gap_or_overlap(self, time_zone: str, unit: Any, at_ms: int) -> None:
        calendar = BillingCalendar(time_zone, unit)
        period = calendar.period_at(at_ms)
        self.assertTrue(period.start_ms <= at_ms < period.end_ms)
        self.assertEqual(calendar.following(period).start_ms, period.end_ms)
        self.assertEqual(calendar.period_at(period.start_ms - 1).end_ms, period.start_ms)


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

    def test_charges_each_total_once_per_unit_and_rounds_once_per_line(self) -> None:
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
                ("climbs", 3, "0.02", {}),
                ("RPCs", 17, "0.07", {"2026-10": 2}),
                ("work", Decimal("1.005"), "0.10", {"2026-10": 0}),
            ],
        )
        for rounding, amount in [("half_even", "0.02"), ("half_up", "0.02"), ("down", "0.01")]:
            with self.subTest(rounding=rounding):
                plan = price_plan(f'rounding = "{rounding}"\n' + PLAN_TOML)
                self.assertEqual(str(line_charges(plan, b"t", totals[:1])[0].amount), amount)

    def test_errors_of_invalid_plans_name_the_file_and_key(self) -> None:
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


if __name__ == "__main__":
    unittest.main()
