"""Helpers for the cases about the ledger: its commands, its history, and a receiver of exports."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

from peers_2 import ROOT, Case, free_port, give_up

from landingshift.ledger.entries import attempt_identity
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_messages import ReportedUsage, UsageBatch

INSTANCE = "n1"
COMMAND = "from landingshift.cli import start; start()"
USES = 20
"""Uses of one run of a server that `write_run` writes."""


def write_run(folder: str, at_ms: int, first_attempt: int, is_killed: bool) -> None:
    """Writes the entries of a server's run at a time in the past, as its store's process does.

    Args:
        folder: Folder of the ledger.
        at_ms: Unix time of the run.
        first_attempt: Number of the first of the clients' attempts.
        is_killed: Whether the process is killed before it knows whether the answers arrived.
    """
    store = UsageStore.from_settings(Settings(directory=folder, instance=INSTANCE, period_unit="day"))
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
        call = f"import ledger_2; ledger_2.write_run({str(self.folder)!r}, {int(at.timestamp() * 1000)}, "
        call += f"{first_attempt}, {is_killed})"
        status = subprocess.run([sys.executable, "-c", call], timeout=40).returncode
        attempts = f"attempts {first_attempt + 1} to {first_attempt + USES}"
        self.case.record.write(f"a server's run at {at:%F %T}, {attempts}: status {status}")
        if status != (-signal.SIGKILL if is_killed else 0):
            give_up("the ledger was not written")

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


@dataclass
class Receiver:
    """A receiver as docs/ledger-export.md describes it: cursor, hash and records change together."""

    case: Case
    cursor: int = 0
    hash: bytes = bytes(16)
    records: dict[int, str] = field(default_factory=dict)
    """Period of each use, by the id of its record."""

    def __post_init__(self) -> None:
        """Answers requests in a thread of its own."""
        port = free_port()
        self.url = f"http://127.0.0.1:{port}/ledger"
        server = HTTPServer(("127.0.0.1", port), _handler_of(self))
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def copy(self) -> tuple[int, bytes, dict[int, str]]:
        """Returns a copy of what is stored."""
        return self.cursor, self.hash, dict(self.records)

    def restore(self, copy: tuple[int, bytes, dict[int, str]]) -> None:
        """Replaces what is stored by a copy."""
        self.cursor, self.hash, self.records = copy[0], copy[1], dict(copy[2])

    def apply(self, batch: Any) -> bool:
        """Applies a batch if it begins at the cursor; returns whether it was applied."""
        is_next = getattr(batch, "from") == self.cursor and batch.from_hash == self.hash
        if is_next:
            self.cursor, self.hash = batch.to, batch.to_hash
            self.records |= {
                record.id: record.period for record in batch.records if record.kind == record.USE
            }
        self.case.record.write(
            f"receiver gets a batch from {getattr(batch, 'from')} to {batch.to} with {len(batch.records)} "
            f"records; applied: {is_next}"
        )
        return is_next


def _handler_of(receiver: Receiver) -> type[BaseHTTPRequestHandler]:
    from landingshift.ledger.export_pb2 import Ack, Batch

    class Handler(BaseHTTPRequestHandler):
        """Answers the requests of an exporter."""

        def answer(self, is_applied: bool, status: int) -> None:
            """Sends an `Ack` with the stored values."""
            ack = Ack(instance=INSTANCE, cursor=receiver.cursor, hash=receiver.hash, applied=is_applied)
            data = ack.SerializeToString()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def do_GET(self) -> None:
            """Answers a request for the cursor."""
            receiver.case.record.write("receiver is asked for its cursor:", receiver.cursor)
            self.answer(False, 200)

        def do_POST(self) -> None:
            """Answers a batch."""
            batch = Batch.FromString(self.rfile.read(int(self.headers["Content-Length"])))
            is_applied = receiver.apply(batch)
            self.answer(is_applied, 200 if is_applied else 409)

        def log_message(self, *_words: object) -> None:
            """Writes no log."""

    return Handler
