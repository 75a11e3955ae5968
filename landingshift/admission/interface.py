"""Types of the interface between a host program and the admission controller.

A program creates one `admission.controller.AdmissionController` per instance with its `Settings` and an
implementation of `Actions`, and calls one of its methods for each event. The controller returns a handle
(`ManagedRpc`) for each RPC that the program has read; the program passes this handle with later events.

Times are milliseconds of one monotonic clock; sizes are kilobytes. The value of an RPC is what a correct
answer in time is worth to the operator. A value fraction is a fraction of this value.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether an RPC may run more than once."""

    IDEMPOTENT = 1
    """May run any number of times."""
    KEYED = 2
    """Carries an idempotency key; a duplicate is answered from the deduplication table."""
    NON_IDEMPOTENT = 3
    """May run at most once, and duplicates cannot be recognised."""


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
    """Effect of cancelling a run on the engine."""

    NONE = 1
    """Not supported; the run occupies a core until it ends."""
    DROP = 2
    """Ends the run."""
    PAUSE = 3
    """Takes the run off the cores; its memory stays in use."""


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
    """Never sent."""
    CONNECTION_LOST = 6
    """Connection lost after sending; may have run."""
    CANCELLED = 7
    """Cancelled by the engine, or ended before a downstream call because the RPC had already been answered or
    its caller had disconnected."""
    NOT_SENT = 8
    """No run was started, because the engine had already finished the RPC or did not know it."""


@dataclass(slots=True, eq=False)
class Method:
    """Settings of one method. A policy may change its fields in place."""

    idempotency: Idempotency
    latency_objective_ms: float
    objective_work_factor: float
    """Multiple of an RPC's work hint that is added to the latency objective."""
    deadline_ms: float
    """Time from arrival to deadline for an RPC that carries no deadline."""
    criticality: float
    """Value of an answer in time; per unit of its work if `Settings.criticality_is_per_work` is set."""
    late_value_fraction: float
    """Fraction of its value that an answer keeps between latency objective and deadline."""
    dedup_window_ms: float
    """Time after the first attempt in which duplicates can arrive; for KEYED methods."""
    calls_downstream: bool
    degraded_value_fraction: float
    """Fraction of its value that an answer keeps without its downstream call; 0 if the call is required."""


@dataclass(slots=True, eq=False)
class Tenant:
    """One tenant. A policy may change its quota in place."""

    quota_per_second: float
    """RPCs per second over the whole fleet; 0 if unlimited."""


@dataclass(slots=True, eq=False)
class Settings:
    """Settings of a server. A policy may change its fields in place."""

    methods: list[Method]
    tenants: list[Tenant]
    over_quota_value_fraction: float
    """Fraction of its value that an RPC beyond its tenant's quota keeps."""
    criticality_is_per_work: bool
    """Whether criticality is the value of each unit of work instead of each answer."""
    server_count: int
    caller_count: int
    """Number of callers when the server starts; 0 if unknown."""
    core_count: int
    starts_cold: bool
    cold_speed_fraction: float
    """Speed of a cold server as a fraction of a warm one's."""
    warm_up_ms: float
    memory_kb: float
    """Memory use at which the server fails."""
    running_memory_factor: float
    """Ratio of an RPC's memory while running to its memory while queued."""
    dedup_entry_kb: float
    response_cache_ttl_ms: float
    """Time for which the result of an idempotent read may answer RPCs with the same cache key; 0 for
    never."""
    run_cancellation: RunCancellation
    downstream: DownstreamKind
    downstream_concurrency_quota: float
    """This server's share of the maximum mean concurrency of the shared store; 0 if unlimited."""
    downstream_quota_window_ms: float
    """Time window over which the store's concurrency is averaged."""
    lost_call_linger_ms: float
    """Maximum time for which the store continues to process a call that was given up."""
    load_advertisement: LoadAdvertisement
    callers_send_deadline: bool
    callers_mark_retries: bool
    max_retry_after_ms: float
    """Maximum Retry-After of a rejection; 0 if rejections may carry none."""
    connection_idle_timeout_ms: float
    """Idle time after which callers close a connection."""
    drain_grace_ms: float
    """Time after the shutdown notice in which arriving RPCs are still run."""
    max_runs_per_core: float
    """Maximum number of concurrent runs per core at which a warm server does not fail."""


@dataclass(slots=True, eq=False)
class Rpc:
    """Properties of an RPC that are known when it is read. Programs add their own fields in a subclass."""

    method: Method
    tenant: Tenant | None
    remaining_ms: float | None
    """Time for which the caller will still wait; None if the caller does not send it."""
    waited_ms: float
    """Time from the RPC's arrival at the machine until it was read."""
    memory_kb: float
    """Memory in use while the RPC is queued."""
    caller_id: int
    work_hint_ms: float | None
    """The caller's estimate of the RPC's work; None if the caller sends none."""
    has_cache_key: bool
    """Whether it carries a cache key, so that its result can answer other RPCs with the same key."""
    is_duplicate: bool
    """Whether the deduplication table has an entry of an earlier attempt, or of a read with the same cache
    key."""
    is_retry: bool
    """Whether its caller marked it as a retry or a hedged request."""
    is_write: bool
    """Whether it changes state, so that its result must not answer other RPCs. Only the simulator sets this;
    the server's protocol has no such flag, so it is always False there."""


@dataclass(slots=True)
class Gauges:
    """Measurements of the engine; a field is None if the engine does not report it."""

    core_utilization: float | None
    """Utilization from 0 to 1."""
    on_cores: float | None
    """Number of tasks that need a core now: runs, reads, checks and new connections."""
    open_connections: float | None


class Actions(Protocol):
    """Actions that the controller requests from its host program. They must not call the controller."""

    def start_run(self, rpc: Rpc) -> None:
        """Starts the RPC on the engine."""

    def cancel_run(self, rpc: Rpc) -> None:
        """Asks the engine to cancel a run; requested repeatedly until the run has ended."""

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers that the RPC was rejected and has not run.

        Args:
            rpc: The rejected RPC.
            retry_after_ms: Time for which its caller should send nothing to this server; 0 for no
                Retry-After.
            is_final: Whether its caller should not try another server either.
        """

    def abort(self, rpc: Rpc) -> None:
        """Answers that the RPC failed and may have run."""

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Makes the downstream call that the run waits for."""

    def skip_call(self, rpc: Rpc) -> None:
        """Continues the run without its downstream call."""

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Adds the RPC's deduplication entry, or extends it; the entry expires after `duration_ms`."""

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """Removes the entry of an RPC that never ran, so that a duplicate can run."""

    def await_original(self, rpc: Rpc) -> None:
        """Answers the duplicate with the result of its original attempt once that is available."""

    def release(self, rpc: Rpc) -> None:
        """Reports that the controller has finished with the RPC and requests no more actions for it."""

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the answer to health checks.

        Args:
            is_healthy: Whether balancers should send RPCs to this server.
            is_shallow: Whether a health check is answered from this flag alone, without doing real work.
        """

    def advertise_load(self, amount: float) -> None:
        """Sets the load reported to callers, in the form of `Settings.load_advertisement`."""

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Sets the idle time after which the server closes connections."""

    def schedule_check(self, delay_ms: float) -> None:
        """Requests one call of `on_timer` after the delay, replacing any earlier request."""

    def log(self, text: str) -> None:
        """Logs a change of mode for operators."""
