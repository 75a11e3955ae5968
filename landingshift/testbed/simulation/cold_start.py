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
from landingshift.testbed.simulation.virtual_time import Address, Host, World

LOOK = 100.0  # ms between two steps of a server, and of the world
PORT = 7101


def address(i: int) -> Address:
    return f"10.{i // 62500}.{i // 250 % 250}.{i % 250 + 1}", PORT


@dataclass(slots=True)
class Case:
    """What is to come up, and over what. `calls` a second that the store bears, `asks` that the list does."""

    servers: int = 200
    lenders: int = 4
    zones: int = 3
    calls: float = 400.0
    asks: float = 20.0
    fill: float = 20.0
    cold_ms: float = 4_000.0
    places: tuple[float, float] = (0.0, 0.0)  # at the beginning, at most; 0: as the settings' default
    know: str = "list"  # "snapshot": all know some addresses; "list": the list service does; "nobody"
    list_up: tuple[float, float] = (0.0, 1e12)  # from, until, ms
    power: bool = False  # all machines were started just before: no lender has to keep quiet
    baseline: bool = False  # no talk: each calls as it likes and asks the list at once

    def plan(self) -> ColdStartPlan:
        names = [f"n{i}" for i in range(self.lenders)]
        first, most = self.places
        found = Settings(
            max_servers=self.servers,
            grantor_names=names,
            downstream_calls_per_second=self.calls,
            initial_permits=first,
            max_permits=most,
        )
        return cold_start_plan(found)


class Mind:
    """A server: its node, its agent, and the calls that it makes."""

    def __init__(self, rise: Rise, i: int, run: int, now: float) -> None:
        case = rise.case
        self.rise, self.i, self.born = rise, i, now
        chance = Random(f"{rise.seed} {i} {run}")
        host, port = address(i)
        me = MemberRecord(
            f"n{i}", host, port, f"z{i % case.zones}", chance.getrandbits(48), 0, 0, MemberState.ALIVE, "", {}
        )
        known = [address(chance.randrange(case.servers)) for _ in range(16)]
        peers = known if case.know == "snapshot" else []
        self.node = SwimNode(me, peers, SwimTimings(), 10_000, chance, now, rise.log(i))
        self.agent = ColdStartCoordinator(self.node, rise.plan, chance, now, 0.0 if case.power else None)
        self.seek = ServiceDiscoveryPoller(case.servers, case.asks, bool(peers), 3_000.0, chance, now)
        if case.baseline:
            self.seek.next_poll_ms = now
        self.look_at = now + LOOK * chance.random()
        self.strain = DownstreamSaturation()
        self.filled = self.owed = 0.0
        self.opened = 0.0  # when it began to take RPCs

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
        if agent.start_sequence.is_open or case.baseline:
            self.opened = self.opened or now
            self.call(now, dt)
        if case.know != "nobody" and self.seek.start_poll_if_due(now, self.node.has_joined):
            self.rise.asked(self, now)

    def need(self, now: float) -> float:
        """Calls a second: as many as the cores can ask for while the cache is cold, few once it is warm."""
        if not (self.agent.start_sequence.is_open or self.rise.case.baseline):
            return 0.0
        return 1.0 if self.filled >= self.rise.case.fill else 10.0

    def warmth(self, now: float) -> float:
        if not self.opened:
            return 0.0
        age = (now - self.opened) / self.rise.case.cold_ms
        return min(1.0, age, self.filled / self.rise.case.fill)

    def call(self, now: float, dt: float) -> None:
        most = self.need(now) if self.rise.case.baseline else min(self.need(now), self.agent.call_quota(now))
        self.owed = min(1.0 + most * dt / 1000.0, self.owed + most * dt / 1000.0)
        while self.owed >= 1.0:
            self.owed -= 1.0
            good, took = self.rise.store.call(self.rise.world.now)
            self.strain.on_call_finished(now, good, took)
            self.filled += good


@dataclass(slots=True)
class Store:
    """`bears` calls a second; what waits there is worked off at that rate, at a third once it is crowded."""

    bears: float
    base: float = 20.0  # ms of a call
    waiting: float = 0.0
    at: float = 0.0  # when that was so, ms
    fell: bool = False
    in_look: int = 0
    made: list[int] = field(default_factory=list)  # calls by look

    def call(self, now: float) -> tuple[bool, float]:
        self.work(now)
        self.in_look += 1
        self.waiting += 1.0
        took = self.base + self.waiting * 1000.0 / self.rate()
        return took < 2_000.0 and not self.fell, min(took, 2_000.0)

    def rate(self) -> float:
        return self.bears / 3.0 if self.fell else self.bears

    def work(self, now: float) -> None:
        """All the time, not look by look: else calls that come evenly would seem to crowd each other."""
        self.waiting = max(0.0, self.waiting - self.rate() * (now - self.at) / 1000.0)
        self.at = now

    def look(self, now: float) -> None:
        self.work(now)
        if self.waiting > 2.0 * self.bears:
            self.fell = True
        elif self.waiting < 0.05 * self.bears:
            self.fell = False
        self.made.append(self.in_look)
        self.in_look = 0


