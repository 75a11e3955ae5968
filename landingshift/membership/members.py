"""The table of members: which of two records holds, what is to be told on, sums for the anti-entropy.

Pure: `now` in ms is an argument; `changed` hears of each member that comes to another state or run.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import ceil, log2
from random import Random

from landingshift.membership.health import CONFIRMED
from landingshift.membership.messages import GONE, NEWS, PAGE, SUMS, Record, State


@dataclass(slots=True, eq=False)
class Member:
    record: Record
    since: float  # when it came to its state here, ms
    doubters: set[str] = field(default_factory=set)  # who said that they suspect it


def bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % SUMS


def mark(r: Record) -> int:
    """Facts change too often to be compared, and a suspicion ends by itself."""
    state = r.state if r.state in GONE else State.ALIVE
    return zlib.crc32(f"{r.name} {r.run} {r.incarnation} {state}".encode())


class Members:
    """`most` bounds the table; `me` is not in it."""

    def __init__(self, me: Record, most: int, changed: Callable[[Member, State | None], None]) -> None:
        self.me, self.most, self.changed = me, most, changed
        self.table: dict[str, Member] = {}
        self.present: list[str] = []  # those neither dead nor left
        self.place: dict[str, int] = {}  # where a name stands among the present
        self.spread: dict[str, int] = {}  # names that are news, and how often each was told
        self.sums = [0] * SUMS
        self.refused = 0  # records that found no room
        self.sums[bucket(me.name)] ^= mark(me)

    # What is known

    def get(self, name: str) -> Record | None:
        if name == self.me.name:
            return self.me
        member = self.table.get(name)
        return member.record if member else None

    def names(self) -> set[str]:
        """Of all that were heard of and are not forgotten yet, there or not."""
        return {self.me.name, *self.table}

    def alive(self) -> Iterator[Record]:
        return (self.table[name].record for name in self.present)

    def pick(self, chance: Random, count: int, but: tuple[str, ...] = ()) -> list[Record]:
        """Some of the present, chosen evenly; looks at no more names than it needs."""
        names = chance.sample(self.present, min(len(self.present), count + len(but)))
        return [self.table[name].record for name in names if name not in but][:count]

    # What is heard

    def learn(self, record: Record, now: float) -> bool:
        """Takes a record that is newer than what is known; False where it is not."""
        member = self.table.get(record.name)
        was = None
        if member is None:
            if len(self.table) >= self.most and not self.make_room():
                self.refused += 1
                return False
            member = self.table[record.name] = Member(record, now)
            self.sums[bucket(record.name)] ^= mark(record)
        else:
            old = member.record
            if record.rank <= old.rank:
                self.second(member, record)
                return False
            was = old.state
            self.sums[bucket(record.name)] ^= mark(old) ^ mark(record)
            member.record = record
            if record.rank[:3] == old.rank[:3]:
                return True  # facts only: they ride on their owner's own messages
            if old.state is not record.state or old.run != record.run:
                member.since = now
        member.doubters = {record.by} if record.state is State.SUSPECT else set()
        self.stand(record)
        self.spread[record.name] = 0
        self.changed(member, was)
        return True

    def second(self, member: Member, record: Record) -> None:
        """Another one suspects the same: told on, so that who has many against it is not waited for long."""
        old = member.record
        suspected = old.state is State.SUSPECT is record.state and old.rank[:3] == record.rank[:3]
        if suspected and record.by not in member.doubters and len(member.doubters) <= CONFIRMED:
            member.doubters.add(record.by)
            member.record = record
            self.spread[record.name] = 0

    def stand(self, record: Record) -> None:
        name, here = record.name, record.state not in GONE
        if here and name not in self.place:
            self.place[name] = len(self.present)
            self.present.append(name)
        elif not here and name in self.place:
            at, last = self.place.pop(name), self.present.pop()
            if last != name:
                self.present[at], self.place[last] = last, at

    def own(self, record: Record) -> None:
        """A new word of this server's own about itself."""
        self.sums[bucket(record.name)] ^= mark(self.me) ^ mark(record)
        if record.rank[:3] != self.me.rank[:3]:
            self.spread[record.name] = 0
        self.me = record

    def make_room(self) -> bool:
        gone = min(
            (m for m in self.table.values() if m.record.state in GONE), key=lambda m: m.since, default=None
        )
        if gone is not None:
            self.forget(gone.record.name)
        return gone is not None

    def forget(self, name: str) -> None:
        """One that is gone."""
        member = self.table.pop(name)
        self.sums[bucket(name)] ^= mark(member.record)
        self.spread.pop(name, None)

    def forget_gone(self, now: float, after: float) -> None:
        for name in [n for n, m in self.table.items() if m.record.state in GONE and now - m.since > after]:
            self.forget(name)

    # What is told on

    def times(self) -> int:
        """How often one piece of news is told: told k times by each, e^-k of the fleet has not heard it."""
        return 2 + ceil(log2(len(self.present) + 2))

    def news(self, first: Record | None = None) -> list[Record]:
        """What has been told least, `first` before all; each counts as told."""
        chosen = [first] if first is not None else []
        if self.spread:
            most = self.times()
            for name in sorted(self.spread, key=self.spread.__getitem__)[: NEWS - len(chosen)]:
                record = self.get(name)
                self.spread[name] += 1
                if self.spread[name] >= most:
                    del self.spread[name]
                if record is not None and record is not first:
                    chosen.append(record)
        return chosen

    def differing(self, sums: list[int], pages: int) -> list[list[Record]]:
        """Pages of the records in buckets whose sums differ."""
        differ = {i for i, (a, b) in enumerate(zip(self.sums, sums, strict=True)) if a != b}
        names = [n for n in self.table if bucket(n) in differ][: pages * PAGE] if differ else []
        records = [self.table[n].record for n in names]
        return [records[i : i + PAGE] for i in range(0, len(records), PAGE)]
