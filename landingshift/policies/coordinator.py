"""The leader's work on a change: who has answered, when all are armed, when it is over. Pure.

Everything here may be lost with its leader: the next one asks anew. What must not be lost is in the book.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from landingshift.consensus.raft import RaftNode
from landingshift.policies.participant import ParticipantStage, PolicySettings
from landingshift.policies.state_machine import ChangeOutcome, PolicyStateMachine, command

UNEVEN = 0.02  # share of a lease by which two monotonic clocks may run apart in it
LOOK = 150.0  # ms between two looks sent to who has not answered yet
LOOKS = 5000.0  # ms after a switch for which those are sent
NAMED = 5  # of those that a change waits for, in its reason
JOINS = 256  # that one entry takes
STEP = 50.0  # ms between two looks at how far a change is
IDLE = 500.0


@dataclass(slots=True, eq=False)
class Ack:
    """What a server said last, and when it was last given a lease."""

    run: int
    version: int
    change: str
    stage: str
    said: str
    leased_at: float
    spare: bool  # it has a journal, so that it could be a voter


class ChangeCoordinator:
    def __init__(
        self, voter: RaftNode, book: PolicyStateMachine, plan: PolicySettings, wall: Callable[[], float]
    ) -> None:
        """`wall`: Unix ms, for what people read; nothing is decided by it."""
        self.raft, self.book, self.plan, self.wall = voter, book, plan, wall
        self.out: list[tuple[str, list[Any]]] = []
        self.term = 0
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """A term that this voter leads; grants of earlier leaders are older than it."""
        self.since, self.status_reports = now, dict[str, Ack]()
        self.joining: dict[str, int] = {}
        self.switching_change_id, self.switch_at = "", 0  # the change, and the index of its entry
        self.change, self.phase, self.opened = "", "", now
        self.over = ""  # the change whose end was proposed
        self.looked, self.step_at = -1e9, now
        self.joins_at = 0
        self.version, self.switched = self.book.version, -1e9
        self.asked: dict[str, int] = {}  # proposals by their entries' index

    def leads(self, now: float) -> bool:
        if not self.raft.has_leader_lease(now):
            return False
        if self.raft.current_term != self.term:
            self.term = self.raft.current_term
            self.begin(now)
        return True

    def next_deadline_ms(self) -> float:
        return self.step_at

    # What servers ask

    def here(self, who: str, body: list[Any], now: float, known: str = "") -> None:
        """`known`: the leader that answers this server's own requests. A replaced voter hears of none
        any more, and whoever knows only the voters of its settings asks nobody else."""
        match body:
            case [int(run), int(number), int(version), str(change), str(stage), str(said), mark, bool(spare)]:
                pass
            case _:
                return
        if not self.leads(now):
            leader = self.raft.leader or known
            self.out.append((who, ["ask", number, "" if leader == self.raft.name else leader]))
            return
        if mark != self.plan.fingerprint:
            why = f"its [policies] is another than {self.raft.name}'s: {mark}, not {self.plan.fingerprint}"
            self.out.append((who, ["no", number, why[:200]]))
            return
        book = self.book
        joined = book.members.get(who) == run
        if not joined and who not in book.members and len(book.members) >= book.most:
            self.out.append((who, ["no", number, f"{book.most} members are counted, which is the most"]))
            return
        if not joined and len(self.joining) < JOINS:
            self.joining[who] = run
            self.step_at = now
        had = self.status_reports.get(who)
        leased_at = had.leased_at if had is not None else -1e9
        # Nobody gets a lease for the old version once the switch may be agreed on.
        leased = joined and not self.switching_change_id
        self.status_reports[who] = Ack(run, version, change, stage, said, now if leased else leased_at, spare)
        if had is None or (had.change, had.stage) != (change, stage):
            self.step_at = now
        ended: list[Any] = []
        if change and change != book.pending_change_id:
            found = book.find_change(change)
            ended = [change, found.end.value, found.version, found.said[:200]] if found is not None else []
        told = ["told", number, joined, book.version, book.pending_change_id, self.want_of(), ended, leased]
        told.append(list(self.raft.voters))
        self.out.append((who, told))

    def want_of(self) -> str:
        return (
            self.phase
            if self.change == self.book.pending_change_id
            else "check"
            if self.book.pending_change_id
            else ""
        )

    def wants(self, who: str, change: str, version: int, now: float) -> None:
        """The text of the change under way, or of the version in force."""
        if change and change == self.book.pending_change_id:
            self.out.append((who, ["text", change, 0, self.book.changes[change].policy]))
        elif not change and version == self.book.version:
            self.out.append((who, ["text", "", version, self.book.texts[version]]))

    # What operators ask

    def do(self, who: str, id: str, what: list[Any], now: float) -> None:
        if not self.leads(now):
            return
        book, found = self.book, self.book.find_change(id)
        match what:
            case ["propose", bytes(policy), str(by), str(why)] if found is None:
                self.propose(id, command("propose", id, policy, by, why, self.wall()))
            case ["withdraw", str(by), str(why)] if found is None or found.end is ChangeOutcome.PENDING:
                said = f"withdrawn by {by}: {why}"
                self.propose(
                    f"{id} withdrawn", command("end", id, ChangeOutcome.WITHDRAWN.value, said, self.wall())
                )
            case ["voters", str(how), str(name)]:
                why = self.voters(how, name, now)
                end = "unknown" if why else ChangeOutcome.COMMITTED.value
                said = why or f"voters are {', '.join(self.raft.voters)}"
                self.out.append((who, ["found", id, end, 0, said, []]))
                return
            case ["gone", str(name), int(run)]:
                # That run and no other: the word may come late, and the machine be back by then.
                if book.members.get(name) == run:
                    self.propose(f"{name} {run} gone", command("gone", name, run))
                else:
                    self.out.append(
                        (
                            who,
                            [
                                "found",
                                id,
                                ChangeOutcome.COMMITTED.value,
                                0,
                                f"that run of {name} is not counted",
                                [],
                            ],
                        )
                    )
                return
        if found is not None:
            waits = [list(w) for w in self.unprepared_members(now)] if id == book.pending_change_id else []
            self.out.append((who, ["found", id, found.end.value, found.version, found.said, waits[:64]]))
        elif book.full:
            self.out.append((who, ["found", id, "unknown", 0, "the book is full", []]))
        elif what[:1] == ["find"]:
            self.out.append((who, ["found", id, "unknown", 0, "nobody has proposed it here", []]))

    def propose(self, key: str, data: bytes) -> None:
        """Once for each key until its entry is applied: doubles do no harm, this keeps them few."""
        if self.asked.get(key, 0) <= self.raft.commit_index:
            index = self.raft.propose(data)
            if index is not None:
                self.asked[key] = index

    def voters(self, how: str, name: str, now: float) -> str:
        """Why the voters are not yet as wanted; empty once they are and all that is agreed on."""
        voter, there = self.raft, name in self.raft.voters
        if there is (how == "add"):
            return "" if voter.is_voter_change_committed else "it is being agreed on"
        if how == "add":
            ack = self.status_reports.get(name)
            if ack is None or not ack.spare or self.book.members.get(name) != ack.run:
                return f"{name} is not there with a journal"
            new = (*voter.voters, name)
        else:
            new = tuple(v for v in voter.voters if v != name)
            here = [v for v in new if v == voter.name or voter.has_recent_response(v, now)]
            if 2 * len(here) <= len(new):
                return f"only {', '.join(here)} would be left of {', '.join(new)}"
        voter.change_voters(new, now)
        return "it is being agreed on"

    # How far a change is

    def lapsed(self, name: str, now: float) -> bool:
        """Whether it stands aside for certain: what it was given last has run out, by its own clock too."""
        if not self.plan.stands_aside_when_cut_off:
            return False
        ack = self.status_reports.get(name)
        at = max(self.since, ack.leased_at) if ack is not None else self.since
        return now - at > self.plan.lease_ms * (1.0 + UNEVEN) + self.plan.clock_margin_ms

    def unprepared_members(self, now: float) -> list[tuple[str, str]]:
        """Members that are not armed, and how far each is; "away" for one that says nothing."""
        found = []
        for name, run in self.book.members.items():
            ack = self.status_reports.get(name)
            fresh = ack is not None and ack.run == run and ack.change == self.book.pending_change_id
            stage = ack.stage if ack is not None and fresh else "away"
            if stage != ParticipantStage.PREPARED and not self.lapsed(name, now):
                found.append((name, stage))
        return found

    def step(self, now: float) -> None:
        if not self.leads(now):
            self.step_at = now + IDLE
            return
        book = self.book
        self.step_at = now + (STEP if book.pending_change_id or self.joining else IDLE)
        self.asked = {key: index for key, index in self.asked.items() if index > self.raft.commit_index}
        self.join()
        if self.version != book.version:
            self.version, self.switched = book.version, now
            self.looked = -1e9
        if self.switching_change_id and (
            book.pending_change_id != self.switching_change_id or self.raft.commit_index >= self.switch_at
        ):
            self.switching_change_id = ""  # taken, or void since a member came
        if book.pending_change_id != self.change:
            self.change, self.phase, self.opened = book.pending_change_id, "check", now
            self.looked = -1e9
        if book.pending_change_id:
            self.drive(now)
        self.look(now)

    def join(self) -> None:
        new = [[n, r] for n, r in self.joining.items() if self.book.members.get(n) != r]
        if not new:
            self.joining.clear()
        elif (
            self.joins_at <= self.raft.commit_index and not self.switching_change_id
        ):  # it would make the switch void
            index = self.raft.propose(command("join", new))
            if index is not None:
                self.joins_at = index

    def drive(self, now: float) -> None:
        book, id = self.book, self.book.pending_change_id
        if self.switching_change_id or self.over == id:
            return
        waits = self.unprepared_members(now)
        refused = next((n for n, stage in waits if stage == ParticipantStage.REJECTED), "")
        if refused:
            self.end(id, ChangeOutcome.REJECTED, f"{refused}: {self.status_reports[refused].said}")
        elif now - self.opened > self.plan.change_timeout_ms:
            names = ", ".join(f"{n} ({stage or 'no text yet'})" for n, stage in waits[:NAMED])
            more = f" and {len(waits) - NAMED} more" if len(waits) > NAMED else ""
            self.end(id, ChangeOutcome.WITHDRAWN, f"not in time; it waited for {names}{more}")
        elif not waits and book.members and not self.joining:
            index = self.raft.propose(command("switch", id, book.joins))
            if index is not None:
                self.switching_change_id, self.switch_at = id, index
        elif self.phase == "check" and all(stage == ParticipantStage.VALIDATED for _, stage in waits):
            self.phase, self.looked = "arm", -1e9

    def end(self, id: str, end: ChangeOutcome, said: str) -> None:
        if self.raft.propose(command("end", id, end.value, said, self.wall())) is not None:
            self.over = id

    def look(self, now: float) -> None:
        """Asks those to come that are behind what is wanted of them."""
        if now - self.looked < LOOK:
            return
        book, after = self.book, now - self.switched < LOOKS
        if not book.pending_change_id and not after:
            return
        self.looked = now
        aim = {
            "check": (ParticipantStage.VALIDATED, ParticipantStage.PREPARED),
            "arm": (ParticipantStage.PREPARED,),
        }.get(self.phase, ())
        for name, run in book.members.items():
            ack = self.status_reports.get(name)
            if ack is None or ack.run != run or ack.version < book.version:
                behind = True
            else:
                behind = bool(book.pending_change_id) and (
                    ack.change != book.pending_change_id or ack.stage not in aim
                )
                behind = behind or (not book.pending_change_id and bool(ack.change))  # armed for what is over
            if behind:
                self.out.append((name, ["look"]))
