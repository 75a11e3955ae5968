"""One sequence of entries among a few voters, though they crash, stop and are cut off.

After Raft's paper, with pre-votes and a leader that steps down without a majority. Pure: time, chance and
messages come in; messages go out, and what must be on disk before they may. The driver's part of the bargain:
`unsaved()` is written and synced, then `saved()` is called, then `take_out()` gives the messages that rest on
it. A voter that lost what it had saved must not come back under its name.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

BATCH = 16  # entries in a message
OUT = 1024  # messages that may wait for the driver
MAX_LOG_ENTRIES = 10_000  # entries that are kept after the last snapshot
ROUNDS = 64  # beats whose times a leader keeps
LEASE_FRACTION = 0.9  # share of `wait` for which a leader may count on the promise of those who heard it

MOST = 9  # voters, while one is replaced
VOTERS_ENTRY_PREFIX = (
    b"\xc1"  # an entry that begins so names the voters from then on; no other data does, being msgpack
)

Index = Annotated[int, Meta(ge=0, le=2**53)]


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # whether it would be elected, before it disturbs anybody (pre-vote)
    CANDIDATE = "candidate"
    LEADER = "leader"


class LogEntry(Struct, array_like=True, frozen=True):
    term: Index
    data: bytes


@dataclass(slots=True)
class PersistentState:
    """What a voter has on disk. `base` is the last index that the snapshot `state` covers."""

    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    state: bytes = b""
    entries: list[LogEntry] = field(default_factory=list)
    voters: tuple[str, ...] = ()  # as of `base`; empty: those of the settings


class RequestVote(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="a"):
    """For a vote, or `pre`: whether there would be one."""

    term: Index
    last: Index
    last_term: Index
    pre: bool


class VoteResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="v"):
    term: Index
    given: bool
    pre: bool


class AppendEntries(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="e"):
    """Entries after `before`; none of them is a beat. `round` tells answers to old ones from new."""

    term: Index
    before: Index
    before_term: Index
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=BATCH)]
    commit: Index
    round: Index


class AppendEntriesResponse(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="r"):
    """`match`: up to where the logs are alike; where `good` is False, from where to try."""

    term: Index
    good: bool
    match: Index
    round: Index


class InstallSnapshot(Struct, array_like=True, frozen=True, forbid_unknown_fields=True, tag="i"):
    """A snapshot for one that is further behind than the log goes back."""

    term: Index
    base: Index
    base_term: Index
    state: bytes
    round: Index
    voters: Annotated[tuple[str, ...], Meta(max_length=MOST)] = ()


Message = RequestVote | VoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """ms. An election waits `wait` up to twice that; a leader without a majority for `wait` steps down."""

    heartbeat_interval_ms: float = 150.0
    election_timeout_ms: float = 900.0


class RaftNode:
    """`voters` are all names until the log names others; one that is not among them only follows.

    Voters change one at a time: the newest set in the log counts from then on, taken or not, and majorities
    of two sets that differ by one name always share a voter.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        stored: PersistentState,
        times: RaftTimeouts,
        chance: Random,
        now: float,
    ) -> None:
        self.name, self.first, self.times, self.chance = name, voters, times, chance
        self.persistent_state = stored
        self.known: set[str] = set(voters)  # who may be heard, also before the log names them
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = stored.base
        self.votes: set[str] = set()
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.heard: dict[str, float] = {}  # when each other last answered the leader
        self.heartbeat_round = 0
        self.round_at: dict[int, float] = {}  # when the last rounds went out
        self.acked_at: dict[str, float] = {}  # when the round went out that each other answered last
        self.synced = self.last_log_index  # up to where this voter's own log is on disk
        self.changed = False  # term, vote, snapshot or entries wait to be saved
        self.outbox: list[tuple[str, Message]] = []
        self.now = self.leader_at = now
        self.next_deadline_ms = 0.0
        self.patience()
        self.know()

    # Who votes

    def know(self) -> None:
        """The newest voters of the log; called whenever such an entry comes or goes."""
        sets = [(0, self.persistent_state.voters or self.first)]
        for index in range(self.last_log_index, self.persistent_state.base, -1):
            found = self.names(index)
            if found:
                sets.insert(1, (index, found))
                if len(sets) == 3:
                    break
        self.named, self.voters = sets[-1]
        self.before = sets[-2][1] if len(sets) > 1 else self.voters  # the set that this one took the place of
        self.peers = tuple(v for v in self.voters if v != self.name)
        for other in self.peers if self.role is Role.LEADER else ():
            self.next.setdefault(other, self.last_log_index + 1)
            self.match.setdefault(other, 0)
            self.heard.setdefault(other, self.now)

    def names(self, index: int) -> tuple[str, ...]:
        data = self.persistent_state.entries[index - self.persistent_state.base - 1].data
        if not data.startswith(VOTERS_ENTRY_PREFIX):
            return ()
        return tuple(msgspec.msgpack.decode(data[len(VOTERS_ENTRY_PREFIX) :], type=list[str]))

    @property
    def votes_too(self) -> bool:
        return self.name in self.voters

    @property
    def stands(self) -> bool:
        """Whether it may be elected. One that is removed is, too, until that is taken: it may be the only one
        that has the entry, and those who are left can't win over its longer log."""
        return self.votes_too or (self.named > self.commit_index and self.name in self.before)

    def change_voters(self, voters: tuple[str, ...], now: float) -> int | None:
        """The entry's index; None where it can't be just now: one at a time, by one that leads for sure."""
        one = len(set(voters) ^ set(self.voters)) == 1 and 1 <= len(voters) <= MOST
        if not one or self.named > self.commit_index or not self.has_leader_lease(now):
            return None
        index = self.propose(VOTERS_ENTRY_PREFIX + msgspec.msgpack.encode(list(voters)))
        self.know()
        return index

    # The log

    @property
    def last_log_index(self) -> int:
        return self.persistent_state.base + len(self.persistent_state.entries)

    def term_at(self, index: int) -> int | None:
        """None before the snapshot and past the end."""
        s = self.persistent_state
        if index == s.base:
            return s.base_term
        return s.entries[index - s.base - 1].term if s.base < index <= self.last_log_index else None

    def entries_between(self, after: int, up_to: int) -> list[LogEntry]:
        """Those past `after` up to `up_to`, as far as the log goes back."""
        base = self.persistent_state.base
        return self.persistent_state.entries[max(0, after - base) : max(0, up_to - base)]

    def compact(self, index: int, state: bytes) -> None:
        """The application's state up to `index`, which is committed, stands for the entries."""
        if self.persistent_state.base < index <= self.commit_index:
            term = self.term_at(index)
            assert term is not None
            s = self.persistent_state
            named = [found for i in range(s.base + 1, index + 1) if (found := self.names(i))]
            s.voters = named[-1] if named else s.voters
            s.entries = s.entries[index - s.base :]
            s.base, s.base_term, s.state = index, term, state
            self.changed = True

    # The driver's

    def unsaved_state(self) -> PersistentState | None:
        return self.persistent_state if self.changed else None

    def on_state_saved(self) -> None:
        """What `unsaved` gave is on disk."""
        self.changed, self.synced = False, self.last_log_index
        if self.role is Role.LEADER:
            self.count()

    def take_outgoing(self) -> list[tuple[str, Message]]:
        """Nothing that rests on what a crash could still take back."""
        if self.changed:
            return []
        out, self.outbox = self.outbox, []
        return out

    def send(self, to: str, message: Message) -> None:
        if len(self.outbox) < OUT:
            self.outbox.append((to, message))

    # Time

    def patience(self) -> None:
        self.next_deadline_ms = self.now + self.times.election_timeout_ms * self.chance.uniform(1.0, 2.0)

    def tick(self, now: float) -> None:
        self.now = now
        if now < self.next_deadline_ms:
            return
        if self.role is Role.LEADER:
            here = (
                sum(now - self.heard[other] < self.times.election_timeout_ms for other in self.peers)
                + self.votes_too
            )
            if not self.most(here):
                self.follow(
                    self.persistent_state.term, ""
                )  # it may be cut off: whoever asks must not rely on it
                return
            self.next_deadline_ms = now + self.times.heartbeat_interval_ms
            self.beat()
        elif self.stands:
            self.request_votes(True)
        else:
            self.patience()

    def has_leader_lease(self, now: float) -> bool:
        """Whether this leads, knows all that was taken before, and nobody else can lead just now.

        Who answered a beat gives no vote for `wait` after it; a majority of them is in any majority. So what
        is said while this holds is older than anything a later leader does.
        """
        if self.role is not Role.LEADER or self.term_at(self.commit_index) != self.persistent_state.term:
            return False
        own = now if self.votes_too else -1e9
        since = sorted([own, *(self.acked_at.get(other, -1e9) for other in self.peers)], reverse=True)
        return now < since[len(self.voters) // 2] + self.times.election_timeout_ms * LEASE_FRACTION

    def most(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    # Elections

    @property
    def current_term(self) -> int:
        return self.persistent_state.term

    def start_election(self) -> None:
        self.request_votes(False)

    def request_votes(self, pre: bool) -> None:
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        self.leader = ""
        self.votes = {self.name}
        if not pre:
            self.persistent_state.term, self.persistent_state.vote, self.changed = (
                self.persistent_state.term + 1,
                self.name,
                True,
            )
        self.patience()
        term = self.persistent_state.term + 1 if pre else self.persistent_state.term
        last_term = self.term_at(self.last_log_index)
        assert last_term is not None
        for other in self.peers:
            self.send(other, RequestVote(term, self.last_log_index, last_term, pre))
        self.elected()

    def elected(self) -> None:
        if not self.most(len(self.votes & set(self.voters))):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.request_votes(False)
        elif self.role is Role.CANDIDATE:
            self.role, self.leader = Role.LEADER, self.name
            self.next = dict.fromkeys(self.peers, self.last_log_index + 1)
            self.match = dict.fromkeys(self.peers, 0)
            self.heard = dict.fromkeys(self.peers, self.now)
            self.acked_at.clear()
            self.next_deadline_ms = self.now + self.times.heartbeat_interval_ms
            # An entry of its own term commits all before it; without one they would wait for the next change.
            self.persistent_state.entries.append(LogEntry(self.persistent_state.term, b""))
            self.changed = True
            self.beat()

    @property
    def content(self) -> bool:
        """It leads, or heard a leader lately: what that one may count on is that no other is chosen."""
        return self.role is Role.LEADER or self.now - self.leader_at < self.times.election_timeout_ms

    def asked(self, who: str, m: RequestVote) -> None:
        mine = self.term_at(self.last_log_index)
        assert mine is not None
        good = (m.last_term, m.last) >= (mine, self.last_log_index)
        if m.pre:
            # Who hears a leader wants no other: a voter that was cut off must not unseat it on its return.
            self.send(
                who,
                VoteResponse(m.term, good and not self.content and m.term > self.persistent_state.term, True),
            )
            return
        if m.term < self.persistent_state.term:
            self.send(who, VoteResponse(self.persistent_state.term, False, False))
            return
        given = good and self.persistent_state.vote in ("", who)
        if given and self.persistent_state.vote != who:
            self.persistent_state.vote, self.changed = who, True
        if given:
            self.patience()
        self.send(who, VoteResponse(m.term, given, False))

    def voted(self, who: str, m: VoteResponse) -> None:
        if not m.given:
            return
        if (m.pre and self.role is Role.PRE_CANDIDATE and m.term == self.persistent_state.term + 1) or (
            not m.pre and self.role is Role.CANDIDATE and m.term == self.persistent_state.term
        ):
            self.votes.add(who)
            self.elected()

    def follow(self, term: int, leader: str) -> None:
        if term > self.persistent_state.term:
            self.persistent_state.term, self.persistent_state.vote, self.changed = term, "", True
        self.role, self.leader = Role.FOLLOWER, leader
        self.patience()

    # Entries

    def propose(self, data: bytes) -> int | None:
        """Its index, known to be taken once `commit` reaches it in this term; None where this leads not."""
        if self.role is not Role.LEADER or len(self.persistent_state.entries) >= MAX_LOG_ENTRIES:
            return None
        self.persistent_state.entries.append(LogEntry(self.persistent_state.term, data))
        self.changed = True
        self.beat()
        return self.last_log_index

    def beat(self) -> None:
        self.heartbeat_round += 1
        self.round_at[self.heartbeat_round] = self.now
        self.round_at.pop(self.heartbeat_round - ROUNDS, None)
        for other in self.peers:
            self.feed(other)

    def feed(self, other: str) -> None:
        s, before = self.persistent_state, self.next[other] - 1
        term = self.term_at(before)
        if term is None:
            self.send(
                other, InstallSnapshot(s.term, s.base, s.base_term, s.state, self.heartbeat_round, s.voters)
            )
            return
        some = tuple(self.entries_between(before, before + BATCH))
        self.send(other, AppendEntries(s.term, before, term, some, self.commit_index, self.heartbeat_round))

    def append(self, who: str, m: AppendEntries) -> None:
        if m.term < self.persistent_state.term:
            self.send(who, AppendEntriesResponse(self.persistent_state.term, False, 0, m.round))
            return
        self.hear_leader(who, m.term)
        s = self.persistent_state
        before, entries = m.before, m.entries
        if before < s.base:  # the snapshot has those already
            entries, before = entries[s.base - before :], s.base
        elif self.term_at(before) != m.before_term:
            # Back by the whole term at once, not entry by entry.
            back = min(before - 1, self.last_log_index)
            wrong = self.term_at(back)
            while back > s.base and self.term_at(back) == wrong and back > self.commit_index:
                back -= 1
            self.send(who, AppendEntriesResponse(s.term, False, max(back, self.commit_index), m.round))
            return
        for i, entry in enumerate(entries, before + 1):
            if self.term_at(i) != entry.term:
                gone = self.last_log_index >= i
                del s.entries[i - s.base - 1 :]
                s.entries.append(entry)
                self.changed = True
                if gone or entry.data.startswith(VOTERS_ENTRY_PREFIX):
                    self.know()
        match = before + len(entries)
        self.commit_index = max(self.commit_index, min(m.commit, match))
        self.send(who, AppendEntriesResponse(s.term, True, match, m.round))

    def hear_leader(self, who: str, term: int) -> None:
        self.follow(term, who)
        self.leader_at = self.now

    def install(self, who: str, m: InstallSnapshot) -> None:
        s = self.persistent_state
        if m.term < s.term:
            self.send(who, AppendEntriesResponse(s.term, False, 0, m.round))
            return
        self.hear_leader(who, m.term)
        if m.base > self.commit_index:
            s.entries = s.entries[m.base - s.base :] if self.term_at(m.base) == m.base_term else []
            s.base, s.base_term, s.state, self.changed = m.base, m.base_term, m.state, True
            s.voters, self.commit_index = m.voters, m.base
            self.know()
        self.send(who, AppendEntriesResponse(s.term, True, max(m.base, 0), m.round))

    def appended(self, who: str, m: AppendEntriesResponse) -> None:
        if self.role is not Role.LEADER or m.term != self.persistent_state.term or who not in self.peers:
            return
        self.heard[who] = self.now
        if m.round in self.round_at:
            self.acked_at[who] = max(self.acked_at.get(who, -1e9), self.round_at[m.round])
        if m.good:
            self.match[who] = max(self.match[who], m.match)
            self.next[who] = max(self.next[who], self.match[who] + 1)
            self.count()
            if self.next[who] <= self.last_log_index and m.round == self.heartbeat_round:
                self.feed(who)
        else:
            self.next[who] = max(self.match[who] + 1, min(self.next[who] - 1, m.match + 1))
            if m.round == self.heartbeat_round:
                self.feed(who)

    def count(self) -> None:
        """Commits what a majority has on disk, if its last entry is of this term."""
        own = self.synced if self.votes_too else 0
        places = sorted([own, *(self.match[other] for other in self.peers)], reverse=True)
        index = places[len(self.voters) // 2]
        if index > self.commit_index and self.term_at(index) == self.persistent_state.term:
            self.commit_index = index
            if not self.votes_too and self.named <= index:
                self.follow(self.persistent_state.term, "")  # it led its own leaving to the end

    # Hearing

    def on_message(self, who: str, message: Message, now: float) -> None:
        if who == self.name or (who not in self.peers and who not in self.known):
            return
        self.now = now
        term = message.term
        if isinstance(message, RequestVote) and not message.pre and self.content and who != self.leader:
            return  # not even its term: it would unseat the leader that others were promised to
        # A pre-vote is about a term that nobody is in yet.
        about = isinstance(message, RequestVote | VoteResponse) and message.pre
        if term > self.persistent_state.term and not about:
            self.follow(term, "")
        match message:
            case RequestVote():
                self.asked(who, message)
            case VoteResponse():
                self.voted(who, message)
            case AppendEntries():
                self.append(who, message)
            case InstallSnapshot():
                self.install(who, message)
            case AppendEntriesResponse():
                self.appended(who, message)
