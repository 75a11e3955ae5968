"""Rounds of gossip beside the probes, while there is news."""

from __future__ import annotations

from math import inf

from landingshift.membership.messages import Gossip
from landingshift.membership.node_context import NodeContext

GOSSIP_FANOUT_COUNT = 2  # members that each round goes to
GOSSIP_INTERVAL_MS = 100.0


class GossipRounds:
    """Sends news to a few members chosen at random."""

    def __init__(self, context: NodeContext, first_round_ms: float) -> None:
        self._context = context
        self._next_round_ms = first_round_ms

    def next_deadline_ms(self) -> float:
        """When a round is due, infinity while there is no news."""
        return self._next_round_ms if len(self._context.member_table.gossip) else inf

    def on_timer(self, now_ms: float) -> None:
        """Sends a round if that is due."""
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + GOSSIP_INTERVAL_MS
        table = self._context.member_table
        if len(table.gossip):
            for record in table.sample(self._context.rng, GOSSIP_FANOUT_COUNT):
                self._context.outbox.send(record.address, Gossip())
