"""The commands, our own settings, what a server loads, and observers."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any

from click.testing import CliRunner

from landingshift.cli.errors import EXIT_USAGE
from landingshift.cli.main import main
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.net.program.features import FeatureConfigError, load_features
from landingshift.net.routing.observers import RpcObservers
from landingshift.testbed import MEMORY
from landingshift.testbed.processes.export_receiver import FaultyReceiver, HttpReceiverServer, ReceiverState
from tests.helpers import CONFIG, GatewayClient, ProgramUnderTest

ON = '[ledger]\nfolder = "/tmp/x"\ninstance = "n1"\n'
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
    def test_names_file_table_and_key_of_what_is_wrong(self) -> None:
        for text, message_part in [
            ("[ledger", "ours.toml"), ("[other]\n", "[other]"), ("ledger = 3\n", "ledger"),
            ('[ledger]\ninstance = "n"\n', "[ledger] folder"), (ON + "commit = 3\n", "[ledger] commit"),
            (ON + "commit_ms = -1\n", "[ledger] commit_ms"), (ON + 'commit_ms = "x"\n', "[ledger] commit_ms"),
            (ON + 'zone = "Mars/Base"\n', "[ledger] zone"), (ON + 'period = "year"\n', "[ledger] period"),
            (ON + 'plan = "none.toml"\n', "[ledger] plan"), (ON.replace("n1", "n 1"), "[ledger] instance"),
            (ON.replace("/tmp/x", "x"), "[ledger] folder"), (ON + 'zone = "../etc"\n', "[ledger] zone"),
        ]:  # fmt: skip
            with self.subTest(text=text), tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "ours.toml")
                path.write_text(text)
                with self.assertRaises(FeatureConfigError) as caught:
                    load_features(str(path))
                self.assertIn(message_part, str(caught.exception))
                self.assertIn("ours.toml", str(caught.exception))
                result = CliRunner().invoke(main, ["check", str(path)])
                self.assertEqual(result.exit_code, EXIT_USAGE)
                self.assertIn(message_part, result.output)

    def test_server_loads_no_package_that_is_switched_off(self) -> None:
        # Its memory limit can be 32 MB: no package, and no library that only one of them needs.
        result = subprocess.run(
            [sys.executable, "-c", PRINT_LOADED_MODULES, "deploy/landingshift.toml"],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(result.stdout.strip(), "[]")

    def test_check_reads_both_kinds_of_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            valid_json, invalid_json = Path(folder, "a.json"), Path(folder, "b.json")
            toml = Path(folder, "ours.toml")
            valid_json.write_text(json.dumps(CONFIG))
            invalid_json.write_text(json.dumps(CONFIG | {"seed": "xyz"}))
            toml.write_text(ON)
            result = CliRunner().invoke(main, ["check", str(valid_json), str(toml)])
            self.assertEqual(result.exit_code, 0, result.output)
            result = CliRunner().invoke(main, ["check", str(valid_json), str(invalid_json)])
            self.assertEqual(result.exit_code, EXIT_USAGE)
            self.assertIn("seed", result.output)


class MissingExtraTest(unittest.TestCase):
    def test_without_click_the_command_says_what_is_missing(self) -> None:
        command = [sys.executable, "-c", START_WITHOUT_CLICK]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertEqual((result.returncode, "extra `cli`" in result.stderr), (2, True), result.stderr)


class RpcObserversTest(unittest.TestCase):
    def test_observer_that_raises_is_cut_off_and_the_others_go_on(self) -> None:
        heard: list[str] = []

        class RecordingObserver:
            name = "good"

            def __getattr__(self, event: str) -> Any:
                return lambda *facts: heard.append(event)

        class RaisingObserver(RecordingObserver):
            name = "bad"

            def on_started(self, _: Any) -> None:
                raise ValueError("defect")

        log_lines: list[tuple[str, str]] = []
        observers = RpcObservers(lambda event, **fields: log_lines.append((event, fields["name"])))
        observers.add(RaisingObserver())
        observers.add(RecordingObserver())
        for event in ("on_read", "on_started", "on_closed"):
            observers.notify(event, None)
        self.assertEqual(heard, ["on_read", "on_read", "on_started", "on_closed"])
        self.assertEqual(log_lines, [("observer_cut_off", "bad")])


class ServeTest(unittest.TestCase):
    def test_serve_is_what_the_platform_starts(self) -> None:
        program = ProgramUnderTest(self, command=["serve"])
        gateway = GatewayClient(program)
        number = gateway.send_rpc()
        program.engine.expect_command("RUN", gateway.last_rpc_id)
        program.engine.send_notice("DONE 1", gateway.last_rpc_id, "good 5", body=b"r")
        self.assertEqual(gateway.read_answer(), (number, b"r"))


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.toml = self.settings("n1")
        self.fill("n1", 1_764_547_200_000)  # December 2025

    def settings(self, instance: str) -> str:
        path = Path(self.folder, f"{instance}.toml")
        path.write_text(
            f'[ledger]\nfolder = "{self.folder}/{instance}"\ninstance = "{instance}"\nplan = "plan.toml"\n'
        )
        Path(self.folder, "plan.toml").write_text(
            'currency = "EUR"\ndefault = "a"\n[[plans.a]]\nname = "RPCs"\nunit = "rpc"\nprice = 0.25\n'
        )
        return str(path)

    def fill(self, instance: str, at: int) -> None:
        Path(self.folder, instance).mkdir(exist_ok=True)
        store = UsageStore(f"{self.folder}/{instance}", instance, "UTC", "month", 900_000, 1000)
        for run, settled in ((b"1", [1, 2, 3]), (b"2", [])):
            store.start_run(run, at)
            with store.changing() as ledger:
                uses = [
                    ReportedUsage(n, at + n, b"club", b"m", 5000, 9, 9, run + b"%015d" % n) for n in (1, 2, 3)
                ]
                ledger.apply_batch(UsageBatch(1, uses, settled, [], []), at)
        store.start_run(b"3", at)  # the second run was killed
        store.close()

    def run_(self, *words: str, status: int = 0) -> str:
        result = CliRunner().invoke(main, ["ledger", *words, "--toml", self.toml])
        self.assertEqual(result.exit_code, status, result.output)
        return result.output

    def test_a_month_from_status_to_compaction(self) -> None:
        state = json.loads(self.run_("status", "--json"))
        self.assertEqual((state["disputed"], state["unsettled"]), (3, 0))
        self.assertEqual(json.loads(self.run_("periods", "--json"))["uses"], 3)
        numbers = [json.loads(line)["number"] for line in self.run_("disputed", "--json").splitlines()]
        self.run_("resolve", "--bill", "1", "--reason", "x", status=2)
        self.run_(
            "resolve", "--bill", str(numbers[0]), "--waive-all", "--reason", "gateway's log", "--who", "me"
        )
        self.assertEqual(self.run_("disputed"), "")
        self.assertIn("billed by me", self.run_("show", str(numbers[0])))
        self.run_("correct", "--tenant", "club", "--method", "m", "--period", "2025-12", "--uses", "-1",
                  "--amount", "-1.00", "--reason", "complaint")  # fmt: skip
        for wrong in (["--tenant", "nobody", "--uses", "1"], ["--tenant", "club", "--amount", "x"]):
            self.run_("correct", *wrong, "--method", "m", "--period", "2025-12", "--reason", "x", status=2)
        told = json.loads(self.run_("statement", "2025-12", "--format", "json"))
        self.assertEqual((told["uses"], told["total"]), (3, "-0.25"))
        self.run_("close", "2099-01", status=2)
        self.assertIn("closed", self.run_("close", "2025-12"))
        self.assertIn("before", self.run_("close", "2025-12"))
        self.assertIn("hold", self.run_("verify"))
        self.run_("compact", "2025-12", status=2)  # not exported
        receiver_state = ReceiverState()
        server = HttpReceiverServer(FaultyReceiver(receiver_state, Random(1), fault_probability=0.0))
        self.addCleanup(server.close)
        self.run_("export", "--to", server.url)
        self.assertEqual(sum(billed.uses for billed in receiver_state.totals().values()), 3)
        self.assertIn("uses gone", self.run_("compact", "2025-12"))
        self.assertIn("hold", self.run_("verify"))
        self.assertEqual(json.loads(self.run_("periods", "--json"))["uses"], 3)
        self.run_("backup", f"{self.folder}/copy.sqlite")
        self.run_("backup", f"{self.folder}/copy.sqlite", status=2)

    def test_verify_names_what_is_wrong(self) -> None:
        store = UsageStore(f"{self.folder}/n1", "n1", "UTC", "month", 900_000, 1000)
        store.db.execute("DELETE FROM entries WHERE number = 5")
        store.close()
        self.assertIn("entry 5: missing", self.run_("verify", status=1))
        self.run_("compact", "2025-12", "--unexported", status=2)

    def test_reindex_makes_what_only_the_index_lost(self) -> None:
        store = UsageStore(f"{self.folder}/n1", "n1", "UTC", "month", 900_000, 1000)
        before, listed = store.tenant_totals("2025-12"), store.disputed()
        for table in ("totals", "sums", "disputed", "names"):
            store.db.execute(f"DELETE FROM {table}")
        store.close()
        self.run_("verify", status=1)
        self.run_("reindex")
        self.assertIn("hold", self.run_("verify"))
        store = UsageStore(f"{self.folder}/n1", "n1", "UTC", "month", 900_000, 1000)
        self.addCleanup(store.close)
        self.assertEqual((store.tenant_totals("2025-12"), store.disputed()), (before, listed))

    def test_an_old_copy_catches_up_from_the_merged_ledger(self) -> None:
        copy, into = f"{self.folder}/copy.sqlite", f"{self.folder}/all.sqlite"
        self.run_("backup", copy)
        at = 1_764_547_200_000
        store = UsageStore(f"{self.folder}/n1", "n1", "UTC", "month", 900_000, 1000)
        with store.changing() as ledger:
            use = ReportedUsage(9, at + 9, b"new club", b"m", 5000, 9, 9, b"x" * 16)
            ledger.apply_batch(
                UsageBatch(
                    1, [use, ReportedUsage(10, at + 10, b"club", b"m", 1, 9, 9, b"y" * 16)], [9], [], []
                ),
                at,
            )
        store.close()
        self.run_("merge", f"{self.folder}/n1/ledger.sqlite", "--into", into)
        for name in ("ledger.sqlite-wal", "ledger.sqlite-shm"):
            Path(self.folder, "n1", name).unlink(missing_ok=True)
        Path(copy).rename(f"{self.folder}/n1/ledger.sqlite")
        self.assertIn("lacks", self.run_("merge", f"{self.folder}/n1/ledger.sqlite", "--into", into))
        self.assertIn("came back", self.run_("catch-up", "--from", into))
        self.assertIn("hold", self.run_("verify"))
        store = UsageStore(f"{self.folder}/n1", "n1", "UTC", "month", 900_000, 1000)
        self.addCleanup(store.close)
        self.assertEqual(store.period_sum("2025-12").uses, 4)
        self.assertEqual(store.start_run(b"next", at), 1)  # what was not settled when the copy was merged

    def test_merge_of_files(self) -> None:
        self.settings("n2")
        self.fill("n2", 1_764_547_200_500)
        files = [f"{self.folder}/{name}/ledger.sqlite" for name in ("n1", "n2")]
        out = self.run_("merge", *files, files[0], "--into", f"{self.folder}/all.sqlite", "--json")
        row = next(json.loads(line) for line in out.splitlines() if line.startswith("{"))
        self.assertEqual(row["uses"], 3)  # the same three tries at both
        self.run_("merge", f"{self.folder}/plan.toml", "--into", f"{self.folder}/all.sqlite", status=1)

    def test_without_a_ledger(self) -> None:
        for words, said in [
            (["status", "--toml", "/none.toml"], "/none.toml"), (["status"], "--toml"),
            (["status", "--toml", str(Path("deploy/landingshift.toml"))], "[ledger]"),
        ]:  # fmt: skip
            with self.subTest(words=words):
                result = CliRunner().invoke(main, ["ledger", *words], env={"LANDINGSHIFT_TOML": None})
                self.assertEqual(result.exit_code, 2)
                self.assertIn(said, result.output)


if __name__ == "__main__":
    unittest.main()
