"""Maintenance among several real processes, with faults between them; rows of the experiment."""

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

SERVERS = 6
ABREAST = 4
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "upkeep"]


def run_row(name: str) -> ExperimentRow:
    return play_real_row(name, REAL[name], SERVERS, 1, 1)


class RealRowsTest(RealRows):
    """Each brings its failure about; what must hold afterwards is read off the history alone."""

    real, play, abreast = REAL, staticmethod(run_row), ABREAST

    def test_two_operators_request_all_and_no_rpc_is_lost(self) -> None:
        self.holds("real_all_replaced")

    def test_a_server_without_a_request_crashes(self) -> None:
        self.holds("real_crash_meanwhile")

    def test_the_leader_dies_twice(self) -> None:
        self.holds("real_leader_killed")

    def test_a_server_stopped_past_the_expiry_does_not_leave_by_that_permit(self) -> None:
        self.holds("real_stopped_past_the_end")

    def test_a_leaving_server_is_partitioned(self) -> None:
        self.holds("real_cut_off")

    def test_the_permitted_server_dies_at_each_step(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_a_server_never_comes_back(self) -> None:
        self.holds("real_never_back")

    def test_load_leaves_no_room(self) -> None:
        self.holds("real_overloaded")

    def test_all_are_replaced_at_full_load(self) -> None:
        self.holds("real_at_full_load")

    def test_a_zone_gets_a_notice_while_two_are_out_of_service(self) -> None:
        self.holds("real_notice_to_a_zone")

    def test_a_zone_starts_cold_while_two_are_out_of_service(self) -> None:
        self.holds("real_cold_zone")

    def test_the_policy_changes_meanwhile(self) -> None:
        self.holds("real_with_a_change")


class OperatorCommandsTest(unittest.TestCase):
    def command(self, *words: str, code: int = 0) -> str:
        done = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=90)
        self.assertEqual(done.returncode, code, done.stdout + done.stderr)
        return done.stdout + done.stderr

    def test_what_operators_do(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = MaintenanceHarness(folder, 6, 1)
            try:
                harness.start_all()
                at = ["--at", "{}:{}".format(*harness.servers.membership_addresses[0])]  # not one that leaves
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
                self.assertIn("are to say which", self.command("ask", "--minutes", "1", *at, code=2))
            finally:
                harness.close()

    def test_settings_that_cannot_be_used_are_named(self) -> None:
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
