"""A server in virtual time, with all that decides in it.

It decides nothing of its own: it wires the packages' objects as the services wire them on a real event loop,
over a simulated engine, disk and network.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from landingshift.admission.interface import Tenant
from landingshift.maintenance.messages import ServerStatus
from landingshift.maintenance.wire import PACKAGE as MAINTENANCE_PACKAGE
from landingshift.membership.member_table import Member
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord, MemberState, Message
from landingshift.membership.node import SwimNode
from landingshift.policies.node import PolicyNode
from landingshift.testbed.simulation.cluster_context import ClusterContext, server_address, server_name
from landingshift.testbed.simulation.disk import copy_raft_state
from landingshift.testbed.simulation.engine import CallFinished, CallNeeded, RunFinished
from landingshift.testbed.simulation.maintenance import ServerMaintenance, SimulatedEnvironment
from landingshift.testbed.simulation.removed_defences import remove_from_policies, swim_timings
from landingshift.testbed.simulation.rpc_service import RpcService
from landingshift.testbed.simulation.server_cold_start import ServerColdStart
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost
from landingshift.testbed.simulation.workload import SERVER_CAPACITY_RPCS_PER_SECOND, SimulatedRpc
from landingshift.testbed.verification.history import DeclaredDead, DrainStarted, MemberSeen, ServerEnded

POLICIES_PACKAGE = "policies"
DECLARED_DEAD_LOG_EVENT = "fleet_dead"
COLD_START_STEP_MS = 200.0
ACTIVE_REPORT_INTERVAL_MS = 500.0
"""Between two reports to the leader of maintenance while there is maintenance."""
IDLE_REPORT_INTERVAL_MS = 2000.0
LOAD_WINDOW_MS = 1000.0
"""RPCs a second are measured over at least so long."""
DRAIN_MS = 3000.0
"""From the beginning of a drain to the end of the process, at the most."""
MAX_DELIVERY_COUNT = 8
"""Times in a row that messages of the policies to itself may bring about others."""
MAX_MEMBER_COUNT = 1000
ZONE_COUNT = 2
MODEL_COUNT = 2


@dataclass(frozen=True, slots=True)
class RpcArrival:
    """A gateway's RPC, which waited in the socket of a paused server for `queued_ms`."""

    rpc: SimulatedRpc
    queued_ms: float


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An outside notice to drain; the server starts again `down_ms` after its end."""

    down_ms: float


class SimulatedServer:
    """One process of a server; implements `SimulatedProcess`.

    Attributes:
        cluster: What is around it.
        index: Number of the server.
        name: Its name.
        host: The machine that it runs on.
        disk: What lasts when it does not.
        node: Membership.
        policy_node: Policies, and on a voter consensus.
        cold_start: The cold start.
        rpcs: RPCs, admission and the engine.
        maintenance: Maintenance.
        ends_at_ms: When it ends by a drain, by its clock; infinite while it does not drain.
        down_ms: After a drain, until the next process starts.
    """

    def __init__(self, cluster: ClusterContext, index: int, run_number: int, host: SimulatedHost) -> None:
        self.cluster = cluster
        self.index = index
        self.name = server_name(index)
        self.host = host
        self.disk = cluster.disk(index)
        self.ends_at_ms = inf
        self.down_ms = 0.0
        # All parts draw from one generator: the order of their making belongs to the history.
        rng = cluster.server_rng(index, run_number)
        now_ms = host.clock_ms()
        self._rng = rng
        self.node = self._create_member_node()
        self.cold_start = ServerColdStart(self.name, index, cluster, host, self.node, rng)
        self.policy_node = self._create_policy_node()
        environment = SimulatedEnvironment(host, self.node, self.policy_node, self.wall_clock_ms)
        self.maintenance = ServerMaintenance(
            self.name, cluster, self.disk, environment, self.start_draining, self._status
        )
        self.node.message_handlers[POLICIES_PACKAGE] = self._on_policy_message
        self.node.message_handlers[MAINTENANCE_PACKAGE] = self.maintenance.on_message
        self.rpcs = RpcService(self.name, cluster, host, self.policy_node.participant, rng)
        self._load_measured_at_ms = now_ms
        self._rpcs_per_second = 0.0
        self._next_cold_start_step_ms = now_ms + COLD_START_STEP_MS * rng.random()
        self._next_report_ms = now_ms + IDLE_REPORT_INTERVAL_MS * rng.random()

    def _create_member_node(self) -> SwimNode:
        host, port = server_address(self.index)
        record = MemberRecord(
            name=self.name,
            host=host,
            port=port,
            zone=f"z{self.index % ZONE_COUNT}",
            run_id=self._rng.getrandbits(40),
            incarnation=0,
            metadata_version=0,
            state=MemberState.ALIVE,
            reported_by="",
            metadata={},
        )
        node = SwimNode(
            record,
            self.cluster.contact_addresses(self.index),
            swim_timings(self.cluster.config.removed_defence),
            MAX_MEMBER_COUNT,
            self._rng,
            self.host.clock_ms(),
            self._on_member_log,
        )
        node.state_observers.append(self._on_member_state)
        return node

    def _create_policy_node(self) -> PolicyNode:
        config = self.cluster.config
        node = PolicyNode(
            self.name,
            self.node.local_record.run_id,
            config.policies,
            lambda _policy: "",
            self.disk.load(),
            self._rng,
            self.host.clock_ms(),
            self.wall_clock_ms,
            config.raft_timeouts,
        )
        node.participant.discovery.list_alive_peers = lambda: self.node.member_table.present_names
        remove_from_policies(node, config.removed_defence)
        return node

    # What it reads and tells

    @property
    def tenant(self) -> Tenant:
        """The tenant of its RPCs."""
        return self.rpcs.tenant

    @property
    def is_draining(self) -> bool:
        """Whether it is about to end."""
        return self.ends_at_ms < inf

    @property
    def is_listed(self) -> bool:
        """Whether gateways may hear of it: as services hold its health back on a real server."""
        is_open = self.cold_start.participant.start_sequence.is_open
        return self.rpcs.is_healthy and is_open and self.rpcs.may_decide and not self.is_draining

    def wall_clock_ms(self) -> float:
        """Returns Unix ms of its wall clock."""
        return self.cluster.wall_clock_ms(self.index)

    def warm_fraction(self) -> float:
        """Returns the share of its capacity that it has reached."""
        return self.cold_start.warm_fraction(self.rpcs)

    def table_sizes(self) -> dict[str, int]:
        """Returns the sizes of all that could grow, by the names that the invariant's bounds have."""
        operator_commands = self.policy_node.operator_commands
        sizes = {
            "out": len(self.node.outbox.pending),
            "errands": len(self.node.failure_detector.indirect_probes),
            "book": len(self.node.contacts),
            "table": len(self.node.member_table.members),
            "words": len(operator_commands.pending),
            "answers": len(operator_commands.statuses),
            "sent": len(self.policy_node.participant.request_sent_at_ms),
            "reports": self.maintenance.agent.unanswered_count,
            "jobs": len(self.rpcs.open_rpcs),
        }
        raft = self.policy_node.raft
        if raft is not None:
            sizes["log"] = len(raft.persistent_state.entries)
            sizes["votes"] = raft.outgoing_count
        return sizes

    def _on_member_log(self, event: str, **fields: Any) -> None:
        if event == DECLARED_DEAD_LOG_EVENT:
            self.cluster.record(DeclaredDead.KIND, self.name, fields["name"])

    def _on_member_state(self, member: Member, previous_state: MemberState | None) -> None:
        has_departed = member.record.state in DEPARTED_STATES
        had_departed = previous_state is None or previous_state in DEPARTED_STATES
        if has_departed != had_departed:
            self.cluster.record(MemberSeen.KIND, self.name, member.record.name, not has_departed)

    # For its host

    def next_deadline_ms(self) -> float:
        """Returns when `on_timer` is to be called next."""
        return min(
            self.node.next_deadline_ms(),
            self.policy_node.next_deadline_ms(),
            self.rpcs.admission.next_check_ms,
            self._next_cold_start_step_ms,
            self._next_report_ms,
            self.ends_at_ms,
        )

    def on_message(self, message: Any, now_ms: float) -> None:
        """Handles a datagram, an RPC, a notice or an event of the engine."""
        match message:
            case Message():
                self.node.on_message(message, now_ms)
            case RpcArrival(rpc, queued_ms):
                self.rpcs.on_rpc(rpc, queued_ms, now_ms)
            case DrainNotice(float(down_ms)):
                # Drawn scenarios have whole numbers here, and their notices do nothing; those of files do.
                self.start_draining(down_ms)
            case RunFinished() | CallNeeded() | CallFinished():
                self.rpcs.on_engine_event(message, now_ms)

    def on_timer(self, now_ms: float) -> None:
        """Does what is due in all parts."""
        if self.node.next_deadline_ms() <= now_ms:
            self.node.on_timer(now_ms)
        if self.policy_node.next_deadline_ms() <= now_ms:
            self.policy_node.tick(now_ms)
        if now_ms >= self._next_cold_start_step_ms:
            self._next_cold_start_step_ms = now_ms + COLD_START_STEP_MS
            self.cold_start.step(self.rpcs, now_ms)
        if now_ms >= self._next_report_ms:
            self._report(now_ms)
        if now_ms >= self.rpcs.admission.next_check_ms:
            self.rpcs.on_timer(now_ms)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """Ends a pass: admission decides, what must be on disk is written, then messages go."""
        now_ms = self.host.clock_ms()
        self.rpcs.settle(now_ms)
        is_drained = self.is_draining and not self.rpcs.open_rpcs
        if now_ms >= self.ends_at_ms or is_drained:
            self._end()
            return []
        for _ in range(MAX_DELIVERY_COUNT):
            if not self._save() or not self._send_policy_messages():
                break
        return self.node.take_outgoing() if self.host.is_up else []

    # Policies and the disk

    def _on_policy_message(self, sender: MemberRecord, body: list[Any]) -> None:
        self.policy_node.on_message(sender.name, body, self.host.clock_ms())

    def _send_policy_messages(self) -> bool:
        """Sends what the policies have to say; returns whether that was anything."""
        messages = self.policy_node.take_outgoing()
        for receiver, body in messages:
            self.node.send_to_member(receiver, POLICIES_PACKAGE, body)
        return bool(messages)

    def _save(self) -> bool:
        """Writes the Raft state where it has changed; returns whether messages that rest on it may go."""
        unsaved = self.policy_node.unsaved_state()
        if unsaved is None:
            return True
        if self.disk.is_full:
            return False
        if self.disk.torn_write_down_ms:
            down_ms = self.disk.torn_write_down_ms
            self.disk.torn_write_down_ms = 0.0
            self.cluster.kill(self.index, down_ms)
            return False
        self.disk.raft_state = copy_raft_state(unsaved)
        self.policy_node.on_state_saved(self.host.clock_ms())
        self.policy_node.deliver_messages(self.host.clock_ms())
        return True

    # Maintenance and the end

    def _report(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._load_measured_at_ms
        if elapsed_ms >= LOAD_WINDOW_MS:
            self._rpcs_per_second = self.rpcs.take_read_count() * 1000.0 / elapsed_ms
            self._load_measured_at_ms = now_ms
        self.maintenance.step(now_ms)
        interval_ms = ACTIVE_REPORT_INTERVAL_MS if self.maintenance.is_active else IDLE_REPORT_INTERVAL_MS
        self._next_report_ms = now_ms + interval_ms * self._rng.uniform(0.9, 1.1)

    def _status(self) -> ServerStatus:
        return ServerStatus(
            capacity=SERVER_CAPACITY_RPCS_PER_SECOND,
            model=f"m{self.index % MODEL_COUNT}",
            serves_critical_methods=False,
            warm_fraction=0.0 if self.is_draining else self.warm_fraction(),
            rpcs_per_second=self._rpcs_per_second,
            ok_count=self.rpcs.ok_count,
            answered_count=self.rpcs.answered_count,
        )

    def start_draining(self, down_ms: float) -> None:
        """Begins to drain, by a notice or by a permit; the next process starts `down_ms` after the end."""
        if self.is_draining:
            return
        now_ms = self.host.clock_ms()
        self.cluster.record(DrainStarted.KIND, self.name)
        self.node.leave(now_ms)
        self.rpcs.start_draining(DRAIN_MS, now_ms)
        self.ends_at_ms = now_ms + DRAIN_MS
        self.down_ms = down_ms

    def _end(self) -> None:
        """Ends the process: all answers are out, and the others hear that it leaves."""
        self.policy_node.announce_departure()
        self._send_policy_messages()
        for receiver, message in self.node.take_outgoing():
            self.cluster.network.transmit(self.host.address, receiver, message)
        self.host.is_up = False
        self.cluster.record(ServerEnded.KIND, self.name)
        self.cluster.on_server_ended(self.index, self.down_ms)
