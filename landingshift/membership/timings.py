"""Intervals and time-outs of the SWIM protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SwimTimings:
    """Protocol durations in ms, which must be the same on all members of a cluster.

    Attributes:
        probe_interval_ms: Interval between two probes while the local health score is 0.
        ack_timeout_ms: Time to wait for an ack to a direct ping before sending ping-reqs.
        min_suspicion_ms: Shortest time after which a suspect is declared dead, in a cluster of up to ten
            members.
        departed_retention_ms: Time after which members that died or left are removed from the member table.
        anti_entropy_interval_ms: Mean interval between two anti-entropy syncs that one member starts.
    """

    probe_interval_ms: float = 400.0
    ack_timeout_ms: float = 150.0
    min_suspicion_ms: float = 1200.0
    departed_retention_ms: float = 600_000.0
    anti_entropy_interval_ms: float = 4000.0
