"""Ledger experiment: each case causes failures and compares the bill with an independent count."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from random import Random
from unittest import mock

from landingshift import failpoints
from landingshift.ledger import audit
from landingshift.ledger.dedup_window import DedupWindow
from landingshift.ledger.store_messages import UsageBatch
from landingshift.ledger.usage_ledger import UsageLedger
from landingshift.testbed import MEMORY
from landingshift.testbed.experiments import ledger_export_cases as export_cases
from landingshift.testbed.experiments import ledger_merge_cases as merge_cases
from landingshift.testbed.experiments import ledger_period_cases as period_cases
from landingshift.testbed.experiments import ledger_store_cases as store_cases
from landingshift.testbed.experiments.ledger_simulation import CaseFunction, LedgerCase
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.export_receiver import Fault

CASES: dict[str, CaseFunction] = {
    "totals": export_cases.totals_with_all_faults,
    **{f"receiver_{fault.value}": export_cases.single_fault(fault) for fault in Fault},
    "receiver_over_http": export_cases.receiver_over_http,
    "old_backup": export_cases.old_backup,
    "retries": store_cases.retries,
    "clock_steps_back": store_cases.clock_steps_back,
    "disk_full": store_cases.disk_full,
    "disk_read_only": store_cases.disk_read_only,
    "torn_page": store_cases.torn_page,
    "locked": store_cases.locked,
    "tampered": store_cases.tampered,
    "closing_killed": period_cases.closing_killed,
    "compacting_killed": period_cases.compacting_killed,
    "merging_killed": merge_cases.merging_killed,
    "merging_away_or_old": merge_cases.merging_away_or_old,
    "any_bytes": store_cases.any_bytes,
    "bad_settings": store_cases.bad_settings,
    "many_tenants": store_cases.many_tenants,
}
"""Cases by name, in the order of their rows."""
MAIN_CASE = "totals"
RUN_ONCE_CASES = ("many_tenants",)
REPEATS_RATIO = 5
"""Number of runs of the main case for each run of another case."""
KILLS_ROW = "kills"


def experiment(
    repeats: int, kills: int, seed: int, removed_defence: str | None = None, only: str | None = None
) -> Iterator[ExperimentRow]:
    """Runs all cases, or a single one, and yields the row of each when it is done.

    A run that raises an exception counts as a violation.

    Args:
        repeats: Number of runs of the main case; others run fewer times (see `REPEATS_RATIO`).
        kills: Number of runs with real servers that are killed; 0 skips them.
        seed: Seed of all random draws. The same seed gives the same faults.
        removed_defence: Name of the defence to disable, to show that the cases detect its absence; None for
            none.
        only: Name of the single case to run; None or "" for all.
    """
    with _defence_disabled(removed_defence):
        for name, run_case in CASES.items():
            if only in (None, "", name):
                yield _run_case(name, run_case, repeats, seed, removed_defence)
        if kills and only in (None, "", KILLS_ROW):
            from landingshift.testbed.experiments.ledger_real import run_kills

            yield run_kills(kills, seed, removed_defence)


def _run_case(
    name: str, run_case: CaseFunction, repeats: int, seed: int, removed_defence: str | None
) -> ExperimentRow:
    row = ExperimentRow(name)
    for run in range(_run_count(name, repeats)):
        # Failpoints simulate crashes of processes, not of the machine, so a file system in memory is enough.
        with tempfile.TemporaryDirectory(dir=MEMORY) as directory:
            rng = Random(f"{seed} {name} {run}")
            try:
                run_case(LedgerCase(rng, directory, row, removed_defence != "cursor"))
            except Exception as err:
                row.violations.append(f"run {run}: {type(err).__name__}: {err}")
            finally:
                failpoints.arm("")
        row.runs += 1
    return row


def _run_count(name: str, repeats: int) -> int:
    if name in RUN_ONCE_CASES:
        return 1
    return repeats if name == MAIN_CASE else max(1, repeats // REPEATS_RATIO)


@contextmanager
def _defence_disabled(defence: str | None) -> Iterator[None]:
    """Disables a defence while the context is active.

    The defence "cursor" is not handled here, because the stand-in for the receiver implements it.
    """
    patch: AbstractContextManager[object]
    match defence:
        case "identity":
            patch = mock.patch.object(DedupWindow, "contains", return_value=False)
        case "chain":
            patch = mock.patch.object(audit, "audit_store", return_value=[])
        case "disputed":
            patch = mock.patch.object(UsageLedger, "start_run", _without_disputes(UsageLedger.start_run))
        case "batch":
            patch = mock.patch.object(
                UsageLedger, "apply_batch", _without_batch_check(UsageLedger.apply_batch)
            )
        case _:
            yield
            return
    with patch:
        yield


def _without_disputes(
    start_run: Callable[[UsageLedger, bytes, int], int],
) -> Callable[[UsageLedger, bytes, int], int]:
    """Returns a `start_run` that drops unsettled usage of earlier processes instead of disputing it."""

    def start_run_without_disputes(ledger: UsageLedger, run_id: bytes, now_ms: int) -> int:
        ledger.pending.clear()
        return start_run(ledger, run_id, now_ms)

    return start_run_without_disputes


def _without_batch_check(
    apply_batch: Callable[[UsageLedger, UsageBatch, int], None],
) -> Callable[[UsageLedger, UsageBatch, int], None]:
    """Returns an `apply_batch` that applies a batch again each time it is received."""

    def apply_any_batch(ledger: UsageLedger, batch: UsageBatch, now_ms: int) -> None:
        ledger.last_batch_number = batch.number - 1
        apply_batch(ledger, batch, now_ms)

    return apply_any_batch
