"""Merging of many ledgers into one. Pure: what follows from a set of entries, whatever order they came in.

A *branch* is one instance's chain. An instance that came back from an old backup and went on writes another
chain from some entry on; that is a branch of its own, named after the instance and the first entry that
differs. Both branches stand.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

HASH_PREFIX_LENGTH = 8  # hexadecimal digits in the name of a branch


class EntryFit(Enum):
    """How an entry that came stands to a branch."""

    NEXT = 1
    """It follows the branch's newest entry."""
    KNOWN = 2
    """The branch has it."""
    AHEAD = 3
    """An entry before it is missing and must be asked for first."""
    DIVERGED = 4
    """The branch has another entry of this number."""
    BROKEN = 5
    """Its hash does not follow from the entry before it."""


def classify_entry(
    number: int, entry_hash: bytes, follows_chain: bool, head_number: int, known_hash: bytes | None
) -> EntryFit:
    """How an entry stands to a branch.

    Args:
        number: Number of the entry.
        entry_hash: Hash of the entry.
        follows_chain: Whether the hash is the chain's over the entry before it.
        head_number: The branch's newest entry.
        known_hash: Hash of the branch's entry of this number, if any.
    """
    if number <= head_number:
        return EntryFit.KNOWN if known_hash == entry_hash else EntryFit.DIVERGED
    if number > head_number + 1:
        return EntryFit.AHEAD
    return EntryFit.NEXT if follows_chain else EntryFit.BROKEN


def branch_name(instance: str, number: int, entry_hash: bytes) -> str:
    """The name of the branch that goes another way from this entry on."""
    return f"{instance}~{number}-{entry_hash.hex()[:HASH_PREFIX_LENGTH]}"


class UsageReference(NamedTuple):
    """Usage of one identity, in the order in which it is looked at."""

    at_ms: int
    branch: str
    number: int


def countable_usages(usages: Iterable[UsageReference], window_ms: int) -> set[UsageReference]:
    """Decides which usage of one identity counts: each that is a window or more after the last that does.

    Goes by the set alone, so that any order of merging and any repetition gives the same.
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
    """What came of merging one instance, and how its ledger stands to what is merged of it."""

    instance: str
    new_entry_count: int
    branch: str
    """The branch that has the entries."""
    missing_entry_count: int
    """Entries that are merged and that the instance has not."""

    def summary(self) -> str:
        """One line for operators."""
        text = f"{self.new_entry_count} new entries of {self.instance}"
        if self.branch != self.instance:
            text += f", which came back from an old copy and went on: kept as {self.branch}"
        if self.missing_entry_count:
            text += (
                f", which came back from an old copy: it lacks {self.missing_entry_count} entries, "
                "see `ledger catch-up`"
            )
        return text
