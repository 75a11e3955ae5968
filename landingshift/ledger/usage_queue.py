"""Queue of usage and delivery outcomes that the store has not committed yet. No I/O.

Guarantee: a batch is kept until the store has committed it, and an outcome is never in an earlier batch than
its usage. Failure mode: when its size limit is reached, the queue drops new usage; the next batch reports the
number of dropped records to the store.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from landingshift.ledger.store_messages import ReportedUsage, UsageBatch

USAGE_OVERHEAD_BYTES = 96  # estimated memory of a usage record in addition to its names
OUTCOME_BYTES = 8  # estimated memory of an outcome
MAX_BATCH_USAGE_COUNT = 2000


class DeliveryOutcome(Enum):
    """Outcome of the delivery of an answer."""

    DELIVERED = "delivered"
    """The gateway's machine acknowledged the complete answer."""
    UNDELIVERED = "undelivered"
    """The answer was never sent completely."""
    DISPUTED = "disputed"
    """Whether the answer arrived is unknown."""


class UsageQueue:
    """Collects usage and outcomes in numbered batches and keeps each batch until it is durable.

    Attributes:
        limit_bytes: Size limit of the queue; usage that would exceed it is dropped.
        queued_bytes: Estimated size of all usage and outcomes that are not durable yet.
        last_sequence: Sequence number of the newest usage; 0 if there is none.
        last_batch_number: Number of the newest batch; 0 if there is none.
        unsent_usages: Usage that is not in a batch yet.
        dropped_count: Number of usage records dropped since the newest batch was built.
        unacknowledged: Batches that are not durable yet, each with its size in bytes.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.queued_bytes = 0
        self.last_sequence = 0
        self.last_batch_number = 0
        self.unsent_usages: deque[ReportedUsage] = deque()
        self.dropped_count = 0
        self.unacknowledged: deque[tuple[UsageBatch, int]] = deque()
        self._unsent_outcomes: dict[DeliveryOutcome, list[int]] = {outcome: [] for outcome in DeliveryOutcome}

    @property
    def is_empty(self) -> bool:
        """Whether all usage and outcomes are durable."""
        return not (self.unacknowledged or self.unsent_usages or self._has_unsent_reports)

    def add(self, usage: ReportedUsage) -> bool:
        """Assigns the next sequence number to a usage record and queues it.

        Returns:
            False if the queue is full and the record was dropped.
        """
        size_bytes = _size_bytes(usage)
        if self.queued_bytes + size_bytes > self.limit_bytes:
            self.dropped_count += 1
            return False
        self.last_sequence += 1
        usage.sequence = self.last_sequence
        self.queued_bytes += size_bytes
        self.unsent_usages.append(usage)
        return True

    def add_outcome(self, outcome: DeliveryOutcome, sequence: int) -> None:
        """Queues the outcome of an answer.

        Outcomes are small compared with their usage and are queued even if the limit is reached.

        Args:
            outcome: Outcome of the delivery.
            sequence: Sequence number of the answer's usage.
        """
        self.queued_bytes += OUTCOME_BYTES
        self._unsent_outcomes[outcome].append(sequence)

    def next_batch(self, max_in_flight_count: int, outcomes_are_due: bool = True) -> UsageBatch | None:
        """Builds the next batch from the queued usage and outcomes.

        Args:
            max_in_flight_count: Maximum number of unacknowledged batches.
            outcomes_are_due: Whether to build a batch even if it contains no usage.

        Returns:
            None if there is nothing to send or too many batches are unacknowledged.
        """
        has_content = bool(self.unsent_usages) or (outcomes_are_due and self._has_unsent_reports)
        if len(self.unacknowledged) >= max_in_flight_count or not has_content:
            return None
        count = min(MAX_BATCH_USAGE_COUNT, len(self.unsent_usages))
        usages = [self.unsent_usages.popleft() for _ in range(count)]
        # The store rejects the outcome of a usage record that it does not have. Therefore outcomes stay in
        # the queue until their usage is in a batch.
        last_sent_sequence = usages[-1].sequence if self.unsent_usages and usages else self.last_sequence
        delivered = self._take_outcomes(DeliveryOutcome.DELIVERED, last_sent_sequence)
        undelivered = self._take_outcomes(DeliveryOutcome.UNDELIVERED, last_sent_sequence)
        disputed = self._take_outcomes(DeliveryOutcome.DISPUTED, last_sent_sequence)
        self.last_batch_number += 1
        batch = UsageBatch(
            self.last_batch_number, usages, delivered, undelivered, disputed, self.dropped_count
        )
        self.dropped_count = 0
        outcome_count = len(delivered) + len(undelivered) + len(disputed)
        size_bytes = sum(map(_size_bytes, usages)) + OUTCOME_BYTES * outcome_count
        self.unacknowledged.append((batch, size_bytes))
        return batch

    def acknowledge(self, batch_number: int) -> list[ReportedUsage]:
        """Removes all batches up to `batch_number`, because they are durable.

        Returns:
            The usage of the removed batches.
        """
        durable: list[ReportedUsage] = []
        while self.unacknowledged and self.unacknowledged[0][0].number <= batch_number:
            batch, size_bytes = self.unacknowledged.popleft()
            self.queued_bytes -= size_bytes
            durable += batch.usages
        return durable

    def unacknowledged_batches(self) -> list[UsageBatch]:
        """Returns the batches to send again to a restarted store process, in order."""
        return [batch for batch, _ in self.unacknowledged]

    @property
    def _has_unsent_reports(self) -> bool:
        """Whether there are outcomes or dropped records that are not in a batch yet."""
        return bool(self.dropped_count) or any(self._unsent_outcomes.values())

    def _take_outcomes(self, outcome: DeliveryOutcome, last_sequence: int) -> list[int]:
        sequences = self._unsent_outcomes[outcome]
        self._unsent_outcomes[outcome] = [sequence for sequence in sequences if sequence > last_sequence]
        return [sequence for sequence in sequences if sequence <= last_sequence]


def _size_bytes(usage: ReportedUsage) -> int:
    return USAGE_OVERHEAD_BYTES + len(usage.tenant) + len(usage.method)
