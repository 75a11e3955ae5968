"""Work on machines: floors, stages, permissions, the order, rings, the book; days in virtual time."""

from __future__ import annotations

import unittest
from typing import Any

from landingshift.consensus.state_machines import StateMachineRegistry, encode_entry
from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.coordinator import CoordinatorSettings, MaintenanceCoordinator
from landingshift.maintenance.demand_forecast import QUARTER, WIDTH, DailyDemandProfile, DemandTrend, expected
from landingshift.maintenance.planner import (
    dry_run,
    duration_lower_bound_ms,
    permits_to_withhold,
    refusal_reason,
    rounds_needed,
    select_next,
)
from landingshift.maintenance.replicated_state import MaintenanceState, command
from landingshift.maintenance.requests import (
    TRANSITIONS,
    InvalidTransitionError,
    LeavePermit,
    MaintenanceRequest,
    RequestState,
)
from landingshift.maintenance.staged_rollout import AnswerCounts, allowed, worse
from landingshift.testbed.experiments.maintenance import VIRTUAL, Day, virtual

NONE = DisruptionBudget(0.0, 0.0, 0.0, 0.0)


def fleet(count: int, **how: Any) -> list[Machine]:
    return [Machine(f"n{i}", 100.0, f"z{i % 2}", f"m{i % 3}", **how) for i in range(count)]


def wishes(*names: str, **how: Any) -> dict[str, MaintenanceRequest]:
    return {n: MaintenanceRequest(n, 10.0, 0.0, **how) for n in names}


class Floors(unittest.TestCase):
    def test_what_may_be_out(self) -> None:
        voters = [Machine(f"n{i}", 100.0, voter=i < 5) for i in range(8)]
        for machines, needs, demand, out, broken in [
            (fleet(6), NONE, 500.0, {"n0": 1.0}, ""),
            (fleet(6), NONE, 500.0, {"n0": 1.0, "n1": 0.5}, "the whole: 450 of 500"),
            (fleet(6), DisruptionBudget(0.1, 0.0, 0.0, 0.0), 500.0, {"n0": 1.0}, "the whole: 500 of 550"),
            (
                fleet(6),
                DisruptionBudget(0.0, 0.5, 0.0, 0.0),
                0.0,
                {"n0": 1.0, "n2": 1.0},
                "zone z0: 100 of 150",
            ),
            (fleet(6), DisruptionBudget(0.0, 0.0, 0.6, 0.0), 0.0, {"n0": 1.0}, "model m0: 100 of 120"),
            (
                fleet(6, best=True),
                DisruptionBudget(0.0, 0.0, 0.0, 0.9),
                0.0,
                {"n0": 1.0},
                "the best methods: 500 of 540",
            ),
            (voters, NONE, 0.0, {"n0": 1.0, "n7": 1.0}, ""),
            (voters, NONE, 0.0, {"n0": 1.0, "n1": 1.0}, "voters: 3 of 4"),  # a majority, and none to spare
        ]:
            with self.subTest(out=out, needs=needs):
                self.assertEqual(CapacityConstraints(machines, needs, demand).broken(out), broken)

    def test_margins_of_a_few_say_the_same_as_all(self) -> None:
        floor = CapacityConstraints(fleet(8), DisruptionBudget(0.0, 0.5, 0.3, 0.0), 300.0)
        for out, names in [
            ({}, ["n0", "n2"]),
            ({"n1": 1.0}, ["n3", "n5"]),
            ({"n0": 0.5}, ["n0"]),
            ({}, ["n0", "n2", "n4"]),
        ]:
            after = floor.also(floor.margins(out), out, names)
            self.assertEqual(after is None, bool(floor.broken(out | dict.fromkeys(names, 1.0))))


class Stages(unittest.TestCase):
    def test_only_the_moves_of_the_table(self) -> None:
        for of in RequestState:
            for to in RequestState:
                wish = MaintenanceRequest("n0", 1.0, 0.0, stage=of, number=3)
                if (of, to) in TRANSITIONS:
                    wish.move(to, 3)
                    self.assertIs(wish.stage, to)
                else:
                    with self.assertRaises(InvalidTransitionError):
                        wish.move(to, 3)

    def test_a_machine_moves_by_the_permission_in_force_only(self) -> None:
        wish = MaintenanceRequest("n0", 1.0, 0.0, stage=RequestState.PERMITTED, number=4)
        with self.assertRaises(InvalidTransitionError):
            wish.move(RequestState.DRAINING, 3)
        wish.move(RequestState.DRAINING, 4)

    def test_a_permission_ends_by_the_machines_own_clock(self) -> None:
        leave = LeavePermit()
        self.assertFalse(leave.may_go(0.0))
        self.assertTrue(leave.granted(5, 100.0, 1000.0))
        self.assertTrue(leave.may_go(1099.0))
        self.assertFalse(leave.may_go(1100.0))  # it stood still past the end
        self.assertTrue(leave.granted(5, 2000.0, 1000.0))  # offered again
        self.assertTrue(leave.may_go(2500.0))
        self.assertFalse(leave.granted(4, 2600.0, 1000.0))  # delivered late
        leave.used()
        self.assertFalse(leave.granted(5, 2700.0, 1000.0))  # delivered twice
        self.assertFalse(leave.may_go(2750.0))


