"""Tests that stored data has the same bytes as that of an earlier build, whose files can still be read."""

from __future__ import annotations

import os
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any

from msgspec import msgpack

from landingshift.coldstart import endpoint_cache
from landingshift.coldstart.last_boot import read_last_boot_id, write_last_boot_id
from landingshift.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    VoteResponse,
)
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft_log import RaftLogFile
from landingshift.consensus.state_machines import StateMachineRegistry, encode_entry
from landingshift.hot_restart.request_journal import RecordKind, RequestJournal
from landingshift.hot_restart.state_export import StateExporter
from landingshift.ledger.compaction import compact_store
from landingshift.ledger.entries import UsageGap, decode
from landingshift.ledger.export_records import ExportReader
from landingshift.ledger.store import STORE_FILE, UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch
from landingshift.ledger.usage_ledger import CorrectionRequest
from landingshift.maintenance.permit_file import read_used_permit, write_used_permit
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.storage import STATE_MACHINE_NAME
from landingshift.policies.state_machine import PolicyStateMachine
from tests.golden_files import FOLDER, assert_golden_bytes, assert_golden_json, golden_bytes, golden_json
from tests.hot_restart_fixtures import RouterHarness

DAY = 86_400_000


class TemporaryFolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))


class RaftLogTest(TemporaryFolderTest):
    def test_raft_messages(self) -> None:
        entries = (LogEntry(3, b"\x91\xa1x"), LogEntry(3, b""))
        messages = [
            RequestVote(4, 10, 3, True),
            VoteResponse(4, True, False),
            AppendEntries(4, 10, 3, entries, 9, 77),
            AppendEntriesResponse(4, False, 8, 77),
            InstallSnapshot(4, 200, 3, b"state", 78, ("n1", "n2")),
            InstallSnapshot(4, 200, 3, b"state", 78),
        ]
        encoded = {f"{i}": msgpack.encode(message) for i, message in enumerate(messages)}
        assert_golden_json(self, "raft_messages.json", encoded)
        for i, data in enumerate(golden_json("raft_messages.json").values()):
            self.assertEqual(msgpack.decode(data, type=Message), messages[i])

    def saved_states(self) -> list[PersistentState]:
        """Returns successive states of a voter: an append, a truncation, a new term, a snapshot."""
        a, b, c = LogEntry(1, b"\x91\xa1a"), LogEntry(1, b"\x91\xa1b"), LogEntry(2, b"\xc1\x92\xa2n1\xa2n2")
        return [
            PersistentState(1, "n1", entries=[a, b]),
            PersistentState(2, "", entries=[a]),
            PersistentState(2, "n2", entries=[a, c]),
            PersistentState(2, "n2", 2, 2, b"snapshot", [], ("n1", "n2")),
            PersistentState(3, "", 2, 2, b"snapshot", [c], ("n1", "n2")),
        ]

    def test_log_and_seal(self) -> None:
        path = str(self.folder / "journal")
        log = RaftLogFile(path, "golden", "n1")
        for state in self.saved_states():
            log.save(state)
        log.close()
        assert_golden_bytes(self, "raft_log", Path(path).read_bytes())
        assert_golden_bytes(self, "raft_log.seal", Path(path + ".seal").read_bytes())
        copy_path = str(self.folder / "again")
        for suffix in ("", ".seal"):
            shutil.copy(FOLDER / f"raft_log{suffix}", copy_path + suffix)
        log = RaftLogFile(copy_path, "golden", "n1")
        self.assertEqual(log.persistent_state, self.saved_states()[-1])
        log.rewrite(log.persistent_state)
        log.close()
        assert_golden_bytes(self, "raft_log_rewritten", Path(copy_path).read_bytes())


