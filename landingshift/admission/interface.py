"""The types through which a program and the admission controller talk: facts in, actions out.

A program makes one `admission.controller.AdmissionController` per instance, hands it `Settings` and an
`Actions`, and calls it for each event. It gets a handle (`ManagedRpc`) for each RPC that it reads and passes
that handle back with later events.

Times are milliseconds of one monotonic clock, sizes are kilobytes. "Value" is what a correct answer in time
is worth to the installation; fractions are of that value.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a second run of an RPC changes anything."""

    IDEMPOTENT = 1
    """It may run any number of times."""
    KEYED = 2
    """It carries an idempotency key: a duplicate is answered from the deduplication table."""
    NON_IDEMPOTENT = 3
    """It may run at most once, and nothing recognises a duplicate."""


class DownstreamKind(Enum):
    """What the calls of a running RPC go to."""

    NONE = 1
    """There is nothing below."""
    SHARED_STORE = 2
    """One store that all servers share, of which each has a quota."""
    TIER = 3
    """Another tier of servers, which shed load themselves."""


class LoadAdvertisement(Enum):
    """The form in which callers hear of this server's load with each answer and health check."""

    NONE = 1
    LEVEL = 2
    """From 0 (idle) to 1 (full)."""
    CREDIT = 3
    """How many RPCs one caller may have in flight here."""
    WEIGHT = 4
    """From 1 (idle) to 0 (full), for weighted balancing."""


class RunCancellation(Enum):
    """What the engine does with a run that is to be cancelled."""

    NONE = 1
    """It cannot be cancelled and occupies a core until it ends."""
    DROP = 2
    """It ends."""
    PAUSE = 3
    """It leaves the cores, and its memory stays taken."""


class Outcome(Enum):
    """How a run or a downstream call ended. The values are stored."""

    OK = 1
    ABORTED = 2
    """It failed."""
    REJECTED = 3
    """It was turned down before it ran."""
    NO_RESPONSE = 4
    """It timed out; it may have run."""
    NO_CONNECTION = 5
    """It was never sent."""
    CONNECTION_LOST = 6
    """It may have run."""
    CANCELLED = 7
    """The engine stopped the run, or ended it at a call since the RPC was answered or its caller had gone."""
    NOT_SENT = 8
    """No run was started: to the engine the RPC is over, or not known."""


@dataclass(slots=True, eq=False)
class Method:
    """What the settings say of one method. A policy may change the figures in place."""

    idempotency: Idempotency
    latency_objective_ms: float
    objective_work_factor: float
    """The latency objective grows by this multiple of an RPC's own work."""
    deadline_ms: float
    """How long a caller waits whose RPC carries no deadline."""
    criticality: float
    """The value of one answer in time."""
    late_value_fraction: float
    """What an answer keeps of its value between latency objective and deadline."""
    dedup_window_ms: float
    """How long a duplicate may come after the first attempt; for KEYED methods."""
    calls_downstream: bool
    degraded_value_fraction: float
    """What an answer keeps of its value without its downstream call; 0: the call cannot be skipped."""


@dataclass(slots=True, eq=False)
class Tenant:
    """One customer. A policy may change its quota in place."""

    quota_per_second: float
    """RPCs over the whole fleet; 0: without a quota."""


