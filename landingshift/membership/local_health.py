"""How far this server trusts its own ears, and how long a suspicion lasts (after Lifeguard's idea).

A server whose core is full or that was stopped hears late: it must doubt itself before it accuses another.
"""

from __future__ import annotations

from math import log, log10

WORST = 4  # the most that this server doubts itself
SATURATING_CONFIRMATION_COUNT = (
    3  # others that suspect the same one until a suspicion lasts no longer than it must
)
LONGEST = 4.0  # times the shortest suspicion that one lasts which nobody shares
PATIENT = 2.0  # times longer that a doubting server waits: a zone cut off doubts itself and must still count


class LocalHealth:
    """0 is well; each step makes probes and their time-outs longer by their own length."""

    def __init__(self) -> None:
        self.doubt = 0

    def better(self) -> None:
        self.doubt = max(0, self.doubt - 1)

    def worse(self, by: int = 1) -> None:
        self.doubt = min(WORST, self.doubt + by)

    @property
    def stretch(self) -> float:
        return 1.0 + self.doubt


def suspicion_timeout_ms(shortest: float, members: int, doubters: int, stretch: float = 1.0) -> float:
    """ms that a suspicion lasts; `shortest` is that of a fleet of ten, `doubters` who share the first's."""
    low = shortest * max(1.0, log10(max(1, members))) * min(PATIENT, stretch)
    high = low * LONGEST
    return max(low, high - (high - low) * log(1.0 + doubters) / log(1.0 + SATURATING_CONFIRMATION_COUNT))
