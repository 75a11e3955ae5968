"""Maintenance: constraints, permits, planner, rollout, replicated state, and simulated days."""

from __future__ import annotations

import unittest
from typing import Any

from landingshift.consensus.state_machines import StateMachineRegistry, encode_entry
from landingshift.maintenance.capacity_constraints import (
    CapacityConstraints,
    DisruptionBudget,
    Machine,
    MachineFacts,
)
from landingshift.maintenance.commands import (
    AddRequests,
    ChangeState,
    Command,
    ForgetMachine,
    IssuePermit,
    RecordDemand,
    RegisterMachine,
    SetPause,
)
from landingshift.maintenance.coordinator import CoordinatorSettings, MaintenanceCoordinator
from landingshift.maintenance.demand_forecast import (
    BUCKET_MS,
    QUARTER_MS,
    DailyDemandProfile,
    DemandTrend,
    forecast_demand,
)
from landingshift.maintenance.errors import InvalidMessageError, InvalidTransitionError, StalePermitError
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.permit import LeavePermit
from landingshift.maintenance.planner import (
    dry_run,
    permits_to_withhold,
    rejection_reason,
    rounds_needed,
    select_next,
)
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.requests import TRANSITIONS, MaintenanceRequest, RequestState
from landingshift.maintenance.schedule_bounds import duration_lower_bound_ms
from landingshift.maintenance.staged_rollout import AnswerCounts, regression, rollout_limit
from landingshift.maintenance.storage import decode_command, encode_command
from landingshift.maintenance.wire import decode_message, encode_answer, encode_report
from landingshift.testbed.experiments.maintenance import VIRTUAL_ROWS, play_virtual_row
from landingshift.testbed.simulation.maintenance_fleet import SimulatedFleet
from tests.golden_files import golden_json

NO_BUDGET = DisruptionBudget(0.0, 0.0, 0.0, 0.0)
STATUS = ServerStatus(
    capacity=100.0,
    model="a",
    serves_critical_methods=False,
    warm_fraction=1.0,
    rpcs_per_second=0.0,
    ok_count=0.0,
    answered_count=0.0,
)


def fleet_of(count: int, **attributes: Any) -> list[Machine]:
    return [
        Machine(f"n{index}", 100.0, f"z{index % 2}", f"m{index % 3}", **attributes) for index in range(count)
    ]


def requests_for(*names: str, **attributes: Any) -> dict[str, MaintenanceRequest]:
    return {name: MaintenanceRequest(name, 10.0, 0.0, **attributes) for name in names}


def reloaded(state: MaintenanceState) -> MaintenanceState:
    copy = MaintenanceState()
    copy.restore(state.snapshot())
    return copy


def started_fleet(count: int, outage_minutes: float, peak_load: float, steps: int = 10) -> SimulatedFleet:
    fleet = SimulatedFleet(1, count, zones=2, warm_up_ms=1000.0)
    fleet.outage_minutes = outage_minutes
    fleet.peak_load = peak_load
    run(fleet, steps)
    return fleet


def run(fleet: SimulatedFleet, steps: int) -> None:
    for _ in range(steps):
        fleet.step()


class CapacityConstraintsTest(unittest.TestCase):
    def test_names_the_first_constraint_that_is_violated(self) -> None:
        voters = [Machine(f"n{index}", 100.0, is_voter=index < 5) for index in range(8)]
        critical = fleet_of(6, serves_critical_methods=True)
        for machines, budget, demand, unavailable, violation in [
            (fleet_of(6), NO_BUDGET, 500.0, {"n0": 1.0}, ""),
            (fleet_of(6), NO_BUDGET, 500.0, {"n0": 1.0, "n1": 0.5}, "the whole: 450 of 500"),
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
            (voters, NO_BUDGET, 0.0, {"n0": 1.0, "n7": 1.0}, ""),
            # A majority, and none to spare.
            (voters, NO_BUDGET, 0.0, {"n0": 1.0, "n1": 1.0}, "voters: 3 of 4"),
        ]:
            with self.subTest(unavailable=unavailable, budget=budget):
                constraints = CapacityConstraints(machines, budget, demand)
                self.assertEqual(constraints.violation(unavailable), violation)

    def test_margins_without_a_few_agree_with_all_constraints(self) -> None:
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


