"""Policy service: runs the policy node on the event loop, and lets other packages use the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from landingshift import system_clock
from landingshift.consensus.errors import RaftLogError
from landingshift.consensus.raft_log import RaftLogFile
from landingshift.consensus.state_machines import StateMachine
from landingshift.membership.messages import MemberRecord
from landingshift.membership.service import MembershipService
from landingshift.net.transport.loop import Timer
from landingshift.policies.change_log import ChangeLog
from landingshift.policies.enforcement import PolicyEnforcement
from landingshift.policies.errors import InvalidSettingError
from landingshift.policies.log_writer import LogWriter
from landingshift.policies.messages import OperatorCommand
from landingshift.policies.node import PolicyNode
from landingshift.policies.operator_calls import OperatorCalls
from landingshift.policies.overlay import PolicyOverlay
from landingshift.policies.settings import Settings, to_policy_settings

if TYPE_CHECKING:
    from landingshift.net.program.features import ServiceHost

PACKAGE = "policies"  # identifies this package's messages in the datagrams of membership
# Shortest delay of a timer. A running timer is replaced only if the new one is due earlier by more than this
# delay.
MIN_TIMER_MS = 1.0
MAX_SAVE_ROUND_COUNT = 8  # rounds of saving and sending; each round can produce more state to save


class PolicyService:
    """Runs a server's policy node on the event loop.

    Attributes:
        name: Name of the settings table that enables the service.
        settings: Settings from that table.
        policy_node: Policy logic of this server.
        enforcement: Enforcement of the policy in the admission controller.
    """

    name = "policies"

    def __init__(self, host: ServiceHost, settings: Settings) -> None:
        """Opens the log file and registers the service with the loop and membership.

        Raises:
            InvalidSettingError: The log file is required but not set, or can't be used.
        """
        membership = host.services["fleet"]
        assert isinstance(membership, MembershipService)
        self.settings = settings
        self._membership = membership
        self._swim_node = membership.node
        self._router = host.router
        self._loop = host.router.loop
        self._log = host.log
        self._timer: Timer | None = None
        config = host.router.config
        overlay = PolicyOverlay(config.settings, config.methods, config.tenants)
        log_file = _open_log_file(settings, membership.settings.cluster_name, config.name)
        self._log_writer = LogWriter(log_file, host.log) if log_file is not None else None
        local_record = self._swim_node.local_record
        self.policy_node = PolicyNode(
            local_record.name,
            local_record.run_id,
            to_policy_settings(settings),
            overlay.find_conflict,
            log_file.persistent_state if log_file is not None else None,
            Random(f"{config.seed} policies {config.name}"),
            self._loop.now_ms,
            system_clock.wall_clock_ms,
            max_member_count=settings.most,
        )
        self._participant = self.policy_node.participant
        self._participant.discovery.list_alive_peers = lambda: self._swim_node.member_table.present_names
        self.enforcement = PolicyEnforcement(host, local_record.name, overlay, self._participant)
        self._change_log = ChangeLog(self.policy_node, host.log)
        self._swim_node.message_handlers[PACKAGE] = self._on_message
        membership.operator_rpc.handlers |= OperatorCalls(self).handlers()
        self._loop.after(0.0, self._on_timer)

    # Time and messages. The clock is read again for each message, because the message might have arrived
    # after the loop read the clock at the start of the pass. With that earlier time, an expired leader lease
    # could seem valid.

    def clock_ms(self) -> float:
        """Returns the current time of the monotonic clock."""
        return self._loop.clock_ms()

    def _on_message(self, sender: MemberRecord, body: list[Any]) -> None:
        self.policy_node.on_message(sender.name, body, self.clock_ms())
        self._save_and_send()

    def _on_timer(self) -> None:
        self._timer = None
        now_ms = self.clock_ms()
        if self.policy_node.next_deadline_ms() <= now_ms:
            self.policy_node.tick(now_ms)
        self._save_and_send()

    def _save_and_send(self) -> None:
        """Saves the state, sends the queued messages, and sets the timer.

        If saving fails, the Raft messages, which depend on the state, are not sent.
        """
        for _ in range(MAX_SAVE_ROUND_COUNT):
            is_saved = self._save()
            outgoing = self.policy_node.take_outgoing()
            for receiver, body in outgoing:
                self._membership.large_messages.send_to_member(receiver, PACKAGE, body)
            if not is_saved or not outgoing:
                break
        self._membership.flush_outgoing()
        self._change_log.update(self.clock_ms())
        self._set_timer()

    def _set_timer(self) -> None:
        due_ms = max(self.policy_node.next_deadline_ms(), self._loop.now_ms + MIN_TIMER_MS)
        if self._timer is None or due_ms < self._timer.due_ms - MIN_TIMER_MS:
            self._loop.cancel(self._timer)
            self._timer = self._loop.after(due_ms - self._loop.now_ms, self._on_timer)

    def _save(self) -> bool:
        """Saves the state if it has unsaved changes; returns False if it could not be saved."""
        state = self.policy_node.unsaved_state()
        if state is None or self._log_writer is None:
            return True
        if not self._log_writer.save(state, self._loop.now_ms):
            return False
        self.policy_node.on_state_saved(self.clock_ms())
        self.policy_node.deliver_messages(self.clock_ms())
        return True

    # Replicated log, for packages with a state machine on it

    @property
    def is_voter(self) -> bool:
        """Whether this server has a log file and therefore applies the entries of the replicated log."""
        return self.policy_node.raft is not None

    @property
    def leader(self) -> str:
        """Name of the leader as far as this server knows; empty if unknown."""
        return self._participant.discovery.leader

    @property
    def voters(self) -> list[str]:
        """Names of all voters, as last reported by the leader."""
        return self._participant.discovery.voters

    def register_state_machine(
        self, name: str, state_machine: StateMachine, on_committed: Callable[[float], None]
    ) -> None:
        """Adds a state machine to the replicated log.

        Args:
            name: Name under which the state machine is registered.
            state_machine: The state machine.
            on_committed: Called with the current time after entries were applied.
        """
        self.policy_node.state_machines.register(name, state_machine)
        self.policy_node.commit_listeners.append(on_committed)

    def propose(self, data: bytes) -> bool:
        """Appends an entry to the replicated log; returns False if this server is not the leader."""
        raft = self.policy_node.raft
        is_proposed = raft is not None and raft.propose(data) is not None
        self._save_and_send()
        return is_proposed

    def is_leader(self) -> bool:
        """Returns whether this server holds the leader lease at the current time."""
        raft = self.policy_node.raft
        return raft is not None and raft.has_leader_lease(self.clock_ms())

    # Operators

    def submit_command(self, change_id: str, command: OperatorCommand) -> bool:
        """Submits a command for the leader; returns False if too many commands are pending."""
        is_accepted = self.policy_node.submit_command(change_id, command, self.clock_ms())
        self._save_and_send()
        return is_accepted

    def member_record(self, name: str) -> MemberRecord | None:
        """Returns the membership record of the server `name`, or None if that server is unknown."""
        return self._swim_node.member_table.record(name)

    def on_version_trusted(self, version: int) -> None:
        """Logs the adoption of a version that an operator declared to be in force.

        Also makes the admission controller decide again in this loop pass, by the adopted version.
        """
        self._log("policy_trusted", version=version)
        self._router.request_settle()

    def finish(self) -> None:
        """Tells the voters that this process decides on no more RPCs; called after the loop has ended."""
        self.policy_node.announce_departure()
        for receiver, body in self.policy_node.take_outgoing():
            self._swim_node.send_to_member(receiver, PACKAGE, body)
        self._membership.flush_outgoing()
        if self._log_writer is not None:
            self._log_writer.close()


def _open_log_file(settings: Settings, cluster_name: str, server_name: str) -> RaftLogFile | None:
    if not settings.journal:
        if server_name in settings.voters:
            raise InvalidSettingError("journal", "is required, because this server is one of the voters")
        return None
    try:
        return RaftLogFile(settings.journal, cluster_name, server_name)
    except RaftLogError as error:
        raise InvalidSettingError("journal", str(error)) from error
    except OSError as error:
        raise InvalidSettingError("journal", f"{settings.journal}: {error.strerror}") from error


def attach(host: ServiceHost, settings: Settings) -> PolicyService:
    """Starts the policy service of a server, and returns the service.

    Raises:
        InvalidSettingError: The log file is required but not set, or can't be used.
    """
    return PolicyService(host, settings)
