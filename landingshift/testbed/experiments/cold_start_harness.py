"""Harness for real servers with `[coldstart]` enabled that start with cold caches."""

from __future__ import annotations

import time
from enum import Enum

from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.processes.gateway_load import FAILED_OUTCOMES
from landingshift.testbed.processes.harness import ProcessHarness, format_address
from landingshift.testbed.processes.history import PERMIT_FIELD, QUOTA_FIELD, max_total_granted
from landingshift.testbed.processes.stand_ins import DEFAULT_CORE_COUNT, DEFAULT_RUN_MS, StandInCapacity

CALLS_PER_SECOND_EACH = 4.0
"""Capacity of the database, for each server."""
RPCS_PER_SECOND_EACH = 8.0
LIST_REQUESTS_PER_SECOND = 20.0
CACHE_FILL_CALLS = 20
WARM_UP_MS = 2000.0
MAX_PEAK_RATIO = 1.1
"""Maximum ratio of the requests that a service receives in any second to its capacity per second."""
MIN_LIST_PEAK_COUNT = 3.0
"""Requests to the endpoint list in a second that are always allowed, however low its capacity."""
USED_CAPACITY_FRACTION = 0.95
"""Fraction of its capacity at which the database is assumed to fill caches in the fastest possible start."""
CLOCK_OFFSETS_MS = ("0", "60000", "-60000")
"""Offsets of the servers' wall clocks, assigned in turn."""
ZONE_COUNT = 3
PEER_COUNT = 3
MIN_GRANTOR_COUNT = 2
MAX_GRANTOR_COUNT = 8
SERVERS_PER_GRANTOR = 12
START_BASE_SECONDS = 20.0
START_RATIO = 6.0
"""Maximum duration of a start without `START_BASE_SECONDS`, as a multiple of `min_start_ms`.

It allows for other work on the machine.
"""
KILLED_STATUS = -9


class KnownServers(Enum):
    """How a starting server finds other servers."""

    PEERS = "peers"
    """From its settings."""
    LIST = "list"
    """From the endpoint list."""