@dataclass(slots=True, eq=False)
class Settings:
    """The settings that a server starts with; a policy may change their figures in place."""

    methods: list[Method]
    tenants: list[Tenant]
    over_quota_value_fraction: float
    """Of its value, that an RPC beyond its tenant's quota keeps."""
    criticality_is_per_work: bool
    """Criticality is the value of each unit of work, not of each answer."""
    server_count: int
    caller_count: int
    """Callers at this start; 0 where that is not known."""
    core_count: int
    starts_cold: bool
    cold_speed_fraction: float
    """Speed of a cold server, as a fraction of a warm one's."""
    warm_up_ms: float
    memory_kb: float
    """From which the server dies."""
    running_memory_factor: float
    """A run takes this multiple of what its RPC takes while it is queued."""
    dedup_entry_kb: float
    response_cache_ttl_ms: float
    """How long the result of an idempotent read may answer others with its cache key; 0: not at all."""
    run_cancellation: RunCancellation
    downstream: DownstreamKind
    downstream_concurrency_quota: float
    """This server's part of the calls that the shared store survives in the mean; 0: without a quota."""
    downstream_quota_window_ms: float
    """The time over which the store's mean is taken."""
    lost_call_linger_ms: float
    """How long the store may go on with a call that was given up."""
    load_advertisement: LoadAdvertisement
    callers_send_deadline: bool
    callers_mark_retries: bool
    max_retry_after_ms: float
    """0 where a rejection may carry no Retry-After."""
    connection_idle_timeout_ms: float
    """After which callers close an idle connection."""
    drain_grace_ms: float
    """RPCs that arrive within this time of the notice to leave are still run."""
    max_runs_per_core: float
    """RPCs on the cores for each core that a warm server survives."""


@dataclass(slots=True, eq=False)
class Rpc:
    """What is known of an RPC when it has been read. Programs add their own fields in a subclass."""

    method: Method
    tenant: Tenant | None
    remaining_ms: float | None
    """How long its caller still waits, where callers say so."""
    waited_ms: float
    """Since it reached the machine."""
    memory_kb: float
    """What it takes while it is queued."""
    caller_id: int
    work_hint_ms: float | None
    """Its caller's estimate of the work, where there is one."""
    has_cache_key: bool
    """Its result may answer others with the same key."""
    is_duplicate: bool
    """The deduplication table has an earlier attempt or a like read."""
    is_retry: bool
    """Its caller marked it as a further attempt or a hedged request."""
    is_write: bool
    """It changes state: its result does not answer others. The simulator says so; in the server, whose
    protocol has no such mark, it is always False."""


@dataclass(slots=True)
class Gauges:
    """What the engine measures; None where it does not say."""

    core_utilization: float | None
    """From 0 to 1."""
    on_cores: float | None
    """All that needs a core now: runs, reads, checks, new connections."""
    open_connections: float | None


class Actions(Protocol):
    """What the controller asks of its program. None of these may call back into the controller."""

    def start_run(self, rpc: Rpc) -> None:
        """Starts the RPC on the engine."""

    def cancel_run(self, rpc: Rpc) -> None:
        """Asks the engine to cancel a run; repeated while it has no effect."""

    def reject(self, rpc: Rpc, retry_after_ms: float, is_final: bool) -> None:
        """Answers that the RPC was not run.

        Args:
            rpc: The rejected RPC.
            retry_after_ms: For how long its caller should stay away from this server; 0 for no advice.
            is_final: Whether its caller should not try another server either.
        """

    def abort(self, rpc: Rpc) -> None:
        """Answers that the RPC failed; it may have run."""

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Makes the downstream call that the run waits for."""

    def skip_call(self, rpc: Rpc) -> None:
        """Lets the run go on without its downstream call."""

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Enters the RPC in the deduplication table, or prolongs its entry."""

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """Removes the RPC's entry: it never ran, and a duplicate may."""

    def await_original(self, rpc: Rpc) -> None:
        """Answers the duplicate with the result of the attempt that it repeats, once there is one."""

    def release(self, rpc: Rpc) -> None:
        """Lets go of the RPC: the controller will not name it again."""

    def set_health(self, is_healthy: bool, is_shallow: bool) -> None:
        """Sets the answer to health checks.

        Args:
            is_healthy: Whether balancers should send RPCs here.
            is_shallow: Whether a check is answered from this alone, without doing real work.
        """

    def advertise_load(self, amount: float) -> None:
        """Sets what callers hear of this server's load, in the form of `Settings.load_advertisement`."""

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Closes connections that have been idle for so long, from now on."""

    def schedule_check(self, delay_ms: float) -> None:
        """Asks for one call of `on_timer` after the delay, in place of any asked for before."""

    def log(self, text: str) -> None:
        """Logs a change of mode for operators."""
