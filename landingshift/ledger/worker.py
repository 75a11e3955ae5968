"""The store's process: commits the server's batches in groups and reports which batches are durable.

Guarantee: the process commits all batches that it has read before it exits, even if the server was killed. It
gives up only if commits keep failing after the server is gone. Failure mode: while commits fail, batches wait
in this process. The server keeps them in its queue too, whose size limit therefore bounds them.
"""

from __future__ import annotations

import os
import signal
import socket
import sqlite3
import sys
import time
from contextlib import suppress

import msgspec

from landingshift import failpoints
from landingshift.ledger.errors import CommandRejectedError, StoreUnavailableError
from landingshift.ledger.settings import Settings
from landingshift.ledger.store import UsageStore
from landingshift.ledger.store_lock import StoreLock
from landingshift.ledger.store_messages import StoreStatus, UsageBatch
from landingshift.net.transport.worker import FrameDecoder, encode_frame, inherited_socket

MAX_GROUP_BYTES = 4 << 20  # reading stops for a commit once this much of an incomplete frame is buffered
MAX_READ_BYTES = 1 << 18
COMMIT_RETRY_SECONDS = (0.02, 0.1, 0.25, 0.5, 1.0)  # delays between failed commits; the last one repeats
NO_BATCH = -1  # batch number of a status report that confirms no batch
EXIT_COMMIT_FAILED = 1
EXIT_STORE_UNAVAILABLE = 2


def main() -> int:
    """Runs the process and returns its exit status.

    The command-line arguments are the settings as JSON and the server's run_id in hexadecimal.
    """
    for ignored_signal in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The process must not end before the server disconnects: the server can send usage until then.
        signal.signal(ignored_signal, signal.SIG_IGN)
    settings = msgspec.json.decode(sys.argv[1], type=Settings)
    run_id = bytes.fromhex(sys.argv[2])
    link = ServerLink(inherited_socket())
    try:
        os.makedirs(settings.directory, mode=0o700, exist_ok=True)
        lock = StoreLock(settings.directory, settings.lock_wait_ms)
        store = UsageStore.from_settings(settings)
        store.start_run(run_id, wall_clock_ms())
    except (StoreUnavailableError, OSError, sqlite3.Error) as err:
        link.report(StoreStatus(NO_BATCH, str(err)))
        return EXIT_STORE_UNAVAILABLE
    link.report(StoreStatus(store.ledger.last_batch_number))
    with lock, store:
        return StoreWorker(link, store).run()


def wall_clock_ms() -> int:
    """Returns the current Unix time."""
    return round(time.time() * 1000.0)


class ServerLink:
    """Connection to the server over a socket pair.

    Attributes:
        is_connected: Whether the server's end is still open.
        batches: Received batches that are not committed yet, in order.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._frames = FrameDecoder()
        self._decode = msgspec.msgpack.Decoder(UsageBatch).decode
        self._encode = msgspec.msgpack.Encoder().encode
        self.is_connected = True
        self.batches: list[UsageBatch] = []

    def report(self, status: StoreStatus) -> None:
        """Sends a status report.

        Errors are ignored, because batches must still be committed after the server is gone.
        """
        with suppress(OSError):
            self._sock.sendall(encode_frame(self._encode(status)))

    def receive(self) -> None:
        """Receives all available batches; blocks until data arrives if no batch is waiting for its commit."""
        if self.is_connected and not self.batches:
            self.is_connected = self._read(is_blocking=True)
        while self.is_connected and len(self._frames.buffer) < MAX_GROUP_BYTES:
            if not self._read(is_blocking=False):
                break

    def _read(self, is_blocking: bool) -> bool:
        """Reads once from the socket.

        Returns:
            False if the connection is closed, or if no data is available and the read does not block.
        """
        self._sock.setblocking(is_blocking)
        try:
            data = self._sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        self.batches += [self._decode(message) for message in self._frames.feed(data)]
        return bool(data)


class StoreWorker:
    """Commits batches until the server has disconnected and all received batches are durable."""

    def __init__(self, link: ServerLink, store: UsageStore) -> None:
        self._link = link
        self._store = store
        self._failed_commit_count = 0  # consecutive failed commits

    def run(self) -> int:
        """Runs until the server has disconnected and no batch is left; returns the exit status."""
        while self._link.is_connected or self._link.batches:
            self._link.receive()
            if not self._link.batches:
                continue
            failpoints.reach("ledger.take")
            try:
                self._commit()
            except CommandRejectedError as err:
                self._link.report(StoreStatus(self._store.ledger.last_batch_number, str(err)))
                return EXIT_COMMIT_FAILED
            except sqlite3.Error as err:
                self._link.report(StoreStatus(NO_BATCH, f"{self._store.path}: {err}"))
                if self._is_abandoned():
                    return EXIT_COMMIT_FAILED
                self._wait_before_retry()
        return 0

    def _commit(self) -> None:
        batches = self._link.batches
        with self._store.ledger_transaction() as ledger:
            for batch in batches:
                ledger.apply_batch(batch, wall_clock_ms())
        self._failed_commit_count = 0
        committed_batch = batches[-1].number
        batches.clear()
        failpoints.reach("ledger.acking")
        shortened_count = self._store.ledger.dedup_window.shortened_count
        self._link.report(StoreStatus(committed_batch, shortened_count=shortened_count))

    def _is_abandoned(self) -> bool:
        """Returns whether to give up: the server has disconnected and the retries are exhausted."""
        return not self._link.is_connected and self._failed_commit_count >= len(COMMIT_RETRY_SECONDS)

    def _wait_before_retry(self) -> None:
        """Sleeps before a failed commit is retried; its cause, such as a full disk, might be temporary."""
        attempt = min(self._failed_commit_count, len(COMMIT_RETRY_SECONDS) - 1)
        time.sleep(COMMIT_RETRY_SECONDS[attempt])
        self._failed_commit_count += 1


if __name__ == "__main__":
    sys.exit(main())
