"""Cold start of real processes, with faults between them; the rows are the experiment's."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import Future
from typing import Any, ClassVar

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.cold_start_harness import ColdStartHarness
from landingshift.testbed.experiments.cold_start_real import REAL
from landingshift.testbed.experiments.rows import ExperimentRow
from tests.helpers import RealRows
from tests.test_membership_service import startup_error

SERVER_COUNT = 6
CONCURRENT_ROW_COUNT = 3  # they mostly wait


def run_row(name: str, away: str = "") -> ExperimentRow:
    row = ExperimentRow(name)
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        REAL[name](folder, SERVER_COUNT, 1, away, row)
    return row


class FaultRowsTest(RealRows):
    """Each brings its failure about; what must hold afterwards is checked from the history alone."""

    real, play, abreast = REAL, staticmethod(run_row), CONCURRENT_ROW_COUNT
    without: ClassVar[Future[ExperimentRow]]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.without = cls.pool.submit(run_row, "real_at_once", "shares")

    def test_all_servers_start_in_one_second(self) -> None:
        self.holds("real_at_once")

    def test_killed_grantor_keeps_the_bound_when_it_is_back(self) -> None:
        self.holds("real_lenders_killed")

    def test_paused_cut_off_and_unheard_servers_with_loss(self) -> None:
        self.holds("real_stopped_and_cut")

    def test_starting_server_killed_at_each_stage(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_list_service_down_then_slow_then_outdated_then_incomplete(self) -> None:
        self.holds("real_list_down")

    def test_power_cut_and_start_with_unusable_endpoint_caches(self) -> None:
        self.holds("real_from_disk")

    def test_downstream_recovers_from_overload_by_itself(self) -> None:
        self.holds("real_store_collapses")

    def test_flood_of_invalid_datagrams(self) -> None:
        self.holds("real_rude")

    def test_without_quotas_the_downstream_sees_more_than_it_bears(self) -> None:
        row = self.without.result()
        self.assertTrue(any("calls a second" in text for text in row.violations), row)


class OperatorCallsTest(unittest.TestCase):
    def test_operators_see_quotas_and_granted_leases(self) -> None:
        command = [sys.executable, "-c", "from landingshift.cli import start; start()", "fleet"]
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = ColdStartHarness(folder, 4, 1)
            try:
                harness.start_all()
                address = harness.servers.membership_addresses[0]
                ends_at = time.monotonic() + 20.0
                found: dict[str, Any] = {}
                while found.get("stage") not in ("starting", "warm") and time.monotonic() < ends_at:
                    time.sleep(0.2)
                    try:
                        found = call_operator_rpc(address, "coldstart", [])
                    except OperatorRpcError:
                        continue
                at = ["--at", "{}:{}".format(*address)]
                printed = json.loads(subprocess.check_output([*command, "shares", *at, "--json"]))
                self.assertEqual(set(printed), set(found))
                self.assertIn(printed["stage"], ("starting", "warm"))
                text = subprocess.check_output([*command, "lent", *at], text=True)
                self.assertIn("calls_booked", text)
                with self.assertRaises(OperatorRpcError) as caught:
                    call_operator_rpc(harness.servers.membership_addresses[3], "lent", [])
                self.assertIn("lends nothing", str(caught.exception))
            finally:
                harness.close()

    def test_names_the_setting_that_cannot_be_used(self) -> None:
        membership = '[fleet]\nfleet = "lab"\nlisten = "127.0.0.1:0"\n'
        for text, error in [
            ("[coldstart]\nservers = 3\n", "[coldstart] needs the table [fleet]"),
            (membership + "on = false\n[coldstart]\nservers = 3\n", "[coldstart] needs the table [fleet]"),
            (membership + "[coldstart]\n", "[coldstart] servers: "),
            (membership + "[coldstart]\nservers = 0\n", "[coldstart] servers: "),
            (membership + '[coldstart]\nservers = 3\nlist_service = "x"\n', "[coldstart] list_service: "),
            (membership + '[coldstart]\nservers = 3\nsnapshot = "members"\n', "[coldstart] snapshot: "),
            (membership + '[coldstart]\nservers = 3\nlenders = ["a", "a"]\n', "[coldstart] lenders: "),
            (
                membership + "[coldstart]\nservers = 3\nplaces_first = 9\nplaces_most = 3\n",
                "[coldstart] places_first: ",
            ),
            (
                membership
                + '[coldstart]\nservers = 3\nplaces_first = 1\nplaces_most = 1\nlenders = ["a", "b"]\n',
                "[coldstart] places_most: ",
            ),
            (membership + '[coldstart]\nservers = 3\nfloor = 0.9\nlenders = ["a"]\n', "[coldstart] floor: "),
        ]:
            with self.subTest(text=text):
                self.assertIn(f"ours.toml: {error}", startup_error(self, text))
