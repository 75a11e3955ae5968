"""The notice to leave against what else may come in the same moment."""

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


def waiting(program: ProgramUnderTest, count: int) -> list[GatewayClient]:
    """Gateways whose connections wait to be accepted, each with an RPC written."""
    waiting_gateways = [GatewayClient(program) for _ in range(count)]
    for one in waiting_gateways:
        one.send_rpc()
    return waiting_gateways


class BacklogTest(unittest.TestCase):
    def test_drain_accepts_what_waits_though_the_table_is_full(self) -> None:
        # Closing the listener over them would reset what was written before the notice.
        # 16 connections.
        program = ProgramUnderTest(self, limits={"sockets": 80}, settings__classes__0__late_share=0.0)
        waiting_gateways = [GatewayClient(program) for _ in range(16)]
        for one in waiting_gateways:
            one.send_rpc(wait="9000")
        with program.paused():
            late = waiting(program, 5)
            program.process.send_signal(signal.SIGTERM)
        answers = [one.read_final_answer()[1] for one in waiting_gateways + late]
        self.assertLessEqual(set(answers), {"Busy", "Failed"})
        for one in waiting_gateways + late:
            one.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_listener_stays_open_until_descriptors_are_free(self) -> None:
        class Short:
            """The listening socket of a process that has no descriptors left."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.short, self.asked = sock, True, 0

            def accept(self) -> Any:
                self.asked += 1
                if self.short:
                    raise OSError(errno.EMFILE, "too many open files")
                return self.sock.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(self.sock, name)

        harness = GatewaysUnderTest(self)
        waits = socket.create_connection(harness.gateways.listener.address)
        self.addCleanup(waits.close)
        waits.sendall(msgpack.packb([0, 1, "m", [{}, b"work"]]))
        short = Short(harness.gateways.listener.sock)
        harness.gateways.listener.sock = short  # type: ignore[assignment]
        harness.gateways.start_draining()
        harness.run_passes_until(lambda: short.asked > 2)
        self.assertFalse(harness.gateways.is_drained())
        short.short = False
        harness.run_passes_until(lambda: harness.events.request_ids == [1])
        self.assertFalse(harness.gateways.listener.is_open)
        for connection in harness.gateways.connections:
            connection.stream.close("test")
        self.assertTrue(harness.gateways.is_drained())

    def test_reconnect_during_a_drain_is_refused(self) -> None:
        # Neither taken, nor left waiting until after the stop.
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
    def test_drain_without_engine_rejects_what_waits_unread(self) -> None:
        program = ProgramUnderTest(self, engine=False)
        known = GatewayClient(program)
        self.assertTrue(known.check_health()[0])
        with program.paused():
            message_id = known.send_rpc()
            late = waiting(program, 1)[0]
            program.process.send_signal(signal.SIGTERM)
        self.assertEqual(known.read_final_answer(), (message_id, "Busy"))
        self.assertEqual(late.read_final_answer(), (1, "Busy"))
        self.assertEqual([one.read_until_end() for one in (known, late)], ["closed", "closed"])
        for one in (known, late):
            one.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(program.log_entries[-1]["event"], "stopped")

    def test_engine_up_after_the_notice_starts_no_reports(self) -> None:
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
        with self.assertRaises(BlockingIOError):  # gateways would send to what is gone
            program.roster.recv(100)


class DrainNoticeTest(unittest.TestCase):
    def test_repeated_signals_are_one_notice(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        with program.paused():
            half = GatewayClient(program)
            half.send(b"\x94\x00\x01\xa1m")  # an RPC that never becomes whole
            program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                program.process.send_signal(number)
        self.assertEqual(gateway.read_final_answer(), (message_id, b"r"))
        program.wait_for_log("mode")
        program.process.send_signal(signal.SIGTERM)
        program.process.send_signal(signal.SIGHUP)
        self.assertFalse(gateway.check_health()[0])
        gateway.sock.close()
        half.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_health_check_at_the_moment_of_the_notice_is_answered(self) -> None:
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

    def test_call_and_answer_at_the_moment_of_the_notice(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        rid = gateway.last_rpc_id
        program.engine.expect_command("RUN", rid)
        program.engine.send_notice("NEED 1", rid, body=b"q")
        db = program.accept_database_link()
        db.read_line()
        with program.paused():
            db.send(f"{rid} ROWS 2\r\nok\r\n".encode())
            program.process.send_signal(signal.SIGTERM)
        self.assertEqual(program.engine.expect_command("FEED", rid), b"ok")
        program.engine.send_notice("DONE 2", rid, "good 9", body=b"r")
        self.assertEqual(gateway.read_final_answer(), (message_id, b"r"))
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)

    def test_engine_link_lost_at_the_moment_of_the_notice(self) -> None:
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
        # What lies unread in one of them would make its close a reset, which takes the answer along.
        program = ProgramUnderTest(self, stop_ms=400)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait="9000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.read_final_answer(), (message_id, "Failed"))
        self.assertEqual(gateway.read_until_end(), "closed")  # its half
        self.assertIsNone(program.process.poll())
        gateway.send(b"\x94\x00")  # half a line
        self.assertIsNone(program.process.poll())
        gateway.sock.close()
        self.assertEqual(program.wait_for_exit(), 0)
        self.assertEqual(
            (program.log_entries[-1]["event"], program.log_entries[-1]["connections"]), ("stopped", 0)
        )

    def test_connection_closes_right_after_its_last_answer(self) -> None:
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(proven=True)
        peer.sendall(msgpack.packb([0, 1, "m", [{}, b"work"]]))
        harness.run_passes_until(lambda: harness.events.request_ids)
        harness.gateways.start_draining()
        harness.run_passes_until(lambda: not connection.stream.output)
        connection.goaway_deadline_ms = harness.loop.now_ms  # the time that it had is over
        connection.answer(1, msgpack.packb([1, 1, None, [b"r", {}]]))
        passes = 0
        while not connection.stream.close_reason and passes < 3:
            harness.loop.after(0.0, lambda: None)
            harness.loop.run_pass()
            passes += 1
        self.assertEqual(connection.stream.close_reason, "goaway")

    def test_rpcs_are_answered_within_short_and_long_notices(self) -> None:
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
                    # It leaves, but has all the time that it was given.
                    self.assertFalse(gateway.check_health()[0])

    def test_short_notice_is_checked_at_once(self) -> None:
        bench = AdmissionBench()
        job = bench.read()
        bench.controller.settle()
        bench.actions.clear()
        bench.controller.start_draining(60.0)
        self.assertEqual([d for d in bench.actions if d[0] == "schedule_check"], [("schedule_check", 1.0)])
        bench.run_check(1.0)
        self.assertEqual(bench.action_names_of(job), ["abort"])

    def test_notice_counts_from_the_signal_not_from_the_pass(self) -> None:
        # A pass of the loop may take long; what comes after the grace must not run for that.
        loop, signals_heard = Loop(lambda: None), []
        previous_handlers = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
        signals = SignalWatcher(loop)
        for number, handler in previous_handlers.items():
            self.addCleanup(signal.signal, number, handler)
        self.addCleanup(signal.set_wakeup_fd, -1)
        self.addCleanup(signals.reader.close)
        self.addCleanup(signals.writer.close)
        signals.on_signal = lambda number, at: signals_heard.append((number, at))
        os.kill(os.getpid(), signal.SIGTERM)
        wait_until(lambda: signal.SIGTERM in signals.received_ms)
        after = loop.clock_ms()
        wait_until(lambda: loop.clock_ms() > after + 20.0)  # the rest of a long pass
        loop.run_pass()
        self.assertEqual([number for number, _ in signals_heard], [signal.SIGTERM])
        self.assertLessEqual(signals_heard[0][1], after)

        bench = AdmissionBench(core_count=1)
        bench.set_time(400.0)
        bench.controller.start_draining(2000.0, 300.0)  # the grace is 1,000 ms
        runs: dict[float, list[Any]] = {}
        for arrived in (1099.0, 1101.0):
            bench.set_time(1200.0)
            job = bench.read(method=METHOD, waited_ms=1200.0 - arrived, remaining_ms=700.0)
            bench.controller.settle()
            runs[arrived] = bench.action_names_of(job)
        self.assertEqual(runs, {1099.0: ["start_run"], 1101.0: ["reject"]})
        self.assertIs(METHOD.idempotency, Idempotency.IDEMPOTENT)


if __name__ == "__main__":
    unittest.main()
