"""Tests pauses of the process in the middle of a pass of the event loop.

A pause matters only to the readings of the clocks that follow it. Each test therefore plays a pass once for
each reading in it, and pauses before that reading.
"""

from __future__ import annotations

import os
import signal
import socket
import unittest
from collections.abc import Callable
from math import inf

import msgpack

from landingshift.net.program.signals import WATCHED_SIGNALS, SignalWatcher
from landingshift.net.routing.engine_link import MAX_OUTAGE_MS
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.listener import Listener
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream
from landingshift.net.transport.unix_time import MAX_READING_MS, unix_offset_ms
from tests.helpers import wait_until
from tests.hot_restart_fixtures import RouterHarness
from tests.pausable_clocks import PAUSE_MS, PausableClocks, PauseAfterPoll, PauseTestCase

WINDOW_MS = 1000.0
WINDOW_SLACK_MS = 50.0  # how long before the end of its window a repeat arrives
GRACE_MS = 300.0  # `drain-grace` of the harness's configuration
TRUNCATION_MS = 1.0  # `at` is in whole milliseconds
REQUEST_START = b"\x94"  # the first byte of each request
WINDOW_MARGIN_MS = 1.0  # by which windows are longer than configured


class PausedPass:
    """A router with a connected gateway, whose next pass is paused.

    Attributes:
        arrived_ms: Bounds of the arrival of the request sent last, by the monotonic clock.
        was_paused_before_settle: Whether the controller decided after the pause.
    """

    def __init__(self, case: unittest.TestCase, clocks: PausableClocks) -> None:
        self.clocks = clocks
        self.harness = RouterHarness(case, repeat_window_ms=WINDOW_MS)
        case.addCleanup(lambda: case.assertEqual(self.harness.faults, []))
        self.loop = self.harness.loop
        self.gateway = self.harness.connect_gateway()
        self.harness.run()
        self.arrived_ms = (0.0, 0.0)
        self.was_paused_before_settle = False

    def send(self, **fields: str) -> None:
        """Sends a request of the method `token` that arrives now, and waits until it can be read."""
        self.gateway.sendall(self.request(**fields))
        first_connection = next(iter(self.harness.router.gateways.connections))
        wait_until(lambda: has_input(first_connection.stream.sock))

    def request(self, **fields: str) -> bytes:
        """Returns a request of the method `token` that arrives now."""
        earliest_ms = self.clocks.monotonic_ms() - TRUNCATION_MS
        at = str(int(self.clocks.unix_ms()))
        self.arrived_ms = (earliest_ms, self.clocks.monotonic_ms())
        return self.harness.request("token", b"work", at=at, **fields)

    def run(self, reading: int) -> None:
        """Runs a pass with a pause before the reading, if the pass has as many."""
        settle = self.loop.settle

        def record_and_settle() -> None:
            self.was_paused_before_settle = self.clocks.has_paused
            settle()

        self.loop.settle = record_and_settle
        self.clocks.pause_before_reading(reading)
        self.loop.run_pass()
        self.loop.settle = settle
        self.clocks.cancel_pause()

    def rpcs(self) -> list[RoutedRpc]:
        """Returns the RPCs in flight."""
        return list(self.harness.router.table)

    def window_ends_ms(self, token: str) -> float:
        """Returns the end of the deduplication window of a token."""
        return self.harness.router.dedup.entries[b"token", token].expires_ms


def has_input(sock: socket.socket) -> bool:
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False


