"""Detection of two servers that run under the same name."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.membership.messages import Address

CONFLICT_THRESHOLD = 3  # conflicts per window; a restart at a new address causes fewer
CONFLICT_WINDOW_MS = 60_000.0


class DuplicateNameDetector:
    """Counts conflicts, in which this member refutes a process with the same name at another address."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._conflict_times_ms: list[float] = []

    def on_conflict(self, name: str, other_address: Address, now_ms: float) -> None:
        """Records one conflict; logs the duplicate name when the recent conflicts reach the threshold."""
        recent = [time_ms for time_ms in self._conflict_times_ms if now_ms - time_ms < CONFLICT_WINDOW_MS]
        self._conflict_times_ms = recent[-CONFLICT_THRESHOLD:]
        self._conflict_times_ms.append(now_ms)
        if len(self._conflict_times_ms) == CONFLICT_THRESHOLD:
            host, port = other_address
            self._log("fleet_name_twice", name=name, other=f"{host}:{port}")
