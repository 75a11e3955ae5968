"""Maintenance service on the event loop: sends reports, drains under a permit, runs the coordinator."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any, Protocol, cast

from landingshift import decision_history, failpoints, system_clock
from landingshift.consensus.state_machines import StateMachine
from landingshift.maintenance.agent import MaintenanceAgent
from landingshift.maintenance.commands import Command
from landingshift.maintenance.coordinator import MaintenanceCoordinator
from landingshift.maintenance.errors import InvalidMessageError
from landingshift.maintenance.messages import LoadReport, ReportAnswer, ServerStatus
from landingshift.maintenance.operator_calls import OperatorCalls
from landingshift.maintenance.permit_file import read_used_permit
from landingshift.maintenance.replicated_state import MaintenanceState
from landingshift.maintenance.settings import Settings, coordinator_settings
from landingshift.maintenance.storage import STATE_MACHINE_NAME, encode_command
from landingshift.maintenance.traffic_meter import TrafficMeter
from landingshift.maintenance.wire import PACKAGE, decode_message, encode_answer, encode_report
from landingshift.maintenance.work import Log, MaintenanceWork
from landingshift.membership.messages import DEPARTED_STATES, MemberRecord
from landingshift.membership.service import MembershipService
from landingshift.net.transport.loop import Timer

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.transport.loop import Loop

IDLE_REPORT_INTERVAL_MS = 2000.0
"""Time between reports without a request of this server or, on a voter, without any open request."""
ACTIVE_REPORT_INTERVAL_MS = 500.0
"""Time between reports otherwise."""
MIN_JITTER_RATIO = 0.9
MAX_JITTER_RATIO = 1.1


class ReplicatedLog(Protocol):
    """Interface of the consensus group that this package needs; the service of `[policies]` implements it.

    Attributes:
        is_voter: Whether this server is a voter and therefore keeps the replicated state.
        leader: Name of the leader; empty if none is known.
        voters: Names of the current voters.
    """

    is_voter: bool
    leader: str
    voters: list[str]

    def register_state_machine(
        self, name: str, state_machine: StateMachine, on_committed: Callable[[float], None]
    ) -> None:
        """Registers a state machine that applies the entries under its name.

        Args:
            name: Name of the state machine.
            state_machine: State machine to register.
            on_committed: Function called with the monotonic ms after entries have been applied.
        """
        ...

    def propose(self, data: bytes) -> bool:
        """Proposes an entry to the consensus group; returns whether it was accepted."""
        ...

    def is_leader(self) -> bool:
        """Returns whether this server is certain to lead the consensus group."""
        ...


class ServerEnvironment:
    """Environment of the coordinator and the operator calls on a real server."""

    def __init__(self, replicated_log: ReplicatedLog, membership: MembershipService, loop: Loop) -> None:
        self._replicated_log = replicated_log
        self._node = membership.node
        self._loop = loop

    def propose(self, command: Command) -> bool:
        """Proposes a command to the consensus group; returns whether it was accepted."""
        return self._replicated_log.propose(encode_command(command))

    def is_leader(self, _now_ms: float) -> bool:
        """Returns whether this server is certain to lead the consensus group."""
        return self._replicated_log.is_leader()

    def leader_name(self) -> str:
        """Returns the name of the leader; empty if none is known."""
        return self._replicated_log.leader

    def has_left(self, name: str) -> bool:
        """Returns whether a machine has left the membership or is unknown to it."""
        record = self._node.member_table.record(name)
        return record is None or record.state in DEPARTED_STATES

    def known_machines(self) -> set[str]:
        """Returns the names of all machines that membership knows."""
        return self._node.member_table.known_names()

    def wall_clock_ms(self) -> float:
        """Returns the current Unix time in ms."""
        return system_clock.wall_clock_ms()

    def monotonic_ms(self) -> float:
        """Returns the current monotonic time in ms, not the cached time of the loop's iteration."""
        return self._loop.clock_ms()


