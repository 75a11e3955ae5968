"""The server with the passes of its loop timed, from the end of its wait to the end of the pass.

`BENCH_PASSES` names the file that gets p50, p99 and the longest, in ms, at the end.
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
    """Takes the time of each pass; `install` puts it into the loop's class.

    Attributes:
        durations_ms: Of the passes, up to `MAX_PASSES`.
    """

    def __init__(self) -> None:
        self.durations_ms: list[float] = []
        self._began_seconds = 0.0  # when the wait of the present pass was over; 0 until then

    def install(self) -> None:
        """Replaces two methods of `Loop` by ones that take the time."""
        read = Loop.read
        run_pass = Loop.run_pass

        def timed_read(loop: Loop, wait_ms: float) -> bool:
            select = loop.selector.select

            def timed_select(timeout: float | None = None):  # type: ignore[no-untyped-def]
                ready = select(timeout)
                self._began_seconds = self._began_seconds or time.perf_counter()
                return ready

            loop.selector.select = timed_select  # type: ignore[method-assign]
            try:
                return read(loop, wait_ms)
            finally:
                loop.selector.select = select  # type: ignore[method-assign]

        def timed_run_pass(loop: Loop) -> None:
            self._began_seconds = 0.0
            run_pass(loop)
            if len(self.durations_ms) < MAX_PASSES:
                self.durations_ms.append((time.perf_counter() - self._began_seconds) * 1000.0)

        Loop.read = timed_read  # type: ignore[method-assign]
        Loop.run_pass = timed_run_pass  # type: ignore[method-assign]

    def figures(self) -> dict[str, float]:
        """Returns count and percentiles of the passes."""
        durations_ms = sorted(self.durations_ms)
        return {
            "passes": len(durations_ms),
            "p50": durations_ms[len(durations_ms) // 2],
            "p99": durations_ms[len(durations_ms) * 99 // 100],
            "most": durations_ms[-1],
        }


def run_timed_server() -> int:
    """Serves until SIGTERM, writes the figures and returns the server's exit status."""
    timer = PassTimer()
    timer.install()
    status = main()
    Path(os.environ[RESULT_FILE_VARIABLE]).write_bytes(orjson.dumps(timer.figures()))
    return status


if __name__ == "__main__":
    sys.exit(run_timed_server())
