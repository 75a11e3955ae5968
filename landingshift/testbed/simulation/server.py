"""A server in virtual time, which runs the real decision code of all packages.

This module contains no decision logic. It connects the objects of the packages as a real server does on its
event loop, but the engine, the disk and the network are simulated.
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
"""Mean interval of a server's load reports to the leader while the server knows a maintenance request."""
IDLE_REPORT_INTERVAL_MS = 2000.0
"""Mean interval of a server's load reports to the leader while the server knows no maintenance request."""
LOAD_WINDOW_MS = 1000.0
"""Minimum time over which the rate of RPCs is measured."""
DRAIN_MS = 3000.0
"""Maximum time from the beginning of a drain to the end of the process."""
MAX_DELIVERY_COUNT = 8
"""Maximum number of times that one call of `take_outgoing` saves Raft state and queues policy messages."""
MAX_MEMBER_COUNT = 1000
ZONE_COUNT = 2
MODEL_COUNT = 2


@dataclass(frozen=True, slots=True)
class RpcArrival:
    """An RPC from a gateway. `queued_ms` is the time that the RPC spends in the socket of a paused server."""

    rpc: SimulatedRpc
    queued_ms: float


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """An external notice to drain. A new process starts `down_ms` after the drained one has ended."""

    down_ms: float


class SimulatedServer:
    """A process of a simulated server; implements `SimulatedProcess`.

    Attributes:
        cluster: The cluster around the server.
        index: Number of the server.
        name: Name of the server.
        host: Host that runs the process.
        disk: Disk of the server, which outlives the process.
        node: Membership node.
        policy_node: Runs policy changes; contains a Raft node if the server can be a voter.
        cold_start: Start permit, call quota and polls of the endpoint list.
        rpcs: Admission and the engine, with the RPCs that they handle.
        maintenance: The server's part in maintenance.
        ends_at_ms: Deadline of the drain on the host's clock: the process ends at this time even if some RPCs
            are still open. Infinite if the server is not draining.
        down_ms: Time from the end of a drained process to the start of the next process.
    """

    def __init__(self, cluster: ClusterContext, index: int, run_number: int, host: SimulatedHost) -> None:
        self.cluster = cluster
        self.index = index
        self.name = server_name(index)
        self.host = host
        self.disk = cluster.disk(index)
        self.ends_at_ms = inf
        self.down_ms = 0.0
        # All parts draw from one generator, so the order in which they are created determines the history.
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

    # State of the server

    @property
    def tenant(self) -> Tenant:
        """The tenant of all RPCs to this server."""
        return self.rpcs.tenant

    @property
    def is_draining(self) -> bool:
        """Whether the server is draining. Its process ends after the drain."""
        return self.ends_at_ms < inf

    @property
    def is_listed(self) -> bool:
        """Whether the endpoint list contains the server.

        A real server reports itself healthy under the same conditions.
        """
        is_open = self.cold_start.participant.start_sequence.is_open
        return self.rpcs.is_healthy and is_open and self.rpcs.may_decide and not self.is_draining

    def wall_clock_ms(self) -> float:
        """Returns the time on the server's wall clock, in Unix ms."""
        return self.cluster.wall_clock_ms(self.index)

    def warm_fraction(self) -> float:
        """Returns the capacity that the server has reached, as a fraction (0 to 1) of its full capacity."""
        return self.cold_start.warm_fraction(self.rpcs)

    def table_sizes(self) -> dict[str, int]:
        """Returns the sizes of all tables that could grow without bound, keyed by table name."""
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

    # SimulatedProcess

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` must be called next."""
        return min(
            self.node.next_deadline_ms(),
            self.policy_node.next_deadline_ms(),
            self.rpcs.admission.next_check_ms,
            self._next_cold_start_step_ms,
            self._next_report_ms,
            self.ends_at_ms,
        )

    def on_message(self, message: Any, now_ms: float) -> None:
        """Handles a datagram, an RPC, a drain notice or an event of the engine."""
        match message:
            case Message():
                self.node.on_message(message, now_ms)
            case RpcArrival(rpc, queued_ms):
                self.rpcs.on_rpc(rpc, queued_ms, now_ms)
            case DrainNotice(float(down_ms)):
                # The pattern matches floats only. In randomly generated scenarios `down_ms` is an int, so
                # the notice has no effect. In scenarios from files it is a float, and the server drains.
                self.start_draining(down_ms)
            case RunFinished() | CallNeeded() | CallFinished():
                self.rpcs.on_engine_event(message, now_ms)

    def on_timer(self, now_ms: float) -> None:
        """Runs the timers that are due in all parts of the server."""
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
        """Completes the handling of events and returns the datagrams to send, with their receivers.

        First lets admission reject, start and resume RPCs. Ends the process if the drain is complete or its
        deadline has passed. Otherwise writes unsaved Raft state to disk; the policy messages that depend on
        this state are sent only after that.
        """
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
        """Queues the outgoing policy messages; returns whether there were any."""
        messages = self.policy_node.take_outgoing()
        for receiver, body in messages:
            self.node.send_to_member(receiver, POLICIES_PACKAGE, body)
        return bool(messages)

    def _save(self) -> bool:
        """Writes unsaved Raft state to disk; returns whether it is safe to send policy messages."""
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

    # Maintenance and drain

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
        """Begins to drain; does nothing if the server is already draining.

        Args:
            down_ms: Time from the end of the process to the start of the next process.
        """
        if self.is_draining:
            return
        now_ms = self.host.clock_ms()
        self.cluster.record(DrainStarted.KIND, self.name)
        self.node.leave(now_ms)
        self.rpcs.start_draining(DRAIN_MS, now_ms)
        self.ends_at_ms = now_ms + DRAIN_MS
        self.down_ms = down_ms

    def _end(self) -> None:
        """Announces the departure of the process to the other servers, then ends the process."""
        self.policy_node.announce_departure()
        self._send_policy_messages()
        for receiver, message in self.node.take_outgoing():
            self.cluster.network.transmit(self.host.address, receiver, message)
        self.host.is_up = False
        self.cluster.record(ServerEnded.KIND, self.name)
        self.cluster.on_server_ended(self.index, self.down_ms)
