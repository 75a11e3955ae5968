"""What may be attempted again, here or elsewhere, and how often.

A call or RPC that may have had an effect is never attempted again: only idempotent ones, or those that
cannot have run. A rejected caller is sent to another server only while marked retries are rare: each
further attempt costs a read elsewhere, and many of them say that others reject too (retry amplification).
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
"""Of what is read: from as many retries on the fleet counts as rejecting too."""
BUCKET_COUNT, BUCKET_MS = 4, 500.0


class RetryPolicy:
    """Decides about further attempts.

    Attributes:
        retry_marks: 1 for each marked retry that was read in the last 2 s, 0 for each other RPC.
    """

    def __init__(self, server: ServerState, calls: DownstreamCalls) -> None:
        self._server = server
        self._calls = calls
        self.retry_marks = RollingWindow(BUCKET_COUNT, BUCKET_MS)

    def record(self, rpc: Rpc) -> None:
        """Notes whether an RPC that was read is a marked retry."""
        self.retry_marks.add(self._server.now_ms, 1.0 if rpc.is_retry else 0.0)

    def may_repeat_call(self, managed: ManagedRpc, outcome: Outcome) -> bool:
        """Whether a downstream call that failed is made again.

        Args:
            managed: Whose call it is; `call_attempts` counts the failed one.
            outcome: How it ended.

        Returns:
            True where a second run can do no harm, attempts are left, and the timeout exceeds a mean call.
        """
        is_idempotent = managed.rpc.method.idempotency is Idempotency.IDEMPOTENT
        is_safe = is_idempotent or outcome in OUTCOMES_WITHOUT_RUN
        if not is_safe or managed.call_attempts >= MAX_CALL_ATTEMPTS:
            return False
        return self._calls.timeout_ms(managed) > self._calls.mean_latency_ms()

    def is_final_rejection(self, managed: ManagedRpc) -> bool:
        """Whether a rejected RPC's caller is told not to try another server.

        It is where the fleet rejects too, where the caller did so already, and where another server could
        hardly end it in time.
        """
        now_ms = self._server.now_ms
        others_accept = (
            self._server.settings.callers_mark_retries
            and self.retry_marks.mean(now_ms, 0.0) < MAX_RETRY_FRACTION
        )
        time_left_ms = managed.check_deadline_ms - now_ms
        return not others_accept or managed.rpc.is_retry or time_left_ms < managed.service_times.mean_own_ms
