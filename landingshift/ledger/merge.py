"""Many ledgers into one. Pure: what follows from a set of entries, whatever order they came in.

A *line* is one instance's chain. An instance that came back from an old backup and went on writes another
chain from some entry on; that is a line of its own, named after the instance and the first entry that
differs. Both lines stand.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class Fit(Enum):
    NEXT = 1  # goes on from what is there
    KNOWN = 2  # is there, the same
    AHEAD = 3  # something before it is missing: ask for that first
    PARTED = 4  # another entry is there under this number
    BROKEN = 5  # its hash does not follow from the one before


def fit(number: int, hash_: bytes, follows: bool, head: int, here: bytes | None) -> Fit:
    """Where an entry belongs in a line that ends at `head`; `here`: the hash kept under its number, if any.

    `follows`: its hash is the chain's over the hash kept under the number before it.
    """
    if number <= head:
        return Fit.KNOWN if here == hash_ else Fit.PARTED
    if number > head + 1:
        return Fit.AHEAD
    return Fit.NEXT if follows else Fit.BROKEN


def parted(instance: str, number: int, hash_: bytes) -> str:
    """The name of the line that goes another way from this entry on."""
    return f"{instance}~{number}-{hash_.hex()[:8]}"


Place = tuple[int, str, int]  # at, line, number: the order in which uses of one identity are looked at


def counted(uses: Iterable[Place], window: int) -> set[Place]:
    """Which uses of one identity count: each that is a window or more after the last that does.

    Goes by the set alone, so that any order of merging, any repetition and any way round gives the same.
    """
    good: set[Place] = set()
    last: int | None = None
    for place in sorted(set(uses)):
        if last is None or place[0] - last >= window:
            good.add(place)
            last = place[0]
    return good


@dataclass(slots=True)
class Brought:
    """What came of one instance, and how its ledger stands to what is merged of it."""

    instance: str
    new: int  # entries
    line: str  # on which they are
    behind: int  # entries that are merged and that the instance has not

    def word(self) -> str:
        said = f"{self.new} new entries of {self.instance}"
        if self.line != self.instance:
            said += f", which came back from an old copy and went on: kept as {self.line}"
        if self.behind:
            said += (
                f", which came back from an old copy: it lacks {self.behind} entries, see `ledger catch-up`"
            )
        return said
