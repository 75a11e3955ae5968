"""One server's whole part in policies: one who decides, and where it is a voter, the agreement and its book.

Pure: messages, time and chance come in; messages go out, and what must be on disk before they may. `now` must
be read after the message was, and not before: what a leader promises rests on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from landingshift.consensus.raft import VOTERS, Message, Stored, Times, Voter
from landingshift.consensus.state_machines import Shelf
from landingshift.policies.book import Book, Change, End
from landingshift.policies.desk import Desk
from landingshift.policies.follower import Follower, Plan

COMPACT = 200  # entries after which the book takes their place
AGAIN = 300.0  # ms between two tries to bring an operator's word to the leader
ERRANDS = 32  # operators' words under way
ANSWERS = 256  # that are kept for whoever asks
LASTS = 120_000.0  # ms after which one that nobody answered is given up
ENDED = (End.TAKEN.value, End.REFUSED.value, End.WITHDRAWN.value)

decoder = msgspec.msgpack.Decoder(Message)


@dataclass(slots=True)
class Errand:
    """What an operator wants, on its way to the leader."""

    what: list[Any]
    since: float
    at: float
    tries: int = 0


class Part:
    """`out` gets (name, body); a body may be larger than a datagram. `stored`: what a voter has on disk."""

    def __init__(
        self,
        name: str,
        run: int,
        plan: Plan,
        check: Callable[[bytes], str],
        stored: Stored | None,
        chance: Random,
        now: float,
        wall: Callable[[], float],
        times: Times | None = None,
        most: int = 2000,
    ) -> None:
        self.name, self.run, self.plan = name, run, plan
        self.follower = Follower(name, run, plan, check, chance, now)
        self.voter: Voter | None = None
        self.book = Book(most)
        self.desk: Desk | None = None
        self.shelf = Shelf()
        self.shelf.add("policies", self.book)
        self.applied = 0
        if stored is not None:
            if stored.base:
                self.shelf.load(stored.state)
                self.applied = stored.base
            self.voter = Voter(name, plan.voters, stored, times or Times(), chance, now)
            self.desk = Desk(self.voter, self.book, plan, wall)
            self.follower.spare = True
        self.hearers: list[Callable[[float], None]] = []  # of other packages, told when entries were taken
        self.errands: dict[str, Errand] = {}
        self.answers: dict[str, dict[str, Any]] = {}
        self.out: list[tuple[str, list[Any]]] = []

    # The driver's

    def unsaved(self) -> Stored | None:
        return self.voter.unsaved() if self.voter is not None else None

    def saved(self, now: float) -> None:
        """What `unsaved` gave is on disk."""
        assert self.voter is not None
        self.voter.saved()
        self.advance(now)

    def next(self) -> float:
        due = [self.follower.next(), *(e.at for e in self.errands.values())]
        if self.voter is not None and self.desk is not None:
            due += [self.voter.due, self.desk.next()]
        return min(due)

    def tick(self, now: float) -> None:
        if self.voter is not None and self.desk is not None:
            self.voter.tick(now)
            self.advance(now)
            if now >= self.desk.next():
                self.desk.step(now)
            self.follower.named = self.voter.voters
        self.follower.step(now)
        for id in [i for i, e in self.errands.items() if e.at <= now]:
            self.carry(id, now)
        self.deliver(now)

    def hear(self, who: str, body: list[Any], now: float) -> None:
        self.take(who, body, now)
        self.deliver(now)

    def take_out(self) -> list[tuple[str, list[Any]]]:
        out, self.out = self.out, []
        if self.voter is not None:
            out += [(to, ["vote", msgspec.msgpack.encode(m)]) for to, m in self.voter.take_out()]
        return out

    # Messages

    def take(self, who: str, body: list[Any], now: float) -> None:
        match body:
            case ["vote", bytes(data)]:
                if self.voter is not None:
                    try:
                        message = decoder.decode(data)
                    except (msgspec.DecodeError, RecursionError):
                        return
                    self.voter.known = {*self.plan.voters, *self.follower.voters}
                    self.voter.hear(who, message, now)
                    self.advance(now)
            case ["here", *rest]:
                if self.desk is not None:
                    self.desk.here(who, rest, now, self.follower.leader if self.follower.joined else "")
                    if self.desk.next() <= now:
                        self.desk.step(now)
                elif len(rest) > 1 and isinstance(rest[1], int):
                    known = self.follower.leader if self.follower.joined else ""
                    self.out.append((who, ["ask", rest[1], known]))
            case ["want", str(change), int(version)]:
                if self.desk is not None:
                    self.desk.wants(who, change, version, now)
                elif not change and version == self.follower.version:
                    self.out.append((who, ["text", "", version, self.follower.policy]))
            case ["do", str(id), *what]:
                if self.desk is not None:
                    self.desk.do(who, id, what, now)
            case ["bye", int(run)]:
                if self.desk is not None and self.book.members.get(who) == run:
                    self.desk.do(who, f"bye {who}", ["gone", who, run], now)
            case ["found", str(id), str(end), int(version), str(said), list(waits)]:
                self.found(id, {"id": id, "end": end, "version": version, "said": said, "waits": waits})
            case _:
                self.follower.hear(who, body, now)

    def deliver(self, now: float) -> None:
        """To others, and what this server has to say to itself at once."""
        for _ in range(8):
            mine: list[list[Any]] = []
            for box in (self.follower.out, self.desk.out if self.desk is not None else []):
                for to, body in box:
                    if to == self.name:
                        mine.append(body)
                    else:
                        self.out.append((to, body))
                box.clear()
            for body in mine:
                self.take(self.name, body, now)
            if not mine:
                return

    def advance(self, now: float) -> None:
        """Applies what has been taken; the book stands in for old entries then."""
        voter, desk = self.voter, self.desk
        assert voter is not None and desk is not None
        if voter.stored.base > self.applied:  # a snapshot came
            self.shelf.load(voter.stored.state)
            self.applied = voter.stored.base
        if self.applied < voter.commit:
            for entry in voter.entries(self.applied, voter.commit):
                if not entry.data.startswith(VOTERS):
                    self.shelf.apply(entry.data)
            self.applied = voter.commit
            for hear in self.hearers:
                hear(now)
            desk.step_at = now
            desk.step(now)
            if voter.commit - voter.stored.base > COMPACT:
                voter.compact(self.applied, self.shelf.dump())

    # Operators

    def ask_for(self, id: str, what: list[Any], now: float) -> bool:
        """Brings it to the leader until that has an answer; False where too many are under way."""
        errand = self.errands.get(id)
        if errand is None:
            if len(self.errands) >= ERRANDS:
                return False
            self.errands[id] = Errand(what, now, now)
        elif what[0] != "find" and errand.what[0] != "propose":
            errand.what, errand.since = what, now
        return True

    def carry(self, id: str, now: float) -> None:
        errand = self.errands[id]
        errand.at = now + AGAIN
        if now - errand.since > LASTS:
            del self.errands[id]
            return
        body = ["do", id, *errand.what]
        leader = self.follower.leader
        errand.tries += 1  # a leader that is gone is found out late between changes
        for to in [leader] if leader and errand.tries == 1 else self.follower.voters:
            if to == self.name:
                self.take(to, body, now)
            else:
                self.out.append((to, body))

    def found(self, id: str, answer: dict[str, Any]) -> None:
        errand = self.errands.get(id)
        if errand is None:
            return
        self.answers[id] = answer
        if len(self.answers) > ANSWERS:
            del self.answers[next(iter(self.answers))]
        if answer["end"] in ENDED or errand.what[0] == "find":
            del self.errands[id]

    def known(self, id: str) -> dict[str, Any]:
        """The last word on a change, as far as this server has heard it; an end is the same for ever."""
        change = self.book.found(id) if self.voter is not None else None
        if change is not None and change.end is not End.OPEN:
            said, version = change.said, change.version
            return {"id": id, "end": change.end.value, "version": version, "said": said, "waits": []}
        if id in self.answers and self.answers[id]["end"] in ENDED:
            return self.answers[id]
        if id in self.follower.ends:
            end, version, said = self.follower.ends[id]
            return {"id": id, "end": end, "version": version, "said": said, "waits": []}
        nothing = {"id": id, "end": "unknown", "version": 0, "said": "no leader has told yet", "waits": []}
        return self.answers.get(id, nothing)

    def bye(self) -> None:
        """Its last word: it will decide nothing more."""
        self.out += [(to, ["bye", self.run]) for to in self.follower.voters if to != self.name]

    def changes(self) -> list[Change]:
        return list(self.book.changes.values())
