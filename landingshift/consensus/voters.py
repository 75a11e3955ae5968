"""The voter configuration: the newest set of voters in the log, changed by one server at a time.

Guarantee: a configuration takes effect as soon as it is in the log, committed or not, and the next change
waits until it is committed. Majorities of two sets that differ by one server always share a voter, so that no
two leaders can be elected in one term. Failure mode: if a leader loses its leadership before its change is
committed, the change may be truncated; the previous configuration then applies again.
"""

from __future__ import annotations

import msgspec

from landingshift.consensus.messages import MAX_VOTER_COUNT
from landingshift.consensus.persistent_state import DurableState

# Marks a configuration entry. No MessagePack value starts with this byte, so no other entry does.
VOTERS_ENTRY_PREFIX = b"\xc1"


def encode_voters_entry(voters: tuple[str, ...]) -> bytes:
    """Encodes the data of a configuration entry."""
    return VOTERS_ENTRY_PREFIX + msgspec.msgpack.encode(list(voters))


def is_voters_entry(data: bytes) -> bool:
    """Returns whether an entry is a configuration entry; all others are for the state machines."""
    return data.startswith(VOTERS_ENTRY_PREFIX)


def decode_voters_entry(data: bytes) -> tuple[str, ...]:
    """Returns the voters of a configuration entry; empty for any other entry."""
    if not is_voters_entry(data):
        return ()
    return tuple(msgspec.msgpack.decode(data[len(VOTERS_ENTRY_PREFIX) :], type=list[str]))


class VoterConfiguration:
    """The voter configuration according to one node's log.

    Attributes:
        voters: Names of the current voters, including this node if it is a voter.
        previous_voters: Voters of the preceding configuration; equal to `voters` if there is none.
        entry_index: Index of the configuration entry; 0 if `voters` come from the snapshot or the settings.
        peers: `voters` without this node, in the same order.
    """

    voters: tuple[str, ...]
    previous_voters: tuple[str, ...]
    entry_index: int
    peers: tuple[str, ...]

    def __init__(self, name: str, initial_voters: tuple[str, ...], state: DurableState) -> None:
        self._name = name
        self._initial_voters = initial_voters
        self._state = state
        self.refresh()

    def refresh(self) -> None:
        """Reads the newest two configurations; call it after configuration entries are added or removed."""
        newest_first: list[tuple[int, tuple[str, ...]]] = []
        for index in range(self._state.last_index, self._state.last_included_index, -1):
            entry_voters = decode_voters_entry(self._state.entry_at(index).data)
            if entry_voters:
                newest_first.append((index, entry_voters))
            if len(newest_first) == 2:
                break
        newest_first.append((0, self._state.persistent.voters or self._initial_voters))
        self.entry_index, self.voters = newest_first[0]
        self.previous_voters = newest_first[1][1] if len(newest_first) > 1 else self.voters
        self.peers = tuple(voter for voter in self.voters if voter != self._name)

    def voters_as_of(self, index: int) -> tuple[str, ...]:
        """Returns the voters that a snapshot up to `index` must contain; empty for those in the settings."""
        entries = self._state.entries_between(self._state.last_included_index, index)
        for entry in reversed(entries):
            entry_voters = decode_voters_entry(entry.data)
            if entry_voters:
                return entry_voters
        return self._state.persistent.voters

    @property
    def is_voter(self) -> bool:
        """Returns whether this node is a voter."""
        return self._name in self.voters

    def is_majority(self, count: int) -> bool:
        """Returns whether `count` voters are a majority."""
        return 2 * count > len(self.voters)

    def majority_value(self, descending: list[int]) -> int:
        """Returns the highest value that a majority reaches; `descending` has one value per voter."""
        return descending[len(self.voters) // 2]

    def is_committed(self, commit_index: int) -> bool:
        """Returns whether the newest configuration is committed."""
        return self.entry_index <= commit_index

    def may_stand_for_election(self, commit_index: int) -> bool:
        """Returns whether this node may start an election.

        A node that is being removed may do so until the removal is committed. It may be the only one that
        has the entry; the remaining voters may then need its vote, which its longer log denies them.
        """
        is_being_removed = not self.is_committed(commit_index) and self._name in self.previous_voters
        return self.is_voter or is_being_removed

    def is_single_server_change(self, voters: tuple[str, ...]) -> bool:
        """Returns whether `voters` add or remove exactly one name and stay within `MAX_VOTER_COUNT`."""
        return len(set(voters) ^ set(self.voters)) == 1 and 1 <= len(voters) <= MAX_VOTER_COUNT
