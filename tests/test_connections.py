"""Tests closes of gateway connections by either side while messages arrive on them."""

import contextlib
import socket
import struct
import time
import unittest
from typing import Any
from unittest import mock

import msgpack

from landingshift.net.protocol import gateway as wire
from landingshift.net.routing.gateway_connection import (
    GOAWAY_GRACE_MS,
    MAX_MESSAGE_MS,
    VERIFICATION_TIME_MS,
    GatewayConnection,
)
from landingshift.net.routing.gateways import Gateways
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import LINGER_MS, MAX_DISCARDED_BYTES, MAX_LINGERS, Stream
from tests.helpers import EngineStandIn, GatewayClient, ProgramUnderTest, wait_until
from tests.test_server import resident_mb, verify


class RecordedGatewayEvents:
    """Records what gateways send; an RPC stays open until the test answers it."""

    def __init__(self) -> None:
        self.request_ids: list[int] = []
        self.health_check_ids: list[int] = []
        self.abandoned_ids: list[int] = []

    def on_request(self, connection: GatewayConnection, request: wire.Request) -> None:
        connection.rpcs[request.message_id] = request  # type: ignore[assignment]
        self.request_ids.append(request.message_id)

    def on_abandoned(self, rpc: Any) -> None:
        self.abandoned_ids.append(rpc.message_id)

    def on_health_check(self, connection: GatewayConnection, request: wire.Request) -> None:
        self.health_check_ids.append(request.message_id)


class GatewaysUnderTest:
    """The server's gateway connections on a loop whose passes the test runs."""

    def __init__(
        self,
        case: unittest.TestCase,
        max_connections: int = 64,
        idle_limit_ms: float = 30000.0,
        max_undecoded_bytes: int = 1 << 26,
    ) -> None:
        self.test, self.events, self.close_reasons = case, RecordedGatewayEvents(), list[str]()
        self.loop = Loop(lambda: case.fail("a handler raised"))
        self.clock_lead_ms = 0.0  # of the loop's clock over the system's
        case.enterContext(mock.patch.object(self.loop, "clock_ms", self.clock_ms))
        self.gateways = Gateways(
            self.loop,
            ("127.0.0.1", 0),
            max_connections,
            1 << 26,
            max_undecoded_bytes,
            idle_limit_ms,
            log=self.log,
        )
        self.gateways.start(self.events)
        case.addCleanup(self.gateways.listener.close)

    def log(self, event: str, reason: str = "", **_: Any) -> None:
        if event == "connection":
            self.close_reasons.append(reason)

    def connect(self, is_verified: bool = False) -> tuple[socket.socket, GatewayConnection]:
        """Connect a peer; return its socket and the accepted connection."""
        before = set(self.gateways.connections)
        peer = socket.create_connection(self.gateways.listener.address)
        self.test.addCleanup(peer.close)
        peer.settimeout(5.0)
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.run_passes_until(lambda: set(self.gateways.connections) != before)
        (connection,) = set(self.gateways.connections) - before
        self.test.addCleanup(connection.stream.sock.close)
        connection.is_verified = is_verified
        return peer, connection

    def run_passes_until(self, condition: Any) -> None:
        def run_pass() -> bool:
            self.loop.after(0.0, lambda: None)  # keeps the pass from waiting for events
            self.loop.run_pass()
            return bool(condition())

        wait_until(run_pass)

    def clock_ms(self) -> float:
        return Loop.clock_ms() + self.clock_lead_ms

    def advance_clock(self, ms: float) -> None:
        """Advances the loop's clock without a pass, so that received bytes stay unread."""
        self.clock_lead_ms += ms
        self.loop.update_now()


def rpc_request(message_id: int = 1) -> bytes:
    return msgpack.packb([0, message_id, "m", [{}, b"work"]])


def wait_for_unread_bytes(connection: GatewayConnection) -> None:
    """Waits until bytes are in the connection's socket."""
    wait_until(lambda: bool(peek(connection.stream.sock)))


def peek(sock: socket.socket) -> bytes:
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return b""


