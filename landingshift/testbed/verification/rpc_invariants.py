"""Invariants of RPCs: each is answered in time, and runs at most once and not late in a drain."""

from __future__ import annotations

from landingshift.testbed.verification.history import (
    DrainStarted,
    FaultBegan,
    History,
    HistoryEvent,
    RpcAnswered,
    RpcRead,
    RunStarted,
    ServerEnded,
    ServerKilled,
    ServerPaused,
    ServerStarted,
    events_of,
)

DRAIN_GRACE_MS = 300.0
"""Time after the start of a drain during which new RPCs are still accepted; later ones must not run."""
ANSWER_TOLERANCE_MS = 60.0
"""Greatest allowed lateness of an answer: clocks drift by 1 % over the timeout of a caller."""
MAX_DELAY_FACTOR = 12.0
"""Greatest delay of a server whose core is starved, as a multiple of the mean delay that the fault sets."""
STARVED = "starved"
"""Kind of the fault that delays all work of a server because its core is busy."""


def check_answers(history: History, _overlap_ms: float) -> list[str]:
    """Each RPC that was read has one answer in time, unless its server was killed.

    A server that is paused or has no core can't answer meanwhile. What a draining server has read is answered
    before its end.
    """
    tracker = _AnswerTracker()
    for event in events_of(
        history, RpcRead, RpcAnswered, ServerPaused, FaultBegan, ServerKilled, ServerEnded
    ):
        tracker.apply(event)
    tracker.end(history[-1][0] if history else 0.0)
    return tracker.violations


class _AnswerTracker:
    """Finds RPCs that were answered late, twice, or never.

    Attributes:
        violations: Violations found so far.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._due_ms: dict[tuple[str, int], float] = {}
        self._paused_until_ms: dict[str, float] = {}
        self._max_delay_ms: dict[str, float] = {}

    def apply(self, event: HistoryEvent) -> None:
        """Processes the next event of the history."""
        match event:
            case RpcRead():
                self._due_ms[event.server, event.number] = event.due_ms
            case RpcAnswered():
                self._on_answer(event)
            case ServerPaused():
                until_ms = max(self._paused_until_ms.get(event.server, 0.0), event.until_ms)
                self._paused_until_ms[event.server] = until_ms
            case FaultBegan() if event.fault == STARVED:
                for index in event.targets:
                    self._max_delay_ms[f"n{index}"] = MAX_DELAY_FACTOR * event.amount
            case ServerKilled():
                self._forget(event.server)
            case ServerEnded():
                open_numbers = [number for name, number in self._due_ms if name == event.server]
                if open_numbers:
                    self.violations.append(
                        f"{event.server} ended with {len(open_numbers)} RPCs unanswered,"
                        f" {open_numbers[0]} of them"
                    )
                self._forget(event.server)

    def _on_answer(self, event: RpcAnswered) -> None:
        due_ms = self._due_ms.pop((event.server, event.number), None)
        if due_ms is None:
            self.violations.append(f"{event.server} answers {event.number} twice, or never read it")
            return
        can_answer_ms = max(due_ms, self._paused_until_ms.get(event.server, 0.0))
        tolerance_ms = ANSWER_TOLERANCE_MS + self._max_delay_ms.get(event.server, 0.0)
        if event.at_ms > can_answer_ms + tolerance_ms:
            late_ms = event.at_ms - due_ms
            self.violations.append(f"{event.server} answers {event.number} {late_ms:.0f} ms late")

    def _forget(self, server: str) -> None:
        self._due_ms = {key: due_ms for key, due_ms in self._due_ms.items() if key[0] != server}

    def end(self, end_ms: float) -> None:
        """Adds a violation if RPCs are unanswered that were due before the end of the history, `end_ms`."""
        unanswered = [key for key, due_ms in self._due_ms.items() if due_ms + ANSWER_TOLERANCE_MS < end_ms]
        if unanswered:
            server, number = unanswered[0]
            self.violations.append(f"{server} never answers {number}, and {len(unanswered) - 1} more")


def check_drains(history: History, _overlap_ms: float) -> list[str]:
    """Nothing that comes after the grace of a drain is run, and nothing at all is run twice."""
    # The grace period lasts `DRAIN_GRACE_MS` from the start of the drain. An RPC that the server reads later
    # must not run.
    grace_end_ms: dict[str, float] = {}
    read_at_ms: dict[tuple[str, int], float] = {}
    run_numbers: set[int] = set()
    violations = []
    for event in events_of(history, DrainStarted, ServerStarted, RpcRead, RunStarted):
        match event:
            case DrainStarted():
                grace_end_ms[event.server] = event.at_ms + DRAIN_GRACE_MS
            case ServerStarted():
                grace_end_ms.pop(event.server, None)
            case RpcRead():
                read_at_ms[event.server, event.number] = event.at_ms
            case RunStarted(server=server, number=number):
                if number in run_numbers:
                    violations.append(f"{number} is run twice")
                run_numbers.add(number)
                end_ms = grace_end_ms.get(server)
                if end_ms is not None and read_at_ms[server, number] > end_ms + ANSWER_TOLERANCE_MS:
                    late_ms = read_at_ms[server, number] - end_ms
                    violations.append(f"{server} runs {number}, {late_ms:.0f} ms too late")
    return violations
