"""What the ledger decides: which entries a batch becomes, what counts, in which period. No I/O; time is told.

A use counts once it is settled: the answer is with the gateway's machine and no use of the same identity was
counted within the window. What is settled stays in the period of its time while that is open; after its close
it counts in the period then open and names the one it belongs to. A period that is closed never changes.
"""

from __future__ import annotations

from collections.abc import MutableMapping
from dataclasses import dataclass, field
from hashlib import blake2b

from landingshift.ledger.entries import (
    KINDS,
    START,
    Batch,
    Closed,
    Correction,
    Entry,
    Gap,
    Name,
    Opened,
    Raw,
    Resolved,
    Settled,
    Use,
    chain,
    encode,
    numbers,
    ranges,
)
from landingshift.ledger.periods import BadPeriod, Calendar, Period
from landingshift.ledger.recent import Recent

Row = tuple[int, int, bytes, bytes]  # number, kind, data, hash
Place = tuple[str, str, int, int]  # period, the one it belongs to or "", tenant, method
Sums = list[int]  # uses, work in us, bytes in, bytes out


class Refused(Exception):
    """A command that would break a promise; the text says which and why. Nothing is changed."""


@dataclass(slots=True)
class Step:
    """What one commit writes. Nothing of it is true before it is durable."""

    rows: list[Row] = field(default_factory=list)
    totals: dict[Place, Sums] = field(default_factory=dict)
    disputed: list[int] = field(default_factory=list)
    resolved: list[int] = field(default_factory=list)
    closed: list[tuple[Closed, int]] = field(default_factory=list)
    corrections: list[tuple[Correction, int]] = field(default_factory=list)
    names: list[tuple[Name, int]] = field(default_factory=list)


