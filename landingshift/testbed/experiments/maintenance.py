"""Work on machines under what it is meant for: a day of hundreds, drawn faults, and real processes.

`away` takes one defence: "floor" (nothing must stay in), "end" (a permission has none: who stood still leaves
on an old one).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import cos, pi
from random import Random
from typing import Any

from landingshift.maintenance.capacity_constraints import CapacityConstraints, DisruptionBudget, Machine
from landingshift.maintenance.coordinator import CoordinatorSettings, MaintenanceCoordinator
from landingshift.maintenance.planner import duration_lower_bound_ms, greedy_rounds, rounds, select_next
from landingshift.maintenance.replicated_state import MaintenanceState, command
from landingshift.maintenance.requests import LeavePermit, MaintenanceRequest
from landingshift.testbed.experiments.rows import Row, all_real, must

MINUTE = 60_000.0
AWAY = ("floor", "end")
LOOK = 500.0


@dataclass(slots=True, eq=False)
class Server:
    """A machine in virtual time, by its own clock."""

    machine: Machine
    run: int = 1
    up: bool = True
    leave: LeavePermit = field(default_factory=LeavePermit)
    going: int = 0
    did: int = 0  # on its disk
    back_at: float = 0.0  # when its process is started again
    born: float = -1e12
    still: float = 0.0  # it stands still until then
    pending: list[Any] = field(default_factory=list)  # what it was told and has not seen yet
    cut: bool = False
    slow: float = 0.0  # ms that what it is told is on its way

    def warmth(self, now: float, cold: float) -> float:
        return min(1.0, (now - self.born) / cold) if self.up and cold else float(self.up)


class Day:
    """`count` machines in `zones`; `load(now)` is the share of all capacity that is asked for."""

    def __init__(
        self, seed: int | str, count: int, zones: int = 4, cold: float = 60_000.0, away: str = "", **plan: Any
    ) -> None:
        self.chance, self.away, self.cold, self.now = Random(f"{seed} day"), away, cold, 0.0
        models = ("a", "b", "c")
        self.servers = {
            f"n{i}": Server(Machine(f"n{i}", 100.0, f"z{i % zones}", models[i % 3], i % 4 == 0, i < 5))
            for i in range(count)
        }
        needs = DisruptionBudget(-1.0, 0.0, 0.0, 0.0) if away == "floor" else DisruptionBudget()
        self.plan = CoordinatorSettings(needs=needs, back=cold / MINUTE, rings=False, **plan)
        self.peak = 0.75
        self.state = MaintenanceState()
        self.coordinator = self.lead()
        self.broken: list[str] = []
        self.least = 1e12  # capacity over what must stay in, the smallest
        self.used: set[int] = set()
        self.minutes = 10.0
        self.never: set[str] = set()

    def load(self, now: float) -> float:
        """Share of the capacity: a night at a third of the day's peak."""
        return self.peak * (0.67 - 0.33 * cos(2.0 * pi * now / (24 * 60 * MINUTE)))

    def lead(self) -> MaintenanceCoordinator:
        """A new leader: what it knew is gone, the book is not."""
        self.term = getattr(self, "term", 0) + 1
        term = self.term
        coordinator = MaintenanceCoordinator(
            self.state, self.plan, lambda data: self.state.apply(data), lambda _: term == self.term,
            lambda name: not self.servers[name].up, lambda: set(self.servers), lambda: self.now,
            lambda *_, **__: None,
        )  # fmt: skip
        return coordinator

    def wish(self, names: list[str], **how: Any) -> None:
        row = [
            how.get("urgency", 1.0),
            0.0,
            how.get("not_after", float("inf")),
            how.get("alone", False),
            how.get("group", ""),
        ]
        self.state.apply(command("wish", [[n, self.minutes, self.now, *row] for n in names]))

    def step(self, ms: float = LOOK) -> None:
        self.now += ms
        demand = self.load(self.now) * sum(s.machine.capacity for s in self.servers.values())
        here = [s for s in self.servers.values() if s.up and s.still <= self.now]
        for server in self.servers.values():
            if not server.up and server.back_at <= self.now and server.machine.name not in self.never:
                server.up, server.run, server.born = True, server.run + 1, self.now
                server.leave, server.did, server.going, server.pending = (
                    LeavePermit(),
                    server.going or server.did,
                    0,
                    [],
                )
        for server in here:
            late = [p for p in server.pending if p[0] <= self.now]
            server.pending = [p for p in server.pending if p[0] > self.now]
            for _, asked, answer in late:  # from before it stood still, or long on its way
                self.told(server, asked, answer)
            if server.up and not server.cut:
                body = [
                    server.warmth(self.now, self.cold),
                    demand / max(1, len(here)),
                    server.going,
                    server.did,
                    0.0,
                    0.0,
                ]
                answer = self.coordinator.hear(server.machine, server.run, body, self.now)
                if answer is not None:
                    if server.slow or self.chance.random() < 0.1:
                        server.pending.append((self.now + server.slow, self.now, answer))
                    else:
                        self.told(server, self.now, answer)
        self.coordinator.step(self.now)
        self.check(demand)

    def told(self, server: Server, asked: float, answer: list[Any]) -> None:
        _, number, lasts = answer
        if lasts > 0.0 and not server.going and server.leave.granted(number, asked, lasts):
            if self.chance.random() < 0.05 and self.away in ("end", ""):
                server.still = self.now + self.chance.uniform(100.0, 3.0 * lasts)  # just before it looks
                server.pending.append((server.still, asked, ["go", number, -1.0]))
                return
        elif lasts >= 0.0:
            return
        if server.leave.may_go(self.now) or (self.away == "end" and number == server.leave.number):
            server.going = number
            if number in self.used:
                self.broken.append(f"{self.now:.0f}: permission {number} was used twice")
            wish = self.state.requests.get(server.machine.name)
            if wish is None or wish.number != number:
                self.broken.append(f"{self.now:.0f}: {server.machine.name} left on one that is not in force")
            self.used.add(number)
            server.leave.used()
            server.up, server.back_at = False, self.now + self.minutes * MINUTE

    def crash(self, name: str, ms: float) -> None:
        server = self.servers[name]
        server.up, server.back_at = False, self.now + ms

    def shown(self, began: float) -> tuple[float, float, float, float, int]:
        """Minutes, capacity that serves, what is asked for, what must stay in, and how many are away."""
        fleet = self.servers.values()
        warm = sum(s.machine.capacity * s.warmth(self.now, self.cold) for s in fleet)
        asked = self.load(self.now) * sum(s.machine.capacity for s in fleet)
        least = self.coordinator.floor().limits[0].least
        return (self.now - began) / MINUTE, warm, asked, least, sum(not s.up for s in fleet)

    def check(self, demand: float) -> None:
        """How far capacity is above the floor; and nobody leaves on a permission that is not in force."""
        whole = sum(s.machine.capacity for s in self.servers.values())
        out = sum(s.machine.capacity * (1.0 - s.warmth(self.now, self.cold)) for s in self.servers.values())
        over = whole - out - demand * (1.0 + DisruptionBudget().spare)
        self.least = min(self.least, over)


