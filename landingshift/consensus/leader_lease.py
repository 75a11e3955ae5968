"""The leader lease: the period for which a leader knows that no other node has been elected.

Guarantee: a voter that answered a heartbeat grants no vote to another node for one election timeout, and any
two majorities share a voter. Therefore no other leader exists within `LEASE_FRACTION` of that timeout after
the start of a round that a majority answered. Failure mode: clocks whose rates differ by more than the
remaining fraction within one election timeout.
"""

from __future__ import annotations

from math import inf

from landingshift.consensus.voters import VoterConfiguration

LEASE_FRACTION = 0.9  # of the election timeout; the rest is margin for clock drift between servers
REMEMBERED_ROUND_COUNT = 64  # recent rounds whose send times are kept, to match late responses
NEVER_MS = -inf


class LeaderLease:
    """Send times of heartbeat rounds, and the latest round that each peer answered.

    The lease runs from the time a round was sent, not from the arrival of its responses: the leader may have
    been paused in between.

    Attributes:
        round: Number of the last heartbeat round.
    """

    def __init__(self) -> None:
        self.round = 0
        self._round_sent_at_ms: dict[int, float] = {}
        self._answered_round_sent_at_ms: dict[str, float] = {}

    def reset(self) -> None:
        """Discards all responses, which belong to an earlier term."""
        self._answered_round_sent_at_ms.clear()

    def start_round(self, now_ms: float) -> None:
        """Starts the next heartbeat round."""
        self.round += 1
        self._round_sent_at_ms[self.round] = now_ms
        self._round_sent_at_ms.pop(self.round - REMEMBERED_ROUND_COUNT, None)

    def record_response(self, peer: str, response_round: int) -> None:
        """Records that `peer` answered a round; a late response to an older round has no effect."""
        sent_at_ms = self._round_sent_at_ms.get(response_round)
        if sent_at_ms is not None:
            previous_sent_at_ms = self._answered_round_sent_at_ms.get(peer, NEVER_MS)
            self._answered_round_sent_at_ms[peer] = max(previous_sent_at_ms, sent_at_ms)

    def is_valid(self, configuration: VoterConfiguration, election_timeout_ms: float, now_ms: float) -> bool:
        """Returns whether a majority answered a round that was sent recently enough."""
        own_sent_at_ms = now_ms if configuration.is_voter else NEVER_MS
        peer_sent_at_ms = [
            self._answered_round_sent_at_ms.get(peer, NEVER_MS) for peer in configuration.peers
        ]
        newest_first = sorted([own_sent_at_ms, *peer_sent_at_ms], reverse=True)
        majority_sent_at_ms = newest_first[len(configuration.voters) // 2]
        return now_ms < majority_sent_at_ms + election_timeout_ms * LEASE_FRACTION
