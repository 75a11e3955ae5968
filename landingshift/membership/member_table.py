"""The table of members: which of two records holds, who is present, what is news.

Guarantee: tables that have received the same records are alike, in whatever order those came.
Failure mode: a full table refuses unknown members, and counts them.
Pure: time in ms, chance and records are arguments.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from landingshift.membership.gossip_queue import GossipQueue
from landingshift.membership.local_health import SATURATING_CONFIRMATION_COUNT
from landingshift.membership.messages import DEPARTED_STATES, MAX_RECORDS_PER_PAGE, MemberRecord, MemberState
from landingshift.membership.table_digest import TableDigest, bucket_of


@dataclass(slots=True, eq=False)
class Member:
    """Another member as this one knows it.

    Attributes:
        record: The newest record.
        state_since_ms: When it came to its state here.
        suspecting_members: Names of those who said that they suspect it; empty unless it is a suspect.
    """

    record: MemberRecord
    state_since_ms: float
    suspecting_members: set[str] = field(default_factory=set)


StateObserver = Callable[[Member, MemberState | None], None]
"""Called with a member that came to another state or run, and its state before, None for a new one."""


class MemberTable:
    """All other members that are known, the departed ones included until they are forgotten.

    Attributes:
        local_record: This member's own record, which is not among `members`.
        max_members: Bound of the table.
        members: By name, in the order in which they were first heard of.
        present_names: Names of those neither dead nor left, in no order.
        present_index: Where each present name stands in `present_names`.
        gossip: What is to be sent on.
        digest: Checksums for the anti-entropy, with the local record.
        refused_record_count: Records for which there was no room.
    """

    def __init__(self, local_record: MemberRecord, max_members: int, on_state_change: StateObserver) -> None:
        self.local_record = local_record
        self.max_members = max_members
        self._on_state_change = on_state_change
        self.members: dict[str, Member] = {}
        self.present_names: list[str] = []
        self.present_index: dict[str, int] = {}
        self.gossip = GossipQueue(self.record)
        self.digest = TableDigest()
        self.digest.toggle(local_record)
        self.refused_record_count = 0

    # What is known

    def record(self, name: str) -> MemberRecord | None:
        """The newest record of that name, this member's own included."""
        if name == self.local_record.name:
            return self.local_record
        member = self.members.get(name)
        return member.record if member else None

    def known_names(self) -> set[str]:
        """Names of all that were heard of and are not forgotten yet, present or departed."""
        return {self.local_record.name, *self.members}

    def present_records(self) -> Iterator[MemberRecord]:
        """Records of the other members that are present."""
        return (self.members[name].record for name in self.present_names)

    def sample(self, rng: Random, count: int, excluded_names: tuple[str, ...] = ()) -> list[MemberRecord]:
        """Up to `count` present members, chosen evenly; looks at no more names than it needs."""
        sample_size = min(len(self.present_names), count + len(excluded_names))
        names = rng.sample(self.present_names, sample_size)
        return [self.members[name].record for name in names if name not in excluded_names][:count]

    # What is received

    def merge(self, record: MemberRecord, now_ms: float) -> bool:
        """Takes a record if it is newer than what is known.

        Returns:
            Whether it was newer, and there was room for it.
        """
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now_ms)
        known = member.record
        if record.precedence <= known.precedence:
            self._count_confirmation(member, record)
            return False
        self.digest.replace(known, record)
        member.record = record
        if record.liveness_precedence == known.liveness_precedence:
            return True  # metadata only: it rides on its owner's own messages
        if known.state is not record.state or known.run_id != record.run_id:
            member.state_since_ms = now_ms
        self._on_liveness_change(member, known.state)
        return True

    def _add(self, record: MemberRecord, now_ms: float) -> bool:
        """Takes the first record of a name; returns whether there was room."""
        if len(self.members) >= self.max_members and not self._evict_departed():
            self.refused_record_count += 1
            return False
        member = Member(record, now_ms)
        self.members[record.name] = member
        self.digest.toggle(record)
        self._on_liveness_change(member, None)
        return True

    def _on_liveness_change(self, member: Member, previous_state: MemberState | None) -> None:
        """A member came to another state, run or incarnation: that is news."""
        record = member.record
        member.suspecting_members = {record.reported_by} if record.state is MemberState.SUSPECT else set()
        self._update_presence(record)
        self.gossip.enqueue(record.name)
        self._on_state_change(member, previous_state)

    def _count_confirmation(self, member: Member, record: MemberRecord) -> None:
        """Counts another accuser of a suspect, and sends it on: a suspicion that many share is shorter."""
        known = member.record
        is_same_suspicion = (
            known.state is MemberState.SUSPECT is record.state
            and known.liveness_precedence == record.liveness_precedence
        )
        accusers = member.suspecting_members
        if not is_same_suspicion or record.reported_by in accusers:
            return
        if len(accusers) <= SATURATING_CONFIRMATION_COUNT:
            accusers.add(record.reported_by)
            member.record = record
            self.gossip.enqueue(record.name)

    def _update_presence(self, record: MemberRecord) -> None:
        """Keeps the list of the present in step with a record; a removed name gives its place to the last."""
        name = record.name
        is_present = record.state not in DEPARTED_STATES
        if is_present and name not in self.present_index:
            self.present_index[name] = len(self.present_names)
            self.present_names.append(name)
        elif not is_present and name in self.present_index:
            index = self.present_index.pop(name)
            last_name = self.present_names.pop()
            if last_name != name:
                self.present_names[index] = last_name
                self.present_index[last_name] = index

    def update_local_record(self, record: MemberRecord) -> None:
        """This member's own record changes."""
        self.digest.replace(self.local_record, record)
        if record.liveness_precedence != self.local_record.liveness_precedence:
            self.gossip.enqueue(record.name)
        self.local_record = record

    # What is forgotten

    def _evict_departed(self) -> bool:
        """Makes room at the cost of the one that departed longest ago; returns whether one had departed."""
        departed = [member for member in self.members.values() if member.record.state in DEPARTED_STATES]
        if not departed:
            return False
        self._forget(min(departed, key=lambda member: member.state_since_ms).record.name)
        return True

    def _forget(self, name: str) -> None:
        """Removes one that has departed."""
        member = self.members.pop(name)
        self.digest.toggle(member.record)
        self.gossip.discard(name)

    def forget_departed(self, now_ms: float, retention_ms: float) -> None:
        """Removes all tombstones that are older than `retention_ms`."""
        expired = [
            name
            for name, member in self.members.items()
            if member.record.state in DEPARTED_STATES and now_ms - member.state_since_ms > retention_ms
        ]
        for name in expired:
            self._forget(name)

    # What is sent on

    def select_gossip(self, first: MemberRecord | None = None) -> list[MemberRecord]:
        """News for one message; `first` must be among them."""
        return self.gossip.select(len(self.present_names), first)

    def differing_pages(self, other_checksums: tuple[int, ...], max_pages: int) -> list[list[MemberRecord]]:
        """Records, by pages, of the buckets in which another table differs; at most `max_pages` of them."""
        buckets = self.digest.differing_buckets(other_checksums)
        if not buckets:
            return []
        names = [name for name in self.members if bucket_of(name) in buckets]
        records = [self.members[name].record for name in names[: max_pages * MAX_RECORDS_PER_PAGE]]
        return [
            records[start : start + MAX_RECORDS_PER_PAGE]
            for start in range(0, len(records), MAX_RECORDS_PER_PAGE)
        ]
