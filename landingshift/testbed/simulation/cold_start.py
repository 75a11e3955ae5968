"""A fleet that comes up, in virtual time: the decisions of `fleet` and `coldstart` over a store and a list.

The store bears so many calls a second; crowded past that it works at a third, and comes back only once the
crowd is gone. A server is warm once its cache is filled, which takes `fill` calls, and `cold_ms` have passed.
What is checked is read off the history: the sum of all shares at any look, places, the store's crowd.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from math import inf, log
from random import Random
from typing import Any

from landingshift.coldstart.coordinator import ColdStartCoordinator, LoadObservation
from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.coldstart.plan import ColdStartPlan
from landingshift.coldstart.service_discovery import ServiceDiscoveryPoller
from landingshift.coldstart.settings import Settings, cold_start_plan
from landingshift.membership.messages import MemberRecord, MemberState, Message
from landingshift.membership.node import SwimNode
from landingshift.membership.timings import SwimTimings
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost, SimulatedNetwork

LOOK = 100.0  # ms between two steps of a server, and of the world
PORT = 7101


def address(i: int) -> Address:
    return f"10.{i // 62500}.{i // 250 % 250}.{i % 250 + 1}", PORT


@dataclass(slots=True)
class ColdStartCase:
    """What is to come up, and over what. `calls` a second that the store bears, `asks` that the list does."""

    server_count: int = 200
    grantor_count: int = 4
    zone_count: int = 3
    downstream_calls_per_second: float = 400.0
    list_polls_per_second: float = 20.0
    cache_fill_calls: float = 20.0
    warm_up_ms: float = 4_000.0
    permits: tuple[float, float] = (0.0, 0.0)  # at the beginning, at most; 0: as the settings' default
    discovery: str = "list"  # "snapshot": all know some addresses; "list": the list service does; "nobody"
    list_up_ms: tuple[float, float] = (0.0, 1e12)  # from, until, ms
    is_after_power_cut: bool = False  # all machines were started just before: no lender has to keep quiet
    is_uncoordinated: bool = False  # no talk: each calls as it likes and asks the list at once

    def plan(self) -> ColdStartPlan:
        names = [f"n{i}" for i in range(self.grantor_count)]
        first, most = self.permits
        found = Settings(
            max_servers=self.server_count,
            grantor_names=names,
            downstream_calls_per_second=self.downstream_calls_per_second,
            initial_permits=first,
            max_permits=most,
        )
        return cold_start_plan(found)


class ColdStartServer:
    """A server: its node, its agent, and the calls that it makes."""

    def __init__(self, rise: ColdStartSimulation, i: int, run: int, now: float) -> None:
        case = rise.case
        self.rise, self.i, self.born = rise, i, now
        chance = Random(f"{rise.seed} {i} {run}")
        host, port = address(i)
        me = MemberRecord(
            f"n{i}",
            host,
            port,
            f"z{i % case.zone_count}",
            chance.getrandbits(48),
            0,
            0,
            MemberState.ALIVE,
            "",
            {},
        )
        known = [address(chance.randrange(case.server_count)) for _ in range(16)]
        peers = known if case.discovery == "snapshot" else []
        self.node = SwimNode(me, peers, SwimTimings(), 10_000, chance, now, rise.log(i))
        self.agent = ColdStartCoordinator(
            self.node, rise.plan, chance, now, 0.0 if case.is_after_power_cut else None
        )
        self.seek = ServiceDiscoveryPoller(
            case.server_count, case.list_polls_per_second, bool(peers), 3_000.0, chance, now
        )
        if case.is_uncoordinated:
            self.seek.next_poll_ms = now
        self.look_at = now + LOOK * chance.random()
        self.strain = DownstreamSaturation()
        self.filled = self.owed = 0.0
        self.opened_at_ms = 0.0  # when it began to take RPCs

    # For the world of virtual time

    def on_message(self, message: Message, now: float) -> None:
        self.node.on_message(message, now)

    def next_deadline_ms(self) -> float:
        return min(self.node.next_deadline_ms(), self.look_at)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        return self.node.take_outgoing()

    def on_timer(self, now: float) -> None:
        if self.node.next_deadline_ms() <= now:
            self.node.on_timer(now)
        if now >= self.look_at:
            dt, self.look_at = LOOK, now + LOOK
            self.node.now_ms = now
            self.step(now, dt)

    def step(self, now: float, dt: float) -> None:
        case, agent = self.rise.case, self.agent
        seen = LoadObservation(
            warm_fraction=self.warmth(now),
            needed_calls_per_second=self.need(now),
            waiting_rpcs_per_second=float(self.i % 7),
            saturation=self.strain.saturation(now, agent.reported_baseline_ms),
            baseline_latency_ms=self.strain.baseline_latency_ms,
        )
        agent.on_timer(now, seen)
        if agent.start_sequence.is_open or case.is_uncoordinated:
            self.opened_at_ms = self.opened_at_ms or now
            self.call(now, dt)
        if case.discovery != "nobody" and self.seek.start_poll_if_due(now, self.node.has_joined):
            self.rise.asked(self, now)

    def need(self, now: float) -> float:
        """Calls a second: as many as the cores can ask for while the cache is cold, few once it is warm."""
        if not (self.agent.start_sequence.is_open or self.rise.case.is_uncoordinated):
            return 0.0
        return 1.0 if self.filled >= self.rise.case.cache_fill_calls else 10.0

    def warmth(self, now: float) -> float:
        if not self.opened_at_ms:
            return 0.0
        age = (now - self.opened_at_ms) / self.rise.case.warm_up_ms
        return min(1.0, age, self.filled / self.rise.case.cache_fill_calls)

    def call(self, now: float, dt: float) -> None:
        most = (
            self.need(now)
            if self.rise.case.is_uncoordinated
            else min(self.need(now), self.agent.call_quota(now))
        )
        self.owed = min(1.0 + most * dt / 1000.0, self.owed + most * dt / 1000.0)
        while self.owed >= 1.0:
            self.owed -= 1.0
            good, took = self.rise.store.call(self.rise.network.now_ms)
            self.strain.on_call_finished(now, good, took)
            self.filled += good


@dataclass(slots=True)
class SimulatedStore:
    """`bears` calls a second; what waits there is worked off at that rate, at a third once it is crowded."""

    calls_per_second: float
    base: float = 20.0  # ms of a call
    queued_calls: float = 0.0
    at: float = 0.0  # when that was so, ms
    is_overloaded: bool = False
    in_look: int = 0
    made: list[int] = field(default_factory=list)  # calls by look

    def call(self, now: float) -> tuple[bool, float]:
        self.work(now)
        self.in_look += 1
        self.queued_calls += 1.0
        took = self.base + self.queued_calls * 1000.0 / self.rate()
        return took < 2_000.0 and not self.is_overloaded, min(took, 2_000.0)

    def rate(self) -> float:
        return self.calls_per_second / 3.0 if self.is_overloaded else self.calls_per_second

    def work(self, now: float) -> None:
        """All the time, not look by look: else calls that come evenly would seem to crowd each other."""
        self.queued_calls = max(0.0, self.queued_calls - self.rate() * (now - self.at) / 1000.0)
        self.at = now

    def look(self, now: float) -> None:
        self.work(now)
        if self.queued_calls > 2.0 * self.calls_per_second:
            self.is_overloaded = True
        elif self.queued_calls < 0.05 * self.calls_per_second:
            self.is_overloaded = False
        self.made.append(self.in_look)
        self.in_look = 0


class ColdStartSimulation:
    """One run; `run(ms)` goes on, `broken` names what did not hold."""

    def __init__(self, case: ColdStartCase, seed: int, **world: Any) -> None:
        self.case, self.seed, self.plan = case, seed, case.plan()
        self.network = SimulatedNetwork(seed, **world)
        self.store = SimulatedStore(case.downstream_calls_per_second)
        self.servers: dict[int, ColdStartServer] = {}
        self.hosts: dict[int, SimulatedHost] = {}
        self.log_lines: list[tuple[float, int, str]] = []
        self.violations: list[str] = []
        self.list_poll_times_ms: list[float] = []  # times at which the list service was asked
        self.listed: list[Address] = []
        self.runs = 0
        self.has_recovery_grace = True  # whether a lender that starts keeps quiet for a lease
        self.most_shares = self.most_places = 0.0
        self.warm_at_ms = -1.0  # when 95 % of the capacity was warm
        self.warm_fractions: list[float] = []  # share that is warm, by look
        self.offsets = Random(f"{seed} clocks")
        self.network.schedule_after(LOOK, self.look)

    def log(self, i: int) -> Any:
        return lambda event, **fields: self.log_lines.append((self.network.now_ms, i, event))

    def start(self, i: int) -> ColdStartServer:
        """Clocks are anything; only their pace is alike."""
        self.runs += 1
        offset = self.offsets.uniform(-1e6, 1e6)
        mind = self.servers[i] = ColdStartServer(self, i, self.runs, self.network.now_ms + offset)
        if mind.agent.grantor is not None and not self.has_recovery_grace:
            mind.agent.grantor.set_recovery_grace_until(mind.born)
        self.hosts[i] = self.network.start_host(address(i), mind, offset)
        return mind

    def start_all(self, spread: float = 1_000.0) -> None:
        for i in range(self.case.server_count):
            self.network.schedule_at(self.network.rng.uniform(0.0, spread), partial(self.start, i))

    def kill(self, i: int) -> None:
        self.network.kill(address(i))
        del self.servers[i]

    def asked(self, mind: ColdStartServer, now: float) -> None:
        """The list service: answers with who has asked before, if it is up."""
        self.list_poll_times_ms.append(self.network.now_ms)
        up, down = self.case.list_up_ms
        good = up <= self.network.now_ms < down
        entries = self.network.rng.sample(self.listed, min(16, len(self.listed))) if good else []
        if good:
            self.listed.append(address(mind.i))

        def answer() -> None:
            mind.seek.on_poll_finished(now, good)
            mind.node.add_contact_addresses(entries)

        self.network.schedule_after(20.0, answer)

    def look(self) -> None:
        self.store.look(self.network.now_ms)
        shares = places = warm = 0.0
        for i, mind in self.servers.items():
            now = self.hosts[i].clock_ms()
            shares += mind.agent.call_quota(now)
            places += mind.agent.has_start_permit(now)
            warm += mind.warmth(now) >= 1.0
        self.most_shares, self.most_places = max(self.most_shares, shares), max(self.most_places, places)
        if shares > self.case.downstream_calls_per_second * 1.0001 and not self.case.is_uncoordinated:
            self.must(
                False,
                f"shares of {shares:.1f} where the store bears {self.case.downstream_calls_per_second:g}",
            )
        self.must(places <= self.plan.max_permits, f"{places:g} places of {self.plan.max_permits:g}")
        self.warm_fractions.append(warm / self.case.server_count)
        if self.warm_at_ms < 0.0 and warm >= 0.95 * self.case.server_count:
            self.warm_at_ms = self.network.now_ms
        self.network.schedule_after(LOOK, self.look)

    def must(self, holds: bool, what: str) -> None:
        if not holds and len(self.violations) < 20:
            self.violations.append(f"{self.network.now_ms:.0f} ms: {what}")

    def run(self, ms: float) -> None:
        self.network.run_until(self.network.now_ms + ms)

    # Figures

    def min_warm_up_ms(self) -> float:
        """ms that 95 % need at the least: of the calls that the store bears those that are warm take one each
        a second and the rest fills caches; and none is warm before its cores are."""
        case = self.case
        left = 1.0 - 0.95 * case.server_count / case.downstream_calls_per_second
        by_store = -case.cache_fill_calls * log(left) * 1000.0 if left > 0.0 else inf
        return max(by_store, case.warm_up_ms)

    def peak_per_second(self, times: list[float]) -> int:
        """Most within any second."""
        times = sorted(times)
        most = first = 0
        for last, time in enumerate(times):
            while times[first] < time - 1000.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def peak_calls_per_second(self) -> int:
        made, most = self.store.made, 0
        for i in range(len(made)):
            most = max(most, sum(made[i : i + int(1000.0 / LOOK)]))
        return most
