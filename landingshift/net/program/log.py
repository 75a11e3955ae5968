"""The log: one JSON line an event."""

from __future__ import annotations

import os
import select
import time
from typing import Any

import orjson

LINE = 4000  # below what a pipe takes at once


class Log:
    def __init__(self, fd: int) -> None:
        self.fd, self.lost = fd, 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **fields: Any) -> None:
        entry: dict[str, Any] = {"t": round(time.time() * 1000.0), "event": event, **fields}
        if self.lost:
            entry["lost"] = self.lost
        line = orjson.dumps(entry, default=str)
        if len(line) >= LINE:
            line = orjson.dumps(
                {"t": entry["t"], "event": event, "cut": line[:2000].decode(errors="replace")}
            )
        # A log that nobody reads must not hold up RPCs: what does not fit at once is counted and left out.
        if any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
            try:
                os.write(self.fd, line + b"\n")
                self.lost = 0
                return
            except OSError:
                pass
        self.lost += 1
