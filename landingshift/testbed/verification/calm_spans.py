"""Spans of a history in which no fault was under way, and had not been for a while."""

from __future__ import annotations

from landingshift.testbed.verification.history import FaultBegan, FaultEnded, History, events_of

CALM_AFTER_MS = 12_000.0
"""Without a fault for so long, figures must be exact again."""
OPERATOR_COMMANDS = ("change", "wish", "voters")
"""Begun by operators as faults are; no faults."""


def calm_spans(history: History) -> list[tuple[float, float]]:
    """Returns the beginnings and ends of the spans in which no fault was under way, nor just before."""
    spans = []
    active_count = 0
    last_change_ms = 0.0
    for event in events_of(history, FaultBegan, FaultEnded):
        if isinstance(event, FaultEnded):
            active_count -= 1
            last_change_ms = event.at_ms
        elif isinstance(event, FaultBegan) and event.fault not in OPERATOR_COMMANDS:
            if not active_count and event.at_ms - last_change_ms > CALM_AFTER_MS:
                spans.append((last_change_ms + CALM_AFTER_MS, event.at_ms))
            active_count += event.duration_ms > 0.0
            last_change_ms = event.at_ms
    end_ms = history[-1][0] if history else 0.0
    if not active_count and end_ms > last_change_ms + CALM_AFTER_MS:
        spans.append((last_change_ms + CALM_AFTER_MS, end_ms))
    return spans
