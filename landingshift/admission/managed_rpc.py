"""Admission state of one RPC: its lifecycle state, deadlines and downstream calls."""

from __future__ import annotations

from collections.abc import Generator
from enum import Enum, IntEnum

from landingshift.admission.interface import Outcome, Rpc
from landingshift.admission.service_times import ServiceTimes

MIN_LATE_VALUE_FRACTION = 0.5
"""Threshold for `Method.late_value_fraction`.

An RPC is run past its latency objective only if the fraction is above this threshold. Otherwise, the deadline
check rejects the RPC earlier, so that another server can still answer within the objective.
"""
MIN_TIME_BUDGET_MS = 1.0
MIN_OWN_RUN_MS = 1.0


class RpcState(IntEnum):
    """State of an RPC. The numeric values are part of the state that is exported for a hot restart."""

    QUEUED = 1
    """Read but not started."""
    AWAITING_ORIGINAL = 2
    """A duplicate that waits for the result of its original attempt."""
    RUNNING = 3
    """Running on a core."""
    AWAITING_CALL_SLOT = 4
    """The run waits for a call slot, which is the permission to make a downstream call."""
    CALLING = 5
    """The run waits for the result of a downstream call."""
    CALL_SKIPPED = 6
    """The run is about to continue without the downstream call. This state is transient: the RPC becomes
    `RUNNING` immediately, and `ManagedRpc.state` never has this value."""
    REJECTED = 7
    """Answered as rejected and released; never ran."""
    ABORTED = 8
    """Answered as failed. The run may still occupy a core."""
    ABANDONED = 9
    """The caller has disconnected. The run may still occupy a core."""


class RpcEvent(Enum):
    """Event that resumes an RPC's lifecycle.

    The end of a downstream call resumes the lifecycle with an `Outcome` instead.
    """

    START = 1
    SHED = 2
    """The queued RPC is rejected.

    There are three possible reasons. The RPC fails the deadline check; this includes every RPC while the
    server is on standby, and every RPC that arrives after the grace period of a draining server. The RPC was
    queued too long with a priority below the floor that `start_order` sets under overload. Or there is not
    enough memory for the RPC or its deduplication entry.
    """
    DEADLINE_REACHED = 3
    CALLER_GONE = 4
    CALL_NEEDED = 5
    CALL_PERMITTED = 6
    CALL_DENIED = 7
    """The RPC gets no call slot, because it cannot wait for one any longer."""
    RUN_FINISHED = 8


Lifecycle = Generator[RpcState, RpcEvent | Outcome, None]
"""Generator that yields the first state of an RPC and then, for each event sent to it, the next state. The
RPC is released when the generator ends."""


class ManagedRpc:
    """State of one RPC, from the time it is read to its release.

    The host program uses this object as its handle for the RPC.

    Attributes:
        rpc: Properties of the RPC that were known when it was read.
        service_times: Service times of its method.
        state: Current state; None before the first state and after release.
        lifecycle: Generator of its states.
        arrived_at_ms: Time at which it reached the machine.
        deadline_at_ms: Time at which its caller stops waiting. While the server drains, at most a time
            shortly before the process stops.
        objective_at_ms: Time after which its answer is late; at most the deadline.
        time_budget_ms: Time from arrival to `check_deadline_ms`.
        priority: Result of `StartOrder.priority`; RPCs of higher priority start first.
        has_started: Whether a run was ever started.
        call_gain: Value that is lost if its downstream call is skipped.
        call_attempts: Number of its downstream calls that failed.
        total_call_ms: Total duration of its downstream calls.
        call_started_at_ms: Start time of its latest downstream call. While the first attempt of a call waits
            for a call slot, the time at which the run requested the call.
        call_expires_at_ms: Time after which the current call no longer occupies the downstream service, even
            if the call was given up.
    """

    __slots__ = (
        "arrived_at_ms",
        "call_attempts",
        "call_expires_at_ms",
        "call_gain",
        "call_started_at_ms",
        "deadline_at_ms",
        "has_started",
        "lifecycle",
        "objective_at_ms",
        "priority",
        "rpc",
        "service_times",
        "state",
        "time_budget_ms",
        "total_call_ms",
    )

    lifecycle: Lifecycle

    def __init__(self, rpc: Rpc, service_times: ServiceTimes, now_ms: float) -> None:
        method = rpc.method
        self.rpc = rpc
        self.service_times = service_times
        self.state: RpcState | None = None
        self.arrived_at_ms = now_ms - rpc.waited_ms
        if rpc.remaining_ms is not None:
            deadline_at_ms = now_ms + rpc.remaining_ms
        else:
            deadline_at_ms = self.arrived_at_ms + method.deadline_ms
        self.deadline_at_ms = max(now_ms, deadline_at_ms)
        self.objective_at_ms = 0.0
        self.time_budget_ms = 0.0
        self.refresh_objective()
        self.priority = 0.0
        self.has_started = False
        self.call_gain = (1.0 - method.degraded_value_fraction) * method.criticality
        self.call_attempts = 0
        self.total_call_ms = 0.0
        self.call_started_at_ms = 0.0
        self.call_expires_at_ms = 0.0

    def refresh_objective(self) -> None:
        """Computes `objective_at_ms` and `time_budget_ms` from the current settings of the method."""
        method = self.rpc.method
        work_ms = self.rpc.work_hint_ms or 0.0
        objective_at_ms = (
            self.arrived_at_ms + method.latency_objective_ms + method.objective_work_factor * work_ms
        )
        self.objective_at_ms = min(objective_at_ms, self.deadline_at_ms)
        self.time_budget_ms = max(MIN_TIME_BUDGET_MS, self.check_deadline_ms - self.arrived_at_ms)

    def own_run_ms(self, run_ms: float) -> float:
        """Returns the part of a run that was not spent in downstream calls.

        Args:
            run_ms: Duration of the run, including downstream calls.
        """
        return max(MIN_OWN_RUN_MS, run_ms - self.total_call_ms)

    @property
    def check_deadline_ms(self) -> float:
        """Deadline used by the deadline check. The RPC is not started if its answer is expected later."""
        return self._latest_answer_ms(MIN_LATE_VALUE_FRACTION)

    @property
    def worthless_at_ms(self) -> float:
        """Time after which an answer to this RPC has no value."""
        return self._latest_answer_ms(0.0)

    def _latest_answer_ms(self, min_value_fraction: float) -> float:
        """Returns the latest time at which an answer is worth more than a fraction of the RPC's value.

        Args:
            min_value_fraction: The fraction, from 0 to 1.

        Returns:
            The deadline if `Method.late_value_fraction` is above `min_value_fraction`; else the earlier of
            the deadline and `objective_at_ms`.
        """
        if self.rpc.method.late_value_fraction > min_value_fraction:
            return self.deadline_at_ms
        return min(self.deadline_at_ms, self.objective_at_ms)
