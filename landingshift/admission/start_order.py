"""Start order of queued RPCs, and the priority floor below which no RPC starts under overload.

The priority of an RPC is its value per ms of expected work, so that each ms of core time yields the most
value. While queued RPCs fail the deadline check, RPCs of equal priority start newest first (adaptive LIFO),
because the oldest ones are the most likely to fail next. Under overload, a priority floor reserves the slots
for the best of the arriving RPCs. The others are rejected early, while another server can still run them.
"""

from __future__ import annotations

from collections.abc import Iterable

from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState
from landingshift.admission.tenant_quotas import TenantQuotas

OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS = 4, 500.0
"""Window in which arrived RPCs, started RPCs and RPCs that failed the deadline check are counted.
`update_floor` compares the three counts, so they must cover the same time."""
WINDOW_SECONDS = OVERLOAD_BUCKET_COUNT * OVERLOAD_BUCKET_MS / 1000.0
MIN_EXPECTED_WORK_MS = 1.0
OVERLOAD_FAILURE_FRACTION = 0.1
"""The server counts as overloaded if its cores are saturated and more than this fraction of the recent RPCs
failed the deadline check."""
SELECTION_MODE = "choosing"


class StartOrder:
    """Computes the priorities of RPCs, and the priority floor below which no RPC starts.

    Attributes:
        arrival_priorities: Priorities of all RPCs that were read in the last 2 s and are not in excess.
        starts: One value for each RPC that was started in the last 2 s.
        priority_floor: Minimum priority of RPCs that may start; 0 without overload.
    """

    def __init__(self, server: ServerState, tenants: TenantQuotas, modes: ModeLog) -> None:
        self._server = server
        self._tenants = tenants
        self._modes = modes
        self.arrival_priorities = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.starts = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.priority_floor = 0.0

    def priority(self, managed: ManagedRpc) -> float:
        """Returns criticality times tenant weight, per ms of expected work.

        If `Settings.criticality_is_per_work` is set, the product is not divided by the expected work.
        """
        rpc = managed.rpc
        value = rpc.method.criticality * self._tenants.weight(rpc.tenant)
        if self._server.settings.criticality_is_per_work:
            return value
        return value / max(MIN_EXPECTED_WORK_MS, managed.service_times.mean_own_ms)

    def record_arrival(self, managed: ManagedRpc) -> None:
        """Computes the priority of an RPC that was read, and records it unless the RPC is in excess."""
        managed.priority = self.priority(managed)
        if not managed.rpc.is_excess:
            self.arrival_priorities.add(self._server.now_ms, managed.priority)

    def record_start(self) -> None:
        """Records the start of an RPC."""
        self.starts.add(self._server.now_ms, 1.0)

    def refresh(self, rpcs: Iterable[ManagedRpc]) -> None:
        """Recomputes the priorities of RPCs after a change of expected work, tenant weights or settings."""
        for managed in rpcs:
            managed.priority = self.priority(managed)

    def arrivals_per_second(self, now_ms: float) -> float:
        """Returns the mean number of RPCs that were read per second over the last 2 s."""
        return self.arrival_priorities.count(now_ms) / WINDOW_SECONDS

    def may_start(self, managed: ManagedRpc) -> bool:
        """Returns whether the RPC's priority reaches the floor; always True without overload."""
        return managed.priority >= self.priority_floor

    @staticmethod
    def sort(rpcs: Iterable[ManagedRpc], newest_first: bool) -> list[ManagedRpc]:
        """Returns the RPCs sorted by descending priority; those in excess come after all others.

        RPCs of equal priority are sorted by arrival time, the newest or the oldest first.
        """
        arrival_sign = -1.0 if newest_first else 1.0
        return sorted(
            rpcs,
            key=lambda managed: (
                managed.rpc.is_excess,
                -managed.priority,
                arrival_sign * managed.arrived_at_ms,
            ),
        )

    def update_floor(self, is_saturated: bool, failed_count: int) -> None:
        """Sets the priority floor under overload, and removes it otherwise.

        The RPCs that were read in the last 2 s are ranked by descending priority. If n RPCs were started in
        that time, the floor is the priority at rank n + 1. Without a floor, RPCs of high priority would
        expire while RPCs of low priority occupy the slots.

        Args:
            is_saturated: Whether utilization is high and no core is idle.
            failed_count: Number of RPCs that failed the deadline check in the last 2 s.
        """
        now_ms = self._server.now_ms
        start_count = self.starts.count(now_ms)
        priorities = sorted(self.arrival_priorities.values(now_ms), reverse=True)
        is_overloaded = is_saturated and failed_count > OVERLOAD_FAILURE_FRACTION * len(priorities)
        if is_overloaded and start_count < len(priorities):
            self.priority_floor = priorities[start_count]
        else:
            self.priority_floor = 0.0
        reason = f"of {len(priorities)} read {start_count} begun {failed_count} too late"
        self._modes.set(SELECTION_MODE, self.priority_floor > 0.0, reason)