class ServerClosesTest(unittest.TestCase):
    """The server closes a connection while messages for it may be unread."""

    def test_socket_is_read_once_more_before_an_idle_connection_is_closed(self) -> None:
        for reason, is_verified, wait_ms in [
            ("unverified", False, VERIFICATION_TIME_MS),
            ("after goaway", True, GOAWAY_GRACE_MS),
        ]:
            with self.subTest(reason=reason):
                harness = GatewaysUnderTest(self)
                peer, connection = harness.connect(is_verified)
                if is_verified:
                    connection.send_goaway()
                    harness.run_passes_until(lambda c=connection: not c.stream.output)
                peer.sendall(rpc_request())
                wait_for_unread_bytes(connection)
                harness.advance_clock(wait_ms + 1.0)
                connection.check_idle()
                self.assertEqual((harness.events.request_ids, connection.stream.close_reason), ([1], ""))
                connection.answer(1, wire.encode_ok(1, b"r", {}))
                harness.run_passes_until(lambda c=connection: not c.stream.output)
                self.assertIn(msgpack.packb([1, 1, None, [b"r", {}]]), peer.recv(4096))

    def test_eviction_spares_a_connection_that_has_just_sent(self) -> None:
        harness = GatewaysUnderTest(self, max_connections=2)
        (first_peer, first), (second_peer, second) = harness.connect(), harness.connect()
        for _ in range(3):
            harness.run_passes_until(lambda: True)
        first_peer.sendall(rpc_request())
        wait_for_unread_bytes(first)
        self.assertFalse(harness.gateways.evict_idle())  # the connection idle for longest has just sent
        self.assertEqual(
            (harness.events.request_ids, first.stream.is_open, second.stream.is_open), ([1], True, True)
        )
        self.assertTrue(harness.gateways.evict_idle())
        self.assertEqual((first.stream.is_open, second.stream.is_open), (True, False))
        self.assertEqual(second_peer.recv(10), b"")

    def test_partial_message_closes_only_after_owed_answers(self) -> None:
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(is_verified=True)
        peer.sendall(rpc_request() + rpc_request(2)[:9])
        harness.run_passes_until(lambda: harness.events.request_ids)
        harness.advance_clock(MAX_MESSAGE_MS + 1.0)
        connection.check_idle()
        self.assertEqual((connection.stream.is_open, connection.stream.close_reason), (True, ""))
        connection.answer(1, wire.encode_ok(1, b"r", {}))
        connection.check_idle()
        self.assertEqual(msgpack.unpackb(peer.recv(4096))[:3], [1, 1, None])
        self.assertEqual(connection.stream.close_reason, "unfinished")  # no answer is owed any more

    def test_connection_with_unsent_goaway_is_still_read(self) -> None:
        # `goaway` is queued behind answers that a slow reader has not read, so the gateway keeps sending.
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(is_verified=True)
        peer.sendall(rpc_request())
        harness.run_passes_until(lambda: harness.events.request_ids)
        connection.stream.max_unsent_bytes = 1 << 24
        connection.answer(1, bytes(1 << 23))
        connection.send_goaway()
        harness.run_passes_until(lambda: True)
        self.assertTrue(connection.stream.output)
        harness.advance_clock(GOAWAY_GRACE_MS + 1.0)
        connection.check_idle()
        peer.sendall(rpc_request(2))
        harness.run_passes_until(lambda: len(harness.events.request_ids) > 1)
        self.assertEqual(connection.stream.close_reason, "")
        harness.advance_clock(2.0 * GOAWAY_GRACE_MS + 1.0)
        connection.answer(2, b"")
        connection.check_idle()
        self.assertEqual(
            connection.stream.close_reason, "goaway"
        )  # a slow reader cannot stay connected for ever

    def test_undecoded_input_of_all_connections_is_bounded(self) -> None:
        # Guards against hundreds of clients that stop half way through a large request.
        harness = GatewaysUnderTest(self, max_undecoded_bytes=30000)
        answer_is_owed, _ = owed = harness.connect(is_verified=True)
        answer_is_owed.sendall(rpc_request() + rpc_request(2)[:9])
        harness.run_passes_until(lambda: owed[1].decoder.buffer)
        incomplete = msgpack.packb([0, 1, "m", [{}, bytes(12000)]])[:-1]
        senders = []
        for is_verified in (True, False, True):
            senders.append(harness.connect(is_verified))
            senders[-1][0].sendall(incomplete)
            harness.run_passes_until(lambda: len(senders[-1][1].decoder.buffer) in (0, len(incomplete)))
        harness.run_passes_until(lambda: senders[1][1].stream.close_reason)
        self.assertEqual(
            [connection.stream.close_reason for _, connection in [owed, *senders]], ["", "", "unfinished", ""]
        )
        budget = harness.gateways.context.undecoded_budget
        harness.run_passes_until(lambda: budget.used_bytes == 9 + 2 * len(incomplete))
        for peer, _ in [owed, *senders]:
            peer.close()
        harness.run_passes_until(lambda: len(harness.gateways.connections) == 0)
        self.assertEqual(budget.used_bytes, 0)

    def test_requests_after_the_half_close_are_ignored(self) -> None:
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(is_verified=True)
        connection.stream.close_gracefully("goaway")
        peer.sendall(rpc_request())
        self.assertEqual(peer.recv(10), b"")
        peer.close()
        harness.run_passes_until(lambda: harness.close_reasons)
        self.assertEqual((harness.events.request_ids, harness.close_reasons), ([], ["goaway"]))

    def test_bytes_after_a_cut_off_are_discarded_up_to_a_bound(self) -> None:
        harness = GatewaysUnderTest(self)
        peer, connection = harness.connect(is_verified=True)
        connection.stream.close_gracefully("goaway")
        peer.setblocking(False)
        data = bytes(MAX_DISCARDED_BYTES // 4)

        def is_closed() -> bool:
            try:
                peer.send(data)
            except BlockingIOError:
                pass
            except OSError:
                return True
            return not connection.stream.is_open

        harness.run_passes_until(is_closed)
        self.assertLess(connection.stream.discarded_bytes, 3 * MAX_DISCARDED_BYTES)

    def test_answers_written_before_a_cut_off_arrive(self) -> None:
        # With bytes unread, an immediate close would send a reset, which can discard the answer.
        program = ProgramUnderTest(self)
        for first, reason in [
            (msgpack.packb([0, 1, "unknown", [{}, b""]]), "bad_rpc"),
            (msgpack.packb([0, 1, "probe", [{}]]) + b"\xc1", "garbage"),
        ]:
            with self.subTest(reason=reason):
                gateway = GatewayClient(program)
                with program.paused():
                    gateway.send(first + bytes(40000))
                self.assertEqual(gateway.read_message()[1], 1)
                self.assertEqual(gateway.read_until_end(), "closed")
                gateway.sock.close()
                self.assertEqual(program.wait_for_log("connection")["reason"], reason)


class GatewayClosesTest(unittest.TestCase):
    def stream_with_unsent_output(self) -> tuple[Stream, socket.socket]:
        """Return a stream with more output than the socket buffers hold, and its peer socket."""
        loop = Loop(lambda: self.fail("a handler raised"))
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        owner = RecordedGatewayEvents()
        owner.on_closed = lambda reason: None  # type: ignore[attr-defined]
        stream = Stream(loop, ours, owner, 1 << 26)  # type: ignore[arg-type]
        stream.write(bytes(1 << 25))
        return stream, theirs

    def test_half_closed_slow_reader_gets_all_its_answers(self) -> None:
        stream, theirs = self.stream_with_unsent_output()
        stream.is_reading = False
        stream.close_gracefully("closed_by_gateway")
        for _ in range(3):  # waits in each of which the peer reads something
            theirs.recv(65536)
            stream.flush()
            stream.linger()
            self.assertTrue(stream.is_open)
        stream.linger()
        self.assertFalse(stream.is_open)  # nothing read during one wait

    def test_lingering_ends_after_a_bounded_number_of_waits(self) -> None:
        stream, theirs = self.stream_with_unsent_output()
        stream.close_gracefully("goaway")
        wait_count = 0
        while stream.is_open and wait_count < 3 * MAX_LINGERS:
            theirs.recv(4096)
            stream.sent_bytes += 1  # simulates progress
            stream.linger()
            wait_count += 1
        self.assertLessEqual(wait_count, MAX_LINGERS + 1)
        self.assertGreater(LINGER_MS, 0.0)

    def test_half_closed_connection_gets_answers_to_its_rpc_and_health_check(self) -> None:
        program = ProgramUnderTest(self)
        gateway, other_gateway = GatewayClient(program), GatewayClient(program)
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        with program.paused():
            other_gateway.send_health_check(deep="1")
            for client in (gateway, other_gateway):
                client.sock.shutdown(socket.SHUT_WR)
            program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(
            (gateway.read_final_answer(), gateway.read_until_end()), ((message_id, b"r"), "closed")
        )
        self.assertEqual(
            (other_gateway.read_final_answer(), other_gateway.read_until_end()), ((1, True), "closed")
        )

    def test_reset_in_each_state_ends_only_its_connection(self) -> None:
        program = ProgramUnderTest(self)
        other = GatewayClient(program)
        verify(program, other)
        notice = 1
        for state in ("idle", "half", "running", "calling", "answered", "half closed"):
            with self.subTest(state=state):
                gateway = GatewayClient(program)
                rpc_id = ""
                if state == "half":
                    gateway.send(rpc_request()[:9])
                elif state != "idle":
                    gateway.send_rpc("once")
                    rpc_id = gateway.last_rpc_id
                    program.engine.expect_command("RUN", rpc_id)
                if state == "calling":
                    notice += 1
                    program.engine.send_notice("NEED", notice, rpc_id, body=b"q")
                    db = program.accept_database_link()
                    db.read_line()
                if state == "answered":
                    notice += 1
                    program.engine.send_notice("DONE", notice, rpc_id, "good 5", body=b"r")
                    gateway.read_answer()
                if state == "half closed":
                    gateway.sock.shutdown(socket.SHUT_WR)
                    self.assertEqual(gateway.read_message(), [2, "goaway", []])
                gateway.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                gateway.sock.close()
                self.assertIn(program.wait_for_log("connection")["reason"], ("reset", "closed_by_gateway"))
                if state == "calling":
                    self.assertEqual(db.read_line()[0], ["X", rpc_id])
                if state in ("running", "calling", "half closed"):
                    notice += 1
                    program.engine.send_notice("DONE", notice, rpc_id, "good 5", body=b"for nobody")
        message_id = other.send_rpc()
        program.engine.expect_command("RUN", other.last_rpc_id)
        program.engine.send_notice("DONE", notice + 1, other.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(other.read_answer(), (message_id, b"r"))


class MessageFormsTest(unittest.TestCase):
    def test_requests_decode_from_any_messagepack_encoding_and_fragmentation(self) -> None:
        # A gateway's MessagePack library may use longer encodings than the shortest one.
        def text(value: str, form: str) -> bytes:
            raw = value.encode()
            head = {"8": b"\xd9%c" % len(raw), "16": b"\xda" + struct.pack(">H", len(raw)),
                    "32": b"\xdb" + struct.pack(">I", len(raw))}  # fmt: skip
            return head[form] + raw

        def array(count: int, form: str) -> bytes:
            return {"8": bytes([0x90 | count]), "16": b"\xdc" + struct.pack(">H", count),
                    "32": b"\xdd" + struct.pack(">I", count)}[form]  # fmt: skip

        def table(count: int, form: str) -> bytes:
            return {"8": bytes([0x80 | count]), "16": b"\xde" + struct.pack(">H", count),
                    "32": b"\xdf" + struct.pack(">I", count)}[form]  # fmt: skip

        def number(value: int, form: str) -> bytes:
            return {"8": b"\xcc%c" % value, "16": b"\xcd" + struct.pack(">H", value),
                    "32": b"\xd2" + struct.pack(">i", value)}[form]  # fmt: skip

        def blob(value: bytes, form: str) -> bytes:
            return {"8": b"\xc4%c" % len(value), "16": b"\xc5" + struct.pack(">H", len(value)),
                    "32": b"\xc6" + struct.pack(">I", len(value))}[form] + value  # fmt: skip

        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for i, form in enumerate(("8", "16", "32")):
            for pieces in (1, 7, 10_000):
                with self.subTest(form=form, pieces=pieces):
                    program.rpc_count += 1
                    hex_digits = "ABCDEF" if pieces == 7 else "abcdef"  # ids in either case are valid
                    rpc_id = f"{hex_digits}{program.rpc_count:010}"
                    params = {"id": rpc_id, "at": str(int(time.time() * 1000)), "from": "1",
                            "tenant": "t", "wait": "2500", "kb": "2.5", "new": "x"}  # fmt: skip
                    message_id = 10 * i + min(pieces, 9)
                    data = array(4, form) + number(0, form) + number(message_id, form) + text("m", form)
                    data += array(2, form) + table(len(params), form)
                    data += b"".join(text(k, form) + text(v, form) for k, v in params.items())
                    data += blob(b"\x00work", form)
                    size = max(1, len(data) // pieces)
                    for start in range(0, len(data), size):
                        gateway.send(data[start : start + size])
                    self.assertEqual(program.engine.expect_command("RUN", params["id"]), b"\x00work")
                    program.engine.send_notice("DONE", program.rpc_count, params["id"], "good 5", body=b"r")
                    self.assertEqual(gateway.read_answer(), (message_id, b"r"))


class DescriptorLimitTest(unittest.TestCase):
    def test_engine_link_reconnects_while_idle_clients_fill_the_connection_table(self) -> None:
        program = ProgramUnderTest(self, limits={"sockets": 96})
        program.roster.close()  # reports to the roster go nowhere
        gateway = GatewayClient(program)
        verify(program, gateway)
        # With 96 sockets the connection table holds 32; these clients connect and send nothing.
        idle_clients = [GatewayClient(program) for _ in range(60)]
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.sock.close()  # the new engine link needs a descriptor
        link = EngineStandIn(program)
        link.send_notice("DONE 2", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        self.assertTrue(GatewayClient(program).check_health()[0])
        self.assertTrue(all(client.is_closed_by_program() for client in idle_clients))

    def test_serves_with_fewer_descriptors_than_configured(self) -> None:
        # The system's limit counts: gateways must leave descriptors for the engine and database links.
        program = ProgramUnderTest(self, limits={"sockets": 1024}, max_descriptors=96)
        with program.paused():  # so that each accepted connection has an RPC and none can be evicted
            clients = [GatewayClient(program) for _ in range(100)]
            for client in clients:
                client.send_rpc(wait="9000")
        program.wait_for_log("connections_full")
        ids = [program.engine.next_command()[0][1] for _ in range(20)]
        program.engine.send_notice("NEED 1", ids[0], body=b"q")
        self.assertEqual(program.accept_database_link().read_line()[0][:2], ["Q", ids[0]])
        program.engine.sock.close()
        self.assertEqual(EngineStandIn(program).attach_command, ["ATTACH", "1"])

    def test_gateway_is_served_during_a_flood_of_unknown_clients(self) -> None:
        program = ProgramUnderTest(self, limits={"sockets": 128})
        gateway = GatewayClient(program)
        verify(program, gateway)
        flood = [msgpack.packb([0, 1, "m", [{"id": "x"}, b""]]), b"\xc1" * 2000, rpc_request()[:9], b""]
        clients = []
        for i in range(200):
            clients.append(GatewayClient(program))
            with contextlib.suppress(OSError):  # the server may have evicted it already
                clients[-1].send(flood[i % len(flood)])
            if i % 20 == 0:
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.engine.send_notice("DONE", i // 20 + 2, gateway.last_rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        self.assertTrue(all(client.is_closed_by_program() for client in clients))
        self.assertLess(resident_mb(program.process.pid), 64.0)


if __name__ == "__main__":
    unittest.main()
