"""Tests that no client takes more of a pass of the loop than its turn, however fast it sends."""

import contextlib
import socket
import time
import unittest
from typing import Any

import msgpack

from landingshift.net.routing.gateway_connection import (
    MAX_MESSAGES_PER_TURN,
    MAX_OPEN_RPCS,
    GatewayConnection,
)
from landingshift.net.routing.input_backlog import MAX_TURN_TIME_MS, MAX_UNVERIFIED_PER_READ, InputBacklog
from landingshift.net.transport.loop import MAX_CATCH_UP_MS, MAX_POLL_AGE_MS, SLOW_PASS_MS, Loop
from landingshift.net.transport.stream import READ_BYTES
from tests.helpers import ProgramUnderTest
from tests.hot_restart_fixtures import RouterHarness
from tests.load_fixtures import OtherClient, RunningEngine, anonymous_mb, flooded
from tests.test_connections import GatewaysUnderTest, rpc_request

FLOOD_SECONDS = 2.0
MAX_MEDIAN_MS = SLOW_PASS_MS / 2.0  # a pass that takes `SLOW_PASS_MS` is reported as a fault
MEMORY_MB = 32
RESULT_MEMORY_FRACTION = 0.25  # of the memory limit, for cached results, as README.md states


def health_check(message_id: int) -> bytes:
    return bytes(msgpack.packb([0, message_id, "probe", [{}]]))


class TurnsOfConnectionsTest(unittest.TestCase):
    """Turns on a loop whose passes the test runs."""

    def setUp(self) -> None:
        self.harness = GatewaysUnderTest(self)

    def test_messages_beyond_a_turn_are_handled_in_later_passes(self) -> None:
        # Guards against a client that keeps the loop busy with small messages on one connection: other
        # clients got their answers late.
        harness, events = self.harness, self.harness.events
        peer, connection = harness.connect(is_verified=True)
        count = 10 * MAX_MESSAGES_PER_TURN
        peer.sendall(b"".join(health_check(i) for i in range(count)))
        handled_before = 0

        def run_pass() -> bool:
            nonlocal handled_before
            handled = len(events.health_check_ids)
            self.assertLessEqual(handled - handled_before, MAX_MESSAGES_PER_TURN)
            handled_before = handled
            return handled == count

        harness.run_passes_until(run_pass)
        self.assertEqual(events.health_check_ids, list(range(count)))
        self.assertEqual((connection.is_waiting, connection.undecoded_bytes), (False, 0))

    def test_waiting_connection_is_not_read(self) -> None:
        # Guards against input that grows without end while it waits to be handled.
        harness = self.harness
        peer, connection = harness.connect(is_verified=True)
        peer.setblocking(False)
        data = b"".join(health_check(i) for i in range(2000))

        def send_more() -> bool:
            with contextlib.suppress(BlockingIOError):
                peer.send(data)
            self.assertLess(connection.undecoded_bytes, 2 * READ_BYTES)
            return len(harness.events.health_check_ids) > 4000

        harness.run_passes_until(send_more)

    def test_rpcs_of_a_connection_beyond_its_turn_are_in_excess(self) -> None:
        # Guards against RPCs that have waited in a flood, and so are older, starting before those of others.
        harness = self.harness
        is_behind: list[bool] = []
        record = harness.events.on_request

        def on_request(connection: GatewayConnection, request: Any) -> None:
            is_behind.append(connection.is_behind)
            record(connection, request)

        harness.events.on_request = on_request  # type: ignore[method-assign]
        peer, connection = harness.connect(is_verified=True)
        others, _ = harness.connect(is_verified=True)
        checks = b"".join(health_check(100 + i) for i in range(MAX_MESSAGES_PER_TURN))
        peer.sendall(rpc_request(1) + checks + rpc_request(2))
        others.sendall(b"".join(rpc_request(i) for i in range(MAX_OPEN_RPCS)))
        harness.run_passes_until(lambda: len(is_behind) == MAX_OPEN_RPCS + 2)
        self.assertEqual(is_behind.count(True), 1)
        self.assertTrue(is_behind[-1])
        peer.sendall(rpc_request(3))  # everything has been read by now
        harness.run_passes_until(lambda: len(is_behind) == MAX_OPEN_RPCS + 3)
        self.assertFalse(is_behind[-1])
        self.assertFalse(connection.is_behind)

    def test_input_of_many_unverified_connections_is_spread_over_passes(self) -> None:
        # Guards against hundreds of unknown clients that send at once.
        harness = self.harness
        peers = [harness.connect()[0] for _ in range(3 * MAX_UNVERIFIED_PER_READ)]
        gateway, _ = harness.connect(is_verified=True)
        for i, peer in enumerate(peers):
            peer.sendall(health_check(i))
        time.sleep(0.05)
        harness.loop.run_pass()
        self.assertEqual(len(harness.events.health_check_ids), MAX_UNVERIFIED_PER_READ)
        gateway.sendall(health_check(999))
        time.sleep(0.05)
        harness.loop.run_pass()
        self.assertIn(999, harness.events.health_check_ids)  # a verified connection does not wait for them
        harness.run_passes_until(lambda: len(harness.events.health_check_ids) == len(peers) + 1)

    def test_message_whose_end_arrives_while_others_wait_is_handled(self) -> None:
        # Guards against a message that is forgotten, since its end was received while no turn was left.
        harness = self.harness
        peer, connection = harness.connect()
        data = health_check(999)
        peer.sendall(data[:-1])
        harness.run_passes_until(lambda: connection.decoder.scanner is not None)
        others = [harness.connect()[0] for _ in range(2 * MAX_UNVERIFIED_PER_READ)]
        for i, other in enumerate(others):
            other.sendall(health_check(i))
        time.sleep(0.05)
        harness.loop.run_pass()
        self.assertTrue(harness.gateways.context.backlog.waiting)
        peer.sendall(data[-1:])
        time.sleep(0.05)
        harness.loop.run_pass()
        harness.run_passes_until(lambda: 999 in harness.events.health_check_ids)

    def test_turns_in_one_pass_end_after_their_time(self) -> None:
        loop = Loop(lambda: self.fail("a handler raised"))
        backlog = InputBacklog(loop)

        class SlowConnection:
            def __init__(self) -> None:
                self.turn_count = 0

            def handle_input(self) -> None:
                self.turn_count += 1
                time.sleep(MAX_TURN_TIME_MS / 1000.0)
                backlog.add(self)

        connections = [SlowConnection() for _ in range(3)]
        for connection in connections:
            backlog.add(connection)
        for pass_count in range(1, 7):
            loop.run_pass()
            self.assertEqual(sum(connection.turn_count for connection in connections), pass_count)
        self.assertEqual([connection.turn_count for connection in connections], [2, 2, 2])

    def test_waiting_messages_are_handled_after_a_hot_restart(self) -> None:
        harness = RouterHarness(self)
        gateway = harness.connect_gateway()
        gateway.sendall(b"".join(health_check(i) for i in range(5 * MAX_MESSAGES_PER_TURN)))
        for _ in range(100):
            harness.loop.after(0.0, lambda: None)  # keeps the pass from waiting for events
            harness.loop.run_pass()
            if any(connection.is_waiting for connection in harness.router.gateways.connections):
                break
        (connection,) = harness.router.gateways.connections
        self.assertTrue(connection.is_waiting)
        harness.move()
        answers = harness.answers(gateway, 5 * MAX_MESSAGES_PER_TURN)
        self.assertEqual((len(answers), harness.faults), (5 * MAX_MESSAGES_PER_TURN, []))


