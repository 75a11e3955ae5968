"""Rules for merging many ledgers into one; results do not depend on the order of merging. No I/O.

A *branch* is one hash chain of an instance. If an instance was restored from an old backup and then wrote new
entries, it has two chains with a common beginning. The second chain becomes a branch of its own, which is
named after the instance and its first entry that differs. The merged ledger keeps both branches.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

HASH_PREFIX_LENGTH = 8  # hexadecimal digits of the hash in the name of a branch


class EntryRelation(Enum):
    """Relation of a received entry to a branch."""

    NEXT = 1
    """The entry follows the branch's newest entry."""
    KNOWN = 2
    """The branch already has the entry."""
    AHEAD = 3
    """An entry before it is missing and must be fetched first."""
    DIVERGED = 4
    """The branch has a different entry with this number."""
    BROKEN = 5
    """The entry's hash does not match its data and the hash of the entry before it."""


def classify_entry(
    number: int, entry_hash: bytes, follows_chain: bool, head_number: int, known_hash: bytes | None
) -> EntryRelation:
    """Decides how a received entry relates to a branch.

    Args:
        number: Number of the received entry.
        entry_hash: Hash of the received entry.
        follows_chain: Whether `entry_hash` matches the entry's data and the hash of the branch's entry
            before it.
        head_number: Number of the branch's newest entry.
        known_hash: Hash of the branch's entry with the same number; None if it has none.
    """
    if number <= head_number:
        return EntryRelation.KNOWN if known_hash == entry_hash else EntryRelation.DIVERGED
    if number > head_number + 1:
        return EntryRelation.AHEAD
    return EntryRelation.NEXT if follows_chain else EntryRelation.BROKEN


def branch_name(instance: str, number: int, entry_hash: bytes) -> str:
    """Returns the name of the branch that diverges from an instance's chain with the given entry."""
    return f"{instance}~{number}-{entry_hash.hex()[:HASH_PREFIX_LENGTH]}"


class UsageReference(NamedTuple):
    """Refers to a usage entry of a branch; references sort by time, because the earliest usage counts."""

    at_ms: int
    """Unix time of the usage."""
    branch: str
    number: int
    """Number of the usage entry in the branch."""


def countable_usages(usages: Iterable[UsageReference], window_ms: int) -> set[UsageReference]:
    """Decides which usage of one identity counts.

    The earliest usage counts. A later usage counts if it is at least one window after the last usage that
    counts. The result depends only on the set of `usages`, not on their order or repetition.
    """
    countable: set[UsageReference] = set()
    last_counted_ms: int | None = None
    for usage in sorted(set(usages)):
        if last_counted_ms is None or usage.at_ms - last_counted_ms >= window_ms:
            countable.add(usage)
            last_counted_ms = usage.at_ms
    return countable


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Result of merging the ledger of one instance."""

    instance: str
    new_entry_count: int
    """Number of entries that the merged ledger did not have before."""
    branch: str
    """Name of the branch that contains the instance's entries."""
    missing_entry_count: int
    """Number of entries in the merged branch that the instance has lost: those after its newest entry."""

    def summary(self) -> str:
        """Returns a one-line description for operators."""
        text = f"{self.new_entry_count} new entries of {self.instance}"
        if self.branch != self.instance:
            text += f", which came back from an old copy and went on: kept as {self.branch}"
        if self.missing_entry_count:
            text += (
                f", which came back from an old copy: it lacks {self.missing_entry_count} entries, "
                "see `ledger catch-up`"
            )
        return text
