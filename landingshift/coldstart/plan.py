"""What is settled for all servers of a cluster alike."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.leases import booking_duration_ms


@dataclass(slots=True, frozen=True)
class ColdStartPlan:
    """The bounds of a cold start, and how they are divided.

    Attributes:
        grantor_names: Servers that grant leases, each of its own part of all bounds.
        downstream_calls_per_second: Calls that the downstream bears from all servers together.
        max_servers: The most servers that there will be.
        floor_fraction: Part of the calls that is divided evenly and for good, and never leased.
        lease_ms: How long a holder may use what it was granted, from its request on.
        expiry_margin_ms: How much longer the grantor counts it as granted.
        initial_permits: Start permits of all grantors together when they start.
        max_permits: The most that they may become.
        grantor_timeout_ms: Without an answer for that long a server starts without a grantor.
        ungranted_starts_per_second: Rate of such starts in the whole cluster.
    """

    grantor_names: tuple[str, ...]
    downstream_calls_per_second: float
    max_servers: int
    floor_fraction: float
    lease_ms: float
    expiry_margin_ms: float
    initial_permits: float
    max_permits: float
    grantor_timeout_ms: float
    ungranted_starts_per_second: float

    def amount_per_grantor(self, amount: float) -> float:
        """What one grantor has of an amount that all of them grant together."""
        return amount / len(self.grantor_names) if self.grantor_names else 0.0

    @property
    def booking_ms(self) -> float:
        """How long a grantor counts an amount as granted."""
        return booking_duration_ms(self.lease_ms, self.expiry_margin_ms)

    @property
    def floor_calls_per_second(self) -> float:
        """What each server may always use; all there is in equal parts where nobody grants leases."""
        if self.grantor_names:
            return self.downstream_calls_per_second * self.floor_fraction / self.max_servers
        return self.downstream_calls_per_second / self.max_servers
