"""Export and import of a controller's complete state for a hot restart.

The exporting and the importing process can run different builds of the program. The tables in this module
define the stored format. They map stored names to the attributes that contain the values in this build. On
import, stored values that this build does not know are ignored, and values that the other build did not store
keep their initial value.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from landingshift.admission.backpressure import Backpressure
from landingshift.admission.call_rate import CallRate
from landingshift.admission.check_timer import CheckTimer
from landingshift.admission.concurrency_limit import ConcurrencyLimit
from landingshift.admission.deadline_check import DeadlineCheck
from landingshift.admission.dedup_entries import DedupEntries
from landingshift.admission.downstream_calls import DownstreamCalls
from landingshift.admission.downstream_time_budget import DownstreamTimeBudget
from landingshift.admission.draining import Draining
from landingshift.admission.idle_connections import IdleConnections
from landingshift.admission.interface import Method, Rpc
from landingshift.admission.managed_rpc import ManagedRpc, RpcState
from landingshift.admission.mode_log import ModeLog
from landingshift.admission.recent_callers import RecentCallers
from landingshift.admission.retry_policy import RetryPolicy
from landingshift.admission.rolling_window import RollingWindow
from landingshift.admission.rpc_lifecycle import RpcLifecycle
from landingshift.admission.server_state import ServerState
from landingshift.admission.service_times import ServiceTimes
from landingshift.admission.start_order import StartOrder
from landingshift.admission.tenant_quotas import TenantQuotas

STORED_FIGURES = {
    "now": ("server", "now_ms"),
    "born": ("server", "started_at_ms"),
    "last": ("server", "last_check_ms"),
    "kb": ("server", "memory_in_use_kb"),
    "cap": ("limit", "limit"),
    "use": ("limit", "core_utilization"),
    "cut_at": ("limit", "last_cut_ms"),
    "met": ("callers", "first_rpc_ms"),
    "floor": ("order", "priority_floor"),
    "reading": ("limit", "reading_cores"),
    "on_cores": ("limit", "busy_cores"),
    "shortest": ("server", "shortest_objective_ms"),
    "tokens": ("call_rate", "tokens"),
    "rate": ("call_rate", "calls_per_second"),
    "share": ("call_rate", "quota_per_second"),
    "lost_row": ("call_rate", "consecutive_losses"),
    "slowed": ("call_rate", "last_pause_ms"),
    "call_mean": ("call_rate", "recent_mean_ms"),
    "advert": ("backpressure", "advertised_load"),
    "link_idle": ("connections", "idle_timeout_ms"),
    "weight": ("backpressure", "queue_weight"),
    "keeps_up": ("backpressure", "read_responsiveness"),
    "leave_at": ("draining", "stop_at_ms"),
    "here": ("draining", "is_in_service"),
    "run_until": ("draining", "accept_until_ms"),
    "fails": ("check", "next_failure_ms"),
    "alarm": ("timer", "next_check_ms"),
}
"""Maps the stored name of each scalar value to its location in this build: a field of `SnapshotParts`, and an
attribute of that part. The entries are in stored order."""

STORED_WINDOWS = {
    "stretch": ("limit", "slowdown"),
    "pushed": ("check", "failures"),
    "callers": ("callers", "caller_ids"),
    "back": ("callers", "returns"),
    "values": ("order", "arrival_priorities"),
    "begun": ("order", "starts"),
    "tries_seen": ("retries", "retry_marks"),
    "unread": ("backpressure", "unread_ms"),
    "call_times": ("calls", "latency_ms"),
    "call_recent": ("call_rate", "recent_ms"),
    "call_load": ("time_budget", "call_time_ms"),
}
"""Maps the stored name of each rolling window to its location, in the same form as `STORED_FIGURES`. The
windows of methods and tenants are stored after these windows, in the order of the settings."""

STORED_RPC_ATTRIBUTES = (
    "arrived_at_ms",
    "deadline_at_ms",
    "objective_at_ms",
    "time_budget_ms",
    "total_call_ms",
    "call_started_at_ms",
    "call_expires_at_ms",
    "priority",
    "call_attempts",
    "has_started",
)
"""Stored attributes of a `ManagedRpc`. Each RPC is stored as a list of its state and the values of these
attributes, in this order."""


@dataclass(frozen=True)
class SnapshotParts:
    """The stored parts of a controller. The tables of this module refer to a part by its field name here."""

    server: ServerState
    service_times: dict[Method, ServiceTimes]
    lifecycle: RpcLifecycle
    modes: ModeLog
    tenants: TenantQuotas
    dedup: DedupEntries
    timer: CheckTimer
    order: StartOrder
    draining: Draining
    check: DeadlineCheck
    limit: ConcurrencyLimit
    calls: DownstreamCalls
    call_rate: CallRate
    time_budget: DownstreamTimeBudget
    retries: RetryPolicy
    callers: RecentCallers
    connections: IdleConnections
    backpressure: Backpressure


def export_state(parts: SnapshotParts) -> tuple[dict[str, Any], list[ManagedRpc]]:
    """Exports the state of a controller.

    Returns:
        The state as plain values, and the RPCs to which indices in the state refer.
    """
    entries = parts.dedup.expires_at_ms
    rpcs = parts.server.all_rpcs() + [managed for managed in entries if managed.state is None]
    indices = {managed: index for index, managed in enumerate(rpcs)}
    state = {
        "plain": {
            stored_name: getattr(getattr(parts, part), attribute)
            for stored_name, (part, attribute) in STORED_FIGURES.items()
        },
        "modes": dict(parts.modes.is_on),
        "worth": list(parts.tenants.weights.values()),
        "rings": {stored_name: _export_window(window) for stored_name, window in _windows(parts).items()},
        "learned": [
            [times.changes_seen, times.p99_ms, times.mean_own_ms, times.base_own_ms]
            for times in parts.service_times.values()
        ],
        "jobs": [
            [managed.state, *(getattr(managed, attribute) for attribute in STORED_RPC_ATTRIBUTES)]
            for managed in rpcs
        ],
        "kept": [[indices[managed], expires_at_ms] for managed, expires_at_ms in entries.items()],
    }
    return state, rpcs


def import_state(parts: SnapshotParts, state: dict[str, Any], rpcs: list[Rpc]) -> list[ManagedRpc]:
    """Restores the state that another process exported.

    Args:
        parts: Parts of a newly created controller.
        state: The exported state.
        rpcs: The RPCs of the other process, in the order in which `export_state` returned them.

    Returns:
        The handles of the RPCs, in the same order.
    """
    for stored_name, value in state["plain"].items():
        if stored_name in STORED_FIGURES:
            part, attribute = STORED_FIGURES[stored_name]
            setattr(getattr(parts, part), attribute, value)
    parts.modes.is_on |= state["modes"]
    for tenant, weight in zip(parts.tenants.weights, state["worth"], strict=True):
        parts.tenants.weights[tenant] = weight
    for stored_name, window in _windows(parts).items():
        if stored_name in state["rings"]:
            _import_window(window, state["rings"][stored_name])
    for times, values in zip(parts.service_times.values(), state["learned"], strict=True):
        times.changes_seen, times.p99_ms, times.mean_own_ms, times.base_own_ms = values
    managed_rpcs = [
        _import_rpc(parts, rpc, stored_rpc) for rpc, stored_rpc in zip(rpcs, state["jobs"], strict=True)
    ]
    parts.dedup.expires_at_ms = {managed_rpcs[index]: expires_at_ms for index, expires_at_ms in state["kept"]}
    return managed_rpcs


def _import_rpc(parts: SnapshotParts, rpc: Rpc, stored_rpc: list[Any]) -> ManagedRpc:
    state, *values = stored_rpc
    managed = ManagedRpc(rpc, parts.service_times[rpc.method], parts.server.now_ms)
    for attribute, value in zip(STORED_RPC_ATTRIBUTES, values, strict=True):
        setattr(managed, attribute, value)
    if state is not None:
        parts.lifecycle.restore(managed, RpcState(state))
    return managed


def _windows(parts: SnapshotParts) -> dict[str, RollingWindow]:
    """Returns all rolling windows, keyed by their stored names, in stored order."""
    windows = {
        stored_name: getattr(getattr(parts, part), attribute)
        for stored_name, (part, attribute) in STORED_WINDOWS.items()
    }
    for index, times in enumerate(parts.service_times.values()):
        windows |= {f"whole {index}": times.run_ms, f"own {index}": times.own_ms}
    for index, window in enumerate(parts.tenants.arrivals.values()):
        windows[f"tenant {index}"] = window
    return windows


def _export_window(window: RollingWindow) -> list[Any]:
    return [window.current_bucket, window.change_count, window.buckets, window.bucket_sums]


def _import_window(window: RollingWindow, stored_window: list[Any]) -> None:
    """Restores a window; leaves it unchanged if the stored window has a different number of buckets."""
    current_bucket, change_count, buckets, bucket_sums = stored_window
    if len(buckets) != window.bucket_count:
        return
    window.current_bucket = current_bucket
    window.change_count = change_count
    window.buckets = buckets
    window.bucket_sums = bucket_sums
