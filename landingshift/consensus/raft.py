"""One Raft node: roles, terms, elections and commitment, with the pre-vote and check-quorum extensions.

Guarantee: all nodes commit the same entries in the same order, through crashes, pauses and partitions.
Failure mode: without a majority nothing is committed and no leader is elected; a leader that lacks contact
with a majority for an election timeout steps down.

The node performs no I/O. Its caller passes in the time, a random generator and received messages. The caller
writes and syncs what `unsaved_state` returns, calls `on_state_saved`, and only then sends what
`take_outgoing` returns, so that no message depends on state that a crash could lose. A node that lost its
saved state must not rejoin under its old name: it could vote twice in one term.
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

MAX_LOG_ENTRY_COUNT = 10_000  # since the last snapshot; a full log accepts no proposals


class Role(Enum):
    """The role of a node in its current term. The status command prints the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks peers whether they would vote for it, before it increments its term
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftNode:
    """One server of a Raft group. A server that is not a voter only replicates the log.

    Attributes:
        name: This server's name.
        timeouts: Heartbeat interval and election timeout.
        role: Role in the current term.
        leader: Name of the current leader; empty if unknown.
        commit_index: Highest log index known to be committed.
        additional_senders: Servers whose messages are accepted besides those of the voters in the log.
        next_deadline_ms: Monotonic time at which `tick` must be called.
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
        """Starts the node as a follower.

        Args:
            name: This server's name.
            initial_voters: Voters until a snapshot or a log entry sets others.
            persistent_state: State read from disk.
            timeouts: Heartbeat interval and election timeout, the same on all servers.
            rng: Random generator for the election timeouts.
            now_ms: Current time of the monotonic clock.
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
        self._synced_index = self._state.last_index  # last index of this node's log that is on disk
        self._now_ms = now_ms
        self._last_leader_contact_ms = now_ms
        self.next_deadline_ms = 0.0
        self._restart_election_timeout()

    # Observable state

    @property
    def persistent_state(self) -> PersistentState:
        """Returns the current term, vote, snapshot and log, including changes not yet on disk."""
        return self._state.persistent

    @property
    def current_term(self) -> int:
        """Returns the latest term that this node has seen."""
        return self._state.term

    @property
    def last_log_index(self) -> int:
        """Returns the index of the last log entry."""
        return self._state.last_index

    @property
    def voters(self) -> tuple[str, ...]:
        """Returns the voters of the newest configuration in the log, committed or not."""
        return self._configuration.voters

    @property
    def peers(self) -> tuple[str, ...]:
        """Returns all voters except this node."""
        return self._configuration.peers

    @property
    def is_voter(self) -> bool:
        """Returns whether this node is a voter."""
        return self._configuration.is_voter

    @property
    def is_voter_change_committed(self) -> bool:
        """Returns whether the newest voter configuration is committed."""
        return self._configuration.is_committed(self.commit_index)

    @property
    def heartbeat_round(self) -> int:
        """Returns the number of the last heartbeat round that this node sent."""
        return self._replication.lease.round

    @property
    def outgoing_count(self) -> int:
        """Returns how many messages are queued for sending."""
        return len(self._outbox.messages)

    def entries_between(self, after: int, through: int) -> list[LogEntry]:
        """Returns the entries with `after` < index <= `through`, without those that the snapshot replaced."""
        return self._state.entries_between(after, through)

    def has_recent_response(self, peer: str, now_ms: float) -> bool:
        """Returns whether `peer` answered this leader within the last election timeout."""
        last_response_ms = self._replication.last_response_ms(peer)
        return now_ms - last_response_ms < self.timeouts.election_timeout_ms

    def has_leader_lease(self, now_ms: float) -> bool:
        """Returns whether this node leads, has committed an entry of its term and holds a valid lease.

        Until an entry of its own term is committed, a leader may not know all entries that earlier leaders
        committed. While the lease is valid, no other leader can have committed anything, so a read of this
        node's committed state is linearizable.
        """
        if self.role is not Role.LEADER or self._state.term_at(self.commit_index) != self._state.term:
            return False
        timeout_ms = self.timeouts.election_timeout_ms
        return self._replication.lease.is_valid(self._configuration, timeout_ms, now_ms)

    # Input, output and persistence

    def unsaved_state(self) -> PersistentState | None:
        """Returns the state to write and sync before messages are sent, or None if it is already on disk."""
        return self._state.persistent if self._state.is_dirty else None

    def on_state_saved(self) -> None:
        """Records that the state returned by `unsaved_state` is on disk."""
        self._state.is_dirty = False
        self._synced_index = self._state.last_index
        if self.role is Role.LEADER:
            self._advance_commit_index()

    def take_outgoing(self) -> list[tuple[str, Message]]:
        """Takes the queued (receiver, message) pairs; returns none while there is unsaved state."""
        return [] if self._state.is_dirty else self._outbox.drain()

    def tick(self, now_ms: float) -> None:
        """Runs timed work that is due: a leader's heartbeat and quorum check, or a follower's election."""
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
        """Handles a message; drops it unless the sender is a voter or one of `additional_senders`."""
        is_accepted_sender = sender in self._configuration.peers or sender in self.additional_senders
        if sender == self.name or not is_accepted_sender:
            return
        self._now_ms = now_ms
        if self._must_ignore_vote_request(sender, message):
            return
        # A pre-vote names a term that its candidate has not entered, so that term is not adopted.
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
        """Appends an entry to the log and replicates it.

        Returns:
            Index of the entry, which is committed once `commit_index` reaches it within the current term;
            None if this node is not the leader or its log is full.
        """
        if self.role is not Role.LEADER or len(self._state.persistent.entries) >= MAX_LOG_ENTRY_COUNT:
            return None
        self._state.append(LogEntry(self._state.term, data))
        self._replication.broadcast(self.commit_index, self._now_ms)
        return self._state.last_index

    def change_voters(self, voters: tuple[str, ...], now_ms: float) -> int | None:
        """Proposes a configuration that adds or removes one voter.

        Returns:
            Index of the configuration entry; None if `voters` differs from the current set by more or less
            than one name, the previous change is not committed, this node lacks the leader lease, or its log
            is full.
        """
        if not self._configuration.is_single_server_change(voters) or not self.is_voter_change_committed:
            return None
        if not self.has_leader_lease(now_ms):
            return None
        index = self.propose(encode_voters_entry(voters))
        self._refresh_voters()
        return index

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the log up to `index` with a snapshot, if `index` is committed and not yet compacted."""
        if self._state.last_included_index < index <= self.commit_index:
            self._state.compact(index, snapshot, self._configuration.voters_as_of(index))

    def _advance_commit_index(self) -> None:
        """Commits what a majority has on disk, provided that the last such entry is of the current term."""
        index = self._replication.majority_index(self._synced_index)
        if index <= self.commit_index or self._state.term_at(index) != self._state.term:
            return
        self.commit_index = index
        if not self.is_voter and self.is_voter_change_committed:
            self._become_follower(self._state.term, "")  # a removed leader leads until its removal commits

    def _refresh_voters(self) -> None:
        self._configuration.refresh()
        if self.role is Role.LEADER:
            self._replication.track_new_peers(self._now_ms)

    # Roles

    def start_election(self) -> None:
        """Increments the term and requests votes, without a pre-vote."""
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
        # A leader commits earlier entries only through one of its own term. This empty entry commits them
        # without waiting for the next proposal.
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
        self._last_leader_contact_ms = self._now_ms

    def _tick_leader(self) -> None:
        """Sends heartbeats, or steps down if no majority has answered within the election timeout."""
        if not self._replication.has_quorum_contact(self.timeouts.election_timeout_ms, self._now_ms):
            self._become_follower(self._state.term, "")
            return
        self.next_deadline_ms = self._now_ms + self.timeouts.heartbeat_interval_ms
        self._replication.broadcast(self.commit_index, self._now_ms)

    def _restart_election_timeout(self) -> None:
        """Draws a random election timeout, so that nodes rarely start elections at the same time."""
        timeout_ms = self.timeouts.election_timeout_ms * self._rng.uniform(1.0, 2.0)
        self.next_deadline_ms = self._now_ms + timeout_ms

    @property
    def _has_recent_leader_contact(self) -> bool:
        """Returns whether this node leads, or may have answered a leader that still relies on its lease."""
        silence_ms = self._now_ms - self._last_leader_contact_ms
        return self.role is Role.LEADER or silence_ms < self.timeouts.election_timeout_ms

    def _must_ignore_vote_request(self, sender: str, message: Message) -> bool:
        """Returns whether to drop a vote request without adopting its term, as the leader lease requires."""
        is_vote_request = isinstance(message, RequestVote) and not message.is_pre_vote
        return is_vote_request and self._has_recent_leader_contact and sender != self.leader

    # Message handlers

    def _on_request_vote(self, candidate: str, request: RequestVote) -> None:
        if request.is_pre_vote:
            response = election.decide_pre_vote(self._state, request, self._has_recent_leader_contact)
        else:
            response = election.decide_vote(self._state, candidate, request)
            if response.is_granted:
                self._state.vote_for(candidate)
                self._restart_election_timeout()
        self._outbox.send(candidate, response)

    def _on_vote_response(self, voter: str, response: VoteResponse) -> None:
        if not response.is_granted:
            return
        if response.is_pre_vote:
            is_expected = self.role is Role.PRE_CANDIDATE and response.term == self._state.term + 1
        else:
            is_expected = self.role is Role.CANDIDATE and response.term == self._state.term
        if is_expected:
            self._votes.add(voter)
            self._count_votes()

    def _on_append_entries(self, leader: str, request: AppendEntries) -> None:
        if request.term < self._state.term:
            self._respond(leader, False, 0, request.round)
            return
        self._follow_leader(leader, request.term)
        result = append_from_leader(self._state, request, self.commit_index)
        if result.may_change_voters:
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
        if self._replication.should_send_more(peer, response):
            self._replication.replicate_to(peer, self.commit_index)

    def _respond(self, leader: str, is_success: bool, match_index: int, request_round: int) -> None:
        response = AppendEntriesResponse(self._state.term, is_success, match_index, request_round)
        self._outbox.send(leader, response)
