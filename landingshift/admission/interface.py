"""Types of the interface between a host program and the admission controller.

A host program creates one `admission.controller.AdmissionController` per server instance, with `Settings` and
an implementation of `Actions`. It calls one method of the controller for each event. The controller returns a
handle (`ManagedRpc`) for each RPC that the program has read; the program passes this handle with later
events.

Times are milliseconds of one monotonic clock; sizes are kilobytes. The value of an RPC is the benefit to the
operator of a correct answer within the latency objective. A value fraction is a fraction of this value.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether an RPC is allowed to run more than once."""

    IDEMPOTENT = 1
    """The RPC is allowed to run any number of times."""
    KEYED = 2
    """The RPC carries an idempotency key. The host program stores the key in its deduplication table and
    answers duplicates with the result of the first attempt."""
    NON_IDEMPOTENT = 3
    """The RPC is allowed to run at most once, and duplicates cannot be recognised."""


class DownstreamKind(Enum):
    """Kind of service that running RPCs call."""

    NONE = 1
    """RPCs make no downstream calls."""
    SHARED_STORE = 2
    """A store that all servers share. Each server has a quota of the store's capacity."""
    TIER = 3
    """Another tier of servers, which shed load themselves."""


class LoadAdvertisement(Enum):
    """Form in which each answer and health check reports this server's load to callers."""

    NONE = 1
    LEVEL = 2
    """Load level from 0 (idle) to 1 (full)."""
    CREDIT = 3
    """Number of RPCs that one caller is allowed to have in flight on this server."""
    WEIGHT = 4
    """Weight from 1 (idle) to 0 (full) for weighted load balancing."""


class RunCancellation(Enum):
    """How the engine cancels a run."""

    NONE = 1
    """The engine cannot cancel a run, so the run occupies a core until it ends."""
    DROP = 2
    """The engine ends the run."""
    PAUSE = 3
    """The engine takes the run off the cores. The memory of the run stays in use."""


class Outcome(Enum):
    """How a run or a downstream call ended. The numeric values are stored."""

    OK = 1
    ABORTED = 2
    """Failed."""
    REJECTED = 3
    """Rejected before it ran."""
    NO_RESPONSE = 4
    """Timed out; may have run."""
    NO_CONNECTION = 5
    """Never sent, because there was no connection."""
    CONNECTION_LOST = 6
    """Connection lost after sending; may have run."""
    CANCELLED = 7
    """Cancelled by the engine, or ended before a downstream call because the RPC had already been answered or
    its caller had disconnected."""
    NOT_SENT = 8
    """No run was started, because the engine had already finished the RPC or did not know it."""


@dataclass(slots=True, eq=False)
class Method:
    """Settings of one method. A policy change modifies the fields of this object in place."""

    idempotency: Idempotency
    latency_objective_ms: float
    objective_work_factor: float
    """Factor; the latency objective of an RPC is extended by this factor times `Rpc.work_hint_ms`."""
    deadline_ms: float
    """Time from arrival to deadline for an RPC that carries no deadline."""
    criticality: float
    """Value of an answer within the latency objective, or of each unit of work if
    `Settings.criticality_is_per_work` is set."""
    late_value_fraction: float
    """Fraction of the value that remains if the answer comes after the latency objective but before the
    deadline."""
    dedup_window_ms: float
    """Time after the first attempt during which duplicates can arrive; used for KEYED methods."""
    calls_downstream: bool
    degraded_value_fraction: float
    """Fraction of the value that remains if the run skips its downstream call; 0 if the call is required."""

    @property
    def can_skip_call(self) -> bool:
        """Return whether a run may continue without its downstream call."""
        return self.degraded_value_fraction > 0.0


@dataclass(slots=True, eq=False)
class Tenant:
    """One tenant. A policy change modifies the quota of this object in place."""

    quota_per_second: float
    """RPCs per second over the whole fleet; 0 if unlimited."""


