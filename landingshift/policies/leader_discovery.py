"""Discovery of the leader from replies, redirects and missing replies.

Guarantee: the leader is found as long as a reachable server knows the leader. Requests go to the voters in
turn and, if no voter replies, also to random servers that are alive. Failure mode: if two servers name each
other as the leader, their redirects are followed a few times without delay, then only at the interval of
lease requests.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

MAX_IMMEDIATE_REDIRECT_COUNT = 4  # redirects followed without delay; two servers might redirect to each other
MAX_UNANSWERED_COUNT = 2  # consecutive unanswered requests before the next candidate is tried
FIRST_RETRY_MS = 250.0
MAX_RETRY_DOUBLING_COUNT = 3


class LeaderDiscovery:
    """Chooses the server that lease requests are sent to.

    Until a server replies, requests go in turn to the candidates, which are the servers in `voters` and
    `own_log_voters`. Once all candidates have been silent, each further pass over them begins with a random
    server that is alive, in place of the first candidate.

    Attributes:
        leader: Name of the server that requests go to; empty if the next request tries the next candidate.
        voters: Names of the voters, as last reported by the leader, initially from the settings.
        own_log_voters: Names of the voters in this server's own log; empty if this server has no log file.
        list_alive_peers: Returns the names of all servers that membership considers alive or suspects.
    """

    def __init__(self, initial_voters: tuple[str, ...], rng: Random) -> None:
        self.leader = ""
        self.voters = list(initial_voters)
        self.own_log_voters: tuple[str, ...] = ()
        self.list_alive_peers: Callable[[], list[str]] = list
        self._rng = rng
        self._candidate_index = rng.randrange(len(initial_voters))
        self._unanswered_by_leader_count = 0
        self._unanswered_count = 0
        self._redirect_count = 0

    def choose_target(self) -> str:
        """Returns the name of the server that the next request goes to.

        Counts the request as unanswered until a reply arrives. Switches to the next candidate if `leader` is
        empty, or if the server `leader` has not answered the last `MAX_UNANSWERED_COUNT` requests.
        """
        if self._unanswered_by_leader_count >= MAX_UNANSWERED_COUNT or not self.leader:
            self._choose_next_candidate()
        self._unanswered_by_leader_count += 1
        return self.leader

    def _choose_next_candidate(self) -> None:
        candidates = [*self.voters, *(name for name in self.own_log_voters if name not in self.voters)]
        self._candidate_index = (self._candidate_index + 1) % len(candidates)
        self.leader = candidates[self._candidate_index]
        self._unanswered_by_leader_count = 0
        has_tried_all = self._unanswered_count >= MAX_UNANSWERED_COUNT * len(candidates)
        peers = self.list_alive_peers() if has_tried_all else []
        if peers and self._candidate_index == 0:  # no voter replied; another server might know the leader
            self.leader = self._rng.choice(peers)

    def next_retry_ms(self) -> float:
        """Counts one more unanswered request, and returns the delay after which the request is retried.

        A reply resets the count. The delay doubles with each unanswered request, up to a limit. The leader
        might never return, and frequent requests would then only cause load.
        """
        doubling_count = min(self._unanswered_count, MAX_RETRY_DOUBLING_COUNT)
        self._unanswered_count += 1
        return FIRST_RETRY_MS * 2.0**doubling_count

    def on_refused(self) -> None:
        """Resets the counts of unanswered requests, because a refusal is also a reply of the leader."""
        self._unanswered_by_leader_count = 0
        self._unanswered_count = 0

    def on_answered(self, leader: str) -> None:
        """Records a reply from `leader`."""
        self.on_refused()
        self.leader = leader

    def on_voters_received(self, voters: tuple[str, ...]) -> None:
        """Stores the voters that the leader reported, and resets the count of redirects that were followed.

        While the count exceeds `MAX_IMMEDIATE_REDIRECT_COUNT`, `on_redirected` returns False.
        """
        self.voters = list(voters)
        self._redirect_count = 0

    def on_redirected(self, leader: str) -> bool:
        """Processes a reply that names `leader` as the leader: the next requests go to that server.

        If `leader` is empty, the next request goes to the next candidate.

        Returns:
            Whether the caller should send a request to `leader` immediately. The result is False if `leader`
                is empty, if requests already went to `leader`, or if more than `MAX_IMMEDIATE_REDIRECT_COUNT`
                redirects were followed since a leader last reported the voters.
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