class MaintenanceService:
    """Maintenance on one server.

    Attributes:
        agent: Agent of this server.
        state: Replicated state; empty unless this server is a voter.
        coordinator: Coordinator, active while this server leads; None unless it is a voter.
        traffic: Counts of the RPCs that this server received and answered.
    """

    name = "upkeep"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        membership = host.services["fleet"]
        assert isinstance(membership, MembershipService)
        self.membership = membership
        self.node = membership.node
        self.log = host.log
        self.replicated_log = cast(ReplicatedLog, host.services["policies"])
        self.router = host.router
        self.loop = host.router.loop
        self.settings = settings
        self.rng = Random(f"{self.router.config.seed} upkeep {self.router.config.name}")
        self.work = MaintenanceWork(self.router.config.name, settings, host.log)
        self.agent = MaintenanceAgent(read_used_permit(settings.permit_file_path, self.router.config.name))
        self.traffic = TrafficMeter(self.loop.now_ms)
        self.state = MaintenanceState()
        self.coordinator: MaintenanceCoordinator | None = None
        if self.replicated_log.is_voter:
            self.coordinator = self._start_coordinator()
        membership.operator_rpc.handlers["upkeep_here"] = self.local_status
        self.node.message_handlers[PACKAGE] = self.on_message
        self.router.observers.add(self.traffic)
        first_report_ms = IDLE_REPORT_INTERVAL_MS * self.rng.random()
        self.timer: Timer | None = self.loop.after(first_report_ms, self.tick)

    def _start_coordinator(self) -> MaintenanceCoordinator:
        self.replicated_log.register_state_machine(STATE_MACHINE_NAME, self.state, self.on_entries_applied)
        environment = ServerEnvironment(self.replicated_log, self.membership, self.loop)
        coordinator = MaintenanceCoordinator(self.state, coordinator_settings(self.settings), environment)
        self.membership.operator_rpc.handlers |= OperatorCalls(coordinator, environment).handlers()
        return coordinator

    def warm_fraction(self) -> float:
        """Returns the fraction of this server's capacity in service; 0 before its first health report."""
        server = self.router.admission
        if server is None or not self.router.health_reporter.is_reporting:
            return 0.0
        warm_up_ms = server.settings.warm_up_ms if server.settings.starts_cold else 0.0
        if not warm_up_ms:
            return 1.0
        return min(1.0, (self.loop.now_ms - server.started_at_ms) / warm_up_ms)

    def tick(self) -> None:
        """Sends a report, runs a step of the coordinator, and schedules the next tick."""
        self.traffic.roll_window(self.loop.now_ms)
        self.send_report()
        if self.coordinator is not None:
            self.coordinator.step(self.loop.clock_ms())
        is_active = self.agent.request_state or (self.coordinator is not None and self.state.requests)
        interval_ms = ACTIVE_REPORT_INTERVAL_MS if is_active else IDLE_REPORT_INTERVAL_MS
        self.loop.cancel(self.timer)
        jitter = self.rng.uniform(MIN_JITTER_RATIO, MAX_JITTER_RATIO)
        self.timer = self.loop.after(interval_ms * jitter, self.tick)
        self.membership.flush_outgoing()

    def send_report(self) -> None:
        """Sends a report to the leader, which may be this server itself."""
        status = ServerStatus(
            capacity=self.settings.capacity_rpcs_per_second,
            model=self.settings.model,
            serves_critical_methods=self.settings.serves_critical_methods,
            warm_fraction=self.warm_fraction(),
            rpcs_per_second=self.traffic.rpcs_per_second,
            ok_count=self.traffic.ok_count,
            answered_count=self.traffic.answered_count,
        )
        report = self.agent.next_report(self.loop.clock_ms(), status)
        leader = self.replicated_log.leader
        if leader == self.node.local_record.name:
            self._on_report(self.node.local_record, report)
        elif leader:
            self.node.send_to_member(leader, PACKAGE, encode_report(report))

    def on_message(self, sender: MemberRecord, body: list[Any]) -> None:
        """Handles a maintenance message of another server; ignores an invalid one."""
        try:
            message = decode_message(body)
        except InvalidMessageError:
            return
        match message:
            case LoadReport():
                self._on_report(sender, message)
            case ReportAnswer():
                self._on_answer(message)

    def _on_report(self, sender: MemberRecord, report: LoadReport) -> None:
        if self.coordinator is None:
            return
        now_ms = self.loop.clock_ms()
        answer = self.coordinator.on_server_report(sender, self.replicated_log.voters, report, now_ms)
        if answer is None:
            return
        if sender.name == self.node.local_record.name:
            self._on_answer(answer)
        else:
            self.node.send_to_member(sender.name, PACKAGE, encode_answer(answer))

    def _on_answer(self, answer: ReportAnswer) -> None:
        if self.agent.on_answer(answer):
            failpoints.reach("upkeep.permitted")
            self.drain()

    def on_entries_applied(self, now_ms: float) -> None:
        """Makes the coordinator evaluate the requests soon, because the replicated state has changed."""
        if self.coordinator is not None:
            self.coordinator.evaluate_soon(now_ms)

    def drain(self) -> None:
        """Starts to drain if the permit is still valid by this server's monotonic clock.

        If it is not, or if the server is already draining, only logs `maintenance_permit_expired`.
        """
        if self.router.is_draining or not self.agent.begin_draining(self.loop.clock_ms()):
            self.log("maintenance_permit_expired", number=self.agent.permit.number)
            return
        permit_number = self.agent.draining_permit
        self.work.record_drain(permit_number)
        decision_history.record("left", self.node.local_record.name, permit_number)
        self.log("maintenance_draining", number=permit_number)
        self.send_report()
        self.membership.flush_outgoing()
        failpoints.reach("upkeep.draining")
        self.router.drain()

    def finish(self) -> None:
        """Runs the configured work once the server has drained under a permit."""
        if self.agent.draining_permit:
            self.work.run(self.agent.draining_permit)

    def local_status(self, _params: list[Any]) -> dict[str, Any]:
        """Answers the operator call `upkeep_here` with the maintenance status of this server."""
        return {
            "name": self.node.local_record.name,
            "stage": self.agent.request_state,
            "going": self.agent.draining_permit,
            "warmth": self.warm_fraction(),
            "load": self.traffic.rpcs_per_second,
            "leader": self.replicated_log.leader,
        }


def prepare(server_name: str, settings: Settings, log: Log) -> bool:
    """Runs work that the previous process was killed before; called before the server listens.

    Returns:
        Whether work was run, so that the program must be started anew.
    """
    return MaintenanceWork(server_name, settings, log).run_pending()


def attach(host: ServiceHost, settings: Settings) -> MaintenanceService:
    """Creates the maintenance service of a server."""
    return MaintenanceService(host, settings)
