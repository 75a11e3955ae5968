"""Limit on the time for which this server's calls occupy a store shared by all servers.

The store fails if its mean concurrency over a time window is too high. Calls that were given up count until
the store has finished them. Each server has a quota of the mean concurrency
(`Settings.downstream_concurrency_quota`) and enforces the quota as a budget of call time: the time of the
calls that ended within the window, plus the maximum time of the calls in flight, stays below quota times
window. The maximum time of a call is reserved before it starts, so the budget also holds between checks. The
number of calls per second is limited in `call_rate`.
"""

from __future__ import annotations

from landingshift.admission.interface import DownstreamKind
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import SAFE_FRACTION, ServerState

BUCKETS_PER_WINDOW_COUNT = 10
MIN_BUCKET_MS = 1.0


class DownstreamTimeBudget:
    """Limits the time for which this server's calls occupy the shared store.

    Attributes:
        call_time_ms: Time for which each call that ended within the window occupied the store, including the
            linger time of lost calls.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        window_ms = server.settings.downstream_quota_window_ms
        # One extra bucket is needed, because the oldest bucket lies only partly in the window.
        self.call_time_ms = RollingWindow(
            BUCKETS_PER_WINDOW_COUNT + 1, max(MIN_BUCKET_MS, window_ms / BUCKETS_PER_WINDOW_COUNT)
        )

    def record(self, managed: ManagedRpc, is_lost: bool) -> None:
        """Records the call time of a call that has ended or been given up.

        Args:
            managed: The RPC that made the call.
            is_lost: Whether the store may still be processing the call.
        """
        now_ms = self._server.now_ms
        linger_ms = self._server.settings.lost_call_linger_ms * is_lost
        self.call_time_ms.add(now_ms, now_ms - managed.call_started_at_ms + linger_ms)

    def fits(self, timeout_ms: float) -> bool:
        """Returns whether a call with this timeout fits in the budget; True if there is no quota."""
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