class TransitionsTest(unittest.TestCase):
    def test_only_the_transitions_of_the_table_are_legal(self) -> None:
        for current in RequestState:
            for new in RequestState:
                request = MaintenanceRequest("n0", 1.0, 0.0, state=current, permit_number=3)
                if (current, new) in TRANSITIONS:
                    request.transition(new, 3)
                    self.assertIs(request.state, new)
                else:
                    with self.assertRaises(InvalidTransitionError):
                        request.transition(new, 3)

    def test_a_machine_moves_by_the_permit_in_force_only(self) -> None:
        request = MaintenanceRequest("n0", 1.0, 0.0, state=RequestState.PERMITTED, permit_number=4)
        with self.assertRaises(StalePermitError):
            request.transition(RequestState.DRAINING, 3)
        request.transition(RequestState.DRAINING, 4)

    def test_a_permit_expires_by_the_machines_own_clock(self) -> None:
        permit = LeavePermit()
        self.assertFalse(permit.is_valid(0.0))
        self.assertTrue(permit.offer(5, 100.0, 1000.0))
        self.assertTrue(permit.is_valid(1099.0))
        self.assertFalse(permit.is_valid(1100.0))  # it stalled past the expiry
        self.assertTrue(permit.offer(5, 2000.0, 1000.0))  # offered again
        self.assertTrue(permit.is_valid(2500.0))
        self.assertFalse(permit.offer(4, 2600.0, 1000.0))  # delivered late
        permit.mark_used()
        self.assertFalse(permit.offer(5, 2700.0, 1000.0))  # delivered twice
        self.assertFalse(permit.is_valid(2750.0))


class DemandForecastTest(unittest.TestCase):
    def trend_of(self, *means: float) -> DemandTrend:
        trend = DemandTrend()
        for bucket, mean in enumerate(means):
            trend.record(5e6 + bucket * BUCKET_MS, mean)
        return trend

    def test_the_trend_of_the_last_minutes_is_extrapolated_with_care(self) -> None:
        flat = [100.0] * 10
        rise = [100.0 + 10.0 * bucket for bucket in range(10)]
        uneven = [100.0, 140.0, 90.0, 150.0, 110.0, 160.0]
        for means, horizon_ms, low, high in [
            ([], 60_000.0, 0.0, 0.0),
            (rise[:3], 60_000.0, 0.0, 0.0),  # three points are no trend
            (flat, 600_000.0, 100.0, 100.0),
            (rise, 3 * BUCKET_MS, 219.0, 221.0),
            (rise, 1e9, 279.0, 281.0),  # no further ahead than it looks back
            (rise[::-1], 600_000.0, 99.0, 101.0),  # a fall is not extrapolated
            (uneven, 2 * BUCKET_MS, 160.0, 230.0),  # uncertain: taken higher
        ]:
            with self.subTest(means=means, horizon_ms=horizon_ms):
                found = self.trend_of(*means).forecast(horizon_ms)
                self.assertTrue(low <= found <= high, found)

    def test_the_trend_forgets_what_is_too_old_and_what_a_pause_left_out(self) -> None:
        trend = self.trend_of(*[900.0] * 10)
        for bucket in range(100, 110):
            trend.record(5e6 + bucket * BUCKET_MS, 50.0)
        self.assertAlmostEqual(trend.forecast(600_000.0), 50.0)

    def test_the_day_before_is_scaled_as_today_is_to_it(self) -> None:
        profile = DailyDemandProfile()
        for quarter, peak in ((10, 100.0), (11, 300.0), (12, 50.0)):
            profile.record(quarter, peak)
        wall_ms = 10.0 * QUARTER_MS
        for at_ms, horizon_ms, current, expected in [
            (wall_ms, 0.0, 100.0, 0.0),
            (wall_ms, 60_000.0, 100.0, 100.0),
            (wall_ms, QUARTER_MS, 100.0, 300.0),
            (wall_ms, QUARTER_MS, 120.0, 360.0),  # a fifth more than the day before
            (wall_ms, QUARTER_MS, 1000.0, 600.0),  # at most twice
            (wall_ms, QUARTER_MS, 1.0, 150.0),  # at least half
            (wall_ms + QUARTER_MS, QUARTER_MS, 300.0, 300.0),
            (wall_ms + 5 * QUARTER_MS, QUARTER_MS, 300.0, 0.0),  # nothing was recorded
        ]:
            with self.subTest(at_ms=at_ms, horizon_ms=horizon_ms, current=current):
                self.assertAlmostEqual(profile.forecast(at_ms, horizon_ms, current), expected)
        unknown_ms = wall_ms + 5 * QUARTER_MS
        self.assertEqual(forecast_demand(DemandTrend(), profile, 5.0, unknown_ms, QUARTER_MS), 5.0)

    def test_nobody_leaves_into_a_morning_that_the_profile_knows(self) -> None:
        fleet = started_fleet(10, outage_minutes=10.0, peak_load=0.4, steps=12)  # a third of it now
        quarter = DailyDemandProfile.quarter_of_day(fleet.now_ms)
        current = fleet.coordinator.fleet.current_demand(fleet.now_ms)
        for other in range(96):
            peak = 7.0 * current if other == quarter + 1 else current
            fleet.state.demand_profile.record(other, peak)
        fleet.now_ms += 0.6 * QUARTER_MS - fleet.now_ms % QUARTER_MS
        fleet.coordinator.leader_since_ms = fleet.now_ms - 10_000.0
        fleet.request_maintenance(["n7"])
        run(fleet, 6)
        self.assertGreater(fleet.coordinator.expected_demand(), 6.0 * current)
        self.assertIs(fleet.state.requests["n7"].state, RequestState.REQUESTED)
        self.assertIn("the whole", fleet.coordinator.waiting_reason)
        self.assertEqual(reloaded(fleet.state).demand_profile.peaks, fleet.state.demand_profile.peaks)


