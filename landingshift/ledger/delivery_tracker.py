"""Follows answers until it is known what became of them.

Decision: an answer counts as delivered once the gateway's machine has acknowledged all of it (the socket's
unacknowledged bytes, `TIOCOUTQ`); as undelivered where it never left complete; as disputed where the
connection broke in between, so that nobody knows.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from fcntl import ioctl
from termios import TIOCOUTQ

from landingshift.ledger.usage_queue import DeliveryOutcome, UsageQueue
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream

DELIVERY_TIMEOUT_MS = 60_000.0  # that an answer may be on its way before it is disputed
COMPLETE_CLOSE_REASONS = ("closed_by_gateway", "goaway")  # the gateway read all before the connection ended
TIOCOUTQ_BYTES = 4


@dataclass(slots=True, eq=False)
class SentAnswer:
    """An answer that was given to its connection."""

    sequence: int
    """Sequence of its usage."""
    stream: Stream
    end_offset_bytes: int
    """Where the answer ends in the stream."""
    sent_ms: float
    """Loop time."""


class DeliveryTracker:
    """Answers that are not known to have arrived, in the order in which they went."""

    def __init__(self, loop: Loop, queue: UsageQueue) -> None:
        self._loop = loop
        self._queue = queue
        self._in_transit: deque[SentAnswer] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether no answer is in transit."""
        return not self._in_transit

    def track(self, sequence: int, stream: Stream) -> None:
        """The answer of this usage was just written to a stream."""
        self._in_transit.append(SentAnswer(sequence, stream, stream.queued_bytes, self._loop.now_ms))

    def settle_known(self) -> None:
        """Queues the outcomes that are known by now."""
        still_in_transit: deque[SentAnswer] = deque()
        unacknowledged_bytes: dict[Stream, int] = {}  # asked once a stream
        for answer in self._in_transit:
            outcome = self._outcome(answer, unacknowledged_bytes)
            if outcome is None:
                still_in_transit.append(answer)
            else:
                self._queue.add_outcome(outcome, answer.sequence)
        self._in_transit = still_in_transit

    def dispute_rest(self) -> None:
        """Nothing more will be known: whatever is in transit is disputed."""
        for answer in self._in_transit:
            self._queue.add_outcome(DeliveryOutcome.DISPUTED, answer.sequence)
        self._in_transit.clear()

    def _outcome(self, answer: SentAnswer, unacknowledged_bytes: dict[Stream, int]) -> DeliveryOutcome | None:
        """What became of an answer; None where it is not known yet."""
        stream = answer.stream
        is_sent = stream.sent_bytes >= answer.end_offset_bytes
        if not stream.is_open:
            if not is_sent:
                return DeliveryOutcome.UNDELIVERED
            is_complete = stream.close_reason in COMPLETE_CLOSE_REASONS
            return DeliveryOutcome.DELIVERED if is_complete else DeliveryOutcome.DISPUTED
        if not is_sent:
            return None
        if stream not in unacknowledged_bytes:
            unacknowledged_bytes[stream] = _unacknowledged_bytes(stream)
        # Acknowledged up to here: what the kernel still has is the end of what was sent.
        if stream.sent_bytes - unacknowledged_bytes[stream] >= answer.end_offset_bytes:
            return DeliveryOutcome.DELIVERED
        if self._loop.now_ms - answer.sent_ms < DELIVERY_TIMEOUT_MS:
            return None
        return DeliveryOutcome.DISPUTED


def _unacknowledged_bytes(stream: Stream) -> int:
    """What was sent and is not acknowledged by the other side's kernel."""
    return int.from_bytes(ioctl(stream.sock, TIOCOUTQ, bytes(TIOCOUTQ_BYTES)), "little")
