"""One server as one who decides: by which version it may, and what it says of a change under way. Pure.

The rules that keep old and new decisions apart:

1. It decides by nothing before the voters' leader has told that it is counted (`joined`), and by what.
2. Told "arm", it holds the change's text, has checked it, and from then on decides by the old version only
   for `hold` ms after each request that the leader answered with a lease. The leader stops giving leases
   before it has the switch agreed on: nobody decides by the old one `hold` after any decided by the new one.
3. It lets go of that only on the word of what became of this very change: a late word from before the change
   was opened must not free it.
4. Where `aside` is set, each decision needs such a lease, of `lease` ms, at all times.

Requests are numbered; a lease counts from when its request was sent, by this server's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

TURNS = 4  # times in a row that it goes at once where it is sent: those who send may both be wrong
LOST = 2  # requests in a row without an answer after which another voter is asked
ENDS = 64
OUT = 16  # requests whose times are kept
MOST = 9  # voters that it keeps
SEEK = 250.0  # ms between two requests of one that is not counted yet
REST = 2000.0  # between changes, where nothing hangs on it
SOON = 20.0  # ms over which the answers to a look are spread
HERE = 10.0  # ms between two requests, at least


class Stage(StrEnum):
    """Of the change under way, at one server. Each is left only for a later one, or for NONE at its end."""

    NONE = ""
    READY = "ready"  # it has the text and could decide by it
    REFUSED = "refused"
    ARMED = "armed"  # it decides by the old version under leases only


@dataclass(slots=True, frozen=True)
class Plan:
    """Alike on all servers. Times in ms. `overlap`: for how long two versions may be in use at once."""

    voters: tuple[str, ...]
    aside: bool  # who is cut off stands aside, so that a change need not wait for it
    overlap: float = 1000.0
    lease: float = 3000.0
    spare: float = 300.0
    wait: float = 30_000.0  # a change that has not taken hold by then is withdrawn

    @property
    def hold(self) -> float:
        return 0.8 * self.overlap

    @property
    def mark(self) -> str:
        """What must be alike wherever one asks and another answers."""
        return f"{'stand_aside' if self.aside else 'serve'} {self.overlap:g} {self.lease:g}"


@dataclass(slots=True, frozen=True)
class Told:
    """The leader's answer. `ended`: the change that the request named, how, and its version."""

    number: int
    joined: bool
    version: int
    change: str
    want: str
    ended: list[Any]
    leased: bool
    voters: list[str]


