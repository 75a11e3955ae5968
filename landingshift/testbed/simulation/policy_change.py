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
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost, SimulatedNetwork
from landingshift.testbed.verification.invariants import History

LOOK = 25.0  # ms between two decisions of one server, about
TIMES = RaftTimeouts(heartbeat_interval_ms=100.0, election_timeout_ms=500.0)
AWAY = ("lease", "ask", "sure", "arm", "disk")


def address(name: str) -> Address:
    return name, 0


def policy_document(number: int) -> bytes:
    return msgspec.msgpack.encode({"methods": {"m": {"criticality": float(number + 2)}}})


class PolicyServer:
    """One server: its part, its disk, and RPCs that it decides."""

    def __init__(self, hall: PolicyChangeSimulation, name: str, now: float) -> None:
        self.hall, self.name = hall, name
        self.run = hall.rng.getrandbits(32)
        stored = copy.deepcopy(hall.disks[name]) if name in hall.disks else None
        check = hall.policy_checks.get(name, lambda policy: "")
        self.policy_node = PolicyNode(
            name, self.run, hall.settings, check, stored, hall.rng, now, lambda: hall.network.now_ms, TIMES
        )
        self.participant = self.policy_node.participant
        self.participant.discovery.list_alive_peers = lambda: [
            n for n in hall.server_names if n != name and n not in hall.down_servers
        ]
        self.decide_at = now + LOOK * hall.rng.random()
        hall.without(self)

    def clock_ms(self) -> float:
        return self.hall.hosts[self.name].clock_ms()

    # For the world

    def on_message(self, message: Any, now: float) -> None:
        who, body = message
        self.policy_node.on_message(who, body, now)

    def next_deadline_ms(self) -> float:
        return min(self.policy_node.next_deadline_ms(), self.decide_at)

    def on_timer(self, now: float) -> None:
        if self.policy_node.next_deadline_ms() <= now:
            self.policy_node.tick(now)
        if now >= self.decide_at:
            self.decide_at = now + LOOK * self.hall.rng.uniform(0.5, 1.5)
            self.decide(now)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        stored = self.policy_node.unsaved_state()
        if stored is not None:
            self.hall.save(self.name, stored)
            if not self.hall.hosts[self.name].is_up:
                return []  # killed between write and sync
            self.policy_node.on_state_saved(self.clock_ms())
            self.policy_node.deliver_messages(self.clock_ms())
        out = self.policy_node.take_outgoing()
        while self.policy_node.unsaved_state() is not None:
            self.hall.save(self.name, self.policy_node.unsaved_state())
            self.policy_node.on_state_saved(self.clock_ms())
            self.policy_node.deliver_messages(self.clock_ms())
            out += self.policy_node.take_outgoing()
        return [(address(to), (self.name, body)) for to, body in out]

    def decide(self, now: float) -> None:
        hall, f = self.hall, self.participant
        free = (hall.removed_defence == "lease" and f.is_member) or (
            hall.removed_defence == "ask" and not f.is_member
        )
        if free or f.may_decide(now):
            hall.history.append((hall.network.now_ms, "decided", self.name, max(0, f.version), f.policy))


