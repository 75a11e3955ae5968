"""Tests graceful shutdown, with signals that arrive together with other events."""

import errno
import os
import signal
import socket
import unittest
from typing import Any

import msgpack

from landingshift.admission.interface import Idempotency
from landingshift.net.program.signals import SignalWatcher
from landingshift.net.transport.loop import Loop
from tests.helpers import METHOD, AdmissionBench, EngineStandIn, GatewayClient, ProgramUnderTest, wait_until
from tests.test_connections import GatewaysUnderTest


def connect_with_rpcs(program: ProgramUnderTest, count: int) -> list[GatewayClient]:
    """Connect gateways that each send an RPC; while the program is paused they wait to be accepted."""
    gateways = [GatewayClient(program) for _ in range(count)]
    for gateway in gateways:
        gateway.send_rpc()
    return gateways


class BacklogTest(unittest.TestCase):
    def test_drain_accepts_the_backlog_when_the_connection_table_is_full(self) -> None:
        # Closing the listener with a backlog would reset connections whose RPCs were sent before the signal.
        # With 80 sockets, 64 of them reserved, the connection table holds 16.
        program = ProgramUnderTest(self, limits={"sockets": 80}, settings__classes__0__late_share=0.0)
        accepted = [GatewayClient(program) for _ in range(16)]
        for gateway in accepted:
            gateway.send_rpc(wait="9000")
        with program.paused():
            backlog = connect_with_rpcs(program, 5)
            program.process.send_signal(signal.SIGTERM)
        answers = [gateway.read_final_answer()[1] for gateway in accepted + backlog]
        self.assertLessEqual(set(answers), {"Busy", "Failed"})
        for gateway in accepted + backlog:
            gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_listener_stays_open_until_descriptors_are_free(self) -> None:
        class DescriptorLimitedSocket:
            """A listening socket whose process has no descriptors left until the test frees some."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.is_exhausted, self.accept_count = sock, True, 0

            def accept(self) -> Any:
                self.accept_count += 1
                if self.is_exhausted:
                    raise OSError(errno.EMFILE, "too many open files")
                return self.sock.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(self.sock, name)

        harness = GatewaysUnderTest(self)
        peer = socket.create_connection(harness.gateways.listener.address)
        self.addCleanup(peer.close)
        peer.sendall(msgpack.packb([0, 1, "m", [{}, b"work"]]))
        listening = DescriptorLimitedSocket(harness.gateways.listener.sock)
        harness.gateways.listener.sock = listening  # type: ignore[assignment]
        harness.gateways.start_draining()
        harness.run_passes_until(lambda: listening.accept_count > 2)
        self.assertFalse(harness.gateways.is_drained())
        listening.is_exhausted = False
        harness.run_passes_until(lambda: harness.events.request_ids == [1])
        self.assertFalse(harness.gateways.listener.is_open)
        for connection in harness.gateways.connections:
            connection.stream.close("test")
        self.assertTrue(harness.gateways.is_drained())

    def test_reconnect_during_a_drain_is_refused(self) -> None:
        # It is neither accepted nor left in the backlog until the process is killed.
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        self.assertTrue(gateway.check_health()[0])
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.read_message(), [2, "goaway", []])
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(program.address, timeout=0.5)
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)


class DrainWithoutEngineTest(unittest.TestCase):
    def test_drain_without_engine_rejects_unread_rpcs(self) -> None:
        program = ProgramUnderTest(self, engine=False)
        accepted = GatewayClient(program)
        self.assertTrue(accepted.check_health()[0])
        with program.paused():
            message_id = accepted.send_rpc()
            unaccepted = connect_with_rpcs(program, 1)[0]
            program.process.send_signal(signal.SIGTERM)
        self.assertEqual(accepted.read_final_answer(), (message_id, "Busy"))
        self.assertEqual(unaccepted.read_final_answer(), (1, "Busy"))
        gateways = (accepted, unaccepted)
        self.assertEqual([gateway.read_until_end() for gateway in gateways], ["closed", "closed"])
        for gateway in gateways:
            gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(program.log_entries[-1]["event"], "stopped")

    def test_engine_up_after_the_shutdown_signal_starts_no_reports(self) -> None:
        program = ProgramUnderTest(self, engine=False)
        link = EngineStandIn(program, hello="")
        gateway = GatewayClient(program)
        self.assertTrue(gateway.check_health()[0])
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.read_message(), [2, "goaway", []])
        link.send_notice("HELLO old 60000")
        program.wait_for_log("engine_link")
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)
        program.roster.setblocking(False)
        with self.assertRaises(BlockingIOError):  # a report would make gateways send to a stopped server
            program.roster.recv(100)


class ShutdownSignalTest(unittest.TestCase):
    def test_repeated_signals_start_one_shutdown(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        with program.paused():
            partial_sender = GatewayClient(program)
            partial_sender.send(b"\x94\x00\x01\xa1m")  # an RPC that is never completed
            program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                program.process.send_signal(number)
        self.assertEqual(gateway.read_final_answer(), (message_id, b"r"))
        program.wait_for_log("mode")
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        self.assertFalse(gateway.check_health()[0])
        gateway.sock.close()
        partial_sender.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_health_check_sent_with_the_shutdown_signal_is_answered(self) -> None:
        for deep in ("", "1"):
            with self.subTest(deep=deep):
                program = ProgramUnderTest(self)
                gateway = GatewayClient(program)
                with program.paused():
                    gateway.send_health_check(deep=deep)
                    program.process.send_signal(signal.SIGTERM)
                self.assertEqual(gateway.read_message()[0], 1)
                self.assertFalse(gateway.check_health()[0])
                gateway.sock.close()
                self.assertEqual(program.wait_for_exit(), 0)

    def test_call_reply_received_with_the_shutdown_signal_reaches_the_run(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        rpc_id = gateway.last_rpc_id
        program.engine.expect_command("RUN", rpc_id)
        program.engine.send_notice("NEED 1", rpc_id, body=b"q")
        db = program.accept_database_link()
        db.read_line()
        with program.paused():
            db.send(f"{rpc_id} ROWS 2\r\nok\r\n".encode())
            program.process.send_signal(signal.SIGTERM)
        self.assertEqual(program.engine.expect_command("FEED", rpc_id), b"ok")
        program.engine.send_notice("DONE 2", rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_final_answer(), (message_id, b"r"))
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_engine_link_lost_with_the_shutdown_signal_is_reconnected(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("once")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        with program.paused():
            program.engine.sock.close()
            program.process.send_signal(signal.SIGTERM)
        link = EngineStandIn(program)
        link.send_notice("DONE 1", gateway.last_rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_final_answer(), (message_id, b"r"))
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_process_does_not_end_while_connections_are_open(self) -> None:
        # Closing a connection with unread bytes sends a reset, which can discard the answer.
        program = ProgramUnderTest(self, stop_ms=400)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait="9000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.read_final_answer(), (message_id, "Failed"))
        self.assertEqual(gateway.read_until_end(), "closed")  # the server's side only
        self.assertIsNone(program.process.poll())
        gateway.send(b"\x94\x00")  # part of a message
        self.assertIsNone(program.process.poll())
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(
            (program.log_entries[-1]["event"], program.log_entries[-1]["connections"]), ("stopped", 0)
        )

    def test_connection_closes_right_after_its_last_answer(self) -> None:
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(is_verified=True)
        peer.sendall(msgpack.packb([0, 1, "m", [{}, b"work"]]))
        harness.run_passes_until(lambda: harness.events.request_ids)
        harness.gateways.start_draining()
        harness.run_passes_until(lambda: not connection.stream.output)
        connection.goaway_deadline_ms = harness.loop.now_ms  # the gateway's time to close is over
        connection.answer(1, msgpack.packb([1, 1, None, [b"r", {}]]))
        pass_count = 0
        while not connection.stream.close_reason and pass_count < 3:
            harness.loop.after(0.0, lambda: None)
            harness.loop.run_pass()
            pass_count += 1
        self.assertEqual(connection.stream.close_reason, "goaway")

    def test_rpcs_are_answered_for_short_and_long_stop_times(self) -> None:
        for stop_ms in (60, 200, 9e6):
            with self.subTest(stop_ms=stop_ms):
                program = ProgramUnderTest(self, stop_ms=stop_ms)
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc(wait="700")
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.process.send_signal(signal.SIGTERM)
                self.assertEqual(gateway.read_final_answer(), (message_id, "Failed"))
                if stop_ms < 1e6:
                    self.assertEqual(program.wait_for_exit(), 0)
                else:
                    # It drains, but may keep its connections open until shortly before the stop.
                    self.assertFalse(gateway.check_health()[0])

    def test_short_stop_time_schedules_a_check_at_once(self) -> None:
        bench = AdmissionBench()
        managed = bench.read()
        bench.controller.settle()
        bench.actions.clear()
        bench.controller.start_draining(60.0)
        self.assertEqual(
            [action for action in bench.actions if action[0] == "schedule_check"], [("schedule_check", 1.0)]
        )
        bench.run_check(1.0)
        self.assertEqual(bench.action_names_of(managed), ["abort"])

    def test_stop_time_counts_from_the_signal_not_from_the_loop_pass(self) -> None:
        # A loop pass may take long. RPCs that arrive after the grace period must not run because of that.
        loop, received_signals = Loop(lambda: None), []
        previous_handlers = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
        signals = SignalWatcher(loop)
        for number, handler in previous_handlers.items():
            self.addCleanup(signal.signal, number, handler)
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.addCleanup(signals.reader.close)
        self.addCleanup(signals.writer.close)
        signals.on_signal = lambda number, at_ms: received_signals.append((number, at_ms))
        os.kill(os.getpid(), signal.SIGTERM)
        wait_until(lambda: signal.SIGTERM in signals.received_ms)
        signalled_by_ms = loop.clock_ms()
        wait_until(lambda: loop.clock_ms() > signalled_by_ms + 20.0)  # the rest of a long pass
        loop.run_pass()
        self.assertEqual([number for number, _ in received_signals], [signal.SIGTERM])
        self.assertLessEqual(received_signals[0][1], signalled_by_ms)

        bench = AdmissionBench(core_count=1)
        bench.set_time(400.0)
        bench.controller.start_draining(2000.0, 300.0)  # the grace period is 1,000 ms
        actions: dict[float, list[Any]] = {}
        for arrived_ms in (1099.0, 1101.0):
            bench.set_time(1200.0)
            managed = bench.read(method=METHOD, waited_ms=1200.0 - arrived_ms, remaining_ms=700.0)
            bench.controller.settle()
            actions[arrived_ms] = bench.action_names_of(managed)
        self.assertEqual(actions, {1099.0: ["start_run"], 1101.0: ["reject"]})
        self.assertIs(METHOD.idempotency, Idempotency.IDEMPOTENT)


if __name__ == "__main__":
    unittest.main()
