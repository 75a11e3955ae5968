"""Lifeguard's local health score, and the suspicion time-out that depends on it.

A member whose core is saturated or whose process was paused reads its messages late. A higher score makes it
wait longer before it declares other members dead.
"""

from __future__ import annotations

from math import log, log10

MAX_SCORE = 4
CONFIRMATIONS_FOR_MIN_TIMEOUT = 3  # confirmations that shorten the suspicion time-out to its minimum
MAX_SUSPICION_RATIO = 4.0  # ratio of the time-out without confirmations to the shortest time-out
# Limits the effect of the score on the suspicion time-out: members of a partitioned zone get high scores, and
# must still declare the members on the other side dead.
MAX_SUSPICION_HEALTH_MULTIPLIER = 2.0


class LocalHealth:
    """Lifeguard's local health score; 0 is healthy.

    Attributes:
        score: Score from 0 to `MAX_SCORE`; each point lengthens the probe interval and the time-outs by their
            base values.
    """

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Lowers the score by one after a successful probe."""
        self.score = max(0, self.score - 1)

    def degrade(self, steps: int = 1) -> None:
        """Raises the score by `steps` after a sign that this member might be slow."""
        self.score = min(MAX_SCORE, self.score + steps)

    @property
    def multiplier(self) -> float:
        """Local health multiplier: the factor applied to the probe interval and time-outs."""
        return 1.0 + self.score


def suspicion_timeout_ms(
    min_suspicion_ms: float, member_count: int, confirmation_count: int, multiplier: float = 1.0
) -> float:
    """Returns the time in ms after which a suspect is declared dead unless it refutes the suspicion.

    The time-out grows with the cluster, because the suspicion takes more hops to reach the suspect. Each
    report of the suspicion by another member (a confirmation) shortens the time-out, because a false
    suspicion by a slow first accuser becomes less likely.

    Args:
        min_suspicion_ms: Shortest time-out in a cluster of up to ten members.
        member_count: Number of present members, including this one.
        confirmation_count: Number of members, apart from the first accuser, that reported the suspicion.
        multiplier: This member's local health multiplier; limited to `MAX_SUSPICION_HEALTH_MULTIPLIER`.
    """
    size_factor = max(1.0, log10(max(1, member_count)))
    shortest_ms = min_suspicion_ms * size_factor * min(MAX_SUSPICION_HEALTH_MULTIPLIER, multiplier)
    longest_ms = shortest_ms * MAX_SUSPICION_RATIO
    confirmed_ms = (longest_ms - shortest_ms) * log(1.0 + confirmation_count)
    return max(shortest_ms, longest_ms - confirmed_ms / log(1.0 + CONFIRMATIONS_FOR_MIN_TIMEOUT))
