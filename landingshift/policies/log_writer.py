"""Saves a voter's state to its log file, and retries after write errors.

Guarantee: `save` returns True only once the state is on disk. Until then, the caller of `save` holds back the
messages that depend on the state. Failure mode: while the disk is full, this voter does not vote and accepts
no entries; the other voters continue without it.
"""

from __future__ import annotations

from collections.abc import Callable

from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft_log import RaftLogFile

RETRY_INTERVAL_MS = 500.0


class LogWriter:
    """Writes the log file of a voter; after an error, does not try again for `RETRY_INTERVAL_MS`."""

    def __init__(self, log_file: RaftLogFile, log: Callable[..., None]) -> None:
        self._log_file = log_file
        self._log = log
        self._failing_since_ms: float | None = None
        self._retry_at_ms = 0.0

    def save(self, state: PersistentState, now_ms: float) -> bool:
        """Writes and syncs the state.

        Returns:
            True if the state is on disk; False if the write failed, or was skipped after a recent error.
        """
        if now_ms < self._retry_at_ms:
            return False
        try:
            self._log_file.save(state)
        except OSError as error:
            self._retry_at_ms = now_ms + RETRY_INTERVAL_MS
            if self._failing_since_ms is None:
                self._failing_since_ms = now_ms
                self._log("policy_unsaved", journal=self._log_file.path, error=str(error))
            return False
        if self._failing_since_ms is not None:
            self._log("policy_saved_again", after_ms=round(now_ms - self._failing_since_ms))
            self._failing_since_ms = None
        return True

    def close(self) -> None:
        """Closes the log file."""
        self._log_file.close()
