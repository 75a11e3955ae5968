"""Which queued RPC starts first, and below which priority none starts while the server is overloaded.

Priority is value over expected work: the most value for each ms of the cores. While a queue stands, RPCs of
equal priority start newest first (adaptive LIFO): the oldest are the likeliest to run out of time. Under
overload a floor keeps slots for the best of what arrives; the rest is rejected early, while it can still go
elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable

from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState
from landingshift.admission.tenant_quotas import TenantQuotas

OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS = 4, 500.0
"""The window of arrivals, starts and failures of the deadline check, which `update_floor` compares: all three
must cover the same time."""
WINDOW_SECONDS = OVERLOAD_BUCKET_COUNT * OVERLOAD_BUCKET_MS / 1000.0
MIN_EXPECTED_WORK_MS = 1.0
OVERLOAD_FAILURE_FRACTION = 0.1
"""Of what is read: as many must fail the deadline check for a queue to count as standing."""
SELECTION_MODE = "choosing"


class StartOrder:
    """Priorities of RPCs and the floor below which none starts.

    Attributes:
        arrival_priorities: Priorities of all RPCs read in the last 2 s.
        starts: One for each start in the last 2 s.
        priority_floor: Least priority of an RPC that may start; 0 without an overload.
    """

    def __init__(self, server: ServerState, tenants: TenantQuotas, modes: ModeLog) -> None:
        self._server = server
        self._tenants = tenants
        self._modes = modes
        self.arrival_priorities = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.starts = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.priority_floor = 0.0

    def priority(self, managed: ManagedRpc) -> float:
        """Value over expected work in ms; the value alone where the settings have it per unit of work."""
        rpc = managed.rpc
        value = rpc.method.criticality * self._tenants.weight(rpc.tenant)
        if self._server.settings.criticality_is_per_work:
            return value
        return value / max(MIN_EXPECTED_WORK_MS, managed.service_times.mean_own_ms)

    def record_arrival(self, managed: ManagedRpc) -> None:
        """Sets the priority of an RPC that was read, and notes it."""
        managed.priority = self.priority(managed)
        self.arrival_priorities.add(self._server.now_ms, managed.priority)

    def record_start(self) -> None:
        """Notes that an RPC starts."""
        self.starts.add(self._server.now_ms, 1.0)

    def refresh(self, rpcs: Iterable[ManagedRpc]) -> None:
        """Sets priorities anew: expected work and tenants' weights have moved."""
        for managed in rpcs:
            managed.priority = self.priority(managed)

    def arrivals_per_second(self, now_ms: float) -> float:
        """RPCs read in a second, over the last 2 s."""
        return self.arrival_priorities.count(now_ms) / WINDOW_SECONDS

    def may_start(self, managed: ManagedRpc) -> bool:
        """Whether the RPC is among the best that arrive, or there is no overload."""
        return managed.priority >= self.priority_floor

    @staticmethod
    def sort(rpcs: Iterable[ManagedRpc], newest_first: bool) -> list[ManagedRpc]:
        """The RPCs by falling priority; among equals the newest first, or the oldest."""
        arrival_sign = -1.0 if newest_first else 1.0
        return sorted(rpcs, key=lambda managed: (-managed.priority, arrival_sign * managed.arrived_at_ms))

    def update_floor(self, is_saturated: bool, failed_count: int) -> None:
        """Sets the floor so that as many start as did in the last 2 s, the best of what was read.

        Guards against better work that grows too old while lesser work fills the slots.

        Args:
            is_saturated: Whether the cores are busy and none is idle.
            failed_count: RPCs that failed the deadline check in the last 2 s.
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