class LeaderWithoutConsensus:
    """An environment that always leads and proposes nothing."""

    def propose(self, _command: Command) -> bool:
        return False

    def is_leader(self, _now_ms: float) -> bool:
        return True

    def has_left(self, _name: str) -> bool:
        return False

    def known_machines(self) -> set[str]:
        return set()

    def wall_clock_ms(self) -> float:
        return 1.0


class NewLeadersTest(unittest.TestCase):
    def test_a_leader_that_never_heard_of_the_lost_counts_them_all_the_same(self) -> None:
        # Two of five voters and a zone are down when it is elected: those that report lack nothing.
        fleet = started_fleet(12, outage_minutes=0.5, peak_load=0.3)
        self.assertEqual(set(fleet.state.machines), set(fleet.machines))
        for name in ("n1", "n3"):
            fleet.crash(name, 60_000.0)
        fleet.coordinator = fleet.elect_leader()
        fleet.coordinator.fleet.voters = [f"n{index}" for index in range(5)]
        fleet.request_maintenance(["n9"])
        run(fleet, 30)
        self.assertIs(fleet.state.requests["n9"].state, RequestState.REQUESTED)
        self.assertIn("voters: 3 of 4", fleet.coordinator.waiting_reason)
        run(fleet, 300)
        self.assertEqual(fleet.state.requests, {})

    def test_a_new_leader_offers_no_permit_before_it_has_evaluated_the_constraints(self) -> None:
        # Issued by a leader that died with its zone: the next one must not offer it at the first report.
        state = MaintenanceState()
        request = MaintenanceRequest("n9", 0.5, 0.0, not_after_ms=1e18)
        state.apply(encode_command(AddRequests((request,))))
        state.apply(encode_command(IssuePermit("n9", 7, 0.0)))
        coordinator = MaintenanceCoordinator(state, CoordinatorSettings(), LeaderWithoutConsensus())
        coordinator.step(0.0)
        for now_ms, valid_ms in [(10.0, 0.0), (2900.0, 0.0), (3400.0, 3000.0)]:
            with self.subTest(now_ms=now_ms):
                coordinator.step(now_ms)
                answer = coordinator.on_report(Machine("n9", 100.0), 7, LoadReport(4, STATUS, 0, 0), now_ms)
                self.assertEqual(answer, ReportAnswer(4, "permitted", 1, valid_ms))

    def test_the_state_keeps_machines_and_forgets_those_that_membership_forgot(self) -> None:
        fleet = started_fleet(12, outage_minutes=10.0, peak_load=0.75)
        self.assertEqual(reloaded(fleet.state).machines["n4"], MachineFacts(100.0, "z0", "b", True))
        del fleet.machines["n11"], fleet.coordinator.fleet.reports["n11"]
        fleet.request_maintenance(["n1"])
        run(fleet, 20)
        self.assertNotIn("n11", fleet.state.machines)


