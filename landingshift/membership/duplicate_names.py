"""Finding out that two servers run under one name."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.membership.messages import Address

DUPLICATE_CONFLICT_COUNT = 3  # conflicts with another address after which it is no restart
CONFLICT_WINDOW_MS = 60_000.0


class DuplicateNameDetector:
    """Counts how often this member had to refute another process with its name at another address."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._conflict_times_ms: list[float] = []

    def on_conflict(self, name: str, other_address: Address, now_ms: float) -> None:
        """Notes one conflict; logs where there were too many within the window for a restart."""
        recent = [time_ms for time_ms in self._conflict_times_ms if now_ms - time_ms < CONFLICT_WINDOW_MS]
        self._conflict_times_ms = recent[-DUPLICATE_CONFLICT_COUNT:]
        self._conflict_times_ms.append(now_ms)
        if len(self._conflict_times_ms) == DUPLICATE_CONFLICT_COUNT:
            host, port = other_address
            self._log("fleet_name_twice", name=name, other=f"{host}:{port}")
