"""Deadline check of queued RPCs.

An RPC fails the check when the current time plus a margin for its run reaches the deadline of the RPC.

The check prevents runs whose callers will have stopped waiting when the run ends. Without it, a server under
overload can have a high throughput while no answer is in time. An RPC is rejected as soon as it fails the
check, not when a slot becomes free, so that its caller can still try another server. Until the first runs
have ended, the margin is 0 and only expired RPCs fail.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.draining import Draining
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState
from landingshift.admission.start_order import OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS, StartOrder

MAX_MARGIN_FRACTION = 0.7
"""Maximum margin as a fraction of an RPC's time budget. With long-tailed service times, a margin equal to the
p99 could make every RPC fail."""
MAX_QUEUE_FRACTION_BELOW_FLOOR = 0.12
"""Maximum time in the queue for an RPC below the priority floor, as a fraction of the RPC's time budget. The
floor is set by `start_order` under overload."""


class DeadlineCheck:
    """Computes how long each RPC can stay queued before it is rejected.

    Attributes:
        failures: One value for each RPC that was rejected in the last 2 s because it failed the check.
        next_failure_ms: Earliest time at which a queued RPC must be rejected; 0 if this time must be
            recomputed. The time stays valid between periodic checks, because the inputs of the deadline check
            do not change in between.
    """

    def __init__(self, server: ServerState, draining: Draining, order: StartOrder) -> None:
        self._server = server
        self._draining = draining
        self._order = order
        self.failures = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.next_failure_ms = 0.0

    def latest_start_ms(self, managed: ManagedRpc) -> float:
        """Returns the time from which the RPC fails the check: its `check_deadline_ms` minus the margin.

        The margin is the p99 run time of the method, including downstream calls, and at most a fraction of
        the RPC's time budget. An RPC that arrived after `Draining.accept_until_ms` fails immediately.
        """
        if managed.arrived_at_ms > self._draining.accept_until_ms:
            return 0.0
        margin_ms = min(managed.service_times.p99_ms, managed.time_budget_ms * MAX_MARGIN_FRACTION)
        return managed.check_deadline_ms - margin_ms

    def queued_until_ms(self, managed: ManagedRpc) -> float:
        """Returns the time at which a queued RPC is rejected.

        An RPC is rejected when it fails the check. An RPC below the priority floor is rejected earlier,
        because it is unlikely to start on this server, and an early rejection leaves time to run it on
        another server.
        """
        latest_start_ms = self.latest_start_ms(managed)
        if self._order.may_start(managed):
            return latest_start_ms
        max_queue_ms = MAX_QUEUE_FRACTION_BELOW_FLOOR * managed.time_budget_ms
        return min(latest_start_ms, managed.arrived_at_ms + max_queue_ms)

    def record_rejection(self, managed: ManagedRpc) -> None:
        """Counts a rejected RPC if it failed the check.

        An RPC that was rejected before it failed the check, because of its priority or a lack of memory, is
        not counted. The server counts as overloaded while many RPCs are counted here. If rejections caused by
        overload were counted too, they would prolong the overload state.
        """
        if self._server.now_ms >= self.latest_start_ms(managed):
            self.failures.add(self._server.now_ms, 1.0)

    def failure_count(self) -> int:
        """Returns how many RPCs were rejected in the last 2 s because they failed the check.

        A count above 0 means that the queue is too long for some RPCs to start in time.
        """
        return self.failures.count(self._server.now_ms)

    def recheck_all(self) -> None:
        """Makes the next `settle` check all queued RPCs. Call this when the inputs of the check change."""
        self.next_failure_ms = 0.0

    def record_queued(self, managed: ManagedRpc) -> None:
        """Updates `next_failure_ms` for a new RPC."""
        self.next_failure_ms = min(self.next_failure_ms, self.queued_until_ms(managed))

    def is_due(self) -> bool:
        """Returns whether a queued RPC might have to be rejected now."""
        return self._server.now_ms >= self.next_failure_ms

    def failed_rpcs(self) -> list[ManagedRpc]:
        """Returns the queued RPCs that must be rejected now."""
        now_ms = self._server.now_ms
        return [managed for managed in self._server.queued if now_ms >= self.queued_until_ms(managed)]

    def update_next_failure(self) -> None:
        """Recomputes `next_failure_ms` from all queued RPCs."""
        self.next_failure_ms = min(map(self.queued_until_ms, self._server.queued), default=inf)