class Forecast(unittest.TestCase):
    def line(self, *means: float, width: float = WIDTH) -> DemandTrend:
        line = DemandTrend()
        for i, mean in enumerate(means):
            line.add(5e6 + i * width, mean)
        return line

    def test_the_line_of_the_last_minutes(self) -> None:
        flat, rise = [100.0] * 10, [100.0 + 10.0 * i for i in range(10)]
        for means, ahead, low, high in [
            ([], 60_000.0, 0.0, 0.0),
            (rise[:3], 60_000.0, 0.0, 0.0),  # three points are no line
            (flat, 600_000.0, 100.0, 100.0),
            (rise, 3 * WIDTH, 219.0, 221.0),
            (rise, 1e9, 279.0, 281.0),  # no further ahead than it was looked back
            (rise[::-1], 600_000.0, 99.0, 101.0),  # a fall is no promise
            ([100.0, 140.0, 90.0, 150.0, 110.0, 160.0], 2 * WIDTH, 160.0, 230.0),  # uneven: taken higher
        ]:
            with self.subTest(means=means, ahead=ahead):
                found = self.line(*means).ahead(ahead)
                self.assertTrue(low <= found <= high, found)

    def test_the_line_forgets_what_is_too_old_and_what_a_pause_left_out(self) -> None:
        line = self.line(*[900.0] * 10)
        for i in range(100, 110):
            line.add(5e6 + i * WIDTH, 50.0)
        self.assertAlmostEqual(line.ahead(600_000.0), 50.0)

    def test_the_day_before_as_today_is_to_it(self) -> None:
        shape = DailyDemandProfile()
        for quarter, most in ((10, 100.0), (11, 300.0), (12, 50.0)):
            shape.seen(quarter, most)
        wall = 10.0 * QUARTER
        for at, ms, now, want in [
            (wall, 0.0, 100.0, 0.0),
            (wall, 60_000.0, 100.0, 100.0),
            (wall, QUARTER, 100.0, 300.0),
            (wall, QUARTER, 120.0, 360.0),  # a fifth more than the day before
            (wall, QUARTER, 1000.0, 600.0),  # at most twice
            (wall, QUARTER, 1.0, 150.0),  # at least half
            (wall + QUARTER, QUARTER, 300.0, 300.0),
            (wall + 5 * QUARTER, QUARTER, 300.0, 0.0),  # nobody has seen it
        ]:
            with self.subTest(at=at, ms=ms, now=now):
                self.assertAlmostEqual(shape.ahead(at, ms, now), want)
        self.assertEqual(expected(DemandTrend(), shape, 5.0, wall + 5 * QUARTER, QUARTER), 5.0)

    def test_nobody_goes_into_a_morning_that_the_book_knows(self) -> None:
        day = Day(1, 10, zones=2, cold=1000.0)
        day.minutes, day.peak = 10.0, 0.4  # a third of it now
        for _ in range(12):
            day.step()
        quarter = DailyDemandProfile.quarter(day.now)
        now = day.coordinator.asked_for()
        for some in range(96):
            day.state.shape.seen(some, 7.0 * now if some == quarter + 1 else now)
        day.now += 0.6 * QUARTER - day.now % QUARTER
        day.coordinator.since = day.now - 10_000.0
        day.wish(["n7"])
        for _ in range(6):
            day.step()
        self.assertGreater(day.coordinator.demand(), 6.0 * now)
        self.assertIs(day.state.requests["n7"].stage, RequestState.WISHED)
        self.assertIn("the whole", day.coordinator.why)
        book = MaintenanceState()
        book.restore(day.state.snapshot())
        self.assertEqual(book.shape.most, day.state.shape.most)


