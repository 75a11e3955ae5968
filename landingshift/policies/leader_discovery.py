"""Whom a server asks: finds the voters' leader through answers, redirects and silence.

Guarantee: as long as any server that this one can reach knows the leader, it is found: the voters are asked
in turn, then anybody who is alive. Failure mode: two servers that each name the other are followed a few
times at once, then only at the ordinary pace.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

MAX_IMMEDIATE_REDIRECT_COUNT = 4  # in a row; those who redirect may both be wrong
MAX_UNANSWERED_COUNT = 2  # requests in a row, then another server is asked
FIRST_RETRY_MS = 250.0
MAX_RETRY_DOUBLING_COUNT = 3


class LeaderDiscovery:
    """The leader as this server knows it, and whom to ask next.

    Attributes:
        leader: Whom requests go to; empty where another voter is to be asked.
        voters: As the leader named them last, at first those of the settings.
        own_log_voters: As this server's own log has them, where it is or was a voter.
        list_alive_peers: Names of all servers that membership sees.
    """

    def __init__(self, initial_voters: tuple[str, ...], rng: Random) -> None:
        self.leader = ""
        self.voters = list(initial_voters)
        self.own_log_voters: tuple[str, ...] = ()
        self.list_alive_peers: Callable[[], list[str]] = list
        self._rng = rng
        self._turn = rng.randrange(len(initial_voters))
        self._unanswered_by_leader_count = 0
        self._unanswered_count = 0
        self._redirect_count = 0

    def choose_target(self) -> str:
        """Whom the next request goes to; another server where the last one gives no answer."""
        if self._unanswered_by_leader_count >= MAX_UNANSWERED_COUNT or not self.leader:
            self._choose_another()
        self._unanswered_by_leader_count += 1
        return self.leader

    def _choose_another(self) -> None:
        candidates = [*self.voters, *(name for name in self.own_log_voters if name not in self.voters)]
        self._turn = (self._turn + 1) % len(candidates)
        self.leader = candidates[self._turn]
        self._unanswered_by_leader_count = 0
        has_tried_all = self._unanswered_count >= MAX_UNANSWERED_COUNT * len(candidates)
        peers = self.list_alive_peers() if has_tried_all else []
        if peers and self._turn == 0:  # none of those whom it knows is there: anybody knows the leader
            self.leader = self._rng.choice(peers)

    def next_retry_ms(self) -> float:
        """Back-off for a request that gets no answer; counts the request as unanswered.

        Doubled each time up to a bound, since the leader may be gone for good.
        """
        doubling_count = min(self._unanswered_count, MAX_RETRY_DOUBLING_COUNT)
        self._unanswered_count += 1
        return FIRST_RETRY_MS * 2.0**doubling_count

    def on_refused(self) -> None:
        """The leader answered, though it takes this server not as a member."""
        self._unanswered_by_leader_count = 0
        self._unanswered_count = 0

    def on_answered(self, leader: str) -> None:
        """`leader` answered as the leader."""
        self.on_refused()
        self.leader = leader

    def on_voters_received(self, voters: tuple[str, ...]) -> None:
        """The leader named the voters."""
        self.voters = list(voters)
        self._redirect_count = 0

    def on_redirected(self, leader: str) -> bool:
        """A server named another leader, or none.

        Returns:
            Whether to ask that one at once.
        """
        if not leader:
            self.leader = ""
            return False
        if leader == self.leader:
            return False
        self.leader = leader
        self._unanswered_by_leader_count = 0
        self._redirect_count += 1
        return self._redirect_count <= MAX_IMMEDIATE_REDIRECT_COUNT
