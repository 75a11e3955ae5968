"""The lock file of a store: one server a store."""

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
    """Held from a server's start to its end; the kernel releases it where the process is killed."""

    def __init__(self, directory: str, timeout_ms: float) -> None:
        """Takes the lock.

        Args:
            directory: The store's.
            timeout_ms: A predecessor that was killed may still be committing what it had read.

        Raises:
            StoreLockedError: Another server holds it.
            StoreUnavailableError: The file can't be used.
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
        """Held already."""
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        """Releases it."""
        self.close()

    def close(self) -> None:
        """Releases it."""
        os.close(self._fd)

    def _try_lock(self) -> bool:
        try:
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True
