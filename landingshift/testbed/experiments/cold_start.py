"""A common start under what it is meant for, in virtual time and with real processes; a row a case.

`without(what)` takes one defence away: the rows that rest on it must then be broken.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from landingshift.testbed import MEMORY
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.simulation.cold_start import (
    ColdStartCase,
    ColdStartSimulation,
    address,
    peak_per_second,
)
from landingshift.testbed.simulation.leases import LeaseSimulation
from landingshift.testbed.verification.search_leases import LeaseSearch

SMALL: dict[str, Any] = {
    "server_count": 60,
    "grantor_count": 3,
    "downstream_calls_per_second": 120.0,
    "discovery": "snapshot",
    "warm_up_ms": 2000.0,
}
SCARCE = (32.0, 128.0)  # places, so that some wait for one
LATEST = 200_000.0  # virtual ms after which a fleet counts as stuck
DEPTH, STATES = 14, 40_000
PEAK = 1.1  # times what they bear that list service and store may see in a second


class Tried:
    """What a case is given: its chance, its size, and which defence is away."""

    def __init__(self, seed: str, scale: dict[str, Any], away: str) -> None:
        self.chance, self.scale, self.away = Random(seed), scale, away

    def rise(self, world: dict[str, Any] | None = None, **change: Any) -> ColdStartSimulation:
        case = ColdStartCase(**SMALL | change | self.scale)
        if self.away == "shares":
            case.is_uncoordinated = True
        rise = ColdStartSimulation(case, self.chance.randrange(1 << 30), **world or {})
        rise.has_recovery_grace = self.away != "quiet"
        return rise


def check(row: ExperimentRow, rise: ColdStartSimulation, within: float) -> None:
    """Warm within so many times the least (and a second for those who came last), all bounds kept."""
    while rise.warm_at_ms < 0.0 and rise.network.now_ms < LATEST:
        rise.run(1000.0)
    bounds(row, rise)
    row.require(rise.warm_at_ms >= 0.0, f"not warm after {rise.network.now_ms / 1000.0:.0f} s")
    row.require(
        rise.warm_at_ms <= within * rise.min_warm_up_ms() + 1000.0,
        f"warm after {rise.warm_at_ms:.0f} ms, least {rise.min_warm_up_ms():.0f}",
    )
    top(row, "warm_over_least", rise.warm_at_ms / rise.min_warm_up_ms())


def bounds(row: ExperimentRow, rise: ColdStartSimulation) -> None:
    case = rise.case
    row.violations += rise.violations[:2]
    calls, asks = rise.peak_calls_per_second(), peak_per_second(rise.list_poll_times_ms)
    row.require(not rise.store.is_overloaded, "the store fell")
    row.require(
        calls <= PEAK * case.downstream_calls_per_second,
        f"{calls} calls in a second at a store that bears {case.downstream_calls_per_second:g}",
    )
    row.require(
        asks <= max(3.0, PEAK * case.list_polls_per_second), f"the list was asked {asks} times in a second"
    )
    top(row, "calls_over_bears", calls / case.downstream_calls_per_second)
    top(row, "asks_over_bears", asks / case.list_polls_per_second)
    top(
        row,
        "messages_a_server_s",
        rise.network.message_count / case.server_count / rise.network.now_ms * 1000.0,
    )


def top(row: ExperimentRow, name: str, value: float) -> None:
    row.figures[name] = max(row.figures.get(name, 0.0), round(value, 2))


# In virtual time


def lent(tried: Tried, row: ExperimentRow) -> None:
    """What eight holders believe in, through loss, doubles, delays, stops, restarts and uneven clocks."""
    lent = LeaseSimulation(
        tried.chance.randrange(1 << 30),
        has_recovery_grace=tried.away != "quiet",
        books_old_grants=tried.away != "booking",
    )
    for _ in range(5000):
        lent.step()
    row.require(
        lent.max_believed <= lent.capacity + 1e-9, f"{lent.max_believed:.2f} believed in of {lent.capacity:g}"
    )
    top(row, "most_of_10", lent.max_believed)


def search(tried: Tried, row: ExperimentRow) -> None:
    """Every order of one lender and two holders, to a depth, until so many states were seen."""
    search = LeaseSearch(tried.away != "quiet", tried.away != "booking")
    found = search.run(DEPTH, STATES)
    row.require(not found.violation, found.violation)
    row.figures |= {"states": found.state_count, "most_of_4": search.max_believed}


def all_at_once(tried: Tried, row: ExperimentRow) -> None:
    rise = tried.rise()
    rise.start_all()
    check(row, rise, 1.5)


def power_cut(tried: Tried, row: ExperimentRow) -> None:
    """The machines were off: lenders know that nothing they granted before can still be believed."""
    rise = tried.rise(is_after_power_cut=True)
    rise.start_all()
    check(row, rise, 1.3)


def lenders_killed(tried: Tried, row: ExperimentRow) -> None:
    """One killed and started anew, which knows nothing of what it lent, and one killed for good."""
    rise = tried.rise()
    rise.start_all()
    rise.run(6000.0)
    rise.kill(0)
    rise.run(200.0)  # well within the leases of what it lent
    rise.start(0)
    rise.run(3000.0)
    rise.kill(1)
    check(row, rise, 5.0)  # a third of what is lent is out of use


def holders_lost(tried: Tried, row: ExperimentRow) -> None:
    """Of those who hold places some are killed, some stopped for 5 s, some cut off."""
    rise = tried.rise(permits=SCARCE)
    rise.start_all()
    rise.run(6000.0)
    lenders = rise.case.grantor_count
    up = [
        i
        for i, m in rise.servers.items()
        if m.agent.has_start_permit(rise.hosts[i].clock_ms()) and i >= lenders
    ][:9]
    for i in up[:3]:
        rise.kill(i)
    for i in up[3:6]:
        rise.hosts[i].pause(5000.0)
    gone = {address(i) for i in up[6:]}
    rise.network.is_cut = lambda a, b: (a in gone) != (b in gone)
    rise.run(8000.0)
    for i in up[:3]:
        rise.start(i)
    rise.network.is_cut = lambda a, b: False
    check(row, rise, 4.0)


def zone_cut(tried: Tried, row: ExperimentRow) -> None:
    """A zone cut off goes on by itself; the halves meet again with other beliefs."""
    rise = tried.rise()
    rise.start_all()
    zone = {address(i) for i in range(rise.case.server_count) if i % 3 == 0}
    rise.network.schedule_at(
        3000.0, lambda: setattr(rise.network, "is_cut", lambda a, b: (a in zone) != (b in zone))
    )
    rise.network.schedule_at(20_000.0, lambda: setattr(rise.network, "is_cut", lambda a, b: False))
    rise.run(19_000.0)
    begun = sum(m.opened_at_ms > 0.0 for i, m in rise.servers.items() if i % 3 == 0)
    row.require(begun > rise.case.server_count // 12, f"only {begun} began in the zone that was cut off")
    check(row, rise, 4.0)


def bad_network(tried: Tried, row: ExperimentRow) -> None:
    """10 % lost, 10 % doubled, one link cut one way; in one second, or in waves."""
    for spread in (1000.0, 15_000.0):
        rise = tried.rise({"loss_probability": 0.1})
        rise.network.duplicate_probability = 0.1
        rise.network.is_cut = lambda a, b: a == address(3) and b == address(1)
        rise.start_all(spread)
        check(row, rise, 4.0)


def store_collapses(tried: Tried, row: ExperimentRow) -> None:
    """A crowd from elsewhere brings the store down when half are up: it must come back without a hand."""
    rise = tried.rise()
    rise.start_all()
    while rise.warm_fractions[-1:] < [0.5] and rise.network.now_ms < LATEST:
        rise.run(500.0)
    rise.store.queued_calls += 4.0 * rise.case.downstream_calls_per_second
    rise.run(1000.0)
    row.require(rise.store.is_overloaded, "the store did not fall")
    began = rise.network.now_ms
    while rise.store.is_overloaded and rise.network.now_ms < LATEST:
        rise.run(500.0)
    top(row, "down_s", (rise.network.now_ms - began) / 1000.0)
    check(row, rise, 12.0)


def list_service(tried: Tried, row: ExperimentRow) -> None:
    """Down throughout, back when all wait for it, gone in the middle; nobody knows anybody else."""
    for up in ((1e9, 1e12), (8000.0, 1e12), (0.0, 2000.0)):
        rise = tried.rise(discovery="list", list_up_ms=up, list_polls_per_second=10.0)
        rise.start_all()
        rise.run(60_000.0)
        bounds(row, rise)
        begun = sum(m.opened_at_ms > 0.0 for m in rise.servers.values())
        row.require(begun > rise.case.server_count // 4, f"only {begun} began")


def crash_loop(tried: Tried, row: ExperimentRow) -> None:
    """Half of them crash again and again for 20 s."""
    rise = tried.rise()
    rise.start_all()
    servers = rise.case.server_count
    for _ in range(20):
        rise.run(1000.0)
        for i in [
            i for i in range(servers // 2, servers) if i in rise.servers and tried.chance.random() < 0.3
        ]:
            rise.kill(i)
            rise.network.schedule_after(700.0, lambda i=i: rise.start(i))  # type: ignore[misc]
    check(row, rise, 8.0)


def hour_of_load(tried: Tried, row: ExperimentRow) -> None:
    """An hour of full cores: all hear late, by 40 ms on average, and one is stopped for 300 ms each 2 s."""
    rise = tried.rise(server_count=30, grantor_count=3, downstream_calls_per_second=60.0)
    rise.start_all()
    rise.run(20_000.0)
    for host in rise.hosts.values():
        host.mean_delay_ms = 40.0
    for _ in range(1800):
        rise.hosts[tried.chance.randrange(30)].pause(300.0)
        rise.run(2000.0)
    dead = sum(event == "fleet_dead" for _, _, event in rise.log_lines)
    row.require(dead == 0, f"{dead} buried of whom none was dead")
    row.figures["false_deaths"] = dead
    rise.kill(7)
    began = rise.network.now_ms
    while (
        any("n7" in m.node.member_table.present_index for m in rise.servers.values())
        and rise.network.now_ms < began + 60e3
    ):
        rise.run(50.0)
    row.figures["death_known_s"] = round((rise.network.now_ms - began) / 1000.0, 1)
    row.require(rise.network.now_ms - began < 15_000.0, "a death under load was not known after 15 s")


def large(servers: int) -> Callable[[Tried, ExperimentRow], None]:
    def case(tried: Tried, row: ExperimentRow) -> None:
        few = tried.scale.get("server_count")
        count = few or servers
        rise = tried.rise(
            server_count=count, downstream_calls_per_second=2.0 * count, grantor_count=max(3, count // 60),
            warm_up_ms=4000.0, is_after_power_cut=True,
        )  # fmt: skip
        rise.start_all()
        check(row, rise, 2.0)

    return case


VIRTUAL: dict[str, Callable[[Tried, ExperimentRow], None]] = {
    "lent": lent,
    "search": search,
    "all_at_once": all_at_once,
    "power_cut": power_cut,
    "lenders_killed": lenders_killed,
    "holders_lost": holders_lost,
    "zone_cut": zone_cut,
    "bad_network": bad_network,
    "list_service": list_service,
    "crash_loop": crash_loop,
    "store_collapses": store_collapses,
    "hour_of_load": hour_of_load,
    "servers_1000": large(1000),
    "servers_5000": large(5000),
}
RARE = ("search", "hour_of_load", "servers_1000", "servers_5000")  # once, whatever is repeated


def experiment(
    repeats: int, seed: int, servers: int, take_away: str | None = None, only: str | None = None
) -> Iterator[ExperimentRow]:
    """Rows as they are done; `servers` real processes in the real ones, 0 for none of them."""
    for name, case in VIRTUAL.items():
        if (only and only != name) or (not only and name in RARE[1:] and not servers):
            continue
        row = ExperimentRow(name)
        for run in range(1 if name in RARE else repeats):
            try:
                case(Tried(f"{seed} {name} {run}", {}, take_away or ""), row)
            except Exception as err:
                row.violations.append(f"run {run}: {type(err).__name__}: {err}")
            row.runs += 1
        yield row
    if servers:
        from landingshift.testbed.experiments.cold_start_real import LONG, REAL

        for name, real in (REAL | LONG).items():
            if (only and only != name) or (not only and name in LONG):
                continue
            row = ExperimentRow(name)
            with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
                try:
                    real(folder, servers, seed, take_away or "", row)
                except Exception as err:
                    row.violations.append(f"{type(err).__name__}: {err}")
            row.runs += 1
            yield row
