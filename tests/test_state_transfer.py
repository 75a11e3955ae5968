"""Tests the transfer of state between builds, for an admission controller and for a whole router."""

from __future__ import annotations

import os
import random
import socket
import unittest
from dataclasses import replace

from msgspec import msgpack

from landingshift.admission.managed_rpc import ManagedRpc, RpcState
from landingshift.hot_restart.errors import StateTransferError
from landingshift.hot_restart.state_export import StateExporter
from landingshift.hot_restart.state_import import StateImporter
from tests.hot_restart_fixtures import DecisionPlayback, RouterHarness


class AdmissionStateTest(unittest.TestCase):
    """A controller with imported state must make the same decisions as the one that exported the state."""

    def setUp(self) -> None:
        self.playback = DecisionPlayback()

    def test_same_events_give_the_same_decisions_after_an_import(self) -> None:
        seen_states = set()
        for seed in range(25):
            rng = random.Random(seed)
            old = self.playback.bench()
            old_rpcs = list[ManagedRpc]()
            self.playback.play(old, old_rpcs, self.playback.events(rng, 400))
            if seed % 5 == 4:
                old.controller.start_draining(1000.0)
            exported, exported_rpcs = old.controller.export_state()
            exported = msgpack.decode(msgpack.encode(exported))
            new = self.playback.bench()
            new.controller.now_ms = old.controller.now_ms
            imported = new.controller.import_state(exported, [managed.rpc for managed in exported_rpcs])
            counterparts = dict(zip(exported_rpcs, imported, strict=True))
            seen_states |= {managed.state for managed in exported_rpcs}
            new_rpcs = [counterparts.get(managed, managed) for managed in old_rpcs]
            events = self.playback.events(rng, 300)
            with self.subTest(seed=seed):
                self.assertEqual(
                    self.playback.play(new, new_rpcs, events), self.playback.play(old, old_rpcs, events)
                )
                self.assertEqual(old.controller.export_state()[0], new.controller.export_state()[0])
        self.assertGreaterEqual(
            seen_states,
            {
                RpcState.QUEUED,
                RpcState.RUNNING,
                RpcState.AWAITING_CALL_SLOT,
                RpcState.CALLING,
                RpcState.ABORTED,
                None,
            },
        )

    def test_import_accepts_unknown_missing_and_resized_values(self) -> None:
        old, new = self.playback.bench(), self.playback.bench()
        exported, _ = old.controller.export_state()
        exported["plain"]["from a newer build"] = 1
        exported["rings"].pop("stretch")
        exported["rings"]["from a newer build"] = [0, 0, [], []]
        exported["rings"]["pushed"] = [0, 0, [[]], [0.0]]
        new.controller.import_state(exported, [])
        self.assertFalse(hasattr(new.controller, "from a newer build"))
        self.assertEqual(
            new.controller.check.failures.bucket_count, len(new.controller.check.failures.buckets)
        )


