"""Cases of the ledger's experiment: closing and compacting, killed at each point."""

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
    """Killed at each point of a close and of a correction; closed once, closed for good."""
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
    case.row.require(not _close(simulation, name), "a period closed twice")
    period = simulation.store.calendar.period_named(name)
    simulation.closed_end_ms = period.end_ms
    simulation.enter_correction()
    simulation.report_delivered(case.rng.randbytes(16), period.start_ms)
    simulation.commit()
    case.row.require(simulation.store.tenant_totals(name) == before, "a closed period changed")
    today = simulation.store.calendar.period_at(simulation.now_ms).name
    for refused_name, description in ((today, "an open day"), ("2026-02-30", "no day")):
        try:
            with simulation.store.ledger_transaction() as ledger:
                first_open = simulation.store.first_open_period()
                ledger.close_period(refused_name, simulation.now_ms, first_open, {})
            case.row.violations.append(f"it closed {description}")
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
    """Killed at each point; totals, chain and what is disputed stay, a retry is still known."""
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
    row.require(simulation.store.disputed() == disputed_before, "compacting changed what is disputed")
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
