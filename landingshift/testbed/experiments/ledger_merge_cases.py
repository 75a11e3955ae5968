"""Cases of the ledger experiment that merge the ledgers of several instances.

Ledgers are merged late, repeatedly, and after a restore from an old copy.
"""

from __future__ import annotations

import os
import shutil
from contextlib import suppress

from landingshift import failpoints
from landingshift.ledger import audit
from landingshift.ledger.merged_store import MergedStore
from landingshift.ledger.peer_exchange import PeerClient, serve
from landingshift.ledger.reconciliation import merge_file, merge_peer
from landingshift.ledger.repair import restore_missing_entries
from landingshift.ledger.totals import TenantTotals
from landingshift.testbed.experiments.ledger_simulation import (
    DAY_MS,
    DEDUP_WINDOW_MS,
    PERIOD_UNIT,
    START_MS,
    TIME_ZONE,
    LedgerCase,
    LedgerSimulation,
    billed_totals,
    remove_store_files,
)
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.export_receiver import BilledTotals, RecordKey

MERGE_FAILPOINTS = ("ledger.merge", "ledger.merged", "")
SHARED_ATTEMPT_COUNT = 10
SHARED_ATTEMPTS_PERIOD = "2026-04-03"
AFTER_COPY_PERIOD = "2026-04-07"
PEER_TIMEOUT_MS = 5000.0


def merging_killed(case: LedgerCase) -> None:
    """Three ledgers are merged in random order, twice each, with crashes.

    The totals don't depend on the order. An attempt that several instances recorded counts once. A ledger
    that is merged alone gives its own totals.
    """
    simulations = [
        LedgerSimulation(case.rng, os.path.join(case.directory, f"{index}"), f"n{index}")
        for index in range(3)
    ]
    _run_shared_attempts(case, simulations)
    totals_by_turn = [_merge_in_random_order(case, simulations, turn) for turn in range(3)]
    are_equal = all(totals == totals_by_turn[0] for totals in totals_by_turn)
    case.row.require(are_equal, "the order of merging changed the totals")
    shared = [entry for entry in totals_by_turn[0] if entry.period == SHARED_ATTEMPTS_PERIOD]
    shared_uses = sum(entry.totals.uses for entry in shared)
    is_counted_once = shared_uses == SHARED_ATTEMPT_COUNT
    case.row.require(is_counted_once, f"a retry on another instance was counted again: {shared}")
    _check_single_merge(case, simulations[0])
    for simulation in simulations:
        simulation.store.close()


def _run_shared_attempts(case: LedgerCase, simulations: list[LedgerSimulation]) -> None:
    identities = [case.rng.randbytes(16) for _ in range(SHARED_ATTEMPT_COUNT)]
    for simulation in simulations:
        simulation.run_traffic(15)
        for identity in identities:
            at_ms = START_MS + 5 * DAY_MS + simulation.rng.randrange(20_000)
            simulation.report_delivered(identity, at_ms)
        simulation.commit()


def _merge_in_random_order(
    case: LedgerCase, simulations: list[LedgerSimulation], turn: int
) -> list[TenantTotals]:
    merged = _open_merged(case, f"merged{turn}.sqlite")
    order = [simulation for simulation in simulations for _ in range(2)]
    case.rng.shuffle(order)
    for simulation in order:
        failpoints.arm(case.rng.choice(MERGE_FAILPOINTS), 1)
        with suppress(failpoints.SimulatedCrashError):
            merge_file(merged, simulation.store.path)
        failpoints.arm("")
    for simulation in simulations:
        merge_file(merged, simulation.store.path)
    totals = merged.tenant_totals()
    merged.close()
    return totals


def _check_single_merge(case: LedgerCase, simulation: LedgerSimulation) -> None:
    merged = _open_merged(case, "subset.sqlite")
    merge_file(merged, simulation.store.path)
    merged_totals = {
        RecordKey(entry.period, entry.service_period, entry.tenant, entry.method): BilledTotals(
            entry.totals.uses, entry.totals.work_us
        )
        for entry in merged.tenant_totals()
    }
    billed = billed_totals(simulation.store)
    not_empty = {key: totals for key, totals in billed.items() if totals != BilledTotals(0, 0)}
    case.row.require(merged_totals == not_empty, "merging a single ledger changed its totals")
    merged.close()


