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


class ParticipantStage(StrEnum):
    """Of the change under way, at one server. Each is left only for a later one, or for NONE at its end."""

    NONE = ""
    VALIDATED = "ready"  # it has the text and could decide by it
    REJECTED = "refused"
    PREPARED = "armed"  # it decides by the old version under leases only


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """Alike on all servers. `overlap_ms`: for how long two versions may be in use at once."""

    voters: tuple[str, ...]
    stands_aside_when_cut_off: bool  # who is cut off stands aside, so that a change need not wait for it
    overlap_ms: float = 1000.0
    lease_ms: float = 3000.0
    clock_margin_ms: float = 300.0
    change_timeout_ms: float = 30_000.0  # a change that has not taken hold by then is withdrawn

    @property
    def prepared_lease_ms(self) -> float:
        return 0.8 * self.overlap_ms

    @property
    def fingerprint(self) -> str:
        """What must be alike wherever one asks and another answers."""
        choice = "stand_aside" if self.stands_aside_when_cut_off else "serve"
        return f"{choice} {self.overlap_ms:g} {self.lease_ms:g}"


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


class ChangeParticipant:
    """`check(policy)`: "" or key and reason. `out` gets (voter, body)."""

    def __init__(
        self,
        name: str,
        run: int,
        plan: PolicySettings,
        check: Callable[[bytes], str],
        chance: Random,
        now: float,
    ) -> None:
        self.name, self.run, self.plan, self.check, self.chance = name, run, plan, check, chance
        self.outbox: list[tuple[str, list[Any]]] = []
        self.is_member, self.refusal_reason = False, ""  # `refused`: why the leader will not count it
        self.version, self.policy = -1, b""
        self.latest_version = -1  # that it has heard of
        self.change_id, self.text, self.stage, self.rejection_reason = "", b"", ParticipantStage.NONE, ""
        self.lease_expiry_ms = now  # end of its lease
        self.ended_changes: dict[
            str, tuple[str, int, str]
        ] = {}  # how the last changes ended that it was asked about
        self.voters = list(plan.voters)  # as the leader told them last
        self.own_log_voters: tuple[str, ...] = ()  # as its own log has them, where it is or was a voter
        self.list_alive_peers: Callable[[], list[str]] = list  # who else is there, as the fleet has it
        self.can_become_voter = False  # whether this one could be a voter: it has a journal
        self.leader, self.turn = "", chance.randrange(len(plan.voters))
        self.last_request_number = self.last_answered_number = self.silent = self.unheard = self.turns = 0
        self.request_sent_at_ms: dict[int, float] = {}
        self.ask_at, self.asked_at = now + SEEK * chance.random(), -1e9

    # What it may do

    def may_decide(self, now: float) -> bool:
        """Whether an RPC may be decided now, by `version`."""
        if not self.is_member or self.latest_version > self.version:
            return False
        return now < self.lease_expiry_ms if self.needs_lease else True

    @property
    def needs_lease(self) -> bool:
        return self.plan.stands_aside_when_cut_off or self.stage is ParticipantStage.PREPARED

    # Asking

    def pause(self) -> float:
        if self.stage is not ParticipantStage.NONE or self.latest_version > self.version >= 0:
            return self.plan.prepared_lease_ms / 4.0
        if not self.is_member:
            return SEEK
        return self.plan.lease_ms / 4.0 if self.plan.stands_aside_when_cut_off else REST

    def next_deadline_ms(self) -> float:
        return self.ask_at

    def tick(self, now: float) -> None:
        if now >= self.ask_at:
            self.send_status_request(now)

    def send_status_request(self, now: float) -> None:
        if self.silent >= LOST or not self.leader:
            asked = [*self.voters, *(name for name in self.own_log_voters if name not in self.voters)]
            self.turn = (self.turn + 1) % len(asked)
            self.leader, self.silent = asked[self.turn], 0
            others = self.list_alive_peers() if self.unheard >= LOST * len(asked) else []
            if others and self.turn == 0:  # none of those whom it knows is there: anybody knows the leader
                self.leader = self.chance.choice(others)
        self.last_request_number += 1
        self.silent += 1
        self.request_sent_at_ms[self.last_request_number] = self.asked_at = now
        self.request_sent_at_ms.pop(self.last_request_number - OUT, None)
        # No answer within a moment is asked for again, ever more slowly: the leader may be gone for good.
        again = SEEK * 2.0 ** min(self.unheard, 3)
        self.ask_at = now + min(again, self.pause()) * self.chance.uniform(0.8, 1.2)
        self.unheard += 1
        self.outbox.append((self.leader, [
            "here", self.run, self.last_request_number, self.version, self.change_id, str(self.stage),
            self.rejection_reason,
            self.plan.fingerprint, self.can_become_voter,
        ]))  # fmt: skip

    def look(self, now: float) -> None:
        """The leader's word that there is something new."""
        self.sooner(max(now + SOON * self.chance.random(), self.asked_at + HERE))

    def sooner(self, at: float) -> None:
        self.ask_at = min(self.ask_at, at)

    # Answers

    def on_message(self, who: str, body: list[Any], now: float) -> None:
        match body:
            case ["look"]:
                self.look(now)
            case ["ask", int(number), str(leader)] if number in self.request_sent_at_ms:
                self.turned(leader, number, now)
            case ["no", int(number), str(why)] if number in self.request_sent_at_ms:
                self.silent, self.unheard, self.refusal_reason, self.is_member = 0, 0, why[:200], False
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
                if number in self.request_sent_at_ms and number > self.last_answered_number:
                    self.last_answered_number, self.silent, self.unheard, self.leader = number, 0, 0, who
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
        self.is_member, self.refusal_reason, self.voters = (
            m.joined,
            "",
            [str(name) for name in m.voters[:MOST]],
        )
        self.turns = 0
        self.latest_version = max(self.latest_version, m.version)
        if m.ended and m.ended[0] == self.change_id:
            id, end, version, said = m.ended
            self.ended_changes[id] = end, version, said
            if len(self.ended_changes) > ENDS:
                del self.ended_changes[next(iter(self.ended_changes))]
            if version and version == m.version == self.version + 1:
                self.adopt(version, self.text)
            self.change_id, self.text, self.stage, self.rejection_reason = "", b"", ParticipantStage.NONE, ""
        if self.latest_version > self.version:
            self.outbox.append((self.leader, ["want", "", self.latest_version]))
            self.sooner(now + self.plan.prepared_lease_ms / 4.0)
        if m.change and not self.change_id:
            self.outbox.append((self.leader, ["want", m.change, 0]))
            self.sooner(now + self.plan.prepared_lease_ms / 4.0)
        if m.change == self.change_id and m.want == "arm" and self.stage is ParticipantStage.VALIDATED:
            self.stage, self.lease_expiry_ms = (
                ParticipantStage.PREPARED,
                min(self.lease_expiry_ms, now + self.plan.prepared_lease_ms),
            )
            self.sooner(max(now, self.asked_at + HERE))
        if m.leased and m.joined and m.version == self.version:
            length = (
                self.plan.prepared_lease_ms if self.stage is ParticipantStage.PREPARED else self.plan.lease_ms
            )
            self.lease_expiry_ms = max(self.lease_expiry_ms, self.request_sent_at_ms[m.number] + length)

    def got(self, change: str, version: int, policy: bytes, now: float) -> None:
        if change and not self.change_id:
            self.rejection_reason = self.check(policy)
            self.change_id, self.text = change, policy
            self.stage = ParticipantStage.REJECTED if self.rejection_reason else ParticipantStage.VALIDATED
            self.sooner(max(now, self.asked_at + HERE))
        elif not change and version == self.latest_version > self.version:
            self.adopt(version, policy)
            self.sooner(max(now, self.asked_at + HERE))

    def trust_operator(self, version: int, policy: bytes) -> str:
        """An operator's word for what is in force, where no leader will ever say it; "" or why not."""
        if self.plan.stands_aside_when_cut_off:
            return "it stands aside without a leader: when_cut_off is stand_aside"
        if self.is_member or version < self.version:
            return f"it has version {self.version} from a leader"
        said = self.check(policy) if policy else ""
        if not said:
            self.is_member, self.latest_version = True, version
            self.adopt(version, policy)
        return said

    def adopt(self, version: int, policy: bytes) -> None:
        self.version, self.policy = version, policy