class PolicyChangeSimulation:
    """`voters` of `servers` agree. Changes are proposed at random; `step(ms)` goes on."""

    def __init__(
        self,
        seed: int | str,
        servers: int = 5,
        voters: int = 3,
        aside: bool = False,
        removed_defence: str = "",
        **plan: Any,
    ) -> None:
        self.rng, self.removed_defence = Random(f"{seed} hall"), removed_defence
        self.network = SimulatedNetwork(self.rng.getrandbits(48))
        self.server_names = [f"n{i}" for i in range(servers)]
        self.settings = PolicySettings(
            tuple(self.server_names[:voters]),
            aside,
            **{"lease_ms": 900.0, "clock_margin_ms": 100.0, "change_timeout_ms": 6000.0} | plan,
        )
        self.disks = {
            name: PersistentState() for name in self.server_names[: voters + 1]
        }  # one more could be a voter
        self.policy_checks: dict[str, Any] = {}
        self.hosts: dict[str, SimulatedHost] = {}
        self.servers: dict[str, PolicyServer] = {}
        self.history: History = []
        self.proposed: list[str] = []
        self.crash = 0.0  # chance of a kill between write and sync
        self.down_servers: set[str] = set()
        self.told: set[tuple[str, str]] = set()
        for name in self.server_names:
            self.start(name)

    def start(self, name: str) -> PolicyServer:
        offset, pace = self.rng.uniform(-1e6, 1e6), self.rng.uniform(0.99, 1.01)
        self.down_servers.discard(name)
        host = self.hosts[name] = SimulatedHost(self.network, address(name), offset, pace)
        host.process = self.servers[name] = PolicyServer(self, name, host.clock_ms())
        self.network.hosts[address(name)] = host
        host.run_once()
        return self.servers[name]

    def without(self, mind: PolicyServer) -> None:
        """Takes the defence that is away from one server."""
        part = mind.policy_node
        if part.coordinator is None or part.raft is None:
            return
        desk, voter = part.coordinator, part.raft
        if self.removed_defence == "sure":
            voter.has_leader_lease = lambda now_ms: voter.role.value == "leader"  # type: ignore[method-assign]
        if self.removed_defence == "arm":
            real = desk.unprepared_members
            desk.unprepared_members = lambda now_ms: [w for w in real(now_ms) if w.state != "away"]  # type: ignore[method-assign]

    def save(self, name: str, stored: PersistentState | None) -> None:
        if self.rng.random() < self.crash:
            self.kill(name)
            return
        assert stored is not None
        had = self.disks[name]
        self.disks[name] = copy.deepcopy(stored)
        if self.removed_defence == "disk":
            self.disks[name] = had

    def kill(self, name: str) -> None:
        self.network.kill(address(name))
        self.down_servers.add(name)

    def propose(self, name: str, number: int) -> str:
        id = f"c{len(self.proposed)}"
        self.proposed.append(id)
        self.servers[name].policy_node.submit_command(
            id, ProposeChange(policy_document(number), "lab", "a trial"), self.hosts[name].clock_ms()
        )
        self.hosts[name].run_once()
        return id

    def declare_departed(self, name: str, who: str) -> None:
        """An operator's word to `name` that the run of `who` that was there last has ended."""
        self.servers[name].policy_node.submit_command(
            f"gone {who}", DeclareDeparted(who, self.servers[who].run), self.hosts[name].clock_ms()
        )
        self.hosts[name].run_once()

    def change_voter(self, name: str, how: str, who: str) -> None:
        """Has a voter added or removed; asked of `name`."""
        self.servers[name].policy_node.submit_command(
            f"{how} {who}", ChangeVoters(how == "add", who), self.hosts[name].clock_ms()
        )
        self.hosts[name].run_once()

    def ask(self, name: str, id: str) -> None:
        part = self.servers[name].policy_node
        part.submit_command(id, FindChange(), self.hosts[name].clock_ms())
        self.hosts[name].run_once()

    def change_outcome(self, name: str, id: str) -> str:
        """What this server says became of it; an end goes into the history."""
        known = self.servers[name].policy_node.change_status(id)
        if known.outcome in FINAL_OUTCOMES and (name, id) not in self.told:
            self.told.add((name, id))
            self.history.append((self.network.now_ms, "end", name, id, known.outcome, known.version))
        return str(known.outcome)

    def run(self, ms: float) -> None:
        self.network.run_until(self.network.now_ms + ms)
        for name in self.server_names:
            if name not in self.down_servers:
                for id in self.proposed:
                    self.change_outcome(name, id)

    def settle(self, ms: float = 12_000.0) -> None:
        """All faults are over: everybody is there, and whoever is asked answers."""
        (
            self.network.is_cut,
            self.network.loss_probability,
            self.network.duplicate_probability,
            self.network.extra_delay_ms,
        ) = (
            (lambda a, b: False),
            0.0,
            0.0,
            0.0,
        )
        self.crash = 0.0
        for name in sorted(self.down_servers):
            self.start(name)
        self.run(ms)
        self.told.clear()
        for name in self.server_names:
            for id in self.proposed:
                if self.servers[name].policy_node.change_status(id).outcome not in FINAL_OUTCOMES:
                    self.ask(name, id)
        self.run(1500.0)


def fault(hall: PolicyChangeSimulation) -> str:
    """One drawn fault; its name."""
    chance, world = hall.rng, hall.network
    name = chance.choice(hall.server_names)
    up = [n for n in hall.server_names if n not in hall.down_servers]
    match chance.randrange(12):
        case 0 | 1 if len(up) > 1 and name in up:
            hall.kill(name)
            return "kill"
        case 2 | 3 | 4 if hall.down_servers:
            hall.start(chance.choice(sorted(hall.down_servers)))
            return "start"
        case 5 if name in up:
            hall.hosts[name].pause(chance.choice((200.0, 900.0, 3000.0)))
            return "stop"
        case 6:
            half = {address(n) for n in chance.sample(hall.server_names, len(hall.server_names) // 2)}
            world.is_cut = lambda a, b: (a in half) != (b in half)
            return "halves"
        case 7:
            one, to = address(name), address(chance.choice(hall.server_names))
            world.is_cut = lambda a, b: a == one and (b == to or to == one)
            return "one way"
        case 8:
            world.is_cut = lambda a, b: False
            return "whole"
        case 9:
            world.loss_probability, world.duplicate_probability = (
                chance.choice((0.0, 0.1, 0.3)),
                chance.choice((0.0, 0.3)),
            )
            world.extra_delay_ms = chance.choice((0.0, 0.0, 20.0, 300.0))
            return "loss"
        case 10:
            hall.crash = chance.choice((0.0, 0.01, 0.05))
            return "disk"
        case 11 if up:
            voter = chance.choice(sorted(hall.disks))
            hall.change_voter(chance.choice(up), chance.choice(("add", "remove")), voter)
            return "voters"
    return ""


def run_random_history(
    seed: int | str, aside: bool | None = None, removed_defence: str = "", steps: int = 14, **hall: Any
) -> PolicyChangeSimulation:
    """A history with faults drawn from the seed; changes are proposed all the while."""
    draw = Random(f"{seed} play")
    servers = draw.choice((4, 5, 7))
    voters = 3 if servers < 7 else draw.choice((3, 5))
    played = PolicyChangeSimulation(
        seed, servers, voters, draw.random() < 0.5 if aside is None else aside, removed_defence, **hall
    )
    played.run(draw.choice((0.0, 2500.0, 2500.0)))
    for number in range(steps):
        if draw.random() < 0.5:
            name = draw.choice(played.server_names)
            if name not in played.down_servers:
                played.propose(name, number)
        if draw.random() < 0.75:
            fault(played)
        played.run(draw.choice((100.0, 400.0, 1200.0)))
    played.settle()
    return played
