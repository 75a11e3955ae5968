"""Cases of the ledger experiment with faulty clocks and disks, damaged files, bad settings, unusual names."""

from __future__ import annotations

import os
import shutil
import sqlite3
from typing import Any

from landingshift.ledger import audit
from landingshift.ledger.entries import EntryKind, attempt_identity
from landingshift.ledger.errors import StoreUnavailableError
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_lock import StoreLock
from landingshift.net.program.features import FeatureConfigError, load_features
from landingshift.testbed.experiments.ledger_simulation import (
    DAY_MS,
    DEDUP_WINDOW_MS,
    PERIOD_UNIT,
    START_MS,
    TIME_ZONE,
    LedgerCase,
    LedgerSimulation,
    billed_totals,
)
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.export_receiver import FaultyReceiver, ReceiverState

FULL_DISK_USAGE_COUNT = 2000
UNBOUNDED_PAGE_COUNT = 1_000_000_000
TORN_TAIL_BYTES = 100
LOCK_TIMEOUT_MS = 30.0
TENANT_COUNT = 100_000
TENANT_BATCH_USAGE_COUNT = 2000
UNUSUAL_NAMES = (
    b"",
    b"\0",
    b"\xff\xfe",
    b"a,b\n",
    "æøå".encode(),
    b"\\x00",
    b"'; DROP TABLE entries",
    bytes(1000),
)
BAD_SETTINGS = {
    "folder": '"relative"',
    "instance": '"a b"',
    "zone": '"No/Where"',
    "period": "3",
    "commit_ms": "-1",
    "plan": '"none.toml"',
    "unknown": "1",
}
"""Invalid TOML values by key; each of them alone makes the settings invalid."""


def retries(case: LedgerCase) -> None:
    """Retries count once within the deduplication window, also in the next period and after a crash.

    Usage of a period that is reported after the period was closed is billed in the next period.
    """
    simulation = LedgerSimulation(case.rng, case.directory)
    midnight_ms = simulation.store.calendar.period_at(START_MS).end_ms
    simulation.now_ms = midnight_ms - 10_000
    attempts = (
        (b"a" * 16, (0, 1_000)),
        (b"b" * 16, (0, 15_000)),
        (b"c" * 16, (0, DEDUP_WINDOW_MS - 1, DEDUP_WINDOW_MS + 1)),
    )
    for identity, offsets_ms in attempts:
        for offset_ms in offsets_ms:
            simulation.report_delivered(identity, midnight_ms - 10_000 + offset_ms)
            simulation.commit()
    simulation.crash()
    simulation.report_delivered(b"b" * 16, midnight_ms + 20_000)
    simulation.commit()
    simulation.now_ms = midnight_ms + DAY_MS
    simulation.close_ended_period()
    simulation.report_delivered(b"d" * 16, midnight_ms - 5_000)  # usage of a period that is closed by now
    simulation.commit()
    simulation.check(case.row)
    uses = {
        (key.period, key.service_period): billed.uses
        for key, billed in billed_totals(simulation.store).items()
    }
    expected = {("2026-03-29", ""): 3, ("2026-03-30", ""): 1, ("2026-03-30", "2026-03-29"): 1}
    case.row.require(uses == expected, f"uses by period and service period: {uses}, expected {expected}")
    simulation.store.close()


def clock_steps_back(case: LedgerCase) -> None:
    """Usage around midnight is counted in the right period while the clock steps forward and back."""
    simulation = LedgerSimulation(case.rng, case.directory)
    midnight_ms = simulation.store.calendar.period_at(START_MS).end_ms
    for offset_ms in (-1, 0, -1, -3_600_000, 1):
        simulation.now_ms = midnight_ms + offset_ms
        simulation.report_delivered(case.rng.randbytes(16))
        simulation.commit()
    simulation.check(case.row)
    uses = simulation.store.period_sum("2026-03-29").uses
    case.row.require(uses == 3, f"{uses} uses in 2026-03-29, expected 3")
    simulation.store.close()


