"""Messages between a server and the leader, as types; `wire` has the form in which they are sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What a server says of itself."""

    capacity: float
    """RPCs a second that it serves when warm."""
    model: str
    """Model of its machine."""
    serves_critical_methods: bool
    warm_fraction: float
    """Fraction of its capacity that it serves now."""
    rpcs_per_second: float
    """RPCs that it received of late."""
    ok_count: float
    """Answers that were ok since its start."""
    answered_count: float
    """All answers since its start."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report to the leader."""

    sequence: int
    """Number of the report, which the answer names."""
    status: ServerStatus
    draining_permit: int
    """The permit by which it is leaving; 0 where it stays."""
    used_permit: int
    """The permit by which its earlier process left; 0 where its disk has none."""


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """The leader's answer to a report."""

    sequence: int
    request_state: str
    """Stored value of the state of the server's request; empty where it has none."""
    permit_number: int
    valid_ms: float
    """For how long after the report was sent the server may leave; 0 where it may not."""
