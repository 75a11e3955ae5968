"""Tests failpoints, the replaceable wall clock and boot, and the decision history."""

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

    def test_empty_name_disarms_the_failpoint(self) -> None:
        failpoints = Failpoints()
        failpoints.arm("point")
        failpoints.arm("")
        failpoints.reach("point")

    def test_environment_kills_the_process_at_the_given_visit(self) -> None:
        result = run_python(REACH_TWICE, LANDINGSHIFT_CRASH="point:2")
        self.assertEqual((result.returncode, result.stdout), (SIGKILL_STATUS, "alive\n"))

    def test_with_a_marker_file_only_the_first_process_is_killed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            variables = {"LANDINGSHIFT_CRASH": "point", "LANDINGSHIFT_CRASH_ONCE": f"{folder}/marker"}
            first = run_python(REACH_TWICE, **variables)
            second = run_python(REACH_TWICE, **variables)
            self.assertTrue(Path(folder, "marker").exists())
        self.assertEqual((first.returncode, first.stdout), (SIGKILL_STATUS, ""))
        self.assertEqual((second.returncode, second.stdout), (0, "alive\nalive\n"))

    def test_slow_failpoint_delays_each_visit(self) -> None:
        failpoints = Failpoints.from_environment({"LANDINGSHIFT_SLOW": "point:30"})
        start_seconds = time.monotonic()
        failpoints.reach("point")
        failpoints.reach("point")
        self.assertGreaterEqual(time.monotonic() - start_seconds, 0.06)


class SystemClockTest(unittest.TestCase):
    def test_environment_shifts_the_wall_clock(self) -> None:
        result = run_python(PRINT_CLOCK_SHIFT, LANDINGSHIFT_CLOCK="-60000")
        self.assertAlmostEqual(float(result.stdout), -60_000.0, delta=1000.0)

    def test_environment_replaces_the_boot(self) -> None:
        result = run_python(PRINT_BOOT, LANDINGSHIFT_BOOT="second:9000")
        self.assertEqual(result.stdout, "second 9000.0\n")


class DecisionHistoryTest(unittest.TestCase):
    def test_each_line_is_a_literal_that_begins_with_the_monotonic_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "history")
            start_ms = time.monotonic() * 1000.0
            result = run_python(RECORD_TWO_EVENTS, LANDINGSHIFT_HISTORY=str(path))
            end_ms = time.monotonic() * 1000.0
            lines = [ast.literal_eval(line) for line in path.read_text().splitlines()]
        self.assertEqual(result.stdout, "True\n")
        self.assertEqual([line[1:] for line in lines], [("loan", "n1", 2.5, b"x"), ("left", "n2")])
        for line in lines:
            self.assertTrue(start_ms <= line[0] <= end_ms)

    def test_nothing_is_recorded_without_the_variable(self) -> None:
        self.assertEqual(run_python(RECORD_TWO_EVENTS).stdout, "False\n")


if __name__ == "__main__":
    unittest.main()
