"""Real servers that are killed under load, and the usage that their ledgers bill.

Each billed attempt has been received by a gateway, and each received one is billed or disputed. Unless the
server is killed, the billed attempts equal the received ones.
"""

from __future__ import annotations

import contextlib
import os
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from random import Random

from landingshift.ledger.audit import audit_store
from landingshift.ledger.entries import Settlement, UsageRecord, attempt_identity, decode
from landingshift.ledger.number_ranges import decode_ranges
from landingshift.ledger.store import UsageStore
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.single_server import METHOD, TENANT, ClosedLoopGateway, SingleServer

LEDGER_TOML = '[ledger]\nfolder = "{directory}/ledger"\ninstance = "lab"\nlock_wait_ms = 20000\n'
SLOW_COMMITS = {"LANDINGSHIFT_SLOW": "ledger.commit:200"}
"""Environment of a server in which each commit takes 200 ms longer."""
PARALLEL_RUN_COUNT = 4
GATEWAY_COUNT = 4
OPEN_RPCS_PER_GATEWAY_COUNT = 8
KILL_DELAY_SECONDS = (0.05, 0.5)
RECOVERY_SECONDS = 0.5
GATEWAY_END_TIMEOUT_SECONDS = 15.0
MAX_ANSWER_MS = 3000.0
MAX_REPORTED_FINDING_COUNT = 2


class Disturbance(Enum):
    """What happens to a server under load. Violations begin with these values."""

    NONE = "none"
    SERVER_KILLED = "server"
    STORE_KILLED = "store"
    BOTH_KILLED = "both"
    SLOW_COMMITS = "slow"

    @property
    def kills_server(self) -> bool:
        """Whether the server is killed and restarted."""
        return self in (Disturbance.SERVER_KILLED, Disturbance.BOTH_KILLED)

    @property
    def kills_store(self) -> bool:
        """Whether the store's process is killed."""
        return self in (Disturbance.STORE_KILLED, Disturbance.BOTH_KILLED)


@dataclass(frozen=True, slots=True)
class LedgerOutcome:
    """Content of a ledger after a run.

    Attributes:
        counted: Identities of the billed attempts.
        disputed: Identities of the disputed attempts.
        problems: Findings of an audit.
    """

    counted: set[bytes]
    disputed: set[bytes]
    problems: list[str]


@dataclass(frozen=True, slots=True)
class KillResult:
    """Result of a run: violations, and numbers of received and of disputed attempts."""

    violations: list[str]
    received_count: int
    disputed_count: int


def run_kills(runs: int, seed: int, removed_defence: str | None = None) -> ExperimentRow:
    """Runs a real server under load many times and returns a row for all runs.

    The kinds of `Disturbance` take turns.

    Args:
        runs: Number of runs; some of them run in parallel.
        seed: Seed of all random draws.
        removed_defence: "disputed" ignores disputed attempts in the checks; any other value has no effect.
    """
    row = ExperimentRow("kills", figures={"received": 0, "disputed": 0, "most_disputed": 0})
    ignores_disputes = removed_defence == "disputed"
    disturbances = list(Disturbance)
    with ThreadPoolExecutor(PARALLEL_RUN_COUNT) as pool:
        jobs = [
            pool.submit(
                _run_one,
                Random(f"{seed} kill {run}"),
                disturbances[run % len(disturbances)],
                ignores_disputes,
            )
            for run in range(runs)
        ]
        for job in jobs:
            try:
                _add_result(row, job.result())
            except Exception as err:
                row.violations.append(f"{type(err).__name__}: {err}")
            row.runs += 1
    return row


def _add_result(row: ExperimentRow, result: KillResult) -> None:
    row.violations += result.violations
    row.figures["received"] += result.received_count
    row.figures["disputed"] += result.disputed_count
    row.figures["most_disputed"] = max(row.figures["most_disputed"], result.disputed_count)


