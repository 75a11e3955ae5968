"""The table of members: which of two records holds, what is to be told on, sums for the anti-entropy.

Pure: `now` in ms is an argument; `changed` hears of each member that comes to another state or run.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import ceil, log2
from random import Random

from landingshift.membership.local_health import SATURATING_CONFIRMATION_COUNT
from landingshift.membership.messages import (
    DEPARTED_STATES,
    DIGEST_BUCKET_COUNT,
    MAX_GOSSIP_RECORDS,
    MAX_RECORDS_PER_PAGE,
    MemberRecord,
    MemberState,
)


@dataclass(slots=True, eq=False)
class Member:
    record: MemberRecord
    since_ms: float  # when it came to its state here, ms
    suspecting_members: set[str] = field(default_factory=set)  # who said that they suspect it


def bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % DIGEST_BUCKET_COUNT


def mark(r: MemberRecord) -> int:
    """Facts change too often to be compared, and a suspicion ends by itself."""
    state = r.state if r.state in DEPARTED_STATES else MemberState.ALIVE
    return zlib.crc32(f"{r.name} {r.run_id} {r.incarnation} {state}".encode())


class MemberTable:
    """`most` bounds the table; `me` is not in it."""

    def __init__(
        self, me: MemberRecord, most: int, changed: Callable[[Member, MemberState | None], None]
    ) -> None:
        self.local_record, self.max_members, self.on_state_change = me, most, changed
        self.members: dict[str, Member] = {}
        self.present_names: list[str] = []  # those neither dead nor left
        self.present_index: dict[str, int] = {}  # where a name stands among the present
        self.gossip_counts: dict[str, int] = {}  # names that are news, and how often each was told
        self.bucket_checksums = [0] * DIGEST_BUCKET_COUNT
        self.refused_record_count = 0  # records that found no room
        self.bucket_checksums[bucket(me.name)] ^= mark(me)

    # What is known

    def record(self, name: str) -> MemberRecord | None:
        if name == self.local_record.name:
            return self.local_record
        member = self.members.get(name)
        return member.record if member else None

    def known_names(self) -> set[str]:
        """Of all that were heard of and are not forgotten yet, there or not."""
        return {self.local_record.name, *self.members}

    def present_records(self) -> Iterator[MemberRecord]:
        return (self.members[name].record for name in self.present_names)

    def sample(self, chance: Random, count: int, but: tuple[str, ...] = ()) -> list[MemberRecord]:
        """Some of the present, chosen evenly; looks at no more names than it needs."""
        names = chance.sample(self.present_names, min(len(self.present_names), count + len(but)))
        return [self.members[name].record for name in names if name not in but][:count]

    # What is heard

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Takes a record that is newer than what is known; False where it is not."""
        member = self.members.get(record.name)
        was = None
        if member is None:
            if len(self.members) >= self.max_members and not self.make_room():
                self.refused_record_count += 1
                return False
            member = self.members[record.name] = Member(record, now)
            self.bucket_checksums[bucket(record.name)] ^= mark(record)
        else:
            old = member.record
            if record.precedence <= old.precedence:
                self.second(member, record)
                return False
            was = old.state
            self.bucket_checksums[bucket(record.name)] ^= mark(old) ^ mark(record)
            member.record = record
            if record.precedence[:3] == old.precedence[:3]:
                return True  # facts only: they ride on their owner's own messages
            if old.state is not record.state or old.run_id != record.run_id:
                member.since_ms = now
        member.suspecting_members = {record.reported_by} if record.state is MemberState.SUSPECT else set()
        self.stand(record)
        self.gossip_counts[record.name] = 0
        self.on_state_change(member, was)
        return True

    def second(self, member: Member, record: MemberRecord) -> None:
        """Another one suspects the same: told on, so that who has many against it is not waited for long."""
        old = member.record
        suspected = (
            old.state is MemberState.SUSPECT is record.state and old.precedence[:3] == record.precedence[:3]
        )
        if (
            suspected
            and record.reported_by not in member.suspecting_members
            and len(member.suspecting_members) <= SATURATING_CONFIRMATION_COUNT
        ):
            member.suspecting_members.add(record.reported_by)
            member.record = record
            self.gossip_counts[record.name] = 0

    def stand(self, record: MemberRecord) -> None:
        name, here = record.name, record.state not in DEPARTED_STATES
        if here and name not in self.present_index:
            self.present_index[name] = len(self.present_names)
            self.present_names.append(name)
        elif not here and name in self.present_index:
            at, last = self.present_index.pop(name), self.present_names.pop()
            if last != name:
                self.present_names[at], self.present_index[last] = last, at

    def update_local_record(self, record: MemberRecord) -> None:
        """A new word of this server's own about itself."""
        self.bucket_checksums[bucket(record.name)] ^= mark(self.local_record) ^ mark(record)
        if record.precedence[:3] != self.local_record.precedence[:3]:
            self.gossip_counts[record.name] = 0
        self.local_record = record

    def make_room(self) -> bool:
        gone = min(
            (m for m in self.members.values() if m.record.state in DEPARTED_STATES),
            key=lambda m: m.since_ms,
            default=None,
        )
        if gone is not None:
            self.forget(gone.record.name)
        return gone is not None

    def forget(self, name: str) -> None:
        """One that is gone."""
        member = self.members.pop(name)
        self.bucket_checksums[bucket(name)] ^= mark(member.record)
        self.gossip_counts.pop(name, None)

    def forget_departed(self, now: float, after: float) -> None:
        for name in [
            n
            for n, m in self.members.items()
            if m.record.state in DEPARTED_STATES and now - m.since_ms > after
        ]:
            self.forget(name)

    # What is told on

    def times(self) -> int:
        """How often one piece of news is told: told k times by each, e^-k of the fleet has not heard it."""
        return 2 + ceil(log2(len(self.present_names) + 2))

    def select_gossip(self, first: MemberRecord | None = None) -> list[MemberRecord]:
        """What has been told least, `first` before all; each counts as told."""
        chosen = [first] if first is not None else []
        if self.gossip_counts:
            most = self.times()
            for name in sorted(self.gossip_counts, key=self.gossip_counts.__getitem__)[
                : MAX_GOSSIP_RECORDS - len(chosen)
            ]:
                record = self.record(name)
                self.gossip_counts[name] += 1
                if self.gossip_counts[name] >= most:
                    del self.gossip_counts[name]
                if record is not None and record is not first:
                    chosen.append(record)
        return chosen

    def differing_pages(self, sums: list[int], pages: int) -> list[list[MemberRecord]]:
        """Pages of the records in buckets whose sums differ."""
        differ = {i for i, (a, b) in enumerate(zip(self.bucket_checksums, sums, strict=True)) if a != b}
        names = (
            [n for n in self.members if bucket(n) in differ][: pages * MAX_RECORDS_PER_PAGE] if differ else []
        )
        records = [self.members[n].record for n in names]
        return [records[i : i + MAX_RECORDS_PER_PAGE] for i in range(0, len(records), MAX_RECORDS_PER_PAGE)]
