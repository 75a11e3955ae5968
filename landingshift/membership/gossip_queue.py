"""Queue of membership updates, from which each message takes the records it piggybacks.

Guarantee: each update is transmitted often enough to reach every member with high probability.
Failure mode: an update might miss a member by chance; anti-entropy delivers it later.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

from landingshift.membership.messages import MAX_GOSSIP_RECORDS, MemberRecord

EXTRA_TRANSMISSION_COUNT = 2  # added to the logarithm of the cluster size


def transmission_limit(present_count: int) -> int:
    """Returns how many times one member transmits each update.

    After every member has sent an update k times, a fraction of about e^-k has not received it. The limit
    therefore grows with the logarithm of the cluster size.
    """
    return EXTRA_TRANSMISSION_COUNT + ceil(log2(present_count + 2))


class GossipQueue:
    """Names of the members whose records still have to be transmitted.

    Attributes:
        transmission_counts: How often each queued record has been transmitted, keyed by member name.
    """

    def __init__(self, find_record: Callable[[str], MemberRecord | None]) -> None:
        self._find_record = find_record
        self.transmission_counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of queued names."""
        return len(self.transmission_counts)

    def enqueue(self, name: str) -> None:
        """Queues the changed record of a member, with a transmission count of 0."""
        self.transmission_counts[name] = 0

    def discard(self, name: str) -> None:
        """Removes a member's record from the queue if it is queued."""
        self.transmission_counts.pop(name, None)

    def select(self, present_count: int, first: MemberRecord | None = None) -> list[MemberRecord]:
        """Selects the least transmitted records for one message and counts each as transmitted.

        Args:
            present_count: Number of other members that are present.
            first: Record that the message must carry, whether or not it is queued.
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
