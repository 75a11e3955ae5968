"""Staged rollout: one canary, then a few machines, then many; a stage that does worse pauses the rest.

The test: of the machines that came back, the share of RPCs answered ok is compared with that of the machines
not yet touched, as two proportions, one-sided. Failure mode: a fault that shows in no answer passes, and with
few RPCs nothing is concluded.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from math import sqrt

from landingshift.maintenance.requests import CompletedRequest, MaintenanceRequest, RequestState

STAGE_SIZES = (1, 5, 25)
"""Machines that must have come back before the next stage may begin."""
MIN_STANDARD_ERRORS = 3.0
MIN_OK_FRACTION_GAP = 0.005
"""A smaller difference is not worth a pause, however certain it is."""
MIN_ANSWERED_COUNT = 200
"""RPCs of either side below which nothing is concluded."""
UNLIMITED_COUNT = 1 << 30
SAME_CALL_MS = 1000.0
"""Requests whose times differ by less are of one call of an operator."""


@dataclass(slots=True)
class AnswerCounts:
    """RPCs answered since the leader began to count, and how many of them were ok."""

    ok: float = 0.0
    total: float = 0.0

    def add(self, ok: float, total: float) -> None:
        """Adds further answers."""
        self.ok += ok
        self.total += total

    @property
    def ok_fraction(self) -> float:
        """Share of the answers that were ok; 0 without any."""
        return self.ok / self.total if self.total else 0.0


def rollout_limit(completed_count: int, stage_sizes: Sequence[int] = STAGE_SIZES) -> int:
    """Returns how many machines may have left in all, where `completed_count` have come back warm."""
    for size in stage_sizes:
        if completed_count < size:
            return size
    return UNLIMITED_COUNT


def remaining_in_stage(requests: Collection[MaintenanceRequest], history: Iterable[CompletedRequest]) -> int:
    """Returns how many further machines the present stage lets leave.

    A rollout is what was requested since the oldest open request; those of one call of an operator belong
    together.

    Args:
        requests: Open requests, at least one.
        history: Requests that ended.
    """
    rollout_began_ms = min(request.requested_at_ms for request in requests) - SAME_CALL_MS
    completed_count = sum(
        1
        for ended in history
        if ended.final_state == RequestState.COMPLETED.value and ended.requested_at_ms >= rollout_began_ms
    )
    under_way_count = sum(request.state is not RequestState.REQUESTED for request in requests)
    return max(0, rollout_limit(completed_count) - completed_count - under_way_count)


def regression(completed: AnswerCounts, untouched: AnswerCounts) -> str:
    """Returns by how much machines that came back do worse, for operators; empty where they do not."""
    if completed.total < MIN_ANSWERED_COUNT or untouched.total < MIN_ANSWERED_COUNT:
        return ""
    pooled = (completed.ok + untouched.ok) / (completed.total + untouched.total)
    standard_error = sqrt(pooled * (1.0 - pooled) * (1.0 / completed.total + 1.0 / untouched.total))
    gap = untouched.ok_fraction - completed.ok_fraction
    if gap > MIN_OK_FRACTION_GAP and gap > MIN_STANDARD_ERRORS * standard_error:
        came_back, others = completed.ok_fraction, untouched.ok_fraction
        return f"{came_back:.4f} ok of those that came back, {others:.4f} of the others"
    return ""


@dataclass(slots=True)
class RolloutMonitor:
    """Compares machines that came back with the others, as one leader sees their answers."""

    completed_names: set[str] = field(default_factory=set)
    """Machines that completed under any term of this leader."""
    completed: AnswerCounts = field(default_factory=AnswerCounts)
    untouched: AnswerCounts = field(default_factory=AnswerCounts)

    def reset_counts(self) -> None:
        """Starts to count anew, at the beginning of a term."""
        self.completed = AnswerCounts()
        self.untouched = AnswerCounts()

    def record(self, name: str, ok: float, total: float) -> None:
        """Adds the answers that a machine gave since its last report."""
        counts = self.completed if name in self.completed_names else self.untouched
        counts.add(ok, total)

    def regression(self) -> str:
        """Returns by how much machines that came back do worse; empty where they do not."""
        return regression(self.completed, self.untouched)
