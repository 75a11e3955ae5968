"""The whole fleet under chance faults: drawn scenarios, shrunk ones, saved ones, real processes."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

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
    pair_of,
)
from landingshift.testbed.experiments.service_samples import AnswerSample, recovery_figures
from landingshift.testbed.simulation.cluster import OVERLAP_MS, SimulatedCluster
from landingshift.testbed.simulation.removed_defences import INVARIANT_BY_REMOVED_DEFENCE
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, find_violations
from landingshift.testbed.verification.shrinking import Shrinker

DAYS = Path(__file__).parent / "days"
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "lab"]
WITHOUT = sorted(
    (DAYS / "without").glob("*.json")
)  # made smaller: each fails without the defence of its name
QUIET = Scenario(5, 4, 3, 3000.0, False, 0.3, ())


class DrawnScenarios(unittest.TestCase):
    def test_invariants_hold_on_drawn_scenarios_and_on_saved_ones(self) -> None:
        scenarios = {str(seed): draw_scenario(seed) for seed in range(1, 17)}
        scenarios |= {
            path.name: decode_scenario(path.read_bytes()) for path in [*sorted(DAYS.glob("*.json")), *WITHOUT]
        }
        with ProcessPoolExecutor() as pool:
            for name, violations in zip(
                scenarios, pool.map(check_scenario, scenarios.values(), [""] * len(scenarios)), strict=True
            ):
                with self.subTest(scenario=name):
                    self.assertEqual(violations, [])

    def test_each_removed_defence_violates_its_invariant(self) -> None:
        with ProcessPoolExecutor() as pool:
            scenarios = [decode_scenario(path.read_bytes()) for path in WITHOUT]
            found = pool.map(check_scenario, scenarios, [path.stem for path in WITHOUT])
            for path, violations in zip(WITHOUT, found, strict=True):
                with self.subTest(defence=path.stem):
                    self.assertIn(INVARIANT_BY_REMOVED_DEFENCE[path.stem], invariant_names(violations))
        self.assertGreater(len(WITHOUT), 6)

    def test_scenario_gives_the_same_history_each_time_with_enough_events(self) -> None:
        scenario = draw_scenario(3)
        history = SimulatedCluster(scenario).play()
        repeated = SimulatedCluster(scenario).play()
        self.assertEqual(history, repeated)
        self.assertEqual(draw_scenario(3), scenario)
        for event in ("read", "run", "answer", "loan", "decided", "sees", "begins"):
            self.assertGreater(sum(entry[1] == event for entry in history), 5, event)

    def test_overlapping_faults_are_counted_and_rare_overlaps_preferred(self) -> None:
        coverage = Coverage()
        faults = (Fault(0.0, "cut_off", (1,), 900.0), Fault(300.0, "kill", (2,), 500.0))
        SimulatedCluster(Scenario(1, 4, 3, 3000.0, False, 0.3, faults), coverage=coverage).play()
        self.assertEqual(coverage.pair_count("kill", "cut_off"), 1)
        self.assertEqual(coverage.pair_count("kill", "loss"), 0)
        self.assertIn(("kill", "loss"), coverage.unmet_pairs())
        pair_counts = {
            pair_of(kind, other): 99
            for kind in FAULT_KINDS
            for other in FAULT_KINDS
            if "full" not in (kind, other)
        }
        steered = [fault.kind for seed in range(40) for fault in draw_scenario(seed, pair_counts).faults]
        plain = [fault.kind for seed in range(40) for fault in draw_scenario(seed).faults]
        self.assertGreater(steered.count("full"), 3 * plain.count("full"))


class Shrinking(unittest.TestCase):
    def test_shrinking_leaves_out_what_does_not_matter(self) -> None:
        scenario = draw_scenario(7)
        played = []

        def fails(candidate: Scenario) -> bool:
            played.append(candidate)
            kinds = [fault.kind for fault in candidate.faults]
            return candidate.server_count >= 3 and "late" in kinds and "kill" in kinds[kinds.index("late") :]

        irrelevant = [fault for fault in scenario.faults if fault.kind != "kill"]
        late, kill = Fault(2110.0, "late", (0,)), Fault(5000.0, "kill", (1, 2), 4000.0)
        faults = tuple(sorted([*irrelevant, late, kill], key=lambda fault: fault.start_ms))
        scenario = Scenario(7, 9, 3, 20_000.0, False, 1.1, faults)
        shrunk = Shrinker(scenario, fails).run()
        self.assertEqual([fault.kind for fault in shrunk.faults], ["late", "kill"])
        self.assertEqual((shrunk.server_count, shrunk.load_ratio, len(shrunk.faults[1].servers)), (3, 0.3, 1))
        self.assertLess(shrunk.faults[1].duration_ms, 500.0)
        self.assertLess(len(played), 400)

    def test_shrunk_scenario_still_violates_the_invariant_and_is_described(self) -> None:
        saved = decode_scenario((DAYS / "without" / "arm.json").read_bytes())
        irrelevant = (Fault(900.0, "delay", (), 400.0, 20.0), Fault(2900.0, "load", (), 1000.0, 1.5))
        scenario = replace(
            saved, faults=tuple(sorted([*saved.faults, *irrelevant], key=lambda fault: fault.start_ms))
        )
        shrunk, invariant, play_count = shrink_failure(scenario, "arm", 30)
        self.assertEqual(invariant, "all_or_none")
        self.assertIn("all_or_none", invariant_names(check_scenario(shrunk, "arm")))
        self.assertLess(len(shrunk.faults), len(scenario.faults))
        self.assertLessEqual(play_count, 30)
        self.assertIn("a change of policy is proposed", "\n".join(describe_scenario(shrunk)))


class ScenarioFiles(unittest.TestCase):
    def test_scenario_files_round_trip_and_invalid_ones_name_the_field(self) -> None:
        day = draw_scenario(11)
        self.assertEqual(decode_scenario(encode_scenario(day)), day)
        good = json.loads(encode_scenario(day))
        for change, said in [
            ({"voters": 99}, "servers, voters"),
            ({"acts": [[0, "earthquake", [0]]]}, "acts[0]: no such kind: earthquake"),
            ({"acts": [[0, "kill", [99]]]}, "acts[0]: who"),
            ({"acts": [[-5, "kill", [0]]]}, "acts[0]: who, at"),
            ({"seed": "x"}, "not a day"),
        ]:
            with self.subTest(change=change), self.assertRaises(ValueError) as caught:
                decode_scenario(json.dumps(good | change).encode())
            self.assertIn(said, str(caught.exception))

    def test_operators_commands_and_their_outputs(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            day, run, page = (str(Path(folder, n)) for n in ("day.json", "run.json", "page.html"))
            Path(day).write_bytes((DAYS / "without" / "arm.json").read_bytes())

            def command(*words: str, code: int) -> str:
                done = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=120)
                self.assertEqual(done.returncode, code, done.stdout + done.stderr)
                return done.stdout + done.stderr

            self.assertIn("all promises hold", command("replay", day, code=0))
            self.assertIn("all_or_none: ", command("replay", day, "--break", "arm", code=1))
            self.assertIn("all promises hold on it", command("reduce", day, code=2))
            self.assertIn("holds   days", command("fleet", "--days", "4", "--json", run, code=0))
            command("report", run, page, code=0)
            html = Path(page).read_text()
            for said in ("all_or_none", "<svg", "Which faults have met", "None failed."):
                self.assertIn(said, html)
            for fetched in ("src=", "<link", "<script", "@import", "url(http"):
                self.assertFalse(fetched in html, fetched)
            Path(run).write_text("{")
            self.assertIn(run, command("report", run, page, code=2))


class Promises(unittest.TestCase):
    """Each says no to a history that breaks it and nothing to one that does not."""

    READ = (1.0, "read", "a", 1, 100.0)

    def test_tables(self) -> None:
        begins, over = (0.0, "begins", "cut_off", 0, (0,), 900.0, 0.0), (900.0, "over", "cut_off", 0)
        bounds, each = (0.0, "bounds", 10.0, 2.0), (0.0, "each", 8.0)
        later = (40e3, "capacity", 8.0, 1.0, ["a"])
        lent, left, quiet = (
            (1.0, "loan", "a", "l", 6.0, 50.0, 0.0, 0.0),
            (20.1e3, "left", "a", 1, 1),
            (21e3, "quiet"),
        )
        for name, good, bad in [
            ("answered", [self.READ, (90.0, "answer", "a", 1, "ok")],
             [self.READ, (300.0, "answer", "a", 1, "ok")]),
            ("answered", [self.READ, (50.0, "killed", "a"), (900.0, "size", "a", "out", 1)],
             [self.READ, (900.0, "size", "a", "out", 1)]),
            ("answered", [self.READ, (2.0, "still", "a", 500.0), (540.0, "answer", "a", 1, "ok")],
             [self.READ, (50.0, "ended", "a")]),
            ("answered", [], [(5.0, "answer", "a", 1, "ok")]),
            ("drains", [(0.0, "drains", "a"), (100.0, "read", "a", 1, 9e3), (120.0, "run", "a", 1)],
             [(0.0, "drains", "a"), (500.0, "read", "a", 1, 9e3), (520.0, "run", "a", 1)]),
            ("drains", [], [self.READ, (2.0, "run", "a", 1), (3.0, "run", "a", 1)]),
            ("shares", [bounds, lent, (60.0, "loan", "b", "l", 6.0, 99.0, 0.0, 0.0)],
             [bounds, lent, (40.0, "loan", "b", "l", 6.0, 99.0, 0.0, 0.0)]),
            ("shares", [bounds], [bounds, *[(1.0, "loan", n, "l", 0.0, 0.0, 1.0, 50.0) for n in "abc"]]),
            ("permissions", [(1.0, "left", "a", 1, 1), (2.0, "left", "b", 2, 2)],
             [(1.0, "left", "a", 1, 1), (2.0, "left", "b", 1, 1)]),
            ("permissions", [(1.0, "left", "a", 1, 0)], [(1.0, "left", "a", 1, 2)]),
            ("floor", [each, (20e3, "capacity", 32.0, 20.0, []), left, quiet],
             [each, (20e3, "capacity", 16.0, 15.0, []), left, quiet]),
            ("floor", [each, begins, over, (8e3, "capacity", 9.0, 9.0, []), (9e3, "left", "a", 1, 1)], []),
            ("members", [begins, (0.0, "starts", "b"), (400.0, "buried", "a", "b"), over],
             [(0.0, "starts", "b"), (20e3, "buried", "a", "b")]),
            ("deaths", [(20e3, "killed", "b"), (25e3, "sees", "a", "b", False), later],
             [(20e3, "sees", "a", "b", True), (20e3, "killed", "b"), later]),
            ("bounded", [(1.0, "size", "a", "errands", 64)], [(1.0, "size", "a", "errands", 65)]),
            ("rests", [(1.0, "rests", 5.0)], [(1.0, "restless", "nobody leads")]),
        ]:  # fmt: skip
            with self.subTest(promise=name, bad=bad):
                self.assertEqual(
                    find_violations(list(good), OVERLAP_MS, {name: CLUSTER_INVARIANTS[name]}), []
                )
                if bad:
                    self.assertNotEqual(
                        find_violations(list(bad), OVERLAP_MS, {name: CLUSTER_INVARIANTS[name]}), []
                    )

    def test_a_quiet_day_holds(self) -> None:
        self.assertEqual(check_scenario(QUIET, ""), [])

    def test_recovery_is_looked_for_after_faults_that_stood_alone(self) -> None:
        # 10 RPCs a second, of which half fail from 20 to 26 s
        answers, ok = [], 0
        for i in range(100):
            ok += 5 if not 40 <= i < 52 else 2
            answers.append(AnswerSample(i / 2.0, ok, 5 * (i + 1)))
        found = recovery_figures(answers, [Fault(20_000.0, "kill", (1,), 3000.0)])
        self.assertEqual(found["alone"], 1)
        self.assertTrue(2.0 <= found["back_s"] <= 4.0, found)
        both = [Fault(20_000.0, "kill", (1,), 3000.0), Fault(21_000.0, "loss", (0,), 3000.0)]
        self.assertEqual(recovery_figures(answers, both), {"alone": 0})


class RealProcesses(unittest.TestCase):
    def test_invariants_hold_for_half_a_minute_of_six_processes_with_all_packages_on(self) -> None:
        from landingshift.testbed.experiments.chance_faults_real import play_real_scenarios

        (row,) = play_real_scenarios(6, 3, 0.4, 1)
        self.assertEqual(row.violations, [], row.figures)
        self.assertGreater(row.figures["rpcs"]["ok"], 300)
        self.assertGreater(row.figures["acts"], 5)