class BusyLoopTest(unittest.TestCase):
    def test_busy_loop_does_not_go_on_reading_as_after_a_pause(self) -> None:
        # Guards against a busy process that takes a long pass for a pause, and reads on before it decides and
        # answers: each pass became up to 16 times as long.
        loop = Loop(lambda: self.fail("a handler raised"))
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        theirs.send(b"x")
        handled_count = 0

        class BusyWatcher:
            def on_ready(self, _mask: int) -> None:
                nonlocal handled_count
                handled_count += 1
                time.sleep((MAX_POLL_AGE_MS + 1.0 if handled_count == 1 else MAX_CATCH_UP_MS) / 1000.0)

        loop.watch(ours.fileno(), 1, BusyWatcher())
        loop.run_pass()
        self.assertLessEqual(handled_count, 4)


class FloodTest(unittest.TestCase):
    """One client floods the program on one connection, which the engine has recognized."""

    def test_others_get_their_answers_and_memory_stays_bounded_during_a_flood(self) -> None:
        # Guards against a client that sends small or invalid requests at full speed, also under new names.
        for kind in ("invalid", "unknown method", "health check", "too many open", "new keys", "withdrawn"):
            with self.subTest(kind=kind):
                program = ProgramUnderTest(self, limits={"memory_mb": MEMORY_MB})
                with RunningEngine(program):
                    other = OtherClient(program)
                    other.send_one()
                    before_mb = anonymous_mb(program)
                    with flooded(program, kind, FLOOD_SECONDS):
                        other.latencies_ms.clear()
                        other.send_for(FLOOD_SECONDS)
                    growth_mb = anonymous_mb(program) - before_mb
                self.assertEqual(set(other.answers), {"ok"})
                self.assertLess(other.median_ms(), MAX_MEDIAN_MS)
                self.assertLess(growth_mb, MEMORY_MB * RESULT_MEMORY_FRACTION)


if __name__ == "__main__":
    unittest.main()
