"""Starts and what a server is told at them: nothing of one site may act in another, nothing bad may start."""

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
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.transport.loop import Loop
from tests.helpers import CONFIG, EngineStandIn, GatewayClient, ProgramUnderTest, launch_program, wait_until

ROOT = Path(__file__).parent.parent


def changed(path: str, value: Any) -> Any:
    """The tests' configuration with one value changed; ... takes the key out."""
    config = json.loads(json.dumps(CONFIG))
    *way, last = path.split(".")
    inner: Any = config
    for step in way:
        inner = inner[int(step) if step.isdigit() else step]
    if value is ...:
        del inner[int(last) if last.isdigit() else last]
    else:
        inner[int(last) if last.isdigit() else last] = value
    return config


class SettingsTest(unittest.TestCase):
    def test_null_counts_as_an_absent_key(self) -> None:
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
                    repr(decode_config(changed(path, None), {})), repr(decode_config(changed(path, ...), {}))
                )

    def test_lists_shorter_or_longer_than_the_methods_are_taken(self) -> None:
        for calls, skip, want in [
            ([], [], [(False, 0.0)] * 3),
            ([True], [0.5], [(True, 0.5), (False, 0.0), (False, 0.0)]),
            ([True, False, None], [0.5, None, 0.25], [(True, 0.5), (False, 0.0), (False, 0.25)]),
            ([True] * 5, [0.5] * 5, [(True, 0.5)] * 3),
        ]:
            with self.subTest(calls=calls, skip=skip):
                config = changed("settings.extra.class-calls", calls)
                config["settings"]["extra"]["class-skip-worth"] = skip
                methods = decode_config(config, {}).settings.methods
                self.assertEqual([(m.calls_downstream, m.degraded_value_fraction) for m in methods], want)

    def test_names_and_orders_of_another_installation(self) -> None:
        config = changed("settings.classes", [
            {"name": name, "effect": effect, "give-up": 100.0 * i, "slo": 50.0, "value": 1.0, "new": {}}
            for i, (name, effect) in enumerate(
                [("probe", "fragile"), ("giveUp", "dedup"), ("a/b:c", "retryable"), ("x", "fragile")], 1)
        ])  # fmt: skip
        config["settings"]["orgs"] = [{"name": "Vargas y Hijos"}, {"name": "Ærø"}, {"name": "a\tb"}]
        config["settings"]["unknown"] = config["unknown"] = 5
        config_read = decode_config(config, {})
        self.assertEqual(
            [(n, m.idempotency, m.deadline_ms, m.dedup_window_ms) for n, m in config_read.methods.items()],
            [("probe", Idempotency.NON_IDEMPOTENT, 100.0, 0.0), ("giveUp", Idempotency.KEYED, 200.0, 0.0),
             ("a/b:c", Idempotency.IDEMPOTENT, 300.0, 0.0), ("x", Idempotency.NON_IDEMPOTENT, 400.0, 0.0)],
        )  # fmt: skip
        self.assertEqual(list(config_read.tenants), ["Vargas y Hijos", "Ærø", "a\tb"])

    def test_unusable_value_is_reported_by_its_key(self) -> None:
        for path, value, words in [
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
                decode_config(changed(path, value), {})
            self.assertIn(words, str(caught.exception))

    def test_a_tenant_with_spaces_is_served(self) -> None:
        program = ProgramUnderTest(self, settings__orgs__0__name="Vargas y Hijos")
        gateway = GatewayClient(program)
        message_id = gateway.send_rpc(tenant="Vargas y Hijos")
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (message_id, b"r"))


class ChangeAddressTest(unittest.TestCase):
    def test_link_that_is_being_left_is_kept_until_its_commands_are_confirmed(self) -> None:
        # However often the address changes meanwhile: what is in doubt may not run again, and is lost.
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

        def ready() -> bool:
            loop.after(0.0, lambda: None)
            loop.run_pass()
            return link.is_ready

        wait_until(ready)
        stream = link.stream
        assert stream is not None
        self.addCleanup(stream.sock.close)
        link.send_command(object(), b"RUN a m 0\r\n\r\n", starts_run=True)  # type: ignore[arg-type]
        link.change_address(second_address)
        link.change_address(first_address)
        self.assertEqual((link.stream is stream, stream.is_open, link.address), (True, True, first_address))


