"""Writes the event log, one line of JSON for each event."""

from __future__ import annotations

import os
import select
import time
from typing import Any

import orjson

MAX_LINE_BYTES = 4000  # less than PIPE_BUF (4096), so that a write to a pipe is atomic
TRUNCATED_LINE_BYTES = 2000  # number of bytes kept of a line that is too long


class EventLog:
    """Writes events to a file descriptor without ever waiting for its reader.

    Attributes:
        lost_count: The number of events dropped since the last written line; the next line reports it.
    """

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.lost_count = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes one event, or counts it as lost if it can't be written without waiting."""
        entry: dict[str, Any] = {"t": round(time.time() * 1000.0), "event": event, **fields}
        if self.lost_count:
            entry["lost"] = self.lost_count
        line = orjson.dumps(entry, default=str)
        if len(line) >= MAX_LINE_BYTES:
            beginning = line[:TRUNCATED_LINE_BYTES].decode(errors="replace")
            line = orjson.dumps({"t": entry["t"], "event": event, "cut": beginning})
        # A log that nobody reads must not delay RPCs, so a line that can't be written without waiting is
        # dropped and counted.
        if self._write(line + b"\n"):
            self.lost_count = 0
        else:
            self.lost_count += 1

    def _write(self, line: bytes) -> bool:
        if not any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
            return False
        try:
            os.write(self.fd, line)
        except OSError:
            return False
        return True
