"""Gossip rounds: periodic messages that carry queued updates in addition to the piggybacking on probes."""

from __future__ import annotations

from math import inf

from landingshift.membership.messages import Gossip
from landingshift.membership.node_context import NodeContext

GOSSIP_FANOUT = 2  # number of random members that receive a message in each round
GOSSIP_INTERVAL_MS = 100.0


class GossipRounds:
    """Periodically sends queued updates to a few random members."""

    def __init__(self, context: NodeContext, first_round_ms: float) -> None:
        self._context = context
        self._next_round_ms = first_round_ms

    def next_deadline_ms(self) -> float:
        """Returns when the next round is due; infinity while no updates are queued."""
        return self._next_round_ms if len(self._context.member_table.gossip) else inf

    def on_timer(self, now_ms: float) -> None:
        """Sends a round if one is due and updates are queued."""
        if now_ms < self._next_round_ms:
            return
        self._next_round_ms = now_ms + GOSSIP_INTERVAL_MS
        table = self._context.member_table
        if len(table.gossip):
            for record in table.sample(self._context.rng, GOSSIP_FANOUT):
                self._context.outbox.send(record.address, Gossip())