class ColdStartHarness:
    """Starts a fleet of real servers and checks its cold start.

    Attributes:
        server_count: Number of servers.
        grantor_count: Number of servers that grant leases, which are those with the lowest indexes.
        servers: Harness of the server processes and stand-ins.
    """

    def __init__(
        self,
        folder: str,
        count: int,
        seed: int,
        has_packages: bool = True,
        known_servers: KnownServers = KnownServers.PEERS,
        removed_defence: str = "",
        has_few_permits: bool = True,
        rpcs_per_second_each: float = RPCS_PER_SECOND_EACH,
        core_count: int = DEFAULT_CORE_COUNT,
        run_ms: float = DEFAULT_RUN_MS,
    ) -> None:
        """Starts the stand-ins, but no server.

        Args:
            folder: Folder for the files of the run.
            count: Number of servers.
            seed: Seed of all random draws.
            has_packages: Whether membership and cold start are enabled.
            known_servers: How servers find each other.
            removed_defence: "shares" disables membership and cold start; any other value has no effect.
            has_few_permits: Whether start permits are so few that some servers have to wait. False uses the
                default number.
            rpcs_per_second_each: RPC rate for each server.
            core_count: Number of cores of an engine.
            run_ms: Core time of a run.
        """
        self.server_count = count
        self.grantor_count = max(MIN_GRANTOR_COUNT, min(MAX_GRANTOR_COUNT, count // SERVERS_PER_GRANTOR))
        self._has_packages = has_packages and removed_defence != "shares"
        self._known_servers = known_servers
        self._has_few_permits = has_few_permits
        capacity = self._stand_in_capacity(run_ms, core_count)
        rpcs_per_second = rpcs_per_second_each * count
        self.servers = ProcessHarness(folder, count, seed, self._toml, rpcs_per_second, capacity)
        endpoints = self.servers.proxy.endpoints.values()
        self.servers.stand_ins.listed_addresses = [endpoint.address for endpoint in endpoints]

    def _stand_in_capacity(self, run_ms: float, core_count: int) -> StandInCapacity:
        return StandInCapacity(
            calls_per_second=self.calls_per_second,
            list_requests_per_second=LIST_REQUESTS_PER_SECOND,
            cache_fill_calls=CACHE_FILL_CALLS,
            warm_up_ms=WARM_UP_MS,
            run_ms=run_ms,
            core_count=core_count,
        )

    @property
    def calls_per_second(self) -> float:
        """Capacity of the database."""
        return CALLS_PER_SECOND_EACH * self.server_count

    def _toml(self, index: int) -> str:
        if not self._has_packages:
            return ""
        servers = self.servers
        addresses = [endpoint.address for endpoint in servers.proxy.endpoints.values()]
        peers = ""
        if self._known_servers is KnownServers.PEERS:
            peers = ", ".join(f'"{format_address(address)}"' for address in addresses[:PEER_COUNT])
        list_service = ""
        if self._known_servers is KnownServers.LIST:
            list_service = format_address(servers.stand_ins.list_listener.address)
        grantors = ", ".join(f'"{servers.name(grantor)}"' for grantor in range(self.grantor_count))
        return f"""
[fleet]
fleet = "lab"
listen = "{format_address(servers.membership_addresses[index])}"
advertise = "{format_address(addresses[index])}"
zone = "z{index % ZONE_COUNT}"
peers = [{peers}]
[coldstart]
servers = {self.server_count}
calls_s = {self.calls_per_second}
lenders = [{grantors}]
{self._permit_settings()}
list_service = "{list_service}"
list_asks_s = {LIST_REQUESTS_PER_SECOND}
snapshot = "{self.cache_path(index)}"
"""

    def _permit_settings(self) -> str:
        if not self._has_few_permits:
            return ""
        first = max(self.grantor_count, self.server_count // 6)
        maximum = max(self.grantor_count, self.server_count * 2 // 3)
        return f"places_first = {first}\nplaces_most = {maximum}"

    def cache_path(self, index: int) -> str:
        """Returns the path of the file in which a server caches the endpoints that it knows."""
        return f"{self.servers.folder}/n{index}.members"

    def start_all(self, spread_seconds: float = 0.0) -> None:
        """Starts all servers at once, or evenly spread over `spread_seconds`."""
        for index in range(self.server_count):
            clock_offset = CLOCK_OFFSETS_MS[index % len(CLOCK_OFFSETS_MS)]
            self.servers.start(index, LANDINGSHIFT_CLOCK=clock_offset)
            if spread_seconds:
                time.sleep(spread_seconds / self.server_count)

    def min_start_ms(self) -> float:
        """Returns the shortest possible time until the fleet is warm.

        It is the maximum of the time the database needs to fill all caches and the warm-up time of engines.
        """
        fill_seconds = USED_CAPACITY_FRACTION * self.server_count * CACHE_FILL_CALLS / self.calls_per_second
        return max(WARM_UP_MS, fill_seconds * 1000.0)

    def max_start_seconds(self) -> float:
        """Returns the default time limit for the start of the fleet."""
        return START_BASE_SECONDS + START_RATIO * self.min_start_ms() / 1000.0

    def is_warm(self) -> bool:
        """Returns whether the fleet has become warm since the current measurement began."""
        return self.servers.warm_after_ms >= 0.0

    def wait_until_warm(self, timeout_seconds: float = 0.0) -> bool:
        """Waits until the fleet is warm and returns whether that happened in time.

        Args:
            timeout_seconds: Time limit; 0 for `max_start_seconds`.
        """
        return self.servers.wait_until(timeout_seconds or self.max_start_seconds(), self.is_warm)

    def require_warm(self, row: ExperimentRow, timeout_seconds: float = 0.0) -> None:
        """Waits until the fleet is warm, and records a violation if that takes too long.

        Args:
            row: Row that records measured times and violations.
            timeout_seconds: Time limit; 0 for `max_start_seconds`.
        """
        timeout_seconds = timeout_seconds or self.max_start_seconds()
        is_warm = self.wait_until_warm(timeout_seconds)
        sample = self.servers.warm_series[-1]
        progress = (
            f"{sample.warm_count} warm servers and {sample.call_count} database calls"
            f" after {sample.elapsed_ms:.0f} ms"
        )
        row.require(is_warm, f"fleet not warm after {timeout_seconds:g} s: {progress}")
        row.figures["warm_s"] = round(self.servers.warm_after_ms / 1000.0, 1)
        row.figures["least_s"] = round(self.min_start_ms() / 1000.0, 1)

    def check(self, row: ExperimentRow) -> None:
        """Stops all servers, and checks the requirements that hold under any faults.

        Requests to services and leased call quotas stay within capacity, all RPCs are answered and none
        fails, and servers exit with status 0 unless they were killed.
        """
        servers = self.servers
        unanswered = servers.end_load()
        statuses = servers.shut_down_all()
        history = servers.history()
        quota = max_total_granted(history, QUOTA_FIELD)
        self._add_figures(row, quota, max_total_granted(history, PERMIT_FIELD))
        self._require_bounded_requests(row)
        limit = self.calls_per_second
        row.require(quota <= limit, f"call quotas add up to {quota:.1f} of {limit:g} calls per second")
        outcomes = servers.load.outcomes
        for failure in FAILED_OUTCOMES:
            row.require(not outcomes[failure], f"{outcomes[failure]} RPCs {failure}")
        row.require(not unanswered, f"{unanswered} RPCs were never answered")
        failed = [status for status in statuses if status not in (0, KILLED_STATUS)]
        row.require(not failed, f"unexpected exit status of a server, among {set(statuses)}")

    def _add_figures(self, row: ExperimentRow, quota: float, permits: float) -> None:
        stand_ins = self.servers.stand_ins
        limit = self.calls_per_second
        row.figures |= {
            "calls_peak_over_bears": round(stand_ins.database.peak_count() / limit, 2),
            "falls": stand_ins.database.overload_count,
            "list_peak": stand_ins.endpoint_list.peak_count(),
            "ends": dict(self.servers.load.outcomes),
            "shares_believed": round(quota, 1),
            "of": limit,
            "places_believed": permits,
        }
        row.series |= {
            "servers": self.server_count,
            "bears": limit,
            "by_second": [
                (round(sample.elapsed_ms / 1000.0, 1), sample.warm_count, sample.call_count)
                for sample in self.servers.warm_series
            ],
        }

    def _require_bounded_requests(self, row: ExperimentRow) -> None:
        database = self.servers.stand_ins.database
        limit = self.calls_per_second
        peak = database.peak_count()
        row.require(
            peak <= MAX_PEAK_RATIO * limit, f"peak of {peak} calls a second at a capacity of {limit:g}"
        )
        row.require(not database.overload_count, f"database overloaded {database.overload_count} times")
        list_peak = self.servers.stand_ins.endpoint_list.peak_count()
        max_list_peak = max(MIN_LIST_PEAK_COUNT, MAX_PEAK_RATIO * LIST_REQUESTS_PER_SECOND)
        row.require(
            list_peak <= max_list_peak, f"the endpoint list was requested {list_peak} times in a second"
        )

    def close(self) -> None:
        """Stops all processes."""
        self.servers.close()
