"""Timeouts of elections and heartbeats."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Heartbeat interval and election timeout, in milliseconds.

    Attributes:
        heartbeat_interval_ms: Time between two heartbeat rounds of a leader.
        election_timeout_ms: Base of the election timeout. A follower starts an election after a random time
            of one to two times this value without a message from a leader. A leader steps down after this
            time without responses from a majority.
    """

    heartbeat_interval_ms: float = 150.0
    election_timeout_ms: float = 900.0
