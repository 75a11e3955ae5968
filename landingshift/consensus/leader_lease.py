"""The leader's lease: for how long a leader may act on its own knowledge that it leads.

Guarantee: a voter that answered a heartbeat gives no vote for an election timeout afterwards, and any
majority shares a voter with those that answered. So within a fraction of that timeout after a round that a
majority answered, nobody else leads. Failure mode: clocks that drift apart by more than the margin of
`LEASE_FRACTION` within one election timeout.
"""

from __future__ import annotations

from math import inf

from landingshift.consensus.voters import VoterConfiguration

LEASE_FRACTION = 0.9  # of the election timeout; the rest is margin for clocks that run apart
REMEMBERED_ROUND_COUNT = 64  # heartbeat rounds whose sending times are kept for late responses
NEVER_MS = -inf


class LeaderLease:
    """Sending times of heartbeat rounds, and which of them each peer answered last.

    A response counts from when its round was sent, not from when it came: the leader may have been
    paused in between.

    Attributes:
        round: Number of the last heartbeat round.
    """

    def __init__(self) -> None:
        self.round = 0
        self._round_sent_at_ms: dict[int, float] = {}
        self._answered_round_sent_at_ms: dict[str, float] = {}

    def reset(self) -> None:
        """Forgets all responses: they were for an earlier term."""
        self._answered_round_sent_at_ms.clear()

    def start_round(self, now_ms: float) -> None:
        """Begins the next heartbeat round."""
        self.round += 1
        self._round_sent_at_ms[self.round] = now_ms
        self._round_sent_at_ms.pop(self.round - REMEMBERED_ROUND_COUNT, None)

    def record_response(self, peer: str, response_round: int) -> None:
        """Notes that `peer` answered a round; a late response to an older round changes nothing."""
        sent_at_ms = self._round_sent_at_ms.get(response_round)
        if sent_at_ms is not None:
            before_ms = self._answered_round_sent_at_ms.get(peer, NEVER_MS)
            self._answered_round_sent_at_ms[peer] = max(before_ms, sent_at_ms)

    def is_valid(self, configuration: VoterConfiguration, election_timeout_ms: float, now_ms: float) -> bool:
        """Whether a majority answered a round that was sent recently enough."""
        own_ms = now_ms if configuration.is_voter else NEVER_MS
        answered_ms = [self._answered_round_sent_at_ms.get(peer, NEVER_MS) for peer in configuration.peers]
        newest_first = sorted([own_ms, *answered_ms], reverse=True)
        majority_answered_ms = newest_first[len(configuration.voters) // 2]
        return now_ms < majority_answered_ms + election_timeout_ms * LEASE_FRACTION
