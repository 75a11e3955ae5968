"""Changes of policy in virtual time: the decisions of `policies` over a network and disks with faults.

The same objects as on a server's loop; what they decide by is written into a history for `promises`.
`away` takes one defence: "lease" (armed servers go on without one), "ask" (a server decides before it has
asked), "sure" (a leader speaks without knowing that it leads), "arm" (a change is taken without waiting for
all), "disk" (what a voter answers for is not on its disk).
"""

from __future__ import annotations

import copy
from random import Random
from typing import Any

import msgspec

from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.policies.messages import ChangeVoters, DeclareDeparted, FindChange, ProposeChange
from landingshift.policies.node import PolicyNode
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.simulation.virtual_time import Address, Host, World
from landingshift.testbed.verification.invariants import History

LOOK = 25.0  # ms between two decisions of one server, about
TIMES = RaftTimeouts(heartbeat_interval_ms=100.0, election_timeout_ms=500.0)
AWAY = ("lease", "ask", "sure", "arm", "disk")


def address(name: str) -> Address:
    return name, 0


def text(number: int) -> bytes:
    return msgspec.msgpack.encode({"methods": {"m": {"criticality": float(number + 2)}}})


class Mind:
    """One server: its part, its disk, and RPCs that it decides."""

    def __init__(self, hall: Hall, name: str, now: float) -> None:
        self.hall, self.name = hall, name
        self.run = hall.chance.getrandbits(32)
        stored = copy.deepcopy(hall.disks[name]) if name in hall.disks else None
        check = hall.refusing.get(name, lambda policy: "")
        self.part = PolicyNode(
            name, self.run, hall.plan, check, stored, hall.chance, now, lambda: hall.world.now, TIMES
        )
        self.participant = self.part.participant
        self.participant.discovery.list_alive_peers = lambda: [
            n for n in hall.names if n != name and n not in hall.down
        ]
        self.decide_at = now + LOOK * hall.chance.random()
        hall.without(self)

    def clock(self) -> float:
        return self.hall.hosts[self.name].clock()

    # For the world

    def on_message(self, message: Any, now: float) -> None:
        who, body = message
        self.part.on_message(who, body, now)

    def next_deadline_ms(self) -> float:
        return min(self.part.next_deadline_ms(), self.decide_at)

    def on_timer(self, now: float) -> None:
        if self.part.next_deadline_ms() <= now:
            self.part.tick(now)
        if now >= self.decide_at:
            self.decide_at = now + LOOK * self.hall.chance.uniform(0.5, 1.5)
            self.decide(now)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        stored = self.part.unsaved_state()
        if stored is not None:
            self.hall.save(self.name, stored)
            if not self.hall.hosts[self.name].up:
                return []  # killed between write and sync
            self.part.on_state_saved(self.clock())
            self.part.deliver_messages(self.clock())
        out = self.part.take_outgoing()
        while self.part.unsaved_state() is not None:
            self.hall.save(self.name, self.part.unsaved_state())
            self.part.on_state_saved(self.clock())
            self.part.deliver_messages(self.clock())
            out += self.part.take_outgoing()
        return [(address(to), (self.name, body)) for to, body in out]

    def decide(self, now: float) -> None:
        hall, f = self.hall, self.participant
        free = (hall.away == "lease" and f.is_member) or (hall.away == "ask" and not f.is_member)
        if free or f.may_decide(now):
            hall.history.append((hall.world.now, "decided", self.name, max(0, f.version), f.policy))


