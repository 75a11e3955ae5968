"""What a tenant beyond its quota counts for, so that one that floods does not take the others' part.

The quota is for the whole fleet and servers do not talk to each other: each takes what it reads times the
number of servers for the whole, with some tolerance for an uneven spread. The rule fails towards the tenant
where its RPCs go to few servers.
"""

from __future__ import annotations

from landingshift.admission.interface import Tenant
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

WINDOW_SECONDS = 5
BUCKET_MS = 1000.0
TOLERATED_QUOTA_FACTOR = 1.3
"""Times its quota that a tenant may seem to send: callers spread unevenly."""


class TenantQuotas:
    """Counts RPCs by tenant and weighs those of a tenant beyond its quota.

    Attributes:
        arrivals: RPCs of each tenant, in the order of the settings.
        weights: What an RPC of each tenant counts for, from `over_quota_value_fraction` to 1.
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
        """What an RPC of this tenant counts for."""
        return self.weights[tenant] if tenant else 1.0

    def update(self) -> None:
        """Weighs each tenant by its rate over the last seconds.

        The part of its RPCs within the quota counts in full, the rest as the settings say: an RPC counts as
        what the tenant's RPCs are worth in the mean.
        """
        settings = self._server.settings
        for tenant, window in self.arrivals.items():
            if tenant.quota_per_second <= 0:
                continue
            rate = window.count(self._server.now_ms) / float(WINDOW_SECONDS) * settings.server_count
            excess = max(1.0, rate / (tenant.quota_per_second * TOLERATED_QUOTA_FACTOR))
            within = 1.0 / excess
            self.weights[tenant] = within + settings.over_quota_value_fraction * (1.0 - within)
