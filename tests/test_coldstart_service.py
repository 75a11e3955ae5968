"""A common start of real processes, with faults between them; the rows are the experiment's."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import Future
from typing import ClassVar

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.cold_start_real import REAL, Fleet
from landingshift.testbed.experiments.rows import Row
from tests.helpers import RealRows
from tests.test_membership_service import refused

SERVERS = 6
ABREAST = 3  # rows at a time: they mostly wait


def run_row(name: str, away: str = "") -> Row:
    row = Row(name)
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        REAL[name](folder, SERVERS, 1, away, row)
    return row


class Rows(RealRows):
    """Each brings its failure about; what must hold afterwards is checked from the history alone."""

    real, play, abreast = REAL, staticmethod(run_row), ABREAST
    without: ClassVar[Future[Row]]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.without = cls.pool.submit(run_row, "real_at_once", "shares")

    def test_all_start_in_one_second(self) -> None:
        self.holds("real_at_once")

    def test_a_lender_is_killed_and_knows_nothing_when_it_is_back(self) -> None:
        self.holds("real_lenders_killed")

    def test_one_stopped_for_5_s_one_cut_off_one_heard_by_nobody_and_loss(self) -> None:
        self.holds("real_stopped_and_cut")

    def test_a_joiner_killed_at_each_step(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_a_list_service_down_then_slow_then_old_then_with_half_a_list(self) -> None:
        self.holds("real_list_down")

    def test_a_power_cut_and_a_start_from_disk_with_bad_snapshots(self) -> None:
        self.holds("real_from_disk")

    def test_a_store_that_fell_comes_back_without_a_hand(self) -> None:
        self.holds("real_store_collapses")

    def test_nonsense_at_full_speed(self) -> None:
        self.holds("real_rude")

    def test_without_shares_the_store_sees_more_than_it_bears(self) -> None:
        row = self.without.result()
        self.assertTrue(any("calls a second" in text for text in row.broken), row)


class OneFleet(unittest.TestCase):
    def test_operators_see_shares_and_what_is_lent(self) -> None:
        command = [sys.executable, "-c", "from landingshift.cli import start; start()", "fleet"]
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            fleet = Fleet(folder, 4, 1)
            try:
                fleet.start_all()
                place = fleet.rig.talks[0]
                end = time.monotonic() + 20.0
                found = {}
                while found.get("stage") not in ("starting", "warm") and time.monotonic() < end:
                    time.sleep(0.2)
                    try:
                        found = call_operator_rpc(place, "coldstart", [])
                    except OperatorRpcError:
                        continue
                at = ["--at", "{}:{}".format(*place)]
                told = json.loads(subprocess.check_output([*command, "shares", *at, "--json"]))
                self.assertEqual(set(told), set(found))
                self.assertIn(told["stage"], ("starting", "warm"))
                text = subprocess.check_output([*command, "lent", *at], text=True)
                self.assertIn("calls_booked", text)
                with self.assertRaises(OperatorRpcError) as caught:
                    call_operator_rpc(fleet.rig.talks[3], "lent", [])
                self.assertIn("lends nothing", str(caught.exception))
            finally:
                fleet.rig.close()

    def test_settings_that_cannot_be_used_are_named(self) -> None:
        fleet = '[fleet]\nfleet = "lab"\nlisten = "127.0.0.1:0"\n'
        for text, said in [
            ("[coldstart]\nservers = 3\n", "[coldstart] needs the table [fleet]"),
            (fleet + "on = false\n[coldstart]\nservers = 3\n", "[coldstart] needs the table [fleet]"),
            (fleet + "[coldstart]\n", "[coldstart] servers: "),
            (fleet + "[coldstart]\nservers = 0\n", "[coldstart] servers: "),
            (fleet + '[coldstart]\nservers = 3\nlist_service = "x"\n', "[coldstart] list_service: "),
            (fleet + '[coldstart]\nservers = 3\nsnapshot = "members"\n', "[coldstart] snapshot: "),
            (fleet + '[coldstart]\nservers = 3\nlenders = ["a", "a"]\n', "[coldstart] lenders: "),
            (fleet + "[coldstart]\nservers = 3\nplaces_first = 9\nplaces_most = 3\n",
             "[coldstart] places_first: "),
            (fleet + '[coldstart]\nservers = 3\nplaces_first = 1\nplaces_most = 1\nlenders = ["a", "b"]\n',
             "[coldstart] places_most: "),
            (fleet + '[coldstart]\nservers = 3\nfloor = 0.9\nlenders = ["a"]\n', "[coldstart] floor: "),
        ]:  # fmt: skip
            with self.subTest(text=text):
                self.assertIn(f"ours.toml: {said}", refused(self, text))
