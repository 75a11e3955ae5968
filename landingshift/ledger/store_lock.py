"""Lock file that gives one server exclusive use of a store."""

from __future__ import annotations

import fcntl
import os
import time
from types import TracebackType

from landingshift.ledger.errors import StoreLockedError, StoreUnavailableError

LOCK_FILE = "ledger.lock"
RETRY_INTERVAL_SECONDS = 0.02
MAX_HOLDER_BYTES = 64


class StoreLock:
    """Exclusive lock on a store's directory, which the store's process of one server holds.

    The kernel releases the lock if the process is killed.

    Attributes:
        path: Path of the lock file, which contains the process ID of the holder.
    """

    def __init__(self, directory: str, timeout_ms: float) -> None:
        """Acquires the lock.

        Args:
            directory: Directory of the store.
            timeout_ms: How long to wait for the lock. After a server was killed, its store's process keeps
                the lock until it has committed the batches that it had read.

        Raises:
            StoreLockedError: Another process still holds the lock after the timeout.
            StoreUnavailableError: The lock file can't be opened.
        """
        self.path = os.path.join(directory, LOCK_FILE)
        try:
            self._fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as err:
            raise StoreUnavailableError(self.path, err.strerror) from err
        deadline = time.monotonic() + timeout_ms / 1000.0
        while not self._try_lock():
            if time.monotonic() >= deadline:
                holder = os.pread(self._fd, MAX_HOLDER_BYTES, 0).decode(errors="replace").strip()
                os.close(self._fd)
                raise StoreLockedError(self.path, holder)
            time.sleep(RETRY_INTERVAL_SECONDS)
        os.ftruncate(self._fd, 0)
        os.pwrite(self._fd, str(os.getpid()).encode(), 0)

    def __enter__(self) -> StoreLock:
        """Returns this lock, which is already held."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Releases the lock."""
        self.close()

    def close(self) -> None:
        """Releases the lock."""
        os.close(self._fd)

    def _try_lock(self) -> bool:
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True
