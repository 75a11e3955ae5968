"""Work spread in rings: first one, then a few, then many; a ring that does worse stops the rest. Pure.

The test: of those that came back, the share of RPCs answered ok is compared with that of those not touched,
as two proportions, one-sided; past `SIGMAS` standard errors and by more than `LEAST` it counts as worse. With
3 sigmas a ring without any difference stops the work at one in 740 looks at independent samples.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

SIZES = (1, 5, 25)  # that have come back before the next ring may go
SIGMAS = 3.0
LEAST = 0.005
FEW = 200  # RPCs of either side below which nothing is said


@dataclass(slots=True)
class AnswerCounts:
    """RPCs answered since a ring began, and how many of them ok."""

    ok: float = 0.0
    all: float = 0.0

    def add(self, ok: float, all: float) -> None:
        self.ok, self.all = self.ok + ok, self.all + all

    @property
    def share(self) -> float:
        return self.ok / self.all if self.all else 0.0


def allowed(done: int, sizes: tuple[int, ...] = SIZES) -> int:
    """How many may have gone in all, where `done` have come back warm."""
    for size in sizes:
        if done < size:
            return size
    return 1 << 30


def worse(touched: AnswerCounts, rest: AnswerCounts) -> str:
    """Empty, or by how much those that came back do worse."""
    if touched.all < FEW or rest.all < FEW:
        return ""
    both = (touched.ok + rest.ok) / (touched.all + rest.all)
    error = sqrt(both * (1.0 - both) * (1.0 / touched.all + 1.0 / rest.all))
    gap = rest.share - touched.share
    if gap > LEAST and gap > SIGMAS * error:
        return f"{touched.share:.4f} ok of those that came back, {rest.share:.4f} of the others"
    return ""
