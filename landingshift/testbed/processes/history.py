"""Reads the histories that real server processes write, in the form that the invariants read."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

HistoryEntry = tuple[Any, ...]
"""Time in ms, kind of event, server, and further values; see `verification.history` for the kinds."""

QUOTA_FIELD = 0
"""Index of the leased rate of calls in the values of a `loan` entry; the expiry time follows it."""
PERMIT_FIELD = 2
"""Index of the leased start permits in the values of a `loan` entry; the expiry time follows it."""


class PausePeriod(NamedTuple):
    """The start and end of a server's pause by a signal, in ms of the monotonic clock."""

    server: str
    start_ms: float
    end_ms: float


def without_pauses(entry: HistoryEntry, pauses: Iterable[tuple[str, float, float]]) -> HistoryEntry:
    """Returns a `decided` entry in the form that the invariants read; returns other entries unchanged.

    A process records a decision when it acts on it, together with the time at which it checked whether it was
    allowed to decide. Pauses between the check and the action are subtracted from the time of the decision: a
    process cannot check and act atomically, so a pause between them delays the action (docs/policies.md).

    Args:
        entry: An entry as the process wrote it.
        pauses: Server, start and end of each pause.
    """
    if entry[1] != "decided":
        return entry
    decided_at_ms, event, server, version, text, checked_at_ms = entry
    for paused_server, start_ms, end_ms in pauses:
        if paused_server == server and checked_at_ms <= start_ms and end_ms <= decided_at_ms:
            decided_at_ms -= end_ms - start_ms
    return decided_at_ms, event, server, version, text


def read_history(folder: str, pauses: list[PausePeriod]) -> list[HistoryEntry]:
    """Reads the histories of all processes in a folder; returns the entries of all, sorted by time."""
    entries: list[HistoryEntry] = []
    for path in Path(folder).glob("*.history"):
        for line in path.read_text().splitlines():
            try:
                entries.append(ast.literal_eval(line))
            except (SyntaxError, ValueError):
                continue  # the last line of a killed process can be incomplete
    return sorted((without_pauses(entry, pauses) for entry in entries), key=lambda entry: entry[0])


def max_total_granted(history: list[HistoryEntry], field: int) -> float:
    """Returns the greatest total of unexpired leases of all servers at one time.

    A lease of a killed server counts until it expires, so the result can be too large but never too small.

    Args:
        history: Entries sorted by time.
        field: The leased amount to sum, `QUOTA_FIELD` or `PERMIT_FIELD`.
    """
    held: dict[tuple[str, str], tuple[float, float]] = {}
    max_total = 0.0
    for entry in history:
        if entry[1] != "loan":
            continue
        now_ms, _, holder, grantor, *values = entry
        held[holder, grantor] = values[field], values[field + 1]
        max_total = max(max_total, sum(amount for amount, end_ms in held.values() if end_ms > now_ms))
    return max_total
