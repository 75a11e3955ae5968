"""Tracks sent answers until it is known whether the gateway received them.

An answer is delivered if the gateway's machine acknowledged all of its bytes, or if the gateway closed the
connection after reading everything. The socket's count of unacknowledged bytes (`TIOCOUTQ`) shows what is
acknowledged. An answer is undelivered if the connection closed before all of the answer was sent. It is
disputed if it was sent completely, but the connection broke or a timeout passed before it was acknowledged.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from fcntl import ioctl
from termios import TIOCOUTQ

from landingshift.ledger.usage_queue import DeliveryOutcome, UsageQueue
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.stream import Stream

DELIVERY_TIMEOUT_MS = 60_000.0  # an answer not acknowledged after this time is disputed
COMPLETE_CLOSE_REASONS = ("closed_by_gateway", "goaway")  # reasons that imply the gateway read everything
TIOCOUTQ_BYTES = 4  # size of the C int that the ioctl returns


@dataclass(slots=True, eq=False)
class SentAnswer:
    """An answer that was written to its connection's stream."""

    sequence: int
    """Sequence number of its usage."""
    stream: Stream
    end_offset_bytes: int
    """Offset of the answer's end in the stream's output."""
    sent_ms: float
    """Loop time at which the answer was written."""


class DeliveryTracker:
    """Determines the delivery outcome of each answer and adds it to the usage queue."""

    def __init__(self, loop: Loop, queue: UsageQueue) -> None:
        self._loop = loop
        self._queue = queue
        self._in_transit: deque[SentAnswer] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether every tracked answer has an outcome."""
        return not self._in_transit

    def track(self, sequence: int, stream: Stream) -> None:
        """Starts tracking an answer; call it directly after the answer was written to the stream.

        Args:
            sequence: Sequence number of the answer's usage.
            stream: Stream of the gateway's connection.
        """
        self._in_transit.append(SentAnswer(sequence, stream, stream.queued_bytes, self._loop.now_ms))

    def queue_known_outcomes(self) -> None:
        """Adds the outcomes known by now to the usage queue and stops tracking their answers."""
        still_in_transit: deque[SentAnswer] = deque()
        unacknowledged_bytes: dict[Stream, int] = {}  # one system call per stream
        for answer in self._in_transit:
            outcome = self._outcome(answer, unacknowledged_bytes)
            if outcome is None:
                still_in_transit.append(answer)
            else:
                self._queue.add_outcome(outcome, answer.sequence)
        self._in_transit = still_in_transit

    def dispute_remaining(self) -> None:
        """Marks all answers still in transit as disputed; call it when the server stops."""
        for answer in self._in_transit:
            self._queue.add_outcome(DeliveryOutcome.DISPUTED, answer.sequence)
        self._in_transit.clear()

    def _outcome(self, answer: SentAnswer, unacknowledged_bytes: dict[Stream, int]) -> DeliveryOutcome | None:
        """Returns the outcome of an answer; None if it is not known yet."""
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
        # The unacknowledged bytes are always the last ones sent, so all bytes before them are acknowledged.
        if stream.sent_bytes - unacknowledged_bytes[stream] >= answer.end_offset_bytes:
            return DeliveryOutcome.DELIVERED
        if self._loop.now_ms - answer.sent_ms < DELIVERY_TIMEOUT_MS:
            return None
        return DeliveryOutcome.DISPUTED


def _unacknowledged_bytes(stream: Stream) -> int:
    """Returns the number of sent bytes that the other side's kernel has not acknowledged."""
    return int.from_bytes(ioctl(stream.sock, TIOCOUTQ, bytes(TIOCOUTQ_BYTES)), "little")
