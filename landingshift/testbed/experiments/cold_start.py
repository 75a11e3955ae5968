"""Cold start experiment in virtual time: clusters whose servers start together, and leases in isolation.

Each case can run with one defence disabled. The cases that depend on the defence must then find a violation.
Cases with real processes are in `cold_start_real`.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.partitions import crosses_partition, no_cut
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.simulation.cold_start import (
    ColdStartCase,
    ColdStartSimulation,
    address,
    peak_per_second,
)
from landingshift.testbed.simulation.leases import LeaseSimulation
from landingshift.testbed.verification.search_leases import LeaseSearch

SMALL_FLEET: dict[str, Any] = {
    "server_count": 60,
    "grantor_count": 3,
    "downstream_calls_per_second": 120.0,
    "discovery": "snapshot",
    "warm_up_ms": 2000.0,
}
FEW_PERMITS = (32.0, 128.0)
"""Initial and maximum number of start permits, so low that some servers have to wait for one."""
MAX_START_MS = 200_000.0
"""Virtual time after which a start counts as stuck."""
START_SPREAD_SLACK_MS = 1000.0
"""Extra time allowed for a start, because not all servers start at the same instant."""
SEARCH_DEPTH = 14
MAX_SEARCHED_STATES = 40_000
MAX_PEAK_RATIO = 1.1
"""Maximum ratio of the requests that a service receives in any second to its capacity per second."""
MIN_LIST_PEAK_COUNT = 3.0
"""Polls of the endpoint list in a second that are always allowed, however low its capacity."""
LEASE_STEP_COUNT = 5000
GRANTED_TOLERANCE = 1e-9
ZONE_COUNT = 3
LOST_HOLDER_COUNT = 9
"""Number of holders of start permits that fail: a third each is killed, paused and cut off."""
CRASH_PROBABILITY = 0.3
OVERLOAD_STEP_COUNT = 1800
MAX_DEATH_KNOWN_MS = 15_000.0
DEATH_TIMEOUT_MS = 60_000.0
NEVER_MS = 1e12


@dataclass(frozen=True, slots=True)
class Trial:
    """A run of a case.

    Attributes:
        rng: Generator for all random draws of the run.
        removed_defence: Name of the defence that is disabled; "" for none.
    """

    rng: Random
    removed_defence: str

    def simulation(self, network: dict[str, Any] | None = None, **overrides: Any) -> ColdStartSimulation:
        """Returns the simulation of a small cluster in which no server has started yet.

        Args:
            network: Options of the simulated network.
            **overrides: Options that replace or extend those of `SMALL_FLEET`.
        """
        case = ColdStartCase(**SMALL_FLEET | overrides)
        if self.removed_defence == "shares":
            case.is_uncoordinated = True
        simulation = ColdStartSimulation(case, self.rng.randrange(1 << 30), **network or {})
        simulation.has_recovery_grace = self.removed_defence != "quiet"
        return simulation


VirtualCase = Callable[[Trial, ExperimentRow], None]
"""Runs a case once in virtual time and adds measured values and violations to the row."""


def require_warm(row: ExperimentRow, simulation: ColdStartSimulation, max_ratio: float) -> None:
    """Runs a simulation until its cluster is warm; requires that it is warm in time and keeps all bounds.

    Args:
        row: Row that records measured values and violations.
        simulation: Simulation whose servers have been started.
        max_ratio: Maximum time to become warm, as a multiple of the shortest possible time.
    """
    while simulation.warm_at_ms < 0.0 and simulation.network.now_ms < MAX_START_MS:
        simulation.run(1000.0)
    require_bounds(row, simulation)
    min_ms = simulation.min_warm_up_ms()
    warm_at_ms = simulation.warm_at_ms
    row.require(warm_at_ms >= 0.0, f"cluster not warm after {simulation.network.now_ms / 1000.0:.0f} s")
    is_in_time = warm_at_ms <= max_ratio * min_ms + START_SPREAD_SLACK_MS
    row.require(is_in_time, f"cluster warm after {warm_at_ms:.0f} ms; shortest possible time {min_ms:.0f} ms")
    row.record_max("warm_over_least", warm_at_ms / min_ms)


def require_bounds(row: ExperimentRow, simulation: ColdStartSimulation) -> None:
    """Requires that the requests to the database and the endpoint list stayed within their capacity."""
    case = simulation.case
    row.violations += simulation.violations[:2]
    calls = simulation.peak_calls_per_second()
    max_calls = case.downstream_calls_per_second
    list_polls = peak_per_second(simulation.list_poll_times_ms)
    max_list_polls = max(MIN_LIST_PEAK_COUNT, MAX_PEAK_RATIO * case.list_polls_per_second)
    row.require(not simulation.store.is_overloaded, "the database is overloaded")
    is_bounded = calls <= MAX_PEAK_RATIO * max_calls
    row.require(is_bounded, f"{calls} database calls in a second at a capacity of {max_calls:g}")
    row.require(list_polls <= max_list_polls, f"the endpoint list was polled {list_polls} times in a second")
    row.record_max("calls_over_bears", calls / max_calls)
    row.record_max("asks_over_bears", list_polls / case.list_polls_per_second)
    messages = simulation.network.message_count / case.server_count
    row.record_max("messages_a_server_s", messages / simulation.network.now_ms * 1000.0)


def leases(trial: Trial, row: ExperimentRow) -> None:
    """Leases stay within the capacity despite lost, duplicated and late messages, pauses, restarts, skew."""
    simulation = LeaseSimulation(
        trial.rng.randrange(1 << 30),
        has_recovery_grace=trial.removed_defence != "quiet",
        books_old_grants=trial.removed_defence != "booking",
    )
    for _ in range(LEASE_STEP_COUNT):
        simulation.step()
    believed = simulation.max_usable_sum
    is_bounded = believed <= simulation.capacity + GRANTED_TOLERANCE
    row.require(is_bounded, f"holders rely on {believed:.2f} of {simulation.capacity:g}")
    row.record_max("most_of_10", believed)


def lease_search(trial: Trial, row: ExperimentRow) -> None:
    """Explores the interleavings of one grantor and two holders, up to a depth and a number of states."""
    has_recovery_grace = trial.removed_defence != "quiet"
    books_old_grants = trial.removed_defence != "booking"
    search = LeaseSearch(has_recovery_grace, books_old_grants)
    exploration = search.run(SEARCH_DEPTH, MAX_SEARCHED_STATES)
    row.require(not exploration.violation, exploration.violation)
    row.figures |= {"states": exploration.state_count, "most_of_4": search.max_total_leased}


def simultaneous_start(trial: Trial, row: ExperimentRow) -> None:
    """All servers start within a second."""
    simulation = trial.simulation()
    simulation.start_all()
    require_warm(row, simulation, 1.5)


def power_cut(trial: Trial, row: ExperimentRow) -> None:
    """All machines boot after a power cut. Grantors can tell that all earlier leases have expired."""
    simulation = trial.simulation(is_after_power_cut=True)
    simulation.start_all()
    require_warm(row, simulation, 1.3)


def grantors_killed(trial: Trial, row: ExperimentRow) -> None:
    """A grantor is killed and restarted without its state, and another is killed for good."""
    simulation = trial.simulation()
    simulation.start_all()
    simulation.run(6000.0)
    simulation.kill(0)
    simulation.run(200.0)  # the leases that it granted have not expired yet
    simulation.start(0)
    simulation.run(3000.0)
    simulation.kill(1)
    require_warm(row, simulation, 5.0)  # without one grantor a third of the capacity can't be leased


def holders_lost(trial: Trial, row: ExperimentRow) -> None:
    """Of the servers with start permits, some are killed, some are paused for 5 s, and some are cut off."""
    simulation = trial.simulation(permits=FEW_PERMITS)
    simulation.start_all()
    simulation.run(6000.0)
    holders = [
        index
        for index, server in simulation.servers.items()
        if server.participant.has_start_permit(simulation.hosts[index].clock_ms())
        and index >= simulation.case.grantor_count
    ][:LOST_HOLDER_COUNT]
    killed, paused, cut_off = holders[:3], holders[3:6], holders[6:]
    for index in killed:
        simulation.kill(index)
    for index in paused:
        simulation.hosts[index].pause(5000.0)
    simulation.network.is_cut = partial(crosses_partition, {address(index) for index in cut_off})
    simulation.run(8000.0)
    for index in killed:
        simulation.start(index)
    simulation.network.is_cut = no_cut
    require_warm(row, simulation, 4.0)


def zone_cut_off(trial: Trial, row: ExperimentRow) -> None:
    """Servers in a zone that is cut off still come up; then the partition heals and all become warm."""
    simulation = trial.simulation()
    network = simulation.network
    server_count = simulation.case.server_count
    simulation.start_all()
    zone = {address(index) for index in range(server_count) if index % ZONE_COUNT == 0}
    rule = partial(crosses_partition, zone)
    network.schedule_at(3000.0, lambda: setattr(network, "is_cut", rule))
    network.schedule_at(20_000.0, lambda: setattr(network, "is_cut", no_cut))
    simulation.run(19_000.0)
    servers = simulation.servers.items()
    opened = sum(server.opened_at_ms > 0.0 for index, server in servers if index % ZONE_COUNT == 0)
    row.require(
        opened > server_count // 12, f"only {opened} servers began to serve in the zone that was cut off"
    )
    require_warm(row, simulation, 4.0)


def bad_network(trial: Trial, row: ExperimentRow) -> None:
    """10 % of messages are lost, 10 % duplicated, and a link is cut one way.

    The starts of the servers are spread over 1 s or 15 s.
    """
    for spread_ms in (1000.0, 15_000.0):
        simulation = trial.simulation({"loss_probability": 0.1})
        simulation.network.duplicate_probability = 0.1
        simulation.network.is_cut = _cuts_one_link
        simulation.start_all(spread_ms)
        require_warm(row, simulation, 4.0)


def _cuts_one_link(sender: object, receiver: object) -> bool:
    return sender == address(3) and receiver == address(1)


def database_overloaded(trial: Trial, row: ExperimentRow) -> None:
    """Other clients overload the database when half of the cluster is warm; it must recover on its own."""
    simulation = trial.simulation()
    network = simulation.network
    store = simulation.store
    simulation.start_all()
    while simulation.warm_fractions[-1:] < [0.5] and network.now_ms < MAX_START_MS:
        simulation.run(500.0)
    store.queued_calls += 4.0 * simulation.case.downstream_calls_per_second
    simulation.run(1000.0)
    row.require(store.is_overloaded, "the database did not become overloaded")
    began_ms = network.now_ms
    while store.is_overloaded and network.now_ms < MAX_START_MS:
        simulation.run(500.0)
    row.record_max("down_s", (network.now_ms - began_ms) / 1000.0)
    require_warm(row, simulation, 12.0)


def endpoint_list_down(trial: Trial, row: ExperimentRow) -> None:
    """Servers find each other only by the endpoint list, which is down, comes up late, or goes down early."""
    for up_ms in ((1e9, NEVER_MS), (8000.0, NEVER_MS), (0.0, 2000.0)):
        simulation = trial.simulation(discovery="list", list_up_ms=up_ms, list_polls_per_second=10.0)
        simulation.start_all()
        simulation.run(60_000.0)
        require_bounds(row, simulation)
        opened = sum(server.opened_at_ms > 0.0 for server in simulation.servers.values())
        row.require(opened > simulation.case.server_count // 4, f"only {opened} servers began to serve")


def crash_loop(trial: Trial, row: ExperimentRow) -> None:
    """For 20 s, servers in half of the cluster crash and restart repeatedly."""
    simulation = trial.simulation()
    simulation.start_all()
    server_count = simulation.case.server_count
    for _ in range(20):
        simulation.run(1000.0)
        crashed = [
            index
            for index in range(server_count // 2, server_count)
            if index in simulation.servers and trial.rng.random() < CRASH_PROBABILITY
        ]
        for index in crashed:
            simulation.kill(index)
            simulation.network.schedule_after(700.0, partial(simulation.start, index))
    require_warm(row, simulation, 8.0)


def hour_of_overload(trial: Trial, row: ExperimentRow) -> None:
    """On busy cores for an hour, no live server is declared dead, and then a death is detected in time.

    All servers read messages late, and every 2 s a random server is paused for 300 ms.
    """
    server_count = 30
    simulation = trial.simulation(
        server_count=server_count, grantor_count=3, downstream_calls_per_second=60.0
    )
    network = simulation.network
    simulation.start_all()
    simulation.run(20_000.0)
    for host in simulation.hosts.values():
        host.mean_delay_ms = 40.0
    for _ in range(OVERLOAD_STEP_COUNT):
        simulation.hosts[trial.rng.randrange(server_count)].pause(300.0)
        simulation.run(2000.0)
    false_deaths = sum(event == "fleet_dead" for _, _, event in simulation.log_lines)
    row.require(false_deaths == 0, f"{false_deaths} live servers were declared dead")
    row.figures["false_deaths"] = false_deaths
    simulation.kill(7)
    began_ms = network.now_ms
    while _is_listed(simulation, "n7") and network.now_ms < began_ms + DEATH_TIMEOUT_MS:
        simulation.run(50.0)
    known_after_ms = network.now_ms - began_ms
    row.figures["death_known_s"] = round(known_after_ms / 1000.0, 1)
    is_known = known_after_ms < MAX_DEATH_KNOWN_MS
    row.require(is_known, "a dead server was still listed 15 s after its death")


def _is_listed(simulation: ColdStartSimulation, name: str) -> bool:
    """Returns whether any server still has the member in its table as present."""
    return any(name in server.node.member_table.present_index for server in simulation.servers.values())


def large_fleet(server_count: int) -> VirtualCase:
    """Returns the case in which a cluster of `server_count` servers starts after a power cut."""

    def run(trial: Trial, row: ExperimentRow) -> None:
        simulation = trial.simulation(
            server_count=server_count,
            downstream_calls_per_second=2.0 * server_count,
            grantor_count=max(3, server_count // 60),
            warm_up_ms=4000.0,
            is_after_power_cut=True,
        )
        simulation.start_all()
        require_warm(row, simulation, 2.0)

    return run


VIRTUAL_ROWS: dict[str, VirtualCase] = {
    "lent": leases,
    "search": lease_search,
    "all_at_once": simultaneous_start,
    "power_cut": power_cut,
    "lenders_killed": grantors_killed,
    "holders_lost": holders_lost,
    "zone_cut": zone_cut_off,
    "bad_network": bad_network,
    "list_service": endpoint_list_down,
    "crash_loop": crash_loop,
    "store_collapses": database_overloaded,
    "hour_of_load": hour_of_overload,
    "servers_1000": large_fleet(1000),
    "servers_5000": large_fleet(5000),
}
"""Cases by their names on the command line."""
LONG_ROWS = ("hour_of_load", "servers_1000", "servers_5000")
"""Cases that run only if they are selected by name or if cases with real processes run, too."""
UNREPEATED_ROWS = ("search", *LONG_ROWS)
"""Cases that run once, whatever the number of repeats."""


def play_virtual_row(name: str, repeats: int, seed: int, removed_defence: str) -> ExperimentRow:
    """Runs the case `name` in virtual time `repeats` times; an exception counts as a violation."""
    row = ExperimentRow(name)
    for run in range(1 if name in UNREPEATED_ROWS else repeats):
        trial = Trial(Random(f"{seed} {name} {run}"), removed_defence)
        try:
            VIRTUAL_ROWS[name](trial, row)
        except Exception as err:
            row.violations.append(f"run {run}: {type(err).__name__}: {err}")
        row.runs += 1
    return row


def experiment(
    repeats: int, seed: int, servers: int, removed_defence: str | None = None, only: str | None = None
) -> Iterator[ExperimentRow]:
    """Runs all cases, or a single one, and yields the row of each when it is done.

    Args:
        repeats: Number of runs of each case in virtual time.
        seed: Seed of all random draws. Runs in virtual time are reproducible.
        servers: Number of servers of the cases with real processes; 0 skips these cases.
        removed_defence: Name of the defence that is disabled; None for none.
        only: Name of the single case to run; None for all.
    """
    defence = removed_defence or ""
    for name in VIRTUAL_ROWS:
        is_default = servers or name not in LONG_ROWS
        if only == name or (not only and is_default):
            yield play_virtual_row(name, repeats, seed, defence)
    if servers:
        yield from _play_real_rows(seed, servers, defence, only)


def _play_real_rows(
    seed: int, servers: int, removed_defence: str, only: str | None
) -> Iterator[ExperimentRow]:
    from landingshift.testbed.experiments.cold_start_real import LONG, REAL

    for name, play in (REAL | LONG).items():
        if only == name or (not only and name in REAL):
            row = ExperimentRow(name)
            with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
                try:
                    play(folder, servers, seed, removed_defence, row)
                except Exception as err:
                    row.violations.append(f"{type(err).__name__}: {err}")
            row.runs += 1
            yield row
