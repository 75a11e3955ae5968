"""What the exporter does next. No I/O: replies and times come in, one step comes out.

The receiver is the authority on what it has: each reply carries its cursor and the chain's hash there. The
exporter sends from that cursor and from nowhere else, so that a reply that is lost, old or told twice can
only make it send again what the receiver will not take again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

FIRST, LONGEST = 100.0, 30_000.0  # ms before another try, after the first failure and at the most
REPEATS = 20  # replies in a row that bring nothing forward before the exporter waits as after a failure


@dataclass(slots=True, frozen=True)
class Send:
    after: int  # a batch of what comes after this entry


@dataclass(slots=True, frozen=True)
class Ask:
    """For the receiver's cursor."""


@dataclass(slots=True, frozen=True)
class Wait:
    ms: float


@dataclass(slots=True, frozen=True)
class Idle:
    """All is exported."""


@dataclass(slots=True, frozen=True)
class Stop:
    """Someone has to look: going on could bill twice or not at all."""

    reason: str


Next = Send | Ask | Wait | Idle | Stop


class Cursor:
    """`hash_at(number)` gives the chain's hash at an entry, None where this ledger has it not."""

    def __init__(self, hash_at: Callable[[int], bytes | None], chance: Random) -> None:
        self.hash_at, self.chance = hash_at, chance
        self.known: int | None = None  # the receiver's cursor
        self.most = 0  # the furthest it ever was
        self.fails = self.stalls = 0
        self.rewinds = 0  # times that the receiver had less than before
        self.waited = False

    def next(self, newest: int) -> Next:
        if self.fails and not self.waited:
            self.waited = True
            return Wait(self.pause())
        if self.known is None:
            return Ask()
        if self.known >= newest:
            return Idle()
        return Send(self.known)

    def pause(self) -> float:
        """Growing, with chance so that many exporters do not come back at once."""
        longest: float = min(LONGEST, FIRST * 2.0 ** min(self.fails - 1, 20))
        return longest * (0.5 + 0.5 * self.chance.random())

    def failed(self) -> None:
        """No reply, or none that could be read: the batch may have been applied, the next step asks."""
        self.fails += 1
        self.waited = False
        self.known = None

    def heard(self, cursor: int, hash_: bytes, newest: int) -> Stop | None:
        """A whole reply. Stop where the receiver's past is not this ledger's."""
        if cursor > newest:
            return Stop(
                f"the receiver has up to entry {cursor}, this ledger ends at {newest}: an old backup?"
            )
        here = self.hash_at(cursor)
        if here is None:
            return Stop(f"the receiver ends at entry {cursor}, which this ledger has no more")
        if here != hash_:
            return Stop(f"entry {cursor} is another one at the receiver: the ledgers have parted")
        forward = self.known is None or cursor > self.known
        if cursor < self.most:
            self.rewinds += self.known is None or cursor < self.known
        self.stalls = 0 if forward and cursor > self.most else self.stalls + 1
        self.most, self.known = max(self.most, cursor), cursor
        if self.stalls >= REPEATS:
            self.stalls = 0
            self.fails += 1
            self.waited = False
        elif forward:
            self.fails = 0
        return None