def _run_one(rng: Random, disturbance: Disturbance, ignores_disputes: bool) -> KillResult:
    row = ExperimentRow(disturbance.value)
    with tempfile.TemporaryDirectory() as directory:
        server = SingleServer(directory, LEDGER_TOML.format(directory=directory))
        try:
            server.environment = SLOW_COMMITS if disturbance is Disturbance.SLOW_COMMITS else {}
            server.start()
            gateways = [
                ClosedLoopGateway(server, f"{index}", OPEN_RPCS_PER_GATEWAY_COUNT)
                for index in range(GATEWAY_COUNT)
            ]
            time.sleep(rng.uniform(*KILL_DELAY_SECONDS))
            _disturb(server, disturbance)
            _end_load(gateways)
            if disturbance.kills_server:
                server.start()
            server.shut_down()
            outcome = _read_outcome(directory)
            _check(row, disturbance, gateways, outcome, set() if ignores_disputes else outcome.disputed)
            disputed_count = 0 if ignores_disputes else len(outcome.disputed)
            return KillResult(row.violations, len(_received(gateways)), disputed_count)
        finally:
            server.close()


def _disturb(server: SingleServer, disturbance: Disturbance) -> None:
    children = server.child_process_ids()
    if disturbance.kills_store:
        for child in children:
            with contextlib.suppress(ProcessLookupError):
                os.kill(child, signal.SIGKILL)
    if disturbance.kills_server:
        server.kill()
    elif disturbance is not Disturbance.NONE:
        time.sleep(RECOVERY_SECONDS)


def _end_load(gateways: list[ClosedLoopGateway]) -> None:
    for gateway in gateways:
        gateway.is_stopping = True
    for gateway in gateways:
        gateway.thread.join(GATEWAY_END_TIMEOUT_SECONDS)


def _received(gateways: list[ClosedLoopGateway]) -> set[bytes]:
    """Returns the identities of the attempts whose answers reached a gateway."""
    return {
        attempt_identity(TENANT.encode(), METHOD.encode(), has_attempt_id=False, content=body)
        for gateway in gateways
        for body in gateway.answered_bodies
    }


def _read_outcome(directory: str) -> LedgerOutcome:
    with UsageStore(directory + "/ledger", "lab", "UTC", "month", 900_000, 100_000) as store:
        identities: dict[int, bytes] = {}
        counted: set[bytes] = set()
        for row in store.rows():
            entry = decode(row.kind, row.data)
            if isinstance(entry, UsageRecord):
                identities[row.number] = entry.identity
            elif isinstance(entry, Settlement):
                counted |= {identities[number] for number in decode_ranges(entry.counted)}
        disputed = {identities[number] for number in store.disputed_numbers()}
        problems = [
            f"audit: entry {finding.entry_number}: {finding.problem}" for finding in audit_store(store)
        ]
    return LedgerOutcome(counted, disputed, problems)


def _check(
    row: ExperimentRow,
    disturbance: Disturbance,
    gateways: list[ClosedLoopGateway],
    outcome: LedgerOutcome,
    disputed: set[bytes],
) -> None:
    """Adds a violation to the row for each requirement that is not met."""
    name = disturbance.value
    received = _received(gateways)
    billed = outcome.counted
    row.violations += outcome.problems[:MAX_REPORTED_FINDING_COUNT]
    row.require(billed <= received, f"{name}: {len(billed - received)} attempts billed without an answer")
    lost_count = len(received - billed - disputed)
    row.require(received <= billed | disputed, f"{name}: {lost_count} answered attempts not billed")
    if not disturbance.kills_server:
        is_equal = billed == received and not disputed
        row.require(is_equal, f"{name}: billed {len(billed)} of {len(received)} answered attempts")
    slowest_ms = max((took_ms for gateway in gateways for took_ms in gateway.latencies_ms), default=0.0)
    row.require(slowest_ms < MAX_ANSWER_MS, f"{name}: an answer took {slowest_ms:.0f} ms")
