"""The intervals of elections and heartbeats."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Raft's two intervals, in ms.

    Attributes:
        heartbeat_interval_ms: Between two heartbeat rounds of a leader.
        election_timeout_ms: A follower stands for election after one to two of these without a leader's
            message; a leader without a majority's answer steps down after one.
    """

    heartbeat_interval_ms: float = 150.0
    election_timeout_ms: float = 900.0
