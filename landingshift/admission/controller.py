"""Admission controller of one server, which decides about each RPC from its arrival to its answer.

For each event, the host program sets `now_ms` and calls one method of the controller. After all simultaneous
events, it calls `settle`. The controller requests actions from the program through the `Actions` interface.

The controller guarantees that each RPC whose caller still waits is answered once, that no RPC is run if its
answer is expected after the deadline, and that the use of memory, cores and the downstream service stays
within limits. Under overload, the controller rejects RPCs that would wait too long. It decides locally,
without asking other servers.

Each rule has its own module:

    deadline_check      whether a queued RPC may still start
    start_order         which queued RPC starts first, and which must not start under overload
    concurrency_limit   how many RPCs run concurrently
    queue_scheduler     applies the three rules above and the memory limit to the queue
    service_times       run time statistics that the rules use
    tenant_quotas       lower weights for tenants that exceed their quota
    downstream_calls    which RPCs may make a downstream call, and its timeout, within the limits of
                        call_rate and downstream_time_budget
    retry_policy        which calls and RPCs may be retried
    dedup_entries       which RPCs get an entry in the deduplication table
    backpressure        load advertised to callers; recent_callers supplies its caller statistics
    idle_connections    idle timeout of callers' connections
    draining            graceful shutdown and standby
    rpc_lifecycle       the states of an RPC and the actions on each transition
    check_timer         the time of the next periodic check
    snapshot            state export and import for a hot restart
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import Any

from landingshift.admission.backpressure import Backpressure
from landingshift.admission.call_rate import CallRate
from landingshift.admission.check_timer import CHECK_INTERVAL_MS, MIN_CHECK_INTERVAL_MS, CheckTimer
from landingshift.admission.concurrency_limit import ConcurrencyLimit
from landingshift.admission.deadline_check import DeadlineCheck
from landingshift.admission.dedup_entries import DedupEntries
from landingshift.admission.downstream_calls import DownstreamCalls
from landingshift.admission.downstream_time_budget import DownstreamTimeBudget
from landingshift.admission.draining import Draining
from landingshift.admission.idle_connections import IdleConnections
from landingshift.admission.interface import (
    Actions,
    DownstreamKind,
    Gauges,
    Outcome,
    Rpc,
    RunCancellation,
    Settings,
)
from landingshift.admission.managed_rpc import ManagedRpc, RpcEvent, RpcState
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.queue_scheduler import QueueScheduler
from landingshift.admission.recent_callers import RecentCallers
from landingshift.admission.retry_policy import RetryPolicy
from landingshift.admission.rpc_lifecycle import RpcLifecycle
from landingshift.admission.server_state import ServerState
from landingshift.admission.service_times import ServiceTimes
from landingshift.admission.snapshot import SnapshotParts, export_state, import_state
from landingshift.admission.start_order import StartOrder
from landingshift.admission.tenant_quotas import TenantQuotas

DEADLINE_LEAD_MS = MIN_CHECK_INTERVAL_MS
"""An RPC is aborted this long before its end time (see `enforce_deadline`). A larger value would abort runs
that still end in time. With a smaller value, the next check might come after the end time."""
SLOW_UPDATE_INTERVAL_MS = 1000.0
"""Interval between updates of slowly changing inputs: tenant weights and the connection idle timeout."""


class AdmissionController:
    """Decides about RPCs on each event and requests the resulting actions from the host program."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, now_ms: float) -> None:
        """Creates the rules of a server and schedules the first check.

        Args:
            settings: The server's settings. Call `on_settings_changed` after changing a field in place.
            seed: Random seed for the delay of the first check. Use a different seed for each server, so that
                the servers of a fleet do not run their checks simultaneously.
            actions: Carries out the controller's decisions.
            now_ms: Current time, which becomes the start time of the server.
        """
        self._actions = actions
        self.state = ServerState(settings, now_ms)
        self.modes = ModeLog(actions)
        self.timer = CheckTimer(self.state, actions)
        self.service_times = {method: ServiceTimes() for method in settings.methods}
        self.tenants = TenantQuotas(self.state)
        self.order = StartOrder(self.state, self.tenants, self.modes)
        self.draining = Draining(self.state, actions)
        self.check = DeadlineCheck(self.state, self.draining, self.order)
        self.limit = ConcurrencyLimit(self.state)
        self.call_rate = CallRate(self.state, self.modes)
        self.calls = DownstreamCalls(self.state, self.call_rate, DownstreamTimeBudget(self.state))
        self.retries = RetryPolicy(self.state, self.calls)
        self.dedup = DedupEntries(self.state, actions)
        self.callers = RecentCallers(self.state)
        self.connections = IdleConnections(self.state, actions, self.callers)
        self.backpressure = Backpressure(
            self.state,
            actions,
            self.modes,
            self.callers,
            self.draining,
            self.check,
            self.limit,
            self.retries,
        )
        self.lifecycle = RpcLifecycle(
            self.state, actions, self.dedup, self.calls, self.retries, self.backpressure.reject
        )
        self.scheduler = QueueScheduler(self.state, self.check, self.order, self.limit, self.lifecycle)
        actions.set_health(True, True)
        self.timer.schedule(CHECK_INTERVAL_MS * Random(seed).random())

    # RPC events

    def on_rpc_read(self, rpc: Rpc) -> ManagedRpc:
        """Admits or rejects an RPC that has been read, and returns the handle for its later events.

        If the RPC is rejected before this method returns, the state of the handle is None.
        """
        now_ms = self.state.now_ms
        managed = ManagedRpc(rpc, self.service_times[rpc.method], now_ms)
        self.tenants.record(rpc.tenant)
        self.retries.record(rpc)
        if not rpc.is_excess:
            self.callers.record(rpc)
            self.backpressure.record_read(rpc.waited_ms)
        self.draining.shorten_deadline(managed)
        self.order.record_arrival(managed)
        self.lifecycle.begin(managed)
        if managed.state is RpcState.QUEUED and not self.dedup.retain(managed):
            self.lifecycle.resume(managed, RpcEvent.SHED)
        self.check.record_queued(managed)
        self.timer.schedule_before_deadline(managed)
        return managed

    def on_run_finished(self, managed: ManagedRpc, outcome: Outcome, run_ms: float) -> None:
        """Handles the end of a run, or of the original attempt that a duplicate waits for.

        Args:
            managed: The RPC that ran or waited.
            outcome: How the run or the original attempt ended.
            run_ms: Duration of the run, including downstream calls.
        """
        if managed.state is None:
            return
        if managed.state is RpcState.CALLING:
            self.calls.on_cancelled(managed)
        if managed.state is not RpcState.AWAITING_ORIGINAL and outcome is Outcome.OK:
            own_ms = managed.own_run_ms(run_ms)
            self.limit.record_run(managed.service_times, own_ms)
            managed.service_times.record(self.state.now_ms, run_ms, own_ms)
        self.lifecycle.resume(managed, RpcEvent.RUN_FINISHED)

    def on_call_needed(self, managed: ManagedRpc) -> None:
        """Handles a run that needs a downstream call.

        The run uses no core until the call ends or is skipped.
        """
        managed.call_started_at_ms = self.state.now_ms
        if managed.state is RpcState.RUNNING:
            self.lifecycle.resume(managed, RpcEvent.CALL_NEEDED)

    def on_call_finished(self, managed: ManagedRpc, outcome: Outcome, latency_ms: float) -> None:
        """Handles the end of a downstream call.

        Args:
            managed: The RPC that made the call.
            outcome: How the call ended.
            latency_ms: Duration of the call.
        """
        if managed.state is RpcState.CALLING:
            self.calls.on_finished(managed, outcome, latency_ms)
            self.lifecycle.resume(managed, outcome)

    def on_caller_gone(self, managed: ManagedRpc) -> None:
        """Handles a caller that has disconnected or given up waiting for the RPC."""
        if managed.state not in (RpcState.ABORTED, RpcState.ABANDONED):
            self.lifecycle.resume(managed, RpcEvent.CALLER_GONE)

    def settle(self) -> None:
        """Rejects and starts queued RPCs, and assigns call slots to runs that need a downstream call.

        RPCs that fail the deadline check are rejected. Of the others, the best are started while slots are
        free. Call this once after all simultaneous events have been reported.
        """
        self.scheduler.reject_failed()
        self.scheduler.start_best()
        if self.state.awaiting_call_slot:
            self.calls.assign_slots(self.lifecycle.resume)
        self.timer.schedule_while_busy()

    # Periodic check

    def on_timer(self, gauges: Gauges) -> None:
        """Runs the periodic check of gauges, rates and deadlines that `Actions.schedule_check` requested.

        Has no effect before `next_check_ms`. The program therefore need not cancel the timer of a request
        when a later request replaces it.
        """
        if not self.timer.is_due():
            return
        self._update_rules(gauges)
        self.dedup.expire()
        next_checks_ms = [self.enforce_deadline(managed) for managed in self.state.all_rpcs()]
        self.backpressure.update()
        self.state.last_check_ms = self.state.now_ms
        self.timer.schedule_next(next_checks_ms)

    def _update_rules(self, gauges: Gauges) -> None:
        """Updates the inputs of the admission rules."""
        now_ms = self.state.now_ms
        for service_times in self.service_times.values():
            service_times.refresh(now_ms)
        is_saturated = self.limit.update(gauges)
        self.order.update_floor(is_saturated, self.check.failure_count())
        self.check.recheck_all()
        self.order.refresh(self.state.queued)
        if self.state.settings.downstream is not DownstreamKind.NONE:
            self.calls.update()
        if now_ms // SLOW_UPDATE_INTERVAL_MS > self.state.last_check_ms // SLOW_UPDATE_INTERVAL_MS:
            self.tenants.update()
            self.connections.update(gauges.open_connections or 0.0)

    def enforce_deadline(self, managed: ManagedRpc) -> float:
        """Aborts an RPC at its end time, or cancels the run of an aborted or abandoned RPC.

        If the engine can cancel runs, the end time is the time at which the answer has lost all its value.
        Otherwise it is the deadline. Queued RPCs are not aborted here; the deadline check rejects them.

        Returns:
            Clock time in ms at which the RPC needs its next check; infinite if it needs none.
        """
        now_ms = self.state.now_ms
        can_cancel = self.state.settings.run_cancellation is not RunCancellation.NONE
        if managed.state in (RpcState.ABORTED, RpcState.ABANDONED):
            if not can_cancel:
                return inf
            # Repeated at each check: a cancellation has no effect while the engine's cores are stalled.
            self._actions.cancel_run(managed.rpc)
        elif managed.state is not RpcState.QUEUED:
            end_ms = managed.worthless_at_ms if can_cancel else managed.deadline_at_ms
            if now_ms + DEADLINE_LEAD_MS >= end_ms:
                self.lifecycle.resume(managed, RpcEvent.DEADLINE_REACHED)
            elif managed.state is not RpcState.AWAITING_CALL_SLOT:
                return end_ms - DEADLINE_LEAD_MS
        return now_ms + CHECK_INTERVAL_MS

    # Changes requested by operators, policies and the fleet

    def start_draining(self, remaining_ms: float, notified_ago_ms: float = 0.0) -> None:
        """Starts a graceful shutdown.

        Args:
            remaining_ms: Time until the process is stopped.
            notified_ago_ms: Time since the shutdown notice arrived.
        """
        self.draining.start(remaining_ms, notified_ago_ms)
        self.check.recheck_all()
        self.timer.schedule_for_drain(remaining_ms)
        queued = len(self.state.queued)
        self._actions.log(f"draining: {remaining_ms:.0f} ms left, {queued} held")

    def set_standby(self, is_standby: bool) -> None:
        """Enters or leaves standby. On standby the server has no valid policy and starts no new runs."""
        self.check.recheck_all()
        self.draining.set_standby(is_standby)

    def set_call_rate_quota(self, calls_per_second: float) -> None:
        """Limits the rate of downstream calls to this server's share of the rate allowed for the fleet."""
        self.call_rate.set_quota(calls_per_second)

    def on_settings_changed(self) -> None:
        """Re-evaluates the queued RPCs. Call this after changing fields of methods or tenants in place."""
        self.state.refresh_objectives()
        queue = self.state.queued
        for managed in queue:
            managed.refresh_objective()
        self.order.refresh(queue)
        self.check.recheck_all()

    # Observable state

    @property
    def settings(self) -> Settings:
        """The server's settings."""
        return self.state.settings

    @property
    def now_ms(self) -> float:
        """Current time in ms. Set it before reporting an event."""
        return self.state.now_ms

    @now_ms.setter
    def now_ms(self, now_ms: float) -> None:
        self.state.now_ms = now_ms

    @property
    def started_at_ms(self) -> float:
        """Start time of the server."""
        return self.state.started_at_ms

    @property
    def stop_at_ms(self) -> float | None:
        """Time at which the process is stopped; None unless the server is draining."""
        return self.draining.stop_at_ms

    @property
    def next_check_ms(self) -> float:
        """Time at which the next call of `on_timer` is due."""
        return self.timer.next_check_ms

    @property
    def advertised_load(self) -> float:
        """Load reported in answers and health checks, in the form of `Settings.load_advertisement`."""
        return self.backpressure.advertised_load

    @property
    def dedup_entry_count(self) -> int:
        """Number of live deduplication entries, for each of which the controller keeps a record of an RPC."""
        return len(self.dedup.expires_at_ms)

    def arrivals_per_second(self, now_ms: float) -> float:
        """Returns the mean number of RPCs that were read per second over the last 2 s."""
        return self.order.arrivals_per_second(now_ms)

    # Hot restart

    def export_state(self) -> tuple[dict[str, Any], list[ManagedRpc]]:
        """Exports the controller's state.

        Returns:
            The state as plain values, and the RPCs to which indices in the state refer.
        """
        return export_state(self._snapshot_parts())

    def import_state(self, state: dict[str, Any], rpcs: list[Rpc]) -> list[ManagedRpc]:
        """Restores the state that another process exported.

        Args:
            state: The exported state.
            rpcs: The RPCs of that process, in the order in which `export_state` returned them.

        Returns:
            The handles of the RPCs, in the same order.
        """
        managed_rpcs = import_state(self._snapshot_parts(), state, rpcs)
        self.timer.rearm()
        return managed_rpcs

    def _snapshot_parts(self) -> SnapshotParts:
        return SnapshotParts(
            server=self.state,
            service_times=self.service_times,
            lifecycle=self.lifecycle,
            modes=self.modes,
            tenants=self.tenants,
            dedup=self.dedup,
            timer=self.timer,
            order=self.order,
            draining=self.draining,
            check=self.check,
            limit=self.limit,
            calls=self.calls,
            call_rate=self.call_rate,
            time_budget=self.calls.time_budget,
            retries=self.retries,
            callers=self.callers,
            connections=self.connections,
            backpressure=self.backpressure,
        )
