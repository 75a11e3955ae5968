"""Starts the program and speaks to it over loopback."""

import contextlib
import copy
import os
import resource
import select
import signal
import socket
import tempfile
import time
import unittest
from typing import Any

import msgpack

from tests.helpers import CONFIG, EngineStandIn, GatewayClient, ProgramUnderTest, launch_program


def prove(program: ProgramUnderTest, gateway: GatewayClient) -> None:
    """An RPC that the engine knows and ends with notice 1."""
    message_id = gateway.send_rpc()
    program.engine.expect_command("RUN", gateway.last_rpc_id)
    program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
    assert gateway.read_answer() == (message_id, b"r")


class ServingTest(unittest.TestCase):
    def test_each_end_of_a_run_is_answered_by_its_outcome(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        for end, answer in [
            ("good", b"\x00\r\nany"), ("good", b""), ("bad", "Failed"), ("cut", "Failed"), ("gone", "Failed"),
            (None, "Failed"),
        ]:  # fmt: skip
            with self.subTest(end=end):
                message_id = gateway.send_rpc(body=b"\r\n\xff" + bytes(2000))
                self.assertEqual(
                    program.engine.expect_command("RUN", gateway.last_rpc_id, "m"), b"\r\n\xff" + bytes(2000)
                )
                if end is None:
                    program.engine.send_notice("NO RUN", gateway.last_rpc_id)
                else:
                    result = answer if isinstance(answer, bytes) else b""
                    program.engine.send_notice(
                        "DONE", program.rpc_count, gateway.last_rpc_id, end, 12.5, body=result
                    )
                self.assertEqual(gateway.read_answer(), (message_id, answer))

    def test_bytes_one_by_one_and_many_messages_at_once(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        told = {"id": "ab" * 8, "at": str(int(time.time() * 1000)),
                "from": "1", "tenant": "t", "wait": "2500", "kb": "2.5"}  # fmt: skip
        for byte in msgpack.packb([0, 1, "m", [told, b"x" * 40]]):
            gateway.send(bytes([byte]))
        program.engine.expect_command("RUN", "ab" * 8)
        for byte in b"DONE 1 %b good 3 4\r\nr\r\ns\r\n" % (b"ab" * 8):
            program.engine.send(bytes([byte]))
        self.assertEqual(gateway.read_answer(), (1, b"r\r\ns"))
        gateway.last_message_id = 1
        numbers = [gateway.send_rpc(wait="2000") for _ in range(33)]
        self.assertEqual(gateway.read_answer(), (numbers[32], "Busy"))  # 32 may be open
        ids = [program.engine.next_command()[0][1] for _ in range(32)]
        program.engine.send(
            b"".join(b"DONE %d %b good 1 1\r\nx\r\n" % (i + 2, r.encode()) for i, r in enumerate(ids))
        )
        self.assertEqual(sorted(gateway.read_answer() for _ in range(32)), [(n, b"x") for n in numbers[:32]])

    def test_bad_fields_are_answered_once_as_never_run(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        prove(program, gateway)
        for method, change in [
            ("x", {}), ("m", {"id": "xyz"}), ("m", {"id": "a b\r\nRUN"}), ("m", {"tenant": "u"}),
            ("m", {"at": None}),
            ("m", {"wait": "-1"}), ("m", {"wait": "nan"}), ("m", {"kb": "1e3"}), ("m", {"kb": "3000"}),
            ("m", {"from": 4}), ("m", {"body": bytes(2049)}), ("m", {"body": "text"}),
            ("m", {"id": b"\xff" * 16}),
            ("m", {"wait": "0"}), ("token", {"once": "1", "wait": "0"}),
            # Taken for an age or a deadline, these would make the module believe that it drowns.
            ("m", {"at": "1"}), ("m", {"at": "99999999999999"}), ("m", {"wait": "999999999"}),
        ]:  # fmt: skip
            with self.subTest(method=method, **change):
                message_id = gateway.send_rpc(method, **change)
                self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
        message_id = gateway.send_rpc()
        twin = gateway.send_rpc(id=f"{program.rpc_count:016x}")
        self.assertEqual(gateway.read_answer(), (twin, "Busy"))  # two with one id could not be told apart
        program.rpc_count -= 1
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE", 2, gateway.last_rpc_id, "good", 2, body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_malformed_bytes_end_only_their_connection(self) -> None:
        program = ProgramUnderTest(self)
        other = GatewayClient(program)
        message_id = other.send_rpc(wait="9000")
        for data, reason in [
            (b"\xc1", "garbage"), (b"GET / HTTP/1.1\r\n\r\n", "bad_message"),
            (msgpack.packb([0, 1, "m"]), "bad_message"), (msgpack.packb([1, 1, None, 1]), "bad_message"),
            (msgpack.packb([0, True, "m", []]), "bad_message"),
            (b"\x94\x00\x01\xa1m\x92\x80\xc6\x7f\xff\xff\xff" + bytes(17000), "oversized"),
            (b"\x9f" * 5000, "garbage"),
            (msgpack.packb([0, 5, "probe", [{}]]) + msgpack.packb([2, "unknown", []]) + b"\xc1", "garbage"),
        ]:  # fmt: skip
            with self.subTest(reason=reason, data=data[:20]):
                gateway = GatewayClient(program)
                gateway.send(data)
                self.assertTrue(gateway.is_closed_by_program())
                gateway.sock.close()
                self.assertEqual(program.wait_for_log("connection")["reason"], reason)
        gateway = GatewayClient(program)
        self.assertEqual((gateway.send_rpc(wait="9000000000000000"), "Busy"), gateway.read_answer())
        self.assertTrue(gateway.is_closed_by_program())  # it has brought nothing else
        program.engine.expect_command("RUN")
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 2", body=b"r")
        self.assertEqual(other.read_answer(), (message_id, b"r"))

    def test_every_rpc_is_answered_by_its_deadline(self) -> None:
        program = ProgramUnderTest(self, settings__extra__n_cores=1)
        gateway = GatewayClient(program)
        start = time.monotonic()
        runs = gateway.send_rpc(wait="400")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        held_id = gateway.send_rpc(wait="400")
        outcomes = {}
        while len(outcomes) < 2:
            number, outcomes[number] = gateway.read_answer()
        self.assertEqual(outcomes, {runs: "Failed", held_id: "Busy"})
        self.assertLess(time.monotonic() - start, 0.53)  # the slack of the rule; no gauges meanwhile
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 400", body=b"late")  # answered once only
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 2", gateway.last_rpc_id, "good 1", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_after_a_pause_sockets_are_read_before_deadlines(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait="600")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        os.kill(program.process.pid, signal.SIGSTOP)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"in time")
        time.sleep(0.8)
        os.kill(program.process.pid, signal.SIGCONT)
        self.assertEqual(gateway.read_answer(), (message_id, b"in time"))

    def test_cancelled_rpc_is_not_answered(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("NEED 1", gateway.last_rpc_id, body=b"q")
        db = program.accept_database_link()
        self.assertEqual(db.read_line()[0][:2], ["Q", gateway.last_rpc_id])
        gateway.send(msgpack.packb([2, "giveUp", [message_id]]))
        self.assertEqual(db.read_line()[0], ["X", gateway.last_rpc_id])
        program.engine.send_notice("DONE 2", gateway.last_rpc_id, "cut 9 0")
        # The next message, not an answer to what was given up.
        self.assertEqual(gateway.check_health()[0], True)

    def test_a_gateway_that_only_stops_writing_gets_its_answer(self) -> None:
        program = ProgramUnderTest(self)
        for leaves in (False, True):
            with self.subTest(leaves=leaves):
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                if leaves:
                    gateway.sock.close()
                    self.assertEqual(program.wait_for_log("connection")["open"], 1)
                    program.engine.send_notice("DONE 2", gateway.last_rpc_id, "good 9", body=b"for nobody")
                else:
                    gateway.sock.shutdown(socket.SHUT_WR)
                    self.assertEqual(gateway.read_message(), [2, "goaway", []])
                    program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 9", body=b"r")
                    self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                    self.assertEqual(program.wait_for_log("connection")["reason"], "closed_by_gateway")


class RepeatsTest(unittest.TestCase):
    def test_repeats_are_answered_by_the_first_attempt(self) -> None:
        program = ProgramUnderTest(self, settings__extra__share_for=60000.0)
        gateway = GatewayClient(program)
        notice = 0
        for method, field, end, answers in [
            ("m", "key", "good", b"r"), ("token", "once", "good", b"r"), ("token", "once", "bad", "Failed"),
        ]:  # fmt: skip
            with self.subTest(method=method, end=end):
                told = {field: f"{notice:016x}"}
                numbers = [gateway.send_rpc(method, **told)]
                first = gateway.last_rpc_id
                program.engine.expect_command("RUN", first)
                numbers.append(gateway.send_rpc(method, **told))  # while it runs
                self.assertEqual(gateway.check_health()[0], True)
                notice += 1
                program.engine.send_notice("DONE", notice, first, end, 9, body=b"r" if end == "good" else b"")
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(message_id, answers) for message_id in numbers],
                )
                message_id = gateway.send_rpc(method, **told)  # from the kept result
                self.assertEqual(gateway.read_answer(), (message_id, answers))
        message_id = gateway.send_rpc("m", key="f" * 16)
        program.engine.expect_command("RUN", gateway.last_rpc_id)


class EngineLinkTest(unittest.TestCase):
    def test_rpcs_before_the_engine_is_up_are_rejected(self) -> None:
        program = ProgramUnderTest(self, engine=False)
        link = EngineStandIn(program, hello="")
        self.assertEqual(link.attach_command, ["ATTACH", "0"])
        gateway = GatewayClient(program)
        self.assertEqual(gateway.check_health()[0], True)
        self.assertEqual(gateway.check_health(deep="1")[0], False)  # no work gets done here yet
        message_id = gateway.send_rpc()
        self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
        link.send_notice("HELLO new 10")
        self.assertEqual(program.wait_for_log("engine_link")["cold"], True)
        message_id = gateway.send_rpc()
        link.expect_command("RUN", gateway.last_rpc_id)
        self.assertEqual(program.roster.recv(100), b"HERE n3 on")
        self.assertEqual(gateway.check_health(deep="1")[0], True)

    def test_link_lost_and_attached_again_goes_on_with_its_runs(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        numbers = []
        for _ in range(3):
            numbers.append(gateway.send_rpc())
            program.engine.expect_command("RUN", gateway.last_rpc_id)
        done, waits, unsaid = numbers
        program.engine.send_notice("NEED 1", f"{2:016x}", body=b"q")
        db = program.accept_database_link()
        self.assertEqual(db.read_line()[1], b"q")
        program.engine.sock.close()
        program.wait_for_log("engine_link_lost")
        once, token, plain = gateway.send_rpc("once"), gateway.send_rpc("token", once="1"), gateway.send_rpc()
        db.send(b"%016x ROWS 2\r\nok\r\n" % 2)
        self.assertEqual(gateway.check_health()[0], True)
        link = EngineStandIn(program)
        self.assertEqual(link.attach_command, ["ATTACH", "1"])
        link.send_notice("NEED 1", f"{2:016x}", body=b"q")  # told again: must not lead to a second call
        link.send_notice("DONE 2", f"{1:016x}", "good 7", body=b"while away")
        link.send_notice("NOTE 3 anything at all")
        link.send_notice("DONE 2", f"{1:016x}", "good 7", body=b"again")
        said = [link.next_command() for _ in range(5)]
        # What was given to the lost link and can run again is said again, as is all that came meanwhile.
        self.assertEqual(
            sorted((s[0][0], int(s[0][1], 16)) for s in said),
            [("FEED", 2), ("RUN", 3), ("RUN", 4), ("RUN", 5), ("RUN", 6)],
        )
        for notice, i in enumerate((2, 3, 4, 5, 6), 4):
            link.send_notice("DONE", notice, f"{i:016x}", "good 7", body=b"r")
        answers = [gateway.read_answer() for _ in range(6)]
        self.assertEqual(answers[0], (done, b"while away"))
        self.assertEqual(sorted(answers[1:]), [(n, b"r") for n in (waits, unsaid, once, token, plain)])

    def test_run_that_may_have_happened_is_not_sent_again(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("once", wait="900")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.sock.close()
        link = EngineStandIn(program)
        link.expect_command("RUN", gateway.last_rpc_id)  # only once it is answered, to hear how it ended
        self.assertEqual(gateway.read_answer(), (message_id, "Failed"))
        link.send_notice("DONE 1", gateway.last_rpc_id, "gone 0 0")
        other_id = gateway.send_rpc("once")
        link.expect_command("RUN", gateway.last_rpc_id)
        link.send_notice("DONE 2", gateway.last_rpc_id, "good 3", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_silent_engine_link_is_closed_and_made_again(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(wait="9000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        self.assertEqual(program.wait_for_log("engine_link_lost")["reason"], "silent")
        link = EngineStandIn(program)
        link.send_notice("DONE 1", gateway.last_rpc_id, "good 3", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_malformed_notice_ends_the_engine_link(self) -> None:
        program = ProgramUnderTest(self)
        for i, data in enumerate(
            [b"DONE x y\r\n", b"?" * 600, b"NEED 1 aa 99999999\r\n", b"DONE 1 a good x 0\r\n"]
        ):
            with self.subTest(data=data[:20]):
                program.engine.send(data)
                self.assertTrue(program.engine.is_closed_by_program())
                program.engine = EngineStandIn(program)
                self.assertEqual(program.engine.attach_command, ["ATTACH", "0"], i)


class DatabaseCallsTest(unittest.TestCase):
    def test_each_database_reply_feeds_or_retries_the_run(self) -> None:
        for reply, retried in [
            ("ROWS 3\r\na\r\n\r\n", False), ("ROWS 0\r\n\r\n", False), ("FULL\r\n", True), ("FAIL\r\n", True),
            ("TIMEOUT\r\n", True), ("NONE\r\n", True),
        ]:  # fmt: skip
            with self.subTest(reply=reply):
                # A new one each: a store that never answers well is not asked three times.
                program = ProgramUnderTest(self)
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.engine.send_notice("NEED", 1, gateway.last_rpc_id, body=b"q\r\n")
                # A second call for one RPC goes on another link: a copy of the first reply may still come.
                links = [program.accept_database_link() for _ in range(3 if retried else 1)]
                for link in links:
                    words, body = link.read_line()
                    self.assertEqual((words[:2], body), (["Q", gateway.last_rpc_id], b"q\r\n"))
                    link.send(f"{gateway.last_rpc_id} {reply}".encode())
                    link.sock.close()
                if retried:
                    program.engine.expect_command("SKIP", gateway.last_rpc_id, "1")
                else:
                    self.assertEqual(
                        program.engine.expect_command("FEED", gateway.last_rpc_id),
                        reply.partition("\r\n")[2][:-2].encode(),
                    )
                program.engine.send_notice("DONE", 2, gateway.last_rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_calls_on_a_lost_database_link_are_retried_where_safe(self) -> None:
        for refused in (False, True):
            with self.subTest(refused=refused):
                program = ProgramUnderTest(self)
                gateway = GatewayClient(program)
                if refused:
                    program.database_listener.close()
                for method in ("m", "once"):
                    message_id = gateway.send_rpc(method)
                    program.engine.expect_command("RUN", gateway.last_rpc_id)
                    program.engine.send_notice("NEED", 2 * program.rpc_count, gateway.last_rpc_id, body=b"q")
                    # A broken link proves nothing: what may have had its effect is not called again.
                    for _ in range(0 if refused else 3 if method == "m" else 1):
                        db = program.accept_database_link()
                        self.assertEqual(db.read_line()[0][:2], ["Q", gateway.last_rpc_id])
                        db.sock.close()
                    if method == "m":
                        program.engine.expect_command("SKIP", gateway.last_rpc_id)
                        program.engine.send_notice(
                            "DONE", 2 * program.rpc_count + 1, gateway.last_rpc_id, "good 5", body=b"r"
                        )
                    self.assertEqual(gateway.read_answer(), (message_id, b"r" if method == "m" else "Failed"))

    def test_call_without_reply_times_out(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc("once", wait="2000")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("NEED 1", gateway.last_rpc_id, body=b"q")
        db = program.accept_database_link()
        self.assertEqual(db.read_line()[0][:2], ["Q", gateway.last_rpc_id])
        self.assertTrue(db.is_closed_by_program())  # which gives it up
        self.assertEqual(gateway.read_answer()[1], "Failed")

    def test_malformed_reply_costs_only_its_own_call(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        notice = 0
        for reply in [
            b"%b ROWS 9\r\nok\r\n", b"%b ROWS 1\r\nok\r\n", b"%b ROWS 0\r\nok\r\n", b"%b ROWS -2\r\nok\r\n",
            b"%b ROWS 3000000000\r\n", b"%b ROWS 60000\r\nx", b"%b MAYBE\r\n", b"\x00\xff\r\n%b",
            b"%b " + b"x" * 600, b"%b ROWS", b"%b ROWS 2 2\r\nok\r\n",
        ]:  # fmt: skip
            with self.subTest(reply=reply[:20]):
                message_id, other_id = gateway.send_rpc("once"), gateway.send_rpc()
                ids = [program.engine.next_command()[0][1] for _ in range(2)]
                calls = []
                for rid in ids:
                    notice += 1
                    program.engine.send_notice("NEED", notice, rid, body=b"q")
                    calls.append(program.accept_database_link())
                    self.assertEqual(calls[-1].read_line()[0][1], rid)
                spoilt = ids.index(f"{program.rpc_count:016x}")
                start = time.monotonic()
                calls[spoilt].send(reply.replace(b"%b", ids[spoilt].encode()))
                self.assertTrue(calls[spoilt].is_closed_by_program())
                again = program.accept_database_link()  # this method may call again
                self.assertEqual(again.read_line()[0][:2], ["Q", ids[spoilt]])
                self.assertLess(time.monotonic() - start, 0.25)  # long before the call would run out of time
                # Good replies with more than belongs to them are good.
                for db, rid in ((calls[1 - spoilt], ids[1 - spoilt]), (again, ids[spoilt])):
                    db.send(b"%b ROWS 1\r\n?\r\n" % (b"e" * 16) + b"%b ROWS 2\r\nok\r\n" % rid.encode() * 2)
                for _ in range(2):
                    words, body = program.engine.next_command()
                    self.assertEqual((words[0], body), ("FEED", b"ok"))
                for rid in ids:
                    notice += 1
                    program.engine.send_notice("DONE", notice, rid, "good 5", body=b"r")
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(message_id, b"r"), (other_id, b"r")],
                )
                calls[1 - spoilt].sock.close()
                again.sock.close()

    def test_a_late_reply_is_not_taken_for_that_of_the_next_call(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("NEED 1", gateway.last_rpc_id, body=b"q")
        first = program.accept_database_link()
        first.read_line()
        second = program.accept_database_link()  # on a link of its own
        self.assertEqual(second.read_line()[0][:2], ["Q", gateway.last_rpc_id])
        first.send(f"{gateway.last_rpc_id} ROWS 4\r\nlate\r\n".encode())
        second.send(f"{gateway.last_rpc_id} ROWS 3\r\nnew\r\n".encode())
        self.assertEqual(program.engine.expect_command("FEED", gateway.last_rpc_id), b"new")


class PeersTest(unittest.TestCase):
    def test_serves_on_when_descriptors_run_out(self) -> None:
        # 64 of the configured sockets are not for gateways.
        for configured, system_limit, max_connections in [(80, 1024, 16), (256, 30, 40)]:
            with self.subTest(configured=configured, system_limit=system_limit):
                program = ProgramUnderTest(self, limits={"sockets": configured})
                resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (system_limit, system_limit))
                # Who has something open keeps its place.
                clients, numbers = [], []
                for _ in range(max_connections):
                    clients.append(GatewayClient(program))
                    numbers.append(clients[-1].send_rpc(wait="9000"))
                    time.sleep(0.01)
                more = [GatewayClient(program) for _ in range(60)]
                program.wait_for_log("connections_full")
                ids = [program.engine.next_command()[0][1] for _ in range(12)]
                for i, rid in enumerate(ids):
                    program.engine.send_notice("DONE", i + 1, rid, "good 5", body=b"r")
                self.assertEqual(
                    [one.read_answer() for one in clients[:12]], [(n, b"r") for n in numbers[:12]]
                )
                for gateway in clients + more:
                    gateway.sock.close()
                program.wait_for_log("connections_available")
                self.assertEqual(GatewayClient(program).check_health()[0], True)
                self.assertLess(cpu(program.process.pid), 2.0)  # an accept that can't be done must not spin

    def test_gateway_that_does_not_read_is_closed_as_stalled(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        gateway.sock.settimeout(5.0)
        flood = b"".join(msgpack.packb([0, i, "probe", [{}]]) for i in range(1, 20001))
        try:
            for _ in range(200):
                gateway.sock.sendall(flood)
        except OSError:
            pass
        while program.wait_for_log("connection")["reason"] != "stalled":
            pass
        self.assertEqual(GatewayClient(program).check_health()[0], True)
        self.assertLess(resident(program.process.pid), 64.0)

    def test_idle_verified_connections_get_goaway(self) -> None:
        program = ProgramUnderTest(self, settings__extra__caller_idle=400.0)
        silent, polite = GatewayClient(program), GatewayClient(program)
        prove(program, polite)
        self.assertEqual(polite.read_message(), [2, "goaway", []])
        message_id = polite.send_rpc()  # crossed it: still answered
        program.engine.expect_command("RUN", polite.last_rpc_id)
        program.engine.send_notice("DONE 2", polite.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(polite.read_answer(), (message_id, b"r"))
        polite.sock.close()
        self.assertTrue(silent.is_closed_by_program())
        reasons = {program.wait_for_log("connection")["reason"] for _ in range(2)}
        self.assertEqual(reasons, {"closed_by_gateway", "quiet"})

    def test_unverified_connection_is_closed_after_a_second(self) -> None:
        # Hundreds of them would take every descriptor and the core from the gateways.
        program = ProgramUnderTest(self, limits={"sockets": 128})
        gateway = GatewayClient(program)
        prove(program, gateway)
        for first in (b"", b"\x94\x00", msgpack.packb([0, 1, "probe", [{}]])):
            with self.subTest(first=first[:4]):
                start = time.monotonic()
                clients = [GatewayClient(program) for _ in range(150)]
                for one in clients:
                    with contextlib.suppress(OSError):  # it may have made room already
                        one.send(first)
                self.assertEqual(GatewayClient(program).check_health()[0], True)
                self.assertTrue(all(one.is_closed_by_program() for one in clients))
                self.assertLess(time.monotonic() - start, 2.5)
                self.assertEqual(gateway.check_health()[0], True)
        gateway.send(b"\x94\x00\x01")  # half a message, even from one that is known
        self.assertTrue(gateway.is_closed_by_program())

    def test_unverified_connections_are_rejected_past_the_bound_of_rpcs(self) -> None:
        # Their RPCs wait with their bodies: those of hundreds of connections would fill the memory.
        program = ProgramUnderTest(self, limits={"sockets": 200}, settings__extra__n_cores=1)
        known = GatewayClient(program)
        prove(program, known)
        clients = [GatewayClient(program) for _ in range(40)]
        for one in clients:
            for _ in range(32):
                one.send_rpc(wait="9000", kb="0.001")
        told = select.select([one.sock for one in clients], [], [], 3.0)[0]  # long before their time is over
        self.assertEqual([one.read_answer()[1] for one in clients if one.sock in told[:1]], ["Busy"])
        message_id = known.send_rpc(wait="250")  # held
        start = time.monotonic()
        self.assertEqual(known.read_answer(), (message_id, "Busy"))
        self.assertGreater(time.monotonic() - start, 0.1)

    def test_an_rpc_that_the_engine_does_not_know_ends_its_connection(self) -> None:
        program = ProgramUnderTest(self, settings__extra__n_cores=1)
        gateway, bad = GatewayClient(program), GatewayClient(program)
        message_id = bad.send_rpc()
        program.engine.expect_command("RUN", bad.last_rpc_id)
        unknown, held_ids = bad.last_rpc_id, [bad.send_rpc() for _ in range(20)]
        program.engine.send_notice("NO RUN", unknown)
        self.assertEqual(bad.read_answer(), (message_id, "Failed"))
        self.assertTrue(bad.is_closed_by_program())
        other_id = gateway.send_rpc()
        self.assertGreater(len(held_ids), 0)
        program.engine.expect_command("RUN", gateway.last_rpc_id)  # before any of those
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_health_checks_follow_the_engine(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        self.assertEqual(gateway.check_health(deep="1")[0], True)
        program.engine_listener.close()
        program.engine.sock.close()
        program.wait_for_log("engine_link_lost")
        # A link that breaks is routine: a server that works must not look ill for it.
        self.assertEqual((gateway.check_health(deep="1")[0], gateway.check_health()[0]), (True, True))
        time.sleep(1.6)
        gateway = GatewayClient(program)
        self.assertEqual((gateway.check_health(deep="1")[0], gateway.check_health()[0]), (False, True))

    def test_roster_that_is_down_is_no_fault(self) -> None:
        program = ProgramUnderTest(self)
        program.roster.close()
        time.sleep(0.5)  # reports into the void
        self.assertEqual(GatewayClient(program).check_health()[0], True)


class DrainTest(unittest.TestCase):
    def test_drain_answers_all_that_was_read_and_closes_connections(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        early = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.process.send_signal(signal.SIGTERM)
        start = time.monotonic()
        while program.roster.recv(100) != b"HERE n3 off":
            pass
        self.assertEqual(gateway.check_health()[0], False)
        within = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)  # within the grace
        time.sleep(0.35)
        late = gateway.send_rpc()
        self.assertEqual(gateway.read_answer(), (late, "Busy"))
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (early, b"r"))
        seen: dict[Any, Any] = {}
        while within not in seen or "goaway" not in seen:
            message = gateway.read_message()
            seen[message[1]] = message
        self.assertEqual(seen[within][2][0], "Failed")  # ran too long for the stop
        gateway.sock.close()
        self.assertEqual(program.process.wait(5.0), 0)
        self.assertLess(time.monotonic() - start, 1.6)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(program.address)


class ReloadTest(unittest.TestCase):
    def test_reload_moves_links_while_rpcs_run(self) -> None:
        # By default SIGHUP ends a program, and all that it holds is lost.
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("once")
        first = gateway.last_rpc_id
        program.engine.expect_command("RUN", first)
        program.engine.send_notice("NEED 1", first, body=b"q")
        db = program.accept_database_link()
        db.read_line()
        program.open_listeners()
        program.reload()
        other_id = gateway.send_rpc("once")
        # The old link is left only once it has shown that all it was given arrived: nothing is in doubt.
        said = []
        with self.assertRaises((EOFError, ConnectionResetError)):
            while True:
                said.append(program.engine.next_command()[0][0])
        link = EngineStandIn(program)
        self.assertEqual(link.attach_command, ["ATTACH", "1"])
        self.assertEqual(program.roster.recv(100), b"HERE n3 on")
        db.send(b"%b ROWS 2\r\nok\r\n" % first.encode())  # a call under way ends where it was made
        while len(said) < 2:  # the second RPC on either link, and the reply
            words, body = link.next_command()
            said.append(words[0])
            self.assertEqual(body, b"ok" if words[0] == "FEED" else b"work")
        self.assertEqual(sorted(said), ["FEED", "RUN"])
        link.send_notice("DONE 2", first, "good 9", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        link.send_notice("NEED 3", gateway.last_rpc_id, body=b"q")
        # At the new address.
        self.assertEqual(program.accept_database_link().read_line()[0][:2], ["Q", gateway.last_rpc_id])
        link.send_notice("DONE 4", gateway.last_rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_unusable_reload_changes_nothing(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        for config, change, words in [
            ("{", {}, "GW_CONFIG"), ("", {"engine": "nowhere"}, "engine"), ("", {"db": None}, "db"),
            ("", {"settings__extra__n_cores": 0}, "n-cores"),
        ]:  # fmt: skip
            with self.subTest(words=words):
                program.reload(config, **change)
                self.assertIn(words, program.wait_for_log("reload_failed")["error"])
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.engine.send_notice(
                    "DONE", program.rpc_count, gateway.last_rpc_id, "good 9", body=b"r"
                )
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_reloads_during_a_drain(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_log("mode")
        program.open_listeners()
        program.reload()
        program.open_listeners()
        program.reload()
        self.assertEqual(program.roster.recv(100), b"HERE n3 off")
        link = EngineStandIn(program)
        self.assertEqual(link.attach_command, ["ATTACH", "0"])
        link.send_notice("DONE 1", gateway.last_rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        gateway.sock.close()
        self.assertEqual(program.process.wait(5.0), 0)


class ConfigTest(unittest.TestCase):
    def test_unusable_config_ends_the_program_with_its_key(self) -> None:
        for path, value, words in [
            ((), "{", "GW_CONFIG"), ((), "[]", "configuration"), (("name",), None, "name"),
            (("name",), "a b", "name"), (("listen",), "nowhere", "listen"), (("engine",), 5, "engine"),
            (("db",), None, "db"), (("roster",), "x:99999", "roster"), (("seed",), "xyz", "seed"),
            (("stop_ms",), "soon", "stop_ms"), (("limits", "memory_mb"), 0, "limits.memory_mb"),
            (("limits", "sockets"), True, "limits.sockets"), (("settings",), None, "settings"),
            (("settings", "classes"), [], "settings.classes"), (("settings", "extra"), 3, "settings"),
            (("settings", "extra", "halt"), "maybe", "halt"),
            (("settings", "extra", "n-cores"), None, "n-cores"),
            (("settings", "rules", "cold"), None, "cold"),
            (("settings", "classes", 0, "slo"), None, "slo"), (("settings", "classes", 0, "name"), 7, "name"),
        ]:  # fmt: skip
            with self.subTest(path=path, value=value), tempfile.TemporaryDirectory() as folder:
                config: Any = launch_config(path, value)
                process = launch_program(folder, config)
                out, err = process.communicate(timeout=20)
                self.assertEqual((process.returncode, out), (2, ""))
                self.assertIn(words, err)
                self.assertNotIn("Traceback", err)


def launch_config(path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    config = copy.deepcopy(CONFIG)
    inner: Any = config
    for step in path[:-1]:
        inner = inner[step]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return config


def cpu(pid: int) -> float:
    """Seconds of CPU so far."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1048576.0


if __name__ == "__main__":
    unittest.main()
