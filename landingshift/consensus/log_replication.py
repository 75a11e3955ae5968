"""Replication of the log: the leader's progress with each peer, and how a follower takes entries.

Guarantee: a follower's log equals the leader's up to the acknowledged index, and an entry is committed once a
majority has it on disk and an entry of the leader's own term is among those. Failure mode: a peer that
answers nothing falls behind and gets a snapshot once the log does not reach back far enough.
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

MAX_OUTGOING_MESSAGE_COUNT = 1024  # messages that wait for the driver; Raft repeats what is dropped


class Outbox:
    """Messages that wait until what they rest on is on disk.

    Attributes:
        messages: Receiver and message, in the order of sending.
    """

    def __init__(self) -> None:
        self.messages: list[tuple[str, Message]] = []

    def send(self, receiver: str, message: Message) -> None:
        """Queues a message; drops it where too many wait."""
        if len(self.messages) < MAX_OUTGOING_MESSAGE_COUNT:
            self.messages.append((receiver, message))

    def drain(self) -> list[tuple[str, Message]]:
        """All queued messages, which leave the outbox."""
        taken = self.messages
        self.messages = []
        return taken


@dataclass(slots=True)
class PeerProgress:
    """How far one peer is, as its leader knows it.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Highest index that the peer is known to have.
        last_response_ms: When it last answered.
    """

    next_index: int
    match_index: int
    last_response_ms: float


class LeaderReplication:
    """The leader's side: sends entries and counts what a majority has.

    Attributes:
        lease: Heartbeat rounds and who answered them.
    """

    def __init__(self, state: DurableState, configuration: VoterConfiguration, outbox: Outbox) -> None:
        self.lease = LeaderLease()
        self._state = state
        self._configuration = configuration
        self._outbox = outbox
        self._progress: dict[str, PeerProgress] = {}

    def begin_term(self, now_ms: float) -> None:
        """Starts anew as the leader of a term: nothing is known of any peer."""
        self._progress.clear()
        self.track_new_peers(now_ms)
        self.lease.reset()

    def track_new_peers(self, now_ms: float) -> None:
        """Begins to replicate to peers that have become voters."""
        for peer in self._configuration.peers:
            if peer not in self._progress:
                self._progress[peer] = PeerProgress(self._state.last_index + 1, 0, now_ms)

    def last_response_ms(self, peer: str) -> float:
        """When `peer` last answered this leader; minus infinity for a peer that is not replicated to."""
        progress = self._progress.get(peer)
        return progress.last_response_ms if progress is not None else NEVER_MS

    def has_quorum_contact(self, election_timeout_ms: float, now_ms: float) -> bool:
        """Check quorum: whether a majority answered within the last election timeout."""
        peers = self._configuration.peers
        answering = sum(
            now_ms - self._progress[peer].last_response_ms < election_timeout_ms for peer in peers
        )
        return self._configuration.is_majority(answering + self._configuration.is_voter)

    def broadcast(self, commit_index: int, now_ms: float) -> None:
        """One heartbeat round: to each peer the entries that it misses."""
        self.lease.start_round(now_ms)
        for peer in self._configuration.peers:
            self.send_to(peer, commit_index)

    def send_to(self, peer: str, commit_index: int) -> None:
        """Sends the next entries, or the snapshot where the log does not reach back far enough."""
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
        """Takes what a response says of the peer's log."""
        progress = self._progress[peer]
        progress.last_response_ms = now_ms
        self.lease.record_response(peer, response.round)
        if response.is_success:
            progress.match_index = max(progress.match_index, response.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            earlier_index = min(progress.next_index - 1, response.match_index + 1)
            progress.next_index = max(progress.match_index + 1, earlier_index)

    def needs_more(self, peer: str, response: AppendEntriesResponse) -> bool:
        """Whether to send on at once: after a response to the newest round only, so that none is doubled."""
        if response.round != self.lease.round:
            return False
        return not response.is_success or self._progress[peer].next_index <= self._state.last_index

    def majority_index(self, synced_index: int) -> int:
        """The highest index that a majority has on disk; `synced_index` is this leader's own."""
        own_index = synced_index if self._configuration.is_voter else 0
        matched = [self._progress[peer].match_index for peer in self._configuration.peers]
        return self._configuration.majority_value(sorted([own_index, *matched], reverse=True))


@dataclass(slots=True, frozen=True)
class AppendResult:
    """What became of a leader's entries at a follower.

    Attributes:
        is_success: Whether the log matched before the entries.
        match_index: Last index up to which the logs are equal, or after which the leader is to try.
        changes_voters: Whether an entry that may name voters came or went.
    """

    is_success: bool
    match_index: int
    changes_voters: bool


def append_from_leader(state: DurableState, request: AppendEntries, commit_index: int) -> AppendResult:
    """Takes a leader's entries into a follower's log; entries that conflict give way."""
    prev_index, entries = request.prev_log_index, request.entries
    first_index = state.last_included_index
    if prev_index < first_index:  # the snapshot has those already
        entries = entries[first_index - prev_index :]
        prev_index = first_index
    elif state.term_at(prev_index) != request.prev_log_term:
        return AppendResult(False, _index_before_conflict(state, prev_index, commit_index), False)
    changes_voters = False
    for index, entry in enumerate(entries, prev_index + 1):
        if state.term_at(index) != entry.term:
            is_conflict = state.last_index >= index
            state.replace_from(index, entry)
            changes_voters = changes_voters or is_conflict or is_voters_entry(entry.data)
    return AppendResult(True, prev_index + len(entries), changes_voters)


def _index_before_conflict(state: DurableState, prev_index: int, commit_index: int) -> int:
    """Where the leader shall try next: back by the whole conflicting term, not entry by entry."""
    index = min(prev_index - 1, state.last_index)
    conflicting_term = state.term_at(index)
    while index > max(state.last_included_index, commit_index) and state.term_at(index) == conflicting_term:
        index -= 1
    return max(index, commit_index)
