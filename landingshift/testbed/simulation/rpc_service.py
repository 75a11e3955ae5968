"""RPCs on a simulated server: the admission controller and the actions that it requests."""

from __future__ import annotations

from random import Random

from landingshift.admission.controller import AdmissionController
from landingshift.admission.interface import Gauges, Outcome, Rpc, Tenant
from landingshift.admission.managed_rpc import ManagedRpc
from landingshift.coldstart.downstream_saturation import DownstreamSaturation
from landingshift.policies.participant import ChangeParticipant
from landingshift.testbed.simulation.cluster_context import ClusterContext
from landingshift.testbed.simulation.engine import (
    CallFinished,
    CallNeeded,
    EngineEvent,
    RunFinished,
    SimulatedEngine,
    rpc_number,
)
from landingshift.testbed.simulation.removed_defences import (
    DRAIN_GRACE,
    RPC_DEADLINE,
    may_decide,
    remove_drain_grace,
    remove_rpc_deadline,
)
from landingshift.testbed.simulation.virtual_time import SimulatedHost
from landingshift.testbed.simulation.workload import (
    CALLER_TIMEOUT_MS,
    CORE_COUNT,
    GATEWAY_DELAY_MS,
    SimulatedRpc,
    admission_settings,
)
from landingshift.testbed.verification.history import PolicyUsed, RpcAnswered, RpcRead, RunStarted

LOOP_LAG_MS = 3.0
"""Event loop lag that is reported to admission, the same at each check."""
TENANT_QUOTA = 100_000.0
OK = "ok"
REJECTED = "pushed_back"
ABORTED = "aborted"


