"""Lowers the priority of tenants above their quota, so that they do not displace other tenants' RPCs.

A quota applies to the whole fleet, but servers do not exchange counts. Each server estimates a tenant's total
rate: it multiplies the rate of the tenant's RPCs on this server by the number of servers. Because RPCs are
distributed unevenly, an estimate somewhat above the quota is tolerated. If a tenant's RPCs go to only a few
servers, the estimate is still too high there, and the rule is too strict for that tenant.
"""

from __future__ import annotations

from landingshift.admission.interface import Tenant
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

WINDOW_SECONDS = 5
BUCKET_MS = 1000.0
TOLERATED_QUOTA_FACTOR = 1.3
"""The estimated rate of a tenant is tolerated up to this multiple of the tenant's quota, because RPCs are
distributed unevenly over the servers."""


class TenantQuotas:
    """Counts RPCs by tenant and computes a weight for each tenant, which is a factor of the RPCs' priority.

    Attributes:
        arrivals: One value for each RPC of the last 5 s, by tenant. Tenants are in the order of the settings.
        weights: Factor by which the priority of each tenant's RPCs is multiplied, from
            `over_quota_value_fraction` to 1.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        tenants = server.settings.tenants
        self.arrivals: dict[Tenant, RollingWindow] = {
            tenant: RollingWindow(WINDOW_SECONDS, BUCKET_MS) for tenant in tenants
        }
        self.weights: dict[Tenant, float] = dict.fromkeys(tenants, 1.0)

    def record(self, tenant: Tenant | None) -> None:
        """Counts an RPC that was read."""
        if tenant is not None:
            self.arrivals[tenant].add(self._server.now_ms, 1.0)

    def weight(self, tenant: Tenant | None) -> float:
        """Returns the weight of an RPC of this tenant; 1 without a tenant."""
        return self.weights[tenant] if tenant else 1.0

    def update(self) -> None:
        """Recomputes the weight of each tenant from the tenant's estimated total rate over the last 5 s.

        The part of the rate within the tolerated quota counts with weight 1, and the excess with
        `over_quota_value_fraction`. All RPCs of the tenant get the mean of these weights.
        """
        settings = self._server.settings
        for tenant, window in self.arrivals.items():
            if tenant.quota_per_second <= 0:
                continue
            rate = window.count(self._server.now_ms) / float(WINDOW_SECONDS) * settings.server_count
            excess = max(1.0, rate / (tenant.quota_per_second * TOLERATED_QUOTA_FACTOR))
            within_fraction = 1.0 / excess
            over_fraction = 1.0 - within_fraction
            self.weights[tenant] = within_fraction + settings.over_quota_value_fraction * over_fraction