class PauseWhileRequestIsReadTest(PauseTestCase):
    def test_token_does_not_run_twice_within_its_window(self) -> None:
        # The window once ended earlier by the length of the pause: a repeat in it ran a second time.
        def play(clocks: PausableClocks, reading: int) -> None:
            paused_pass = PausedPass(self, clocks)
            harness = paused_pass.harness
            paused_pass.send(once="a")
            paused_pass.run(reading)
            words, _ = harness.next_command()
            self.assertEqual(words[0], "RUN")
            harness.engine.send(b"DONE 1 %b good 5 1\r\nr\r\n" % words[1].encode())
            self.assertEqual(harness.answers(paused_pass.gateway, 1), {1: b"r"})
            within_ms = paused_pass.arrived_ms[0] + WINDOW_MS - WINDOW_SLACK_MS
            clocks.advance(within_ms - clocks.monotonic_ms())
            paused_pass.send(once="a")
            harness.run()
            self.assertEqual([rpc.rpc_id for rpc in paused_pass.rpcs()], [], "the repeat runs")
            self.assertEqual(harness.answers(paused_pass.gateway, 1), {2: b"r"})

        self.play_each_reading(play)

    def test_window_and_deadline_count_from_the_arrival(self) -> None:
        def play(clocks: PausableClocks, reading: int) -> None:
            paused_pass = PausedPass(self, clocks)
            paused_pass.send(once="a", wait="2000")
            paused_pass.run(reading)
            paused_pass.harness.run()
            (rpc,) = paused_pass.rpcs()
            assert rpc.managed is not None
            earliest_ms, latest_ms = paused_pass.arrived_ms
            for arrived_ms in (
                rpc.managed.arrived_at_ms,
                rpc.managed.deadline_at_ms - 2000.0,
                paused_pass.window_ends_ms("a") - WINDOW_MS - WINDOW_MARGIN_MS,
            ):
                self.assertLessEqual(earliest_ms, arrived_ms)
                self.assertLessEqual(arrived_ms, latest_ms + MAX_READING_MS)

        self.play_each_reading(play)

    def test_window_of_a_request_that_arrives_after_the_pause_in_the_same_pass(self) -> None:
        # The window once began at the poll, before the pause, since no request can have arrived after it.
        def play(clocks: PausableClocks, reading: int) -> None:
            paused_pass = PausedPass(self, clocks)
            other_gateway = paused_pass.harness.connect_gateway()
            paused_pass.harness.run()

            def send_rest() -> None:
                other_gateway.sendall(paused_pass.request(once="b")[len(REQUEST_START) :])

            paused_pass.send(once="a")
            other_gateway.sendall(REQUEST_START)  # the poll reports this connection, too
            clocks.on_pause = send_rest
            paused_pass.run(reading)
            paused_pass.harness.run()
            if clocks.has_paused:
                window_began_ms = paused_pass.window_ends_ms("b") - WINDOW_MS
                self.assertLessEqual(paused_pass.arrived_ms[0], window_began_ms)

        self.play_each_reading(play)

    def test_request_that_arrives_after_the_grace_of_a_drain_does_not_run(self) -> None:
        # It once counted as having arrived before the end of the grace, earlier by the length of the pause.
        def play(clocks: PausableClocks, reading: int) -> None:
            paused_pass = PausedPass(self, clocks)
            paused_pass.harness.router.shutdown.stop_ms = 10.0 * PAUSE_MS
            paused_pass.harness.router.drain()
            clocks.advance(GRACE_MS + WINDOW_SLACK_MS)
            paused_pass.send()
            paused_pass.run(reading)
            self.assertEqual(paused_pass.harness.answers(paused_pass.gateway, 1), {1: "Busy"})

        self.play_each_reading(play)

    def test_request_whose_time_ends_during_the_pause_is_rejected_unrun(self) -> None:
        def play(clocks: PausableClocks, reading: int) -> None:
            paused_pass = PausedPass(self, clocks)
            paused_pass.send(wait=str(int(PAUSE_MS / 2.0)))
            paused_pass.run(reading)
            if paused_pass.was_paused_before_settle:
                self.assertEqual(paused_pass.rpcs(), [])
                self.assertEqual(paused_pass.harness.answers(paused_pass.gateway, 1), {1: "Busy"})

        self.play_each_reading(play)


class HealthPauseTest(unittest.TestCase):
    def test_deep_health_check_after_a_pause_fails_if_the_engine_link_is_lost_for_too_long(self) -> None:
        # The outage of the link was once measured up to the poll, before the pause.
        clocks = PausableClocks(self)
        harness = RouterHarness(self)
        gateway = harness.connect_gateway()
        harness.run()
        harness.engine.sock.close()
        harness.run()
        self.assertTrue(harness.router.engine.is_working)
        clocks.advance(MAX_OUTAGE_MS - PAUSE_MS / 2.0)
        PauseAfterPoll(self, harness.loop, clocks).plan()
        gateway.sendall(msgpack.packb([0, 1, "probe", [{"deep": "1"}]]))
        harness.loop.run_pass()
        self.assertTrue(clocks.has_paused)
        self.assertEqual(harness.answers(gateway, 1), {1: False})


class UnixOffsetTest(unittest.TestCase):
    def test_offset_is_that_of_one_moment_wherever_a_pause_lies(self) -> None:
        clocks = PausableClocks(self)
        for reading in range(1, 7):
            with self.subTest(reading=reading):
                earliest_ms = clocks.unix_ms() - clocks.monotonic_ms()
                clocks.pause_before_reading(reading)
                self.assertAlmostEqual(unix_offset_ms(), earliest_ms, delta=MAX_READING_MS + 1.0)


