"""Simulates the cold start of a whole cluster in virtual time, with the code of `membership` and `coldstart`.

Servers fill their caches from a downstream store, which has a limited rate and becomes overloaded when its
queue is too long. The endpoint list service returns addresses of servers that have polled it before. A server
is warm once its cache is filled and its warm-up time has passed.

Grantors are servers that lease call quotas (rates of downstream calls) and start permits (permissions to
begin to accept RPCs) to all servers. Each sample checks that the sum of all call quotas and the number of
start permits held by servers stay within their limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from math import inf, log
from random import Random
from typing import Any

from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.coldstart.participant import ColdStartParticipant, LoadObservation
from landingshift.coldstart.plan import ColdStartPlan
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.coldstart.settings import Settings, cold_start_plan
from landingshift.membership.messages import MemberRecord, MemberState, Message
from landingshift.membership.node import SwimNode
from landingshift.membership.timings import SwimTimings
from landingshift.testbed.simulation.downstream_store import SimulatedStore
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost, SimulatedNetwork

STEP_MS = 100.0
"""Interval between two cold start steps of a server, and between two samples of the cluster."""
SERVER_PORT = 7101
MAX_MEMBER_COUNT = 10_000
SNAPSHOT_ADDRESS_COUNT = 16
"""Number of addresses in a server's snapshot of the endpoint list; also the maximum that a poll returns."""
LIST_TIMEOUT_MS = 3000.0
LIST_LATENCY_MS = 20.0
COLD_CALLS_PER_SECOND = 10.0
"""Rate of downstream calls that a server with a cold cache needs: as many as its cores can make."""
WARM_CALLS_PER_SECOND = 1.0
"""Rate of downstream calls that a server needs once its cache is warm."""
CLOCK_OFFSETS_MS = (-1e6, 1e6)
WARM_CLUSTER_FRACTION = 0.95
"""A cluster counts as warm once this fraction of its servers is warm."""
ROUNDING_FACTOR = 1.0001
"""A sum of call quotas violates its limit only if it exceeds the limit times this factor."""
MAX_VIOLATION_COUNT = 20
DISCOVERY_BY_LIST = "list"
DISCOVERY_BY_SNAPSHOT = "snapshot"
NO_DISCOVERY = "nobody"


def address(index: int) -> Address:
    """Returns the address of the server with number `index`."""
    return f"10.{index // 62500}.{index // 250 % 250}.{index % 250 + 1}", SERVER_PORT


@dataclass(slots=True)
class ColdStartCase:
    """Parameters of a simulated cold start.

    Attributes:
        server_count: Number of servers in the cluster.
        grantor_count: Number of servers, from the first, that grant leases.
        zone_count: Number of zones over which the servers are distributed.
        downstream_calls_per_second: Rate at which the store serves calls.
        list_polls_per_second: Maximum rate of polls of the endpoint list, for all servers together.
        cache_fill_calls: Number of successful calls that fill a server's cache.
        warm_up_ms: Time that the cores of a server need to warm up after it begins to accept RPCs.
        permits: Initial and maximum number of start permits; 0 for the defaults of the settings.
        discovery: How servers find each other: DISCOVERY_BY_LIST (poll the endpoint list),
            DISCOVERY_BY_SNAPSHOT (know some addresses from the start, and poll the list too) or NO_DISCOVERY.
        list_up_ms: Virtual times from which and until which the endpoint list answers polls.
        is_after_power_cut: If True, all machines have just booted. No server can hold a lease from an earlier
            process of a grantor, so grantors need no recovery grace and grant leases immediately.
        is_uncoordinated: If True, servers ignore call quotas and start permits, and poll the endpoint list
            immediately after their start. This is the baseline for comparisons.
    """

    server_count: int = 200
    grantor_count: int = 4
    zone_count: int = 3
    downstream_calls_per_second: float = 400.0
    list_polls_per_second: float = 20.0
    cache_fill_calls: float = 20.0
    warm_up_ms: float = 4_000.0
    permits: tuple[float, float] = (0.0, 0.0)
    discovery: str = DISCOVERY_BY_LIST
    list_up_ms: tuple[float, float] = (0.0, 1e12)
    is_after_power_cut: bool = False
    is_uncoordinated: bool = False

    def plan(self) -> ColdStartPlan:
        """Returns the cold start configuration of all servers."""
        initial_permits, max_permits = self.permits
        settings = Settings(
            max_servers=self.server_count,
            grantor_names=[f"n{index}" for index in range(self.grantor_count)],
            downstream_calls_per_second=self.downstream_calls_per_second,
            initial_permits=initial_permits,
            max_permits=max_permits,
        )
        return cold_start_plan(settings)


