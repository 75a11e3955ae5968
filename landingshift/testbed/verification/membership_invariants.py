"""Invariants of membership: no false death declarations, and dead servers are detected in time."""

from __future__ import annotations

from landingshift.testbed.verification.calm_spans import CALM_AFTER_MS, OPERATOR_COMMANDS, calm_spans
from landingshift.testbed.verification.history import (
    CapacitySampled,
    DeclaredDead,
    FaultBegan,
    FaultEnded,
    History,
    HistoryEvent,
    MemberSeen,
    ServerEnded,
    ServerKilled,
    ServerStarted,
    events_of,
)

MAX_DETECTION_MS = 15_000.0
"""Time within which all servers must know of a death, if no other fault is active."""
HARMLESS_FAULTS = ("pause", "hang", "full", "clock", "store_falls", "list_down", "load")
"""Kinds of faults that must not lead to a death declaration of a running server."""
NEVER_MS = -1e9


def check_death_declarations(history: History, _overlap_ms: float) -> list[str]:
    """Nobody who is there is declared dead, where no fault or only a harmless one is under way."""
    # "Is there" means that the server has started and was neither killed nor has exited. A fault can still be
    # the reason for a declaration up to `CALM_AFTER_MS` after it ended.
    tracker = _DeclarationTracker()
    for event in events_of(
        history, FaultBegan, FaultEnded, ServerStarted, ServerKilled, ServerEnded, DeclaredDead
    ):
        tracker.apply(event)
    return tracker.violations


class _DeclarationTracker:
    """Finds declarations of a running server as dead without a fault that explains them.

    A fault explains a declaration while the fault is active and for `CALM_AFTER_MS` afterwards. Kills and
    exits of servers count as faults, harmless faults and operator commands do not.

    Attributes:
        violations: Violations found so far.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._active_faults: dict[int, str] = {}
        self._last_disturbance_ms = NEVER_MS
        self._present: set[str] = set()

    def apply(self, event: HistoryEvent) -> None:
        """Processes the next event of the history."""
        match event:
            case FaultBegan() if event.fault not in OPERATOR_COMMANDS:
                if event.duration_ms > 0.0:
                    self._active_faults[event.place] = event.fault
                self._record_disturbance(event.fault, event.at_ms)
            case FaultEnded():
                self._record_disturbance(self._active_faults.pop(event.place), event.at_ms)
            case ServerStarted():
                self._present.add(event.server)
            case ServerKilled() | ServerEnded():
                self._present.discard(event.server)
                self._last_disturbance_ms = event.at_ms
            case DeclaredDead() if event.member in self._present:
                self._check(event)

    def _record_disturbance(self, fault: str, at_ms: float) -> None:
        if fault not in HARMLESS_FAULTS:
            self._last_disturbance_ms = at_ms

    def _check(self, event: DeclaredDead) -> None:
        has_reason = any(fault not in HARMLESS_FAULTS for fault in self._active_faults.values())
        if not has_reason and event.at_ms - self._last_disturbance_ms > CALM_AFTER_MS:
            self.violations.append(
                f"{event.server} declares {event.member} dead at {event.at_ms:.0f}, who is there"
            )


def check_death_detection(history: History, _overlap_ms: float) -> list[str]:
    """A death becomes known in time to all that are there, where nothing else was under way."""
    # All running servers must see a killed server as absent within `MAX_DETECTION_MS`. Checked only if no
    # fault began, ended or was active after the kill.
    tracker = _DeathTracker(calm_spans(history))
    for event in events_of(history, MemberSeen, ServerKilled, ServerStarted, CapacitySampled):
        tracker.apply(event)
    return tracker.violations


class _DeathTracker:
    """Finds killed servers that other servers still see as present after `MAX_DETECTION_MS`.

    Attributes:
        violations: Violations found so far.
    """

    def __init__(self, spans: list[tuple[float, float]]) -> None:
        self.violations: list[str] = []
        self._calm_spans = spans
        self._presence_by_member: dict[str, dict[str, bool]] = {}
        """Whether a member is present in the view of a server, keyed by member and then by server."""
        self._killed_at_ms: dict[str, float] = {}

    def apply(self, event: HistoryEvent) -> None:
        """Processes the next event of the history."""
        match event:
            case MemberSeen():
                views = self._presence_by_member.setdefault(event.member, {})
                views[event.server] = event.is_present
            case ServerKilled():
                self._killed_at_ms[event.server] = event.at_ms
            case ServerStarted():
                self._killed_at_ms.pop(event.server, None)
            case CapacitySampled():
                for name, killed_at_ms in list(self._killed_at_ms.items()):
                    if event.at_ms - killed_at_ms > MAX_DETECTION_MS:
                        del self._killed_at_ms[name]
                        self._check(name, killed_at_ms, event)

    def _check(self, name: str, killed_at_ms: float, sample: CapacitySampled) -> None:
        views = self._presence_by_member.get(name, {})
        blind = [viewer for viewer in sample.servers if viewer != name and views.get(viewer, True)]
        is_calm = any(
            begin_ms <= killed_at_ms + CALM_AFTER_MS and sample.at_ms <= end_ms
            for begin_ms, end_ms in self._calm_spans
        )
        if blind and is_calm:
            limit_seconds = MAX_DETECTION_MS / 1000.0
            self.violations.append(f"{blind} do not know {limit_seconds:.0f} s after that {name} died")
