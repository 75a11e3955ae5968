"""Failpoints, the wall clock and boot that tests replace, and the history of decisions."""

from __future__ import annotations

import ast
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from landingshift.failpoints import Failpoints, SimulatedCrashError

SIGKILL_STATUS = -9
REACH_TWICE = """
from landingshift import failpoints
for _ in range(2):
    failpoints.reach("point")
    print("alive", flush=True)
"""
PRINT_BOOT = """
from landingshift.system_clock import system_boot
boot = system_boot()
print(boot.boot_id, boot.uptime_ms)
"""
PRINT_CLOCK_SHIFT = """
import time
from landingshift.system_clock import wall_clock_ms
print(wall_clock_ms() - time.time() * 1000.0)
"""
RECORD_TWO_EVENTS = """
from landingshift import decision_history
decision_history.record("loan", "n1", 2.5, b"x")
decision_history.record("left", "n2")
print(decision_history.is_recording())
"""


def run_python(code: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=False
    )


class FailpointsTest(unittest.TestCase):
    def test_armed_failpoint_raises_at_the_given_visit_only(self) -> None:
        failpoints = Failpoints()
        failpoints.arm("point", crash_visit=2)
        failpoints.reach("point")
        failpoints.reach("other")
        with self.assertRaises(SimulatedCrashError) as caught:
            failpoints.reach("point")
        self.assertEqual(caught.exception.failpoint, "point")
        failpoints.reach("point")

    def test_empty_name_disarms(self) -> None:
        failpoints = Failpoints()
        failpoints.arm("point")
        failpoints.arm("")
        failpoints.reach("point")

    def test_environment_kills_the_process_at_a_visit(self) -> None:
        result = run_python(REACH_TWICE, LANDINGSHIFT_CRASH="point:2")
        self.assertEqual((result.returncode, result.stdout), (SIGKILL_STATUS, "alive\n"))

    def test_only_the_first_of_several_processes_dies_where_a_marker_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            variables = {"LANDINGSHIFT_CRASH": "point", "LANDINGSHIFT_CRASH_ONCE": f"{folder}/marker"}
            first = run_python(REACH_TWICE, **variables)
            second = run_python(REACH_TWICE, **variables)
            self.assertTrue(Path(folder, "marker").exists())
        self.assertEqual((first.returncode, first.stdout), (SIGKILL_STATUS, ""))
        self.assertEqual((second.returncode, second.stdout), (0, "alive\nalive\n"))

    def test_slow_failpoint_waits_each_time(self) -> None:
        failpoints = Failpoints.from_environment({"LANDINGSHIFT_SLOW": "point:30"})
        began_seconds = time.monotonic()
        failpoints.reach("point")
        failpoints.reach("point")
        self.assertGreaterEqual(time.monotonic() - began_seconds, 0.06)


class SystemClockTest(unittest.TestCase):
    def test_environment_shifts_the_wall_clock(self) -> None:
        result = run_python(PRINT_CLOCK_SHIFT, LANDINGSHIFT_CLOCK="-60000")
        self.assertAlmostEqual(float(result.stdout), -60_000.0, delta=1000.0)

    def test_environment_stands_for_the_boot_of_the_machine(self) -> None:
        result = run_python(PRINT_BOOT, LANDINGSHIFT_BOOT="second:9000")
        self.assertEqual(result.stdout, "second 9000.0\n")


class DecisionHistoryTest(unittest.TestCase):
    def test_records_a_literal_a_line_with_monotonic_ms_first(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "history")
            began_ms = time.monotonic() * 1000.0
            result = run_python(RECORD_TWO_EVENTS, LANDINGSHIFT_HISTORY=str(path))
            ended_ms = time.monotonic() * 1000.0
            lines = [ast.literal_eval(line) for line in path.read_text().splitlines()]
        self.assertEqual(result.stdout, "True\n")
        self.assertEqual([line[1:] for line in lines], [("loan", "n1", 2.5, b"x"), ("left", "n2")])
        for line in lines:
            self.assertTrue(began_ms <= line[0] <= ended_ms)

    def test_records_nothing_without_a_file(self) -> None:
        self.assertEqual(run_python(RECORD_TWO_EVENTS).stdout, "False\n")


if __name__ == "__main__":
    unittest.main()
