"""Dissemination of news by piggybacking: which records ride on the next message.

Guarantee: each change of a record is sent often enough that, with high probability, all members receive it.
Failure mode: with some luck against it a member misses a change; the anti-entropy brings it later.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

from landingshift.membership.messages import MAX_GOSSIP_RECORDS, MemberRecord

EXTRA_TRANSMISSION_COUNT = 2  # over the logarithm of the cluster's size


def transmission_limit(present_count: int) -> int:
    """How often one member sends one piece of news.

    Sent k times by each, about e^-k of the members have not received it: the limit grows with the logarithm
    of the cluster's size.
    """
    return EXTRA_TRANSMISSION_COUNT + ceil(log2(present_count + 2))


class GossipQueue:
    """Names whose records are news, least sent first.

    Attributes:
        transmission_counts: How often the record of each name was sent since it changed.
    """

    def __init__(self, find_record: Callable[[str], MemberRecord | None]) -> None:
        self._find_record = find_record
        self.transmission_counts: dict[str, int] = {}

    def __len__(self) -> int:
        """How many names are news."""
        return len(self.transmission_counts)

    def enqueue(self, name: str) -> None:
        """The record of that name has changed: it is to be sent, as if it never had been."""
        self.transmission_counts[name] = 0

    def discard(self, name: str) -> None:
        """The name is forgotten."""
        self.transmission_counts.pop(name, None)

    def select(self, present_count: int, first: MemberRecord | None = None) -> list[MemberRecord]:
        """Records for one message, each of which counts as sent.

        Args:
            present_count: Other members that are present.
            first: A record that must ride on this message, whether or not it is news.
        """
        chosen = [first] if first is not None else []
        if not self.transmission_counts:
            return chosen
        limit = transmission_limit(present_count)
        least_transmitted = sorted(self.transmission_counts, key=self.transmission_counts.__getitem__)
        for name in least_transmitted[: MAX_GOSSIP_RECORDS - len(chosen)]:
            self.transmission_counts[name] += 1
            if self.transmission_counts[name] >= limit:
                del self.transmission_counts[name]
            record = self._find_record(name)
            if record is not None and record is not first:
                chosen.append(record)
        return chosen
