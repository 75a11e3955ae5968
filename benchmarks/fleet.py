"""What knowing each other costs: CPU and memory of idle servers, plain and with the fleet's rooms.

`python -m benchmarks.fleet [servers] [seconds]`; real processes, nothing else to do for them.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.cold_start_real import Fleet
from landingshift.testbed.experiments.policies_real import Council

TICKS = os.sysconf("SC_CLK_TCK")


def used(pid: int) -> tuple[float, float]:
    """CPU seconds so far, MB resident."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(words[11]) + int(words[12])) / TICKS, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure(servers: int, seconds: float, start: Callable[[str], Any]) -> tuple[float, float]:
    """Per cent of a core and MB, the mean of all; `start(folder)` gives what has a rig with all started."""
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        fleet = start(folder)
        try:
            time.sleep(15.0)
            pids = [p.pid for p in fleet.rig.processes.values()]
            before = [used(pid) for pid in pids]
            time.sleep(seconds)
            after = [used(pid) for pid in pids]
        finally:
            fleet.rig.close()
    cpu = sum(b[0] - a[0] for a, b in zip(before, after, strict=True)) / seconds / servers
    return 100.0 * cpu, sum(b[1] for b in after) / servers


def started(fleet: Any) -> Any:
    fleet.rig.rate = 0.0
    fleet.start_all()
    return fleet


def main() -> None:
    servers = int(sys.argv[1]) if len(sys.argv) > 1 else 30
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    print(f"{servers} idle servers, {seconds:g} s")
    ways: dict[str, Callable[[str], Any]] = {
        "as before": lambda folder: started(Fleet(folder, servers, 1, False)),
        "with fleet and coldstart": lambda folder: started(Fleet(folder, servers, 1)),
        "fleet and policies": lambda folder: started(Council(folder, servers, 1, load=0.0)),
        "the same, leased": lambda folder: started(Council(folder, servers, 1, "stand_aside", load=0.0)),
    }
    for name, start in ways.items():
        cpu, memory = measure(servers, seconds, start)
        print(f"{name:26} {cpu:6.2f} % of a core  {memory:6.1f} MB")


if __name__ == "__main__":
    main()
