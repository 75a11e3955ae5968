"""The state that a voter must have on disk before it sends any message, and the changes Raft makes to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.consensus.messages import LogEntry


@dataclass(slots=True)
class PersistentState:
    """Raft's persistent state of one voter.

    Attributes:
        term: Latest term that the voter has seen.
        voted_for: Candidate that received its vote in that term; empty for none.
        last_included_index: Index of the last entry that `snapshot` covers.
        last_included_term: Term of that entry.
        snapshot: State of the state machines after that entry.
        entries: Log entries after the snapshot.
        voters: Voters as of `last_included_index`; empty for the voters in the settings.
    """

    term: int = 0
    voted_for: str = ""
    last_included_index: int = 0
    last_included_term: int = 0
    snapshot: bytes = b""
    entries: list[LogEntry] = field(default_factory=list)
    voters: tuple[str, ...] = ()


class DurableState:
    """The persistent state in memory. All changes go through this class, which tracks unsaved ones.

    Attributes:
        persistent: Current state, including changes not yet on disk.
        is_dirty: Whether `persistent` has changed since the last save.
    """

    def __init__(self, persistent: PersistentState) -> None:
        self.persistent = persistent
        self.is_dirty = False

    # Term and vote

    @property
    def term(self) -> int:
        """Returns the latest term that the voter has seen."""
        return self.persistent.term

    @property
    def voted_for(self) -> str:
        """Returns the candidate that received the vote in the current term; empty for none."""
        return self.persistent.voted_for

    def enter_term(self, term: int, voted_for: str = "") -> None:
        """Enters a newer term, optionally with a vote already cast."""
        self.persistent.term = term
        self.persistent.voted_for = voted_for
        self.is_dirty = True

    def vote_for(self, candidate: str) -> None:
        """Records the vote for the current term."""
        if self.persistent.voted_for != candidate:
            self.persistent.voted_for = candidate
            self.is_dirty = True

    # The log

    @property
    def last_included_index(self) -> int:
        """Returns the index of the last entry that the snapshot covers."""
        return self.persistent.last_included_index

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry, or of the snapshot if no entry follows it."""
        return self.persistent.last_included_index + len(self.persistent.entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the entry at `last_index`."""
        entries = self.persistent.entries
        return entries[-1].term if entries else self.persistent.last_included_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`; None if it is compacted or past the end of the log."""
        snapshot_index = self.persistent.last_included_index
        if index == snapshot_index:
            return self.persistent.last_included_term
        if snapshot_index < index <= self.last_index:
            return self.persistent.entries[index - snapshot_index - 1].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Returns the entry at `index`, which must follow the snapshot."""
        return self.persistent.entries[index - self.persistent.last_included_index - 1]

    def entries_between(self, after: int, through: int) -> list[LogEntry]:
        """Returns the entries with `after` < index <= `through`, without those that the snapshot replaced."""
        snapshot_index = self.persistent.last_included_index
        return self.persistent.entries[max(0, after - snapshot_index) : max(0, through - snapshot_index)]

    def append(self, entry: LogEntry) -> None:
        """Appends one entry to the log."""
        self.persistent.entries.append(entry)
        self.is_dirty = True

    def truncate_and_append(self, index: int, entry: LogEntry) -> None:
        """Removes the entry at `index` and all later ones, then appends `entry` at `index`."""
        del self.persistent.entries[index - self.persistent.last_included_index - 1 :]
        self.append(entry)

    def compact(self, index: int, snapshot: bytes, voters: tuple[str, ...]) -> None:
        """Replaces all entries up to `index` with a snapshot; `voters` are the voters as of that index."""
        term = self.term_at(index)
        assert term is not None, f"can't compact up to entry {index}, which is not in the log"
        state = self.persistent
        state.voters = voters
        state.entries = state.entries[index - state.last_included_index :]
        state.last_included_index = index
        state.last_included_term = term
        state.snapshot = snapshot
        self.is_dirty = True

    def install_snapshot(self, index: int, term: int, snapshot: bytes, voters: tuple[str, ...]) -> None:
        """Installs a leader's snapshot; keeps later entries if the log has the snapshot's last entry."""
        state = self.persistent
        has_last_entry = self.term_at(index) == term
        state.entries = state.entries[index - state.last_included_index :] if has_last_entry else []
        state.last_included_index = index
        state.last_included_term = term
        state.snapshot = snapshot
        state.voters = voters
        self.is_dirty = True