class NewLeaders(unittest.TestCase):
    def test_one_that_never_heard_of_the_lost_counts_them_all_the_same(self) -> None:
        # Two of five voters and a zone are down when it is chosen: of those that report nothing seems amiss.
        day = Day(1, 12, zones=2, cold=1000.0)
        day.minutes, day.peak = 0.5, 0.3
        for _ in range(10):
            day.step()
        self.assertEqual(set(day.state.machines), set(day.servers))
        for name in ("n1", "n3"):
            day.crash(name, 60_000.0)
        day.coordinator = day.lead()
        day.coordinator.voters = [f"n{i}" for i in range(5)]
        day.wish(["n9"])
        for _ in range(30):
            day.step()
        self.assertIs(day.state.requests["n9"].stage, RequestState.WISHED)
        self.assertIn("voters: 3 of 4", day.coordinator.why)
        for _ in range(300):
            day.step()
        self.assertEqual(day.state.requests, {})

    def test_a_new_leader_offers_nothing_again_before_it_knows_who_is_there(self) -> None:
        # Allowed by a leader that died with its zone: the next one offered it again at the first report.
        book = MaintenanceState()
        book.apply(command("wish", [["n9", 0.5, 0.0, 1.0, 0.0, 1e18, False, ""]]))
        book.apply(command("permit", "n9", 7, 0.0))
        nobody: set[str] = set()
        coordinator = MaintenanceCoordinator(
            book, CoordinatorSettings(), lambda _: None, lambda _: True, lambda _: False,
            lambda: nobody, lambda: 1.0, print
        )  # fmt: skip
        coordinator.step(0.0)
        for now, lasts in [(10.0, 0.0), (2900.0, 0.0), (3400.0, 3000.0)]:
            with self.subTest(now=now):
                coordinator.step(now)
                told = coordinator.hear(Machine("n9", 100.0), 7, [1.0, 0.0, 0, 0, 0.0, 0.0], now)
                self.assertEqual(told, ["permitted", 1, lasts])

    def test_the_book_keeps_machines_and_forgets_those_that_the_fleet_forgot(self) -> None:
        day = Day(1, 12, zones=2, cold=1000.0)
        for _ in range(10):
            day.step()
        book = MaintenanceState()
        book.restore(day.state.snapshot())
        self.assertEqual(book.machines["n4"], (100.0, "z0", "b", True))
        del day.servers["n11"], day.coordinator.reports["n11"]
        day.wish(["n1"])
        for _ in range(20):
            day.step()
        self.assertNotIn("n11", day.state.machines)


class Order(unittest.TestCase):
    def test_who_goes_next(self) -> None:
        for machines, wanted, lost, names in [
            (fleet(4), wishes("n0", "n1", "n2"), {}, ["n0", "n1"]),  # two of four, zones in turn
            (fleet(4), wishes("n0", "n2", "n1"), {}, ["n0", "n1"]),
            (fleet(4), wishes("n0", "n1") | wishes("n2", urgency=2.0), {}, ["n2", "n1"]),
            (fleet(4), wishes("n0", "n1"), {"n3": 1.0}, ["n0"]),  # a crash takes from the same allowance
            (fleet(4), wishes("n0", "n1"), {"n2": 1.0, "n3": 1.0}, []),
            (fleet(4), wishes("n0", "n1", "n2", group="g"), {}, []),  # whole or not at all
            (fleet(4), wishes("n0", "n1", group="g"), {}, ["n0", "n1"]),
            (fleet(4), wishes("n0", alone=True, urgency=2.0) | wishes("n1"), {}, ["n0"]),
            (fleet(4), wishes("n0", not_before=5.0), {}, []),
            (fleet(4), wishes("n9"), {}, []),
        ]:
            with self.subTest(wanted=list(wanted), lost=lost):
                found = select_next(wanted, CapacityConstraints(machines, NONE, 200.0), lost, 1.0)
                self.assertEqual(found, names)

    def test_those_whose_floor_takes_most_rounds_go_first_and_none_is_counted_out_of_turn(self) -> None:
        # One of five voters may be out, so that they take five rounds: begun last, they would end all.
        machines = [Machine(f"n{i}", 100.0, f"z{i % 2}", voter=i > 4) for i in range(10)]
        floor = CapacityConstraints(machines, DisruptionBudget(0.0, 0.2, 0.0, 0.0), 0.0)
        names = [m.name for m in machines]
        self.assertEqual(rounds_needed(names, floor)["n7"], 5.0)
        self.assertEqual(rounds_needed(names, floor)["n0"], 2.0)
        self.assertEqual(select_next(wishes(*names), floor, {}, 1.0)[0], "n5")
        self.assertEqual(duration_lower_bound_ms(lambda _: floor, 10.0, 1.0, 1.0), 51.0)

    def test_a_wall_clock_that_was_set_back_turns_no_order_round(self) -> None:
        # Ages below nothing made the most urgent the last.
        wanted = wishes("n0") | wishes("n1", urgency=9.0)
        for wish in wanted.values():
            wish.since = 3.6e6
        self.assertEqual(select_next(wanted, CapacityConstraints(fleet(4), NONE, 300.0), {}, 0.0), ["n1"])

    def test_one_who_must_be_alone_is_not_passed_over_for_ever(self) -> None:
        wanted = wishes("n0", alone=True, urgency=2.0) | wishes("n1", "n2")
        wanted["n2"].stage = RequestState.OUT
        self.assertEqual(select_next(wanted, CapacityConstraints(fleet(4), NONE, 100.0), {}, 1.0), [])

    def test_what_can_never_be_met_is_refused_and_what_can_later_is_not(self) -> None:
        floor = CapacityConstraints(fleet(4), DisruptionBudget(0.0, 0.9, 0.0, 0.0), 0.0)
        self.assertIn("zone z0", refusal_reason(MaintenanceRequest("n0", 1.0, 0.0), floor, 0.0))
        self.assertIn("no such machine", refusal_reason(MaintenanceRequest("x", 1.0, 0.0), floor, 0.0))
        # A leader that was chosen while a zone was down refused for good what only had to wait for it.
        self.assertEqual(refusal_reason(MaintenanceRequest("x", 1.0, 0.0), floor, 0.0, known=True), "")
        self.assertEqual(refusal_reason(MaintenanceRequest("n0", 1.0, 0.0), floor, 0.0, whole=False), "")
        self.assertIn("over", refusal_reason(MaintenanceRequest("n0", 1.0, 0.0, not_after=5.0), floor, 6.0))
        busy = CapacityConstraints(fleet(4), NONE, 400.0)  # no room at this demand: it waits
        self.assertEqual(refusal_reason(MaintenanceRequest("n0", 1.0, 0.0), busy, 0.0), "")

    def test_under_overload_the_youngest_permissions_are_taken_back_and_no_drain(self) -> None:
        wanted = wishes("n0", "n1", "n2")
        for number, (wish, stage) in enumerate(
            zip(
                wanted.values(),
                (RequestState.DRAINING, RequestState.PERMITTED, RequestState.PERMITTED),
                strict=True,
            ),
            1,
        ):
            wish.stage, wish.number = stage, number
        self.assertEqual(permits_to_withhold(wanted, CapacityConstraints(fleet(4), NONE, 200.0), {}), ["n2"])
        self.assertEqual(
            permits_to_withhold(wanted, CapacityConstraints(fleet(4), NONE, 400.0), {}), ["n2", "n1"]
        )

    def test_a_dry_run_ends_and_keeps_the_floor(self) -> None:
        steps, least = dry_run(
            wishes(*[f"n{i}" for i in range(6)]), CapacityConstraints(fleet(6), NONE, 400.0), {}, 1.0
        )
        self.assertEqual((len(steps), max(end for _, _, end in steps), least), (6, 33.0, 400.0))