class Hall:
    """`voters` of `servers` agree. Changes are proposed at random; `step(ms)` goes on."""

    def __init__(
        self,
        seed: int | str,
        servers: int = 5,
        voters: int = 3,
        aside: bool = False,
        away: str = "",
        **plan: Any,
    ) -> None:
        self.chance, self.away = Random(f"{seed} hall"), away
        self.world = World(self.chance.getrandbits(48))
        self.names = [f"n{i}" for i in range(servers)]
        self.plan = PolicySettings(
            tuple(self.names[:voters]),
            aside,
            **{"lease_ms": 900.0, "clock_margin_ms": 100.0, "change_timeout_ms": 6000.0} | plan,
        )
        self.disks = {
            name: PersistentState() for name in self.names[: voters + 1]
        }  # one more could be a voter
        self.refusing: dict[str, Any] = {}
        self.hosts: dict[str, Host] = {}
        self.minds: dict[str, Mind] = {}
        self.history: History = []
        self.proposed: list[str] = []
        self.crash = 0.0  # chance of a kill between write and sync
        self.down: set[str] = set()
        self.told: set[tuple[str, str]] = set()
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> Mind:
        offset, pace = self.chance.uniform(-1e6, 1e6), self.chance.uniform(0.99, 1.01)
        self.down.discard(name)
        host = self.hosts[name] = Host(self.world, address(name), None, offset, pace)  # type: ignore[arg-type]
        host.mind = self.minds[name] = Mind(self, name, host.clock())
        self.world.hosts[address(name)] = host
        host.turn()
        return self.minds[name]

    def without(self, mind: Mind) -> None:
        """Takes the defence that is away from one server."""
        part = mind.part
        if part.coordinator is None or part.raft is None:
            return
        desk, voter = part.coordinator, part.raft
        if self.away == "sure":
            voter.has_leader_lease = lambda now_ms: voter.role.value == "leader"  # type: ignore[method-assign]
        if self.away == "arm":
            real = desk.unprepared_members
            desk.unprepared_members = lambda now_ms: [w for w in real(now_ms) if w.state != "away"]  # type: ignore[method-assign]

    def save(self, name: str, stored: PersistentState | None) -> None:
        if self.chance.random() < self.crash:
            self.kill(name)
            return
        assert stored is not None
        had = self.disks[name]
        self.disks[name] = copy.deepcopy(stored)
        if self.away == "disk":
            self.disks[name] = had

    def kill(self, name: str) -> None:
        self.world.kill(address(name))
        self.down.add(name)

    def propose(self, name: str, number: int) -> str:
        id = f"c{len(self.proposed)}"
        self.proposed.append(id)
        self.minds[name].part.submit_command(
            id, ProposeChange(text(number), "lab", "a trial"), self.hosts[name].clock()
        )
        self.hosts[name].turn()
        return id

    def gone(self, name: str, who: str) -> None:
        """An operator's word to `name` that the run of `who` that was there last has ended."""
        self.minds[name].part.submit_command(
            f"gone {who}", DeclareDeparted(who, self.minds[who].run), self.hosts[name].clock()
        )
        self.hosts[name].turn()

    def replace(self, name: str, how: str, who: str) -> None:
        """Has a voter added or removed; asked of `name`."""
        self.minds[name].part.submit_command(
            f"{how} {who}", ChangeVoters(how == "add", who), self.hosts[name].clock()
        )
        self.hosts[name].turn()

    def ask(self, name: str, id: str) -> None:
        part = self.minds[name].part
        part.submit_command(id, FindChange(), self.hosts[name].clock())
        self.hosts[name].turn()

    def end(self, name: str, id: str) -> str:
        """What this server says became of it; an end goes into the history."""
        known = self.minds[name].part.change_status(id)
        if known.outcome in FINAL_OUTCOMES and (name, id) not in self.told:
            self.told.add((name, id))
            self.history.append((self.world.now, "end", name, id, known.outcome, known.version))
        return str(known.outcome)

    def run(self, ms: float) -> None:
        self.world.run(self.world.now + ms)
        for name in self.names:
            if name not in self.down:
                for id in self.proposed:
                    self.end(name, id)

    def settle(self, ms: float = 12_000.0) -> None:
        """All faults are over: everybody is there, and whoever is asked answers."""
        self.world.cut, self.world.loss, self.world.double, self.world.slow = (
            (lambda a, b: False),
            0.0,
            0.0,
            0.0,
        )
        self.crash = 0.0
        for name in sorted(self.down):
            self.start(name)
        self.run(ms)
        self.told.clear()
        for name in self.names:
            for id in self.proposed:
                if self.minds[name].part.change_status(id).outcome not in FINAL_OUTCOMES:
                    self.ask(name, id)
        self.run(1500.0)


def fault(hall: Hall) -> str:
    """One drawn fault; its name."""
    chance, world = hall.chance, hall.world
    name = chance.choice(hall.names)
    up = [n for n in hall.names if n not in hall.down]
    match chance.randrange(12):
        case 0 | 1 if len(up) > 1 and name in up:
            hall.kill(name)
            return "kill"
        case 2 | 3 | 4 if hall.down:
            hall.start(chance.choice(sorted(hall.down)))
            return "start"
        case 5 if name in up:
            hall.hosts[name].stop(chance.choice((200.0, 900.0, 3000.0)))
            return "stop"
        case 6:
            half = {address(n) for n in chance.sample(hall.names, len(hall.names) // 2)}
            world.cut = lambda a, b: (a in half) != (b in half)
            return "halves"
        case 7:
            one, to = address(name), address(chance.choice(hall.names))
            world.cut = lambda a, b: a == one and (b == to or to == one)
            return "one way"
        case 8:
            world.cut = lambda a, b: False
            return "whole"
        case 9:
            world.loss, world.double = chance.choice((0.0, 0.1, 0.3)), chance.choice((0.0, 0.3))
            world.slow = chance.choice((0.0, 0.0, 20.0, 300.0))
            return "loss"
        case 10:
            hall.crash = chance.choice((0.0, 0.01, 0.05))
            return "disk"
        case 11 if up:
            voter = chance.choice(sorted(hall.disks))
            hall.replace(chance.choice(up), chance.choice(("add", "remove")), voter)
            return "voters"
    return ""


def play(seed: int | str, aside: bool | None = None, away: str = "", steps: int = 14, **hall: Any) -> Hall:
    """A history with faults drawn from the seed; changes are proposed all the while."""
    draw = Random(f"{seed} play")
    servers = draw.choice((4, 5, 7))
    voters = 3 if servers < 7 else draw.choice((3, 5))
    played = Hall(seed, servers, voters, draw.random() < 0.5 if aside is None else aside, away, **hall)
    played.run(draw.choice((0.0, 2500.0, 2500.0)))
    for number in range(steps):
        if draw.random() < 0.5:
            name = draw.choice(played.names)
            if name not in played.down:
                played.propose(name, number)
        if draw.random() < 0.75:
            fault(played)
        played.run(draw.choice((100.0, 400.0, 1200.0)))
    played.settle()
    return played
