"""Tests membership between real server processes, and the errors of its settings."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any

from landingshift.membership.operator_rpc import OperatorRpcError, call_operator_rpc
from landingshift.testbed.processes.harness import MEMBERSHIP_PORT, reserve_subnet
from tests.helpers import CONFIG, GatewayClient, ProgramUnderTest, launch_program

SETTINGS_TEMPLATE = '[fleet]\nfleet = "lab"\nlisten = "{address}"\nzone = "z{zone}"\npeers = [{peers}]\n'
SERVER_COUNT = 5
INVALID_DATAGRAMS = (b"", b"\x93\x02\xa4ping\x95", bytes(4000), b"\xdd\xff\xff\xff\xff")


class RealServersTest(unittest.TestCase):
    def setUp(self) -> None:
        # Free ports could be taken by another process before a server binds them; addresses of a reserved
        # subnet belong to this test for as long as the reservation is open.
        subnet, reservation = reserve_subnet()
        self.addCleanup(reservation.close)
        self.addresses = [(f"127.{subnet}.0.{index + 1}", MEMBERSHIP_PORT) for index in range(SERVER_COUNT)]
        self.servers: list[ProgramUnderTest] = [self.start(index) for index in range(SERVER_COUNT)]

    def start(self, index: int) -> ProgramUnderTest:
        peers = ", ".join('"{}:{}"'.format(*address) for address in self.addresses[:2])
        address = "{}:{}".format(*self.addresses[index])
        toml = SETTINGS_TEMPLATE.format(address=address, zone=index % 2, peers=peers)
        return ProgramUnderTest(self, toml=toml, name=f"n{index}", seed=f"{index + 1:x}", stop_ms=300)

    def call(self, index: int, method: str) -> Any:
        return call_operator_rpc(self.addresses[index], method, [])

    def states(self, index: int) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.call(index, "members")}

    def run_ids(self, name: str) -> list[int]:
        return [row["run"] for row in self.call(0, "members") if row["name"] == name]

    def wait_until(self, timeout_seconds: float, condition: Any) -> float:
        """Waits until the condition holds, and returns the elapsed seconds; fails after the time-out."""
        started_at = time.monotonic()
        while not condition():
            elapsed_seconds = time.monotonic() - started_at
            self.assertLess(elapsed_seconds, timeout_seconds, [self.states(0), self.states(1)])
            time.sleep(0.05)
        return time.monotonic() - started_at

    def test_kill_restart_and_drain_are_detected_and_short_pauses_tolerated(self) -> None:
        all_alive = {f"n{index}": "alive" for index in range(SERVER_COUNT)}
        all_indexes = range(SERVER_COUNT)
        self.wait_until(10.0, lambda: all(self.states(index) == all_alive for index in all_indexes))
        # A server that is repeatedly stopped for 300 ms must not be declared dead.
        for _ in range(5):
            self.servers[3].process.send_signal(signal.SIGSTOP)
            time.sleep(0.3)
            self.servers[3].process.send_signal(signal.SIGCONT)
            time.sleep(0.2)
        self.assertEqual(self.states(0), all_alive)
        self.servers[4].process.kill()
        elapsed_seconds = self.wait_until(
            8.0, lambda: all(self.states(index)["n4"] == "dead" for index in range(4))
        )
        self.assertGreater(elapsed_seconds, 0.5)
        earlier_run_ids = self.run_ids("n4")
        # A restart under the same name is a new run, although the earlier one was declared dead. It has a new
        # seed, as the platform passes a new one at each start.
        self.servers[4] = ProgramUnderTest(self, toml=self.servers[4].toml, name="n4", seed="77", stop_ms=300)
        self.wait_until(8.0, lambda: all(self.states(index) == all_alive for index in all_indexes))
        self.assertNotEqual(earlier_run_ids, self.run_ids("n4"))
        self.servers[2].process.send_signal(signal.SIGTERM)
        elapsed_seconds = self.wait_until(
            3.0, lambda: all(self.states(index)["n2"] == "left" for index in (0, 1, 3, 4))
        )
        self.assertLess(elapsed_seconds, 2.0)
        self.assertEqual(self.servers[2].process.wait(10), 0)

    def test_flood_of_invalid_datagrams_stops_no_server_and_causes_no_death(self) -> None:
        self.wait_until(
            10.0, lambda: all(len(self.states(index)) == SERVER_COUNT for index in range(SERVER_COUNT))
        )
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        ends_at = time.monotonic() + 3.0
        sent_count = 0
        while time.monotonic() < ends_at:
            for data in (*INVALID_DATAGRAMS, os.urandom(200)):
                sender.sendto(data, self.addresses[0])
                sent_count += 1
        GatewayClient(self.servers[0]).check_health()
        self.assertGreater(sent_count, 1000)
        self.assertIn("garbage", self.servers[0].wait_for_log("fleet_datagrams_rejected"))
        # On a busy machine the flooded server may briefly be a suspect, which has no effect on it.
        self.wait_until(
            10.0,
            lambda: all(set(self.states(index).values()) == {"alive"} for index in range(SERVER_COUNT)),
        )
        for server in self.servers:
            server.process.kill()
        for server in self.servers:
            server.wait_for_exit()
            self.assertEqual([entry for entry in server.log_entries if entry["event"] == "fleet_dead"], [])

    def test_operator_calls_are_answered_and_other_protocols_disconnected(self) -> None:
        command = [sys.executable, "-c", "from landingshift.cli import start; start()", "fleet"]
        at = ["--at", "{}:{}".format(*self.addresses[0])]
        self.wait_until(10.0, lambda: len(self.states(0)) == SERVER_COUNT)
        rows = json.loads(subprocess.check_output([*command, "members", *at, "--json"]))
        self.assertEqual([row["name"] for row in rows], [f"n{index}" for index in range(SERVER_COUNT)])
        text = subprocess.check_output([*command, "members", *at], text=True)
        self.assertEqual(len(text.splitlines()), 6)
        self.assertIn("doubt", subprocess.check_output([*command, "status", *at], text=True))
        unreachable = subprocess.run(
            [*command, "status", "--at", "127.0.0.1:1"], capture_output=True, text=True
        )
        self.assertEqual((unreachable.returncode, "127.0.0.1:1" in unreachable.stderr), (1, True))
        with self.assertRaises(OperatorRpcError):
            self.call(0, "nothing")
        with socket.create_connection(self.addresses[0], 5.0) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            self.assertEqual(sock.recv(100), b"")


def startup_error(case: unittest.TestCase, toml: str) -> str:
    """Returns what a server writes to stderr when it refuses to start with these settings."""
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/ours.toml"
        with open(path, "w") as file:
            file.write(toml)
        process = launch_program(folder, CONFIG, {"LANDINGSHIFT_TOML": path})
        _, stderr = process.communicate(timeout=20)
        case.assertEqual(process.returncode, 2)
        return stderr


class SettingsTest(unittest.TestCase):
    def test_startup_error_names_the_invalid_setting(self) -> None:
        valid = {"fleet": '"lab"', "listen": '"127.0.0.1:0"'}
        cases: list[tuple[dict[str, str | None], str]] = [
            ({"listen": '"127.0.0.1"'}, "listen"),
            ({"listen": '"example.org:1"'}, "listen"),
            ({"listen": '"0.0.0.0:7101"'}, "advertise"),
            ({"advertise": '"127.0.0.1:0"'}, "advertise"),
            ({"peers": '["127.0.0.1:1", "x"]'}, "peers[1]"),
            ({"fleet": '""'}, "fleet"),
            ({"zone": '"a b"'}, "zone"),
            ({"probe_ms": "300.0"}, "probe_ms"),
            ({"fleets": "1"}, "fleets"),
            ({"listen": None}, "listen"),
            ({"most": "1"}, "most"),
        ]
        for change, key in cases:
            with self.subTest(change=change):
                values = {**valid, **change}
                lines = [f"{name} = {value}" for name, value in values.items() if value is not None]
                error = startup_error(self, "[fleet]\n" + "\n".join(lines))
                self.assertIn(f"ours.toml: [fleet] {key}: ", error)

    def test_startup_error_names_a_listen_address_that_is_in_use(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            error = startup_error(self, f'[fleet]\nfleet = "lab"\nlisten = "{address}"\n')
            self.assertIn(f"[fleet] listen: {address}", error)
