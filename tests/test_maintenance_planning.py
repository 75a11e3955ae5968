"""Tests of maintenance planning: capacity constraints, demand forecast, planner and staged rollout."""

from __future__ import annotations

import unittest
from typing import Any

from landingshift.maintenance.capacity_constraints import (
    CapacityConstraints,
    DisruptionBudget,
    Machine,
)
from landingshift.maintenance.demand_forecast import (
    BUCKET_MS,
    QUARTER_MS,
    DailyDemandProfile,
    DemandTrend,
    forecast_demand,
)
from landingshift.maintenance.planner import (
    dry_run,
    permits_to_withhold,
    rejection_reason,
    rounds_needed,
    select_next,
)
from landingshift.maintenance.requests import MaintenanceRequest, RequestState
from landingshift.maintenance.schedule_bounds import duration_lower_bound_ms
from landingshift.maintenance.staged_rollout import AnswerCounts, regression, rollout_limit

UNRESTRICTED_BUDGET = DisruptionBudget(0.0, 0.0, 0.0, 0.0)


def fleet_of(count: int, **attributes: Any) -> list[Machine]:
    return [
        Machine(f"n{index}", 100.0, f"z{index % 2}", f"m{index % 3}", **attributes) for index in range(count)
    ]


def requests_for(*names: str, **attributes: Any) -> dict[str, MaintenanceRequest]:
    return {name: MaintenanceRequest(name, 10.0, 0.0, **attributes) for name in names}


class CapacityConstraintsTest(unittest.TestCase):
    def test_reports_the_first_violated_constraint(self) -> None:
        voters = [Machine(f"n{index}", 100.0, is_voter=index < 5) for index in range(8)]
        critical = fleet_of(6, serves_critical_methods=True)
        for machines, budget, demand, unavailable, violation in [
            (fleet_of(6), UNRESTRICTED_BUDGET, 500.0, {"n0": 1.0}, ""),
            (fleet_of(6), UNRESTRICTED_BUDGET, 500.0, {"n0": 1.0, "n1": 0.5}, "the whole: 450 of 500"),
            (
                fleet_of(6),
                DisruptionBudget(0.1, 0.0, 0.0, 0.0),
                500.0,
                {"n0": 1.0},
                "the whole: 500 of 550",
            ),
            (
                fleet_of(6),
                DisruptionBudget(0.0, 0.5, 0.0, 0.0),
                0.0,
                {"n0": 1.0, "n2": 1.0},
                "zone z0: 100 of 150",
            ),
            (
                fleet_of(6),
                DisruptionBudget(0.0, 0.0, 0.6, 0.0),
                0.0,
                {"n0": 1.0},
                "model m0: 100 of 120",
            ),
            (
                critical,
                DisruptionBudget(0.0, 0.0, 0.0, 0.9),
                0.0,
                {"n0": 1.0},
                "the best methods: 500 of 540",
            ),
            (voters, UNRESTRICTED_BUDGET, 0.0, {"n0": 1.0, "n7": 1.0}, ""),
            # Three of five voters are a majority but not a majority plus one.
            (voters, UNRESTRICTED_BUDGET, 0.0, {"n0": 1.0, "n1": 1.0}, "voters: 3 of 4"),
        ]:
            with self.subTest(unavailable=unavailable, budget=budget):
                constraints = CapacityConstraints(machines, budget, demand)
                self.assertEqual(constraints.violation(unavailable), violation)

    def test_margins_without_machines_agree_with_the_violation_check(self) -> None:
        constraints = CapacityConstraints(fleet_of(8), DisruptionBudget(0.0, 0.5, 0.3, 0.0), 300.0)
        for unavailable, names in [
            ({}, ["n0", "n2"]),
            ({"n1": 1.0}, ["n3", "n5"]),
            ({"n0": 0.5}, ["n0"]),
            ({}, ["n0", "n2", "n4"]),
        ]:
            margins = constraints.margins_without(constraints.margins(unavailable), unavailable, names)
            violation = constraints.violation(unavailable | dict.fromkeys(names, 1.0))
            self.assertEqual(margins is None, bool(violation))