def disk_full(case: LedgerCase) -> None:
    """A commit that fails on a full disk changes nothing, and succeeds when there is space again."""
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(20)
    db = simulation.store.db
    page_count = db.execute("PRAGMA page_count").fetchone()[0]
    db.execute(f"PRAGMA max_page_count = {page_count}")
    for _ in range(FULL_DISK_USAGE_COUNT):
        simulation.report_delivered(case.rng.randbytes(16))
    case.row.require(not _can_commit(simulation), "a commit succeeded on a full disk")
    db.execute(f"PRAGMA max_page_count = {UNBOUNDED_PAGE_COUNT}")
    simulation.commit_again()
    simulation.commit()
    simulation.check(case.row)
    simulation.store.close()


def disk_read_only(case: LedgerCase) -> None:
    """A commit that fails on a read-only disk changes nothing, and succeeds when the disk is writable."""
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(10)
    before = billed_totals(simulation.store)
    simulation.store.db.execute("PRAGMA query_only = ON")
    simulation.report_delivered(case.rng.randbytes(16))
    case.row.require(not _can_commit(simulation), "a commit succeeded on a read-only disk")
    case.row.require(billed_totals(simulation.store) == before, "a failed commit changed the totals")
    simulation.store.db.execute("PRAGMA query_only = OFF")
    simulation.commit_again()
    simulation.check(case.row)
    simulation.store.close()


def _can_commit(simulation: LedgerSimulation) -> bool:
    try:
        simulation.commit()
    except sqlite3.Error:
        return False
    return True


