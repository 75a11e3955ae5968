"""Push-pull anti-entropy: each sync compares the table digests of two members and exchanges what differs.

Guarantee: an update that gossip missed reaches every reachable member within a few syncs.
Failure mode: where two tables differ widely, one sync transfers only a bounded number of records; the next
sync follows after a shorter interval.
"""

from __future__ import annotations

from landingshift.membership.messages import Address, RecordPage, TableDigestMessage
from landingshift.membership.node_context import NodeContext

MAX_PAGES_PER_REPLY = 24  # bounds the datagrams sent in reply to one digest
FOLLOW_UP_INTERVAL_MS = 200.0  # delay of the next sync after a `RecordPage` with new records
FOLLOW_UP_JITTER = (0.5, 1.5)  # range of the random factor for the follow-up interval
INTERVAL_JITTER = (0.8, 1.2)  # range of the random factor for the regular interval


class AntiEntropy:
    """Starts periodic syncs and replies to the digests of other members.

    Attributes:
        next_sync_ms: Time at which the next sync is due.
    """

    def __init__(self, context: NodeContext, first_sync_ms: float) -> None:
        self._context = context
        self.next_sync_ms = first_sync_ms

    def on_timer(self, now_ms: float) -> None:
        """Sends a digest to one random member if a sync is due."""
        if now_ms < self.next_sync_ms:
            return
        rng = self._context.rng
        interval_ms = self._context.timings.anti_entropy_interval_ms
        self.next_sync_ms = now_ms + interval_ms * rng.uniform(*INTERVAL_JITTER)
        for record in self._context.member_table.sample(rng, 1):
            self._send_digest(record.address, wants_digest=True)

    def on_first_contact(self, now_ms: float) -> None:
        """Schedules a sync for now, since any one peer can supply the records of the whole cluster."""
        self.next_sync_ms = now_ms

    def on_new_records(self, now_ms: float) -> None:
        """Schedules an earlier sync after a page with new records, since the peer might have more."""
        follow_up_ms = now_ms + FOLLOW_UP_INTERVAL_MS * self._context.rng.uniform(*FOLLOW_UP_JITTER)
        self.next_sync_ms = min(self.next_sync_ms, follow_up_ms)

    def on_digest(self, sender: Address, digest: TableDigestMessage) -> None:
        """Replies to a differing digest with the records of the differing buckets.

        Also sends this member's own digest if the sender wants it.
        """
        table = self._context.member_table
        for page in table.differing_pages(digest.bucket_checksums, MAX_PAGES_PER_REPLY):
            self._context.outbox.send(sender, RecordPage(), gossip=page)
        if digest.wants_digest and digest.bucket_checksums != tuple(table.digest.bucket_checksums):
            self._send_digest(sender, wants_digest=False)

    def _send_digest(self, receiver: Address, wants_digest: bool) -> None:
        checksums = tuple(self._context.member_table.digest.bucket_checksums)
        message = TableDigestMessage(checksums, wants_digest)
        self._context.outbox.send(receiver, message, gossip=[])
