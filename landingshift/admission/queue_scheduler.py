"""Takes RPCs from the queue: rejects those that fail the check, starts the best where there is a slot.

Memory is a hard limit: beyond it the server dies. The RPC with the least priority makes room, before its
check fails, and one that fits nowhere does not hold up those that fit.
"""

from __future__ import annotations

from landingshift.admission.concurrency_limit import ConcurrencyLimit
from landingshift.admission.deadline_check import DeadlineCheck
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent
from landingshift.admission.rpc_lifecycle import RpcLifecycle
from landingshift.admission.server_state import ServerState
from landingshift.admission.start_order import StartOrder


class QueueScheduler:
    """The queue of RPCs that were read and not started."""

    def __init__(
        self,
        server: ServerState,
        check: DeadlineCheck,
        order: StartOrder,
        limit: ConcurrencyLimit,
        lifecycle: RpcLifecycle,
    ) -> None:
        self._server = server
        self._check = check
        self._order = order
        self._limit = limit
        self._lifecycle = lifecycle

    def reject_failed(self) -> None:
        """Rejects all that fail the deadline check by now."""
        if not self._check.is_due():
            return
        for managed in self._check.failed():
            self._lifecycle.resume(managed, RpcEvent.SHED)
        self._check.plan_next()

    def start_best(self) -> None:
        """Makes room in memory and starts RPCs in their order while slots are free."""
        queue = self._server.queued
        if not queue or not (self._lacks_memory() or self._limit.free_slots() >= 1.0):
            return
        ordered = self._order.sort(queue, newest_first=self._check.failure_count() > 0)
        while ordered and self._lacks_memory():
            self._lifecycle.resume(ordered.pop(), RpcEvent.SHED)
        while ordered and self._limit.free_slots() >= 1.0:
            fits = self._fits(ordered[0])
            if not self._order.may_start(ordered[0]) or not (fits or len(ordered) > 1):
                return
            if fits:
                self._order.record_start()
                self._lifecycle.resume(ordered.pop(0), RpcEvent.START)
            else:
                self._lifecycle.resume(ordered.pop(), RpcEvent.SHED)

    def _lacks_memory(self) -> bool:
        return self._server.memory_in_use_kb > self._server.max_memory_kb

    def _fits(self, managed: ManagedRpc) -> bool:
        """Whether there is memory for what the RPC takes beyond its place in the queue once it runs."""
        growth_kb = managed.rpc.memory_kb * (self._server.settings.running_memory_factor - 1.0)
        return self._server.memory_in_use_kb + growth_kb <= self._server.max_memory_kb