class PlannerTest(unittest.TestCase):
    def test_selects_by_priority_within_the_constraints(self) -> None:
        for requests, lost, names in [
            (requests_for("n0", "n1", "n2"), {}, ["n0", "n1"]),  # two of four, zones in turn
            (requests_for("n0", "n2", "n1"), {}, ["n0", "n1"]),
            (requests_for("n0", "n1") | requests_for("n2", urgency=2.0), {}, ["n2", "n1"]),
            (requests_for("n0", "n1"), {"n3": 1.0}, ["n0"]),  # a crash counts against the same budget
            (requests_for("n0", "n1"), {"n2": 1.0, "n3": 1.0}, []),
            (requests_for("n0", "n1", "n2", group="g"), {}, []),  # as a whole or not at all
            (requests_for("n0", "n1", group="g"), {}, ["n0", "n1"]),
            (requests_for("n0", is_exclusive=True, urgency=2.0) | requests_for("n1"), {}, ["n0"]),
            (requests_for("n0", not_before_ms=5.0), {}, []),
            (requests_for("n9"), {}, []),
        ]:
            with self.subTest(requests=list(requests), lost=lost):
                constraints = CapacityConstraints(fleet_of(4), NO_BUDGET, 200.0)
                self.assertEqual(select_next(requests, constraints, lost, 1.0), names)

    def test_machines_whose_limit_needs_most_rounds_leave_first(self) -> None:
        # One of five voters may be out, so that they take five rounds: begun last, they would end all.
        machines = [Machine(f"n{index}", 100.0, f"z{index % 2}", is_voter=index > 4) for index in range(10)]
        constraints = CapacityConstraints(machines, DisruptionBudget(0.0, 0.2, 0.0, 0.0), 0.0)
        names = [machine.name for machine in machines]
        self.assertEqual(rounds_needed(names, constraints)["n7"], 5.0)
        self.assertEqual(rounds_needed(names, constraints)["n0"], 2.0)
        self.assertEqual(select_next(requests_for(*names), constraints, {}, 1.0)[0], "n5")
        self.assertEqual(duration_lower_bound_ms(lambda _: constraints, 10.0, 1.0, 1.0), 51.0)

    def test_a_wall_clock_that_was_set_back_reverses_no_order(self) -> None:
        # Negative ages made the most urgent the last.
        requests = requests_for("n0") | requests_for("n1", urgency=9.0)
        for request in requests.values():
            request.requested_at_ms = 3.6e6
        constraints = CapacityConstraints(fleet_of(4), NO_BUDGET, 300.0)
        self.assertEqual(select_next(requests, constraints, {}, 0.0), ["n1"])

    def test_an_exclusive_request_is_not_passed_over_for_ever(self) -> None:
        requests = requests_for("n0", is_exclusive=True, urgency=2.0) | requests_for("n1", "n2")
        requests["n2"].state = RequestState.OUT_OF_SERVICE
        constraints = CapacityConstraints(fleet_of(4), NO_BUDGET, 100.0)
        self.assertEqual(select_next(requests, constraints, {}, 1.0), [])

    def test_rejects_what_can_never_be_met_and_not_what_can_later(self) -> None:
        constraints = CapacityConstraints(fleet_of(4), DisruptionBudget(0.0, 0.9, 0.0, 0.0), 0.0)
        known = MaintenanceRequest("n0", 1.0, 0.0)
        unknown = MaintenanceRequest("x", 1.0, 0.0)
        expired = MaintenanceRequest("n0", 1.0, 0.0, not_after_ms=5.0)
        self.assertIn("zone z0", rejection_reason(known, constraints, 0.0))
        self.assertIn("no such machine", rejection_reason(unknown, constraints, 0.0))
        # A leader that was elected while a zone was down rejected for good what only had to wait for it.
        self.assertEqual(rejection_reason(unknown, constraints, 0.0, is_known=True), "")
        self.assertEqual(rejection_reason(known, constraints, 0.0, is_fleet_complete=False), "")
        self.assertIn("over", rejection_reason(expired, constraints, 6.0))
        busy = CapacityConstraints(fleet_of(4), NO_BUDGET, 400.0)  # no room at this demand: it waits
        self.assertEqual(rejection_reason(known, busy, 0.0), "")

    def test_under_overload_the_youngest_permits_are_withheld_and_no_drain_is_stopped(self) -> None:
        requests = requests_for("n0", "n1", "n2")
        states = (RequestState.DRAINING, RequestState.PERMITTED, RequestState.PERMITTED)
        for number, (request, state) in enumerate(zip(requests.values(), states, strict=True), 1):
            request.state = state
            request.permit_number = number
        for demand, withheld in [(200.0, ["n2"]), (400.0, ["n2", "n1"])]:
            constraints = CapacityConstraints(fleet_of(4), NO_BUDGET, demand)
            self.assertEqual(permits_to_withhold(requests, constraints, {}), withheld)

    def test_a_dry_run_ends_and_keeps_the_constraints(self) -> None:
        requests = requests_for(*[f"n{index}" for index in range(6)])
        constraints = CapacityConstraints(fleet_of(6), NO_BUDGET, 400.0)
        steps, min_capacity = dry_run(requests, constraints, {}, 1.0)
        last_end = max(end for _, _, end in steps)
        self.assertEqual((len(steps), last_end, min_capacity), (6, 33.0, 400.0))


class StagedRolloutTest(unittest.TestCase):
    def test_stage_sizes_and_regression(self) -> None:
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


