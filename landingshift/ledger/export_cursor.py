"""State machine of the export: decides the exporter's next step from the receiver's replies. No I/O.

Each reply contains the receiver's cursor, which is the number of the last entry it has, and the hash of that
entry. Guarantee: the exporter always continues from the cursor of the last reply. A lost, late or duplicate
reply can only cause entries to be sent again, and the receiver ignores those. Failure mode: if the receiver's
hash differs from that of the same entry in this ledger, the export stops, since continuing could bill usage
twice or not at all.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from landingshift.ledger.errors import COMPACTED_ADVICE

INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 30_000.0
MAX_DOUBLING_COUNT = 20  # avoids a float overflow; the backoff reaches its maximum long before
MAX_STALLED_REPLY_COUNT = 20  # consecutive replies without progress after which the exporter backs off


@dataclass(slots=True, frozen=True)
class SendBatch:
    """Step: send the next batch, which begins after entry `after`."""

    after: int


@dataclass(slots=True, frozen=True)
class QueryCursor:
    """Step: ask the receiver for its cursor."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Step: wait before the next request."""

    delay_ms: float


@dataclass(slots=True, frozen=True)
class Idle:
    """Step: do nothing, because the receiver has all entries."""


@dataclass(slots=True, frozen=True)
class Stop:
    """Step: stop, because continuing could bill usage twice or not at all; an operator must intervene."""

    reason: str
    """Description for the operator."""


ExportStep = SendBatch | QueryCursor | Wait | Idle | Stop


class ExportCursor:
    """Decides the exporter's next step.

    Attributes:
        receiver_cursor: Number of the last entry that the receiver has; None if it must be queried.
        furthest_cursor: Highest cursor that the receiver has reported.
        failure_count: Number of failed requests and stalls since the cursor last advanced or was queried.
        stalled_reply_count: Number of consecutive replies that did not raise `furthest_cursor`.
        rewind_count: Number of times that the cursor went back, for example because the receiver was restored
            from a backup.
    """

    def __init__(self, hash_at: Callable[[int], bytes | None], rng: Random) -> None:
        """Creates the state machine; the first step queries the receiver's cursor.

        Args:
            hash_at: Function that returns the hash of an entry; None if this ledger does not have the entry.
            rng: Source of the backoff's jitter.
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
        """Returns the next step.

        Args:
            newest_number: Number of the ledger's newest entry.
        """
        if self.failure_count and not self._has_backed_off:
            self._has_backed_off = True
            return Wait(self._backoff_ms())
        if self.receiver_cursor is None:
            return QueryCursor()
        if self.receiver_cursor >= newest_number:
            return Idle()
        return SendBatch(self.receiver_cursor)

    def on_request_failed(self) -> None:
        """Handles a request without a valid reply.

        The receiver might have applied the batch. Therefore its cursor is queried after the backoff.
        """
        self._start_backoff()
        self.receiver_cursor = None

    def on_reply(self, cursor: int, cursor_hash: bytes, newest_number: int) -> Stop | None:
        """Handles a valid reply.

        Args:
            cursor: Number of the last entry that the receiver has.
            cursor_hash: Hash that the receiver has for that entry.
            newest_number: Number of the ledger's newest entry.

        Returns:
            `Stop` if the receiver's last entry is not an entry of this ledger; else None.
        """
        stop = self._find_divergence(cursor, cursor_hash, newest_number)
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

    def _find_divergence(self, cursor: int, cursor_hash: bytes, newest_number: int) -> Stop | None:
        if cursor > newest_number:
            return Stop(
                f"the receiver has up to entry {cursor}, this ledger ends at {newest_number}: an old backup?"
            )
        own_hash = self._hash_at(cursor)
        if own_hash is None:
            return Stop(
                f"the receiver ends at entry {cursor}, which this ledger has no more: {COMPACTED_ADVICE}"
            )
        if own_hash != cursor_hash:
            return Stop(f"entry {cursor} is another one at the receiver: the ledgers have parted")
        return None

    def _start_backoff(self) -> None:
        self.failure_count += 1
        self._has_backed_off = False

    def _backoff_ms(self) -> float:
        """Returns an exponential delay with jitter, so that many exporters do not retry at the same time."""
        doublings = min(self.failure_count - 1, MAX_DOUBLING_COUNT)
        limit_ms: float = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**doublings)
        return limit_ms * (0.5 + 0.5 * self._rng.random())
