"""What knowing each other costs: CPU and memory of idle servers with and without `[fleet]` and `[coldstart]`.

`python -m benchmarks.fleet [servers] [seconds]`; real processes, nothing else to do for them.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path

from landingshift.lab import MEMORY
from landingshift.lab.coldstart_real import Fleet

TICKS = os.sysconf("SC_CLK_TCK")


def used(pid: int) -> tuple[float, float]:
    """CPU seconds so far, MB resident."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(words[11]) + int(words[12])) / TICKS, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure(servers: int, seconds: float, rooms: bool) -> tuple[float, float]:
    """Per cent of a core and MB, the mean of all."""
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        fleet = Fleet(folder, servers, 1, rooms)
        fleet.rig.rate = 0.0
        try:
            fleet.start_all()
            time.sleep(15.0)
            pids = [p.pid for p in fleet.rig.processes.values()]
            before = [used(pid) for pid in pids]
            time.sleep(seconds)
            after = [used(pid) for pid in pids]
        finally:
            fleet.rig.close()
    cpu = sum(b[0] - a[0] for a, b in zip(before, after, strict=True)) / seconds / servers
    return 100.0 * cpu, sum(b[1] for b in after) / servers


def main() -> None:
    servers = int(sys.argv[1]) if len(sys.argv) > 1 else 30
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    print(f"{servers} idle servers, {seconds:g} s")
    for name, rooms in (("as before", False), ("with fleet and coldstart", True)):
        cpu, memory = measure(servers, seconds, rooms)
        print(f"{name:26} {cpu:6.2f} % of a core  {memory:6.1f} MB")


if __name__ == "__main__":
    main()
