"""A change of policy among several real processes, with faults between them; rows of the experiment."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.policies_real import REAL, Council
from landingshift.testbed.experiments.rows import Row, many_real
from tests.helpers import RealRows
from tests.test_membership_service import refused

SERVERS = 5
ABREAST = 4  # rows at a time: they mostly wait
COMMAND = [sys.executable, "-c", "from landingshift.cli import start; start()", "policy"]


def run_row(name: str) -> Row:
    return many_real(name, REAL[name], SERVERS, 1, 1)


class Rows(RealRows):
    """Each brings its failure about; what must hold afterwards is read off the history alone."""

    real, play, abreast = REAL, staticmethod(run_row), ABREAST

    def test_three_changes_one_asked_twice(self) -> None:
        self.holds("real_without_faults")
        self.holds("real_without_faults_leased")

    def test_a_member_down_the_whole_time(self) -> None:
        self.holds("real_down_all_along")
        self.holds("real_lapses")

    def test_a_member_down_at_the_switch_and_back_a_second_after(self) -> None:
        self.holds("real_down_at_the_switch")

    def test_member_leader_and_voter_killed_at_each_step(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_the_one_that_was_asked_is_killed(self) -> None:
        self.holds("real_proposer_killed")

    def test_a_leader_stopped_past_its_lease_goes_on(self) -> None:
        self.holds("real_leader_paused")
        self.holds("real_leader_cut_and_paused")

    def test_a_majority_gone_and_back_and_gone_for_good(self) -> None:
        self.holds("real_majority_gone")
        self.holds("real_majority_gone_for_good")

    def test_a_voter_gone_for_good_is_replaced(self) -> None:
        self.holds("real_voters_replaced")

    def test_halves_one_way_cuts_and_one_that_flaps(self) -> None:
        self.holds("real_cuts")
        self.holds("real_cuts_leased")

    def test_ten_changes_at_one_instant(self) -> None:
        self.holds("real_at_one_instant")

    def test_a_build_that_cannot_read_it(self) -> None:
        self.holds("real_older_build")

    def test_a_disk_full_torn_and_from_last_week(self) -> None:
        self.holds("real_disk")

    def test_a_member_comes_and_one_goes_in_the_middle(self) -> None:
        self.holds("real_comes_and_goes")

    def test_drawn_faults(self) -> None:
        self.holds("real_chance")
        self.holds("real_chance_leased")


class OneCouncil(unittest.TestCase):
    def command(self, *words: str, code: int = 0) -> str:
        done = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, code, done.stdout + done.stderr)
        return done.stdout + done.stderr

    def test_what_operators_do(self) -> None:
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            council = Council(folder, 4, 1)
            try:
                council.start_all()
                at = ["--at", "{}:{}".format(*council.rig.talks[3])]
                one, bad = Path(folder, "one.toml"), Path(folder, "bad.toml")
                one.write_text("[methods.m]\ncriticality = 5\n" + 200 * "# so long that it is no datagram\n")
                bad.write_text("[methods.nowhere]\ncriticality = 5\n")
                self.assertIn("ok: 1 figures", self.command("check", str(one)))
                said = self.command("propose", str(one), *at, "--why", "test", "--id", "one", "--wait", "20")
                self.assertIn("one: taken, version 1", said)
                said = self.command(
                    "propose", str(bad), *at, "--why", "t", "--id", "two", "--wait", "20", code=1
                )
                self.assertIn("refused: n", said)
                self.assertIn("methods.nowhere: this server has none of that name", said)
                self.assertIn("one: taken, version 1", self.command("status", "one", *at))
                self.assertIn("nobody has proposed", self.command("status", "never", *at))
                self.assertEqual(json.loads(self.command("status", *at, "--json"))["version"], 1)
                self.assertIn("methods.m.criticality = 5", self.command("show", "1", *at))
                self.assertIn("methods.m.criticality: - -> 5", self.command("diff", "0", "1", *at))
                said = self.command("back", "0", *at, "--why", "test", "--id", "three", "--wait", "20")
                self.assertIn("three: taken, version 2", said)
                said = self.command("withdraw", "four", *at, "--why", "test", "--wait", "20", code=1)
                self.assertIn("four: withdrawn", said)
                rows = json.loads(self.command("history", *at, "--json"))
                self.assertEqual([r["id"] for r in rows], ["one", "two", "three", "four"])
                self.assertIn("is not kept", self.command("show", "9", *at, code=1))
            finally:
                council.rig.close()

    def test_settings_that_cannot_be_used_are_named(self) -> None:
        fleet = '[fleet]\nfleet = "lab"\nlisten = "127.0.0.1:0"\n'
        for text, said in [
            ('[policies]\nvoters = ["a"]\n', "[policies] needs the table [fleet]"),
            (fleet + "[policies]\n", "[policies] voters: "),
            (fleet + '[policies]\nvoters = ["a", "b"]\n', "[policies] voters: 1, 3, 5 or 7 are expected"),
            (
                fleet + '[policies]\nvoters = ["a", "a", "b"]\n',
                "[policies] voters: a name stands there twice",
            ),
            (fleet + '[policies]\nvoters = ["a"]\njournal = "x"\n', "[policies] journal: an absolute path"),
            (fleet + '[policies]\nvoters = ["a"]\nwhen_cut_off = "x"\n', "[policies] when_cut_off: "),
            (fleet + '[policies]\nvoters = ["a"]\noverlap_ms = 1\n', "[policies] overlap_ms: "),
        ]:
            with self.subTest(text=text):
                self.assertIn(f"ours.toml: {said}", refused(self, text))
