"""What membership costs: CPU and memory of idle servers, plain and with the packages that need it.

`python -m benchmarks.fleet [servers] [seconds]`; real processes, nothing else to do for them.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.cold_start_harness import ColdStartHarness
from landingshift.testbed.experiments.policies_harness import STAND_ASIDE, PolicyHarness
from landingshift.testbed.processes.harness import ProcessHarness

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
DEFAULT_SERVER_COUNT = 30
DEFAULT_MEASURED_SECONDS = 20.0
SETTLING_SECONDS = 15.0  # until all servers have started and know each other
SEED = 1
USER_TICKS_FIELD = 11  # of /proc/PID/stat, counted behind the name of the process
SYSTEM_TICKS_FIELD = 12
RESIDENT_PAGES_FIELD = 1  # of /proc/PID/statm


class RunningFleet(Protocol):
    """Servers in processes of their own."""

    servers: ProcessHarness

    def start_all(self) -> None:
        """Starts all servers."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used.

    Attributes:
        cpu_seconds: Since it started.
        resident_mb: Now.
    """

    cpu_seconds: float
    resident_mb: float


def usage_of(process_id: int) -> ProcessUsage:
    """Returns what a process has used so far."""
    stat_fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat_fields[USER_TICKS_FIELD]) + int(stat_fields[SYSTEM_TICKS_FIELD])
    memory_fields = Path(f"/proc/{process_id}/statm").read_text().split()
    resident_bytes = int(memory_fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    return ProcessUsage(ticks / CLOCK_TICKS_PER_SECOND, resident_bytes / 1e6)


def measure(
    server_count: int, measured_seconds: float, make_fleet: Callable[[str], RunningFleet]
) -> tuple[float, float]:
    """Returns per cent of a core and resident MB of a server, the mean of all.

    Args:
        server_count: How many servers the fleet has.
        measured_seconds: For how long.
        make_fleet: Makes the fleet in a folder.
    """
    with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
        fleet = make_fleet(folder)
        fleet.servers.load.rpcs_per_second = 0.0
        fleet.start_all()
        try:
            time.sleep(SETTLING_SECONDS)
            process_ids = [process.pid for process in fleet.servers.processes.values()]
            before = [usage_of(process_id) for process_id in process_ids]
            time.sleep(measured_seconds)
            after = [usage_of(process_id) for process_id in process_ids]
        finally:
            fleet.servers.close()
    pairs = zip(before, after, strict=True)
    cpu_seconds = sum(later.cpu_seconds - earlier.cpu_seconds for earlier, later in pairs)
    resident_mb = sum(usage.resident_mb for usage in after)
    return 100.0 * cpu_seconds / measured_seconds / server_count, resident_mb / server_count


def main() -> None:
    """Measures four fleets one after the other and prints a line each."""
    server_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SERVER_COUNT
    measured_seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_MEASURED_SECONDS
    print(f"{server_count} idle servers, {measured_seconds:g} s")
    fleets: dict[str, Callable[[str], RunningFleet]] = {
        "as before": lambda folder: ColdStartHarness(folder, server_count, SEED, has_packages=False),
        "with fleet and coldstart": lambda folder: ColdStartHarness(folder, server_count, SEED),
        "fleet and policies": lambda folder: PolicyHarness(folder, server_count, SEED, load=0.0),
        "the same, leased": lambda folder: PolicyHarness(folder, server_count, SEED, STAND_ASIDE, load=0.0),
    }
    for name, make_fleet in fleets.items():
        cpu_percent, resident_mb = measure(server_count, measured_seconds, make_fleet)
        print(f"{name:26} {cpu_percent:6.2f} % of a core  {resident_mb:6.1f} MB")


if __name__ == "__main__":
    main()
