"""Helpers for the cases about the ledger: its history, and its commands with and without the extras."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from peers_2 import ROOT, Case, give_up

from landingshift.ledger.audit import audit_store
from landingshift.ledger.compaction import compact_store
from landingshift.ledger.entries import attempt_identity
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch

INSTANCE = "n1"
COMMAND = "from landingshift.cli import start; start()"
USES = 20
"""Uses of one run of a server that `write_run` writes."""


def open_store(folder: str) -> UsageStore:
    """Opens the ledger of a `PastLedger`."""
    return UsageStore.from_settings(Settings(directory=folder, instance=INSTANCE, period_unit="day"))


def write_run(folder: str, at_ms: int, first_attempt: int, is_killed: bool) -> None:
    """Writes the entries of a server's run at a time in the past, as its store's process does.

    Args:
        folder: Folder of the ledger.
        at_ms: Unix time of the run.
        first_attempt: Number of the first of the clients' attempts.
        is_killed: Whether the process is killed before it knows whether the answers arrived.
    """
    store = open_store(folder)
    store.start_run(os.urandom(8), at_ms)
    numbers = list(range(1, USES + 1))
    uses = []
    for number in numbers:
        body = b"attempt %d" % (first_attempt + number)
        identity = attempt_identity(b"rundtur", b"checkout", False, body)
        uses.append(ReportedUsage(number, at_ms + number, b"rundtur", b"checkout", 3500, 10, 100, identity))
    with store.ledger_transaction() as ledger:
        ledger.apply_batch(UsageBatch(1, uses, [], [], []), at_ms)
    if is_killed:
        os.kill(os.getpid(), signal.SIGKILL)
    with store.ledger_transaction() as ledger:
        ledger.apply_batch(UsageBatch(2, [], numbers, [], []), at_ms)
    store.close()


def operate(folder: str, command: str, period: str = "") -> str:
    """Does what a command of `landingshift ledger` does, by the same calls; returns what it prints.

    The commands need libraries that the deploy file does not install.
    """
    now_ms = round(time.time() * 1000)
    with open_store(folder) as store:
        match command:
            case "verify":
                return f"{len(list(audit_store(store)))} findings"
            case "close":
                with store.ledger_transaction() as ledger:
                    totals = store.period_totals(period)
                    ledger.close_period(period, now_ms, store.first_open_period(), totals)
                return f"{period}: closed, {store.period_sum(period).uses} uses"
            case "exported":  # what `export` stores once the receiver has everything
                store.set_exported_number(store.newest_number())
                return f"exported up to entry {store.exported_number()}"
            case "compact":
                return f"{compact_store(store, period, now_ms, store.exported_number())} uses gone"
            case "disputed":
                return str(len(store.disputed()))
            case "resolve --bill-all":
                with store.ledger_transaction() as ledger:
                    disputed = dict(store.disputed())
                    nearby = store.counted_near(disputed.values())
                    reason = "the gateway's log has them"
                    billed = ledger.resolve_disputes(disputed, [], nearby, reason, "anna", now_ms)
                return f"{billed} billed, {len(disputed) - billed} were repeated attempts"
            case "billed":
                return str(sum(summary.totals.uses for summary in store.periods()))
    return give_up(f"no such command: {command}")


@dataclass
class PastLedger:
    """A ledger with periods of a day, whose runs lie in the past, so that their periods can be closed."""

    case: Case

    def __post_init__(self) -> None:
        """Writes the settings file."""
        self.folder = self.case.folder / "ledger"
        self.folder.mkdir()
        self.toml = Path(self.case.folder, "ours.toml")
        self.toml.write_text(f'[ledger]\nfolder = "{self.folder}"\ninstance = "{INSTANCE}"\nperiod = "day"\n')

    @staticmethod
    def noon(days_ago: int) -> datetime:
        """Returns noon of an earlier day."""
        today = datetime.now(UTC).replace(hour=12, minute=0, second=0, microsecond=0)
        return today - timedelta(days=days_ago)

    def run_server(self, at: datetime, first_attempt: int, is_killed: bool = False) -> None:
        """Has a process write the entries of a server's run.

        Raises:
            CaseNotRunError: The process failed.
        """
        at_ms = int(at.timestamp() * 1000)
        parameters = [str(self.folder), at_ms, first_attempt, is_killed]
        call = f"import ledger_2; ledger_2.write_run(*{parameters!r})"
        status = subprocess.run([sys.executable, "-c", call], timeout=40).returncode
        attempts = f"attempts {first_attempt + 1} to {first_attempt + USES}"
        self.case.record.write(f"a server's run at {at:%F %T}, {attempts}: status {status}")
        if status != (-signal.SIGKILL if is_killed else 0):
            give_up("the ledger was not written")

    def operate(self, *words: str) -> str:
        """Does what a command of `landingshift ledger` does, in a process of its own; returns its output."""
        call = f"import ledger_2; print(ledger_2.operate(*{[str(self.folder), *words]!r}))"
        result = subprocess.run([sys.executable, "-c", call], capture_output=True, text=True, timeout=40)
        output = (result.stdout + result.stderr).strip()
        self.case.record.write(f"operator: ledger {' '.join(words)}: {output}")
        if result.returncode:
            give_up(f"ledger {words}: {output}")
        return output

    def try_command(self, *words: str) -> tuple[int, str]:
        """Runs a `landingshift ledger` command; returns its exit status and output."""
        line = [sys.executable, "-c", COMMAND, "ledger", *words, "--toml", str(self.toml)]
        result = subprocess.run(line, capture_output=True, text=True, timeout=40, cwd=ROOT)
        output = (result.stdout + result.stderr).strip().replace("\n", " | ")
        self.case.record.write(f"landingshift ledger {' '.join(words)}: status {result.returncode}: {output}")
        return result.returncode, result.stdout

    def command(self, *words: str) -> str:
        """Runs a `landingshift ledger` command that has to succeed; returns its output.

        Raises:
            CaseNotRunError: It failed.
        """
        status, output = self.try_command(*words)
        if status:
            give_up(f"ledger {words}: {output}")
        return output