class ColdStartServer:
    """A process of a simulated server: membership, the cold start, and the calls that fill the cache.

    All times are those of the server's clock.

    Attributes:
        index: Number of the server.
        started_at_ms: Time at which the process started.
        node: Membership node.
        participant: Cold start participant, which requests leases and, on a grantor, grants them.
        poller: Decides when to poll the endpoint list.
        saturation: Estimate of the store's saturation, made from the results of this server's calls.
        cache_fill_count: Number of successful downstream calls, each of which fills a part of the cache.
        opened_at_ms: Time at which the server began to accept RPCs; 0 if it has not.
    """

    def __init__(self, simulation: ColdStartSimulation, index: int, run_number: int, now_ms: float) -> None:
        case = simulation.case
        self._simulation = simulation
        self._case = case
        self.index = index
        self.started_at_ms = now_ms
        # All parts draw from one generator, so the order in which they are created determines the history.
        rng = Random(f"{simulation.seed} {index} {run_number}")
        host, port = address(index)
        record = MemberRecord(
            name=f"n{index}",
            host=host,
            port=port,
            zone=f"z{index % case.zone_count}",
            run_id=rng.getrandbits(48),
            incarnation=0,
            metadata_version=0,
            state=MemberState.ALIVE,
            reported_by="",
            metadata={},
        )
        snapshot = [address(rng.randrange(case.server_count)) for _ in range(SNAPSHOT_ADDRESS_COUNT)]
        contacts = snapshot if case.discovery == DISCOVERY_BY_SNAPSHOT else []
        self.node = SwimNode(
            record, contacts, SwimTimings(), MAX_MEMBER_COUNT, rng, now_ms, partial(self._on_log, index)
        )
        uptime_ms = 0.0 if case.is_after_power_cut else None
        self.participant = ColdStartParticipant(self.node, simulation.plan, rng, now_ms, uptime_ms)
        self.poller = ServiceDiscoveryPoller(
            case.server_count, case.list_polls_per_second, bool(contacts), LIST_TIMEOUT_MS, rng, now_ms
        )
        if case.is_uncoordinated:
            self.poller.next_poll_ms = now_ms
        self.saturation = DownstreamSaturation()
        self.cache_fill_count = 0.0
        self.opened_at_ms = 0.0
        self._call_credit = 0.0
        self._next_step_ms = now_ms + STEP_MS * rng.random()

    def _on_log(self, index: int, event: str, **_fields: Any) -> None:
        self._simulation.log_lines.append((self._simulation.network.now_ms, index, event))

    # SimulatedProcess

    def on_message(self, message: Message, now_ms: float) -> None:
        """Handles a datagram of membership or of the cold start."""
        self.node.on_message(message, now_ms)

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` must be called next."""
        return min(self.node.next_deadline_ms(), self._next_step_ms)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """Returns the datagrams to send, with their receivers, and removes them from the queue."""
        return self.node.take_outgoing()

    def on_timer(self, now_ms: float) -> None:
        """Runs the timer of membership and the cold start step if they are due."""
        if self.node.next_deadline_ms() <= now_ms:
            self.node.on_timer(now_ms)
        if now_ms >= self._next_step_ms:
            self._next_step_ms = now_ms + STEP_MS
            self.node.now_ms = now_ms
            self._step(now_ms)

    def _step(self, now_ms: float) -> None:
        observation = LoadObservation(
            warm_fraction=self.warm_fraction(now_ms),
            needed_calls_per_second=self._needed_calls_per_second(),
            waiting_rpcs_per_second=float(self.index % 7),
            saturation=self.saturation.saturation(now_ms, self.participant.reported_baseline_ms),
            baseline_latency_ms=self.saturation.baseline_latency_ms,
        )
        self.participant.on_timer(now_ms, observation)
        if self._is_open:
            self.opened_at_ms = self.opened_at_ms or now_ms
            self._call_store(now_ms)
        has_list = self._case.discovery != NO_DISCOVERY
        if has_list and self.poller.start_poll_if_due(now_ms, self.node.has_joined):
            self._simulation.poll_list(self, now_ms)

    @property
    def _is_open(self) -> bool:
        return self.participant.start_sequence.is_open or self._case.is_uncoordinated

    def _needed_calls_per_second(self) -> float:
        """Returns the rate of calls that the server needs, which depends on whether its cache is warm."""
        if not self._is_open:
            return 0.0
        is_cache_warm = self.cache_fill_count >= self._case.cache_fill_calls
        return WARM_CALLS_PER_SECOND if is_cache_warm else COLD_CALLS_PER_SECOND

    def warm_fraction(self, now_ms: float) -> float:
        """Returns the capacity that the server has reached, as a fraction (0 to 1) of its full capacity."""
        if not self.opened_at_ms:
            return 0.0
        age_fraction = (now_ms - self.opened_at_ms) / self._case.warm_up_ms
        return min(1.0, age_fraction, self.cache_fill_count / self._case.cache_fill_calls)

    def _call_store(self, now_ms: float) -> None:
        """Makes the downstream calls of one step, at the lower of the needed rate and the call quota."""
        calls_per_second = self._needed_calls_per_second()
        if not self._case.is_uncoordinated:
            calls_per_second = min(calls_per_second, self.participant.call_quota(now_ms))
        step_calls = calls_per_second * STEP_MS / 1000.0
        self._call_credit = min(1.0 + step_calls, self._call_credit + step_calls)
        while self._call_credit >= 1.0:
            self._call_credit -= 1.0
            succeeded, duration_ms = self._simulation.store.call(self._simulation.network.now_ms)
            self.saturation.on_call_finished(now_ms, succeeded, duration_ms)
            self.cache_fill_count += succeeded


class ColdStartSimulation:
    """One simulation of a cold start.

    Attributes:
        case: Parameters of the cold start.
        seed: Seed of all random generators.
        plan: Cold start configuration of all servers.
        network: The network and the virtual time.
        store: Downstream store of all servers.
        servers: Running servers, by number.
        hosts: Host of each server's latest process, by server number.
        log_lines: Log events of membership, as tuples of virtual time, server number and event name.
        violations: Descriptions of the samples in which a limit was violated.
        list_poll_times_ms: Virtual times of the polls of the endpoint list.
        has_recovery_grace: If True, for the length of one lease after its start, a grantor grants no more
            than holders claim to have.
            False removes this defence.
        max_quota_sum: Largest sum of call quotas in any sample, in calls per second.
        max_permits_held: Largest number of start permits held in any sample.
        warm_at_ms: Virtual time at which the cluster was first warm; -1 if it has not been.
        warm_fractions: Fraction of the servers that were warm in each sample.
    """

    def __init__(self, case: ColdStartCase, seed: int, **network_options: Any) -> None:
        self.case = case
        self.seed = seed
        self.plan = case.plan()
        self.network = SimulatedNetwork(seed, **network_options)
        self.store = SimulatedStore(case.downstream_calls_per_second)
        self.servers: dict[int, ColdStartServer] = {}
        self.hosts: dict[int, SimulatedHost] = {}
        self.log_lines: list[tuple[float, int, str]] = []
        self.violations: list[str] = []
        self.list_poll_times_ms: list[float] = []
        self.has_recovery_grace = True
        self.max_quota_sum = 0.0
        self.max_permits_held = 0.0
        self.warm_at_ms = -1.0
        self.warm_fractions: list[float] = []
        self._listed_addresses: list[Address] = []
        self._run_count = 0
        self._clock_rng = Random(f"{seed} clocks")
        self.network.schedule_after(STEP_MS, self._sample)

    def start(self, index: int) -> None:
        """Starts a new process of a server, with a random clock offset."""
        self._run_count += 1
        clock_offset_ms = self._clock_rng.uniform(*CLOCK_OFFSETS_MS)
        server = ColdStartServer(self, index, self._run_count, self.network.now_ms + clock_offset_ms)
        self.servers[index] = server
        if server.participant.grantor is not None and not self.has_recovery_grace:
            server.participant.grantor.set_recovery_grace_until(server.started_at_ms)
        self.hosts[index] = self.network.start_host(address(index), server, clock_offset_ms)

    def start_all(self, spread_ms: float = 1_000.0) -> None:
        """Schedules the start of each server at a random virtual time between 0 and `spread_ms`."""
        for index in range(self.case.server_count):
            self.network.schedule_at(self.network.rng.uniform(0.0, spread_ms), partial(self.start, index))

    def kill(self, index: int) -> None:
        """Kills a server's process."""
        self.network.kill(address(index))
        del self.servers[index]

    def run(self, duration_ms: float) -> None:
        """Advances virtual time by `duration_ms` and runs all events that are due."""
        self.network.run_until(self.network.now_ms + duration_ms)

    def poll_list(self, server: ColdStartServer, server_now_ms: float) -> None:
        """Polls the endpoint list for a server.

        The poll fails if the list is down. Otherwise the poll returns random addresses of servers
        whose earlier polls succeeded.
        """
        self.list_poll_times_ms.append(self.network.now_ms)
        up_from_ms, up_until_ms = self.case.list_up_ms
        is_up = up_from_ms <= self.network.now_ms < up_until_ms
        addresses: list[Address] = []
        if is_up:
            count = min(SNAPSHOT_ADDRESS_COUNT, len(self._listed_addresses))
            addresses = self.network.rng.sample(self._listed_addresses, count)
            self._listed_addresses.append(address(server.index))

        def answer() -> None:
            server.poller.on_poll_finished(server_now_ms, is_up)
            server.node.add_contact_addresses(addresses)

        self.network.schedule_after(LIST_LATENCY_MS, answer)

    def _sample(self) -> None:
        self.store.sample(self.network.now_ms)
        quota_sum = 0.0
        permits_held = 0.0
        warm_count = 0.0
        for index, server in self.servers.items():
            now_ms = self.hosts[index].clock_ms()
            quota_sum += server.participant.call_quota(now_ms)
            permits_held += server.participant.has_start_permit(now_ms)
            warm_count += server.warm_fraction(now_ms) >= 1.0
        self.max_quota_sum = max(self.max_quota_sum, quota_sum)
        self.max_permits_held = max(self.max_permits_held, permits_held)
        self._check_bounds(quota_sum, permits_held)
        self.warm_fractions.append(warm_count / self.case.server_count)
        if self.warm_at_ms < 0.0 and warm_count >= WARM_CLUSTER_FRACTION * self.case.server_count:
            self.warm_at_ms = self.network.now_ms
        self.network.schedule_after(STEP_MS, self._sample)

    def _check_bounds(self, quota_sum: float, permits_held: float) -> None:
        """Records a violation if the leased call quotas or start permits exceed their limits."""
        max_quota_sum = self.case.downstream_calls_per_second
        if quota_sum > max_quota_sum * ROUNDING_FACTOR and not self.case.is_uncoordinated:
            self._add_violation(f"call quotas add up to {quota_sum:.1f}/s, limit {max_quota_sum:g}/s")
        if permits_held > self.plan.max_permits:
            self._add_violation(f"{permits_held:g} start permits are held, limit {self.plan.max_permits:g}")

    def _add_violation(self, text: str) -> None:
        if len(self.violations) < MAX_VIOLATION_COUNT:
            self.violations.append(f"{self.network.now_ms:.0f} ms: {text}")

    # Results

    def min_warm_up_ms(self) -> float:
        """Returns a lower bound of the time until the cluster is warm.

        Each warm server makes one call per second. Only the rest of the store's call rate can fill the caches
        of other servers. In addition, no server is warm before its warm-up time has passed.
        """
        case = self.case
        warm_calls_per_second = WARM_CLUSTER_FRACTION * case.server_count
        spare_fraction = 1.0 - warm_calls_per_second / case.downstream_calls_per_second
        cache_fill_ms = -case.cache_fill_calls * log(spare_fraction) * 1000.0 if spare_fraction > 0.0 else inf
        return max(cache_fill_ms, case.warm_up_ms)

    def peak_calls_per_second(self) -> int:
        """Returns the maximum number of calls that the store received within one second."""
        counts = self.store.calls_by_interval
        window = int(1000.0 / STEP_MS)
        return max((sum(counts[start : start + window]) for start in range(len(counts))), default=0)


def peak_per_second(times_ms: list[float]) -> int:
    """Returns the maximum number of `times_ms` that lie within one second."""
    ordered_ms = sorted(times_ms)
    peak = 0
    first = 0
    for last, time_ms in enumerate(ordered_ms):
        while ordered_ms[first] < time_ms - 1000.0:
            first += 1
        peak = max(peak, last - first + 1)
    return peak