class ProgramStartTest(unittest.TestCase):
    def test_sighup_before_the_start_is_ignored(self) -> None:
        # SIGHUP may come before the interpreter is there; what it would tell is read at the start anyway.
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        before, _, program = run.rpartition("exec ")
        shown = f"{before}exec grep SigIgn /proc/self/status"
        mask = int(subprocess.run(["sh", "-c", shown], capture_output=True, text=True).stdout.split()[1], 16)
        self.assertTrue(mask & 1 << signal.SIGHUP - 1)
        self.assertFalse(mask & 1 << signal.SIGTERM - 1)  # the notice to leave must not be lost
        self.assertEqual(program.split()[1:], ["-m", "landingshift"])

    def test_notice_before_it_listens_ends_it_with_nothing_accepted(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            process = launch_program(folder, CONFIG)
            process.send_signal(signal.SIGTERM)
            out, err = process.communicate(timeout=20)
            self.assertNotIn("Traceback", err)
            self.assertIn(process.returncode, (0, -signal.SIGTERM))
            self.assertEqual(
                [json.loads(text)["event"] for text in out.splitlines()][:1], ["started"] if out else []
            )

    def test_restart_after_a_kill_behind_an_accept(self) -> None:
        program = ProgramUnderTest(self)
        gateway = GatewayClient(program)
        gateway.send_rpc("once")
        first = gateway.last_rpc_id
        program.engine.expect_command("RUN", first)
        with program.paused():
            late = GatewayClient(program)
            late.send_rpc()
            program.process.kill()
        self.assertEqual(program.process.wait(10.0), -signal.SIGKILL)
        self.assertLessEqual({gateway.read_until_end(), late.read_until_end()}, {"closed", "reset"})
        start = time.monotonic()
        program.engine.sock.close()
        program.process.communicate()
        # At its old address.
        program.start(program.make_config({}, {"listen": "{}:{}".format(*program.address)}))
        self.assertLess(time.monotonic() - start, 10.0)
        again = GatewayClient(program)
        message_id = again.send_rpc("once")
        program.engine.expect_command("RUN", again.last_rpc_id)
        program.engine.send_notice("DONE 1", again.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(again.read_answer(), (message_id, b"r"))

    def test_coldness_follows_the_hello_of_older_and_later_engines(self) -> None:
        for hello, cold in [("HELLO old 3600000", False), ("HELLO new 0", True), ("HELLO new 600000", True)]:
            with self.subTest(hello=hello):
                program = ProgramUnderTest(self, engine=False)
                gateway = GatewayClient(program)
                message_id = gateway.send_rpc()
                self.assertEqual(gateway.read_answer(), (message_id, "Busy"))
                link = EngineStandIn(program, hello=hello)
                self.assertEqual(program.wait_for_log("engine_link")["cold"], cold)
                program.engine = link
                message_id = gateway.send_rpc()
                link.expect_command("RUN", gateway.last_rpc_id)
                link.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
                self.assertEqual(gateway.read_answer(), (message_id, b"r"))

    def test_nine_in_ten_starts_are_ready_within_ten_seconds(self) -> None:
        """Thirty at once on a shared processor."""
        with tempfile.TemporaryDirectory() as folder:
            start, took = time.monotonic(), []
            programs = []
            for i in range(30):
                (Path(folder) / str(i)).mkdir()
                programs.append(launch_program(f"{folder}/{i}", CONFIG))
            try:
                for process in programs:
                    assert process.stdout is not None
                    self.assertEqual(json.loads(process.stdout.readline())["event"], "started")
                    took.append(time.monotonic() - start)
            finally:
                for process in programs:
                    process.kill()
                    process.communicate()
            self.assertLess(sorted(took)[26], 10.0)


if __name__ == "__main__":
    unittest.main()
