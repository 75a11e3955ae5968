"""Cases of the ledger experiment in which receivers, exporters and networks fail."""

from __future__ import annotations

import os
import shutil

from landingshift.ledger.receiver_client import HttpReceiver
from landingshift.testbed.experiments.ledger_simulation import (
    CaseFunction,
    LedgerCase,
    LedgerSimulation,
    billed_totals,
    remove_store_files,
)
from landingshift.testbed.processes.export_receiver import (
    Fault,
    FaultyReceiver,
    HttpReceiverServer,
    ReceiverState,
)

LONG_OUTAGE_REQUEST_COUNT = 1000
HTTP_TIMEOUT_MS = 2000.0
HTTP_FAULTS = (Fault.BEFORE_REQUEST, Fault.AFTER_REQUEST, Fault.DUPLICATED_REQUEST, Fault.STALE_REPLY)
DIFFERENT_TOTALS = "the receiver's totals differ from the ledger's"


def totals_with_all_faults(case: LedgerCase) -> None:
    """The receiver fails in all ways, and exporter and store process crash, in random order."""
    row = case.row
    simulation = LedgerSimulation(case.rng, case.directory)
    state = ReceiverState(case.receiver_checks_cursor)
    receiver = FaultyReceiver(state, case.rng, fault_probability=0.3)
    for _ in range(3):
        simulation.run_traffic(case.rng.randrange(10, 40))
        simulation.export(receiver, with_crashes=True)
    _stop_faults(receiver)
    stop = simulation.export(receiver)
    simulation.check(row)
    row.require(stop is None, f"the export stopped early: {stop}")
    row.require(state.totals() == billed_totals(simulation.store), DIFFERENT_TOTALS)
    ids = [(record.kind, record.id) for record in state.records]
    row.require(len(ids) == len(set(ids)), "the receiver has a record twice")
    for fault, count in receiver.fault_counts.items():
        _add_figure(case, fault.value, count)
    _add_figure(case, "crashes", simulation.crash_count)
    _add_figure(case, "records", len(ids))
    simulation.store.close()


def single_fault(fault: Fault) -> CaseFunction:
    """Returns a case in which half of the requests to the receiver fail in the given way."""

    def run(case: LedgerCase) -> None:
        simulation = LedgerSimulation(case.rng, case.directory)
        simulation.run_traffic(40)
        state = ReceiverState(case.receiver_checks_cursor)
        receiver = FaultyReceiver(state, case.rng, fault_probability=0.5, faults=(fault,))
        if fault is Fault.OUTAGE:
            receiver.outage_request_count = LONG_OUTAGE_REQUEST_COUNT
        simulation.export(receiver)
        if fault is Fault.LOST_RECORDS:
            state.lose_records()
            simulation.export(receiver)
        _stop_faults(receiver)
        simulation.export(receiver)
        case.row.require(state.totals() == billed_totals(simulation.store), DIFFERENT_TOTALS)
        _add_figure(case, "faults", sum(receiver.fault_counts.values()))
        simulation.store.close()

    return run


def receiver_over_http(case: LedgerCase) -> None:
    """The exporter's HTTP client reaches a faulty receiver over loopback."""
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(30)
    state = ReceiverState(case.receiver_checks_cursor)
    receiver = FaultyReceiver(state, case.rng, fault_probability=0.3, faults=HTTP_FAULTS)
    with HttpReceiverServer(receiver) as server:
        simulation.export(HttpReceiver(server.url, HTTP_TIMEOUT_MS))
    case.row.require(state.totals() == billed_totals(simulation.store), DIFFERENT_TOTALS)
    simulation.store.close()


def old_backup(case: LedgerCase) -> None:
    """A ledger is restored from an old backup while the receiver is ahead of it.

    The exporter detects that and stops, and the receiver's totals stay. This holds right after the restore
    and also after the restored ledger has recorded more usage.
    """
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(20)
    copy = os.path.join(case.directory, "copy.sqlite")
    simulation.store.backup(copy)
    simulation.run_traffic(20)
    state = ReceiverState()
    receiver = FaultyReceiver(state, case.rng, fault_probability=0.0)
    simulation.export(receiver)
    billed_before = state.totals()
    for has_new_usage in (False, True):
        simulation.store.close()
        remove_store_files(case.directory, ("ledger.sqlite", "ledger.sqlite-wal", "ledger.sqlite-shm"))
        shutil.copy(copy, os.path.join(case.directory, "ledger.sqlite"))
        simulation.restart_server()
        simulation.store.start_run(simulation.run_id, simulation.now_ms)
        if has_new_usage:
            simulation.run_traffic(60)
        stop = simulation.export(receiver)
        case.row.require(stop is not None, "an old copy of the ledger was exported")
        case.row.require(
            state.totals() == billed_before, "the export of an old copy changed the receiver's totals"
        )
    simulation.store.close()


def _stop_faults(receiver: FaultyReceiver) -> None:
    receiver.fault_probability = 0.0
    receiver.outage_request_count = 0


def _add_figure(case: LedgerCase, name: str, count: int) -> None:
    case.row.figures[name] = case.row.figures.get(name, 0) + count
