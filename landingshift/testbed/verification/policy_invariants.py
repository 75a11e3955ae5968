"""Invariants of policy changes: servers agree on versions and outcomes, and versions overlap only briefly."""

from __future__ import annotations

from typing import Any

from landingshift.testbed.verification.history import ChangeEnded, History, PolicyUsed, events_of

TIME_TOLERANCE_MS = 1.0
"""Greatest error of the times in a history."""
TAKEN = "taken"
"""Outcome of a change that was committed."""
INITIAL_VERSION = 0
"""Version that servers use before the first change."""


def check_version_texts(history: History, _overlap_ms: float) -> list[str]:
    """A version has one text everywhere, and what was not taken is used nowhere."""
    # "Taken" means committed: every version in use is the initial one or the outcome of a committed change.
    # Versions in use are not compared with outcomes if the history has no outcome at all.
    texts: dict[int, Any] = {}
    taken_versions = {INITIAL_VERSION}
    violations = []
    has_outcomes = False
    for event in events_of(history, PolicyUsed, ChangeEnded):
        match event:
            case PolicyUsed(server=server, version=version, policy=policy):
                if texts.setdefault(version, policy) != policy:
                    violations.append(f"version {version} at {server} is another than elsewhere")
            case ChangeEnded(outcome=outcome, version=version):
                has_outcomes = True
                if outcome == TAKEN:
                    taken_versions.add(version)
    unknown_versions = set(texts) - taken_versions
    if unknown_versions and has_outcomes:
        violations.append(f"decided by {sorted(unknown_versions)}, which nobody says was taken")
    return violations


def check_version_overlap(history: History, overlap_ms: float) -> list[str]:
    """Once one server used a version, nobody uses an older one more than `overlap_ms` later."""
    first_use_ms: dict[int, float] = {}
    newest_version = -1
    violations = []
    for event in events_of(history, PolicyUsed):
        assert isinstance(event, PolicyUsed)
        if event.version > newest_version:
            newest_version = event.version
            first_use_ms[event.version] = event.at_ms
        elif event.version < newest_version:
            newer_since_ms = min(at for version, at in first_use_ms.items() if version > event.version)
            elapsed_ms = event.at_ms - newer_since_ms
            if elapsed_ms > overlap_ms + TIME_TOLERANCE_MS:
                violations.append(
                    f"{event.server} decided by {event.version} at {event.at_ms:.0f},"
                    f" {elapsed_ms:.0f} ms after a newer one"
                )
    return violations


def check_version_regressions(history: History, _overlap_ms: float) -> list[str]:
    """No server, nor a later process of it, uses a version older than one that it used."""
    newest_versions: dict[str, int] = {}
    violations = []
    for event in events_of(history, PolicyUsed):
        assert isinstance(event, PolicyUsed)
        newest = newest_versions.get(event.server, -1)
        if event.version < newest:
            violations.append(
                f"{event.server} went from {newest} back to {event.version} at {event.at_ms:.0f}"
            )
        newest_versions[event.server] = max(event.version, newest)
    return violations


def check_change_outcomes(history: History, _overlap_ms: float) -> list[str]:
    """A change ended in one way, whoever tells it and whenever."""
    # All servers report the same outcome and version for a change, also when asked more than once.
    outcomes: dict[str, tuple[bool, int]] = {}
    violations = []
    for event in events_of(history, ChangeEnded):
        assert isinstance(event, ChangeEnded)
        outcome = (event.outcome == TAKEN, event.version)
        first_outcome = outcomes.setdefault(event.change_id, outcome)
        if first_outcome != outcome:
            violations.append(
                f"{event.change_id} is {outcome} at {event.server} and {first_outcome} elsewhere"
            )
    return violations
