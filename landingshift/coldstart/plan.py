"""Cold start parameters that are the same on all servers of a cluster."""

from __future__ import annotations

from dataclasses import dataclass

from landingshift.coldstart.leases import reservation_duration_ms


@dataclass(slots=True, frozen=True)
class ColdStartPlan:
    """Cluster-wide limits of a cold start and the parameters of its leases.

    Attributes:
        grantor_names: Names of the servers that grant leases; each grants an equal part of the limits.
        downstream_calls_per_second: Call rate that the downstream can serve from all servers together.
        max_servers: Largest number of servers in the cluster.
        floor_fraction: Fraction of the downstream's call rate that is never leased but divided evenly among
            servers.
        lease_ms: Time for which a holder is allowed to use a granted amount, counted from the sending of its
            request.
        expiry_margin_ms: Time for which a grantor keeps a granted amount reserved beyond the lease duration.
        initial_permits: Number of start permits that all grantors together can grant when they start.
        max_permits: Upper bound of the number of start permits that all grantors together can grant.
        grantor_timeout_ms: Longest wait for a grantor's answer; then a server schedules a start without a
            permit, with a random delay.
        ungranted_starts_per_second: Mean rate of starts without a permit, all servers together.
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
        """Return one grantor's part of an amount that all grantors grant together; 0 without any grantor."""
        return amount / len(self.grantor_names) if self.grantor_names else 0.0

    @property
    def reservation_ms(self) -> float:
        """Time for which a grantor keeps a granted amount reserved."""
        return reservation_duration_ms(self.lease_ms, self.expiry_margin_ms)

    @property
    def floor_calls_per_second(self) -> float:
        """Call rate that each server is allowed to use without a lease.

        If there are no grantors, this is an equal part of the downstream's whole call rate.
        """
        if self.grantor_names:
            return self.downstream_calls_per_second * self.floor_fraction / self.max_servers
        return self.downstream_calls_per_second / self.max_servers
