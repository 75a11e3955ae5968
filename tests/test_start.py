"""Tests the start of a server: its configuration, signals before and during the start, and restarts."""

import json
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from landingshift.admission.interface import Idempotency
from landingshift.net.program.config import ServerConfigError, decode_config
from landingshift.net.routing.engine_commands import CommandKind, EngineCommand
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.transport.loop import Loop
from tests.helpers import CONFIG, EngineStandIn, GatewayClient, ProgramUnderTest, launch_program, wait_until

ROOT = Path(__file__).parent.parent


def config_with(path: str, value: Any) -> Any:
    """Returns the tests' configuration with one value replaced, or removed if the new value is `...`."""
    config = json.loads(json.dumps(CONFIG))
    *parents, last = path.split(".")
    inner: Any = config
    for key in parents:
        inner = inner[int(key) if key.isdigit() else key]
    if value is ...:
        del inner[int(last) if last.isdigit() else last]
    else:
        inner[int(last) if last.isdigit() else last] = value
    return config


class SettingsTest(unittest.TestCase):
    def test_null_counts_as_a_missing_key(self) -> None:
        for path in [
            "limits", "limits.memory_mb", "limits.sockets", "limits.cores", "stop_ms", "settings.orgs",
            "settings.permissions", "settings.extra.gauges", "settings.extra.class-calls",
            "settings.extra.class-skip-worth", "settings.extra.say", "settings.extra.halt",
            "settings.extra.key-kb", "settings.extra.share-for", "settings.extra.deep-checks",
            "settings.extra.passes-deadline", "settings.extra.caller-idle", "settings.extra.depends-on",
            "settings.extra.callers",
            "settings.classes.1.repeat-window", "settings.classes.0.late-share",
            "settings.orgs.0.allowance-per-s",
        ]:  # fmt: skip
            with self.subTest(path=path):
                self.assertEqual(
                    repr(decode_config(config_with(path, None), {})),
                    repr(decode_config(config_with(path, ...), {})),
                )

    def test_lists_may_be_shorter_or_longer_than_the_list_of_methods(self) -> None:
        for calls, skip_values, expected in [
            ([], [], [(False, 0.0)] * 3),
            ([True], [0.5], [(True, 0.5), (False, 0.0), (False, 0.0)]),
            ([True, False, None], [0.5, None, 0.25], [(True, 0.5), (False, 0.0), (False, 0.25)]),
            ([True] * 5, [0.5] * 5, [(True, 0.5)] * 3),
        ]:
            with self.subTest(calls=calls, skip_values=skip_values):
                config = config_with("settings.extra.class-calls", calls)
                config["settings"]["extra"]["class-skip-worth"] = skip_values
                methods = decode_config(config, {}).settings.methods
                self.assertEqual([(m.calls_downstream, m.degraded_value_fraction) for m in methods], expected)

    def test_unusual_names_and_unknown_keys_are_accepted(self) -> None:
        config = config_with("settings.classes", [
            {"name": name, "effect": effect, "give-up": 100.0 * i, "slo": 50.0, "value": 1.0, "new": {}}
            for i, (name, effect) in enumerate(
                [("probe", "fragile"), ("giveUp", "dedup"), ("a/b:c", "retryable"), ("x", "fragile")], 1)
        ])  # fmt: skip
        config["settings"]["orgs"] = [{"name": "Vargas y Hijos"}, {"name": "Ærø"}, {"name": "a\tb"}]
        config["settings"]["unknown"] = config["unknown"] = 5
        decoded = decode_config(config, {})
        self.assertEqual(
            [(n, m.idempotency, m.deadline_ms, m.dedup_window_ms) for n, m in decoded.methods.items()],
            [("probe", Idempotency.NON_IDEMPOTENT, 100.0, 0.0), ("giveUp", Idempotency.KEYED, 200.0, 0.0),
             ("a/b:c", Idempotency.IDEMPOTENT, 300.0, 0.0), ("x", Idempotency.NON_IDEMPOTENT, 400.0, 0.0)],
        )  # fmt: skip
        self.assertEqual(list(decoded.tenants), ["Vargas y Hijos", "Ærø", "a\tb"])

    def test_error_for_an_invalid_value_names_its_key(self) -> None:
        for path, value, key in [
            ("settings.classes.1.name", "m", "settings.classes[1].name"),
            ("settings.classes.1.name", "a b", "settings.classes[1].name"),
            ("settings.orgs", [{"name": "t"}, {"name": "t"}], "settings.orgs[1].name"),
            ("settings.orgs", [{"name": ""}], "settings.orgs[0].name"),
            ("settings.orgs", {}, "settings.orgs"), ("settings.classes", None, "settings.classes"),
            ("settings.extra.class-calls", 5, "class-calls"), ("settings.extra.gauges", "x", "gauges"),
            ("settings.extra.callers", "x", "settings.extra.callers"),
            ("settings.extra.class-skip-worth", ["x"], "class-skip-worth"),
            ("settings.classes.0.effect", "keyed", "settings.classes[0].effect"),
            ("settings.classes.0.slo", -1, "settings.classes[0].slo"),
            ("settings.classes.0.give-up", True, "settings.classes[0].give-up"),
            ("settings.rules", None, "settings.rules"), ("settings.extra", None, "settings.extra"),
            ("listen", None, "listen"), ("seed", None, "seed"), ("db", None, "db"),
        ]:  # fmt: skip
            with self.subTest(path=path, value=value), self.assertRaises(ServerConfigError) as caught:
                decode_config(config_with(path, value), {})
            self.assertIn(key, str(caught.exception))

    def test_tenant_name_may_contain_spaces(self) -> None:
        program = ProgramUnderTest(self, settings__orgs__0__name="Vargas y Hijos")
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(tenant="Vargas y Hijos")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))


