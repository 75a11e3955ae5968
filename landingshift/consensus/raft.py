"""One Raft node: roles, terms and what is committed, after Raft's paper with pre-votes and check quorum.

Guarantee: all nodes commit the same entries in the same order, through crashes, pauses and cut networks.
Failure mode: without a majority nothing is committed and no leader is elected; a leader that lacks contact
with a majority for an election timeout steps down.

Pure: time, chance and messages come in; messages go out. The driver's part: what `unsaved_state` gives is
written and synced, then `on_state_saved` is called, then `take_outgoing` gives the messages that rest on it.
A node that lost what it had saved must not come back under its name.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from landingshift.consensus import election
from landingshift.consensus.log_replication import LeaderReplication, Outbox, append_from_leader
from landingshift.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LogEntry,
    Message,
    RequestVote,
    VoteResponse,
)
from landingshift.consensus.persistent_state import DurableState, PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.consensus.voters import VoterConfiguration, encode_voters_entry

MAX_LOG_ENTRY_COUNT = 10_000  # after the last snapshot; a full log takes no proposals


class Role(Enum):
    """What a node is in its term. The values stand in the operators' status."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether it would be elected, before it raises its term
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One server of the group. A server that is not among the voters only follows.

    Attributes:
        name: This server's name.
        role: What it is in its term.
        leader: The leader that it knows of; empty where it knows none.
        commit_index: Highest index that is known to be committed.
        additional_senders: Names whose messages are taken although the log does not name them as voters.
        next_deadline_ms: When `tick` is due.
    """

    def __init__(
        self,
        name: str,
        initial_voters: tuple[str, ...],
        persistent_state: PersistentState,
        timeouts: RaftTimeouts,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Starts as a follower.

        Args:
            name: This server's name.
            initial_voters: Voters until the log names others.
            persistent_state: What is on disk.
            timeouts: Alike on all servers.
            rng: Draws the election timeouts.
            now_ms: Monotonic clock.
        """
        self.name = name
        self.timeouts = timeouts
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = persistent_state.last_included_index
        self.additional_senders: set[str] = set(initial_voters)
        self._rng = rng
        self._state = DurableState(persistent_state)
        self._configuration = VoterConfiguration(name, initial_voters, self._state)
        self._outbox = Outbox()
        self._replication = LeaderReplication(self._state, self._configuration, self._outbox)
        self._votes: set[str] = set()
        self._synced_index = self._state.last_index  # up to where this node's own log is on disk
        self._now_ms = now_ms
        self._leader_contact_at_ms = now_ms
        self.next_deadline_ms = 0.0
        self._restart_election_timeout()

    # What others may know

    @property
    def persistent_state(self) -> PersistentState:
        """Term, vote and log, saved or not."""
        return self._state.persistent

    @property
    def current_term(self) -> int:
        """The latest term that this node has seen."""
        return self._state.term

    @property
    def last_log_index(self) -> int:
        """Index of the last entry of the log."""
        return self._state.last_index

    @property
    def voters(self) -> tuple[str, ...]:
        """All voters, by the newest set in the log."""
        return self._configuration.voters

    @property
    def peers(self) -> tuple[str, ...]:
        """All voters but this node."""
        return self._configuration.peers

    @property
    def is_voter(self) -> bool:
        """Whether this node votes."""
        return self._configuration.is_voter

    @property
    def is_voter_change_committed(self) -> bool:
        """Whether the newest set of voters is committed."""
        return self._configuration.is_committed(self.commit_index)

    @property
    def heartbeat_round(self) -> int:
        """Number of the last heartbeat round that this node sent."""
        return self._replication.lease.round

    @property
    def outgoing_count(self) -> int:
        """Messages that wait for the driver."""
        return len(self._outbox.messages)

    def entries_between(self, after: int, through: int) -> list[LogEntry]:
        """Entries past `after` up to `through`, as far as the log reaches back."""
        return self._state.entries_between(after, through)

    def has_recent_response(self, peer: str, now_ms: float) -> bool:
        """Whether `peer` answered this leader within the last election timeout."""
        last_response_ms = self._replication.last_response_ms(peer)
        return now_ms - last_response_ms < self.timeouts.election_timeout_ms

    def has_leader_lease(self, now_ms: float) -> bool:
        """Whether this node leads, knows all that was committed before, and nobody else can lead just now.

        While the lease holds, no later leader can have committed anything, so a read from this node's
        committed state is linearizable.
        """
        if self.role is not Role.LEADER or self._state.term_at(self.commit_index) != self._state.term:
            return False
        timeout_ms = self.timeouts.election_timeout_ms
        return self._replication.lease.is_valid(self._configuration, timeout_ms, now_ms)

    # The driver's part

    def unsaved_state(self) -> PersistentState | None:
        """What must be written and synced before any message goes out; None where nothing changed."""
        return self._state.persistent if self._state.is_dirty else None

    def on_state_saved(self) -> None:
        """What `unsaved_state` gave is on disk."""
        self._state.is_dirty = False
        self._synced_index = self._state.last_index
        if self.role is Role.LEADER:
            self._advance_commit_index()

    def take_outgoing(self) -> list[tuple[str, Message]]:
        """Receivers and messages; none while they rest on what a crash could still take back."""
        return [] if self._state.is_dirty else self._outbox.drain()

    def tick(self, now_ms: float) -> None:
        """Does what is due: a leader's heartbeats and check quorum, or a follower's election."""
        self._now_ms = now_ms
        if now_ms < self.next_deadline_ms:
            return
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self._configuration.may_stand_for_election(self.commit_index):
            self._start_pre_vote()
        else:
            self._restart_election_timeout()

    def on_message(self, sender: str, message: Message, now_ms: float) -> None:
        """Takes a message of a voter; messages of anybody else are dropped."""
        is_known = sender in self._configuration.peers or sender in self.additional_senders
        if sender == self.name or not is_known:
            return
        self._now_ms = now_ms
        if self._would_unseat_leader(sender, message):
            return
        # A pre-vote is about a term that nobody is in yet.
        is_pre_vote = isinstance(message, RequestVote | VoteResponse) and message.is_pre_vote
        if message.term > self._state.term and not is_pre_vote:
            self._become_follower(message.term, "")
        match message:
            case RequestVote():
                self._on_request_vote(sender, message)
            case VoteResponse():
                self._on_vote_response(sender, message)
            case AppendEntries():
                self._on_append_entries(sender, message)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message)
            case AppendEntriesResponse():
                self._on_append_entries_response(sender, message)

    # The log

    def propose(self, data: bytes) -> int | None:
        """Appends an entry.

        Returns:
            Its index, known to be committed once `commit_index` reaches it in this term; None on a node that
            does not lead or whose log is full.
        """
        if self.role is not Role.LEADER or len(self._state.persistent.entries) >= MAX_LOG_ENTRY_COUNT:
            return None
        self._state.append(LogEntry(self._state.term, data))
        self._replication.broadcast(self.commit_index, self._now_ms)
        return self._state.last_index

    def change_voters(self, voters: tuple[str, ...], now_ms: float) -> int | None:
        """Adds or removes one voter.

        Returns:
            The entry's index; None where it can't be just now: changes go one after the other, each of one
            name, by a leader with its lease.
        """
        if not self._configuration.is_single_change(voters) or not self.is_voter_change_committed:
            return None
        if not self.has_leader_lease(now_ms):
            return None
        index = self.propose(encode_voters_entry(voters))
        self._refresh_voters()
        return index

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the log up to `index`, which is committed, by a snapshot of the state machines."""
        if self._state.last_included_index < index <= self.commit_index:
            self._state.compact(index, snapshot, self._configuration.voters_as_of(index))

    def _advance_commit_index(self) -> None:
        """Commits what a majority has on disk, if its last entry is of this term."""
        index = self._replication.majority_index(self._synced_index)
        if index <= self.commit_index or self._state.term_at(index) != self._state.term:
            return
        self.commit_index = index
        if not self.is_voter and self.is_voter_change_committed:
            self._become_follower(self._state.term, "")  # it led its own removal to the end

    def _refresh_voters(self) -> None:
        self._configuration.refresh()
        if self.role is Role.LEADER:
            self._replication.track_new_peers(self._now_ms)

    # Roles

    def start_election(self) -> None:
        """Raises the term and asks for votes at once, without a pre-vote."""
        self._state.enter_term(self._state.term + 1, voted_for=self.name)
        self._request_votes(Role.CANDIDATE, self._state.term)

    def _start_pre_vote(self) -> None:
        self._request_votes(Role.PRE_CANDIDATE, self._state.term + 1)

    def _request_votes(self, role: Role, term: int) -> None:
        self.role = role
        self.leader = ""
        self._votes = {self.name}
        self._restart_election_timeout()
        is_pre_vote = role is Role.PRE_CANDIDATE
        request = RequestVote(term, self._state.last_index, self._state.last_term, is_pre_vote)
        for peer in self._configuration.peers:
            self._outbox.send(peer, request)
        self._count_votes()

    def _count_votes(self) -> None:
        votes = self._votes & set(self._configuration.voters)
        if not self._configuration.is_majority(len(votes)):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election()
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._replication.begin_term(self._now_ms)
        self.next_deadline_ms = self._now_ms + self.timeouts.heartbeat_interval_ms
        # An entry of its own term commits all before it; without one they would wait for the next proposal.
        self._state.append(LogEntry(self._state.term, b""))
        self._replication.broadcast(self.commit_index, self._now_ms)

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self._state.term:
            self._state.enter_term(term)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._restart_election_timeout()

    def _follow_leader(self, leader: str, term: int) -> None:
        self._become_follower(term, leader)
        self._leader_contact_at_ms = self._now_ms

    def _tick_leader(self) -> None:
        """Check quorum, then a heartbeat round: a leader that may be cut off must not be relied on."""
        if not self._replication.has_quorum_contact(self.timeouts.election_timeout_ms, self._now_ms):
            self._become_follower(self._state.term, "")
            return
        self.next_deadline_ms = self._now_ms + self.timeouts.heartbeat_interval_ms
        self._replication.broadcast(self.commit_index, self._now_ms)

    def _restart_election_timeout(self) -> None:
        """Draws anew when to stand for election: apart from others, so that one wins."""
        timeout_ms = self.timeouts.election_timeout_ms * self._rng.uniform(1.0, 2.0)
        self.next_deadline_ms = self._now_ms + timeout_ms

    @property
    def _has_recent_leader(self) -> bool:
        """Whether it leads or received from a leader lately, which may then rely on its lease."""
        silence_ms = self._now_ms - self._leader_contact_at_ms
        return self.role is Role.LEADER or silence_ms < self.timeouts.election_timeout_ms

    def _would_unseat_leader(self, sender: str, message: Message) -> bool:
        """Whether to drop a vote request without looking at its term: the leader relies on its lease."""
        is_vote_request = isinstance(message, RequestVote) and not message.is_pre_vote
        return is_vote_request and self._has_recent_leader and sender != self.leader

    # Messages

    def _on_request_vote(self, candidate: str, request: RequestVote) -> None:
        if request.is_pre_vote:
            response = election.answer_pre_vote(self._state, request, self._has_recent_leader)
        else:
            response = election.answer_vote(self._state, candidate, request)
            if response.is_granted:
                self._state.vote_for(candidate)
                self._restart_election_timeout()
        self._outbox.send(candidate, response)

    def _on_vote_response(self, voter: str, response: VoteResponse) -> None:
        if not response.is_granted:
            return
        if response.is_pre_vote:
            is_awaited = self.role is Role.PRE_CANDIDATE and response.term == self._state.term + 1
        else:
            is_awaited = self.role is Role.CANDIDATE and response.term == self._state.term
        if is_awaited:
            self._votes.add(voter)
            self._count_votes()

    def _on_append_entries(self, leader: str, request: AppendEntries) -> None:
        if request.term < self._state.term:
            self._respond(leader, False, 0, request.round)
            return
        self._follow_leader(leader, request.term)
        result = append_from_leader(self._state, request, self.commit_index)
        if result.changes_voters:
            self._refresh_voters()
        if result.is_success:
            self.commit_index = max(self.commit_index, min(request.leader_commit, result.match_index))
        self._respond(leader, result.is_success, result.match_index, request.round)

    def _on_install_snapshot(self, leader: str, request: InstallSnapshot) -> None:
        if request.term < self._state.term:
            self._respond(leader, False, 0, request.round)
            return
        self._follow_leader(leader, request.term)
        index = request.last_included_index
        if index > self.commit_index:
            term, snapshot = request.last_included_term, request.snapshot
            self._state.install_snapshot(index, term, snapshot, request.voters)
            self.commit_index = index
            self._refresh_voters()
        self._respond(leader, True, index, request.round)

    def _on_append_entries_response(self, peer: str, response: AppendEntriesResponse) -> None:
        is_current = self.role is Role.LEADER and response.term == self._state.term
        if not is_current or peer not in self._configuration.peers:
            return
        self._replication.record_response(peer, response, self._now_ms)
        if response.is_success:
            self._advance_commit_index()
        if self._replication.needs_more(peer, response):
            self._replication.send_to(peer, self.commit_index)

    def _respond(self, leader: str, is_success: bool, match_index: int, request_round: int) -> None:
        response = AppendEntriesResponse(self._state.term, is_success, match_index, request_round)
        self._outbox.send(leader, response)
