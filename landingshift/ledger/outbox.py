"""What the server owes its store: batches in order, said again until they are durable. No I/O."""

from __future__ import annotations

from collections import deque

from landingshift.ledger.entries import Batch, Raw

FIXED = 96  # bytes that a use takes here beside its names
MARK = 8  # and what became of it
BATCH = 2000  # uses in one batch at the most


class Outbox:
    """`bound` in bytes, for all that is not durable; past it uses are dropped and counted."""

    def __init__(self, bound: int) -> None:
        self.bound, self.bytes = bound, 0
        self.n = 0  # uses so far
        self.number = self.acked = 0  # batches cut, and known to be durable
        self.uses: deque[Raw] = deque()
        self.sent: list[int] = []
        self.void: list[int] = []
        self.disputed: list[int] = []
        self.dropped = 0  # not told yet
        self.unacked: deque[tuple[Batch, int]] = deque()  # with its bytes

    def add(self, raw: Raw) -> bool:
        """Numbers the use; False where it had to be dropped."""
        size = FIXED + len(raw.tenant) + len(raw.method)
        if self.bytes + size > self.bound:
            self.dropped += 1
            return False
        self.n += 1
        raw.n = self.n
        self.bytes += size
        self.uses.append(raw)
        return True

    def settle(self, to: list[int], n: int) -> None:
        """`to` is one of sent, void and disputed. Small beside the use: never refused."""
        self.bytes += MARK
        to.append(n)

    @property
    def marks(self) -> bool:
        return bool(self.sent or self.void or self.disputed or self.dropped)

    def cut(self, ahead: int, marks: bool = True) -> Batch | None:
        """The next batch; None where there is nothing to say or `ahead` batches are on their way already.

        `marks`: what became of earlier uses is worth a batch of its own by now.
        """
        if len(self.unacked) >= ahead or not (self.uses or (marks and self.marks)):
            return None
        uses = [self.uses.popleft() for _ in range(min(BATCH, len(self.uses)))]
        # What became of a use goes with it or after it, never before: the store must know it.
        known = uses[-1].n if self.uses and uses else self.n
        self.number += 1
        sent, void, disputed = (self.told(n, known) for n in (self.sent, self.void, self.disputed))
        batch = Batch(self.number, uses, sent, void, disputed, self.dropped)
        self.dropped = 0
        size = sum(FIXED + len(u.tenant) + len(u.method) for u in uses) + MARK * (
            len(sent) + len(void) + len(disputed)
        )
        self.unacked.append((batch, size))
        return batch

    @staticmethod
    def told(numbers: list[int], known: int) -> list[int]:
        now = [n for n in numbers if n <= known]
        numbers[:] = [n for n in numbers if n > known]
        return now

    def ack(self, number: int) -> list[Raw]:
        """All batches up to this one are durable; returns their uses."""
        done: list[Raw] = []
        while self.unacked and self.unacked[0][0].number <= number:
            batch, size = self.unacked.popleft()
            self.bytes -= size
            self.acked = batch.number
            done += batch.uses
        return done

    def again(self) -> list[Batch]:
        """What a store that has come back must hear, in order."""
        return [batch for batch, _ in self.unacked]

    @property
    def empty(self) -> bool:
        return not (self.unacked or self.uses or self.marks)
