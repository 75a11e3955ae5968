"""Retry rules for downstream calls and for rejected RPCs.

Only calls and RPCs that are idempotent or cannot have run are retried, so that no effect occurs twice. The
caller of a rejected RPC is allowed to try another server only while few of the RPCs that this server reads
are marked as retries. If there are many retries, other servers probably reject RPCs too. A further attempt
would then probably fail too, but another server would still have to read the RPC (retry amplification).
"""

from __future__ import annotations

from landingshift.admission.downstream_calls import DownstreamCalls
from landingshift.admission.interface import Idempotency, Outcome, Rpc
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState

OUTCOMES_WITHOUT_RUN = (Outcome.REJECTED, Outcome.NO_CONNECTION)
MAX_CALL_ATTEMPTS = 3
MAX_RETRY_FRACTION = 0.1
"""If at least this fraction of the recent RPCs are marked as retries, other servers are assumed to reject
RPCs too."""
BUCKET_COUNT, BUCKET_MS = 4, 500.0


class RetryPolicy:
    """Decides which calls and RPCs may be retried.

    Attributes:
        retry_marks: Value for each RPC that was read in the last 2 s: 1 if its caller marked it as a retry,
            else 0.
    """

    def __init__(self, server: ServerState, calls: DownstreamCalls) -> None:
        self._server = server
        self._calls = calls
        self.retry_marks = RollingWindow(BUCKET_COUNT, BUCKET_MS)

    def record(self, rpc: Rpc) -> None:
        """Records whether an RPC that was read is marked as a retry."""
        self.retry_marks.add(self._server.now_ms, 1.0 if rpc.is_retry else 0.0)

    def may_retry_call(self, managed: ManagedRpc, outcome: Outcome) -> bool:
        """Returns whether a failed downstream call may be retried.

        Args:
            managed: The RPC that made the call; its `call_attempts` already includes the failed call.
            outcome: How the call ended.

        Returns:
            True if a further call cannot repeat an effect, attempts are left, and the timeout of a further
            call would exceed the mean latency.
        """
        is_idempotent = managed.rpc.method.idempotency is Idempotency.IDEMPOTENT
        is_safe = is_idempotent or outcome in OUTCOMES_WITHOUT_RUN
        if not is_safe or managed.call_attempts >= MAX_CALL_ATTEMPTS:
            return False
        return self._calls.timeout_ms(managed) > self._calls.mean_latency_ms()

    def is_final_rejection(self, managed: ManagedRpc) -> bool:
        """Returns whether the caller of a rejected RPC should not try another server.

        The result is True if callers do not mark retries, if many recent RPCs are retries, if this RPC is
        itself a retry, or if the time left for it is shorter than the mean run time of its method.
        """
        now_ms = self._server.now_ms
        others_accept = (
            self._server.settings.callers_mark_retries
            and self.retry_marks.mean(now_ms, 0.0) < MAX_RETRY_FRACTION
        )
        time_left_ms = managed.check_deadline_ms - now_ms
        return not others_accept or managed.rpc.is_retry or time_left_ms < managed.service_times.mean_own_ms
