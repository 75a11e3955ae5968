"""Invariants of maintenance: a permit is used once, while it is valid, and enough capacity remains."""

from __future__ import annotations

from landingshift.testbed.verification.calm_spans import calm_spans
from landingshift.testbed.verification.history import (
    CapacitySampled,
    History,
    PermitUsed,
    ServerCapacity,
    events_of,
)

MIN_MEASURED_FRACTION = 0.75
"""Fraction of the demand that the remaining capacity must reach.

It is below 1 because the demand is measured as a sum of counts over one second each, which can be too low.
"""


def check_permits(history: History, _overlap_ms: float) -> list[str]:
    """A permit has one holder, is used once, and only while it is in force."""
    user_by_permit: dict[int, str] = {}
    violations = []
    for event in events_of(history, PermitUsed):
        assert isinstance(event, PermitUsed)
        permit = event.permit
        if permit in user_by_permit:
            violations.append(
                f"permission {permit} is used by {user_by_permit[permit]} and by {event.server}"
            )
        user_by_permit[permit] = event.server
        if event.permit_in_force and event.permit_in_force != permit:
            violations.append(
                f"{event.server} leaves by {permit} at {event.at_ms:.0f}, in force is {event.permit_in_force}"
            )
    return violations


def check_remaining_capacity(history: History, _overlap_ms: float) -> list[str]:
    """Who drains by a permit leaves as much capacity as is asked for, where nothing fell just before."""
    # Checked only in calm spans. The capacity is that of all warm servers without the draining one, and must
    # be at least `MIN_MEASURED_FRACTION` of the demand.
    spans = calm_spans(history)
    violations = []
    warm_capacity = 0.0
    demand = 0.0
    server_capacity = 0.0
    for event in events_of(history, ServerCapacity, CapacitySampled, PermitUsed):
        match event:
            case ServerCapacity():
                server_capacity = event.rpcs_per_second
            case CapacitySampled():
                warm_capacity = event.warm_capacity
                demand = event.demand
            case PermitUsed() if any(begin_ms <= event.at_ms <= end_ms for begin_ms, end_ms in spans):
                warm_capacity -= server_capacity
                if warm_capacity < MIN_MEASURED_FRACTION * demand:
                    violations.append(
                        f"{event.server} leaves at {event.at_ms:.0f}:"
                        f" {warm_capacity:.1f} warm of {demand:.1f} asked for"
                    )
    return violations
