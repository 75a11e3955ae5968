"""Who has called in the last seconds, and how many of the callers come back within them."""

from __future__ import annotations

from collections import Counter
from math import inf

from landingshift.admission.interface import Rpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

CALLER_BUCKET_COUNT, CALLER_BUCKET_MS = 4, 1000.0
RETURN_BUCKET_COUNT, RETURN_BUCKET_MS = 5, 2000.0


class RecentCallers:
    """The callers of the last 4 s.

    Attributes:
        caller_ids: One for each RPC of the last 4 s.
        returns: 1 for each RPC of the last 10 s whose caller was here within those 4 s, else 0.
        first_rpc_ms: When this server read its first RPC; infinite before.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self.caller_ids = RollingWindow(CALLER_BUCKET_COUNT, CALLER_BUCKET_MS)
        self.returns = RollingWindow(RETURN_BUCKET_COUNT, RETURN_BUCKET_MS)
        self.first_rpc_ms = inf

    def record(self, rpc: Rpc) -> None:
        """Notes the caller of an RPC that was read."""
        now_ms = self._server.now_ms
        self.first_rpc_ms = min(self.first_rpc_ms, now_ms)
        self.caller_ids.advance(now_ms)
        has_called = any(rpc.caller_id in bucket for bucket in self.caller_ids.buckets)
        self.returns.add(now_ms, 1.0 if has_called else 0.0)
        self.caller_ids.add(now_ms, rpc.caller_id)

    def return_fraction(self) -> float:
        """Fraction of RPCs whose caller had been here; 1 before the first RPC."""
        return self.returns.mean(self._server.now_ms, 1.0)

    def busiest_caller_fraction(self) -> float:
        """Fraction of the recent RPCs that came from the busiest caller; 1 before the first RPC.

        A cold server has not met its callers yet. By what it has read, the first one would be all there is
        and its credit the whole server, and each other caller would take as much. So each of the
        `caller_count` callers counts as one RPC at the first RPC, and as less with time, down to none once
        the window is full. With 10 callers, half a window after the first RPC and 3 RPCs of one caller and 1
        of another read since, the busiest has (3 + 0.5) / (4 + 0.5 * 10) = 0.39 in place of 3 / 4.
        """
        now_ms, settings = self._server.now_ms, self._server.settings
        counts = Counter(self.caller_ids.values(now_ms))
        known_fraction = min(1.0, max(0.0, now_ms - self.first_rpc_ms) / self.caller_ids.duration_ms)
        assumes_callers = settings.starts_cold and settings.caller_count > 0
        assumed_rpcs = (1.0 - known_fraction) * assumes_callers  # of each caller
        total = counts.total() + assumed_rpcs * settings.caller_count
        return (max(counts.values(), default=0) + assumed_rpcs) / total if total else 1.0