class Rise:
    """One run; `run(ms)` goes on, `broken` names what did not hold."""

    def __init__(self, case: Case, seed: int, **world: Any) -> None:
        self.case, self.seed, self.plan = case, seed, case.plan()
        self.world = World(seed, **world)
        self.store = Store(case.calls)
        self.minds: dict[int, Mind] = {}
        self.hosts: dict[int, Host] = {}
        self.lines: list[tuple[float, int, str]] = []
        self.broken: list[str] = []
        self.asks: list[float] = []  # times at which the list service was asked
        self.listed: list[Address] = []
        self.runs = 0
        self.quiet = True  # whether a lender that starts keeps quiet for a lease
        self.most_shares = self.most_places = 0.0
        self.warm_at = -1.0  # when 95 % of the capacity was warm
        self.warm: list[float] = []  # share that is warm, by look
        self.offsets = Random(f"{seed} clocks")
        self.world.after(LOOK, self.look)

    def log(self, i: int) -> Any:
        return lambda event, **fields: self.lines.append((self.world.now, i, event))

    def start(self, i: int) -> Mind:
        """Clocks are anything; only their pace is alike."""
        self.runs += 1
        offset = self.offsets.uniform(-1e6, 1e6)
        mind = self.minds[i] = Mind(self, i, self.runs, self.world.now + offset)
        if mind.agent.grantor is not None and not self.quiet:
            mind.agent.grantor.set_recovery_grace_until(mind.born)
        self.hosts[i] = self.world.start(address(i), mind, offset)
        return mind

    def start_all(self, spread: float = 1_000.0) -> None:
        for i in range(self.case.servers):
            self.world.at(self.world.chance.uniform(0.0, spread), partial(self.start, i))

    def kill(self, i: int) -> None:
        self.world.kill(address(i))
        del self.minds[i]

    def asked(self, mind: Mind, now: float) -> None:
        """The list service: answers with who has asked before, if it is up."""
        self.asks.append(self.world.now)
        up, down = self.case.list_up
        good = up <= self.world.now < down
        entries = self.world.chance.sample(self.listed, min(16, len(self.listed))) if good else []
        if good:
            self.listed.append(address(mind.i))

        def answer() -> None:
            mind.seek.on_poll_finished(now, good)
            mind.node.add_contact_addresses(entries)

        self.world.after(20.0, answer)

    def look(self) -> None:
        self.store.look(self.world.now)
        shares = places = warm = 0.0
        for i, mind in self.minds.items():
            now = self.hosts[i].clock()
            shares += mind.agent.call_quota(now)
            places += mind.agent.has_start_permit(now)
            warm += mind.warmth(now) >= 1.0
        self.most_shares, self.most_places = max(self.most_shares, shares), max(self.most_places, places)
        if shares > self.case.calls * 1.0001 and not self.case.baseline:
            self.must(False, f"shares of {shares:.1f} where the store bears {self.case.calls:g}")
        self.must(places <= self.plan.max_permits, f"{places:g} places of {self.plan.max_permits:g}")
        self.warm.append(warm / self.case.servers)
        if self.warm_at < 0.0 and warm >= 0.95 * self.case.servers:
            self.warm_at = self.world.now
        self.world.after(LOOK, self.look)

    def must(self, holds: bool, what: str) -> None:
        if not holds and len(self.broken) < 20:
            self.broken.append(f"{self.world.now:.0f} ms: {what}")

    def run(self, ms: float) -> None:
        self.world.run(self.world.now + ms)

    # Figures

    def least(self) -> float:
        """ms that 95 % need at the least: of the calls that the store bears those that are warm take one each
        a second and the rest fills caches; and none is warm before its cores are."""
        case = self.case
        left = 1.0 - 0.95 * case.servers / case.calls
        by_store = -case.fill * log(left) * 1000.0 if left > 0.0 else inf
        return max(by_store, case.cold_ms)

    def peak(self, times: list[float]) -> int:
        """Most within any second."""
        times = sorted(times)
        most = first = 0
        for last, time in enumerate(times):
            while times[first] < time - 1000.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    def peak_calls(self) -> int:
        made, most = self.store.made, 0
        for i in range(len(made)):
            most = max(most, sum(made[i : i + int(1000.0 / LOOK)]))
        return most
