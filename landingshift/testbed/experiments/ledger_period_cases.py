"""Cases of the ledger experiment that crash at each failpoint of closing and compacting periods."""

from __future__ import annotations

from contextlib import suppress

from landingshift import failpoints
from landingshift.ledger.compaction import compact_store
from landingshift.ledger.errors import CommandRejectedError
from landingshift.testbed.experiments.ledger_simulation import (
    COMMIT_FAILPOINTS,
    DAY_MS,
    LedgerCase,
    LedgerSimulation,
    billed_totals,
)

COMPACTION_FAILPOINTS = ("ledger.compact", "ledger.compacted", *COMMIT_FAILPOINTS)


def closing_killed(case: LedgerCase) -> None:
    """The store's process crashes at each failpoint of closing a period.

    A period is closed only once, and its totals don't change afterwards: late usage and corrections go into
    an open period. A period that has not ended or does not exist can't be closed.
    """
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(30)
    simulation.now_ms += 3 * DAY_MS
    name = simulation.store.first_open_period()
    assert name is not None
    for failpoint in COMMIT_FAILPOINTS:
        failpoints.arm(failpoint)
        with suppress(failpoints.SimulatedCrashError):
            _close(simulation, name)
        simulation.crash()
    before = simulation.store.tenant_totals(name)
    case.row.require(not _close(simulation, name), "a period was closed twice")
    period = simulation.store.calendar.period_named(name)
    simulation.closed_end_ms = period.end_ms
    simulation.enter_correction()
    simulation.report_delivered(case.rng.randbytes(16), period.start_ms)
    simulation.commit()
    has_same_totals = simulation.store.tenant_totals(name) == before
    case.row.require(has_same_totals, "the totals of a closed period changed")
    today = simulation.store.calendar.period_at(simulation.now_ms).name
    for refused_name, description in ((today, "has not ended"), ("2026-02-30", "does not exist")):
        try:
            with simulation.store.ledger_transaction() as ledger:
                first_open = simulation.store.first_open_period()
                ledger.close_period(refused_name, simulation.now_ms, first_open, {})
            case.row.violations.append(f"closed {refused_name}, which {description}")
        except CommandRejectedError:
            pass
    simulation.check(case.row)
    simulation.store.close()


def _close(simulation: LedgerSimulation, name: str) -> bool:
    store = simulation.store
    with store.ledger_transaction() as ledger:
        return ledger.close_period(
            name, simulation.now_ms, store.first_open_period(), store.period_totals(name)
        )


def compacting_killed(case: LedgerCase) -> None:
    """The store's process crashes at each failpoint of compacting closed periods.

    Totals, hash chain and disputed usage don't change, and retries are still recognized. An open period can't
    be compacted.
    """
    row = case.row
    simulation = LedgerSimulation(case.rng, case.directory)
    simulation.run_traffic(60)
    simulation.now_ms += 3 * DAY_MS
    _close_all_ended(simulation)
    last_closed = [period.name for period in simulation.store.periods() if period.is_closed][-1]
    totals_before = billed_totals(simulation.store)
    disputed_before = simulation.store.disputed()
    for failpoint in COMPACTION_FAILPOINTS:
        failpoints.arm(failpoint)
        with suppress(failpoints.SimulatedCrashError):
            compact_store(simulation.store, last_closed, simulation.now_ms, None)
        simulation.crash()
    removed_count = compact_store(simulation.store, last_closed, simulation.now_ms, None)
    uses_left = len(simulation.store.ledger.pending) + removed_count
    row.figures["uses_left"] = row.figures.get("uses_left", 0) + uses_left
    row.require(billed_totals(simulation.store) == totals_before, "compacting changed the totals")
    row.require(simulation.store.disputed() == disputed_before, "compacting changed the disputed usage")
    simulation.run_traffic(20)
    simulation.check(row)
    open_period = simulation.store.calendar.period_at(simulation.now_ms).name
    try:
        compact_store(simulation.store, open_period, simulation.now_ms, None)
        row.violations.append("an open period was compacted")
    except CommandRejectedError:
        pass
    simulation.store.close()


def _close_all_ended(simulation: LedgerSimulation) -> None:
    store = simulation.store
    while name := store.first_open_period():
        if store.calendar.period_named(name).end_ms > simulation.now_ms:
            return
        simulation.close_ended_period()
