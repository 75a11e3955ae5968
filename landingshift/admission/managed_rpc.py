"""One RPC in this server's hands: its state, its deadlines, its downstream calls."""

from __future__ import annotations

from collections.abc import Generator
from enum import Enum, IntEnum

from landingshift.admission.interface import Outcome, Rpc
from landingshift.admission.service_times import ServiceTimes

MIN_LATE_VALUE_FRACTION = 0.5
"""Of its value that a late answer must keep, and more, to be worth running late.

One that keeps no more is better rejected, so that another server can still answer in time.
"""
MIN_TIME_BUDGET_MS = 1.0
MIN_OWN_RUN_MS = 1.0


class RpcState(IntEnum):
    """Where an RPC is. The values are stored in a hot restart's state."""

    QUEUED = 1
    """Read, not started."""
    AWAITING_ORIGINAL = 2
    """A duplicate, answered with the result of the attempt that it repeats."""
    RUNNING = 3
    """On the cores."""
    AWAITING_CALL_SLOT = 4
    """Its run waits for permission to make a downstream call."""
    CALLING = 5
    """Its run waits for a downstream call."""
    CALL_SKIPPED = 6
    """Runs on without the call; from then on RUNNING."""
    REJECTED = 7
    """Answered as never run; leaves the server."""
    ABORTED = 8
    """Answered as failed; its run may still be on the cores."""
    ABANDONED = 9
    """Nobody waits any more; its run may still be on the cores."""


class RpcEvent(Enum):
    """What an RPC's lifecycle is resumed with; the end of a downstream call is told by its `Outcome`."""

    START = 1
    SHED = 2
    """It is rejected from the queue.

    It fails the deadline check (a draining server's grace and standby are part of that), it has been queued
    too long below the priority floor, or there is no memory for it or for its deduplication entry.
    """
    DEADLINE_REACHED = 3
    CALLER_GONE = 4
    CALL_NEEDED = 5
    CALL_PERMITTED = 6
    CALL_DENIED = 7
    """The call would come too late."""
    RUN_FINISHED = 8


Lifecycle = Generator[RpcState, RpcEvent | Outcome, None]
"""Yields the state that the RPC goes to; ends once its run is over or it has been answered without one."""


class ManagedRpc:
    """An RPC from read to its end; the program's handle for it.

    Attributes:
        rpc: What was known when it was read.
        service_times: Of its method.
        state: None before the first state and once the RPC has left.
        lifecycle: Generator of its states.
        arrived_at_ms: When it reached the machine.
        deadline_at_ms: When its caller stops waiting, or the process stops.
        objective_at_ms: When its answer is late; at the deadline at the latest.
        time_budget_ms: From arrival to the deadline of the check.
        priority: What the start order goes by: value over expected work.
        has_started: Whether a run was started; stays true.
        call_gain: What its value gains by a downstream call over skipping it.
        call_attempts: Downstream calls of it that failed.
        total_call_ms: Time that its downstream calls took.
        call_started_at_ms: While `AWAITING_CALL_SLOT`, when the run needed the call or, for one that is made
            again, when the failed attempt started. From `CALLING` on, when the call started.
        call_expires_at_ms: When the call in hand can no longer occupy the layer below.
    """

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
        """Sets the latency objective by the method's present figures."""
        method = self.rpc.method
        work_ms = self.rpc.work_hint_ms or 0.0
        objective_at_ms = (
            self.arrived_at_ms + method.latency_objective_ms + method.objective_work_factor * work_ms
        )
        self.objective_at_ms = min(objective_at_ms, self.deadline_at_ms)
        self.time_budget_ms = max(MIN_TIME_BUDGET_MS, self.check_deadline_ms - self.arrived_at_ms)

    def own_run_ms(self, run_ms: float) -> float:
        """The part of a run that was not spent in downstream calls.

        Args:
            run_ms: What the run took in all.
        """
        return max(MIN_OWN_RUN_MS, run_ms - self.total_call_ms)

    @property
    def check_deadline_ms(self) -> float:
        """The deadline that the check goes by: later answers are not worth starting a run for."""
        return self._latest_answer_ms(MIN_LATE_VALUE_FRACTION)

    @property
    def worthless_at_ms(self) -> float:
        """When its answer has lost all its value."""
        return self._latest_answer_ms(0.0)

    def _latest_answer_ms(self, min_value_fraction: float) -> float:
        """Until when an answer keeps enough of its value.

        Args:
            min_value_fraction: Of its value, that a late answer must keep more than.

        Returns:
            The deadline, or the latency objective where a late answer keeps no more than that.
        """
        if self.rpc.method.late_value_fraction > min_value_fraction:
            return self.deadline_at_ms
        return min(self.deadline_at_ms, self.objective_at_ms)