class InputDuringPauseTest(unittest.TestCase):
    """Input that arrives during a pause after the poll is read in that pass, at a time after its arrival."""

    def setUp(self) -> None:
        self.clocks = PausableClocks(self)
        self.loop = Loop(lambda: self.fail("a handler raised"))
        self.addCleanup(self.loop.selector.close)
        self.pause = PauseAfterPoll(self, self.loop, self.clocks)
        self.pause.plan()
        self.read_at_ms: list[float] = []
        self.arrived_ms = inf

    def run_paused_pass(self, send: Callable[[], None]) -> None:
        """Runs a pass in which the process is paused after the poll; `send` is called in the pause."""

        def on_pause() -> None:
            send()
            self.arrived_ms = self.clocks.monotonic_ms()

        self.clocks.on_pause = on_pause
        self.loop.run_pass()
        self.assertTrue(self.clocks.has_paused)

    def on_data(self, _data: bytes) -> None:
        self.read_at_ms.append(self.loop.now_ms)

    def on_eof(self) -> None:
        """Does nothing."""

    def on_closed(self, _reason: str) -> None:
        """Does nothing."""

    def connected_socket(self) -> socket.socket:
        """Returns the peer's end of a new stream."""
        remote, local = socket.socketpair()
        self.addCleanup(remote.close)
        self.addCleanup(local.close)
        local.setblocking(False)
        Stream(self.loop, local, self, 1 << 16)
        return remote

    def test_bytes_of_a_stream_are_read_after_they_arrived(self) -> None:
        remote = self.connected_socket()
        remote.send(b"a")
        self.run_paused_pass(lambda: remote.send(b"b"))
        self.assertEqual(len(self.read_at_ms), 1)
        self.assertGreaterEqual(self.read_at_ms[0], self.arrived_ms)

    def test_connection_is_accepted_after_it_was_opened(self) -> None:
        accepted_at_ms: list[float] = []

        def on_accept(sock: socket.socket) -> None:
            accepted_at_ms.append(self.loop.now_ms)
            sock.close()

        def connect() -> None:
            self.addCleanup(socket.create_connection(listener.address).close)

        listener = Listener(self.loop, ("127.0.0.1", 0), lambda _has_descriptors: True, on_accept)
        self.addCleanup(listener.close)
        connect()
        self.run_paused_pass(connect)
        self.assertEqual(len(accepted_at_ms), 2)
        self.assertGreaterEqual(accepted_at_ms[1], self.arrived_ms)

    def test_signal_is_delivered_after_it_was_received(self) -> None:
        # A drain once seemed to begin before its signal, and its grace ended earlier.
        delivered: dict[int, tuple[float, float]] = {}
        previous_handlers = {number: signal.getsignal(number) for number in WATCHED_SIGNALS}
        signals = SignalWatcher(self.loop)
        for number, handler in previous_handlers.items():
            self.addCleanup(signal.signal, number, handler)
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.addCleanup(signals.close)
        self.addCleanup(signals.writer.close)

        def on_signal(number: int, received_ms: float) -> None:
            delivered[number] = (received_ms, self.loop.now_ms)

        signals.on_signal = on_signal
        os.kill(os.getpid(), signal.SIGHUP)
        self.run_paused_pass(lambda: os.kill(os.getpid(), signal.SIGTERM))
        self.assertEqual(set(delivered), {signal.SIGHUP, signal.SIGTERM})
        received_ms, delivered_ms = delivered[signal.SIGTERM]
        self.assertLessEqual(received_ms, delivered_ms)

    def test_timer_due_in_the_pause_fires_after_input_that_arrived_before_it(self) -> None:
        remote = self.connected_socket()
        events: list[str] = []
        self.loop.after(PAUSE_MS / 2.0, lambda: events.append(f"timer after {len(self.read_at_ms)} reads"))
        self.run_paused_pass(lambda: remote.send(b"a"))
        self.loop.after(0.0, lambda: None)
        self.loop.run_pass()
        self.assertEqual(events, ["timer after 1 reads"])

    def test_settle_is_called_with_the_time_after_the_pause(self) -> None:
        settled_at_ms: list[float] = []
        self.loop.settle = lambda: settled_at_ms.append(self.loop.now_ms)
        self.run_paused_pass(lambda: None)
        self.assertGreaterEqual(settled_at_ms[0], self.arrived_ms)


if __name__ == "__main__":
    unittest.main()
