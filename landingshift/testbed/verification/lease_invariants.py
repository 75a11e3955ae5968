"""Invariant of leases: the servers together never hold more than the grantors can lease."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.testbed.verification.history import History, LeaseHeld, LeaseLimits, events_of

EXPIRY_TOLERANCE_MS = 1.0
"""Greatest error of the expiry time of a lease in a history."""
ROUNDING_FACTOR = 1.0001


def max_leased_calls(history: History) -> float:
    """Returns the greatest total of database calls per second that all servers held on lease at one time."""
    return _max_leased(history, lambda event: (event.calls_per_second, event.calls_expire_at_ms))


def max_leased_permits(history: History) -> float:
    """Returns the greatest total of start permits that all servers held on lease at one time."""
    return _max_leased(history, lambda event: (event.permits, event.permits_expire_at_ms))


def _max_leased(history: History, amount_and_expiry: Callable[[LeaseHeld], tuple[float, float]]) -> float:
    """Returns the greatest total of the leased amounts that had not expired at one time.

    A lease of a killed server counts until it expires, so the result can be too large but never too small.

    Args:
        history: Events of a run.
        amount_and_expiry: Returns the leased amount and its expiry time, ms, from a `LeaseHeld` event.
    """
    held: dict[tuple[str, str], tuple[float, float]] = {}
    max_total = 0.0
    for event in events_of(history, LeaseHeld):
        assert isinstance(event, LeaseHeld)
        held[event.server, event.grantor] = amount_and_expiry(event)
        unexpired_after_ms = event.at_ms + EXPIRY_TOLERANCE_MS
        total = sum(amount for amount, expires_at_ms in held.values() if expires_at_ms > unexpired_after_ms)
        max_total = max(max_total, total)
    return max_total


def check_lease_totals(history: History, _overlap_ms: float) -> list[str]:
    """Never more is believed in than there is, of calls to the store or of start permits."""
    # The leases that servers hold never exceed the limits of the cluster. The store is the database.
    limits = next(events_of(history, LeaseLimits), None)
    if limits is None:
        return []
    assert isinstance(limits, LeaseLimits)
    violations = []
    for unit, total, limit in (
        ("calls a second", max_leased_calls(history), limits.calls_per_second),
        ("places", max_leased_permits(history), limits.permits),
    ):
        if total > limit * ROUNDING_FACTOR:
            violations.append(f"{total:.2f} {unit} are believed in, of {limit:.2f}")
    return violations
