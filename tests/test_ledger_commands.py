"""Tests of the `landingshift ledger` commands on stores with usage of one month."""

import json
import tempfile
import unittest
from pathlib import Path
from random import Random

from click.testing import CliRunner

from landingshift.cli.errors import EXIT_FAILED, EXIT_USAGE
from landingshift.cli.main import main
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.testbed import MEMORY
from landingshift.testbed.processes.export_receiver import FaultyReceiver, HttpReceiverServer, ReceiverState

DECEMBER_2025_MS = 1_764_547_200_000
DAY_MS = 86_400_000
PERIOD = "2025-12"
PLAN_TOML = 'currency = "EUR"\ndefault = "a"\n[[plans.a]]\nname = "RPCs"\nunit = "rpc"\nprice = 0.25\n'


def usage(
    sequence: int, at_ms: int, identity: bytes, tenant: bytes = b"club", work_us: int = 5000
) -> ReportedUsage:
    return ReportedUsage(sequence, at_ms + sequence, tenant, b"m", work_us, 9, 9, identity)


class LedgerCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.settings_path = self.write_settings("n1")
        self.fill_store("n1", DECEMBER_2025_MS)

    def write_settings(self, instance: str) -> str:
        path = Path(self.directory, f"{instance}.toml")
        path.write_text(
            f'[ledger]\nfolder = "{self.directory}/{instance}"\ninstance = "{instance}"\nplan = "plan.toml"\n'
        )
        Path(self.directory, "plan.toml").write_text(PLAN_TOML)
        return str(path)

    def open_store(self, instance: str = "n1") -> UsageStore:
        return UsageStore(f"{self.directory}/{instance}", instance, "UTC", "month", 900_000, 1000)

    def fill_store(self, instance: str, at_ms: int) -> None:
        """Stores three usage records each of two server processes; those of the second one are disputed."""
        Path(self.directory, instance).mkdir(exist_ok=True)
        with self.open_store(instance) as store:
            for run_id, delivered in ((b"1", [1, 2, 3]), (b"2", [])):
                store.start_run(run_id, at_ms)
                usages = [usage(number, at_ms, run_id + b"%015d" % number) for number in (1, 2, 3)]
                with store.ledger_transaction() as ledger:
                    ledger.apply_batch(UsageBatch(1, usages, delivered, [], []), at_ms)
            store.start_run(b"3", at_ms)

    def run_command(self, *words: str, status: int = 0) -> str:
        result = CliRunner().invoke(main, ["ledger", *words, "--toml", self.settings_path])
        self.assertEqual(result.exit_code, status, result.output)
        return result.output

    def test_commands_of_a_month_from_status_to_compaction(self) -> None:
        state = json.loads(self.run_command("status", "--json"))
        self.assertEqual((state["disputed"], state["unsettled"]), (3, 0))
        self.assertEqual(json.loads(self.run_command("periods", "--json"))["uses"], 3)
        self.resolve_disputes()
        self.enter_corrections()
        statement = json.loads(self.run_command("statement", PERIOD, "--format", "json"))
        self.assertEqual((statement["uses"], statement["total"]), (3, "-0.25"))
        self.run_command("close", "2099-01", status=EXIT_USAGE)
        self.assertIn("closed", self.run_command("close", PERIOD))
        self.assertIn("before", self.run_command("close", PERIOD))
        self.assertIn("hold", self.run_command("verify"))
        self.run_command("compact", PERIOD, status=EXIT_USAGE)  # rejected: not exported yet
        self.export()
        self.assertIn("uses gone", self.run_command("compact", PERIOD))
        self.assertIn("hold", self.run_command("verify"))
        self.assertEqual(json.loads(self.run_command("periods", "--json"))["uses"], 3)
        self.run_command("backup", f"{self.directory}/copy.sqlite")
        self.run_command("backup", f"{self.directory}/copy.sqlite", status=EXIT_USAGE)

    def resolve_disputes(self) -> None:
        lines = self.run_command("disputed", "--json").splitlines()
        first_number = str(json.loads(lines[0])["number"])
        self.run_command("resolve", "--bill", "1", "--reason", "x", status=EXIT_USAGE)
        self.run_command(
            "resolve", "--bill", first_number, "--waive-all", "--reason", "gateway's log", "--who", "me"
        )
        self.assertEqual(self.run_command("disputed"), "")
        self.assertIn("billed by me", self.run_command("show", first_number))

    def enter_corrections(self) -> None:
        common = ("--method", "m", "--period", PERIOD, "--reason", "complaint")
        self.run_command("correct", "--tenant", "club", "--uses", "-1", "--amount", "-1.00", *common)
        for invalid in (["--tenant", "nobody", "--uses", "1"], ["--tenant", "club", "--amount", "x"]):
            self.run_command("correct", *invalid, *common, status=EXIT_USAGE)

    def export(self) -> None:
        receiver_state = ReceiverState()
        receiver = FaultyReceiver(receiver_state, Random(1), fault_probability=0.0)
        with HttpReceiverServer(receiver) as server:
            self.run_command("export", "--to", server.url)
        self.assertEqual(sum(billed.uses for billed in receiver_state.totals().values()), 3)

    def test_export_that_a_compaction_refuses_goes_on_from_a_backup(self) -> None:
        backup_path = Path(self.directory, "backup", "ledger.sqlite")
        backup_path.parent.mkdir()
        backup_settings = Path(self.directory, "backup.toml")
        backup_settings.write_text(Path(self.settings_path).read_text().replace("/n1", "/backup"))
        self.run_command("resolve", "--bill-all", "--reason", "gateway's log")
        later = usage(1, DECEMBER_2025_MS + DAY_MS, b"x" * 16)
        with self.open_store() as store, store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, [later], [1], [], []), DECEMBER_2025_MS + DAY_MS)
        self.run_command("close", PERIOD)
        self.run_command("backup", str(backup_path))
        self.run_command("compact", PERIOD, "--unexported")
        receiver_state = ReceiverState()
        receiver = FaultyReceiver(receiver_state, Random(1), fault_probability=0.0)
        with HttpReceiverServer(receiver) as server:
            refused = self.run_command("export", "--to", server.url, status=EXIT_FAILED)
            self.assertIn("export a backup of this ledger from before the compaction", refused)
            self.assertEqual(receiver_state.records, [])
            ledger_settings, self.settings_path = self.settings_path, str(backup_settings)
            self.run_command("export", "--to", server.url)
            self.settings_path = ledger_settings
            self.assertIn("exported up to", self.run_command("export", "--to", server.url))
        self.assertEqual(sum(billed.uses for billed in receiver_state.totals().values()), 7)

    def test_verify_reports_a_missing_entry(self) -> None:
        with self.open_store() as store:
            store.db.execute("DELETE FROM entries WHERE number = 5")
        self.assertIn("entry 5: missing", self.run_command("verify", status=EXIT_FAILED))
        self.run_command("compact", PERIOD, "--unexported", status=EXIT_USAGE)

    def test_reindex_restores_a_damaged_index(self) -> None:
        with self.open_store() as store:
            totals, disputed = store.tenant_totals(PERIOD), store.disputed()
            for table in ("totals", "sums", "disputed", "names"):
                store.db.execute(f"DELETE FROM {table}")
        self.run_command("verify", status=EXIT_FAILED)
        self.run_command("reindex")
        self.assertIn("hold", self.run_command("verify"))
        with self.open_store() as store:
            self.assertEqual((store.tenant_totals(PERIOD), store.disputed()), (totals, disputed))

    def test_catch_up_restores_entries_missing_in_an_old_copy(self) -> None:
        copy = f"{self.directory}/copy.sqlite"
        merged = f"{self.directory}/all.sqlite"
        store_path = f"{self.directory}/n1/ledger.sqlite"
        self.run_command("backup", copy)
        usages = [
            usage(9, DECEMBER_2025_MS, b"x" * 16, tenant=b"new club"),
            usage(10, DECEMBER_2025_MS, b"y" * 16, work_us=1),
        ]
        with self.open_store() as store, store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, usages, [9], [], []), DECEMBER_2025_MS)
        self.run_command("merge", store_path, "--into", merged)
        for name in ("ledger.sqlite-wal", "ledger.sqlite-shm"):
            Path(self.directory, "n1", name).unlink(missing_ok=True)
        Path(copy).rename(store_path)
        self.assertIn("lacks", self.run_command("merge", store_path, "--into", merged))
        self.assertIn("came back", self.run_command("catch-up", "--from", merged))
        self.assertIn("hold", self.run_command("verify"))
        with self.open_store() as store:
            self.assertEqual(store.period_sum(PERIOD).uses, 4)
            # The usage with sequence 10 was not settled before the merge, so the next start disputes it.
            self.assertEqual(store.start_run(b"next", DECEMBER_2025_MS), 1)

    def test_merge_counts_an_attempt_metered_by_two_instances_once(self) -> None:
        self.write_settings("n2")
        self.fill_store("n2", DECEMBER_2025_MS + 500)
        merged = f"{self.directory}/all.sqlite"
        files = [f"{self.directory}/{instance}/ledger.sqlite" for instance in ("n1", "n2")]
        output = self.run_command("merge", *files, files[0], "--into", merged, "--json")
        totals = next(json.loads(line) for line in output.splitlines() if line.startswith("{"))
        self.assertEqual(totals["uses"], 3)  # the same three attempts on both
        self.run_command("merge", f"{self.directory}/plan.toml", "--into", merged, status=EXIT_FAILED)

    def test_without_a_ledger_the_error_names_the_missing_setting(self) -> None:
        for words, expected in [
            (["status", "--toml", "/none.toml"], "/none.toml"),
            (["status"], "--toml"),
            (["status", "--toml", str(Path("deploy/landingshift.toml"))], "[ledger]"),
        ]:
            with self.subTest(words=words):
                result = CliRunner().invoke(main, ["ledger", *words], env={"LANDINGSHIFT_TOML": None})
                self.assertEqual(result.exit_code, EXIT_USAGE)
                self.assertIn(expected, result.output)


if __name__ == "__main__":
    unittest.main()
