"""The log: one JSON line an event."""

from __future__ import annotations

import os
import select
import time
from typing import Any

import orjson

MAX_LINE_BYTES = 4000  # below what a pipe takes at once
SHORTENED_BYTES = 2000  # of a longer line that are kept


class EventLog:
    """Writes events to a descriptor, and never waits for who reads it.

    Attributes:
        lost_count: Events since the last line that could not be written; the next line tells.
    """

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.lost_count = 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: Any) -> None:
        """Writes one line, or counts it as lost where it does not fit at once."""
        entry: dict[str, Any] = {"t": round(time.time() * 1000.0), "event": event, **fields}
        if self.lost_count:
            entry["lost"] = self.lost_count
        line = orjson.dumps(entry, default=str)
        if len(line) >= MAX_LINE_BYTES:
            beginning = line[:SHORTENED_BYTES].decode(errors="replace")
            line = orjson.dumps({"t": entry["t"], "event": event, "cut": beginning})
        # A log that nobody reads must not hold up RPCs: what does not fit at once is counted and left out.
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