class Rings(unittest.TestCase):
    def test_sizes_and_verdict(self) -> None:
        self.assertEqual([allowed(n) for n in (0, 1, 4, 5, 24)], [1, 5, 5, 25, 25])
        self.assertGreater(allowed(25), 1000)
        for touched, rest, bad in [
            ((975, 1000), (9900, 10_000), True), ((988, 1000), (9900, 10_000), False),
            ((100, 190), (9900, 10_000), False), ((1000, 1000), (9000, 10_000), False),
        ]:  # fmt: skip
            self.assertEqual(bool(worse(AnswerCounts(*touched), AnswerCounts(*rest))), bad, (touched, rest))


class Books(unittest.TestCase):
    def test_one_permission_one_holder_and_numbers_only_grow(self) -> None:
        book = MaintenanceState()
        row = [1.0, 0.0, 1.0, 0.0, 1e300, False, ""]
        for data in [
            command("wish", [["a", *row], ["b", *row]]), command("permit", "a", 7, 0.0),
            command("permit", "a", 8, 0.0), command("permit", "b", 9, 0.0), command("permit", "c", 9, 0.0),
            command("move", "a", 1, "draining", "", 0.0), command("move", "a", 9, "out", "", 0.0),
            command("move", "b", 2, "done", "", 0.0), command("move", "b", 2, "wished", "taken back", 0.0),
            command("permit", "b", 9, 0.0), command("hold", "stop"),
        ]:  # fmt: skip
            book.apply(data)
        self.assertEqual({n: (w.stage, w.number) for n, w in book.requests.items()},
                         {"a": (RequestState.DRAINING, 1), "b": (RequestState.PERMITTED, 3)})  # fmt: skip
        self.assertEqual((book.runs, book.number, book.held), ({"a": 7, "b": 9}, 3, "stop"))
        again = MaintenanceState()
        again.restore(book.snapshot())
        self.assertEqual(again.snapshot(), book.snapshot())

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


class Days(unittest.TestCase):
    def test_rows(self) -> None:
        for name in VIRTUAL:
            with self.subTest(name=name):
                row = virtual(name, 15, 1, "")
                self.assertEqual(row.broken, [], row.figures)

    def test_each_defence_is_missed(self) -> None:
        for away, row in [("floor", "floor_kept"), ("end", "late_word")]:
            with self.subTest(away=away):
                self.assertNotEqual(virtual(row, 15, 1, away).broken, [])
