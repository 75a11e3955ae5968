"""Invariants of the replicated maintenance state, which simulations check after each step."""

from __future__ import annotations

from collections import Counter

from landingshift.maintenance.replicated_state import (
    MAX_HISTORY_COUNT,
    MAX_REQUESTS_COUNT,
    MaintenanceState,
)
from landingshift.maintenance.requests import FINAL_STATES, MaintenanceRequest, RequestState


def state_violations(state: MaintenanceState) -> list[str]:
    """Returns one text for each violation of an invariant; an empty list if the state is consistent."""
    violations = []
    permits = Counter(request.permit_number for request in state.requests.values() if request.permit_number)
    for number, holders in permits.items():
        if holders > 1:
            violations.append(f"permit {number} has {holders} holders")
        if number > state.last_permit_number:
            violations.append(f"permit {number} is above the last one, {state.last_permit_number}")
    for name, request in state.requests.items():
        violations += _request_violations(name, request, state)
    if len(state.requests) > MAX_REQUESTS_COUNT:
        violations.append(f"{len(state.requests)} requests are open")
    if len(state.history) > MAX_HISTORY_COUNT:
        violations.append(f"{len(state.history)} requests are in the history")
    return violations


def _request_violations(name: str, request: MaintenanceRequest, state: MaintenanceState) -> list[str]:
    violations = []
    if request.name != name:
        violations.append(f"{request.name} stands as {name}")
    if request.state in FINAL_STATES:
        violations.append(f"{name} has ended, and is open")
    is_permitted = request.state is not RequestState.REQUESTED
    if is_permitted != bool(request.permit_number):
        violations.append(f"{name} is {request.state.value} with permit {request.permit_number}")
    if is_permitted and name not in state.permitted_run_ids:
        violations.append(f"{name} has a permit of no process")
    if not 0.0 <= request.warm_fraction <= 1.0:
        violations.append(f"{name} is warm by {request.warm_fraction}")
    return violations