class RpcService:
    """Passes RPCs to admission and runs them on the engine; implements `admission.interface.Actions`.

    Attributes:
        tenant: Tenant of all RPCs.
        admission: Decides when to run, reject or abort each RPC.
        engine: Runs RPCs.
        open_rpcs: RPCs that have not been answered, by number.
        saturation: Estimate of the store's saturation from the results of downstream calls.
        may_decide: Whether the server was allowed to decide about RPCs by its policy at the last `settle`.
        applied_version: Policy version that has been applied to admission; -1 for none.
        is_healthy: Whether health checks of this server succeed.
        read_count: Number of RPCs read since the last `take_read_count`.
        ok_count: Number of RPCs answered with a result.
        answered_count: Number of RPCs answered.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterContext,
        host: SimulatedHost,
        participant: ChangeParticipant,
        rng: Random,
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._participant = participant
        self._removed_defence = cluster.config.removed_defence
        self.tenant = Tenant(TENANT_QUOTA)
        self.is_healthy = False
        self.admission = AdmissionController(
            admission_settings(cluster.config.server_count, self.tenant),
            rng.getrandbits(32),
            self,
            host.clock_ms(),
        )
        if self._removed_defence == RPC_DEADLINE:
            remove_rpc_deadline(self.admission)
        self.engine = SimulatedEngine(host, cluster.store)
        self.open_rpcs: dict[int, ManagedRpc] = {}
        self.saturation = DownstreamSaturation()
        self.may_decide = False
        self.applied_version = -1
        self.read_count = 0
        self.ok_count = 0.0
        self.answered_count = 0.0
        self.admission.set_standby(True)

    # Events

    def on_rpc(self, rpc: SimulatedRpc, queued_ms: float, now_ms: float) -> None:
        """Passes an RPC to admission. The RPC has been queued in the socket of the server for `queued_ms`."""
        self.read_count += 1
        rpc.waited_ms = queued_ms + GATEWAY_DELAY_MS
        rpc.remaining_ms = CALLER_TIMEOUT_MS - rpc.waited_ms
        due_ms = self._cluster.network.now_ms + rpc.remaining_ms
        self._cluster.record(RpcRead.KIND, self._name, rpc.number, due_ms)
        self.admission.now_ms = now_ms
        managed = self.admission.on_rpc_read(rpc)
        # The state is None if admission has already answered the RPC within this call.
        if managed.state is not None:
            self.open_rpcs[rpc.number] = managed

    def on_engine_event(self, event: EngineEvent, now_ms: float) -> None:
        """Handles an event that the engine reports."""
        self.admission.now_ms = now_ms
        match event:
            case RunFinished(managed, core_ms):
                self._on_run_finished(managed, core_ms)
            case CallNeeded(managed):
                self.saturation.on_call_wanted(now_ms)
                self.admission.on_call_needed(managed)
                self._end_run_if_answered(managed)
            case CallFinished():
                self._on_call_finished(event, now_ms)

    def _on_run_finished(self, managed: ManagedRpc, core_ms: float) -> None:
        self.admission.on_run_finished(managed, Outcome.OK, core_ms)
        number = rpc_number(managed)
        self.engine.runs.pop(number, None)
        if self.open_rpcs.pop(number, None) is not None:
            self._answer(managed.rpc, OK)

    def _on_call_finished(self, event: CallFinished, now_ms: float) -> None:
        self.saturation.on_call_finished(now_ms, event.succeeded, event.duration_ms)
        self.engine.cache_fill_count += event.succeeded
        outcome = Outcome.OK if event.succeeded else Outcome.NO_RESPONSE
        self.admission.on_call_finished(event.managed, outcome, event.duration_ms)
        if not event.succeeded:
            self._end_run_if_answered(event.managed)

    def _end_run_if_answered(self, managed: ManagedRpc) -> None:
        """Ends the run of an RPC that has already been answered; does nothing if the RPC is still open.

        The run waits for permission to make its downstream call, or this call has just failed.
        """
        if rpc_number(managed) not in self.open_rpcs:
            self.engine.finish_without_call(managed)

    def on_timer(self, now_ms: float) -> None:
        """Runs the periodic check of admission, and passes it the utilization of the cores."""
        self.admission.now_ms = now_ms
        busy_count = len(self.engine.core_free_at_ms)
        self.admission.on_timer(Gauges(min(1.0, busy_count / CORE_COUNT), float(busy_count), LOOP_LAG_MS))

    def settle(self, now_ms: float) -> None:
        """Applies a new policy version, enters or leaves standby, and lets admission decide about its RPCs.

        Call this once after all events of the same time have been passed to admission. Admission then
        rejects, starts and resumes RPCs; on standby it starts no runs. The server enters standby when
        its policy no longer allows decisions about RPCs. It leaves standby when its policy allows them again,
        unless the server is draining.
        """
        is_allowed = may_decide(self._participant, now_ms, self._removed_defence)
        self.admission.now_ms = now_ms
        if self._participant.version > self.applied_version:
            self.applied_version = self._participant.version
            self.admission.on_settings_changed()
        if is_allowed != self.may_decide:
            self.may_decide = is_allowed
            if self.admission.stop_at_ms is None or not is_allowed:
                self.admission.set_standby(not is_allowed)
        self.admission.settle()

    def set_call_rate_quota(self, calls_per_second: float, now_ms: float) -> None:
        """Sets the maximum rate of downstream calls that admission allows."""
        self.admission.now_ms = now_ms
        self.admission.set_call_rate_quota(calls_per_second)

    def start_draining(self, duration_ms: float, now_ms: float) -> None:
        """Lets admission begin to drain. All RPCs must be answered within `duration_ms`."""
        self.admission.now_ms = now_ms
        self.admission.start_draining(duration_ms)
        if self._removed_defence == DRAIN_GRACE:
            remove_drain_grace(self.admission)

    def take_read_count(self) -> int:
        """Returns the number of RPCs read since the last call of this method."""
        count = self.read_count
        self.read_count = 0
        return count

    # Answers

    def _answer(self, rpc: Rpc, answer: str) -> None:
        assert isinstance(rpc, SimulatedRpc)
        self.answered_count += 1.0
        self.ok_count += answer == OK
        self.open_rpcs.pop(rpc.number, None)
        self._cluster.record(RpcAnswered.KIND, self._name, rpc.number, answer)
        if answer == REJECTED and self.may_decide:
            self._record_policy_use()

    def _record_policy_use(self) -> None:
        version = max(0, self._participant.version)
        self._cluster.record(PolicyUsed.KIND, self._name, version, self._participant.policy)

    # Actions

    def start_run(self, rpc: Rpc) -> None:
        """Runs the RPC on the engine."""
        assert isinstance(rpc, SimulatedRpc)
        self._cluster.record(RunStarted.KIND, self._name, rpc.number)
        self._record_policy_use()
        self.engine.start_run(self.open_rpcs[rpc.number])

    def start_call(self, rpc: Rpc, timeout_ms: float) -> None:
        """Makes the downstream call for which the run of the RPC waits."""
        assert isinstance(rpc, SimulatedRpc)
        self.engine.start_call(self.engine.runs[rpc.number], timeout_ms)

    def skip_call(self, rpc: Rpc) -> None:
        """Ends the run of the RPC without the downstream call for which it waits."""
        assert isinstance(rpc, SimulatedRpc)
        self.engine.finish_without_call(self.engine.runs[rpc.number])

    def reject(
        self,
        rpc: Rpc,
        retry_after_ms: float,
        is_final: bool,
    ) -> None:
        """Answers that the RPC was rejected without being run."""
        del retry_after_ms, is_final  # simulated gateways ignore retry advice
        self._answer(rpc, REJECTED)

    def abort(self, rpc: Rpc) -> None:
        """Answers that the RPC failed."""
        self._answer(rpc, ABORTED)

    def set_health(
        self,
        is_healthy: bool,
        is_shallow: bool,
    ) -> None:
        """Sets whether health checks of this server succeed."""
        del is_shallow  # simulated gateways make only one kind of health check
        self.is_healthy = is_healthy

    def cancel_run(self, rpc: Rpc) -> None:
        """Does nothing: the simulated engine doesn't support cancellation."""

    def retain_dedup_entry(self, rpc: Rpc, duration_ms: float) -> None:
        """Does nothing: simulated gateways don't retry RPCs."""

    def drop_dedup_entry(self, rpc: Rpc) -> None:
        """Does nothing: simulated gateways don't retry RPCs."""

    def await_original(self, rpc: Rpc) -> None:
        """Does nothing: simulated gateways don't retry RPCs."""

    def release(self, rpc: Rpc) -> None:
        """Does nothing: RPCs are removed when they are answered."""

    def advertise_load(self, amount: float) -> None:
        """Does nothing: simulated gateways use only the result of health checks."""

    def close_idle_connections(self, idle_timeout_ms: float) -> None:
        """Does nothing: connections are not simulated."""

    def schedule_check(self, delay_ms: float) -> None:
        """Does nothing: the server reads the time of the next check from admission."""

    def log(self, text: str) -> None:
        """Discards a log line of admission."""
