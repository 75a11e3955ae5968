"""Rules for merging many ledgers into one; results do not depend on the order of merging. No I/O.

A *branch* is one hash chain of an instance. An instance that was restored from an old backup and continued
writing has two chains that differ from some entry on. The second chain is a branch of its own, named after
the instance and the first entry that differs. The merged ledger keeps both branches.
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
    """The entry's hash does not follow from the entry before it."""


def classify_entry(
    number: int, entry_hash: bytes, follows_chain: bool, head_number: int, known_hash: bytes | None
) -> EntryRelation:
    """Decides how a received entry relates to a branch.

    Args:
        number: Number of the received entry.
        entry_hash: Hash of the received entry.
        follows_chain: Whether the hash is correct for the branch's entry before it.
        head_number: Number of the branch's newest entry.
        known_hash: Hash of the branch's own entry with this number, if any.
    """
    if number <= head_number:
        return EntryRelation.KNOWN if known_hash == entry_hash else EntryRelation.DIVERGED
    if number > head_number + 1:
        return EntryRelation.AHEAD
    return EntryRelation.NEXT if follows_chain else EntryRelation.BROKEN


def branch_name(instance: str, number: int, entry_hash: bytes) -> str:
    """Returns the name of an instance's branch whose first differing entry has this number and hash."""
    return f"{instance}~{number}-{entry_hash.hex()[:HASH_PREFIX_LENGTH]}"


class UsageReference(NamedTuple):
    """Refers to a usage entry of a branch; the order of the fields is the order of deduplication."""

    at_ms: int
    """Unix time of the usage."""
    branch: str
    number: int
    """Number of the usage entry in the branch."""


def countable_usages(usages: Iterable[UsageReference], window_ms: int) -> set[UsageReference]:
    """Decides which usage of one identity counts.

    The earliest usage counts, and then each usage that is one window or more after the last that counts. The
    result depends only on the set of `usages`, not on their order or repetition.
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
    """Number of entries that the merged ledger has after the instance's newest entry."""

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
