"""Delivers the entries of a store to a receiver; runs in the process of `ledger export`."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from landingshift import failpoints
from landingshift.ledger.errors import EntriesCompactedError, ReceiverUnavailableError
from landingshift.ledger.export_cursor import (
    ExportCursor,
    ExportStep,
    Idle,
    QueryCursor,
    SendBatch,
    Stop,
    Wait,
)
from landingshift.ledger.export_pb2 import Ack
from landingshift.ledger.export_records import ExportReader
from landingshift.ledger.receiver_client import BATCH_PATH, Receiver, cursor_path
from landingshift.ledger.store import UsageStore

POLL_INTERVAL_MS = 1000.0  # between two checks for new entries with `follow`

Log = Callable[..., None]


class Exporter:
    """Executes the steps of an `ExportCursor` with the store and the receiver.

    Attributes:
        cursor: State of the export.
    """

    def __init__(
        self,
        store: UsageStore,
        receiver: Receiver,
        rng: Random,
        log: Log,
        sleep: Callable[[float], None] = time.sleep,
        skips_compacted: bool = False,
    ) -> None:
        """Creates an exporter; the first request queries the receiver's cursor.

        Args:
            store: Store to export.
            receiver: Receiver of the records.
            rng: Source of the backoff's jitter.
            log: Function that logs an event and its fields.
            sleep: Function that waits for a number of seconds.
            skips_compacted: Whether to go on without records that a compaction removed before the receiver
                had them, instead of stopping.
        """
        self._store = store
        self._receiver = receiver
        self._log = log
        self._sleep = sleep
        self._entries = ExportReader(store)
        self._skips_compacted = skips_compacted
        self.cursor = ExportCursor(self._entries.hash_at, rng)

    def run(self, follow: bool = False) -> Stop | None:
        """Exports all entries that the receiver does not have yet.

        Args:
            follow: Whether to keep exporting new entries instead of returning when all are exported.

        Returns:
            None when all entries are exported; a `Stop` if the receiver's entries differ from this ledger's,
            or if a compaction removed entries that the receiver lacks.
        """
        while True:
            step = self.cursor.next_step(self._entries.newest_number())
            if isinstance(step, Idle):
                failpoints.reach("ledger.exported")
                if not follow:
                    return None
                self._sleep(POLL_INTERVAL_MS / 1000.0)
                continue
            try:
                reply = self._carry_out(step)
            except ReceiverUnavailableError as err:
                self._on_failure(err)
                continue
            except EntriesCompactedError as err:
                if not self._skips_compacted:
                    return self._stop(Stop(str(err)))
                self._log("export_skipped", cursor=err.cursor, missing=err.missing_number)
                self._entries.skips_compacted = True
                continue
            stop = self._on_reply(reply) if reply is not None else None
            if stop is not None:
                return stop

    def _carry_out(self, step: ExportStep) -> Ack | None:
        """Executes a step; returns the receiver's reply if the step was a request."""
        match step:
            case Wait(delay_ms=delay_ms):
                self._sleep(delay_ms / 1000.0)
            case QueryCursor():
                return self._receiver.request("GET", cursor_path(self._store.instance))
            case SendBatch(after=after):
                batch = self._entries.next_batch(after)
                assert batch is not None
                failpoints.reach("ledger.export")
                reply = self._receiver.request("POST", BATCH_PATH, batch.SerializeToString())
                failpoints.reach("ledger.export_heard")
                return reply
        return None

    def _on_failure(self, error: ReceiverUnavailableError) -> None:
        self.cursor.on_request_failed()
        failure_count = self.cursor.failure_count
        is_power_of_two = failure_count & (failure_count - 1) == 0
        if is_power_of_two:  # keeps the log short during a long outage
            self._log("export_failed", error=str(error), fails=failure_count)

    def _on_reply(self, reply: Ack) -> Stop | None:
        rewind_count = self.cursor.rewind_count
        stop = self.cursor.on_reply(reply.cursor, reply.hash, self._entries.newest_number())
        if stop is not None:
            return self._stop(stop)
        if self.cursor.rewind_count > rewind_count:
            self._log("export_rewound", cursor=reply.cursor, had=self.cursor.furthest_cursor)
        self._store.set_exported_number(reply.cursor)
        return None

    def _stop(self, stop: Stop) -> Stop:
        self._log("export_stopped", reason=stop.reason)
        return stop
