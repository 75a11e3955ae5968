"""Tests the running server program with gateways, an engine and a database on loopback connections."""

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


def verify(program: ProgramUnderTest, gateway: GatewayClient) -> None:
    """Verifies a gateway's connection: sends an RPC, which the engine runs and ends with notice 1."""
    message_id = gateway.send_rpc()
    program.engine.expect_command("RUN", gateway.last_rpc_id)
    program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
    assert gateway.read_answer() == (message_id, b"r")


class ServingTest(unittest.TestCase):
    def test_answer_depends_on_the_outcome_of_the_run(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        for status, answer in [
            ("good", b"\x00\r\nany"), ("good", b""), ("bad", "Failed"), ("cut", "Failed"), ("gone", "Failed"),
            (None, "Failed"),
        ]:  # fmt: skip
            with self.subTest(status=status):
                message_id = gateway.send_rpc(body=b"\r\n\xff" + bytes(2000))
                self.assertEqual(
                    program.engine.expect_command("RUN", gateway.last_rpc_id, "m"), b"\r\n\xff" + bytes(2000)
                )
                if status is None:
                    program.engine.send_notice("NO RUN", gateway.last_rpc_id)
                else:
                    result = answer if isinstance(answer, bytes) else b""
                    program.engine.send_notice(
                        "DONE", program.rpc_count, gateway.last_rpc_id, status, 12.5, body=result
                    )
                self.assertEqual(gateway.read_answer(), (message_id, answer))

    def test_messages_may_arrive_byte_by_byte_or_many_at_once(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        fields = {"id": "ab" * 8, "at": str(int(time.time() * 1000)),
                  "from": "1", "tenant": "t", "wait": "2500", "kb": "2.5"}  # fmt: skip
        for byte in msgpack.packb([0, 1, "m", [fields, b"x" * 40]]):
            gateway.send(bytes([byte]))
        program.engine.expect_command("RUN", "ab" * 8)
        for byte in b"DONE 1 %b good 3 4\r\nr\r\ns\r\n" % (b"ab" * 8):
            program.engine.send(bytes([byte]))
        self.assertEqual(gateway.read_answer(), (1, b"r\r\ns"))
        gateway.last_message_id = 1
        message_ids = [gateway.send_rpc(wait="2000") for _ in range(33)]
        self.assertEqual(gateway.read_answer(), (message_ids[32], "Busy"))  # at most 32 may be open
        rpc_ids = [program.engine.next_command()[0][1] for _ in range(32)]
        program.engine.send(
            b"".join(b"DONE %d %b good 1 1\r\nx\r\n" % (i + 2, r.encode()) for i, r in enumerate(rpc_ids))
        )
        self.assertEqual(
            sorted(gateway.read_answer() for _ in range(32)), [(n, b"x") for n in message_ids[:32]]
        )

    def test_rpcs_with_invalid_fields_are_rejected_once(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        verify(program, gateway)
        for method, change in [
            ("x", {}), ("m", {"id": "xyz"}), ("m", {"id": "a b\r\nRUN"}), ("m", {"tenant": "u"}),
            ("m", {"at": None}),
            ("m", {"wait": "-1"}), ("m", {"wait": "nan"}), ("m", {"kb": "1e3"}), ("m", {"kb": "3000"}),
            ("m", {"from": 4}), ("m", {"body": bytes(2049)}), ("m", {"body": "text"}),
            ("m", {"id": b"\xff" * 16}),
            ("m", {"wait": "0"}), ("token", {"once": "1", "wait": "0"}),
            # Used as an age or a deadline, these values would make the admission controller see an overload.
            ("m", {"at": "1"}), ("m", {"at": "99999999999999"}), ("m", {"wait": "999999999"}),
        ]:  # fmt: skip
            with self.subTest(method=method, **change):
                message_id = gateway.send_rpc(method, **change)
                self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
        message_id = gateway.send_rpc()
        duplicate_id = gateway.send_rpc(id=f"{program.rpc_count:016x}")
        self.assertEqual(gateway.read_answer(), (duplicate_id, "Busy"))  # the id is in use
        program.rpc_count -= 1
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE", 2, gateway.last_rpc_id, "good", 2, body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_malformed_bytes_close_only_their_own_connection(self) -> None:
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
        self.assertTrue(gateway.is_closed_by_program())  # the connection has sent no valid RPC
        program.engine.expect_command("RUN")
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 2", body=b"r")
        self.assertEqual(other.read_answer(), (message_id, b"r"))

    def test_every_rpc_is_answered_by_its_deadline(self) -> None:
        program = ProgramUnderTest(self, settings__extra__n_cores=1)
        gateway = GatewayClient(program)
        start = time.monotonic()
        running_id = gateway.send_rpc(wait="400")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        queued_id = gateway.send_rpc(wait="400")
        answers = {}
        while len(answers) < 2:
            message_id, answers[message_id] = gateway.read_answer()
        self.assertEqual(answers, {running_id: "Failed", queued_id: "Busy"})
        # The permitted delay after the deadline; no gauges arrive meanwhile.
        self.assertLess(time.monotonic() - start, 0.53)
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 400", body=b"late")  # no second answer
        message_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 2", gateway.last_rpc_id, "good 1", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_after_a_pause_sockets_are_read_before_deadlines_fire(self) -> None:
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
        # The next message answers the health check: the cancelled RPC got no answer.
        self.assertEqual(gateway.check_health()[0], True)

    def test_gateway_that_half_closes_its_connection_gets_its_answer(self) -> None:
        program = ProgramUnderTest(self)
        for closes in (False, True):
            with self.subTest(closes=closes):
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                if closes:
                    gateway.sock.close()
                    self.assertEqual(program.wait_for_log("connection")["open"], 1)
                    program.engine.send_notice("DONE 2", gateway.last_rpc_id, "good 9", body=b"for nobody")
                else:
                    gateway.sock.shutdown(socket.SHUT_WR)
                    self.assertEqual(gateway.read_message(), [2, "goaway", []])
                    program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 9", body=b"r")
                    self.assertEqual(gateway.read_answer(), (message_id, b"r"))
                    self.assertEqual(program.wait_for_log("connection")["reason"], "closed_by_gateway")


class DuplicatesTest(unittest.TestCase):
    def test_duplicates_get_the_answer_of_the_first_attempt(self) -> None:
        program = ProgramUnderTest(self, settings__extra__share_for=60000.0)
        gateway = GatewayClient(program)
        notice_number = 0
        for method, field, status, answer in [
            ("m", "key", "good", b"r"), ("token", "once", "good", b"r"), ("token", "once", "bad", "Failed"),
        ]:  # fmt: skip
            with self.subTest(method=method, status=status):
                key = {field: f"{notice_number:016x}"}
                message_ids = [gateway.send_rpc(method, **key)]
                first_rpc_id = gateway.last_rpc_id
                program.engine.expect_command("RUN", first_rpc_id)
                message_ids.append(gateway.send_rpc(method, **key))  # while the first attempt runs
                self.assertEqual(gateway.check_health()[0], True)
                notice_number += 1
                result = b"r" if status == "good" else b""
                program.engine.send_notice("DONE", notice_number, first_rpc_id, status, 9, body=result)
                self.assertEqual(
                    sorted([gateway.read_answer(), gateway.read_answer()]),
                    [(message_id, answer) for message_id in message_ids],
                )
                message_id = gateway.send_rpc(method, **key)  # answered with the stored result
                self.assertEqual(gateway.read_answer(), (message_id, answer))
        message_id = gateway.send_rpc("m", key="f" * 16)
        program.engine.expect_command("RUN", gateway.last_rpc_id)


class PeersTest(unittest.TestCase):
    def test_server_keeps_working_when_descriptors_run_out(self) -> None:
        # The server reserves 64 of the configured sockets for connections other than those of gateways.
        for configured, system_limit, max_connections in [(80, 1024, 16), (256, 30, 40)]:
            with self.subTest(configured=configured, system_limit=system_limit):
                program = ProgramUnderTest(self, limits={"sockets": configured})
                resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (system_limit, system_limit))
                # Connections with open RPCs are not closed to make room.
                clients, message_ids = [], []
                for _ in range(max_connections):
                    clients.append(GatewayClient(program))
                    message_ids.append(clients[-1].send_rpc(wait="9000"))
                    time.sleep(0.01)
                more = [GatewayClient(program) for _ in range(60)]
                program.wait_for_log("connections_full")
                rpc_ids = [program.engine.next_command()[0][1] for _ in range(12)]
                for i, rpc_id in enumerate(rpc_ids):
                    program.engine.send_notice("DONE", i + 1, rpc_id, "good 5", body=b"r")
                self.assertEqual(
                    [one.read_answer() for one in clients[:12]], [(n, b"r") for n in message_ids[:12]]
                )
                for gateway in clients + more:
                    gateway.sock.close()
                program.wait_for_log("connections_available")
                self.assertEqual(GatewayClient(program).check_health()[0], True)
                self.assertLess(cpu_seconds(program.process.pid), 2.0)  # failing accepts must not spin

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
        self.assertLess(resident_mb(program.process.pid), 64.0)

    def test_idle_verified_connections_get_goaway(self) -> None:
        program = ProgramUnderTest(self, settings__extra__caller_idle=400.0)
        silent, cooperative = GatewayClient(program), GatewayClient(program)
        verify(program, cooperative)
        self.assertEqual(cooperative.read_message(), [2, "goaway", []])
        message_id = cooperative.send_rpc()  # crosses the goaway: still answered
        program.engine.expect_command("RUN", cooperative.last_rpc_id)
        program.engine.send_notice("DONE 2", cooperative.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(cooperative.read_answer(), (message_id, b"r"))
        cooperative.sock.close()
        self.assertTrue(silent.is_closed_by_program())
        reasons = {program.wait_for_log("connection")["reason"] for _ in range(2)}
        self.assertEqual(reasons, {"closed_by_gateway", "quiet"})

    def test_unverified_connection_is_closed_after_a_second(self) -> None:
        # Hundreds of such connections would use up all descriptors and the core.
        program = ProgramUnderTest(self, limits={"sockets": 128})
        gateway = GatewayClient(program)
        verify(program, gateway)
        for first_bytes in (b"", b"\x94\x00", msgpack.packb([0, 1, "probe", [{}]])):
            with self.subTest(first_bytes=first_bytes[:4]):
                start = time.monotonic()
                clients = [GatewayClient(program) for _ in range(150)]
                for one in clients:
                    with contextlib.suppress(OSError):  # it may have been closed to make room
                        one.send(first_bytes)
                self.assertEqual(GatewayClient(program).check_health()[0], True)
                self.assertTrue(all(one.is_closed_by_program() for one in clients))
                self.assertLess(time.monotonic() - start, 2.5)
                self.assertEqual(gateway.check_health()[0], True)
        gateway.send(b"\x94\x00\x01")  # an incomplete message closes even a verified connection
        self.assertTrue(gateway.is_closed_by_program())

    def test_rpcs_of_unverified_connections_are_rejected_above_a_bound(self) -> None:
        # Queued RPCs keep their bodies: those of hundreds of unverified connections would fill the memory.
        program = ProgramUnderTest(self, limits={"sockets": 200}, settings__extra__n_cores=1)
        verified = GatewayClient(program)
        verify(program, verified)
        clients = [GatewayClient(program) for _ in range(40)]
        for one in clients:
            for _ in range(32):
                one.send_rpc(wait="9000", kb="0.001")
        readable = select.select([one.sock for one in clients], [], [], 3.0)[0]  # long before the deadlines
        self.assertEqual([one.read_answer()[1] for one in clients if one.sock in readable[:1]], ["Busy"])
        message_id = verified.send_rpc(wait="250")  # queued until its deadline
        start = time.monotonic()
        self.assertEqual(verified.read_answer(), (message_id, "Busy"))
        self.assertGreater(time.monotonic() - start, 0.1)

    def test_rpc_that_the_engine_rejects_closes_its_unverified_connection(self) -> None:
        program = ProgramUnderTest(self, settings__extra__n_cores=1)
        gateway, bad = GatewayClient(program), GatewayClient(program)
        message_id = bad.send_rpc()
        program.engine.expect_command("RUN", bad.last_rpc_id)
        rejected_id, queued_ids = bad.last_rpc_id, [bad.send_rpc() for _ in range(20)]
        program.engine.send_notice("NO RUN", rejected_id)
        self.assertEqual(bad.read_answer(), (message_id, "Failed"))
        self.assertTrue(bad.is_closed_by_program())
        other_id = gateway.send_rpc()
        self.assertGreater(len(queued_ids), 0)
        program.engine.expect_command("RUN", gateway.last_rpc_id)  # before any of the queued RPCs
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_deep_health_check_fails_only_after_a_longer_loss_of_the_engine(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        self.assertEqual(gateway.check_health(deep="1")[0], True)
        program.engine_listener.close()
        program.engine.sock.close()
        program.wait_for_log("engine_link_lost")
        # Short link failures are routine and must not make a working server appear unhealthy.
        self.assertEqual((gateway.check_health(deep="1")[0], gateway.check_health()[0]), (True, True))
        time.sleep(1.6)
        gateway = GatewayClient(program)
        self.assertEqual((gateway.check_health(deep="1")[0], gateway.check_health()[0]), (False, True))

    def test_server_works_while_the_roster_is_down(self) -> None:
        program = ProgramUnderTest(self)
        program.roster.close()
        time.sleep(0.5)  # reports are sent meanwhile
        self.assertEqual(GatewayClient(program).check_health()[0], True)


class DrainTest(unittest.TestCase):
    def test_drain_answers_all_received_rpcs_and_closes_connections(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        early_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.process.send_signal(signal.SIGTERM)
        start = time.monotonic()
        while program.roster.recv(100) != b"HERE n3 off":
            pass
        self.assertEqual(gateway.check_health()[0], False)
        grace_id = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)  # within the grace period
        time.sleep(0.35)
        late_id = gateway.send_rpc()
        self.assertEqual(gateway.read_answer(), (late_id, "Busy"))
        program.engine.send_notice("DONE 1", f"{1:016x}", "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (early_id, b"r"))
        seen: dict[Any, Any] = {}
        while grace_id not in seen or "goaway" not in seen:
            message = gateway.read_message()
            seen[message[1]] = message
        self.assertEqual(seen[grace_id][2][0], "Failed")  # its run did not end within the stop time
        gateway.sock.close()
        self.assertEqual(program.process.wait(5.0), 0)
        self.assertLess(time.monotonic() - start, 1.6)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(program.address)


class ReloadTest(unittest.TestCase):
    def test_reload_changes_addresses_while_rpcs_run(self) -> None:
        # Without a handler, SIGHUP would terminate the program and lose its RPCs.
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc("once")
        first_rpc_id = gateway.last_rpc_id
        program.engine.expect_command("RUN", first_rpc_id)
        program.engine.send_notice("NEED 1", first_rpc_id, body=b"q")
        db = program.accept_database_link()
        db.read_line()
        program.open_listeners()
        program.reload()
        other_id = gateway.send_rpc("once")
        # The old engine link is closed only after it has confirmed all commands, so that none is in doubt.
        command_names = []
        with self.assertRaises((EOFError, ConnectionResetError)):
            while True:
                command_names.append(program.engine.next_command()[0][0])
        link = EngineStandIn(program)
        self.assertEqual(link.attach_command, ["ATTACH", "1"])
        self.assertEqual(program.roster.recv(100), b"HERE n3 on")
        db.send(b"%b ROWS 2\r\nok\r\n" % first_rpc_id.encode())  # an open call ends on the old link
        while len(command_names) < 2:  # the run of the second RPC, on either link, and the reply
            words, body = link.next_command()
            command_names.append(words[0])
            self.assertEqual(body, b"ok" if words[0] == "FEED" else b"work")
        self.assertEqual(sorted(command_names), ["FEED", "RUN"])
        link.send_notice("DONE 2", first_rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))
        link.send_notice("NEED 3", gateway.last_rpc_id, body=b"q")
        # The new call goes to the new address.
        self.assertEqual(program.accept_database_link().read_line()[0][:2], ["Q", gateway.last_rpc_id])
        link.send_notice("DONE 4", gateway.last_rpc_id, "good 9", body=b"r")
        self.assertEqual(gateway.read_answer(), (other_id, b"r"))

    def test_reload_of_an_invalid_configuration_changes_nothing(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        for config, change, key in [
            ("{", {}, "GW_CONFIG"), ("", {"engine": "nowhere"}, "engine"), ("", {"db": None}, "db"),
            ("", {"settings__extra__n_cores": 0}, "n-cores"),
        ]:  # fmt: skip
            with self.subTest(key=key):
                program.reload(config, **change)
                self.assertIn(key, program.wait_for_log("reload_failed")["error"])
                message_id = gateway.send_rpc()
                program.engine.expect_command("RUN", gateway.last_rpc_id)
                program.engine.send_notice(
                    "DONE", program.rpc_count, gateway.last_rpc_id, "good 9", body=b"r"
                )
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_reload_works_during_a_drain(self) -> None:
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
    def test_invalid_configuration_ends_the_program_with_the_key_in_the_error(self) -> None:
        for path, value, key in [
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
                config: Any = config_with(path, value)
                process = launch_program(folder, config)
                out, err = process.communicate(timeout=20)
                self.assertEqual((process.returncode, out), (2, ""))
                self.assertIn(key, err)
                self.assertNotIn("Traceback", err)


def config_with(path: tuple[Any, ...], value: Any) -> Any:
    if not path:
        return value
    config = copy.deepcopy(CONFIG)
    inner: Any = config
    for key in path[:-1]:
        inner = inner[key]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    return config


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1048576.0


if __name__ == "__main__":
    unittest.main()
