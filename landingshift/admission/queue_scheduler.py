"""Rejects queued RPCs that fail the deadline check, and starts the best of the others while slots are free.

The concurrency limit determines the number of slots. The best RPC is the first RPC in the start order. A
server that runs out of memory fails. Therefore, if memory is short, queued RPCs are rejected in reverse start
order, even if they pass the deadline check. If there is not enough memory to run the best RPC, other
RPCs are also rejected in reverse start order, until there is enough memory or only the best RPC is queued.
"""

from __future__ import annotations

from landingshift.admission.concurrency_limit import ConcurrencyLimit
from landingshift.admission.deadline_check import DeadlineCheck
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent
from landingshift.admission.rpc_lifecycle import RpcLifecycle
from landingshift.admission.server_state import ServerState
from landingshift.admission.start_order import StartOrder


class QueueScheduler:
    """Starts or rejects the queued RPCs."""

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
        """Rejects all queued RPCs that fail the deadline check."""
        if not self._check.is_due():
            return
        for managed in self._check.failed_rpcs():
            self._lifecycle.resume(managed, RpcEvent.SHED)
        self._check.update_next_failure()

    def start_best(self) -> None:
        """Rejects RPCs if memory is short, and starts RPCs in priority order while slots are free."""
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
        """Returns whether there is enough memory to run a queued RPC.

        A run needs more memory than the queued RPC already uses.
        """
        growth_kb = managed.rpc.memory_kb * (self._server.settings.running_memory_factor - 1.0)
        return self._server.memory_in_use_kb + growth_kb <= self._server.max_memory_kb