class DemandForecastTest(unittest.TestCase):
    def trend_of(self, *means: float) -> DemandTrend:
        trend = DemandTrend()
        for bucket, mean in enumerate(means):
            trend.record(5e6 + bucket * BUCKET_MS, mean)
        return trend

    def test_only_a_rising_trend_is_extrapolated_and_within_its_own_span(self) -> None:
        flat = [100.0] * 10
        rise = [100.0 + 10.0 * bucket for bucket in range(10)]
        uneven = [100.0, 140.0, 90.0, 150.0, 110.0, 160.0]
        for means, horizon_ms, low, high in [
            ([], 60_000.0, 0.0, 0.0),
            (rise[:3], 60_000.0, 0.0, 0.0),  # three buckets are too few for a trend
            (flat, 600_000.0, 100.0, 100.0),
            (rise, 3 * BUCKET_MS, 219.0, 221.0),
            (rise, 1e9, 279.0, 281.0),  # no further ahead than the samples reach back
            (rise[::-1], 600_000.0, 99.0, 101.0),  # a fall is not extrapolated
            (uneven, 2 * BUCKET_MS, 160.0, 230.0),  # raised by the standard error
        ]:
            with self.subTest(means=means, horizon_ms=horizon_ms):
                found = self.trend_of(*means).forecast(horizon_ms)
                self.assertTrue(low <= found <= high, found)

    def test_the_trend_discards_old_samples_after_a_gap(self) -> None:
        trend = self.trend_of(*[900.0] * 10)
        for bucket in range(100, 110):
            trend.record(5e6 + bucket * BUCKET_MS, 50.0)
        self.assertAlmostEqual(trend.forecast(600_000.0), 50.0)

    def test_the_profile_of_the_day_before_is_scaled_to_the_demand_of_today(self) -> None:
        profile = DailyDemandProfile()
        for quarter, peak in ((10, 100.0), (11, 300.0), (12, 50.0)):
            profile.record(quarter, peak)
        wall_ms = 10.0 * QUARTER_MS
        for at_ms, horizon_ms, current, expected in [
            (wall_ms, 0.0, 100.0, 0.0),
            (wall_ms, 60_000.0, 100.0, 100.0),
            (wall_ms, QUARTER_MS, 100.0, 300.0),
            (wall_ms, QUARTER_MS, 120.0, 360.0),  # 20 % more than the day before
            (wall_ms, QUARTER_MS, 1000.0, 600.0),  # scaled by at most 2
            (wall_ms, QUARTER_MS, 1.0, 150.0),  # scaled by at least 0.5
            (wall_ms + QUARTER_MS, QUARTER_MS, 300.0, 300.0),
            (wall_ms + 5 * QUARTER_MS, QUARTER_MS, 300.0, 0.0),  # no peak was recorded
        ]:
            with self.subTest(at_ms=at_ms, horizon_ms=horizon_ms, current=current):
                self.assertAlmostEqual(profile.forecast(at_ms, horizon_ms, current), expected)
        unknown_ms = wall_ms + 5 * QUARTER_MS
        self.assertEqual(forecast_demand(DemandTrend(), profile, 5.0, unknown_ms, QUARTER_MS), 5.0)


