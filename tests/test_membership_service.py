"""Several real processes that know of each other, with faults between them."""

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
from landingshift.testbed.processes.harness import TALK, unused_net
from tests.helpers import CONFIG, Gateway, World, launch

TOML = '[fleet]\nfleet = "lab"\nlisten = "{place}"\nzone = "z{zone}"\npeers = [{peers}]\n'


class Servers(unittest.TestCase):
    def setUp(self) -> None:
        # Ports that were free a moment ago may be a neighbour's by the time a server binds them: these
        # addresses are nobody else's while the claim is held.
        net, claim = unused_net()
        self.addCleanup(claim.close)
        self.places = [(f"127.{net}.0.{i + 1}", TALK) for i in range(5)]
        self.worlds: list[World] = [self.start(i) for i in range(5)]

    def start(self, i: int) -> World:
        peers = ", ".join('"{}:{}"'.format(*place) for place in self.places[:2])
        toml = TOML.format(place="{}:{}".format(*self.places[i]), zone=i % 2, peers=peers)
        return World(self, toml=toml, name=f"n{i}", seed=f"{i + 1:x}", stop_ms=300)

    def call(self, i: int, name: str) -> Any:
        return call_operator_rpc(self.places[i], name, [])

    def states(self, i: int) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.call(i, "members")}

    def until(self, seconds: float, holds: Any) -> float:
        began = time.monotonic()
        while not holds():
            self.assertLess(time.monotonic() - began, seconds, [self.states(0), self.states(1)])
            time.sleep(0.05)
        return time.monotonic() - began

    def test_a_fleet_through_a_stop_a_kill_a_restart_and_a_drain(self) -> None:
        every = {f"n{i}": "alive" for i in range(5)}
        self.until(10.0, lambda: all(self.states(i) == every for i in range(5)))
        # Stopped for 300 ms, again and again: nobody may take it for dead.
        for _ in range(5):
            self.worlds[3].process.send_signal(signal.SIGSTOP)
            time.sleep(0.3)
            self.worlds[3].process.send_signal(signal.SIGCONT)
            time.sleep(0.2)
        self.assertEqual(self.states(0), every)
        self.worlds[4].process.kill()
        took = self.until(8.0, lambda: all(self.states(i)["n4"] == "dead" for i in range(4)))
        self.assertGreater(took, 0.5)
        runs = [r["run"] for r in self.call(0, "members") if r["name"] == "n4"]
        # A restart under its name is another run, whatever is said of the earlier one.
        self.worlds[4] = World(
            self, toml=self.worlds[4].toml, name="n4", seed="77", stop_ms=300
        )  # another seed, as the platform gives with each start
        self.until(8.0, lambda: all(self.states(i) == every for i in range(5)))
        self.assertNotEqual(runs, [r["run"] for r in self.call(0, "members") if r["name"] == "n4"])
        self.worlds[2].process.send_signal(signal.SIGTERM)
        took = self.until(3.0, lambda: all(self.states(i)["n2"] == "left" for i in (0, 1, 3, 4)))
        self.assertLess(took, 2.0)
        self.assertEqual(self.worlds[2].process.wait(10), 0)

    def test_a_peer_that_sends_nonsense_at_full_speed_harms_nobody(self) -> None:
        self.until(10.0, lambda: all(len(self.states(i)) == 5 for i in range(5)))
        rude = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(rude.close)
        end, sent = time.monotonic() + 3.0, 0
        while time.monotonic() < end:
            for data in (b"", b"\x93\x02\xa4ping\x95", os.urandom(200), bytes(4000), b"\xdd\xff\xff\xff\xff"):
                rude.sendto(data, self.places[0])
                sent += 1
        Gateway(self.worlds[0]).probe()  # it serves as before
        self.assertGreater(sent, 1000)
        line = self.worlds[0].logged("fleet_strange")
        self.assertIn("garbage", line)
        # On a full machine one that is flooded may be suspected for a moment, which takes nothing from it.
        self.until(10.0, lambda: all(set(self.states(i).values()) == {"alive"} for i in range(5)))
        for w in self.worlds:
            w.process.kill()
        for w in self.worlds:
            w.ends()
            self.assertEqual([line for line in w.lines if line["event"] == "fleet_dead"], [])

    def test_operators_are_answered_and_strangers_hung_up_on(self) -> None:
        command = [sys.executable, "-c", "from landingshift.cli import start; start()", "fleet"]
        at = ["--at", "{}:{}".format(*self.places[0])]
        self.until(10.0, lambda: len(self.states(0)) == 5)
        rows = json.loads(subprocess.check_output([*command, "members", *at, "--json"]))
        self.assertEqual([r["name"] for r in rows], [f"n{i}" for i in range(5)])
        text = subprocess.check_output([*command, "members", *at], text=True)
        self.assertEqual(len(text.splitlines()), 6)
        self.assertIn("doubt", subprocess.check_output([*command, "status", *at], text=True))
        gone = subprocess.run([*command, "status", "--at", "127.0.0.1:1"], capture_output=True, text=True)
        self.assertEqual((gone.returncode, "127.0.0.1:1" in gone.stderr), (1, True))
        with self.assertRaises(OperatorRpcError):
            self.call(0, "nothing")
        with socket.create_connection(self.places[0], 5.0) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            self.assertEqual(sock.recv(100), b"")


def refused(case: unittest.TestCase, toml: str) -> str:
    """What a server says that does not start with these settings."""
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/ours.toml"
        with open(path, "w") as file:
            file.write(toml)
        process = launch(folder, CONFIG, {"LANDINGSHIFT_TOML": path})
        _, err = process.communicate(timeout=20)
        case.assertEqual(process.returncode, 2)
        return err


class Settings(unittest.TestCase):
    def test_what_cannot_be_used_is_named(self) -> None:
        good = {"fleet": '"lab"', "listen": '"127.0.0.1:0"'}
        for change, said in [
            ({"listen": '"127.0.0.1"'}, "listen"), ({"listen": '"example.org:1"'}, "listen"),
            ({"listen": '"0.0.0.0:7101"'}, "advertise"), ({"advertise": '"127.0.0.1:0"'}, "advertise"),
            ({"peers": '["127.0.0.1:1", "x"]'}, "peers[1]"), ({"fleet": '""'}, "fleet"),
            ({"zone": '"a b"'}, "zone"), ({"probe_ms": "300.0"}, "probe_ms"), ({"fleets": "1"}, "fleets"),
            ({"listen": None}, "listen"), ({"most": "1"}, "most"),
        ]:  # fmt: skip
            with self.subTest(change=change):
                lines = [f"{k} = {v}" for k, v in (good | change).items() if v is not None]
                self.assertIn(f"ours.toml: [fleet] {said}: ", refused(self, "[fleet]\n" + "\n".join(lines)))

    def test_an_address_in_use_is_named(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            place = f"127.0.0.1:{taken.getsockname()[1]}"
            said = refused(self, f'[fleet]\nfleet = "lab"\nlisten = "{place}"\n')
            self.assertIn(f"[fleet] listen: {place}", said)
