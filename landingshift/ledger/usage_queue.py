"""Usage that the server owes its store: batches in order, sent again until they are durable. No I/O.

Guarantee: a batch stays until the store has committed it, and an outcome never goes before its usage.
Failure mode: past its bound the queue takes no more usage; what is dropped is counted and told to the
store.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from landingshift.ledger.store_messages import ReportedUsage, UsageBatch

USAGE_OVERHEAD_BYTES = 96  # that usage takes here besides its names
OUTCOME_BYTES = 8
MAX_BATCH_USAGE_COUNT = 2000


class DeliveryOutcome(Enum):
    """What became of an answer."""

    DELIVERED = "delivered"
    """The gateway's machine has acknowledged the complete answer."""
    UNDELIVERED = "undelivered"
    """The answer never left complete."""
    DISPUTED = "disputed"
    """Whether the answer arrived is unknown."""


class UsageQueue:
    """What is not durable yet, bounded in bytes.

    Attributes:
        limit_bytes: Bound of `queued_bytes` for new usage.
        queued_bytes: Size of all that is not durable.
        last_sequence: Sequence of the latest usage.
        last_batch_number: Number of the latest batch that was built.
        unsent_usages: Usage that is in no batch yet.
        dropped_count: Usage that found no room since the last batch.
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
        """Whether everything is durable."""
        return not (self.unacknowledged or self.unsent_usages or self._has_outcomes)

    def add(self, usage: ReportedUsage) -> bool:
        """Numbers the usage and queues it; False where it had to be dropped."""
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
        """Queues what became of an answer. Small beside the usage: never refused."""
        self.queued_bytes += OUTCOME_BYTES
        self._unsent_outcomes[outcome].append(sequence)

    def next_batch(self, max_in_flight_count: int, outcomes_are_due: bool = True) -> UsageBatch | None:
        """Builds the next batch.

        Args:
            max_in_flight_count: Batches that may be unacknowledged.
            outcomes_are_due: Whether outcomes of earlier usage are worth a batch of their own by now.

        Returns:
            None where there is nothing to send, or enough is in flight.
        """
        has_content = bool(self.unsent_usages) or (outcomes_are_due and self._has_outcomes)
        if len(self.unacknowledged) >= max_in_flight_count or not has_content:
            return None
        count = min(MAX_BATCH_USAGE_COUNT, len(self.unsent_usages))
        usages = [self.unsent_usages.popleft() for _ in range(count)]
        # An outcome goes with its usage or after it, never before: the store must know the usage.
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
        """All batches up to this one are durable.

        Returns:
            Their usage.
        """
        durable: list[ReportedUsage] = []
        while self.unacknowledged and self.unacknowledged[0][0].number <= batch_number:
            batch, size_bytes = self.unacknowledged.popleft()
            self.queued_bytes -= size_bytes
            durable += batch.usages
        return durable

    def unacknowledged_batches(self) -> list[UsageBatch]:
        """What a store that was started again must get, in order."""
        return [batch for batch, _ in self.unacknowledged]

    @property
    def _has_outcomes(self) -> bool:
        return bool(self.dropped_count) or any(self._unsent_outcomes.values())

    def _take_outcomes(self, outcome: DeliveryOutcome, last_sequence: int) -> list[int]:
        sequences = self._unsent_outcomes[outcome]
        self._unsent_outcomes[outcome] = [sequence for sequence in sequences if sequence > last_sequence]
        return [sequence for sequence in sequences if sequence <= last_sequence]


def _size_bytes(usage: ReportedUsage) -> int:
    return USAGE_OVERHEAD_BYTES + len(usage.tenant) + len(usage.method)
