"""Messages between a server and the leader; `wire` encodes them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status of a server."""

    capacity: float
    """Capacity of the server when warm, in RPCs per second."""
    model: str
    """Hardware model of the machine."""
    serves_critical_methods: bool
    warm_fraction: float
    """Fraction of the capacity that is in service now."""
    rpcs_per_second: float
    """Rate of RPCs received in the last window of the traffic meter."""
    ok_count: float
    """RPCs answered ok since the start of the process."""
    answered_count: float
    """RPCs answered since the start of the process."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report to the leader."""

    sequence: int
    """Sequence number of the report, repeated in the answer."""
    status: ServerStatus
    draining_permit: int
    """Permit under which the process drains; 0 if it does not."""
    used_permit: int
    """Permit under which the previous process drained, read from disk; 0 if none is recorded."""


@dataclass(frozen=True, slots=True)
class ReportAnswer:
    """The leader's answer to a report."""

    sequence: int
    request_state: str
    """Stored value of the state of the server's request; empty without a request."""
    permit_number: int
    valid_ms: float
    """Time after the report was sent within which the server may start to drain; 0 if it may not."""
