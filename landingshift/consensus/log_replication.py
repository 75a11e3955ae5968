"""Log replication: the leader's record of each peer's progress, and the follower's handling of entries.

Guarantee: a follower's log equals the leader's up to the acknowledged index. An entry is committed once a
majority has it on disk together with an entry of the leader's own term. Failure mode: a peer that does not
answer falls behind, and receives a snapshot once the leader has compacted the entries that it needs.
"""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.consensus.leader_lease import NEVER_MS, LeaderLease
from landingshift.consensus.messages import (
    MAX_BATCH_ENTRY_COUNT,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
)
from landingshift.consensus.persistent_state import DurableState
from landingshift.consensus.voters import VoterConfiguration, is_voters_entry

MAX_OUTGOING_MESSAGE_COUNT = 1024  # messages beyond it are dropped; Raft retransmits them


class Outbox:
    """Queue of messages that wait until the state they depend on is on disk.

    Attributes:
        messages: Pairs of receiver and message, in sending order.
    """

    def __init__(self) -> None:
        self.messages: list[tuple[str, Message]] = []

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; drops it if the queue is full."""
        if len(self.messages) < MAX_OUTGOING_MESSAGE_COUNT:
            self.messages.append((receiver, message))

    def drain(self) -> list[tuple[str, Message]]:
        """Removes and returns all queued messages."""
        messages = self.messages
        self.messages = []
        return messages


@dataclass(slots=True)
class PeerProgress:
    """Replication progress of one peer, as known to the leader.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index up to which the peer's log is known to equal the leader's.
        last_response_ms: Monotonic time of the peer's last response.
    """

    next_index: int
    match_index: int
    last_response_ms: float


class LeaderReplication:
    """The leader's side of replication: sends entries and finds the index that a majority has reached.

    Attributes:
        lease: Leader lease, which numbers the heartbeat rounds.
    """

    def __init__(self, state: DurableState, configuration: VoterConfiguration, outbox: Outbox) -> None:
        self.lease = LeaderLease()
        self._state = state
        self._configuration = configuration
        self._outbox = outbox
        self._progress: dict[str, PeerProgress] = {}

    def begin_term(self, now_ms: float) -> None:
        """Resets the progress of all peers at the start of this leader's term."""
        self._progress.clear()
        self.track_new_peers(now_ms)
        self.lease.reset()

    def track_new_peers(self, now_ms: float) -> None:
        """Starts replication to peers that have become voters."""
        for peer in self._configuration.peers:
            if peer not in self._progress:
                self._progress[peer] = PeerProgress(self._state.last_index + 1, 0, now_ms)

    def last_response_ms(self, peer: str) -> float:
        """Returns when `peer` last answered this leader; minus infinity for a peer that is not tracked."""
        progress = self._progress.get(peer)
        return progress.last_response_ms if progress is not None else NEVER_MS

    def has_quorum_contact(self, election_timeout_ms: float, now_ms: float) -> bool:
        """Returns whether a majority answered within the last election timeout (check quorum)."""
        peers = self._configuration.peers
        answering = sum(
            now_ms - self._progress[peer].last_response_ms < election_timeout_ms for peer in peers
        )
        return self._configuration.is_majority(answering + self._configuration.is_voter)

    def broadcast(self, commit_index: int, now_ms: float) -> None:
        """Starts a heartbeat round and sends each peer the next entries that it lacks."""
        self.lease.start_round(now_ms)
        for peer in self._configuration.peers:
            self.replicate_to(peer, commit_index)

    def replicate_to(self, peer: str, commit_index: int) -> None:
        """Sends the next entries to a peer, or the snapshot if those entries are compacted."""
        state = self._state
        persistent = state.persistent
        prev_index = self._progress[peer].next_index - 1
        prev_term = state.term_at(prev_index)
        if prev_term is None:
            snapshot = InstallSnapshot(
                state.term,
                persistent.last_included_index,
                persistent.last_included_term,
                persistent.snapshot,
                self.lease.round,
                persistent.voters,
            )
            self._outbox.send(peer, snapshot)
            return
        entries = tuple(state.entries_between(prev_index, prev_index + MAX_BATCH_ENTRY_COUNT))
        request = AppendEntries(state.term, prev_index, prev_term, entries, commit_index, self.lease.round)
        self._outbox.send(peer, request)

    def record_response(self, peer: str, response: AppendEntriesResponse, now_ms: float) -> None:
        """Updates the peer's progress and the lease from a response."""
        progress = self._progress[peer]
        progress.last_response_ms = now_ms
        self.lease.record_response(peer, response.round)
        if response.is_success:
            progress.match_index = max(progress.match_index, response.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            earlier_index = min(progress.next_index - 1, response.match_index + 1)
            progress.next_index = max(progress.match_index + 1, earlier_index)

    def should_send_more(self, peer: str, response: AppendEntriesResponse) -> bool:
        """Returns whether to send the peer more entries now, without waiting for the next heartbeat.

        Responses to earlier rounds don't trigger it, which avoids sending the same entries twice.
        """
        if response.round != self.lease.round:
            return False
        return not response.is_success or self._progress[peer].next_index <= self._state.last_index

    def majority_index(self, synced_index: int) -> int:
        """Returns the highest index that a majority has on disk; `synced_index` is the leader's own."""
        own_index = synced_index if self._configuration.is_voter else 0
        matched = [self._progress[peer].match_index for peer in self._configuration.peers]
        return self._configuration.majority_value(sorted([own_index, *matched], reverse=True))


@dataclass(slots=True, frozen=True)
class AppendResult:
    """Result of appending a leader's entries to a follower's log.

    Attributes:
        is_success: Whether the follower's log matched the leader's before the new entries.
        match_index: On success, last index up to which both logs are equal; otherwise the index that the
            leader should try as the previous index.
        may_change_voters: Whether a configuration entry was added or may have been removed.
    """

    is_success: bool
    match_index: int
    may_change_voters: bool


def append_from_leader(state: DurableState, request: AppendEntries, commit_index: int) -> AppendResult:
    """Appends a leader's entries to a follower's log; they replace entries that conflict with them."""
    prev_index, entries = request.prev_log_index, request.entries
    snapshot_index = state.last_included_index
    if prev_index < snapshot_index:  # the snapshot already covers these entries
        entries = entries[snapshot_index - prev_index :]
        prev_index = snapshot_index
    elif state.term_at(prev_index) != request.prev_log_term:
        return AppendResult(False, _index_before_conflict(state, prev_index, commit_index), False)
    may_change_voters = False
    for index, entry in enumerate(entries, prev_index + 1):
        if state.term_at(index) != entry.term:
            is_conflict = state.last_index >= index
            state.truncate_and_append(index, entry)
            may_change_voters = may_change_voters or is_conflict or is_voters_entry(entry.data)
    return AppendResult(True, prev_index + len(entries), may_change_voters)


def _index_before_conflict(state: DurableState, prev_index: int, commit_index: int) -> int:
    """Returns the index for the leader's next attempt; skips the whole conflicting term in one step."""
    index = min(prev_index - 1, state.last_index)
    conflicting_term = state.term_at(index)
    while index > max(state.last_included_index, commit_index) and state.term_at(index) == conflicting_term:
        index -= 1
    return max(index, commit_index)