class RouterStateTest(unittest.TestCase):
    """A router built from another's state and descriptors must serve the same peers without interruption."""

    def setUp(self) -> None:
        self.harness = RouterHarness(self)

    def test_open_rpcs_complete_after_three_transfers(self) -> None:
        harness = self.harness
        gateway = harness.connect_gateway()
        gateway.sendall(
            harness.request("m", b"runs")
            + harness.request("m", b"calls")
            + harness.request("token", b"kept", once="k")
        )
        for _ in range(3):
            harness.next_command()
        harness.engine.send(b"NEED 1 %016x 4\r\nbody\r\n" % 2)
        database = harness.accept_database_link()
        harness.run_until_readable(database)
        self.assertEqual(database.read_line()[0][:2], ["Q", f"{2:016x}"])
        harness.engine.send(b"DONE 2 %016x good 5 4\r\ntold\r\n" % 3)
        self.assertEqual(harness.answers(gateway, 1), {3: b"told"})
        partial_request = harness.request("m", b"half")
        gateway.sendall(partial_request[:50])
        harness.engine.send(b"DONE 3 %016x good 5 4\r\nr" % 1)  # a partial engine message
        database.send(b"%016x ROWS 5\r\nre" % 2)  # a partial reply
        harness.run()
        for _ in range(3):
            harness.move()
        harness.engine.send(b"uns\r\n")
        database.send(b"ply\r\n")
        self.assertEqual(harness.next_command(), (["FEED", f"{2:016x}"], b"reply"))
        gateway.sendall(partial_request[50:] + harness.request("token", b"kept", once="k"))
        self.assertEqual(harness.next_command(), (["RUN", f"{4:016x}", "m"], b"half"))
        harness.engine.send(b"DONE 4 %016x good 5 1\r\nx\r\nDONE 5 %016x bad 5 0\r\n\r\n" % (2, 4))
        self.assertEqual(harness.answers(gateway, 4), {1: b"runs", 2: b"x", 4: "Failed", 5: b"told"})
        self.assertEqual(harness.faults, [])
        table = harness.router.table
        self.assertEqual((len(table.slots), len(table.slot_by_id)), (0, 0))

    def test_reply_in_doubt_is_not_resent_after_a_transfer(self) -> None:
        # Guards against a run that takes the reply to one call for the reply to its next call.
        harness = self.harness
        harness.connect_gateway().sendall(harness.request("m", b"calls"))
        harness.next_command()
        harness.engine.send(b"NEED 1 %016x 4\r\nbody\r\n" % 1)
        database = harness.accept_database_link()
        harness.run_until_readable(database)
        database.send(b"%016x ROWS 5\r\nreply\r\n" % 1)
        self.assertEqual(harness.next_command(), (["FEED", f"{1:016x}"], b"reply"))
        harness.engine.sock.close()
        harness.run()
        harness.move()
        harness.run_until_readable(harness.engine_listener)
        harness.engine = harness.peer(harness.engine_listener.accept()[0])
        self.assertEqual(harness.next_command(), (["ATTACH", "1"], b""))
        harness.engine.send(b"HELLO old 60000\r\n")
        self.assertEqual(harness.next_command(), (["SKIP", f"{1:016x}", "1"], b""))
        self.assertEqual(harness.faults, [])

    def test_deadlines_and_draining_continue_after_a_transfer(self) -> None:
        # An import that restarted the waiting time would answer at 1,400 ms. The bound of 1,200 ms is below
        # that, and far enough above the deadline of 800 ms that a busy machine does not fail the test.
        harness = self.harness
        gateway = harness.connect_gateway()
        gateway.sendall(harness.request("m", b"late", wait="800"))
        harness.next_command()
        started_at_ms = harness.loop.clock_ms()
        harness.router.drain()
        harness.run(600.0)
        harness.move()
        self.assertTrue(harness.router.is_draining)
        self.assertEqual(harness.answers(gateway, 1), {1: "Failed"})
        self.assertLess(harness.loop.clock_ms() - started_at_ms, 1200.0)
        gateway.close()
        end_ms = harness.loop.clock_ms() + 10_000.0
        while harness.loop.is_running and harness.loop.clock_ms() < end_ms:
            harness.run()
        self.assertFalse(harness.loop.is_running)  # draining completes in the new router
        self.assertEqual(harness.faults, [])

    def test_listener_keeps_its_backlog(self) -> None:
        harness = self.harness
        waiting_gateway = harness.connect_gateway()  # connected but not accepted
        waiting_gateway.sendall(harness.request("m", b"early"))
        harness.move()
        self.assertEqual(harness.next_command(), (["RUN", f"{1:016x}", "m"], b"early"))
        harness.engine.send(b"DONE 1 %016x good 5 2\r\nok\r\n" % 1)
        self.assertEqual(harness.answers(waiting_gateway, 1), {1: b"ok"})

    def test_unsent_bytes_are_sent_exactly_once(self) -> None:
        harness = self.harness
        gateway = harness.connect_gateway()
        gateway.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        rpc_count = 30
        gateway.sendall(b"".join(harness.request("m", b"%d" % number) for number in range(rpc_count)))
        for number in range(rpc_count):
            harness.next_command()
            result = b"%04d" % number * 1000
            harness.engine.send(b"DONE %d %016x good 5 4000\r\n%b\r\n" % (number + 1, number + 1, result))
        harness.run(30.0)
        connection = next(iter(harness.router.gateways.connections))
        connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        harness.move()
        self.assertEqual(
            harness.answers(gateway, rpc_count),
            {number + 1: b"%04d" % number * 1000 for number in range(rpc_count)},
        )

    def test_old_router_continues_when_the_import_fails(self) -> None:
        harness = self.harness
        gateway = harness.connect_gateway()
        gateway.sendall(harness.request("m", b"runs"))
        harness.next_command()
        exported = StateExporter(harness.router).export()
        copies = [os.dup(descriptor) for descriptor in exported.descriptors]
        config_without_methods = replace(
            harness.config, settings=replace(harness.config.settings, methods=[]), methods={}
        )
        importer = StateImporter(exported.data, copies)
        with self.assertRaisesRegex(StateTransferError, "method"):
            importer.import_router(harness.new_loop(), config_without_methods, harness.log)
        harness.engine.send(b"DONE 1 %016x good 5 2\r\nok\r\n" % 1)
        self.assertEqual(harness.answers(gateway, 1), {1: b"ok"})


if __name__ == "__main__":
    unittest.main()
