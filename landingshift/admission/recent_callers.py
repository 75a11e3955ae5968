"""Statistics of recent callers.

The statistics are the fraction of RPCs that the busiest caller sent, and the fraction that came from
returning callers. A caller is returning if it had already sent another RPC in the preceding 4 s.
"""

from __future__ import annotations

from collections import Counter
from math import inf

from landingshift.admission.interface import Rpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

CALLER_BUCKET_COUNT, CALLER_BUCKET_MS = 4, 1000.0
RETURN_BUCKET_COUNT, RETURN_BUCKET_MS = 5, 2000.0


class RecentCallers:
    """Records the callers of RPCs and computes statistics of them.

    Attributes:
        caller_ids: Caller id of each RPC of the last 4 s.
        returns: Value for each RPC of the last 10 s: 1 if the same caller had already sent an RPC in the
            preceding 4 s, else 0.
        first_rpc_ms: Time at which this server read its first RPC; infinite before that.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self.caller_ids = RollingWindow(CALLER_BUCKET_COUNT, CALLER_BUCKET_MS)
        self.returns = RollingWindow(RETURN_BUCKET_COUNT, RETURN_BUCKET_MS)
        self.first_rpc_ms = inf

    def record(self, rpc: Rpc) -> None:
        """Records the caller of an RPC that was read."""
        now_ms = self._server.now_ms
        self.first_rpc_ms = min(self.first_rpc_ms, now_ms)
        self.caller_ids.advance(now_ms)
        has_called = any(rpc.caller_id in bucket for bucket in self.caller_ids.buckets)
        self.returns.add(now_ms, 1.0 if has_called else 0.0)
        self.caller_ids.add(now_ms, rpc.caller_id)

    def return_fraction(self) -> float:
        """Returns the fraction of the RPCs of the last 10 s sent by returning callers; 1 without RPCs."""
        return self.returns.mean(self._server.now_ms, 1.0)

    def busiest_caller_fraction(self) -> float:
        """Returns the fraction of the RPCs of the last 4 s that came from the busiest caller.

        The result is 1 if no RPC is counted. The credit of a caller is the number of RPCs that the caller is
        allowed to have in flight. All callers get the same credit: the server's capacity times this
        fraction. A server that starts cold has at first read RPCs from only one or
        two callers. Without a correction, the fraction would be close to 1, and the credits of all callers
        together would be many times the capacity.

        Therefore, such a server counts one assumed RPC for each of the `Settings.caller_count` callers until
        it reads its first RPC. The assumed number per caller then decreases linearly to 0 within 4 s. For
        example, one of 10 callers has sent 3 RPCs, another has sent 1, and the others have sent none. Then,
        2 s after the first RPC, the fraction is (3 + 0.5) / (4 + 0.5 * 10) = 0.39 instead of 3 / 4.
        """
        now_ms, settings = self._server.now_ms, self._server.settings
        counts = Counter(self.caller_ids.values(now_ms))
        observed_fraction = min(1.0, max(0.0, now_ms - self.first_rpc_ms) / self.caller_ids.duration_ms)
        assumes_callers = settings.starts_cold and settings.caller_count > 0
        assumed_rpcs_per_caller = (1.0 - observed_fraction) * assumes_callers
        total = counts.total() + assumed_rpcs_per_caller * settings.caller_count
        return (max(counts.values(), default=0) + assumed_rpcs_per_caller) / total if total else 1.0
