"""Staged rollout: one canary, then a few machines, then many; a regression pauses the rollout.

A one-sided two-proportion test compares the fraction of RPCs answered ok by the machines that came back with
that of the untouched machines. Limitations: a fault that does not affect answers goes undetected, and few
RPCs allow no conclusion.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from math import sqrt

from landingshift.maintenance.requests import CompletedRequest, MaintenanceRequest, RequestState

STAGE_SIZES = (1, 5, 25)
"""Number of machines that must have completed maintenance before the next stage may begin."""
MIN_STANDARD_ERRORS = 3.0
"""Gap between the ok fractions, in standard errors, above which it counts as significant."""
MIN_OK_FRACTION_GAP = 0.005
"""Gap between the ok fractions up to which a significant difference does not justify a pause."""
MIN_ANSWERED_COUNT = 200
"""Minimum number of RPCs answered by each side for a conclusion."""
UNLIMITED_COUNT = 1 << 30
SAME_CALL_MS = 1000.0
"""Requests made up to this long before the oldest open request belong to the same rollout."""


@dataclass(slots=True)
class AnswerCounts:
    """Number of RPCs answered since the start of the term, and how many of them were ok."""

    ok: float = 0.0
    total: float = 0.0

    def add(self, ok: float, total: float) -> None:
        """Adds a number of answers."""
        self.ok += ok
        self.total += total

    @property
    def ok_fraction(self) -> float:
        """Fraction of the answers that were ok; 0 without answers."""
        return self.ok / self.total if self.total else 0.0


def rollout_limit(completed_count: int, stage_sizes: Sequence[int] = STAGE_SIZES) -> int:
    """Returns how many machines in total may have started to drain once `completed_count` have completed."""
    for size in stage_sizes:
        if completed_count < size:
            return size
    return UNLIMITED_COUNT


def remaining_in_stage(requests: Collection[MaintenanceRequest], history: Iterable[CompletedRequest]) -> int:
    """Returns how many further machines may drain in the current stage.

    The rollout comprises the requests made since the oldest open one. `SAME_CALL_MS` before it are included,
    so that all requests of one operator call belong to the same rollout.

    Args:
        requests: Open requests, at least one.
        history: Ended requests.
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
    """Returns a description of a significant regression, for operators; empty without one.

    Args:
        completed: Answers of the machines that completed maintenance.
        untouched: Answers of the other machines.
    """
    if completed.total < MIN_ANSWERED_COUNT or untouched.total < MIN_ANSWERED_COUNT:
        return ""
    pooled = (completed.ok + untouched.ok) / (completed.total + untouched.total)
    standard_error = sqrt(pooled * (1.0 - pooled) * (1.0 / completed.total + 1.0 / untouched.total))
    gap = untouched.ok_fraction - completed.ok_fraction
    if gap > MIN_OK_FRACTION_GAP and gap > MIN_STANDARD_ERRORS * standard_error:
        completed_ok, untouched_ok = completed.ok_fraction, untouched.ok_fraction
        return f"{completed_ok:.4f} ok of those that came back, {untouched_ok:.4f} of the others"
    return ""


@dataclass(slots=True)
class RolloutMonitor:
    """Compares the answers of machines that completed maintenance with those of the others, on one leader."""

    completed_names: set[str] = field(default_factory=set)
    """Names of machines that completed maintenance during any term of this leader."""
    completed: AnswerCounts = field(default_factory=AnswerCounts)
    """Answers of these machines during this term."""
    untouched: AnswerCounts = field(default_factory=AnswerCounts)
    """Answers of all other machines during this term."""

    def reset_counts(self) -> None:
        """Resets the counts at the start of a term."""
        self.completed = AnswerCounts()
        self.untouched = AnswerCounts()

    def record(self, name: str, ok: float, total: float) -> None:
        """Adds the answers that a machine sent since its previous report."""
        counts = self.completed if name in self.completed_names else self.untouched
        counts.add(ok, total)

    def regression(self) -> str:
        """Returns a description of a significant regression; empty without one."""
        return regression(self.completed, self.untouched)