def whole_day(row: Row, seed: int, away: str, count: int = 200) -> None:
    """All are wanted for ten minutes' work, from the night on, under the day's load."""
    day = Day(seed, count, away=away)
    step = 4000.0
    for _ in range(3):
        day.step(step)
    day.wish(list(day.servers))
    began = day.now
    while day.state.requests and day.now < 24 * 60 * MINUTE:
        day.step(step)
        row.series.setdefault("day", []).append(day.shown(began))
    took = day.now - began
    machines = [s.machine for s in day.servers.values()]
    whole = sum(m.capacity for m in machines)
    least = duration_lower_bound_ms(
        lambda t: CapacityConstraints(machines, DisruptionBudget(), day.load(began + t) * whole),
        day.minutes * MINUTE,
        day.cold,
    )
    row.figures["took_min"] = round(took / MINUTE)
    row.figures["over_least"] = max(row.figures.get("over_least", 0.0), round(took / least, 2))
    ends = {e.end for e in day.state.history}
    must(row, ends == {"done"} and not day.state.requests, f"ends {ends}, {len(day.state.requests)} left")
    must(row, day.least >= -1e-6, f"capacity {-day.least:.0f} under the floor")
    must(row, took <= 1.6 * least, f"took {took / least:.2f} of the least")
    row.broken += day.broken[:2]
    # Batches of the size that is safe at the day's peak, one after the other.
    peak = CapacityConstraints(machines, DisruptionBudget(), day.peak * whole)
    batch = len(
        select_next({m.name: MaintenanceRequest(m.name, day.minutes, 0.0) for m in machines}, peak, {}, 0.0)
    )
    row.figures["fixed_batches_min"] = round(-(-count // batch) * (day.minutes + day.cold / MINUTE))


def drawn(row: Row, seed: int, away: str) -> None:
    """Twelve machines, wishes and faults drawn from the seed; in the end every wish has ended."""
    day = Day(seed, 12, zones=2, cold=4000.0, away=away)
    day.minutes, day.peak = 0.2, 0.45
    draw = day.chance
    for _ in range(160):
        name = draw.choice(list(day.servers))
        match draw.randrange(14):
            case 0 | 1:
                day.wish(draw.sample(list(day.servers), draw.randint(1, 6)), alone=draw.random() < 0.1)
            case 2 if day.servers[name].up:
                day.crash(name, draw.choice((2000.0, 20_000.0)))
            case 3:
                day.servers[name].still = day.now + draw.uniform(500.0, 9000.0)
            case 4:
                day.coordinator = day.lead()
            case 5:
                day.servers[name].cut = not day.servers[name].cut
            case 6:
                day.peak = draw.choice((0.3, 0.45, 0.7))
        for _ in range(draw.randint(1, 8)):
            day.step()
    for server in day.servers.values():
        server.cut, server.still = False, 0.0
    day.peak = 0.3
    for _ in range(600):
        day.step()
        if not day.state.requests:
            break
    row.broken += [f"seed {seed}: {text}" for text in day.broken[:2]]
    stages = {w.name: w.stage.value for w in day.state.requests.values()}
    must(row, not stages, f"seed {seed}: left hanging: {stages}, {day.coordinator.why}")
    numbers = [e.number for e in day.state.history if e.end == "done"]
    must(row, len(numbers) == len(set(numbers)), f"seed {seed}: one permission, two holders")
    row.figures["done"] = row.figures.get("done", 0) + len(numbers)


def floor_kept(row: Row, seed: int, away: str) -> None:
    """Nothing is at fault but one crash: what is let go never takes more than the floor leaves."""
    day = Day(seed, 20, zones=2, cold=4000.0, away=away)
    day.minutes, day.peak, day.now = 0.3, 0.55, 12 * 60 * MINUTE
    for _ in range(10):
        day.step()
    wanted = list(day.servers)[:14]
    day.wish(wanted)
    for _ in range(16):
        day.step()
    before = day.least
    must(row, before >= -1e-6, f"seed {seed}: capacity {-before:.0f} under the floor")
    for name in day.chance.sample(list(day.servers)[14:], 4):
        day.crash(name, 90_000.0)
    away_now = {n for n, s in day.servers.items() if not s.up}
    for _ in range(100):
        day.step()
        new = {n for n, s in day.servers.items() if not s.up} - away_now
        over = sum(100.0 for s in day.servers.values() if s.up) - day.load(day.now) * 2000.0 * 1.1
        if new and over < -1e-6:
            row.broken.append(f"seed {seed}: {sorted(new)} let go {-over:.0f} under the floor after a crash")
            break


def late_word(row: Row, seed: int, away: str) -> None:
    """A permission is on its way while load rises and it is taken back: it must not be used when it comes."""
    day = Day(seed, 12, zones=2, cold=1000.0, away=away)
    day.minutes, day.peak = 0.5, 0.3
    for _ in range(10):
        day.step()
    slow = day.servers[f"n{9 + seed % 3}"]  # neither voter nor best
    slow.slow = 3.0 * day.plan.lasts
    day.wish([slow.machine.name])
    for _ in range(20):
        if slow.machine.name not in day.state.runs:
            day.step()
    day.peak = 2.5  # more than all can do by night
    for _ in range(60):
        day.step()
    must(row, not slow.going and slow.up, f"seed {seed}: {slow.machine.name} left by {slow.going}, too late")
    row.broken += [f"seed {seed}: {text}" for text in day.broken[:1]]


def greedy(row: Row, seed: int, away: str) -> None:
    """How far the greedy order is from the exact one on small cases."""
    draw = Random(f"{seed} greedy")
    names = [f"n{i}" for i in range(draw.randint(4, 7))]
    machines = [
        Machine(n, draw.choice((50.0, 100.0, 200.0)), f"z{i % 2}", draw.choice("ab"), draw.random() < 0.4)
        for i, n in enumerate(names)
    ]
    demand = draw.uniform(0.3, 0.7) * sum(m.capacity for m in machines)
    floor = CapacityConstraints(machines, DisruptionBudget(0.0, 0.3, 0.3, 0.3), demand)
    exact, found = rounds(names, floor), greedy_rounds(names, floor)
    must(row, (exact < 0) == (found < 0), f"seed {seed}: exact {exact}, greedy {found}")
    if exact > 0:
        row.figures["exact"] = row.figures.get("exact", 0) + exact
        row.figures["greedy"] = row.figures.get("greedy", 0) + found


VIRTUAL = {
    "drawn": drawn,
    "floor_kept": floor_kept,
    "late_word": late_word,
    "greedy": greedy,
    "whole_day": whole_day,
}


def virtual(name: str, runs: int, seed: int, away: str) -> Row:
    row = Row(name)
    for i in range(1 if name == "whole_day" else runs):
        VIRTUAL[name](row, seed + i, away)
        row.runs += 1
    return row


def experiment(
    repeats: int, seed: int, servers: int, away: str = "", only: str | None = None
) -> Iterator[Row]:
    for name in VIRTUAL:
        if only in (None, name):
            yield virtual(name, repeats, seed, away)
    if servers:
        from landingshift.testbed.experiments.maintenance_real import LONG, REAL

        yield from all_real(REAL, LONG, only, servers, repeats, seed)
