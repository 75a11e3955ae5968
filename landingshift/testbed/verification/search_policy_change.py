"""Every order of a small model: three servers, one change; each message may come next, be lost or come twice,
time may pass, a member or the leader may die and come back. The decisions are those of the server itself.

It starts where all are armed but for one, and goes to a stated depth. What is checked is stronger than any
history: that nobody *could* decide by an old version too late.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.policies.messages import ChangePhase, ProposeChange
from landingshift.policies.node import PolicyNode
from landingshift.policies.participant import ParticipantState
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.simulation.policy_documents import policy_document

NAMES = ("n0", "n1", "n2")
PASS = 500.0  # ms
FLIGHT = 4  # messages under way at a time
TIMES = RaftTimeouts(heartbeat_interval_ms=1e9, election_timeout_ms=1e9)  # one voter: nobody else can lead


class Even(Random):
    """No chance at all, so that equal states are seen to be equal."""

    def uniform(self, a: float, b: float) -> float:
        return a

    def random(self) -> float:
        return 0.0

    def __deepcopy__(self, _memo: Any) -> Even:
        return self


@dataclass
class Spent:
    """How often each fault may still come."""

    losses: int = 1
    doubles: int = 1
    passes: int = 3
    kills: int = 1
    asks: int = 2


@dataclass
class State:
    parts: dict[str, PolicyNode]
    disk: PersistentState
    now: float = 10_000.0
    way: list[tuple[str, str, list[Any]]] = field(default_factory=list)
    spent: Spent = field(default_factory=Spent)
    first: dict[int, float] = field(default_factory=dict)  # when a version could first be decided by

    def key(self) -> Any:
        now = self.now
        seen: list[Any] = []
        for part in self.parts.values():
            f, desk = part.participant, part.coordinator
            seen.append((
                part.run, f.is_member, f.version, f.latest_version, f.change_id, f.state,
                max(0.0, f.lease_expiry_ms - now), f.last_answered_number, f.last_request_number,
                tuple(now - at for at in f.request_sent_at_ms.values()),
            ))  # fmt: skip
            if desk is not None:
                told = [(name, report.request) for name, report in sorted(desk.reports.by_member.items())]
                acks = [(name, r.run, r.change_id, r.state, r.version) for name, r in told]
                seen.append(
                    (
                        tuple(acks),
                        desk.phase,
                        desk.switching_change_id,
                        part.state_machine.version,
                        part.state_machine.pending_change_id,
                    )
                )
        way = tuple(sorted(repr(m) for m in self.way))
        since = tuple(sorted((v, now - at) for v, at in self.first.items()))
        return (tuple(seen), way, since, repr(self.spent))


class PolicyChangeSearch:
    """`away`: "lease" or "ask", as in `assent`."""

    def __init__(self, aside: bool = False, removed_defence: str = "") -> None:
        self.settings = PolicySettings(
            ("n0",), aside, overlap_ms=1000.0, lease_ms=900.0, clock_margin_ms=100.0, change_timeout_ms=1e9
        )
        self.removed_defence, self.rng = removed_defence, Even()
        self.state_count = self.depth_reached = 0
        self.violation = ""

    def part(self, name: str, run: int, stored: PersistentState | None, now: float) -> PolicyNode:
        return PolicyNode(name, run, self.settings, lambda _: "", stored, self.rng, now, lambda: 0.0, TIMES)

    def begin(self) -> State:
        state = State({}, PersistentState())
        state.spent = Spent(0, 0, 0, 0, 0)
        for i, name in enumerate(NAMES):
            state.parts[name] = self.part(name, i, PersistentState() if i == 0 else None, state.now)
        lead = state.parts["n0"]
        assert lead.raft is not None and lead.coordinator is not None
        lead.raft.start_election()
        for _ in range(4):
            self.round(state, NAMES)
        state.parts["n0"].submit_command("c", ProposeChange(policy_document(1), "lab", "a trial"), state.now)
        state.parts["n0"].forward_command("c", state.now)
        self.out(state, "n0")
        while state.parts["n0"].coordinator.phase is not ChangePhase.PREPARE:  # type: ignore[union-attr]
            self.round(state, NAMES)
        self.round(state, ("n0", "n1"))
        self.round(state, ("n0", "n1"))
        self.round(state, ("n2",))
        assert all(part.participant.state is ParticipantState.PREPARED for part in state.parts.values())
        state.parts["n2"].participant.send_status_request(state.now)
        self.out(state, "n2")  # the last word that the leader waits for is under way
        for part in state.parts.values():
            part.participant.request_sent_at_ms = {
                n: at
                for n, at in part.participant.request_sent_at_ms.items()
                if n > part.participant.last_answered_number
            }
        state.spent = Spent()
        return state

    def round(self, state: State, names: tuple[str, ...]) -> None:
        for name in names:
            state.parts[name].participant.send_status_request(state.now)
            self.out(state, name)
        self.drain(state)

    def drain(self, state: State) -> None:
        while state.way:
            self.deliver(state, 0)

    # Steps

    def out(self, state: State, name: str) -> None:
        part = state.parts[name]
        for _ in range(4):
            stored = part.unsaved_state()
            if stored is not None:
                state.disk = copy.deepcopy(stored)
                part.on_state_saved(state.now)
            if part.coordinator is not None:
                part.coordinator.tick(state.now)
            part.deliver_messages(state.now)
            for to, body in part.take_outgoing():
                if (
                    body[0] != "look" and len(state.way) < FLIGHT
                ):  # looks only make others ask, which all may do
                    state.way.append((name, to, body))
            if part.unsaved_state() is None:
                break

    def deliver(self, state: State, at: int) -> None:
        sender, to, body = state.way.pop(at)
        state.parts[to] = copy.deepcopy(state.parts[to])
        state.parts[to].on_message(sender, body, state.now)
        self.out(state, to)

    def steps(self, state: State) -> list[tuple[str, Any]]:
        found: list[tuple[str, Any]] = [("deliver", i) for i in range(len(state.way))]
        spent = state.spent
        if spent.losses:
            found += [("lose", i) for i in range(len(state.way))]
        if spent.doubles and len(state.way) < FLIGHT:
            found += [("double", i) for i in range(len(state.way))]
        if spent.passes:
            found.append(("pass", 0))
        if spent.asks and len(state.way) < FLIGHT:
            found += [("ask", name) for name in NAMES]
        if spent.kills:
            found += [("kill", name) for name in NAMES]
        return found

    def take(self, old: State, step: tuple[str, Any]) -> State:
        """The state after a step; the old one stays as it is."""
        state = State(dict(old.parts), old.disk, old.now, list(old.way), replace(old.spent), dict(old.first))
        what, arg = step
        spent = state.spent
        match what:
            case "deliver":
                self.deliver(state, arg)
            case "lose":
                spent.losses -= 1
                state.way.pop(arg)
            case "double":
                spent.doubles -= 1
                state.way.append(state.way[arg])
            case "pass":
                spent.passes -= 1
                state.now += PASS
            case "ask":
                spent.asks -= 1
                state.parts[arg] = copy.deepcopy(state.parts[arg])
                state.parts[arg].participant.send_status_request(state.now)
                self.out(state, arg)
            case "kill":
                spent.kills -= 1
                stored = copy.deepcopy(state.disk) if arg == "n0" else None
                part = state.parts[arg] = self.part(arg, 9, stored, state.now)
                if part.raft is not None:
                    part.raft.start_election()
                    self.out(state, arg)
        return state

    def check(self, state: State) -> str:
        now = state.now
        for part in state.parts.values():
            f = part.participant
            may = f.may_decide(now)
            if self.removed_defence == "lease":
                may = f.is_member and f.latest_version <= f.version
            elif self.removed_defence == "ask":
                may = may or not f.is_member
            if not may:
                continue
            version = max(0, f.version)
            state.first.setdefault(version, now)
            newer = [at for v, at in state.first.items() if v > version]
            if newer and now - min(newer) > self.settings.overlap_ms:
                return f"{part.name} may decide by {version} {now - min(newer):.0f} ms after a newer one"
        return ""

    def run(self, depth: int, most: int = 10_000_000) -> PolicyChangeSearch:
        """All states up to `depth` steps from the start, each once; ends at the first broken promise."""
        begin = self.begin()
        seen, edge = {begin.key()}, [(begin, ())]
        for self.depth_reached in range(1, depth + 1):
            new: list[tuple[State, Any]] = []
            for state, way in edge:
                for step in self.steps(state):
                    state_after = self.take(state, step)
                    why = self.check(state_after)
                    key = state_after.key()
                    if key in seen:
                        continue
                    seen.add(key)
                    self.state_count = len(seen)
                    if why:
                        self.violation = f"{why}, by {[*way, step]}"
                        return self
                    new.append((state_after, (*way, step)))
                    if self.state_count >= most:
                        return self
            edge = new
        return self