class ReplicatedStateTest(unittest.TestCase):
    """Entries and snapshots of the replicated state machines."""

    POLICY_ENTRIES = (
        ["join", [["n1", 11], ["n2", 12]]],
        ["propose", "c1", b"text", "me", "why", 5.0],
        ["propose", "c2", b"other", "me", "why", 6.0],
        ["switch", "c1", 2],
        ["propose", "c3", b"text", "me", "why", 7.0],
        ["propose", "c4", b"third", "me", "why", 8.0],
        ["end", "c4", "withdrawn", "not now", 9.0],
        ["end", "c5", "withdrawn", "not known", 10.0],
        ["gone", "n2", 12],
    )
    MAINTENANCE_ENTRIES = (
        encode_entry(STATE_MACHINE_NAME, "machine", "n1", 100.0, "z0", "a", True),
        encode_entry(STATE_MACHINE_NAME, "machine", "n2", 50.0, "z1", "b", False),
        encode_entry(
            STATE_MACHINE_NAME,
            "wish",
            [
                ["n1", 10.0, 5.0, 1.0, 0.0, float("inf"), False, "g"],
                ["n2", 5.0, 6.0, 2.0, 0.0, 1e12, True, ""],
            ],
        ),
        encode_entry(STATE_MACHINE_NAME, "seen", 3, 70.5),
        encode_entry(STATE_MACHINE_NAME, "permit", "n1", 11, 7.0),
        encode_entry(STATE_MACHINE_NAME, "move", "n1", 1, "draining", "", 8.0),
        encode_entry(STATE_MACHINE_NAME, "hold", "why"),
        encode_entry(STATE_MACHINE_NAME, "hold", ""),
        encode_entry(STATE_MACHINE_NAME, "move", "n2", 0, "cancelled", "not now", 9.0),
        encode_entry(STATE_MACHINE_NAME, "without", "n2"),
    )

    def test_entries_and_snapshots(self) -> None:
        policies, maintenance, registry = PolicyStateMachine(), MaintenanceState(), StateMachineRegistry()
        registry.register("policies", policies)
        registry.register(STATE_MACHINE_NAME, maintenance)
        for entry in self.POLICY_ENTRIES:
            registry.apply(msgpack.encode(entry))
        for data in self.MAINTENANCE_ENTRIES:
            registry.apply(data)
        registry.apply(encode_entry("unknown", "x", 1))
        states = {
            "work entries": list(self.MAINTENANCE_ENTRIES),
            "other": encode_entry("unknown", "x", 1),
            "policies": policies.snapshot(),
            "work": maintenance.snapshot(),
            "all": registry.snapshot(),
        }
        assert_golden_json(self, "replicated_states.json", states)
        policies, maintenance, registry = PolicyStateMachine(), MaintenanceState(), StateMachineRegistry()
        registry.register("policies", policies)
        registry.register(STATE_MACHINE_NAME, maintenance)
        registry.restore(golden_json("replicated_states.json")["all"])
        self.assertEqual((policies.snapshot(), maintenance.snapshot()), (states["policies"], states["work"]))
        self.assertEqual(registry.snapshot(), states["all"])


class SmallFilesTest(TemporaryFolderTest):
    def test_endpoint_cache(self) -> None:
        path = str(self.folder / "list")
        endpoint_cache.save(path, "golden", [("10.0.0.1", 7101), ("10.0.0.2", 7102)], 1_796_287_000_000.0)
        assert_golden_bytes(self, "endpoint_cache", Path(path).read_bytes())
        cache = endpoint_cache.load(str(FOLDER / "endpoint_cache"), "golden", 1_796_287_001_000.0)
        self.assertEqual(cache.endpoints, [("10.0.0.1", 7101), ("10.0.0.2", 7102)])
        self.assertEqual(cache.age_ms, 1000.0)

    def test_last_boot_id(self) -> None:
        path = str(self.folder / "list.boot")
        write_last_boot_id(path, "0f0f-boot")
        assert_golden_bytes(self, "boot_mark", Path(path).read_bytes())
        self.assertEqual(read_last_boot_id(str(FOLDER / "boot_mark")), "0f0f-boot")

    def test_used_permit(self) -> None:
        path = str(self.folder / "mark")
        write_used_permit(path, "n3", 17)
        assert_golden_bytes(self, "work_mark", Path(path).read_bytes())
        self.assertEqual(read_used_permit(str(FOLDER / "work_mark"), "n3"), 17)


def shape(value: Any) -> Any:
    """Returns the names and types in `value` without its values; equal element shapes of a list only once."""
    match value:
        case dict():
            return {str(key): shape(each) for key, each in value.items()}
        case list():
            return [
                each for i, each in enumerate(map(shape, value)) if each not in [shape(v) for v in value[:i]]
            ]
        case bool() | str() | bytes() | None:
            return type(value).__name__
    return "number"


class HotRestartTest(unittest.TestCase):
    def test_names_in_the_exported_state(self) -> None:
        """Exports a router with an RPC at each stage; the state keeps the names that another build reads."""
        harness = RouterHarness(self)
        gateway = harness.connect_gateway()
        gateway.sendall(
            harness.request("m", b"runs")
            + harness.request("m", b"calls")
            + harness.request("token", b"kept", once="k")
        )
        for _ in range(3):
            harness.next_command()
        harness.engine.send(b"NEED 1 %016x 4\r\nbody\r\n" % 2)
        database = harness.accept_database_link()
        harness.run_until_readable(database)
        gateway.sendall(harness.request("token", b"kept", once="k"))
        harness.run(30.0)
        data, _ = StateExporter(harness.router).export()
        state = msgpack.decode(data)
        state["module"] = {part: sorted(state["module"][part]) for part in ("plain", "rings")}
        for rpc in state["rpcs"]:
            rpc["command"] = None  # depends on whether the engine has confirmed the command yet
        state["engine"]["stats"] = None  # depends on whether gauges have arrived yet
        assert_golden_json(self, "hot_restart_state.json", shape(state))

    def test_request_journal(self) -> None:
        journal = RequestJournal.create(4096)
        self.addCleanup(journal.close)
        for i, kind in enumerate(RecordKind):
            journal.write(kind, i, b"data" * i)
        assert_golden_bytes(self, "hot_restart_journal", journal.memory[:256])
        fd = os.memfd_create("golden")
        os.write(fd, golden_bytes("hot_restart_journal").ljust(4096, b"\0"))
        reopened = RequestJournal.open(fd, 4096)
        self.addCleanup(reopened.close)
        rows = [(int(kind), subject_id, data) for _, kind, subject_id, data in reopened.read()]
        self.assertEqual(rows, [(i + 1, i, b"data" * i) for i in range(len(RecordKind))])


