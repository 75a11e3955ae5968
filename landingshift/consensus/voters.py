"""Who votes: the newest set of voters in the log, changed one server at a time.

Guarantee: the newest set counts from the moment it is in the log, committed or not, and the next change waits
until it is committed. Majorities of two sets that differ by one name always share a voter, so that no two
leaders can be elected in one term. Failure mode: a change proposed by a leader that loses its term may be
truncated; the set before it counts again.
"""

from __future__ import annotations

import msgspec

from landingshift.consensus.messages import MAX_VOTER_COUNT
from landingshift.consensus.persistent_state import DurableState

# An entry that begins so names the voters. No other entry does: the byte is unused in MessagePack.
VOTERS_ENTRY_PREFIX = b"\xc1"


def encode_voters_entry(voters: tuple[str, ...]) -> bytes:
    """Data of an entry that names the voters."""
    return VOTERS_ENTRY_PREFIX + msgspec.msgpack.encode(list(voters))


def is_voters_entry(data: bytes) -> bool:
    """Whether an entry names the voters; all others are for the state machines."""
    return data.startswith(VOTERS_ENTRY_PREFIX)


def decode_voters_entry(data: bytes) -> tuple[str, ...]:
    """Voters that an entry names; empty for an entry of a state machine."""
    if not is_voters_entry(data):
        return ()
    return tuple(msgspec.msgpack.decode(data[len(VOTERS_ENTRY_PREFIX) :], type=list[str]))


class VoterConfiguration:
    """The voters as one node's log has them.

    Attributes:
        voters: Names that vote now, this node included where it is one.
        previous_voters: The set that `voters` took the place of.
        entry_index: Index of the entry that names `voters`; 0 where the snapshot or the settings do.
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
        """Reads the newest two sets off the log; called whenever an entry that names voters comes or goes."""
        newest_first: list[tuple[int, tuple[str, ...]]] = []
        for index in range(self._state.last_index, self._state.last_included_index, -1):
            named = decode_voters_entry(self._state.entry_at(index).data)
            if named:
                newest_first.append((index, named))
            if len(newest_first) == 2:
                break
        newest_first.append((0, self._state.persistent.voters or self._initial_voters))
        self.entry_index, self.voters = newest_first[0]
        self.previous_voters = newest_first[1][1] if len(newest_first) > 1 else self.voters
        self.peers = tuple(voter for voter in self.voters if voter != self._name)

    def voters_as_of(self, index: int) -> tuple[str, ...]:
        """Voters that a snapshot up to `index` must carry; empty means those of the settings."""
        entries = self._state.entries_between(self._state.last_included_index, index)
        for entry in reversed(entries):
            named = decode_voters_entry(entry.data)
            if named:
                return named
        return self._state.persistent.voters

    @property
    def is_voter(self) -> bool:
        """Whether this node votes."""
        return self._name in self.voters

    def is_majority(self, count: int) -> bool:
        """Whether `count` voters are more than half of all."""
        return 2 * count > len(self.voters)

    def majority_value(self, descending: list[int]) -> int:
        """The highest value that a majority reaches, of one value a voter in descending order."""
        return descending[len(self.voters) // 2]

    def is_committed(self, commit_index: int) -> bool:
        """Whether the newest set is committed."""
        return self.entry_index <= commit_index

    def may_stand_for_election(self, commit_index: int) -> bool:
        """Whether this node may be elected.

        One that is being removed may, until its removal is committed: it may be the only one that has the
        entry, and those who are left can't win over its longer log.
        """
        is_being_removed = not self.is_committed(commit_index) and self._name in self.previous_voters
        return self.is_voter or is_being_removed

    def is_single_change(self, voters: tuple[str, ...]) -> bool:
        """Whether `voters` differ from the set of now by exactly one name."""
        return len(set(voters) ^ set(self.voters)) == 1 and 1 <= len(voters) <= MAX_VOTER_COUNT
