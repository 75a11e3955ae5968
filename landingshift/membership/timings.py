"""Durations of the SWIM protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SwimTimings:
    """Durations that are alike on all members of a cluster, in ms.

    Attributes:
        probe_interval_ms: Between two probes of a member that trusts itself.
        ack_timeout_ms: For an answer to a direct ping, before others are asked to probe.
        min_suspicion_ms: Shortest suspicion in a cluster of ten.
        departed_retention_ms: How long the dead and the left stay in the table.
        anti_entropy_interval_ms: Between two comparisons of the whole table.
    """

    probe_interval_ms: float = 400.0
    ack_timeout_ms: float = 150.0
    min_suspicion_ms: float = 1200.0
    departed_retention_ms: float = 600_000.0
    anti_entropy_interval_ms: float = 4000.0
