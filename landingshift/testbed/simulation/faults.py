"""Injects the faults of a scenario into a simulated cluster. Faults can overlap."""

from __future__ import annotations

from functools import partial

from landingshift.testbed.experiments.scenarios import Coverage, Fault, blocks_link
from landingshift.testbed.simulation.cluster_context import server_address, server_name
from landingshift.testbed.simulation.cluster_state import ClusterState
from landingshift.testbed.simulation.gateways import SimulatedGateways
from landingshift.testbed.simulation.operators import SimulatedOperators
from landingshift.testbed.simulation.server import DrainNotice
from landingshift.testbed.simulation.virtual_time import Address
from landingshift.testbed.verification.history import FaultBegan, FaultEnded, ServerPaused

NOBODY_LEADS = "nobody leads"
WARM_STAGE = "warm"


class FaultInjector:
    """Begins and ends the faults of a scenario.

    A fault is identified by its index in the scenario. Some kinds of `Fault` are operators' commands; the
    injector passes these commands to `SimulatedOperators`.

    Attributes:
        active: Faults that have begun and not ended, keyed by their index in the scenario.
    """

    def __init__(
        self,
        state: ClusterState,
        operators: SimulatedOperators,
        gateways: SimulatedGateways,
        faults: tuple[Fault, ...],
        coverage: Coverage,
    ) -> None:
        self._state = state
        self._network = state.network
        self._operators = operators
        self._gateways = gateways
        self._coverage = coverage
        self.active: dict[int, Fault] = {}
        self._affected_addresses = [{server_address(index) for index in fault.servers} for fault in faults]
        self._network.is_cut = self._is_cut

    def begin(self, fault_index: int, fault: Fault) -> None:
        """Begins a fault and schedules its end. If the fault is an operator's command, gives the command."""
        active_kinds = sorted({active.kind for active in self.active.values()})
        self._coverage.record(fault.kind, active_kinds, stages_under_way(self._state))
        self._state.record(
            FaultBegan.KIND, fault.kind, fault_index, fault.servers, fault.duration_ms, fault.amount
        )
        if fault.duration_ms:
            self.active[fault_index] = fault
            self._network.schedule_after(fault.duration_ms, partial(self._end, fault_index))
        self._apply_shared_faults()
        for index in fault.servers:
            if fault.kind == "crash_loop":
                self._crash_again(fault_index, index, fault)
            elif not self._begin_on_machine(index, fault):
                self._begin_on_process(index, fault)
        self._begin_on_cluster(fault)

    def _begin_on_machine(self, index: int, fault: Fault) -> bool:
        """Begins a fault that can begin while the server is down; returns False for faults of other kinds."""
        disk = self._state.disks[index]
        match fault.kind:
            case "kill" | "zone":
                self._state.kill(index, fault.duration_ms)
            case "full":
                disk.is_full = True
            case "clock":
                self._state.wall_clock_offsets_ms[index] += fault.amount
            case "hang" if index in self._state.servers:
                engine = self._state.servers[index].rpcs.engine
                engine.hung_until_ms = max(engine.hung_until_ms, self._network.now_ms + fault.duration_ms)
            case "starved" if index in self._state.servers:
                self._state.servers[index].host.mean_delay_ms = fault.amount
            case _:
                return False
        return True

    def _begin_on_process(self, index: int, fault: Fault) -> None:
        """Begins a fault or gives a command that needs a running server, unless the server is down."""
        server = self._state.running_server(index)
        if server is None:
            return
        match fault.kind:
            case "notice":
                server.host.receive(DrainNotice(fault.duration_ms))
            case "stop" | "pause":
                until_ms = self._network.now_ms + fault.duration_ms
                self._state.record(ServerPaused.KIND, server.name, until_ms)
                server.host.pause(fault.duration_ms)
            case "torn":
                self._state.disks[index].torn_write_down_ms = fault.duration_ms
            case "change":
                self._operators.propose_change(server)
            case "voters":
                self._operators.change_voter(server, fault.servers[0])

    def _begin_on_cluster(self, fault: Fault) -> None:
        if fault.kind == "store_falls":
            store = self._state.store
            store.queued_calls += fault.amount * store.calls_per_second
        if fault.kind == "wish":
            names = [server_name(index) for index in fault.servers]
            self._operators.request_maintenance(names, fault.amount)

    def _end(self, fault_index: int) -> None:
        fault = self.active.pop(fault_index)
        self._state.record(FaultEnded.KIND, fault.kind, fault_index)
        self._apply_shared_faults()
        for index in fault.servers:
            server = self._state.servers.get(index)
            if fault.kind == "starved" and server is not None:
                server.host.mean_delay_ms = 0.0
                server.host.resume()
            if fault.kind == "full":
                self._state.disks[index].is_full = any(
                    active.kind == "full" and index in active.servers for active in self.active.values()
                )
            if fault.kind == "torn":
                self._state.disks[index].torn_write_down_ms = 0.0

    def _crash_again(self, fault_index: int, index: int, fault: Fault) -> None:
        """Kills a server every `fault.amount` ms during the fault. The server is down half of the time."""
        if fault_index in self.active:
            self._state.kill(index, fault.amount / 2.0)
            self._network.schedule_after(fault.amount, partial(self._crash_again, fault_index, index, fault))

    # Faults of the network and of other shared resources

    def _is_cut(self, sender: Address, receiver: Address) -> bool:
        now_ms = self._network.now_ms
        return any(
            blocks_link(
                fault, self._affected_addresses[fault_index], sender, receiver, now_ms - fault.start_ms
            )
            for fault_index, fault in self.active.items()
        )

    def _apply_shared_faults(self) -> None:
        """Applies active network, load and endpoint list faults.

        Of several faults of one network kind, the largest amount applies. Load factors are multiplied.
        """
        self._network.loss_probability = self._max_amount("loss")
        self._network.duplicate_probability = self._max_amount("twice")
        self._network.extra_delay_ms = self._max_amount("delay")
        load_factor = 1.0
        for fault in self.active.values():
            if fault.kind == "load":
                load_factor *= fault.amount
        self._gateways.load_factor = load_factor
        kinds = {fault.kind for fault in self.active.values()}
        self._state.is_endpoint_list_up = "list_down" not in kinds

    def _max_amount(self, kind: str) -> float:
        return max((fault.amount for fault in self.active.values() if fault.kind == kind), default=0.0)


def stages_under_way(state: ClusterState) -> list[str]:
    """Returns the stages of all operations in progress, by the names that `Coverage` counts.

    Operations are policy changes, maintenance requests and cold starts of servers. While there is no leader,
    NOBODY_LEADS replaces the stages of policy changes and maintenance requests.
    """
    stages = set()
    leader = state.leader()
    if leader is None:
        stages.add(NOBODY_LEADS)
    elif leader.policy_node.coordinator is not None:
        coordinator = leader.policy_node.coordinator
        if leader.policy_node.state_machine.pending_change_id:
            phase = "switching" if coordinator.committing_change_id else coordinator.phase.value
            stages.add(f"change {phase}")
        for request in leader.maintenance.state.requests.values():
            stages.add(f"work {request.state.value}")
    for server in state.running_servers():
        start_stage = server.cold_start.participant.start_sequence.stage.value
        if start_stage != WARM_STAGE:
            stages.add(f"start {start_stage}")
    return sorted(stages)