class Book:
    """State of one store between two commits. After a commit that failed it is made anew from the store.

    `names` finds a tenant's (True, name) or a method's (False, name) entry.
    """

    def __init__(
        self, calendar: Calendar, recent: Recent, names: MutableMapping[tuple[bool, bytes], int]
    ) -> None:
        self.calendar, self.recent, self.names = calendar, recent, names
        self.last, self.hash = 0, START  # the newest entry
        self.closed_until = 0  # end of the last period that was closed
        self.batch = 0  # the last batch of this run
        self.pending: dict[
            int, tuple[int, Use]
        ] = {}  # unsettled uses by the server's count, and their entries
        self.step = Step()

    def take_step(self) -> Step:
        step, self.step = self.step, Step()
        return step

    def append(self, entry: Entry) -> int:
        kind, data = KINDS[type(entry)], encode(entry)
        self.last += 1
        self.hash = chain(self.hash, kind, data)
        self.step.rows.append((self.last, kind, data, self.hash))
        return self.last

    def name(self, tenant: bool, name: bytes) -> int:
        number = self.names.get((tenant, name))
        if number is None:
            entry = Name(tenant, name)
            number = self.append(entry)
            self.names[tenant, name] = number
            self.step.names.append((entry, number))
        return number

    # What servers bring

    def open(self, run: bytes, now: int) -> int:
        """A new run: what an earlier one left unsettled may or may not have arrived. Returns how many."""
        left = [number for number, _ in self.pending.values()]
        self.pending.clear()
        self.batch = 0
        self.append(Opened(run, now, ranges(left)))
        self.step.disputed += left
        return len(left)

    def take(self, batch: Batch, now: int) -> None:
        if batch.number <= self.batch:
            return  # said again by a server that did not hear the answer: no use counts twice
        if batch.number != self.batch + 1:
            raise Refused(f"batch {batch.number} after {self.batch}: the server and the store disagree")
        self.batch = batch.number
        for raw in batch.uses:
            self.use(raw)
        if batch.dropped:
            self.append(Gap(now, batch.dropped))
        if batch.sent or batch.void or batch.disputed:
            self.settle(batch)

    def use(self, raw: Raw) -> None:
        tenant, method = self.name(True, raw.tenant), self.name(False, raw.method)
        use = Use(raw.n, raw.at, tenant, method, raw.work, raw.size_in, raw.size_out, raw.identity)
        self.pending[raw.n] = self.append(use), use

    def settle(self, batch: Batch) -> None:
        counted, repeats = [], []
        for n in batch.sent:
            number, use = self.unsettled(n)
            if self.recent.seen(use.identity, use.at):
                repeats.append(number)
            else:
                counted.append(number)
                self.count(use)
        void = [self.unsettled(n)[0] for n in batch.void]
        doubt = [self.unsettled(n)[0] for n in batch.disputed]
        self.step.disputed += doubt
        self.append(Settled(ranges(counted), ranges(repeats), ranges(void), ranges(doubt)))

    def unsettled(self, n: int) -> tuple[int, Use]:
        if n not in self.pending:
            raise Refused(f"use {n} is not there or settled: the server and the store disagree")
        return self.pending.pop(n)

    def count(self, use: Use) -> None:
        self.recent.add(use.identity, use.at)
        self.add(use.at, use.tenant, use.method, (1, use.work, use.size_in, use.size_out))

    def add(self, at: int, tenant: int, method: int, sums: tuple[int, int, int, int]) -> None:
        place = *self.calendar.counts_in(at, self.closed_until), tenant, method
        total = self.step.totals.get(place)
        if total is None:
            self.step.totals[place] = list(sums)
        else:
            for i, value in enumerate(sums):
                total[i] += value

    def low(self) -> int:
        """The first entry that an opening has to look at for unsettled uses."""
        return min((number for number, _ in self.pending.values()), default=self.last + 1)

    # What operators bring

    def close(self, name: str, now: int, first_open: str | None, totals: list[tuple[object, ...]]) -> bool:
        """False where it was closed before. `first_open`: the earliest period with anything in it."""
        period = self.period(name)
        if period.end <= self.closed_until:
            return False
        if now < period.end:
            raise Refused(f"{name} has not ended: nothing can be closed before its time")
        if first_open is not None and self.calendar.named(first_open).start < period.start:
            raise Refused(f"{first_open} is open and comes before {name}: close it first")
        entry = Closed(now, name, period.start, period.end, digest(totals))
        self.step.closed.append((entry, self.append(entry)))
        self.closed_until = period.end
        return True

    def correct(
        self,
        tenant: bytes,
        method: bytes,
        belongs: str,
        uses: int,
        work: int,
        amount: str,
        reason: str,
        who: str,
        now: int,
    ) -> Correction:
        """Counts in the period it belongs to while that is open, else in the one then open. `work` in us."""
        period = self.period(belongs)
        if not (uses or work or amount):
            raise Refused("a correction of nothing: state uses, work or an amount")
        if not reason.strip():
            raise Refused("a correction needs a reason")
        if period.start > now:
            raise Refused(f"{belongs} has not begun")
        open_now = period if period.end > self.closed_until else self.calendar.at(self.closed_until)
        entry = Correction(
            now,
            self.name(True, tenant),
            self.name(False, method),
            belongs,
            open_now.name,
            uses,
            work,
            amount,
            reason,
            who,
        )
        self.step.corrections.append((entry, self.append(entry)))
        place = open_now.name, belongs if belongs != open_now.name else "", entry.tenant, entry.method
        total = self.step.totals.setdefault(place, [0, 0, 0, 0])
        total[0] += uses
        total[1] += work
        return entry

    def resolve(
        self, billed: dict[int, Use], waived: list[int], known: Recent, reason: str, who: str, now: int
    ) -> int:
        """Returns how many of `billed` count: one whose identity was counted about its time is a repeat.

        `known` holds what was counted about the time of each: what is remembered for new uses is too young.
        """
        if not reason.strip():
            raise Refused("a resolution needs a reason")
        good = {}
        for number, use in billed.items():
            if not known.seen(use.identity, use.at):
                good[number] = use
                known.add(use.identity, use.at)
                self.count(use)
        spare = [number for number in billed if number not in good]
        self.append(Resolved(now, ranges(list(good)), ranges(waived + spare), reason, who))
        self.step.resolved += [*billed, *waived]
        return len(good)

    def period(self, name: str) -> Period:
        try:
            return self.calendar.named(name)
        except BadPeriod as err:
            raise Refused(str(err)) from err

    # What the store holds already

    def replay(self, number: int, entry: Entry, hash_: bytes, counted: bool) -> None:
        """An entry that is durable, in order. `counted`: identities that it counted are remembered again."""
        self.last, self.hash = number, hash_
        match entry:
            case Use():
                self.pending[entry.n] = number, entry
            case Settled():
                by_number = {number: use for number, use in self.pending.values()}
                for spans in (entry.counted, entry.repeats, entry.void, entry.disputed):
                    for at in numbers(spans):
                        use = by_number.get(at)
                        if use is not None:
                            del self.pending[use.n]
                            if counted and spans is entry.counted:
                                self.recent.add(use.identity, use.at)
            case Opened():
                self.pending.clear()
                self.batch = 0
            case Closed():
                self.closed_until = max(self.closed_until, entry.end)
            case Name():
                self.names[entry.tenant, entry.name] = number


def digest(totals: list[tuple[object, ...]]) -> bytes:
    """Of a period's totals, whatever order they come in."""
    h = blake2b(digest_size=16)
    for row in sorted(map(encode, totals)):
        h.update(row)
    return h.digest()
