"""What real processes noted of a run, in the form that the invariants read."""

from __future__ import annotations

import ast
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

HistoryEntry = tuple[Any, ...]
"""Time in ms, event, server, and what the event has."""

QUOTA_FIELD = 0
"""Of a lease's values: the share of calls granted, followed by when it ends."""
PERMIT_FIELD = 2
"""The same of start permits."""


class PausePeriod(NamedTuple):
    """When a server was stopped by a signal."""

    server: str
    start_ms: float
    end_ms: float


def without_pauses(entry: HistoryEntry, pauses: Iterable[tuple[str, float, float]]) -> HistoryEntry:
    """Returns a decision as the invariants read it, other entries as they are.

    A decision is noted as it is acted on, and names when its server checked whether it may decide. Where that
    was paused in between, the time that it stood still is taken off: no server can check once more and act in
    one step, so that such a pass ends late by as much (docs/policies.md).
    """
    if entry[1] != "decided":
        return entry
    decided_at_ms, event, server, version, text, checked_at_ms = entry
    for paused_server, start_ms, end_ms in pauses:
        if paused_server == server and checked_at_ms <= start_ms and end_ms <= decided_at_ms:
            decided_at_ms -= end_ms - start_ms
    return decided_at_ms, event, server, version, text


def read_history(folder: str, pauses: list[PausePeriod]) -> list[HistoryEntry]:
    """Returns all that all processes noted, by time."""
    entries: list[HistoryEntry] = []
    for path in Path(folder).glob("*.history"):
        for line in path.read_text().splitlines():
            try:
                entries.append(ast.literal_eval(line))
            except (SyntaxError, ValueError):
                continue  # the last line of a killed one
    return sorted((without_pauses(entry, pauses) for entry in entries), key=lambda entry: entry[0])


def max_total_granted(history: list[HistoryEntry], field: int) -> float:
    """Returns the most that all holders of leases together believed in at one instant.

    Each holds from each grantor what it noted last, until the end that it noted. A killed one keeps believing
    in what it had, which only makes the figure larger.

    Args:
        history: By time.
        field: `QUOTA_FIELD` or `PERMIT_FIELD`.
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
