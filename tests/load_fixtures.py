"""Fixtures for tests under load: an engine that runs all RPCs, and what others see."""

from __future__ import annotations

import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from types import TracebackType

from tests.helpers import READ_TIMEOUT_SECONDS, GatewayClient, ProgramUnderTest

ENGINE_READ_TIMEOUT_SECONDS = 0.02
PROBE_INTERVAL_SECONDS = 0.02


def anonymous_mb(program: ProgramUnderTest) -> float:
    """Return the memory of the process without the files that it maps."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["RssAnon"].split()[0]) / 1024.0


class RunningEngine:
    """Serves the program's engine link in a background thread while the context is open.

    Each run ends at once. Gauge queries and self-tests are answered.

    Attributes:
        run_counts: How often each RPC was run, keyed by RPC id.
    """

    def __init__(self, program: ProgramUnderTest) -> None:
        self.engine = program.engine
        self.run_counts: Counter[str] = Counter()
        self._notice_number = 0
        self._is_done = threading.Event()
        self._thread = threading.Thread(target=self._serve)

    def __enter__(self) -> RunningEngine:
        self.engine.sock.settimeout(ENGINE_READ_TIMEOUT_SECONDS)
        self._thread.start()
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self._is_done.set()
        self._thread.join()
        self.engine.sock.settimeout(READ_TIMEOUT_SECONDS)

    def _serve(self) -> None:
        while not self._is_done.is_set():
            with suppress(TimeoutError, OSError, EOFError):
                self._answer(self.engine.read_line()[0])

    def _answer(self, words: list[str]) -> None:
        if words[0] == "STAT":
            self.engine.send_notice("STATS", words[1], 0.2, 1, 0.1, 3)
        elif words[0] == "TEST":
            self.engine.send_notice("TESTED", words[1], "good")
        elif words[0] == "RUN":
            self.run_counts[words[1]] += 1
            self._notice_number += 1
            self.engine.send_notice("DONE", self._notice_number, words[1], "good 1", body=b"r")


class OtherClient:
    """A client that sends one RPC after another and records how long each answer takes.

    Attributes:
        latencies_ms: The time to each answer, in the order of the RPCs.
        answers: The number of answers of each kind.
    """

    def __init__(self, program: ProgramUnderTest) -> None:
        self.gateway = GatewayClient(program)
        self.latencies_ms: list[float] = []
        self.answers: Counter[str] = Counter()

    def send_for(self, duration_seconds: float) -> None:
        """Sends RPCs for the given time, one at a time."""
        end = time.monotonic() + duration_seconds
        while time.monotonic() < end:
            self.send_one()
            time.sleep(PROBE_INTERVAL_SECONDS)

    def send_one(self) -> None:
        sent = time.monotonic()
        self.gateway.send_rpc()
        outcome = self.gateway.read_final_answer()[1]
        self.latencies_ms.append((time.monotonic() - sent) * 1000.0)
        self.answers["ok" if outcome == b"r" else str(outcome)] += 1

    def median_ms(self) -> float:
        return sorted(self.latencies_ms)[len(self.latencies_ms) // 2]
