"""Lifeguard's local health score, and the suspicion time-out that depends on it.

A member whose core is saturated or whose process was paused reads its messages late. Its score makes it wait
longer before it declares others dead.
"""

from __future__ import annotations

from math import log, log10

MAX_SCORE = 4
CONFIRMATIONS_FOR_MIN_TIMEOUT = 3  # this many confirmations shorten a suspicion to its minimum
MAX_SUSPICION_RATIO = 4.0  # longest suspicion time-out, without confirmations, over the shortest
# Bounds the effect of the score on suspicions: the members of a partitioned zone get high scores, and must
# still declare the other side dead.
MAX_SUSPICION_HEALTH_MULTIPLIER = 2.0


class LocalHealth:
    """Lifeguard's local health score; 0 is healthy.

    Attributes:
        score: From 0 to `MAX_SCORE`; each point lengthens probe interval and time-outs by their base value.
    """

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Lowers the score by one after a successful probe."""
        self.score = max(0, self.score - 1)

    def degrade(self, steps: int = 1) -> None:
        """Raises the score after a sign that this member may be slow."""
        self.score = min(MAX_SCORE, self.score + steps)

    @property
    def multiplier(self) -> float:
        """Local health multiplier: the factor applied to the probe interval and time-outs."""
        return 1.0 + self.score


def suspicion_timeout_ms(
    min_suspicion_ms: float, member_count: int, confirmation_count: int, multiplier: float = 1.0
) -> float:
    """Returns how long a suspect may take to refute the suspicion before it is declared dead.

    The time-out grows with the cluster, because the suspicion takes more hops to reach the suspect. Each
    independent confirmation shortens it, because it becomes less likely that the first accuser is the slow
    member.

    Args:
        min_suspicion_ms: Shortest time-out in a cluster of up to ten members.
        member_count: Number of present members, including this one.
        confirmation_count: Number of members besides the first accuser that suspect the same member.
        multiplier: This member's local health multiplier.
    """
    size_factor = max(1.0, log10(max(1, member_count)))
    shortest_ms = min_suspicion_ms * size_factor * min(MAX_SUSPICION_HEALTH_MULTIPLIER, multiplier)
    longest_ms = shortest_ms * MAX_SUSPICION_RATIO
    confirmed_ms = (longest_ms - shortest_ms) * log(1.0 + confirmation_count)
    return max(shortest_ms, longest_ms - confirmed_ms / log(1.0 + CONFIRMATIONS_FOR_MIN_TIMEOUT))
