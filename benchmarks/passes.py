"""Runs the server and measures the duration of each pass of its event loop, without the wait for events.

At the end, the number of passes and their p50, p99 and maximum duration in ms are written as JSON to the file
named by the environment variable `BENCH_PASSES`.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import orjson

from landingshift.net.program.main import main
from landingshift.net.transport.loop import Loop

RESULT_FILE_VARIABLE = "BENCH_PASSES"
MAX_PASSES = 1_000_000


class PassTimer:
    """Measures the duration of each pass of the event loop, once `install` has been called.

    Attributes:
        durations_ms: The durations of the first `MAX_PASSES` passes.
    """

    def __init__(self) -> None:
        self.durations_ms: list[float] = []
        self._wait_ended_seconds = 0.0  # end of the wait for events in the current pass; 0 before it

    def install(self) -> None:
        """Replaces `Loop.read` and `Loop.run_pass` by versions that measure the time."""
        read = Loop.read
        run_pass = Loop.run_pass

        def timed_read(loop: Loop, wait_ms: float) -> bool:
            select = loop.selector.select

            def timed_select(timeout: float | None = None):  # type: ignore[no-untyped-def]
                ready = select(timeout)
                self._wait_ended_seconds = self._wait_ended_seconds or time.perf_counter()
                return ready

            loop.selector.select = timed_select  # type: ignore[method-assign]
            try:
                return read(loop, wait_ms)
            finally:
                loop.selector.select = select  # type: ignore[method-assign]

        def timed_run_pass(loop: Loop) -> None:
            self._wait_ended_seconds = 0.0
            run_pass(loop)
            if len(self.durations_ms) < MAX_PASSES:
                self.durations_ms.append((time.perf_counter() - self._wait_ended_seconds) * 1000.0)

        Loop.read = timed_read  # type: ignore[method-assign]
        Loop.run_pass = timed_run_pass  # type: ignore[method-assign]

    def summary(self) -> dict[str, float]:
        """Returns the number of passes and their p50, p99 and maximum duration in ms."""
        durations_ms = sorted(self.durations_ms)
        return {
            "passes": len(durations_ms),
            "p50": durations_ms[len(durations_ms) // 2],
            "p99": durations_ms[len(durations_ms) * 99 // 100],
            "most": durations_ms[-1],
        }


def run_timed_server() -> int:
    """Runs the server until SIGTERM, writes the measured durations and returns the server's exit status."""
    timer = PassTimer()
    timer.install()
    status = main()
    Path(os.environ[RESULT_FILE_VARIABLE]).write_bytes(orjson.dumps(timer.summary()))
    return status


if __name__ == "__main__":
    sys.exit(run_timed_server())
