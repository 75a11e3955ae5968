"""Invariant of leases: nobody believes in more than there is."""

from __future__ import annotations

from collections.abc import Callable

from landingshift.testbed.verification.history import History, LeaseHeld, LeaseLimits, events_of

EXPIRY_TOLERANCE_MS = 1.0
"""By which the recorded end of a lease may be off."""
ROUNDING_FACTOR = 1.0001


def max_leased_calls(history: History) -> float:
    """Returns the most calls a second that all holders together believed in at one instant."""
    return _max_leased(history, lambda event: (event.calls_per_second, event.calls_expire_at_ms))


def max_leased_permits(history: History) -> float:
    """Returns the most start permits that all holders together believed in at one instant."""
    return _max_leased(history, lambda event: (event.permits, event.permits_expire_at_ms))


def _max_leased(history: History, amount_and_expiry: Callable[[LeaseHeld], tuple[float, float]]) -> float:
    """Follows what each holder has from each grantor, until it expires.

    A killed holder believes on in what it had, which only makes the figure larger.
    """
    held: dict[tuple[str, str], tuple[float, float]] = {}
    most = 0.0
    for event in events_of(history, LeaseHeld):
        assert isinstance(event, LeaseHeld)
        held[event.server, event.grantor] = amount_and_expiry(event)
        alive_after_ms = event.at_ms + EXPIRY_TOLERANCE_MS
        believed = sum(amount for amount, expires_at_ms in held.values() if expires_at_ms > alive_after_ms)
        most = max(most, believed)
    return most


def shares(history: History, _overlap_ms: float) -> list[str]:
    """Never more is believed in than there is, of calls to the store or of start permits."""
    limits = next(events_of(history, LeaseLimits), None)
    if limits is None:
        return []
    assert isinstance(limits, LeaseLimits)
    violations = []
    for words, most, limit in (
        ("calls a second", max_leased_calls(history), limits.calls_per_second),
        ("places", max_leased_permits(history), limits.permits),
    ):
        if most > limit * ROUNDING_FACTOR:
            violations.append(f"{most:.2f} {words} are believed in, of {limit:.2f}")
    return violations
