"""Detection of two servers that run under the same name."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.membership.messages import Address

CONFLICT_THRESHOLD = 3  # a server that restarts at a new address causes fewer conflicts than this
CONFLICT_WINDOW_MS = 60_000.0


class DuplicateNameDetector:
    """Counts how often this member refuted a process with its own name at another address."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._conflict_times_ms: list[float] = []

    def on_conflict(self, name: str, other_address: Address, now_ms: float) -> None:
        """Records one conflict; logs the duplicate when the window holds `CONFLICT_THRESHOLD` of them."""
        recent = [time_ms for time_ms in self._conflict_times_ms if now_ms - time_ms < CONFLICT_WINDOW_MS]
        self._conflict_times_ms = recent[-CONFLICT_THRESHOLD:]
        self._conflict_times_ms.append(now_ms)
        if len(self._conflict_times_ms) == CONFLICT_THRESHOLD:
            host, port = other_address
            self._log("fleet_name_twice", name=name, other=f"{host}:{port}")
