"""Queue of outgoing messages, which the driver of the node empties and sends."""

from __future__ import annotations

from landingshift.membership.member_table import MemberTable
from landingshift.membership.messages import Address, MemberRecord, Message, Payload

MAX_OUTBOX_MESSAGES = 4096


class Outbox:
    """Bounded queue of outgoing datagrams.

    Attributes:
        pending: Queued messages with the addresses of their receivers, oldest first.
        dropped_message_count: Messages dropped because the queue was full.
    """

    def __init__(self, member_table: MemberTable) -> None:
        self._member_table = member_table
        self.pending: list[tuple[Address, Message]] = []
        self.dropped_message_count = 0

    def send(
        self,
        receiver: Address,
        payload: Payload,
        sequence_number: int = 0,
        gossip: list[MemberRecord] | None = None,
    ) -> None:
        """Queues one message, or drops it if the queue is full.

        Args:
            receiver: Destination address.
            payload: Content of the message.
            sequence_number: Sequence number of the probe that the message belongs to; 0 if there is none.
            gossip: Records to piggyback; None selects the queued updates that were transmitted least often.
        """
        if len(self.pending) >= MAX_OUTBOX_MESSAGES:
            self.dropped_message_count += 1
            return
        records = self._member_table.select_gossip() if gossip is None else gossip
        message = Message(payload, self._member_table.local_record, sequence_number, records)
        self.pending.append((receiver, message))

    def pop_all(self) -> list[tuple[Address, Message]]:
        """Empties the queue and returns its messages."""
        messages = self.pending
        self.pending = []
        return messages