def _open_merged(case: LedgerCase, name: str) -> MergedStore:
    path = os.path.join(case.directory, name)
    return MergedStore(path, TIME_ZONE, PERIOD_UNIT, DEDUP_WINDOW_MS)


def merging_away_or_old(case: LedgerCase) -> None:
    """A ledger is merged over gRPC after a day's absence and after a restore from an old copy.

    In the second case, the missing entries are restored from the merged store, or the old copy records new
    usage and is then kept as a separate branch.
    """
    simulation = LedgerSimulation(case.rng, os.path.join(case.directory, "n1"))
    merged = _open_merged(case, "merged.sqlite")
    server, port = serve(simulation.open_store, "127.0.0.1:0")
    try:
        with PeerClient(f"127.0.0.1:{port}", PEER_TIMEOUT_MS) as peer:
            _merge_around_old_copy(case, simulation, merged, peer)
    finally:
        server.stop(0).wait()
        merged.close()
        simulation.store.close()


def _merge_around_old_copy(
    case: LedgerCase, simulation: LedgerSimulation, merged: MergedStore, peer: PeerClient
) -> None:
    row = case.row
    simulation.run_traffic(20)
    result = merge_peer(merged, peer)
    has_all = result.new_entry_count == simulation.store.ledger.last_number
    row.require(has_all, "the first merge did not transfer all entries")
    copy = os.path.join(case.directory, "copy.sqlite")
    simulation.store.backup(copy)
    simulation.now_ms += DAY_MS
    simulation.run_traffic(20)
    merge_peer(merged, peer)
    is_up_to_date = merged.heads()["n1"].number == simulation.store.ledger.last_number
    row.require(is_up_to_date, "the merge after a day's absence did not transfer all entries")
    merged_before = merged.tenant_totals()
    billed_before = billed_totals(simulation.store)
    _restore_copy(simulation, copy)
    simulation.store = simulation.open_store()
    row.require(merge_peer(merged, peer).missing_entry_count > 0, "a merge did not detect an old copy")
    restore_missing_entries(simulation.store, merged)
    has_same_totals = billed_totals(simulation.store) == billed_before
    row.require(has_same_totals, "restoring the missing entries gave other totals")
    row.require(not audit.audit_store(simulation.store), "a store with restored entries fails its audit")
    _restore_copy(simulation, copy)
    simulation.restart_server()
    _check_diverged(row, simulation, merged, peer, merged_before)


def _restore_copy(simulation: LedgerSimulation, copy: str) -> None:
    simulation.store.close()
    remove_store_files(simulation.directory, ("ledger.sqlite-wal", "ledger.sqlite-shm"))
    shutil.copy(copy, os.path.join(simulation.directory, "ledger.sqlite"))


def _check_diverged(
    row: ExperimentRow,
    simulation: LedgerSimulation,
    merged: MergedStore,
    peer: PeerClient,
    merged_before: list[TenantTotals],
) -> None:
    for _ in range(2):  # at the first divergent entry, and after another one
        simulation.store.start_run(simulation.run_id, simulation.now_ms)
        simulation.report_delivered(simulation.rng.randbytes(16), START_MS + 9 * DAY_MS)
        simulation.commit()
        branch = merge_peer(merged, peer).branch
        row.require(branch != "n1", "new usage of an old copy was merged into the instance's own branch")
    totals = merged.tenant_totals()
    others = [entry for entry in totals if entry.period != AFTER_COPY_PERIOD]
    row.require(others == merged_before, "merging the old copy changed earlier totals")
    new_uses = sum(entry.totals.uses for entry in totals if entry.period == AFTER_COPY_PERIOD)
    row.require(new_uses == 2, f"{new_uses} of the 2 new uses of the old copy were merged")
