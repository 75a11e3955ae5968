"""Server side of the store's process: starts it, sends it batches and handles its status reports.

Guarantee: batches are sent in order. After a restart, all batches that are not durable are sent again.
Failure mode: if the process exits, it is restarted after an increasing delay, and usage waits in the queue.
"""

from __future__ import annotations

import os
import select
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from landingshift import failpoints
from landingshift.ledger.settings import Settings
from landingshift.ledger.store_messages import StoreStatus
from landingshift.ledger.usage_queue import UsageQueue
from landingshift.net.transport.loop import Loop
from landingshift.net.transport.worker import Worker

WORKER_MODULE = "landingshift.ledger.worker"
MAX_IN_FLIGHT_BATCH_COUNT = 4  # more batches would only wait in the socket
START_TIMEOUT_MS = 10_000.0  # time to open the store, in addition to the wait for its lock
FINISH_TIMEOUT_MS = 400.0  # how long a stopping server waits for the last commit
RESTART_BACKOFF_MS = (50.0, 200.0, 1000.0, 5000.0)  # delays before successive restarts; the last one repeats
BACKOFF_RESET_AFTER_MS = 60_000.0  # if the process ran at least this long, the first delay is used again
START_POLL_SECONDS = 0.1
FINISH_POLL_SECONDS = 0.02
SOCKET_LIMIT_BYTES_PER_KB = 2048  # maximum bytes buffered for the socket, per KiB of `queue_kb`

Log = Callable[..., None]


class StoreProcessOwner(Protocol):
    """Receives callbacks when usage becomes durable."""

    def on_durable(self, batch_number: int) -> None:
        """Handles the confirmation that all batches up to `batch_number` are durable."""

    def waiting_count(self) -> int:
        """Returns the number of usage records that are not durable yet; it is logged."""


class StoreProcess:
    """Starts the store's process, restarts it when it exits, and sends it the batches of the queue.

    Attributes:
        is_ready: Whether the process has opened the store and accepts batches.
        error: Why the store can't be opened or can't commit at the moment; empty if there is no error.
        outcomes_due_ms: Loop time after which `push` sends delivery outcomes even if there is no new usage.
    """

    def __init__(
        self, loop: Loop, log: Log, settings: Settings, queue: UsageQueue, owner: StoreProcessOwner
    ) -> None:
        self._loop = loop
        self._log = log
        self._settings = settings
        self._queue = queue
        self._owner = owner
        self._run_id = os.urandom(8)
        self._decode = msgspec.msgpack.Decoder(StoreStatus).decode
        self._encode = msgspec.msgpack.Encoder().encode
        self._worker: Worker | None = None
        self._start_count = 0
        self._started_ms = loop.now_ms
        self._logged_shortened_count = 0
        self._is_finishing = False
        self.is_ready = False
        self.error = ""
        self.outcomes_due_ms = loop.now_ms
        self._start()

    def wait_until_ready(self) -> bool:
        """Blocks until the process has opened the store.

        Called before the server reads its first RPC, so that a server without a usable store does not start.

        Returns:
            False if the process exited, reported an error or did not open the store within the timeout.
        """
        timeout_ms = START_TIMEOUT_MS + self._settings.lock_wait_ms
        deadline = time.monotonic() + timeout_ms / 1000.0
        while not self.is_ready and not self.error and time.monotonic() < deadline:
            if self._worker is None or not self._worker.stream.is_open:
                break
            if select.select([self._worker.stream.sock], [], [], START_POLL_SECONDS)[0]:
                self._worker.stream.read()
        return self.is_ready

    def push(self) -> None:
        """Sends the queued usage and outcomes to the process.

        If there is no new usage, outcomes are sent only every `settle_ms`.
        """
        worker = self._worker
        are_outcomes_due = self._loop.now_ms >= self.outcomes_due_ms
        while self.is_ready and worker is not None and worker.free_bytes() > 0:
            batch = self._queue.next_batch(MAX_IN_FLIGHT_BATCH_COUNT, self._is_finishing or are_outcomes_due)
            if batch is None:
                break
            failpoints.reach("ledger.push")
            worker.send(self._encode(batch))
        if are_outcomes_due:
            self.outcomes_due_ms = self._loop.now_ms + self._settings.settle_ms

    def finish(self) -> bool:
        """Sends all queued usage, waits up to `FINISH_TIMEOUT_MS` for its commit and disconnects the process.

        Returns:
            False if no process was ever started.
        """
        self._is_finishing = True
        worker = self._worker
        if worker is None:
            return False
        deadline = time.monotonic() + FINISH_TIMEOUT_MS / 1000.0
        while not self._queue.is_empty and worker.stream.is_open and time.monotonic() < deadline:
            self.push()
            worker.stream.flush()
            if select.select([worker.stream.sock], [], [], FINISH_POLL_SECONDS)[0]:
                worker.stream.read()
        if worker.stream.is_open:
            worker.stream.close("finished")
        return True

    def on_message(self, message: bytes) -> None:
        """Handles a status report of the process."""
        status = self._decode(message)
        if status.error:
            self._on_error(status.error)
            return
        self._log_shortened_window(status.shortened_count)
        if self.error:
            self._log("ledger_recovered", after=self.error, waiting=self._owner.waiting_count())
            self.error = ""
        is_first_status = not self.is_ready
        self.is_ready = True
        self._owner.on_durable(status.committed_batch)
        if is_first_status and self._worker is not None:
            for batch in self._queue.unacknowledged_batches():
                self._worker.send(self._encode(batch))
        self.push()

    def on_worker_lost(self, reason: str) -> None:
        """Schedules a restart after the process or its connection was lost, unless the server is stopping."""
        self.is_ready = False
        if self._is_finishing:
            return
        backoff_ms = RESTART_BACKOFF_MS[min(self._start_count, len(RESTART_BACKOFF_MS)) - 1]
        self._log(
            "ledger_store_exited",
            reason=reason,
            waiting=self._owner.waiting_count(),
            starts=self._start_count,
            pause=backoff_ms,
        )
        self._loop.after(backoff_ms, self._restart)

    def _start(self) -> None:
        now_ms = self._loop.now_ms
        must_reset_backoff = now_ms - self._started_ms >= BACKOFF_RESET_AFTER_MS
        self._start_count = 1 if must_reset_backoff else self._start_count + 1
        self._started_ms = now_ms
        arguments = [msgspec.json.encode(self._settings).decode(), self._run_id.hex()]
        limit_bytes = self._settings.queue_kb * SOCKET_LIMIT_BYTES_PER_KB
        try:
            self._worker = Worker(self._loop, WORKER_MODULE, arguments, self, limit_bytes)
        except OSError as err:
            self.on_worker_lost(str(err))

    def _restart(self) -> None:
        if self._worker is not None and not self._worker.has_exited():
            # The old process holds the store's lock until it has committed the batches that it had read.
            self._loop.after(RESTART_BACKOFF_MS[0], self._restart)
        else:
            self._start()

    def _on_error(self, error: str) -> None:
        if error != self.error:
            self._log(
                "ledger_fault", error=error, waiting=self._owner.waiting_count(), starts=self._start_count
            )
        self.error = error

    def _log_shortened_window(self, shortened_count: int) -> None:
        """Logs that identities were forgotten early: the first time, and each time the count has doubled."""
        if shortened_count <= self._logged_shortened_count:
            return
        self._log(
            "mode",
            text=f"ledger forgets: more identities than `recent` within the window, {shortened_count} times",
        )
        self._logged_shortened_count = max(shortened_count, 2 * self._logged_shortened_count)
