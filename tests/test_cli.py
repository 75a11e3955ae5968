"""Tests `check` and `serve`, the modules that a server imports, and RPC observers."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from landingshift.cli.errors import EXIT_USAGE
from landingshift.cli.main import main
from landingshift.net.program.features import FeatureConfigError, load_features
from landingshift.net.routing.observers import RpcObservers
from tests.helpers import CONFIG, GatewayClient, ProgramUnderTest

LEDGER = '[ledger]\nfolder = "/tmp/x"\ninstance = "n1"\n'
PRINT_LOADED_MODULES = """
import sys
import landingshift.net.program.main
from landingshift.net.program import features
assert features.load_features(sys.argv[1]) == []
unwanted = (
    "landingshift.ledger.", "landingshift.testbed", "landingshift.cli",
    "click", "structlog", "google", "grpc", "sqlite3", "asyncio", "zoneinfo",
)
print([module for module in sys.modules if module.startswith(unwanted)])
"""
START_WITHOUT_CLICK = """
import sys
sys.modules["click"] = None
from landingshift.cli import start
start()
"""


class SettingsCheckTest(unittest.TestCase):
    def test_error_names_the_file_table_and_key_of_an_invalid_setting(self) -> None:
        for text, message_part in [
            ("[ledger", "settings.toml"),
            ("[other]\n", "[other]"),
            ("ledger = 3\n", "ledger"),
            ('[ledger]\ninstance = "n"\n', "[ledger] folder"),
            (LEDGER + "commit = 3\n", "[ledger] commit"),
            (LEDGER + "commit_ms = -1\n", "[ledger] commit_ms"),
            (LEDGER + 'commit_ms = "x"\n', "[ledger] commit_ms"),
            (LEDGER + 'zone = "Mars/Base"\n', "[ledger] zone"),
            (LEDGER + 'period = "year"\n', "[ledger] period"),
            (LEDGER + 'plan = "none.toml"\n', "[ledger] plan"),
            (LEDGER.replace("n1", "n 1"), "[ledger] instance"),
            (LEDGER.replace("/tmp/x", "x"), "[ledger] folder"),
            (LEDGER + 'zone = "../etc"\n', "[ledger] zone"),
        ]:
            with self.subTest(text=text), tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "settings.toml")
                path.write_text(text)
                with self.assertRaises(FeatureConfigError) as caught:
                    load_features(str(path))
                self.assertIn(message_part, str(caught.exception))
                self.assertIn("settings.toml", str(caught.exception))
                result = CliRunner().invoke(main, ["check", str(path)])
                self.assertEqual(result.exit_code, EXIT_USAGE)
                self.assertIn(message_part, result.output)

    def test_server_imports_no_package_that_is_switched_off(self) -> None:
        # A server's memory limit can be 32 MB, which leaves no room for packages that are not used.
        result = subprocess.run(
            [sys.executable, "-c", PRINT_LOADED_MODULES, "deploy/landingshift.toml"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(result.stdout.strip(), "[]")

    def test_check_validates_server_configurations_and_package_settings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            valid_json, invalid_json = Path(folder, "a.json"), Path(folder, "b.json")
            toml = Path(folder, "settings.toml")
            valid_json.write_text(json.dumps(CONFIG))
            invalid_json.write_text(json.dumps(CONFIG | {"seed": "xyz"}))
            toml.write_text(LEDGER)
            result = CliRunner().invoke(main, ["check", str(valid_json), str(toml)])
            self.assertEqual(result.exit_code, 0, result.output)
            result = CliRunner().invoke(main, ["check", str(valid_json), str(invalid_json)])
            self.assertEqual(result.exit_code, EXIT_USAGE)
            self.assertIn("seed", result.output)


class MissingExtraTest(unittest.TestCase):
    def test_missing_click_ends_the_command_with_a_hint_to_the_extra(self) -> None:
        command = [sys.executable, "-c", START_WITHOUT_CLICK]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual((result.returncode, "extra `cli`" in result.stderr), (2, True), result.stderr)


class RpcObserversTest(unittest.TestCase):
    def test_observer_that_raises_is_removed_and_the_others_continue(self) -> None:
        received_events: list[str] = []

        class RecordingObserver:
            name = "good"

            def __getattr__(self, event: str) -> Any:
                return lambda *arguments: received_events.append(event)

        class RaisingObserver(RecordingObserver):
            name = "bad"

            def on_started(self, _: Any) -> None:
                raise ValueError("observer failed")

        log_lines: list[tuple[str, str]] = []
        observers = RpcObservers(lambda event, **fields: log_lines.append((event, fields["name"])))
        observers.add(RaisingObserver())
        observers.add(RecordingObserver())
        for event in ("on_read", "on_started", "on_closed"):
            observers.notify(event, None)
        self.assertEqual(received_events, ["on_read", "on_read", "on_started", "on_closed"])
        self.assertEqual(log_lines, [("observer_cut_off", "bad")])


class ServeTest(unittest.TestCase):
    def test_serve_command_handles_rpcs_like_the_module_entry_point(self) -> None:
        program = ProgramUnderTest(self, command=["serve"])
        gateway = GatewayClient(program)
        number = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (number, b"r"))


if __name__ == "__main__":
    unittest.main()
