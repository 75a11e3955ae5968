"""Tests of maintenance with several real server processes and injected faults."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.maintenance_harness import MaintenanceHarness
from landingshift.testbed.experiments.maintenance_real import REAL
from landingshift.testbed.experiments.rows import ExperimentRow, play_real_row
from tests.helpers import RealRows
from tests.test_membership_service import startup_error

SERVER_COUNT = 6
MAX_CONCURRENT_ROWS = 4
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "upkeep"]


def run_row(name: str) -> ExperimentRow:
    return play_real_row(name, REAL[name], SERVER_COUNT, 1, 1)


class RealRowsTest(RealRows):
    """Runs each real row of the maintenance experiment, which injects a failure and checks the history."""

    real, play, abreast = REAL, staticmethod(run_row), MAX_CONCURRENT_ROWS

    def test_all_servers_requested_by_two_operators_are_replaced_without_losing_an_rpc(self) -> None:
        self.holds("real_all_replaced")

    def test_maintenance_completes_when_a_server_without_a_request_crashes(self) -> None:
        self.holds("real_crash_meanwhile")

    def test_maintenance_completes_when_the_leader_is_killed_twice(self) -> None:
        self.holds("real_leader_killed")

    def test_a_server_stopped_past_the_expiry_of_its_permit_does_not_drain_under_it(self) -> None:
        self.holds("real_stopped_past_the_end")

    def test_maintenance_completes_when_a_requested_server_is_partitioned(self) -> None:
        self.holds("real_cut_off")

    def test_a_request_ends_when_its_server_is_killed_at_any_step(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_maintenance_of_the_others_completes_when_a_server_never_comes_back(self) -> None:
        self.holds("real_never_back")

    def test_no_server_drains_when_the_load_needs_all_capacity(self) -> None:
        self.holds("real_overloaded")

    def test_all_servers_are_replaced_at_full_load(self) -> None:
        self.holds("real_at_full_load")

    def test_maintenance_completes_when_a_zone_is_shut_down_meanwhile(self) -> None:
        self.holds("real_notice_to_a_zone")

    def test_maintenance_completes_when_a_zone_loses_power_and_starts_cold(self) -> None:
        self.holds("real_cold_zone")

    def test_a_policy_change_is_committed_during_maintenance(self) -> None:
        self.holds("real_with_a_change")


class OperatorCommandsTest(unittest.TestCase):
    def command(self, *args: str, code: int = 0) -> str:
        process = subprocess.run([*COMMAND, *args], capture_output=True, text=True, timeout=90)
        self.assertEqual(process.returncode, code, process.stdout + process.stderr)
        return process.stdout + process.stderr

    def test_operators_pause_request_cancel_and_resume_maintenance(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = MaintenanceHarness(folder, 6, 1)
            try:
                harness.start_all()
                # The commands go to a server that stays in service.
                at = ["--at", "{}:{}".format(*harness.servers.membership_addresses[0])]
                self.assertIn("nobody is wanted", self.command("status", *at))
                self.command("hold", "--why", "a trial", *at)
                self.assertIn("2 are asked for", self.command("ask", "n4", "n5", "--minutes", "0.05", *at))
                self.assertIn("wished", self.command("status", *at))
                self.assertIn("least capacity", self.command("plan", *at))
                self.assertIn("1 of 1 cancelled", self.command("cancel", "n4", "--why", "not now", *at))
                self.command("resume", *at)
                self.command("ask", "n5", "--minutes", "0.05", "--wait", "40", *at)
                rows = json.loads(self.command("history", *at, "--json"))
                ends = [(row["name"], row["end"]) for row in rows]
                self.assertEqual(ends, [("n4", "cancelled"), ("n5", "done")])
                self.assertIn("no machine selected", self.command("ask", "--minutes", "1", *at, code=2))
            finally:
                harness.close()

    def test_invalid_settings_are_reported_with_their_key(self) -> None:
        fleet = '[fleet]\nfleet = "lab"\nlisten = "127.0.0.1:0"\n'
        policies = fleet + '[policies]\nvoters = ["a"]\n'
        for text, message in [
            (fleet + "[upkeep]\ncapacity = 9\n", "[upkeep] needs the table [policies]"),
            (policies + "[upkeep]\n", "[upkeep] capacity: "),
            (policies + "[upkeep]\ncapacity = 0\n", "[upkeep] capacity: "),
            (policies + '[upkeep]\ncapacity = 9\nwork = ["true"]\n', "[upkeep] work: an absolute path"),
            (policies + '[upkeep]\ncapacity = 9\nmark = "x"\n', "[upkeep] mark: an absolute path"),
            (policies + "[upkeep]\ncapacity = 9\nzone_share = 2.0\n", "[upkeep] zone_share: "),
        ]:
            with self.subTest(text=text):
                self.assertIn(f"ours.toml: {message}", startup_error(self, text))
