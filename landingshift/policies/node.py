"""One server's whole part in policies: one who decides, and where it is a voter, the agreement and its book.

Pure: messages, time and chance come in; messages go out, and what must be on disk before they may. `now` must
be read after the message was, and not before: what a leader promises rests on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from landingshift.consensus.errors import InvalidMessageError
from landingshift.consensus.messages import decode_message, encode_message
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft import RaftNode
from landingshift.consensus.state_machines import StateMachineRegistry
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.consensus.voters import is_voters_entry
from landingshift.policies.coordinator import ChangeCoordinator
from landingshift.policies.participant import ChangeParticipant, PolicySettings
from landingshift.policies.state_machine import Change, ChangeOutcome, PolicyStateMachine

COMPACT = 200  # entries after which the book takes their place
AGAIN = 300.0  # ms between two tries to bring an operator's word to the leader
ERRANDS = 32  # operators' words under way
ANSWERS = 256  # that are kept for whoever asks
LASTS = 120_000.0  # ms after which one that nobody answered is given up
FINAL_OUTCOMES = (ChangeOutcome.COMMITTED.value, ChangeOutcome.REJECTED.value, ChangeOutcome.WITHDRAWN.value)


@dataclass(slots=True)
class PendingOperatorCommand:
    """What an operator wants, on its way to the leader."""

    what: list[Any]
    since: float
    at: float
    tries: int = 0


class PolicyNode:
    """`out` gets (name, body); a body may be larger than a datagram. `stored`: what a voter has on disk."""

    def __init__(
        self,
        name: str,
        run: int,
        plan: PolicySettings,
        check: Callable[[bytes], str],
        stored: PersistentState | None,
        chance: Random,
        now: float,
        wall: Callable[[], float],
        times: RaftTimeouts | None = None,
        most: int = 2000,
    ) -> None:
        self.name, self.run, self.plan = name, run, plan
        self.participant = ChangeParticipant(name, run, plan, check, chance, now)
        self.raft: RaftNode | None = None
        self.book = PolicyStateMachine(most)
        self.coordinator: ChangeCoordinator | None = None
        self.state_machines = StateMachineRegistry()
        self.state_machines.register("policies", self.book)
        self.applied = 0
        if stored is not None:
            if stored.last_included_index:
                self.state_machines.restore(stored.snapshot)
                self.applied = stored.last_included_index
            self.raft = RaftNode(name, plan.voters, stored, times or RaftTimeouts(), chance, now)
            self.coordinator = ChangeCoordinator(self.raft, self.book, plan, wall)
            self.participant.can_become_voter = True
        self.commit_listeners: list[
            Callable[[float], None]
        ] = []  # of other packages, told when entries were taken
        self.pending_commands: dict[str, PendingOperatorCommand] = {}
        self.change_statuses: dict[str, dict[str, Any]] = {}
        self.out: list[tuple[str, list[Any]]] = []

    # The driver's

    def unsaved_state(self) -> PersistentState | None:
        return self.raft.unsaved_state() if self.raft is not None else None

    def on_state_saved(self, now: float) -> None:
        """What `unsaved` gave is on disk."""
        assert self.raft is not None
        self.raft.on_state_saved()
        self.advance(now)

    def next_deadline_ms(self) -> float:
        due = [self.participant.next_deadline_ms(), *(e.at for e in self.pending_commands.values())]
        if self.raft is not None and self.coordinator is not None:
            due += [self.raft.next_deadline_ms, self.coordinator.next_deadline_ms()]
        return min(due)

    def tick(self, now: float) -> None:
        if self.raft is not None and self.coordinator is not None:
            self.raft.tick(now)
            self.advance(now)
            if now >= self.coordinator.next_deadline_ms():
                self.coordinator.step(now)
            self.participant.own_log_voters = self.raft.voters
        self.participant.tick(now)
        for id in [i for i, e in self.pending_commands.items() if e.at <= now]:
            self.forward_command(id, now)
        self.deliver_messages(now)

    def on_message(self, who: str, body: list[Any], now: float) -> None:
        self.dispatch(who, body, now)
        self.deliver_messages(now)

    def take_outgoing(self) -> list[tuple[str, list[Any]]]:
        out, self.out = self.out, []
        if self.raft is not None:
            out += [(to, ["vote", encode_message(m)]) for to, m in self.raft.take_outgoing()]
        return out

    # Messages

    def dispatch(self, who: str, body: list[Any], now: float) -> None:
        match body:
            case ["vote", bytes(data)]:
                if self.raft is not None:
                    try:
                        message = decode_message(data)
                    except InvalidMessageError:
                        return
                    self.raft.additional_senders = {*self.plan.voters, *self.participant.voters}
                    self.raft.on_message(who, message, now)
                    self.advance(now)
            case ["here", *rest]:
                if self.coordinator is not None:
                    self.coordinator.here(
                        who, rest, now, self.participant.leader if self.participant.is_member else ""
                    )
                    if self.coordinator.next_deadline_ms() <= now:
                        self.coordinator.step(now)
                elif len(rest) > 1 and isinstance(rest[1], int):
                    known = self.participant.leader if self.participant.is_member else ""
                    self.out.append((who, ["ask", rest[1], known]))
            case ["want", str(change), int(version)]:
                if self.coordinator is not None:
                    self.coordinator.wants(who, change, version, now)
                elif not change and version == self.participant.version:
                    self.out.append((who, ["text", "", version, self.participant.policy]))
            case ["do", str(id), *what]:
                if self.coordinator is not None:
                    self.coordinator.do(who, id, what, now)
            case ["bye", int(run)]:
                if self.coordinator is not None and self.book.members.get(who) == run:
                    self.coordinator.do(who, f"bye {who}", ["gone", who, run], now)
            case ["found", str(id), str(end), int(version), str(said), list(waits)]:
                self.found(id, {"id": id, "end": end, "version": version, "said": said, "waits": waits})
            case _:
                self.participant.on_message(who, body, now)

    def deliver_messages(self, now: float) -> None:
        """To others, and what this server has to say to itself at once."""
        for _ in range(8):
            mine: list[list[Any]] = []
            for box in (
                self.participant.outbox,
                self.coordinator.out if self.coordinator is not None else [],
            ):
                for to, body in box:
                    if to == self.name:
                        mine.append(body)
                    else:
                        self.out.append((to, body))
                box.clear()
            for body in mine:
                self.dispatch(self.name, body, now)
            if not mine:
                return

    def advance(self, now: float) -> None:
        """Applies what has been taken; the book stands in for old entries then."""
        voter, desk = self.raft, self.coordinator
        assert voter is not None and desk is not None
        if voter.persistent_state.last_included_index > self.applied:  # a snapshot came
            self.state_machines.restore(voter.persistent_state.snapshot)
            self.applied = voter.persistent_state.last_included_index
        if self.applied < voter.commit_index:
            for entry in voter.entries_between(self.applied, voter.commit_index):
                if not is_voters_entry(entry.data):
                    self.state_machines.apply(entry.data)
            self.applied = voter.commit_index
            for hear in self.commit_listeners:
                hear(now)
            desk.step_at = now
            desk.step(now)
            if voter.commit_index - voter.persistent_state.last_included_index > COMPACT:
                voter.compact(self.applied, self.state_machines.snapshot())

    # Operators

    def submit_command(self, id: str, what: list[Any], now: float) -> bool:
        """Brings it to the leader until that has an answer; False where too many are under way."""
        errand = self.pending_commands.get(id)
        if errand is None:
            if len(self.pending_commands) >= ERRANDS:
                return False
            self.pending_commands[id] = PendingOperatorCommand(what, now, now)
        elif what[0] != "find" and errand.what[0] != "propose":
            errand.what, errand.since = what, now
        return True

    def forward_command(self, id: str, now: float) -> None:
        errand = self.pending_commands[id]
        errand.at = now + AGAIN
        if now - errand.since > LASTS:
            del self.pending_commands[id]
            return
        body = ["do", id, *errand.what]
        leader = self.participant.leader
        errand.tries += 1  # a leader that is gone is found out late between changes
        for to in [leader] if leader and errand.tries == 1 else self.participant.voters:
            if to == self.name:
                self.dispatch(to, body, now)
            else:
                self.out.append((to, body))

    def found(self, id: str, answer: dict[str, Any]) -> None:
        errand = self.pending_commands.get(id)
        if errand is None:
            return
        self.change_statuses[id] = answer
        if len(self.change_statuses) > ANSWERS:
            del self.change_statuses[next(iter(self.change_statuses))]
        if answer["end"] in FINAL_OUTCOMES or errand.what[0] == "find":
            del self.pending_commands[id]

    def change_status(self, id: str) -> dict[str, Any]:
        """The last word on a change, as far as this server has heard it; an end is the same for ever."""
        change = self.book.find_change(id) if self.raft is not None else None
        if change is not None and change.end is not ChangeOutcome.PENDING:
            said, version = change.said, change.version
            return {"id": id, "end": change.end.value, "version": version, "said": said, "waits": []}
        if id in self.change_statuses and self.change_statuses[id]["end"] in FINAL_OUTCOMES:
            return self.change_statuses[id]
        if id in self.participant.ended_changes:
            end, version, said = self.participant.ended_changes[id]
            return {"id": id, "end": end, "version": version, "said": said, "waits": []}
        nothing = {"id": id, "end": "unknown", "version": 0, "said": "no leader has told yet", "waits": []}
        return self.change_statuses.get(id, nothing)

    def announce_departure(self) -> None:
        """Its last word: it will decide nothing more."""
        self.out += [(to, ["bye", self.run]) for to in self.participant.voters if to != self.name]

    def list_changes(self) -> list[Change]:
        return list(self.book.changes.values())
