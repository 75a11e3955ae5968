"""Tests that the requests of a client that has left do not run, and that no id runs twice."""

import socket
import struct
import unittest

from landingshift.net.routing.started_ids import MAX_IDS_PER_GENERATION, StartedIds
from tests.helpers import GatewayClient, ProgramUnderTest, wait_until
from tests.load_fixtures import RunningEngine
from tests.test_server import verify

METHODS = ("m", "token", "once")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
UNREAD_COUNT = 30


class DepartedClientTest(unittest.TestCase):
    def leave(self, gateway: GatewayClient, kind: str) -> None:
        if kind == "reset":
            gateway.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        gateway.sock.close()

    def test_requests_that_are_unread_when_their_client_closes_do_not_run(self) -> None:
        # Guards against requests that were sent on to the engine although their client had left.
        for kind in ("close", "reset"):
            for is_verified in (True, False):
                for body_bytes in (10, 2048):  # what one read holds, and four times as much
                    with self.subTest(kind=kind, is_verified=is_verified, body_bytes=body_bytes):
                        program = ProgramUnderTest(self)
                        gateway, other = GatewayClient(program), GatewayClient(program)
                        if is_verified:
                            verify(program, gateway)
                        with program.paused():
                            ids = []
                            for i in range(UNREAD_COUNT):
                                gateway.send_rpc(METHODS[i % 3], bytes(body_bytes), once=f"{i:016x}")
                                ids.append(gateway.last_rpc_id)
                            self.leave(gateway, kind)
                        with RunningEngine(program, last_notice_number=int(is_verified)) as engine:
                            other_id = other.send_rpc()
                            self.assertEqual(other.read_final_answer(), (other_id, b"r"))
                            self.assertEqual([rpc_id for rpc_id in ids if rpc_id in engine.run_counts], [])

    def test_half_closed_client_that_still_reads_is_served(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        with program.paused():
            ids = [gateway.send_rpc() for _ in range(UNREAD_COUNT)]
            gateway.sock.shutdown(socket.SHUT_WR)
        with RunningEngine(program):
            answers = [gateway.read_final_answer() for _ in ids]
            self.assertEqual(sorted(answers), [(message_id, b"r") for message_id in ids])
            self.assertEqual(gateway.read_until_end(), "closed")

    def test_id_does_not_run_again_after_its_client_has_left(self) -> None:
        # Guards against an id that runs twice when it comes again on another connection.
        for method in METHODS:
            with self.subTest(method=method):
                program = ProgramUnderTest(self)
                gateway, other = GatewayClient(program), GatewayClient(program)
                gateway.send_rpc(method)
                rpc_id = gateway.last_rpc_id
                program.engine.expect_command("RUN", rpc_id)
                self.leave(gateway, "close")
                program.wait_for_log("connection")
                program.engine.send_notice("DONE 1", rpc_id, "good 5", body=b"r")
                wait_until(lambda other=other: bool(other.check_health()[0]))
                with RunningEngine(program, last_notice_number=1) as engine:
                    message_id = other.send_rpc(method, id=rpc_id)
                    self.assertEqual(other.read_final_answer(), (message_id, "Failed"))
                    self.assertEqual(engine.run_counts.total(), 0)

    def test_id_that_ran_is_aborted_also_while_no_request_is_accepted(self) -> None:
        # Guards against "Busy", which means that the RPC never ran, for an id that ran.
        program = ProgramUnderTest(self, limits={"sockets": 200}, settings__extra__n_cores=1)
        gateway = GatewayClient(program)
        verify(program, gateway)
        for other in [
            GatewayClient(program) for _ in range(33)
        ]:  # more RPCs than unverified clients may have
            for _ in range(32):
                other.send_rpc(wait="9000", kb="0.001")
            other.send_health_check()
            while other.read_message()[1] != other.last_message_id:
                pass
        late = GatewayClient(program)
        for rpc_id, answer in [(f"{1:016x}", "Failed"), (f"{99999:016x}", "Busy")]:
            message_id = late.send_rpc("once", id=rpc_id)
            self.assertEqual(late.read_answer(), (message_id, answer))


class StartedIdsTest(unittest.TestCase):
    def test_ids_are_remembered_for_their_time_and_their_number_is_bounded(self) -> None:
        ids = StartedIds(min_age_ms=1000.0)
        for i in range(400):
            ids.add(b"%d" % i, 10.0 * i)
            for age in range(min(i, 100)):
                self.assertIn(b"%d" % (i - age), ids)
        self.assertNotIn(b"0", ids)
        for i in range(5 * MAX_IDS_PER_GENERATION):
            ids.add(b"%d" % i, 5000.0)
        self.assertLessEqual(len(ids.current) + len(ids.previous), 2 * MAX_IDS_PER_GENERATION)


if __name__ == "__main__":
    unittest.main()
