"""The export's state machine: what the exporter does next. No I/O: replies come in, one step comes out.

Guarantee: the receiver is the authority on what it has; each reply carries its cursor and the chain's hash
there. The exporter sends from that cursor and from nowhere else, so that a reply that is lost, old or
doubled can only make it send again what the receiver will not apply again. Failure mode: where the
receiver's past is not this ledger's, the export stops, since going on could bill twice or not at all.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 30_000.0
MAX_DOUBLING_COUNT = 20  # past it the backoff is at its maximum anyway
MAX_STALLED_REPLY_COUNT = 20  # replies in a row that bring nothing forward, before the exporter backs off


@dataclass(slots=True, frozen=True)
class SendBatch:
    """Send a batch of what comes after an entry."""

    after: int


@dataclass(slots=True, frozen=True)
class QueryCursor:
    """Ask for the receiver's cursor."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Do nothing for a time."""

    delay_ms: float


@dataclass(slots=True, frozen=True)
class Idle:
    """All is exported."""


@dataclass(slots=True, frozen=True)
class Stop:
    """An operator has to look: going on could bill twice or not at all."""

    reason: str


ExportStep = SendBatch | QueryCursor | Wait | Idle | Stop


class ExportCursor:
    """Decides the exporter's next step.

    Attributes:
        receiver_cursor: The entry up to which the receiver has everything; None where it must be asked.
        furthest_cursor: The furthest that it ever was.
        failure_count: Failures in a row.
        stalled_reply_count: Replies in a row that brought nothing forward.
        rewind_count: Times that the receiver had less than before.
    """

    def __init__(self, hash_at: Callable[[int], bytes | None], rng: Random) -> None:
        """Begins without knowing the receiver.

        Args:
            hash_at: The chain's hash at an entry, None where this ledger has it not.
            rng: Spreads the backoff.
        """
        self._hash_at = hash_at
        self._rng = rng
        self.receiver_cursor: int | None = None
        self.furthest_cursor = 0
        self.failure_count = 0
        self.stalled_reply_count = 0
        self.rewind_count = 0
        self._has_backed_off = False

    def next_step(self, newest_number: int) -> ExportStep:
        """The next step, where the ledger's newest entry is `newest_number`."""
        if self.failure_count and not self._has_backed_off:
            self._has_backed_off = True
            return Wait(self._backoff_ms())
        if self.receiver_cursor is None:
            return QueryCursor()
        if self.receiver_cursor >= newest_number:
            return Idle()
        return SendBatch(self.receiver_cursor)

    def on_request_failed(self) -> None:
        """No reply, or none that could be read: the batch may have been applied, the next step asks."""
        self._start_backoff()
        self.receiver_cursor = None

    def on_reply(self, cursor: int, cursor_hash: bytes, newest_number: int) -> Stop | None:
        """Takes in a complete reply.

        Args:
            cursor: The receiver's.
            cursor_hash: The chain's hash that the receiver has there.
            newest_number: The ledger's newest entry.

        Returns:
            Stop where the receiver's past is not this ledger's.
        """
        stop = self._contradiction(cursor, cursor_hash, newest_number)
        if stop is not None:
            return stop
        previous_cursor = self.receiver_cursor
        is_forward = previous_cursor is None or cursor > previous_cursor
        if cursor < self.furthest_cursor and (previous_cursor is None or cursor < previous_cursor):
            self.rewind_count += 1
        is_progress = is_forward and cursor > self.furthest_cursor
        self.stalled_reply_count = 0 if is_progress else self.stalled_reply_count + 1
        self.furthest_cursor = max(self.furthest_cursor, cursor)
        self.receiver_cursor = cursor
        if self.stalled_reply_count >= MAX_STALLED_REPLY_COUNT:
            self.stalled_reply_count = 0
            self._start_backoff()
        elif is_forward:
            self.failure_count = 0
        return None

    def _contradiction(self, cursor: int, cursor_hash: bytes, newest_number: int) -> Stop | None:
        if cursor > newest_number:
            return Stop(
                f"the receiver has up to entry {cursor}, this ledger ends at {newest_number}: an old backup?"
            )
        own_hash = self._hash_at(cursor)
        if own_hash is None:
            return Stop(f"the receiver ends at entry {cursor}, which this ledger has no more")
        if own_hash != cursor_hash:
            return Stop(f"entry {cursor} is another one at the receiver: the ledgers have parted")
        return None

    def _start_backoff(self) -> None:
        self.failure_count += 1
        self._has_backed_off = False

    def _backoff_ms(self) -> float:
        """Exponential with jitter, so that many exporters do not come back at once."""
        doublings = min(self.failure_count - 1, MAX_DOUBLING_COUNT)
        limit_ms: float = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**doublings)
        return limit_ms * (0.5 + 0.5 * self._rng.random())