@dataclass(slots=True, eq=False)
class Settings:
    """Settings of a server. A policy change modifies the fields of this object in place."""

    methods: list[Method]
    tenants: list[Tenant]
    over_quota_value_fraction: float
    """Value of an RPC beyond the quota of its tenant, as a fraction of the value of an RPC within the
    quota."""
    criticality_is_per_work: bool
    """If True, `Method.criticality` is the value of each unit of work instead of each answer."""
    server_count: int
    caller_count: int
    """Number of callers when the server starts; 0 if unknown."""
    core_count: int
    starts_cold: bool
    cold_speed_fraction: float
    """Speed of a cold server as a fraction of the speed of a warm server."""
    warm_up_ms: float
    memory_kb: float
    """Memory use at which the server fails."""
    running_memory_factor: float
    """Ratio of an RPC's memory while running to its memory while queued."""
    dedup_entry_kb: float
    response_cache_ttl_ms: float
    """Time for which the result of an idempotent read can be reused for RPCs with the same cache key; 0 if
    results are not reused."""
    run_cancellation: RunCancellation
    downstream: DownstreamKind
    downstream_concurrency_quota: float
    """This server's share of the maximum mean concurrency of the shared store; 0 if unlimited."""
    downstream_quota_window_ms: float
    """Time window over which the store's concurrency is averaged."""
    lost_call_linger_ms: float
    """Maximum time for which the store continues to process a call after this server has given it up."""
    load_advertisement: LoadAdvertisement
    callers_send_deadline: bool
    callers_mark_retries: bool
    max_retry_after_ms: float
    """Maximum Retry-After of a rejection; 0 if rejections must not carry a Retry-After."""
    connection_idle_timeout_ms: float
    """Idle time after which callers close a connection."""
    drain_grace_ms: float
    """Time after the shutdown notice during which new RPCs are still accepted and run."""
    max_runs_per_core: float
    """Maximum number of concurrent runs per core at which a warm server does not fail."""


@dataclass(slots=True, eq=False)
class Rpc:
    """Properties of an RPC that are known when it is read. Programs add their own fields in a subclass."""

    method: Method
    tenant: Tenant | None
    remaining_ms: float | None
    """Time for which the caller will still wait; None if the caller does not send this time."""
    waited_ms: float
    """Time from the RPC's arrival at the machine until it was read."""
    memory_kb: float
    """Memory in use while the RPC is queued."""
    caller_id: int
    work_hint_ms: float | None
    """The caller's estimate of the RPC's work; None if the caller sends none."""
    has_cache_key: bool
    """Whether the RPC carries a cache key, so that its result can be reused for RPCs with the same key."""
    is_duplicate: bool
    """Whether the deduplication table has an entry of an earlier attempt of this RPC, or of a read with the
    same cache key."""
    is_retry: bool
    """Whether the caller marked the RPC as a retry or a hedged request."""
    is_write: bool
    """Whether the RPC changes state, so that its result must not be reused for other RPCs. Only the simulator
    sets this field. In the server it is always False, because the protocol has no such flag."""
    is_excess: bool = field(default=False, kw_only=True)
    """Whether the RPC arrived on a connection that sends more than the program handles at once. Such an RPC
    starts after all others, and is not counted in the statistics from which advertised loads are computed."""


@dataclass(slots=True)
class Gauges:
    """Measurements of the engine; a field is None if the engine does not report it."""

    core_utilization: float | None
    """Utilization from 0 to 1."""
    on_cores: float | None
    """Number of tasks that need a core now: runs, reads, checks and new connections."""
    open_connections: float | None


class Actions(Protocol):
    """Actions that the controller requests from its host program.

    Implementations must not call the controller.
    """

    def start_run(self, rpc: Rpc) -> None:
        """Starts a run of the RPC on the engine."""

    def cancel_run(self, rpc: Rpc) -> None:
        """Asks the engine to cancel the run of the RPC; requested repeatedly until the run has ended."""

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers that the RPC was rejected and has not run.

        Args:
            rpc: The rejected RPC.
            retry_after_ms: Time for which the caller should send nothing to this server; 0 for no
                Retry-After.
            is_final: Whether the caller should not try any other server.
        """

    def abort(self, rpc: Rpc) -> None:
        """Answers that the RPC failed and may have run."""

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Makes the downstream call for which the run of the RPC waits."""

    def skip_call(self, rpc: Rpc) -> None:
        """Continues the run of the RPC without the downstream call for which it waits."""

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Adds the RPC's deduplication entry, or extends it; the entry expires after `duration_ms`."""

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """Removes the deduplication entry of an RPC that never ran, so that a duplicate can run."""

    def await_original(self, rpc: Rpc) -> None:
        """Answers a duplicate with the result of the original attempt once this result is available."""

    def release(self, rpc: Rpc) -> None:
        """Reports that the controller has finished with the RPC and requests no more actions for it."""

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the answer to health checks.

        Args:
            is_healthy: Whether balancers should send RPCs to this server.
            is_shallow: If True, every health check is answered with `is_healthy`. If False, a deep health
                check of a healthy server also runs a self-test.
        """

    def advertise_load(self, amount: float) -> None:
        """Sets the load reported to callers, in the form of `Settings.load_advertisement`."""

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Sets the idle time after which the server closes connections."""

    def schedule_check(self, delay_ms: float) -> None:
        """Requests one call of `AdmissionController.on_timer`, `delay_ms` from now.

        The request replaces any earlier request. A call for a replaced request is harmless.
        """

    def log(self, text: str) -> None:
        """Logs a change of mode for operators."""