class ChangeAddressTest(unittest.TestCase):
    def test_old_link_is_kept_until_its_commands_are_confirmed(self) -> None:
        # Without confirmation it is unknown whether commands arrived; they must not run again, so their RPCs
        # would be lost. A second change of address in the meantime must not close the old link either.
        loop = Loop(lambda: self.fail("a handler raised"))
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        for listener in listeners:
            self.addCleanup(listener.close)
        first_address, second_address = (listener.getsockname() for listener in listeners)
        link = EngineLink(loop, first_address, lambda *_, **__: None)
        link.start(SimpleNamespace(on_engine_up=repr, on_gauges=repr))  # type: ignore[arg-type]
        peer = listeners[0].accept()[0]
        self.addCleanup(peer.close)
        peer.sendall(b"HELLO old 60000\r\nSTATS s1 0.2 1 0.1 3\r\n")

        def is_ready_after_a_pass() -> bool:
            loop.after(0.0, lambda: None)
            loop.run_pass()
            return link.is_ready

        wait_until(is_ready_after_a_pass)
        stream = link.stream
        assert stream is not None
        self.addCleanup(stream.sock.close)
        rpc: Any = object()
        link.send_command(EngineCommand(rpc, b"RUN a m 0\r\n\r\n", CommandKind.START_RUN))
        link.change_address(second_address)
        link.change_address(first_address)
        self.assertEqual((link.stream is stream, stream.is_open, link.address), (True, True, first_address))


class ProgramStartTest(unittest.TestCase):
    def test_sighup_before_the_start_is_ignored(self) -> None:
        # SIGHUP may arrive before the interpreter runs, and the start reads the configuration anyway.
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        setup, _, program = command.rpartition("exec ")
        probe_command = f"{setup}exec grep SigIgn /proc/self/status"
        mask = int(
            subprocess.run(["sh", "-c", probe_command], capture_output=True, text=True).stdout.split()[1], 16
        )
        self.assertTrue(mask & 1 << signal.SIGHUP - 1)
        self.assertFalse(mask & 1 << signal.SIGTERM - 1)  # the shutdown signal must not be lost
        self.assertEqual(program.split()[1:], ["-m", "landingshift"])

    def test_sigterm_during_the_start_ends_the_program_cleanly(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            process = launch_program(folder, CONFIG)
            process.send_signal(signal.SIGTERM)
            out, err = process.communicate(timeout=20)
            self.assertNotIn("Traceback", err)
            self.assertIn(process.returncode, (0, -signal.SIGTERM))
            self.assertEqual(
                [json.loads(text)["event"] for text in out.splitlines()][:1], ["started"] if out else []
            )

    def test_restart_on_the_same_address_after_a_kill_with_an_unread_rpc(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc("once")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        with program.paused():
            late = GatewayClient(program)
            late.send_rpc()
            program.process.kill()
        self.assertEqual(program.process.wait(10.0), -signal.SIGKILL)
        self.assertLessEqual({gateway.read_until_end(), late.read_until_end()}, {"closed", "reset"})
        start = time.monotonic()
        program.engine.sock.close()
        program.process.communicate()
        # Restarts on the same address.
        program.start(program.make_config({}, {"listen": "{}:{}".format(*program.address)}))
        self.assertLess(time.monotonic() - start, 10.0)
        new_gateway = GatewayClient(program)
        message_id = new_gateway.send_rpc("once")
        program.engine.expect_command("RUN", new_gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", new_gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(new_gateway.read_answer(), (message_id, b"r"))

    def test_engine_hello_decides_whether_the_server_starts_cold(self) -> None:
        for hello, is_cold in [
            ("HELLO old 3600000", False),
            ("HELLO new 0", True),
            ("HELLO new 600000", True),
        ]:
            with self.subTest(hello=hello):
                program = ProgramUnderTest(self, engine=False)
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
                link = EngineStandIn(program, hello=hello)
                self.assertEqual(program.wait_for_log("engine_link")["cold"], is_cold)
                program.engine = link
                message_id = gateway.send_rpc()
                link.expect_command("RUN", gateway.last_rpc_id)
                link.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_ninety_percent_of_starts_take_less_than_ten_seconds(self) -> None:
        """Thirty servers start at the same time on shared cores."""
        with tempfile.TemporaryDirectory() as folder:
            start, durations = time.monotonic(), []
            processes = []
            for i in range(30):
                (Path(folder) / str(i)).mkdir()
                processes.append(launch_program(f"{folder}/{i}", CONFIG))
            try:
                for process in processes:
                    assert process.stdout is not None
                    self.assertEqual(json.loads(process.stdout.readline())["event"], "started")
                    durations.append(time.monotonic() - start)
            finally:
                for process in processes:
                    process.kill()
                    process.communicate()
            self.assertLess(sorted(durations)[26], 10.0)


if __name__ == "__main__":
    unittest.main()
