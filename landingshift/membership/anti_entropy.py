"""Push-pull anti-entropy: now and then two members compare their whole tables by digest.

Guarantee: what gossip has missed reaches every member that can be reached, some intervals later.
Failure mode: where much differs, one comparison brings a bounded part of it and the next one follows soon.
"""

from __future__ import annotations

from landingshift.membership.messages import Address, RecordPage, TableDigestMessage
from landingshift.membership.node_context import NodeContext

MAX_PAGES_PER_REPLY = 24  # datagrams that one comparison may bring about
FOLLOW_UP_INTERVAL_MS = 200.0  # to the next comparison after one that brought something new
FOLLOW_UP_JITTER = (0.5, 1.5)  # bounds of the factor on that interval
INTERVAL_JITTER = (0.8, 1.2)  # bounds of the factor on the regular interval


class AntiEntropy:
    """Starts comparisons and answers those of others.

    Attributes:
        next_sync_ms: When the next comparison is due.
    """

    def __init__(self, context: NodeContext, first_sync_ms: float) -> None:
        self._context = context
        self.next_sync_ms = first_sync_ms

    def on_timer(self, now_ms: float) -> None:
        """Sends a digest to one member if that is due."""
        if now_ms < self.next_sync_ms:
            return
        rng = self._context.rng
        interval_ms = self._context.timings.anti_entropy_interval_ms
        self.next_sync_ms = now_ms + interval_ms * rng.uniform(*INTERVAL_JITTER)
        for record in self._context.member_table.sample(rng, 1):
            self._send_digest(record.address, wants_digest=True)

    def on_first_contact(self, now_ms: float) -> None:
        """Somebody was heard for the first time: one neighbour is enough to learn of all others."""
        self.next_sync_ms = now_ms

    def on_new_records(self, now_ms: float) -> None:
        """A page brought something new: there may be more, and the next comparison comes soon."""
        follow_up_ms = now_ms + FOLLOW_UP_INTERVAL_MS * self._context.rng.uniform(*FOLLOW_UP_JITTER)
        self.next_sync_ms = min(self.next_sync_ms, follow_up_ms)

    def on_digest(self, sender: Address, digest: TableDigestMessage) -> None:
        """Sends the records that differ, and its own digest where the sender asks for that."""
        table = self._context.member_table
        for page in table.differing_pages(digest.bucket_checksums, MAX_PAGES_PER_REPLY):
            self._context.outbox.send(sender, RecordPage(), gossip=page)
        if digest.wants_digest and digest.bucket_checksums != tuple(table.digest.bucket_checksums):
            self._send_digest(sender, wants_digest=False)

    def _send_digest(self, receiver: Address, wants_digest: bool) -> None:
        checksums = tuple(self._context.member_table.digest.bucket_checksums)
        message = TableDigestMessage(checksums, wants_digest)
        self._context.outbox.send(receiver, message, gossip=[])
