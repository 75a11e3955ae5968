"""The admission controller of one server: every decision about an RPC, from read to answer.

A program sets `now_ms`, calls a method for each event, then `settle`, and carries out the `Actions` that it
is asked for. It guarantees that each RPC that was read is answered once, that no work begins which cannot
end in time by what is known, and that memory, cores and the layer below stay within what they survive.
Under overload it rejects rather than queues. It decides alone, without asking a peer.

Each rule has its module:

    deadline_check      whether a queued RPC may still start
    start_order         which starts first, and which not at all under overload
    concurrency_limit   how many run at once
    queue_scheduler     applies these three to the queue, and the limit of memory
    service_times       what the check and the order know of runs
    tenant_quotas       what a tenant beyond its quota counts for
    downstream_calls    who calls the layer below, for how long; call_rate and
                        downstream_time_budget bound it
    retry_policy        what may be attempted again
    dedup_entries       which RPCs enter the deduplication table
    backpressure        the load that callers are told; recent_callers and idle_connections with it
    draining            graceful shutdown and standby
    rpc_lifecycle       the states of an RPC and what the program does for each
    check_timer         when the controller checks next by itself
    snapshot            export and import for a hot restart
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
"""Before the time in `enforce_deadline` that a run is aborted: no earlier, since it may still end by itself,
and no later, since the next check may be as far away."""
SLOW_UPDATE_INTERVAL_MS = 1000.0
"""Between two updates of what moves slowly: tenants' weights, the idle timeout of connections."""


