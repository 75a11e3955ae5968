"""Planned maintenance on a simulated server: its agent and, on a voter, the coordinator."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from landingshift.maintenance.commands import Command
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.storage import STATE_MACHINE_NAME, encode_command
from landingshift.maintenance.wire import PACKAGE, decode_message, encode_answer, encode_report
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord
from landingshift.membership.node import SwimNode
from landingshift.policies.node import PolicyNode
from landingshift.testbed.simulation.cluster_context import ClusterContext
from landingshift.testbed.simulation.disk import SimulatedDisk
from landingshift.testbed.simulation.removed_defences import maintenance_agent
from landingshift.testbed.simulation.virtual_time import SimulatedHost
from landingshift.testbed.verification.history import PermitUsed


@dataclass(frozen=True, slots=True)
class SimulatedEnvironment:
    """The environment of the maintenance coordinator on a simulated server.

    Attributes:
        host: Host of the server.
        node: Membership node.
        policy_node: Runs policy changes. If the server can be a voter, `policy_node` contains the Raft node,
            which also replicates maintenance commands.
        read_wall_clock_ms: Returns the time on the server's wall clock, in Unix ms.
    """

    host: SimulatedHost
    node: SwimNode
    policy_node: PolicyNode
    read_wall_clock_ms: Callable[[], float]

    def propose(self, command: Command) -> bool:
        """Proposes a command to the Raft group; returns False if this server does not lead the group."""
        raft = self.policy_node.raft
        return raft is not None and raft.propose(encode_command(command)) is not None

    def is_leader(self, _now_ms: float = 0.0) -> bool:
        """Returns whether this server holds the leader lease at the present time of its clock."""
        raft = self.policy_node.raft
        return raft is not None and raft.has_leader_lease(self.host.clock_ms())

    def has_left(self, name: str) -> bool:
        """Returns whether a machine has departed or is unknown, according to membership."""
        record = self.node.member_table.record(name)
        return record is None or record.state in DEPARTED_STATES

    def known_machines(self) -> set[str]:
        """Returns the names of all machines known to membership."""
        return self.node.member_table.known_names()

    def wall_clock_ms(self) -> float:
        """Returns the time on the server's wall clock, in Unix ms."""
        return self.read_wall_clock_ms()


class ServerMaintenance:
    """The maintenance agent of a simulated server and, if the server can be a voter, its coordinator.

    Attributes:
        agent: Reports this server's load to the leader, and stores the maintenance permit from the answers.
        state: Replicated state of maintenance, as far as this server has applied the Raft log.
        environment: Interface through which the coordinator uses this server.
        coordinator: Grants maintenance permits while this server leads the voters; None on a server that
            can't be a voter.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterContext,
        disk: SimulatedDisk,
        environment: SimulatedEnvironment,
        start_draining: Callable[[float], None],
        read_status: Callable[[], ServerStatus],
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._disk = disk
        self._start_draining = start_draining
        self._read_status = read_status
        self.agent = maintenance_agent(disk.used_permit, cluster.config.removed_defence)
        self.state = MaintenanceState()
        self.environment = environment
        self.coordinator: MaintenanceCoordinator | None = None
        self._node = environment.node
        self._policy_node = environment.policy_node
        if self._policy_node.raft is not None:
            self._policy_node.state_machines.register(STATE_MACHINE_NAME, self.state)
            self._policy_node.commit_listeners.append(self._on_commit)
            self.coordinator = MaintenanceCoordinator(self.state, cluster.config.maintenance, environment)

    @property
    def is_active(self) -> bool:
        """Whether this server has a maintenance request, or its replicated state contains any request."""
        if self.agent.request_state:
            return True
        return self.coordinator is not None and bool(self.state.requests)

    def step(self, now_ms: float) -> None:
        """Reports this server's load to the leader and, if this server leads, grants maintenance permits."""
        self._node.now_ms = now_ms
        self._report(now_ms)
        if self.coordinator is not None:
            self.coordinator.step(now_ms)

    def _report(self, now_ms: float) -> None:
        report = self.agent.next_report(now_ms, self._read_status())
        leader = self._policy_node.participant.discovery.leader
        if leader == self._name:
            self._on_report(self._node.local_record, report)
        elif leader:
            self._node.send_to_member(leader, PACKAGE, encode_report(report))

    def on_message(self, sender: MemberRecord, body: list[Any]) -> None:
        """Handles a maintenance message from another server."""
        match decode_message(body):
            case LoadReport() as report:
                self._on_report(sender, report)
            case ReportAnswer() as answer:
                self._on_answer(answer)

    def _on_report(self, sender: MemberRecord, report: LoadReport) -> None:
        if self.coordinator is None:
            return
        voters = self._policy_node.participant.discovery.voters
        now_ms = self.environment.host.clock_ms()
        answer = self.coordinator.on_server_report(sender, voters, report, now_ms)
        if answer is None:
            return
        if sender.name == self._name:
            self._on_answer(answer)
        else:
            self._node.send_to_member(sender.name, PACKAGE, encode_answer(answer))

    def _on_answer(self, answer: ReportAnswer) -> None:
        host = self.environment.host
        if not self.agent.on_answer(answer) or not self.agent.begin_draining(host.clock_ms()):
            return
        permit = self.agent.draining_permit
        self._disk.used_permit = permit
        self._cluster.record(PermitUsed.KIND, self._name, permit, self._cluster.permit_in_force(self._name))
        self._report(host.clock_ms())
        self._start_draining(self._cluster.maintenance_duration_ms(self._name))

    def _on_commit(self, now_ms: float) -> None:
        if self.coordinator is not None:
            self.coordinator.evaluate_soon(now_ms)
