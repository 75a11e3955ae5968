"""Lifeguard's local health: how far this member trusts its own view, and how long a suspicion lasts.

A member whose core is full or whose process was stopped receives late: it must doubt itself before it
declares others dead.
"""

from __future__ import annotations

from math import log, log10

MAX_SCORE = 4
SATURATING_CONFIRMATION_COUNT = 3  # with that many a suspicion lasts no longer than it must
MAX_SUSPICION_RATIO = 4.0  # of a suspicion that nobody confirms, to the shortest
MAX_SUSPICION_STRETCH_RATIO = 2.0  # a partitioned zone doubts itself and must still count the other side out


class LocalHealth:
    """The local health score of Lifeguard; 0 is healthy.

    Attributes:
        score: From 0 to `MAX_SCORE`; each step lengthens probes and their time-outs by their own length.
    """

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)

    def degrade(self, steps: int = 1) -> None:
        """Something shows that this member may be slow."""
        self.score = min(MAX_SCORE, self.score + steps)

    @property
    def multiplier(self) -> float:
        """The local health multiplier: by how much intervals and time-outs of probes are lengthened."""
        return 1.0 + self.score


def suspicion_timeout_ms(
    min_suspicion_ms: float, member_count: int, confirmation_count: int, multiplier: float = 1.0
) -> float:
    """How long a suspect may take to refute before it counts as dead.

    Longer in a large cluster, where the suspicion takes more hops to reach the suspect; shorter with each
    independent confirmation, since then it is less likely that the first accuser is the slow one.

    Args:
        min_suspicion_ms: Shortest suspicion in a cluster of ten.
        member_count: Members that are present, this one included.
        confirmation_count: Members that suspect the same one beside the first.
        multiplier: This member's local health multiplier.
    """
    size_factor = max(1.0, log10(max(1, member_count)))
    shortest_ms = min_suspicion_ms * size_factor * min(MAX_SUSPICION_STRETCH_RATIO, multiplier)
    longest_ms = shortest_ms * MAX_SUSPICION_RATIO
    confirmed_ms = (longest_ms - shortest_ms) * log(1.0 + confirmation_count)
    return max(shortest_ms, longest_ms - confirmed_ms / log(1.0 + SATURATING_CONFIRMATION_COUNT))