class AdmissionController:
    """Takes events, decides, and asks its program for actions."""

    def __init__(self, settings: Settings, seed: int, actions: Actions, now_ms: float) -> None:
        """Wires the rules of a server.

        Args:
            settings: The server's settings. A policy may change figures in place; then `on_settings_changed`.
            seed: Of the time of the first check, so that the servers of a fleet do not check in step.
            actions: What the program does.
            now_ms: The start of the server; its caches are cold from then on.
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

    # Events of RPCs

    def on_rpc_read(self, rpc: Rpc) -> ManagedRpc:
        """Takes an RPC that was read; returns the handle for its later events.

        It may be answered before this returns; the handle's state is then None.
        """
        now_ms = self.state.now_ms
        managed = ManagedRpc(rpc, self.service_times[rpc.method], now_ms)
        self.tenants.record(rpc.tenant)
        self.callers.record(rpc)
        self.retries.record(rpc)
        self.backpressure.record_read(rpc.waited_ms)
        self.draining.shorten_deadline(managed)
        self.order.record_arrival(managed)
        self.lifecycle.begin(managed)
        if managed.state is RpcState.QUEUED and not self.dedup.retain(managed):
            self.lifecycle.resume(managed, RpcEvent.SHED)
        self.check.note_queued(managed)
        self.timer.schedule_before_deadline(managed)
        return managed

    def on_run_finished(self, managed: ManagedRpc, outcome: Outcome, run_ms: float) -> None:
        """Takes the end of a run, or of the attempt that a duplicate waits for.

        Args:
            managed: Whose run it was.
            outcome: How it ended.
            run_ms: What it took in all, calls included.
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
        """Handles a run that needs a downstream call; it is off the cores until that ends or is skipped."""
        managed.call_started_at_ms = self.state.now_ms
        if managed.state is RpcState.RUNNING:
            self.lifecycle.resume(managed, RpcEvent.CALL_NEEDED)

    def on_call_finished(self, managed: ManagedRpc, outcome: Outcome, latency_ms: float) -> None:
        """Takes the end of a downstream call.

        Args:
            managed: Whose call it was.
            outcome: How it ended.
            latency_ms: What it took.
        """
        if managed.state is RpcState.CALLING:
            self.calls.on_finished(managed, outcome, latency_ms)
            self.lifecycle.resume(managed, outcome)

    def on_caller_gone(self, managed: ManagedRpc) -> None:
        """Handles a caller that has gone: nobody waits for the RPC any more."""
        if managed.state not in (RpcState.ABORTED, RpcState.ABANDONED):
            self.lifecycle.resume(managed, RpcEvent.CALLER_GONE)

    def settle(self) -> None:
        """Decides once all events of a moment are in: rejects what fails the check, starts the best."""
        self.scheduler.reject_failed()
        self.scheduler.start_best()
        if self.state.awaiting_call_slot:
            self.calls.assign_slots(self.lifecycle.resume)
        self.timer.schedule_while_busy()

    # Time

    def on_timer(self, gauges: Gauges) -> None:
        """Checks gauges, rates and deadlines; called when `Actions.schedule_check` asked for it."""
        if not self.timer.is_due():
            return
        self._update_rules(gauges)
        self.dedup.expire()
        next_checks_ms = [self.enforce_deadline(managed) for managed in self.state.all_rpcs()]
        self.backpressure.update()
        self.state.last_check_ms = self.state.now_ms
        self.timer.schedule_next(next_checks_ms)

    def _update_rules(self, gauges: Gauges) -> None:
        """Moves what the rules go by."""
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
        """Aborts an RPC that has left the queue and whose time is up; cancels runs that nobody waits for.

        A run that can be cancelled is aborted once its answer is worthless, another at its deadline. Queued
        RPCs are the deadline check's.

        Returns:
            When the RPC needs its next check, in ms of the clock.
        """
        now_ms = self.state.now_ms
        can_cancel = self.state.settings.run_cancellation is not RunCancellation.NONE
        if managed.state in (RpcState.ABORTED, RpcState.ABANDONED):
            if not can_cancel:
                return inf
            # Asked again at each check: it has no effect while the engine's cores stand still.
            self._actions.cancel_run(managed.rpc)
        elif managed.state is not RpcState.QUEUED:
            end_ms = managed.worthless_at_ms if can_cancel else managed.deadline_at_ms
            if now_ms + DEADLINE_LEAD_MS >= end_ms:
                self.lifecycle.resume(managed, RpcEvent.DEADLINE_REACHED)
            elif managed.state is not RpcState.AWAITING_CALL_SLOT:
                return end_ms - DEADLINE_LEAD_MS
        return now_ms + CHECK_INTERVAL_MS

    # What the operator, the policy and the fleet decide

    def start_draining(self, remaining_ms: float, notified_ago_ms: float = 0.0) -> None:
        """Begins a graceful shutdown.

        Args:
            remaining_ms: Until the process is stopped.
            notified_ago_ms: How long ago the notice came.
        """
        self.draining.start(remaining_ms, notified_ago_ms)
        self.check.recheck_all()
        self.timer.schedule_for_drain(remaining_ms)
        queued = len(self.state.queued)
        self._actions.log(f"draining: {remaining_ms:.0f} ms left, {queued} held")

    def set_standby(self, is_standby: bool) -> None:
        """Runs nothing new while on standby: the server does not know by which policy to decide."""
        self.check.recheck_all()
        self.draining.set_standby(is_standby)

    def set_call_rate_quota(self, calls_per_second: float) -> None:
        """Sets how many downstream calls a second the fleet leaves to this server; bounds the call rate."""
        self.call_rate.set_quota(calls_per_second)

    def on_settings_changed(self) -> None:
        """Judges what is queued by figures of methods and tenants that have changed in place."""
        self.state.refresh_objectives()
        queue = self.state.queued
        for managed in queue:
            managed.refresh_objective()
        self.order.refresh(queue)
        self.check.recheck_all()

    # What others see

    @property
    def settings(self) -> Settings:
        """The server's settings."""
        return self.state.settings

    @property
    def now_ms(self) -> float:
        """The controller's time, which the program sets before each event."""
        return self.state.now_ms

    @now_ms.setter
    def now_ms(self, now_ms: float) -> None:
        self.state.now_ms = now_ms

    @property
    def started_at_ms(self) -> float:
        """When the server started."""
        return self.state.started_at_ms

    @property
    def stop_at_ms(self) -> float | None:
        """When the process is stopped; None unless the server drains."""
        return self.draining.stop_at_ms

    @property
    def next_check_ms(self) -> float:
        """When `on_timer` is due."""
        return self.timer.next_check_ms

    @property
    def advertised_load(self) -> float:
        """The load that answers and health checks carry, in the form that the settings name."""
        return self.backpressure.advertised_load

    def arrivals_per_second(self, now_ms: float) -> float:
        """RPCs read in a second, over the last 2 s."""
        return self.order.arrivals_per_second(now_ms)

    # Hot restart

    def export_state(self) -> tuple[dict[str, Any], list[ManagedRpc]]:
        """All that is learned and in hand, as plain values, and the RPCs in the order of its places."""
        return export_state(self._snapshot_parts())

    def import_state(self, state: dict[str, Any], rpcs: list[Rpc]) -> list[ManagedRpc]:
        """Goes on where another build was.

        Args:
            state: What that build exported.
            rpcs: Its RPCs, in the order of the export.

        Returns:
            The handles of the RPCs in the same order.
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
