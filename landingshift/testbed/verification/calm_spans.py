"""Finds the calm spans of a history: times without an active fault, after the cluster had time to recover."""

from __future__ import annotations

from landingshift.testbed.verification.history import FaultBegan, FaultEnded, History, events_of

CALM_AFTER_MS = 12_000.0
"""Time after a fault during which its effects can last; some invariants must hold only after this time."""
OPERATOR_COMMANDS = ("change", "wish", "voters")
"""Kinds of `FaultBegan` events that are commands of an operator and not faults."""


def calm_spans(history: History) -> list[tuple[float, float]]:
    """Returns the calm spans of a history as pairs of start and end, ms.

    In a calm span no fault is active. The span starts `CALM_AFTER_MS` after the last fault began or ended, or
    after time 0 if there was none, and ends when the next fault begins or the history ends.
    """
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
