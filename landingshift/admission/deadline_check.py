"""The check before each start: now plus a margin against the RPC's deadline.

Guards against work for callers that have left or will have: under overload throughput looks healthy while
no answer is in time. A queued RPC is rejected when it fails, not when a slot becomes free, so that its
caller can still go elsewhere. Until runs have ended the margin is 0: only expired RPCs fail.
"""

from __future__ import annotations

from math import inf

from landingshift.admission.draining import Draining
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.server_state import ServerState
from landingshift.admission.start_order import OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS, StartOrder

MAX_MARGIN_FRACTION = 0.7
"""Of an RPC's time budget: under long-tailed service times one p99 would reject all."""
MAX_QUEUE_FRACTION_BELOW_FLOOR = 0.12
"""Of its time budget that an RPC is queued which is not among the best that start."""


class DeadlineCheck:
    """Decides until when each queued RPC may start.

    Attributes:
        failures: One for each RPC rejected for failing the check in the last 2 s.
        next_failure_ms: Before this no queued RPC fails: what the check goes by changes at timer checks only.
            0 has all checked again.
    """

    def __init__(self, server: ServerState, draining: Draining, order: StartOrder) -> None:
        self._server = server
        self._draining = draining
        self._order = order
        self.failures = RollingWindow(OVERLOAD_BUCKET_COUNT, OVERLOAD_BUCKET_MS)
        self.next_failure_ms = 0.0

    def latest_start_ms(self, managed: ManagedRpc) -> float:
        """When the RPC fails the check: its deadline less the margin.

        The margin is the p99 of whole runs of its method, capped at a fraction of the RPC's time budget. An
        RPC that arrived after a draining server's grace fails at once.
        """
        if managed.arrived_at_ms > self._draining.accept_until_ms:
            return 0.0
        margin_ms = min(managed.service_times.p99_ms, managed.time_budget_ms * MAX_MARGIN_FRACTION)
        return managed.check_deadline_ms - margin_ms

    def queued_until_ms(self, managed: ManagedRpc) -> float:
        """When a queued RPC is rejected: as it fails the check, or earlier where it is not among the best.

        Under overload it would not start here; it is told while another server can still run it.
        """
        latest_start_ms = self.latest_start_ms(managed)
        if self._order.may_start(managed):
            return latest_start_ms
        max_queue_ms = MAX_QUEUE_FRACTION_BELOW_FLOOR * managed.time_budget_ms
        return min(latest_start_ms, managed.arrived_at_ms + max_queue_ms)

    def record_rejection(self, managed: ManagedRpc) -> None:
        """Counts a rejected RPC where it failed the check.

        One given up early does not count: it would keep the queue standing.
        """
        if self._server.now_ms >= self.latest_start_ms(managed):
            self.failures.add(self._server.now_ms, 1.0)

    def failure_count(self) -> int:
        """RPCs that failed the check in the last 2 s; any means that a queue stands."""
        return self.failures.count(self._server.now_ms)

    def recheck_all(self) -> None:
        """Has all queued RPCs checked at the next settling: what the check goes by has changed."""
        self.next_failure_ms = 0.0

    def note_queued(self, managed: ManagedRpc) -> None:
        """Takes an RPC that was read into account."""
        self.next_failure_ms = min(self.next_failure_ms, self.queued_until_ms(managed))

    def is_due(self) -> bool:
        """Whether a queued RPC may have failed."""
        return self._server.now_ms >= self.next_failure_ms

    def failed(self) -> list[ManagedRpc]:
        """The queued RPCs that are to be rejected by now."""
        now_ms = self._server.now_ms
        return [managed for managed in self._server.queued if now_ms >= self.queued_until_ms(managed)]

    def plan_next(self) -> None:
        """Finds out when the next queued RPC fails."""
        self.next_failure_ms = min(map(self.queued_until_ms, self._server.queued), default=inf)
