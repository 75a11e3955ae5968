"""Table of the cluster's members, with the newest known record of each.

A member is present while it is alive or a suspect, and departed once it is dead or has left. Changed records
are queued for gossip.

Guarantee: tables that received the same records agree on all states, in whatever order the records arrived.
Failure mode: a table that is full and has no departed member to evict rejects records of unknown members.
The module does no I/O: times, in ms, and the random generator are arguments.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from landingshift.membership.gossip_queue import GossipQueue
from landingshift.membership.local_health import CONFIRMATIONS_FOR_MIN_TIMEOUT
from landingshift.membership.messages import DEPARTED_STATES, MAX_RECORDS_PER_PAGE, MemberRecord, MemberState
from landingshift.membership.table_digest import TableDigest, bucket_of


@dataclass(slots=True, eq=False)
class Member:
    """An entry of the table.

    Attributes:
        record: The newest known record of the member.
        state_since_ms: Local time at which the member's current state or run ID was stored.
        accusers: Names of the members that reported the current suspicion; empty if there is none.
    """

    record: MemberRecord
    state_since_ms: float
    accusers: set[str] = field(default_factory=set)


StateObserver = Callable[[Member, MemberState | None], None]
"""Called when a member's state, run ID or incarnation has changed.

The arguments are the member and its previous state, which is None if the member is new.
"""


class MemberTable:
    """Records of all other known members, including departed members until they are removed.

    Attributes:
        local_record: This member's own record, which is not in `members`.
        max_members: Maximum number of entries.
        members: Entries by name, in the order in which they were added.
        present_names: Names of the members that are alive or suspects, unordered.
        present_index: Index in `present_names`, keyed by name.
        gossip: Queue of changed records to transmit.
        digest: Checksums of the table for anti-entropy, including the local record.
        rejected_record_count: Records rejected because the table was full.
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
        self.rejected_record_count = 0

    # Lookup

    def record(self, name: str) -> MemberRecord | None:
        """Returns the newest known record of a member, including this one; None if the name is unknown."""
        if name == self.local_record.name:
            return self.local_record
        member = self.members.get(name)
        return member.record if member else None

    def known_names(self) -> set[str]:
        """Returns the names of all members in the table and of this member, present or departed."""
        return {self.local_record.name, *self.members}

    def present_records(self) -> Iterator[MemberRecord]:
        """Iterates over the records of the other members that are present."""
        return (self.members[name].record for name in self.present_names)

    def sample(self, rng: Random, count: int, excluded_names: tuple[str, ...] = ()) -> list[MemberRecord]:
        """Returns the records of up to `count` random present members, in time independent of table size."""
        sample_size = min(len(self.present_names), count + len(excluded_names))
        names = rng.sample(self.present_names, sample_size)
        return [self.members[name].record for name in names if name not in excluded_names][:count]

    # Updates

    def merge(self, record: MemberRecord, now_ms: float) -> bool:
        """Stores a record if its member is unknown or it overrides the known record.

        A record that does not override the known one is counted if it confirms the known suspicion.

        Returns:
            Whether the record overrode the known one or added a member.
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
            return True  # only metadata changed: needs no gossip, as the member's own messages all carry it
        if known.state is not record.state or known.run_id != record.run_id:
            member.state_since_ms = now_ms
        self._on_liveness_change(member, known.state)
        return True

    def _add(self, record: MemberRecord, now_ms: float) -> bool:
        """Adds a member that is not in the table; returns whether there was room."""
        if len(self.members) >= self.max_members and not self._evict_departed():
            self.rejected_record_count += 1
            return False
        member = Member(record, now_ms)
        self.members[record.name] = member
        self.digest.toggle(record)
        self._on_liveness_change(member, None)
        return True

    def _on_liveness_change(self, member: Member, previous_state: MemberState | None) -> None:
        """Updates presence, queues gossip and calls the observer after a new state, run ID or incarnation."""
        record = member.record
        member.accusers = {record.reported_by} if record.state is MemberState.SUSPECT else set()
        self._update_presence(record)
        self.gossip.enqueue(record.name)
        self._on_state_change(member, previous_state)

    def _count_confirmation(self, member: Member, record: MemberRecord) -> None:
        """Counts and gossips the record if it confirms the known suspicion and comes from a new accuser.

        Each confirmation shortens the suspicion time-out, up to `CONFIRMATIONS_FOR_MIN_TIMEOUT`.
        """
        known = member.record
        is_same_suspicion = (
            known.state is MemberState.SUSPECT is record.state
            and known.liveness_precedence == record.liveness_precedence
        )
        if not is_same_suspicion or record.reported_by in member.accusers:
            return
        if len(member.accusers) <= CONFIRMATIONS_FOR_MIN_TIMEOUT:
            member.accusers.add(record.reported_by)
            member.record = record
            self.gossip.enqueue(record.name)

    def _update_presence(self, record: MemberRecord) -> None:
        """Adds or removes a present name in constant time: the last name moves to a removed name's index."""
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
        """Replaces this member's own record, and queues it for gossip if more than metadata changed."""
        self.digest.replace(self.local_record, record)
        if record.liveness_precedence != self.local_record.liveness_precedence:
            self.gossip.enqueue(record.name)
        self.local_record = record

    # Removal

    def _evict_departed(self) -> bool:
        """Removes the member that departed longest ago; returns whether there was one."""
        departed = [member for member in self.members.values() if member.record.state in DEPARTED_STATES]
        if not departed:
            return False
        self._forget(min(departed, key=lambda member: member.state_since_ms).record.name)
        return True

    def _forget(self, name: str) -> None:
        """Removes a departed member from the table."""
        member = self.members.pop(name)
        self.digest.toggle(member.record)
        self.gossip.discard(name)

    def forget_departed(self, now_ms: float, retention_ms: float) -> None:
        """Removes all members that departed more than `retention_ms` ago."""
        expired = [
            name
            for name, member in self.members.items()
            if member.record.state in DEPARTED_STATES and now_ms - member.state_since_ms > retention_ms
        ]
        for name in expired:
            self._forget(name)

    # Records to send

    def select_gossip(self, first: MemberRecord | None = None) -> list[MemberRecord]:
        """Selects the records that one message piggybacks: `first`, if given, and then queued updates."""
        return self.gossip.select(len(self.present_names), first)

    def differing_pages(self, other_checksums: tuple[int, ...], max_pages: int) -> list[list[MemberRecord]]:
        """Returns the records of all buckets whose checksum differs, split into at most `max_pages` pages."""
        buckets = self.digest.differing_buckets(other_checksums)
        if not buckets:
            return []
        names = [name for name in self.members if bucket_of(name) in buckets]
        records = [self.members[name].record for name in names[: max_pages * MAX_RECORDS_PER_PAGE]]
        return [
            records[start : start + MAX_RECORDS_PER_PAGE]
            for start in range(0, len(records), MAX_RECORDS_PER_PAGE)
        ]
