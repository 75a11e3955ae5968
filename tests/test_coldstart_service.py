"""Tests of the cold start of real processes: injected faults, operator calls and config errors."""

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
CONCURRENT_ROW_COUNT = 3  # rows spend most of their time waiting


def run_row(name: str, removed_defence: str = "") -> ExperimentRow:
    row = ExperimentRow(name)
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        REAL[name](folder, SERVER_COUNT, 1, removed_defence, row)
    return row


class FaultRowsTest(RealRows):
    """Injects each row's fault into real processes and checks the invariants in the recorded history."""

    real, play, abreast = REAL, staticmethod(run_row), CONCURRENT_ROW_COUNT
    row_without_quotas: ClassVar[Future[ExperimentRow]]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.row_without_quotas = cls.pool.submit(run_row, "real_at_once", "shares")

    def test_all_servers_start_at_once(self) -> None:
        self.holds("real_at_once")

    def test_killed_grantor_keeps_leases_within_the_capacity_after_its_restart(self) -> None:
        self.holds("real_lenders_killed")

    def test_paused_partitioned_and_muted_servers_with_message_loss(self) -> None:
        self.holds("real_stopped_and_cut")

    def test_server_killed_at_each_start_stage(self) -> None:
        self.holds("real_killed_at_each_step")

    def test_list_service_that_is_down_slow_outdated_or_incomplete(self) -> None:
        self.holds("real_list_down")

    def test_restart_after_power_cut_with_unusable_endpoint_caches(self) -> None:
        self.holds("real_from_disk")

    def test_downstream_recovers_from_overload_without_intervention(self) -> None:
        self.holds("real_store_collapses")

    def test_start_under_a_flood_of_invalid_datagrams(self) -> None:
        self.holds("real_rude")

    def test_downstream_is_overloaded_without_quotas(self) -> None:
        row = self.row_without_quotas.result()
        self.assertTrue(any("calls a second" in text for text in row.violations), row)


class OperatorCallsTest(unittest.TestCase):
    def test_operators_see_quotas_and_granted_leases(self) -> None:
        command = [sys.executable, "-c", "from landingshift.cli import start; start()", "fleet"]
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            harness = ColdStartHarness(folder, 4, 1)
            try:
                harness.start_all()
                address = harness.servers.membership_addresses[0]
                deadline = time.monotonic() + 20.0
                status: dict[str, Any] = {}
                while status.get("stage") not in ("starting", "warm") and time.monotonic() < deadline:
                    time.sleep(0.2)
                    try:
                        status = call_operator_rpc(address, "coldstart", [])
                    except OperatorRpcError:
                        continue
                at = ["--at", "{}:{}".format(*address)]
                printed = json.loads(subprocess.check_output([*command, "shares", *at, "--json"]))
                self.assertEqual(set(printed), set(status))
                self.assertIn(printed["stage"], ("starting", "warm"))
                text = subprocess.check_output([*command, "lent", *at], text=True)
                self.assertIn("calls_booked", text)
                with self.assertRaises(OperatorRpcError) as caught:
                    call_operator_rpc(harness.servers.membership_addresses[3], "lent", [])
                self.assertIn("lends nothing", str(caught.exception))
            finally:
                harness.close()

    def test_config_error_names_the_invalid_setting(self) -> None:
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
