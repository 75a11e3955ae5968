"""Many servers' decisions in virtual time: one seed, one history. Holds no rule of theirs, only the world.

Whatever has `hear(message, now)`, `tick(now)`, `next()` and `take_out()` can live here, as
`membership.node.Node`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

Address = tuple[str, int]
ROUNDING = 1e-6  # ms
WAITING = 400  # datagrams that a stopped server's socket holds


class Mind(Protocol):
    def on_message(self, message: Any, now_ms: float) -> None: ...
    def on_timer(self, now_ms: float) -> None: ...
    def next_deadline_ms(self) -> float: ...
    def take_outgoing(self) -> list[tuple[Address, Any]]: ...


class Host:
    """One server: a mind behind an address, with its own clock, that may stand still or be slow."""

    def __init__(self, world: World, address: Address, mind: Mind, offset: float, pace: float = 1.0) -> None:
        self.world, self.address, self.mind, self.offset, self.pace = world, address, mind, offset, pace
        self.up, self.until, self.lag = True, 0.0, 0.0
        self.waiting: list[Any] = []  # what came while it stood still
        self.due = float("inf")
        self.heard = self.said = 0

    def clock(self) -> float:
        return self.world.now * self.pace + self.offset

    def world_time(self, clock: float) -> float:
        """When its clock shows that."""
        return (clock - self.offset) / self.pace

    def stop(self, ms: float) -> None:
        self.until = self.world.now + ms
        self.world.at(self.until, self.wake)

    def wake(self) -> None:
        if self.up and self.world.now >= self.until:
            waiting, self.waiting = self.waiting, []
            for message in waiting:  # sockets are read before timers fire
                self.mind.on_message(message, self.clock())
            self.turn()

    def arrive(self, message: Any) -> None:
        if not self.up:
            return
        self.heard += 1
        stopped = self.world.now < self.until
        if stopped or self.lag:
            if len(self.waiting) < WAITING:
                self.waiting.append(message)
            if not stopped:
                self.world.after(self.world.chance.expovariate(1.0 / self.lag), self.wake)
            return
        self.mind.on_message(message, self.clock())
        self.turn(False)

    def turn(self, tick: bool = True) -> None:
        if not self.up or self.world.now < self.until:
            return
        due = self.mind.next_deadline_ms()
        if tick and due <= self.clock() + ROUNDING:
            self.mind.on_timer(
                max(due, self.clock())
            )  # sums with an offset may fall short of what was asked for
        for to, message in self.mind.take_outgoing():
            self.said += 1
            self.world.carry(self.address, to, message)
        due = max((self.mind.next_deadline_ms() - self.offset) / self.pace, self.world.now)
        if due < self.due or self.due <= self.world.now:
            self.due = due
            late = self.world.chance.expovariate(1.0 / self.lag) if self.lag else 0.0
            self.world.at(due + late, self.alarm)

    def alarm(self) -> None:
        if self.world.now >= self.due:
            self.due = float("inf")
            self.turn()


class World:
    """Time in ms from 0. `cut(a, b)` says whether what `a` sends to `b` is lost just now."""

    def __init__(self, seed: int, latency: tuple[float, float] = (0.2, 2.0), loss: float = 0.0) -> None:
        self.chance, self.now, self.count = Random(seed), 0.0, 0
        self.latency, self.loss, self.double, self.slow = latency, loss, 0.0, 0.0
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.hosts: dict[Address, Host] = {}
        self.cut: Callable[[Address, Address], bool] = lambda a, b: False
        self.messages = 0
        self.most = 1 << 62  # events after which it is a storm, and no day

    def at(self, time: float, action: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.events, (max(time, self.now), self.count, action))

    def after(self, delay: float, action: Callable[[], object]) -> None:
        self.at(self.now + delay, action)

    def start(self, address: Address, mind: Mind, offset: float = 0.0, pace: float = 1.0) -> Host:
        host = self.hosts[address] = Host(self, address, mind, offset, pace)
        host.turn()
        return host

    def kill(self, address: Address) -> None:
        self.hosts[address].up = False

    def carry(self, sender: Address, to: Address, message: Any) -> None:
        self.messages += 1
        if self.cut(sender, to):
            return
        for _ in range(2 if self.double and self.chance.random() < self.double else 1):
            if not self.loss or self.chance.random() >= self.loss:
                self.after(self.chance.uniform(*self.latency) + self.slow, lambda: self.land(to, message))

    def land(self, to: Address, message: Any) -> None:
        host = self.hosts.get(to)  # whoever has the address when it arrives
        if host is not None:
            host.arrive(message)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
            if self.count > self.most:
                raise RuntimeError(f"{self.count} events by {self.now:.0f} ms: a storm")
        self.now = until