class PlannerTest(unittest.TestCase):
    def test_selects_by_priority_within_the_constraints(self) -> None:
        for requests, lost, names in [
            (requests_for("n0", "n1", "n2"), {}, ["n0", "n1"]),  # two of four fit; zones alternate
            (requests_for("n0", "n2", "n1"), {}, ["n0", "n1"]),
            (requests_for("n0", "n1") | requests_for("n2", urgency=2.0), {}, ["n2", "n1"]),
            (requests_for("n0", "n1"), {"n3": 1.0}, ["n0"]),  # a crash counts against the same budget
            (requests_for("n0", "n1"), {"n2": 1.0, "n3": 1.0}, []),
            (requests_for("n0", "n1", "n2", group="g"), {}, []),  # a group drains as a whole or not at all
            (requests_for("n0", "n1", group="g"), {}, ["n0", "n1"]),
            (requests_for("n0", is_exclusive=True, urgency=2.0) | requests_for("n1"), {}, ["n0"]),
            (requests_for("n0", not_before_ms=5.0), {}, []),
            (requests_for("n9"), {}, []),
        ]:
            with self.subTest(requests=list(requests), lost=lost):
                constraints = CapacityConstraints(fleet_of(4), UNRESTRICTED_BUDGET, 200.0)
                self.assertEqual(select_next(requests, constraints, lost, 1.0), names)

    def test_machines_whose_limit_needs_the_most_rounds_are_selected_first(self) -> None:
        # One of five voters may be out at once, so the voters need five rounds and determine the total time.
        machines = [Machine(f"n{index}", 100.0, f"z{index % 2}", is_voter=index > 4) for index in range(10)]
        constraints = CapacityConstraints(machines, DisruptionBudget(0.0, 0.2, 0.0, 0.0), 0.0)
        names = [machine.name for machine in machines]
        self.assertEqual(rounds_needed(names, constraints)["n7"], 5.0)
        self.assertEqual(rounds_needed(names, constraints)["n0"], 2.0)
        self.assertEqual(select_next(requests_for(*names), constraints, {}, 1.0)[0], "n5")
        self.assertEqual(duration_lower_bound_ms(lambda _: constraints, 10.0, 1.0, 1.0), 51.0)

    def test_the_most_urgent_request_comes_first_after_the_wall_clock_was_set_back(self) -> None:
        # A negative waiting time would give the most urgent request the lowest priority.
        requests = requests_for("n0") | requests_for("n1", urgency=9.0)
        for request in requests.values():
            request.requested_at_ms = 3.6e6
        constraints = CapacityConstraints(fleet_of(4), UNRESTRICTED_BUDGET, 300.0)
        self.assertEqual(select_next(requests, constraints, {}, 0.0), ["n1"])

    def test_an_exclusive_request_of_the_highest_priority_holds_back_the_others(self) -> None:
        requests = requests_for("n0", is_exclusive=True, urgency=2.0) | requests_for("n1", "n2")
        requests["n2"].state = RequestState.OUT_OF_SERVICE
        constraints = CapacityConstraints(fleet_of(4), UNRESTRICTED_BUDGET, 100.0)
        self.assertEqual(select_next(requests, constraints, {}, 1.0), [])

    def test_rejects_only_requests_that_can_never_be_granted(self) -> None:
        constraints = CapacityConstraints(fleet_of(4), DisruptionBudget(0.0, 0.9, 0.0, 0.0), 0.0)
        known = MaintenanceRequest("n0", 1.0, 0.0)
        unknown = MaintenanceRequest("x", 1.0, 0.0)
        expired = MaintenanceRequest("n0", 1.0, 0.0, not_after_ms=5.0)
        self.assertIn("zone z0", rejection_reason(known, constraints, 0.0))
        self.assertIn("no such machine", rejection_reason(unknown, constraints, 0.0))
        # A leader elected while a zone is down must not reject requests that only need to wait for that zone.
        self.assertEqual(rejection_reason(unknown, constraints, 0.0, is_known=True), "")
        self.assertEqual(rejection_reason(known, constraints, 0.0, is_fleet_complete=False), "")
        self.assertIn("over", rejection_reason(expired, constraints, 6.0))
        # The demand needs all machines, so the request waits.
        busy = CapacityConstraints(fleet_of(4), UNRESTRICTED_BUDGET, 400.0)
        self.assertEqual(rejection_reason(known, busy, 0.0), "")

    def test_overload_withholds_the_newest_permits_and_stops_no_drain(self) -> None:
        requests = requests_for("n0", "n1", "n2")
        states = (RequestState.DRAINING, RequestState.PERMITTED, RequestState.PERMITTED)
        for number, (request, state) in enumerate(zip(requests.values(), states, strict=True), 1):
            request.state = state
            request.permit_number = number
        for demand, withheld in [(200.0, ["n2"]), (400.0, ["n2", "n1"])]:
            constraints = CapacityConstraints(fleet_of(4), UNRESTRICTED_BUDGET, demand)
            self.assertEqual(permits_to_withhold(requests, constraints, {}), withheld)

    def test_a_dry_run_schedules_every_request_within_the_constraints(self) -> None:
        requests = requests_for(*[f"n{index}" for index in range(6)])
        constraints = CapacityConstraints(fleet_of(6), UNRESTRICTED_BUDGET, 400.0)
        steps, min_capacity = dry_run(requests, constraints, {}, 1.0)
        last_end = max(end for _, _, end in steps)
        self.assertEqual((len(steps), last_end, min_capacity), (6, 33.0, 400.0))


class StagedRolloutTest(unittest.TestCase):
    def test_stage_limits_grow_and_only_a_significant_gap_is_a_regression(self) -> None:
        self.assertEqual([rollout_limit(completed) for completed in (0, 1, 4, 5, 24)], [1, 5, 5, 25, 25])
        self.assertGreater(rollout_limit(25), 1000)
        for completed, untouched, is_worse in [
            ((975, 1000), (9900, 10_000), True),
            ((988, 1000), (9900, 10_000), False),
            ((100, 190), (9900, 10_000), False),
            ((1000, 1000), (9000, 10_000), False),
        ]:
            found = regression(AnswerCounts(*completed), AnswerCounts(*untouched))
            self.assertEqual(bool(found), is_worse, (completed, untouched))
