"""How much time this server's calls may take in a store that all servers share.

The store dies where calls in its hands, those that were given up included, exceed what it bears in the mean
over a window. Each server keeps to its part (`Settings.downstream_concurrency_quota`) as a budget of call
time: what was in the store's hands within the window and what calls in flight may still take stay below
quota times window, however rarely that is checked. `call_rate` bounds calls a second instead.
"""

from __future__ import annotations

from landingshift.admission.interface import DownstreamKind
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import SAFE_FRACTION, ServerState

BUCKETS_PER_WINDOW_COUNT = 10
MIN_BUCKET_MS = 1.0


class DownstreamTimeBudget:
    """The budget of call time in the shared store, and what is used of it.

    Attributes:
        call_time_ms: Time that ended calls were in the store's hands, lost ones with their linger, over the
        window.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        window_ms = server.settings.downstream_quota_window_ms
        # One bucket more than the window has: the first is only partly in it.
        self.call_time_ms = RollingWindow(
            BUCKETS_PER_WINDOW_COUNT + 1, max(MIN_BUCKET_MS, window_ms / BUCKETS_PER_WINDOW_COUNT)
        )

    def record(self, managed: ManagedRpc, is_lost: bool) -> None:
        """Counts the RPC's call, which is over for this server.

        Args:
            managed: Whose call it was.
            is_lost: Whether the store may go on with it.
        """
        now_ms = self._server.now_ms
        linger_ms = self._server.settings.lost_call_linger_ms * is_lost
        self.call_time_ms.add(now_ms, now_ms - managed.call_started_at_ms + linger_ms)

    def fits(self, timeout_ms: float) -> bool:
        """Whether a call that may take so long stays within the budget; true where there is no quota."""
        settings = self._server.settings
        if settings.downstream is not DownstreamKind.SHARED_STORE:
            return True
        if settings.downstream_concurrency_quota <= 0:
            return True
        in_flight_ms = sum(
            calling.call_expires_at_ms - calling.call_started_at_ms for calling in self._server.calling
        )
        budget_ms = (
            settings.downstream_concurrency_quota * settings.downstream_quota_window_ms * SAFE_FRACTION
        )
        used_ms = self.call_time_ms.total(self._server.now_ms)
        return used_ms + in_flight_ms + timeout_ms + settings.lost_call_linger_ms <= budget_ms
