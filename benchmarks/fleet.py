"""Measures the CPU time and memory of idle servers, without membership and with packages that need it.

Usage: `python -m benchmarks.fleet [servers] [seconds]`. Each server is a process without any RPC load.
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
WARM_UP_SECONDS = 15.0  # time for all servers to start and learn of each other
SEED = 1
USER_TICKS_FIELD = 11  # index in /proc/PID/stat after the process name
SYSTEM_TICKS_FIELD = 12
RESIDENT_PAGES_FIELD = 1  # index in /proc/PID/statm


class RunningFleet(Protocol):
    """A harness that runs each server of a fleet in its own process."""

    servers: ProcessHarness

    def start_all(self) -> None:
        """Starts all servers."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process.

    Attributes:
        cpu_seconds: The CPU time since the start of the process.
        resident_mb: The resident memory at the time of measurement.
    """

    cpu_seconds: float
    resident_mb: float


def process_usage(process_id: int) -> ProcessUsage:
    """Returns the resource usage of a process so far."""
    stat_fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat_fields[USER_TICKS_FIELD]) + int(stat_fields[SYSTEM_TICKS_FIELD])
    memory_fields = Path(f"/proc/{process_id}/statm").read_text().split()
    resident_bytes = int(memory_fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    return ProcessUsage(ticks / CLOCK_TICKS_PER_SECOND, resident_bytes / 1e6)


def measure(
    server_count: int, measured_seconds: float, make_fleet: Callable[[str], RunningFleet]
) -> tuple[float, float]:
    """Runs a fleet and returns CPU usage in percent of a core and resident MB, each as the mean per server.

    Args:
        server_count: The number of servers in the fleet.
        measured_seconds: The duration of the measurement, after a warm-up.
        make_fleet: Creates the fleet with its files in the given directory.
    """
    with tempfile.TemporaryDirectory(dir=MEMORY) as directory:
        fleet = make_fleet(directory)
        fleet.servers.load.rpcs_per_second = 0.0
        fleet.start_all()
        try:
            time.sleep(WARM_UP_SECONDS)
            process_ids = [process.pid for process in fleet.servers.processes.values()]
            before = [process_usage(process_id) for process_id in process_ids]
            time.sleep(measured_seconds)
            after = [process_usage(process_id) for process_id in process_ids]
        finally:
            fleet.servers.close()
    pairs = zip(before, after, strict=True)
    cpu_seconds = sum(later.cpu_seconds - earlier.cpu_seconds for earlier, later in pairs)
    resident_mb = sum(usage.resident_mb for usage in after)
    return 100.0 * cpu_seconds / measured_seconds / server_count, resident_mb / server_count


def main() -> None:
    """Measures four fleets one after the other and prints one line for each."""
    server_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SERVER_COUNT
    measured_seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_MEASURED_SECONDS
    print(f"{server_count} idle servers, {measured_seconds:g} s")
    fleets: dict[str, Callable[[str], RunningFleet]] = {
        "no membership": lambda directory: ColdStartHarness(
            directory, server_count, SEED, has_packages=False
        ),
        "fleet and coldstart": lambda directory: ColdStartHarness(directory, server_count, SEED),
        "fleet and policies": lambda directory: PolicyHarness(directory, server_count, SEED, load=0.0),
        "fleet and policies, leased": lambda directory: PolicyHarness(
            directory, server_count, SEED, STAND_ASIDE, load=0.0
        ),
    }
    for name, make_fleet in fleets.items():
        cpu_percent, resident_mb = measure(server_count, measured_seconds, make_fleet)
        print(f"{name:26} {cpu_percent:6.2f} % of a core  {resident_mb:6.1f} MB")


if __name__ == "__main__":
    main()
