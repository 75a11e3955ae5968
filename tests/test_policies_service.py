"""Tests of policy changes among several real processes with faults, and of the command line of policies."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.policies_harness import PolicyHarness
from landingshift.testbed.experiments.policies_real import REAL
from landingshift.testbed.experiments.rows import ExperimentRow, play_real_row
from tests.helpers import RealRows
from tests.test_membership_service import startup_error

SERVER_COUNT = 5
MAX_PARALLEL_ROWS = 4  # experiment rows that run at once; they spend most of their time waiting
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "policy"]


def run_row(name: str) -> ExperimentRow:
    return play_real_row(name, REAL[name], SERVER_COUNT, 1, 1)


class RealRowsTest(RealRows):
    """Each row causes its faults; invariants are then checked on the recorded history alone."""

    real, play, abreast = REAL, staticmethod(run_row), MAX_PARALLEL_ROWS

    def test_changes_that_are_each_proposed_twice_commit_everywhere(self) -> None:
        self.holds("real_without_faults")
        self.holds("real_without_faults_leased")

    def test_change_while_a_member_is_down(self) -> None:
        self.holds("real_down_all_along")
        self.holds("real_lapses")

    def test_change_with_a_member_that_restarts_around_the_commit(self) -> None:
        self.holds("real_down_at_the_switch")

    def test_change_with_a_member_leader_or_voter_killed_at_each_step(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_change_survives_the_server_that_received_the_proposal(self) -> None:
        self.holds("real_proposer_killed")

    def test_leader_paused_past_its_lease_violates_no_invariant_when_it_resumes(self) -> None:
        self.holds("real_leader_paused")
        self.holds("real_leader_cut_and_paused")

    def test_servers_keep_serving_without_a_majority_of_voters(self) -> None:
        self.holds("real_majority_gone")
        self.holds("real_majority_gone_for_good")

    def test_voter_that_is_lost_permanently_is_replaced(self) -> None:
        self.holds("real_voters_replaced")

    def test_changes_during_partitions_one_way_cuts_and_a_flapping_link(self) -> None:
        self.holds("real_cuts")
        self.holds("real_cuts_leased")

    def test_ten_concurrent_changes_get_one_order_everywhere(self) -> None:
        self.holds("real_at_one_instant")

    def test_build_that_cannot_read_a_policy_rejects_it(self) -> None:
        self.holds("real_older_build")

    def test_voter_recovers_from_a_full_disk_and_rejects_a_torn_or_outdated_log(self) -> None:
        self.holds("real_disk")

    def test_change_with_members_that_join_and_leave_during_it(self) -> None:
        self.holds("real_comes_and_goes")

    def test_changes_during_random_faults(self) -> None:
        self.holds("real_chance")
        self.holds("real_chance_leased")


class OperatorCommandsTest(unittest.TestCase):
    def command(self, *arguments: str, exit_status: int = 0) -> str:
        result = subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=60)
        self.assertEqual(result.returncode, exit_status, result.stdout + result.stderr)
        return result.stdout + result.stderr

    def test_commands_print_the_expected_results(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = PolicyHarness(folder, 4, 1)
            try:
                harness.start_all()
                host, port = harness.servers.membership_addresses[3]
                self.check_commands(folder, f"{host}:{port}")
            finally:
                harness.close()

    def check_commands(self, folder: str, server: str) -> None:
        at = ["--at", server]
        wait = ["--wait", "20"]
        valid_path, conflicting_path = Path(folder, "one.toml"), Path(folder, "bad.toml")
        long_comment = 200 * "# makes the file larger than a datagram\n"
        valid_path.write_text("[methods.m]\ncriticality = 5\n" + long_comment)
        conflicting_path.write_text("[methods.nowhere]\ncriticality = 5\n")
        self.assertIn("ok: 1 figures", self.command("check", str(valid_path)))
        output = self.command("propose", str(valid_path), *at, "--why", "test", "--id", "one", *wait)
        self.assertIn("one: taken, version 1", output)
        conflicting = ("propose", str(conflicting_path), *at, "--why", "t", "--id", "two", *wait)
        output = self.command(*conflicting, exit_status=1)
        self.assertIn("refused: n", output)
        self.assertIn("methods.nowhere: this server has none of that name", output)
        self.assertIn("one: taken, version 1", self.command("status", "one", *at))
        self.assertIn("nobody has proposed", self.command("status", "never", *at))
        self.assertEqual(json.loads(self.command("status", *at, "--json"))["version"], 1)
        self.assertIn("methods.m.criticality = 5", self.command("show", "1", *at))
        self.assertIn("methods.m.criticality: - -> 5", self.command("diff", "0", "1", *at))
        output = self.command("back", "0", *at, "--why", "test", "--id", "three", *wait)
        self.assertIn("three: taken, version 2", output)
        output = self.command("withdraw", "four", *at, "--why", "test", *wait, exit_status=1)
        self.assertIn("four: withdrawn", output)
        rows = json.loads(self.command("history", *at, "--json"))
        self.assertEqual([row["id"] for row in rows], ["one", "two", "three", "four"])
        self.assertIn("is not kept", self.command("show", "9", *at, exit_status=1))

    def test_error_of_invalid_settings_names_the_key(self) -> None:
        fleet = '[fleet]\nfleet = "lab"\nlisten = "127.0.0.1:0"\n'
        for text, message in [
            ('[policies]\nvoters = ["a"]\n', "[policies] needs the table [fleet]"),
            (fleet + "[policies]\n", "[policies] voters: "),
            (fleet + '[policies]\nvoters = ["a", "b"]\n', "[policies] voters: 1, 3, 5 or 7 are expected"),
            (
                fleet + '[policies]\nvoters = ["a", "a", "b"]\n',
                "[policies] voters: a name is listed twice",
            ),
            (fleet + '[policies]\nvoters = ["a"]\njournal = "x"\n', "[policies] journal: an absolute path"),
            (fleet + '[policies]\nvoters = ["a"]\nwhen_cut_off = "x"\n', "[policies] when_cut_off: "),
            (fleet + '[policies]\nvoters = ["a"]\noverlap_ms = 1\n', "[policies] overlap_ms: "),
        ]:
            with self.subTest(text=text):
                self.assertIn(f"ours.toml: {message}", startup_error(self, text))