class ReplicatedStateTest(unittest.TestCase):
    def test_one_permit_has_one_holder_and_numbers_only_grow(self) -> None:
        state = MaintenanceState()
        requests = tuple(MaintenanceRequest(name, 1.0, 0.0, not_after_ms=1e300) for name in "ab")
        commands: list[Command] = [
            AddRequests(requests),
            IssuePermit("a", 7, 0.0),
            IssuePermit("a", 8, 0.0),
            IssuePermit("b", 9, 0.0),
            IssuePermit("c", 9, 0.0),
            ChangeState("a", 1, RequestState.DRAINING, "", 0.0),
            ChangeState("a", 9, RequestState.OUT_OF_SERVICE, "", 0.0),
            ChangeState("b", 2, RequestState.COMPLETED, "", 0.0),
            ChangeState("b", 2, RequestState.REQUESTED, "taken back", 0.0),
            IssuePermit("b", 9, 0.0),
            SetPause("stop"),
        ]
        for command in commands:
            state.apply(encode_command(command))
        found = {name: (request.state, request.permit_number) for name, request in state.requests.items()}
        self.assertEqual(found, {"a": (RequestState.DRAINING, 1), "b": (RequestState.PERMITTED, 3)})
        self.assertEqual(state.permitted_runs, {"a": 7, "b": 9})
        self.assertEqual((state.last_permit_number, state.pause_reason), (3, "stop"))
        self.assertEqual(reloaded(state).snapshot(), state.snapshot())

    def test_a_shelf_keeps_what_is_of_books_that_are_not_here(self) -> None:
        class Plain:
            def __init__(self) -> None:
                self.had: list[bytes] = []

            def apply(self, data: bytes) -> None:
                self.had.append(data)

            def snapshot(self) -> bytes:
                return b"|".join(self.had)

            def restore(self, state: bytes) -> None:
                self.had = state.split(b"|") if state else []

        full, half = StateMachineRegistry(), StateMachineRegistry()
        for shelf in (full, half):
            shelf.register("first", Plain())
        full.register("other", Plain())
        for word in range(3):
            for shelf in (full, half):
                shelf.apply(encode_entry("other", word))
                shelf.apply(b"")
        late = StateMachineRegistry()
        late.register("first", Plain())
        late.restore(half.snapshot())
        other = Plain()
        late.register("other", other)
        self.assertEqual(other.had, [encode_entry("other", word) for word in range(3)])


class StoredAndSentFormsTest(unittest.TestCase):
    def test_each_command_is_encoded_as_it_was_decoded(self) -> None:
        entries = golden_json("replicated_states.json")["work entries"]
        commands = [decode_command(data) for data in entries]
        kinds = {type(command) for command in commands}
        self.assertEqual(
            kinds,
            {AddRequests, ChangeState, ForgetMachine, IssuePermit, RecordDemand, RegisterMachine, SetPause},
        )
        self.assertEqual([encode_command(command) for command in commands if command], entries)

    def test_commands_of_another_build_are_skipped(self) -> None:
        state = MaintenanceState()
        before = state.snapshot()
        for words in (["unknown", 1], ["hold", 5], ["permit", "a"]):
            state.apply(encode_entry("upkeep", *words))
        self.assertEqual(state.snapshot(), before)

    def test_messages_are_lists_of_words(self) -> None:
        report = LoadReport(4, STATUS, 2, 1)
        body = ["at", 4, 100.0, "a", False, 1.0, 0.0, 2, 1, 0.0, 0.0]
        self.assertEqual(encode_report(report), body)
        self.assertEqual(decode_message(body), report)
        answer = ReportAnswer(4, "permitted", 7, 3000.0)
        self.assertEqual(encode_answer(answer), ["told", 4, "permitted", 7, 3000.0])
        self.assertEqual(decode_message(encode_answer(answer)), answer)
        for wrong in ([], ["at"], ["told", 4, "permitted", 7, "3000"], body[:-1]):
            with self.subTest(wrong=wrong), self.assertRaises(InvalidMessageError):
                decode_message(wrong)


class SimulatedDaysTest(unittest.TestCase):
    def test_no_row_finds_a_violation(self) -> None:
        for name in VIRTUAL_ROWS:
            with self.subTest(name=name):
                row = play_virtual_row(name, 15, 1, "")
                self.assertEqual(row.broken, [], row.figures)

    def test_a_removed_defence_is_found(self) -> None:
        for without, name in [("floor", "floor_kept"), ("end", "late_word")]:
            with self.subTest(without=without):
                self.assertNotEqual(play_virtual_row(name, 15, 1, without).broken, [])
