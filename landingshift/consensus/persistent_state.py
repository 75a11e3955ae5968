"""What a voter must have on disk before it answers anybody, and the changes that Raft makes to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from landingshift.consensus.messages import LogEntry


@dataclass(slots=True)
class PersistentState:
    """Raft's persistent state of one voter.

    Attributes:
        term: The latest term that the voter has seen.
        voted_for: Whom it voted for in that term; empty for nobody.
        last_included_index: Last index that `snapshot` covers.
        last_included_term: Term of that entry.
        snapshot: State of the state machines after that entry.
        entries: The log after the snapshot.
        voters: Voters as of `last_included_index`; empty means those of the settings.
    """

    term: int = 0
    voted_for: str = ""
    last_included_index: int = 0
    last_included_term: int = 0
    snapshot: bytes = b""
    entries: list[LogEntry] = field(default_factory=list)
    voters: tuple[str, ...] = ()


class DurableState:
    """The persistent state in memory. Every change goes through here and marks what is not on disk yet.

    Attributes:
        persistent: Current values, saved or not.
        is_dirty: Whether `persistent` differs from what is on disk.
    """

    def __init__(self, persistent: PersistentState) -> None:
        self.persistent = persistent
        self.is_dirty = False

    # Term and vote

    @property
    def term(self) -> int:
        """The latest term that the voter has seen."""
        return self.persistent.term

    @property
    def voted_for(self) -> str:
        """Whom it voted for in that term; empty for nobody."""
        return self.persistent.voted_for

    def enter_term(self, term: int, voted_for: str = "") -> None:
        """Begins a newer term, with or without a vote."""
        self.persistent.term = term
        self.persistent.voted_for = voted_for
        self.is_dirty = True

    def vote_for(self, candidate: str) -> None:
        """Records the vote of the current term."""
        if self.persistent.voted_for != candidate:
            self.persistent.voted_for = candidate
            self.is_dirty = True

    # The log

    @property
    def last_included_index(self) -> int:
        """Last index that the snapshot covers."""
        return self.persistent.last_included_index

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot where none follows it."""
        return self.persistent.last_included_index + len(self.persistent.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        entries = self.persistent.entries
        return entries[-1].term if entries else self.persistent.last_included_term

    def term_at(self, index: int) -> int | None:
        """Term of the entry at `index`; None before the snapshot and past the end."""
        first = self.persistent.last_included_index
        if index == first:
            return self.persistent.last_included_term
        if first < index <= self.last_index:
            return self.persistent.entries[index - first - 1].term
        return None

    def entry_at(self, index: int) -> LogEntry:
        """Entry at `index`, which must lie after the snapshot."""
        return self.persistent.entries[index - self.persistent.last_included_index - 1]

    def entries_between(self, after: int, through: int) -> list[LogEntry]:
        """Entries past `after` up to `through`, as far as the log reaches back."""
        first = self.persistent.last_included_index
        return self.persistent.entries[max(0, after - first) : max(0, through - first)]

    def append(self, entry: LogEntry) -> None:
        """Adds one entry to the end of the log."""
        self.persistent.entries.append(entry)
        self.is_dirty = True

    def replace_from(self, index: int, entry: LogEntry) -> None:
        """Drops the entry at `index` with all after it, and puts `entry` there."""
        del self.persistent.entries[index - self.persistent.last_included_index - 1 :]
        self.append(entry)

    def compact(self, index: int, snapshot: bytes, voters: tuple[str, ...]) -> None:
        """Lets `snapshot` stand for all entries up to `index`; `voters` are those as of that index."""
        term = self.term_at(index)
        assert term is not None, "only what the log has can be compacted"
        state = self.persistent
        state.voters = voters
        state.entries = state.entries[index - state.last_included_index :]
        state.last_included_index = index
        state.last_included_term = term
        state.snapshot = snapshot
        self.is_dirty = True

    def install_snapshot(self, index: int, term: int, snapshot: bytes, voters: tuple[str, ...]) -> None:
        """Takes a leader's snapshot; entries that follow it stay where the log agrees with it."""
        state = self.persistent
        agrees = self.term_at(index) == term
        state.entries = state.entries[index - state.last_included_index :] if agrees else []
        state.last_included_index = index
        state.last_included_term = term
        state.snapshot = snapshot
        state.voters = voters
        self.is_dirty = True