class Follower:
    """`check(policy)`: "" or key and reason. `out` gets (voter, body)."""

    def __init__(
        self, name: str, run: int, plan: Plan, check: Callable[[bytes], str], chance: Random, now: float
    ) -> None:
        self.name, self.run, self.plan, self.check, self.chance = name, run, plan, check, chance
        self.out: list[tuple[str, list[Any]]] = []
        self.joined, self.refused = False, ""  # `refused`: why the leader will not count it
        self.version, self.policy = -1, b""
        self.newest = -1  # that it has heard of
        self.change, self.text, self.stage, self.said = "", b"", Stage.NONE, ""
        self.until = now  # end of its lease
        self.ends: dict[str, tuple[str, int, str]] = {}  # how the last changes ended that it was asked about
        self.voters = list(plan.voters)  # as the leader told them last
        self.named: tuple[str, ...] = ()  # as its own log has them, where it is or was a voter
        self.others: Callable[[], list[str]] = list  # who else is there, as the fleet has it
        self.spare = False  # whether this one could be a voter: it has a journal
        self.leader, self.turn = "", chance.randrange(len(plan.voters))
        self.number = self.accepted = self.silent = self.unheard = self.turns = 0
        self.sent: dict[int, float] = {}
        self.ask_at, self.asked_at = now + SEEK * chance.random(), -1e9

    # What it may do

    def may(self, now: float) -> bool:
        """Whether an RPC may be decided now, by `version`."""
        if not self.joined or self.newest > self.version:
            return False
        return now < self.until if self.leased else True

    @property
    def leased(self) -> bool:
        return self.plan.aside or self.stage is Stage.ARMED

    # Asking

    def pause(self) -> float:
        if self.stage is not Stage.NONE or self.newest > self.version >= 0:
            return self.plan.hold / 4.0
        if not self.joined:
            return SEEK
        return self.plan.lease / 4.0 if self.plan.aside else REST

    def next(self) -> float:
        return self.ask_at

    def step(self, now: float) -> None:
        if now >= self.ask_at:
            self.ask(now)

    def ask(self, now: float) -> None:
        if self.silent >= LOST or not self.leader:
            asked = [*self.voters, *(name for name in self.named if name not in self.voters)]
            self.turn = (self.turn + 1) % len(asked)
            self.leader, self.silent = asked[self.turn], 0
            others = self.others() if self.unheard >= LOST * len(asked) else []
            if others and self.turn == 0:  # none of those whom it knows is there: anybody knows the leader
                self.leader = self.chance.choice(others)
        self.number += 1
        self.silent += 1
        self.sent[self.number] = self.asked_at = now
        self.sent.pop(self.number - OUT, None)
        # No answer within a moment is asked for again, ever more slowly: the leader may be gone for good.
        again = SEEK * 2.0 ** min(self.unheard, 3)
        self.ask_at = now + min(again, self.pause()) * self.chance.uniform(0.8, 1.2)
        self.unheard += 1
        self.out.append((self.leader, [
            "here", self.run, self.number, self.version, self.change, str(self.stage), self.said,
            self.plan.mark, self.spare,
        ]))  # fmt: skip

    def look(self, now: float) -> None:
        """The leader's word that there is something new."""
        self.sooner(max(now + SOON * self.chance.random(), self.asked_at + HERE))

    def sooner(self, at: float) -> None:
        self.ask_at = min(self.ask_at, at)

    # Answers

    def hear(self, who: str, body: list[Any], now: float) -> None:
        match body:
            case ["look"]:
                self.look(now)
            case ["ask", int(number), str(leader)] if number in self.sent:
                self.turned(leader, number, now)
            case ["no", int(number), str(why)] if number in self.sent:
                self.silent, self.unheard, self.refused, self.joined = 0, 0, why[:200], False
                self.ask_at = now + REST
            case [
                "told",
                int(number),
                bool(),
                int(),
                str(),
                str(),
                [] | [str(), str(), int(), str()],
                bool(),
                [str(), *_],
            ]:
                if number in self.sent and number > self.accepted:
                    self.accepted, self.silent, self.unheard, self.leader = number, 0, 0, who
                    self.ask_at = now + REST
                    self.told(Told(*body[1:]), now)
                    self.sooner(now + self.pause() * self.chance.uniform(0.8, 1.2))
            case ["text", str(change), int(version), bytes(policy)]:
                self.got(change, version, policy, now)

    def turned(self, leader: str, number: int, now: float) -> None:
        """To another voter, which leads; "" where it knows none."""
        if leader and leader != self.leader:
            self.leader, self.silent, self.turns = leader, 0, self.turns + 1
            if self.turns <= TURNS:
                self.sooner(max(now, self.asked_at + HERE))
        elif not leader:
            self.leader = ""

    def told(self, m: Told, now: float) -> None:
        self.joined, self.refused, self.voters = m.joined, "", [str(name) for name in m.voters[:MOST]]
        self.turns = 0
        self.newest = max(self.newest, m.version)
        if m.ended and m.ended[0] == self.change:
            id, end, version, said = m.ended
            self.ends[id] = end, version, said
            if len(self.ends) > ENDS:
                del self.ends[next(iter(self.ends))]
            if version and version == m.version == self.version + 1:
                self.adopt(version, self.text)
            self.change, self.text, self.stage, self.said = "", b"", Stage.NONE, ""
        if self.newest > self.version:
            self.out.append((self.leader, ["want", "", self.newest]))
            self.sooner(now + self.plan.hold / 4.0)
        if m.change and not self.change:
            self.out.append((self.leader, ["want", m.change, 0]))
            self.sooner(now + self.plan.hold / 4.0)
        if m.change == self.change and m.want == "arm" and self.stage is Stage.READY:
            self.stage, self.until = Stage.ARMED, min(self.until, now + self.plan.hold)
            self.sooner(max(now, self.asked_at + HERE))
        if m.leased and m.joined and m.version == self.version:
            length = self.plan.hold if self.stage is Stage.ARMED else self.plan.lease
            self.until = max(self.until, self.sent[m.number] + length)

    def got(self, change: str, version: int, policy: bytes, now: float) -> None:
        if change and not self.change:
            self.said = self.check(policy)
            self.change, self.text = change, policy
            self.stage = Stage.REFUSED if self.said else Stage.READY
            self.sooner(max(now, self.asked_at + HERE))
        elif not change and version == self.newest > self.version:
            self.adopt(version, policy)
            self.sooner(max(now, self.asked_at + HERE))

    def trust(self, version: int, policy: bytes) -> str:
        """An operator's word for what is in force, where no leader will ever say it; "" or why not."""
        if self.plan.aside:
            return "it stands aside without a leader: when_cut_off is stand_aside"
        if self.joined or version < self.version:
            return f"it has version {self.version} from a leader"
        said = self.check(policy) if policy else ""
        if not said:
            self.joined, self.newest = True, version
            self.adopt(version, policy)
        return said

    def adopt(self, version: int, policy: bytes) -> None:
        self.version, self.policy = version, policy
