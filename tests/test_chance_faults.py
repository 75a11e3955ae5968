"""Tests a whole cluster under random faults: invariants, shrinking of scenarios, commands, real processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.chance_faults import check_scenario, invariant_names, shrink_failure
from landingshift.testbed.experiments.scenarios import (
    FAULT_KINDS,
    Coverage,
    Fault,
    Scenario,
    decode_scenario,
    describe_scenario,
    draw_scenario,
    encode_scenario,
)
from landingshift.testbed.experiments.service_samples import AnswerSample, recovery_figures
from landingshift.testbed.simulation.cluster import OVERLAP_MS, SimulatedCluster
from landingshift.testbed.simulation.removed_defences import INVARIANT_BY_REMOVED_DEFENCE
from landingshift.testbed.verification.history import History
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, find_violations
from landingshift.testbed.verification.shrinking import Shrinker

SCENARIOS = Path(__file__).parent / "days"
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "lab"]
WITHOUT_DEFENCE = sorted((SCENARIOS / "without").glob("*.json"))
"""Files of shrunk scenarios. Each violates an invariant without the defence that the file is named after."""
RECORDED_KINDS = ("read", "run", "answer", "loan", "decided", "sees", "begins")
COMMAND_TIMEOUT_SECONDS = 120


def read_scenario(path: Path) -> Scenario:
    return decode_scenario(path.read_bytes())


def scenario_of(*faults: Fault, seed: int = 1, duration_ms: float = 3000.0) -> Scenario:
    """Returns a scenario of four servers under low load, with these faults."""
    ordered = tuple(sorted(faults, key=lambda fault: fault.start_ms))
    return Scenario(seed, 4, 3, duration_ms, False, 0.3, ordered)


def drawn_kinds(pair_counts: dict[tuple[str, str], int] | None = None) -> list[str]:
    """Returns the kinds of all faults in 40 drawn scenarios."""
    return [fault.kind for seed in range(40) for fault in draw_scenario(seed, pair_counts).faults]


class SimulatedScenarioTest(unittest.TestCase):
    """Tests scenarios in virtual time."""

    def test_all_invariants_hold_in_drawn_and_stored_scenarios(self) -> None:
        scenarios = {str(seed): draw_scenario(seed) for seed in range(1, 17)}
        for path in [*sorted(SCENARIOS.glob("*.json")), *WITHOUT_DEFENCE]:
            scenarios[path.name] = read_scenario(path)
        with ProcessPoolExecutor() as pool:
            checked = pool.map(check_scenario, scenarios.values(), [""] * len(scenarios))
            for name, violations in zip(scenarios, checked, strict=True):
                with self.subTest(scenario=name):
                    self.assertEqual(violations, [])

    def test_invariant_is_violated_without_the_defence_that_it_depends_on(self) -> None:
        with ProcessPoolExecutor() as pool:
            scenarios = [read_scenario(path) for path in WITHOUT_DEFENCE]
            defences = [path.stem for path in WITHOUT_DEFENCE]
            checked = pool.map(check_scenario, scenarios, defences)
            for defence, violations in zip(defences, checked, strict=True):
                with self.subTest(removed_defence=defence):
                    self.assertIn(INVARIANT_BY_REMOVED_DEFENCE[defence], invariant_names(violations))
        self.assertGreater(len(WITHOUT_DEFENCE), 6)

    def test_same_scenario_gives_the_same_history_with_events_of_all_kinds(self) -> None:
        scenario = draw_scenario(3)
        first, second = SimulatedCluster(scenario).play(), SimulatedCluster(scenario).play()
        self.assertEqual(first, second)
        self.assertEqual(draw_scenario(3), scenario)
        for kind in RECORDED_KINDS:
            self.assertGreater(sum(entry[1] == kind for entry in first), 5, kind)

    def test_coverage_counts_overlapping_faults(self) -> None:
        coverage = Coverage()
        faults = (Fault(0.0, "cut_off", (1,), 900.0), Fault(300.0, "kill", (2,), 500.0))
        SimulatedCluster(scenario_of(*faults), coverage=coverage).play()
        self.assertEqual(coverage.pair_count("kill", "cut_off"), 1)
        self.assertEqual(coverage.pair_count("kill", "loss"), 0)
        self.assertIn(("kill", "loss"), coverage.unmet_pairs())

    def test_fault_kinds_with_few_overlaps_are_drawn_more_often(self) -> None:
        pair_counts = {
            (min(kind, other), max(kind, other)): 99
            for kind in FAULT_KINDS
            for other in FAULT_KINDS
            if "full" not in (kind, other)
        }
        preferred_count = drawn_kinds(pair_counts).count("full")
        self.assertGreater(preferred_count, 3 * drawn_kinds().count("full"))

    def test_scenario_without_faults_violates_nothing(self) -> None:
        self.assertEqual(check_scenario(scenario_of(seed=5), ""), [])


class ShrinkingTest(unittest.TestCase):
    """Tests the shrinking of failing scenarios."""

    def test_shrinking_removes_everything_that_the_failure_does_not_need(self) -> None:
        played = []

        def fails(scenario: Scenario) -> bool:
            played.append(scenario)
            kinds = [fault.kind for fault in scenario.faults]
            has_kill_after_late = "late" in kinds and "kill" in kinds[kinds.index("late") :]
            return scenario.server_count >= 3 and has_kill_after_late

        unneeded_faults = [fault for fault in draw_scenario(7).faults if fault.kind != "kill"]
        late, kill = Fault(2110.0, "late", (0,)), Fault(5000.0, "kill", (1, 2), 4000.0)
        faults = sorted([*unneeded_faults, late, kill], key=lambda fault: fault.start_ms)
        scenario = Scenario(7, 9, 3, 20_000.0, False, 1.1, tuple(faults))
        smallest = Shrinker(scenario, fails).run()
        self.assertEqual([fault.kind for fault in smallest.faults], ["late", "kill"])
        smallest_kill = smallest.faults[1]
        smallest_size = (smallest.server_count, smallest.load_ratio, len(smallest_kill.servers))
        self.assertEqual(smallest_size, (3, 0.3, 1))
        self.assertLess(smallest_kill.duration_ms, 500.0)
        self.assertLess(len(played), 400)

    def test_shrunk_scenario_still_violates_the_same_invariant(self) -> None:
        failing = read_scenario(SCENARIOS / "without" / "arm.json")
        unneeded_faults = (Fault(900.0, "delay", (), 400.0, 20.0), Fault(2900.0, "load", (), 1000.0, 1.5))
        faults = sorted([*failing.faults, *unneeded_faults], key=lambda fault: fault.start_ms)
        scenario = replace(failing, faults=tuple(faults))
        smallest, invariant, play_count = shrink_failure(scenario, "arm", 30)
        self.assertEqual(invariant, "all_or_none")
        self.assertIn("all_or_none", invariant_names(check_scenario(smallest, "arm")))
        self.assertLess(len(smallest.faults), len(scenario.faults))
        self.assertLessEqual(play_count, 30)
        self.assertIn("a change of policy is proposed", "\n".join(describe_scenario(smallest)))


class ScenarioFileTest(unittest.TestCase):
    """Tests scenario files and the commands that use them."""

    def test_decoding_an_encoded_scenario_gives_the_same_scenario(self) -> None:
        scenario = draw_scenario(11)
        self.assertEqual(decode_scenario(encode_scenario(scenario)), scenario)

    def test_error_of_an_invalid_scenario_names_the_field(self) -> None:
        valid = json.loads(encode_scenario(draw_scenario(11)))
        for change, message in [
            ({"voters": 99}, "servers, voters"),
            ({"acts": [[0, "earthquake", [0]]]}, "acts[0]: no such kind: earthquake"),
            ({"acts": [[0, "kill", [99]]]}, "acts[0]: who"),
            ({"acts": [[-5, "kill", [0]]]}, "acts[0]: who, at"),
            ({"seed": "x"}, "invalid scenario file"),
        ]:
            with self.subTest(change=change), self.assertRaises(ValueError) as caught:
                decode_scenario(json.dumps(valid | change).encode())
            self.assertIn(message, str(caught.exception))

    def run_command(self, *arguments: str, exit_status: int) -> str:
        """Runs a `lab` command, checks its exit status and returns its output."""
        done = subprocess.run(
            [*COMMAND, *arguments], capture_output=True, text=True, timeout=COMMAND_TIMEOUT_SECONDS
        )
        self.assertEqual(done.returncode, exit_status, done.stdout + done.stderr)
        return done.stdout + done.stderr

    def test_commands_play_shrink_and_report(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            scenario, run, page = (str(Path(folder, name)) for name in ("day.json", "run.json", "page.html"))
            Path(scenario).write_bytes((SCENARIOS / "without" / "arm.json").read_bytes())
            run_command = self.run_command
            self.assertIn("all promises hold", run_command("replay", scenario, exit_status=0))
            self.assertIn("all_or_none: ", run_command("replay", scenario, "--break", "arm", exit_status=1))
            self.assertIn("all promises hold on it", run_command("reduce", scenario, exit_status=2))
            fleet = run_command("fleet", "--days", "4", "--json", run, exit_status=0)
            self.assertIn("holds   days", fleet)
            run_command("report", run, page, exit_status=0)
            html = Path(page).read_text()
            for text in ("all_or_none", "<svg", "Which faults have met", "None failed."):
                self.assertIn(text, html)
            for fetched in ("src=", "<link", "<script", "@import", "url(http"):
                self.assertFalse(fetched in html, fetched)
            Path(run).write_text("{")
            self.assertIn(run, run_command("report", run, page, exit_status=2))


class InvariantTest(unittest.TestCase):
    """Tests that each invariant holds for valid histories and is violated by invalid ones."""

    READ = (1.0, "read", "a", 1, 100.0)
    CUT_BEGINS = (0.0, "begins", "cut_off", 0, (0,), 900.0, 0.0)
    CUT_ENDS = (900.0, "over", "cut_off", 0)
    LIMITS = (0.0, "bounds", 10.0, 2.0)
    SERVER_CAPACITY = (0.0, "each", 8.0)
    LEASE_TO_A = (1.0, "loan", "a", "l", 6.0, 50.0, 0.0, 0.0)

    def assert_holds(self, invariant: str, *history: tuple[Any, ...]) -> None:
        self.assertEqual(self.violations(invariant, list(history)), [])

    def assert_violated(self, invariant: str, *history: tuple[Any, ...]) -> None:
        self.assertNotEqual(self.violations(invariant, list(history)), [])

    def violations(self, invariant: str, history: History) -> list[str]:
        return find_violations(history, OVERLAP_MS, {invariant: CLUSTER_INVARIANTS[invariant]})

    def test_empty_history_violates_nothing(self) -> None:
        for invariant in CLUSTER_INVARIANTS:
            with self.subTest(invariant=invariant):
                self.assert_holds(invariant)

    def test_rpcs_are_answered_in_time(self) -> None:
        self.assert_holds("answered", self.READ, (90.0, "answer", "a", 1, "ok"))
        self.assert_violated("answered", self.READ, (300.0, "answer", "a", 1, "ok"))

    def test_rpcs_are_answered_unless_their_server_was_killed(self) -> None:
        later = (900.0, "size", "a", "out", 1)
        self.assert_holds("answered", self.READ, (50.0, "killed", "a"), later)
        self.assert_violated("answered", self.READ, later)

    def test_paused_server_may_answer_late_but_must_answer_before_it_ends(self) -> None:
        paused = (2.0, "still", "a", 500.0)
        self.assert_holds("answered", self.READ, paused, (540.0, "answer", "a", 1, "ok"))
        self.assert_violated("answered", self.READ, (50.0, "ended", "a"))

    def test_answer_to_an_rpc_that_was_never_read_is_a_violation(self) -> None:
        self.assert_violated("answered", (5.0, "answer", "a", 1, "ok"))

    def test_draining_server_runs_no_rpc_read_after_the_drain_grace(self) -> None:
        drain = (0.0, "drains", "a")
        self.assert_holds("drains", drain, (100.0, "read", "a", 1, 9e3), (120.0, "run", "a", 1))
        self.assert_violated("drains", drain, (500.0, "read", "a", 1, 9e3), (520.0, "run", "a", 1))

    def test_no_rpc_runs_twice(self) -> None:
        self.assert_violated("drains", self.READ, (2.0, "run", "a", 1), (3.0, "run", "a", 1))

    def test_overlapping_call_leases_stay_within_the_limit(self) -> None:
        after_expiry = (60.0, "loan", "b", "l", 6.0, 99.0, 0.0, 0.0)
        before_expiry = (40.0, "loan", "b", "l", 6.0, 99.0, 0.0, 0.0)
        self.assert_holds("shares", self.LIMITS, self.LEASE_TO_A, after_expiry)
        self.assert_violated("shares", self.LIMITS, self.LEASE_TO_A, before_expiry)

    def test_start_permits_stay_within_the_limit(self) -> None:
        permits = [(1.0, "loan", name, "l", 0.0, 0.0, 1.0, 50.0) for name in "abc"]
        self.assert_holds("shares", self.LIMITS)
        self.assert_violated("shares", self.LIMITS, *permits)

    def test_maintenance_permit_is_used_at_most_once(self) -> None:
        first = (1.0, "left", "a", 1, 1)
        self.assert_holds("permissions", first, (2.0, "left", "b", 2, 2))
        self.assert_violated("permissions", first, (2.0, "left", "b", 1, 1))

    def test_maintenance_permit_is_used_only_while_it_is_in_force(self) -> None:
        self.assert_holds("permissions", (1.0, "left", "a", 1, 0))
        self.assert_violated("permissions", (1.0, "left", "a", 1, 2))

    def test_maintenance_leaves_enough_capacity_except_shortly_after_a_fault(self) -> None:
        left, end = (20.1e3, "left", "a", 1, 1), (21e3, "quiet")
        enough = (20e3, "capacity", 32.0, 20.0, [])
        too_little = (20e3, "capacity", 16.0, 15.0, [])
        self.assert_holds("floor", self.SERVER_CAPACITY, enough, left, end)
        self.assert_violated("floor", self.SERVER_CAPACITY, too_little, left, end)
        just_after_fault = ((8e3, "capacity", 9.0, 9.0, []), (9e3, "left", "a", 1, 1))
        self.assert_holds("floor", self.SERVER_CAPACITY, self.CUT_BEGINS, self.CUT_ENDS, *just_after_fault)

    def test_running_server_is_not_declared_dead_without_a_fault(self) -> None:
        starts = (0.0, "starts", "b")
        self.assert_holds("members", self.CUT_BEGINS, starts, (400.0, "buried", "a", "b"), self.CUT_ENDS)
        self.assert_violated("members", starts, (20e3, "buried", "a", "b"))

    def test_all_servers_learn_that_a_server_was_killed(self) -> None:
        killed, later = (20e3, "killed", "b"), (40e3, "capacity", 8.0, 1.0, ["a"])
        self.assert_holds("deaths", killed, (25e3, "sees", "a", "b", False), later)
        self.assert_violated("deaths", (20e3, "sees", "a", "b", True), killed, later)

    def test_tables_stay_within_their_size_limits(self) -> None:
        self.assert_holds("bounded", (1.0, "size", "a", "errands", 64))
        self.assert_violated("bounded", (1.0, "size", "a", "errands", 65))

    def test_cluster_becomes_quiescent(self) -> None:
        self.assert_holds("rests", (1.0, "rests", 5.0))
        self.assert_violated("rests", (1.0, "restless", "nobody leads"))


class RecoveryTest(unittest.TestCase):
    """Tests the measurement of the time after a fault until as many RPCs succeed as before."""

    def test_recovery_is_measured_only_after_faults_without_overlap(self) -> None:
        # 10 RPCs per second. More than half of them fail from 20 to 26 s.
        samples = []
        ok_count = 0
        for index in range(100):
            ok_count += 2 if 40 <= index < 52 else 5
            samples.append(AnswerSample(index / 2.0, ok_count, 5 * (index + 1)))
        kill = Fault(20_000.0, "kill", (1,), 3000.0)
        figures = recovery_figures(samples, [kill])
        self.assertEqual(figures["alone"], 1)
        self.assertTrue(2.0 <= figures["back_s"] <= 4.0, figures)
        overlapping_loss = Fault(21_000.0, "loss", (0,), 3000.0)
        self.assertEqual(recovery_figures(samples, [kill, overlapping_loss]), {"alone": 0})


class RealScenarioTest(unittest.TestCase):
    """Tests scenarios with real processes."""

    def test_six_real_servers_keep_all_invariants_for_half_a_minute(self) -> None:
        from landingshift.testbed.experiments.chance_faults_real import play_real_scenarios

        (row,) = play_real_scenarios(6, 3, 0.4, 1)
        self.assertEqual(row.violations, [], row.figures)
        self.assertGreater(row.figures["rpcs"]["ok"], 300)
        self.assertGreater(row.figures["acts"], 5)