class LedgerTest(TemporaryFolderTest):
    """A ledger with every kind of entry; its chained hashes reveal any changed byte."""

    def make_store(self) -> UsageStore:
        store = UsageStore(str(self.folder), "n1", "UTC", "day", 1000, 1000)
        self.addCleanup(store.close)
        usage = [
            ReportedUsage(i, 100 + i, b"t%d" % (i % 2), b"m", 5000 + i, 10, 20, b"%016d" % i)
            for i in range(1, 7)
        ]
        usage[3].identity = usage[2].identity  # a retry within the window
        store.start_run(b"run-1", 50)
        with store.ledger_transaction() as ledger:
            ledger.apply_batch(UsageBatch(1, usage[:4], [1, 2, 3], [], [], 2), 110)
            ledger.apply_batch(UsageBatch(2, usage[4:], [4], [5], []), 120)
        store.start_run(b"run-2", 200)
        with store.ledger_transaction() as ledger:
            ledger.append(UsageGap(210, 3))
            ledger.correct(CorrectionRequest(b"t1", b"m", "1970-01-01", 2, 10, "1.5", "a reason", "me"), 220)
        with store.ledger_transaction() as ledger:
            disputed_usage = dict(store.disputed())
            ledger.resolve_disputes(
                disputed_usage, [], store.counted_near(disputed_usage.values()), "checked", "me", 230
            )
        with store.ledger_transaction() as ledger:
            late = ReportedUsage(1, DAY + 500, b"t1", b"m", 4000, 1, 2, b"z" * 16)
            ledger.apply_batch(UsageBatch(1, [late], [1], [], []), DAY + 500)
        with store.ledger_transaction() as ledger:
            ledger.close_period(
                "1970-01-01", 2 * DAY, store.first_open_period(), store.period_totals("1970-01-01")
            )
        return store

    def table_rows(self, store: UsageStore) -> dict[str, Any]:
        tables = ("entries", "names", "totals", "sums", "baseline", "disputed", "corrections", "closed")
        found: dict[str, Any] = {
            table: sorted(store.db.execute(f"SELECT * FROM {table}").fetchall()) for table in tables
        }
        found["meta"] = store.db.execute("SELECT * FROM meta ORDER BY key").fetchall()
        found["schema"] = store.db.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall()
        return found

    def test_entries_export_and_compaction(self) -> None:
        store = self.make_store()
        batch = ExportReader(store).next_batch(0)
        assert batch is not None
        found = self.table_rows(store) | {"export": batch.SerializeToString(deterministic=True)}
        kinds = {kind for _, kind, _, _ in found["entries"]}
        compact_store(store, "1970-01-01", 3 * DAY, store.ledger.last_number)
        found["after compaction"] = self.table_rows(store)
        kinds |= {kind for _, kind, _, _ in found["after compaction"]["entries"]}
        self.assertEqual(kinds, set(range(1, 10)))
        assert_golden_json(self, "ledger.json", found)

    def test_store_of_an_earlier_build_is_read(self) -> None:
        path = self.folder / STORE_FILE
        if not (FOLDER / "ledger.sqlite").exists() and os.environ.get("LANDINGSHIFT_WRITE_GOLDEN") == "1":
            created = self.make_store()
            created.backup(str(FOLDER / "ledger.sqlite"))
            created.close()
            path.unlink()
        shutil.copy(FOLDER / "ledger.sqlite", path)
        store = UsageStore(str(self.folder), "n1", "UTC", "day", 1000, 1000)
        self.addCleanup(store.close)
        expected = golden_json("ledger.json")
        rows = [list(row) for row in store.rows()]
        self.assertEqual(rows, expected["entries"])
        self.assertEqual(type(decode(*rows[0][1:3])).__name__, "Opened")
        batch = ExportReader(store).next_batch(0)
        assert batch is not None
        self.assertEqual(batch.SerializeToString(deterministic=True), expected["export"])
        self.assertEqual([period.name for period in store.periods()], ["1970-01-01", "1970-01-02"])