def torn_page(case: LedgerCase) -> None:
    """The tail of the write-ahead log is damaged, as after a power cut.

    The store opens at the state after one of the commits and passes its audit.
    """
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(30)
    simulation.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    commits = [(simulation.store.ledger.last_number, billed_totals(simulation.store))]
    for _ in range(5):
        simulation.report_delivered(case.rng.randbytes(16))
        simulation.commit()
        commits.append((simulation.store.ledger.last_number, billed_totals(simulation.store)))
    torn_directory = os.path.join(case.directory, "torn")
    os.mkdir(torn_directory)
    for name in ("ledger.sqlite", "ledger.sqlite-wal"):
        shutil.copy(os.path.join(case.directory, name), os.path.join(torn_directory, name))
    wal_path = os.path.join(torn_directory, "ledger.sqlite-wal")
    size_bytes = os.path.getsize(wal_path)
    with open(wal_path, "r+b") as wal:
        wal.truncate(case.rng.randrange(size_bytes // 2, size_bytes))
        wal.seek(-TORN_TAIL_BYTES, os.SEEK_END)
        wal.write(case.rng.randbytes(TORN_TAIL_BYTES))
    with UsageStore(torn_directory, "n1", TIME_ZONE, PERIOD_UNIT, DEDUP_WINDOW_MS, 1000) as store:
        state = (store.ledger.last_number, billed_totals(store))
        case.row.require(state in commits, "the store opened at a state that is not that of any commit")
        case.row.require(not audit.audit_store(store), "the store fails its audit")
    simulation.store.close()


def locked(case: LedgerCase) -> None:
    """A second server can't open a store that another server has locked."""
    with StoreLock(case.directory, 0.0):
        try:
            StoreLock(case.directory, LOCK_TIMEOUT_MS)
            case.row.violations.append("two servers locked the same store")
        except StoreUnavailableError as err:
            is_named = "held by another server" in str(err) and case.directory in str(err)
            case.row.require(is_named, f"the error does not name reason and folder: {err}")
    StoreLock(case.directory, 0.0).close()


def tampered(case: LedgerCase) -> None:
    """The audit finds each kind of tampering with the file, and names the entry."""
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(60)
    db = simulation.store.db
    usage_numbers = [
        number for (number,) in db.execute("SELECT number FROM entries WHERE kind = ?", (EntryKind.USAGE,))
    ]
    tampered_number = case.rng.choice(usage_numbers[1:-1])
    newest = simulation.store.ledger.last_number
    changes: dict[str, tuple[str, dict[str, Any], int]] = {
        "changed": (
            "UPDATE entries SET data = CAST(data || x'00' AS BLOB) WHERE number = :victim",
            {"victim": tampered_number},
            tampered_number,
        ),
        "missing": (
            "DELETE FROM entries WHERE number = :victim",
            {"victim": tampered_number},
            tampered_number,
        ),
        "cut off": ("DELETE FROM entries WHERE number = :newest", {"newest": newest}, newest),
        "index": ("UPDATE totals SET uses = uses + 1 WHERE tenant > 0", {}, 0),
        "reordered": (
            "UPDATE entries SET data = (SELECT data FROM entries WHERE number = :other) "
            "WHERE number = :victim",
            {"victim": tampered_number, "other": usage_numbers[0]},
            tampered_number,
        ),
    }
    for name, (statement, parameters, expected_number) in changes.items():
        db.execute("BEGIN")
        db.execute(statement, parameters)
        found = {finding.entry_number for finding in audit.audit_store(simulation.store)}
        is_found = expected_number in found
        case.row.require(is_found, f"{name}: entry {expected_number} is not among {sorted(found)[:5]}")
        db.execute("ROLLBACK")
    case.row.require(not audit.audit_store(simulation.store), "the store fails its audit after the rollback")
    simulation.store.close()


def many_tenants(case: LedgerCase) -> None:
    """A hundred thousand tenants with one use each are billed; records the file size for each use."""
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.queue.limit_bytes = 1 << 30
    for number in range(TENANT_COUNT):
        identity = number.to_bytes(16, "big")
        simulation.report_delivered(identity, START_MS + 1, b"club %d" % number)
        if len(simulation.queue.unsent_usages) >= TENANT_BATCH_USAGE_COUNT:
            simulation.commit()
    simulation.commit()
    simulation.check(case.row)
    uses = simulation.store.period_sum("2026-03-29").uses
    case.row.require(uses == TENANT_COUNT, f"{uses} of {TENANT_COUNT} uses are billed")
    case.row.figures["bytes_a_use"] = os.path.getsize(simulation.store.path) // TENANT_COUNT
    simulation.store.close()


def bad_settings(case: LedgerCase) -> None:
    """Each invalid setting is rejected with file, table and key, and no folder is created."""
    good_values = {
        "folder": f'"{case.directory}/l"',
        "instance": '"n1"',
        "zone": '"UTC"',
        "period": '"day"',
        "commit_ms": "5",
    }
    for key, value in BAD_SETTINGS.items():
        _check_refused(case.row, case.directory, good_values | {key: value}, key)


def _check_refused(row: ExperimentRow, directory: str, values: dict[str, str], key: str) -> None:
    path = os.path.join(directory, "ours.toml")
    with open(path, "w") as file:
        file.write("[ledger]\n" + "".join(f"{name} = {value}\n" for name, value in values.items()))
    try:
        load_features(path)
        row.violations.append(f"{key} = {values[key]} was accepted")
    except FeatureConfigError as err:
        is_named = all(text in str(err) for text in (path, "[ledger]", key))
        row.require(is_named, f"the error does not name file, table and key: {err}")
    row.require(not os.path.exists(os.path.join(directory, "l")), "invalid settings created a folder")


def any_bytes(case: LedgerCase) -> None:
    """Names of arbitrary bytes are billed and exported unchanged."""
    simulation = LedgerSimulation(case.rng, case.directory)
    for tenant in UNUSUAL_NAMES:
        for method in (b"m", tenant):
            identity = attempt_identity(tenant, method, has_attempt_id=False, content=b"")
            simulation.report_delivered(identity, None, tenant, method)
    simulation.commit()
    simulation.check(case.row)
    state = ReceiverState()
    simulation.export(FaultyReceiver(state, case.rng, fault_probability=0.0))
    is_equal = state.totals() == billed_totals(simulation.store)
    case.row.require(is_equal, "names in the receiver's totals differ from the ledger's")
    simulation.store.close()
