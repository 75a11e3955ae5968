"""Policy node of a server: a participant and, if the server has a log file, a Raft node and a coordinator.

The node does no I/O. Its driver passes in messages, the time and a random generator, and takes out the state
to save and the messages to send once the state is saved. The driver must read the clock for `now_ms` after a
message has arrived; with an earlier time, an expired leader lease could seem valid.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from landingshift.consensus.errors import InvalidMessageError
from landingshift.consensus.messages import decode_message as decode_raft_message
from landingshift.consensus.messages import encode_message as encode_raft_message
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft import RaftNode
from landingshift.consensus.state_machines import StateMachineRegistry
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.consensus.voters import is_voters_entry
from landingshift.policies.commands import ChangeOutcome
from landingshift.policies.coordinator import ChangeCoordinator
from landingshift.policies.errors import UnreadableMessageError
from landingshift.policies.messages import (
    ChangeStatus,
    Departure,
    LeaseRequest,
    Message,
    OperatorCommand,
    OperatorRequest,
    PolicyRequest,
    PolicyText,
    RaftPacket,
    Redirect,
    UnreadableLeaseRequest,
)
from landingshift.policies.operator_commands import OperatorCommands
from landingshift.policies.participant import ChangeParticipant
from landingshift.policies.policy_settings import PolicySettings
from landingshift.policies.state_machine import DEFAULT_MAX_MEMBER_COUNT, Change, PolicyStateMachine
from landingshift.policies.wire import decode_message, encode_message

STATE_MACHINE_NAME = "policies"
COMPACTION_ENTRY_COUNT = 200  # a snapshot replaces the applied log entries once there are more than this
DEFAULT_TIMEOUTS = RaftTimeouts()
# Rounds of delivering a node's messages to itself. Each round can produce further messages.
MAX_LOCAL_DELIVERY_COUNT = 8


class PolicyNode:
    """All policy logic of a server, without I/O.

    Attributes:
        name: Name of this server.
        run_id: Random id of this process, new at each start.
        participant: Participant that determines which version this server can decide by.
        raft: Raft node; None on a server without a log file.
        coordinator: Coordinator of changes, active while `raft` is the leader; None if `raft` is None.
        state_machine: Replicated state of policies, as applied on this server.
        state_machines: All state machines on the replicated log.
        commit_listeners: Functions that are called with the current time after log entries were applied.
        operator_commands: Commands that operators submitted to this server.
    """

    def __init__(
        self,
        name: str,
        run_id: int,
        settings: PolicySettings,
        find_conflict: Callable[[bytes], str],
        persistent_state: PersistentState | None,
        rng: Random,
        now_ms: float,
        wall_clock_ms: Callable[[], float],
        timeouts: RaftTimeouts = DEFAULT_TIMEOUTS,
        max_member_count: int = DEFAULT_MAX_MEMBER_COUNT,
    ) -> None:
        """Creates the node of a server; restores the state from the log file if the server has one.

        Args:
            name: Name of this server.
            run_id: Random id of this process, new at each start.
            settings: Protocol settings, the same on all servers.
            find_conflict: Returns the reason why this server can't apply an encoded policy; empty if it can.
            persistent_state: State from the log file; None on a server without one.
            rng: Source of the jitter of requests and elections.
            now_ms: Current time of the monotonic clock.
            wall_clock_ms: Returns the Unix time shown to operators.
            timeouts: Timeouts of Raft.
            max_member_count: Maximum number of members.
        """
        self.name = name
        self.run_id = run_id
        self.participant = ChangeParticipant(run_id, settings, find_conflict, rng, now_ms)
        self.raft: RaftNode | None = None
        self.coordinator: ChangeCoordinator | None = None
        self.state_machine = PolicyStateMachine(max_member_count)
        self.state_machines = StateMachineRegistry()
        self.state_machines.register(STATE_MACHINE_NAME, self.state_machine)
        self.commit_listeners: list[Callable[[float], None]] = []
        self.operator_commands = OperatorCommands()
        self._initial_voters = settings.voters
        self._applied_index = 0
        self._outbox: list[tuple[str, Message]] = []
        if persistent_state is not None:
            self._restore_applied(persistent_state)
            self.raft = RaftNode(name, settings.voters, persistent_state, timeouts, rng, now_ms)
            self.coordinator = ChangeCoordinator(self.raft, self.state_machine, settings, wall_clock_ms)
            self.participant.can_become_voter = True

    # Interface for the driver

    def unsaved_state(self) -> PersistentState | None:
        """Returns the state to save before any message that depends on it is sent; None if all is saved."""
        return self.raft.unsaved_state() if self.raft is not None else None

    def on_state_saved(self, now_ms: float) -> None:
        """Releases the messages that depend on the saved state, and applies newly committed entries."""
        assert self.raft is not None, "only a voter has unsaved state"
        self.raft.on_state_saved()
        self._apply_committed(now_ms)

    def next_deadline_ms(self) -> float:
        """Returns the time at which `tick` is due."""
        deadlines_ms = [self.participant.next_deadline_ms]
        deadlines_ms += [pending.due_at_ms for pending in self.operator_commands.pending.values()]
        if self.raft is not None and self.coordinator is not None:
            deadlines_ms += [self.raft.next_deadline_ms, self.coordinator.next_deadline_ms]
        return min(deadlines_ms)

    def tick(self, now_ms: float) -> None:
        """Runs all tasks that are due."""
        if self.raft is not None and self.coordinator is not None:
            self.raft.tick(now_ms)
            self._apply_committed(now_ms)
            self._tick_coordinator_if_due(self.coordinator, now_ms)
            self.participant.discovery.own_log_voters = self.raft.voters
        self.participant.tick(now_ms)
        for change_id in self.operator_commands.due(now_ms):
            self.forward_command(change_id, now_ms)
        self.deliver_messages(now_ms)

    def on_message(self, sender: str, body: list[Any], now_ms: float) -> None:
        """Decodes and processes a message of another server; drops an unreadable message."""
        try:
            message = decode_message(body)
        except UnreadableMessageError:
            pass
        else:
            self._dispatch(sender, message, now_ms)
        self.deliver_messages(now_ms)

    def take_outgoing(self) -> list[tuple[str, list[Any]]]:
        """Removes and returns the messages to send, as (receiver, body) pairs.

        Raft messages are not included while there is unsaved state.
        """
        messages = self._outbox
        self._outbox = []
        if self.raft is not None:
            packets = self.raft.take_outgoing()
            messages += [(to, RaftPacket(encode_raft_message(packet))) for to, packet in packets]
        return [(receiver, encode_message(message)) for receiver, message in messages]

    def deliver_messages(self, now_ms: float) -> None:
        """Processes the messages to this server itself, and queues all others for `take_outgoing`."""
        for _ in range(MAX_LOCAL_DELIVERY_COUNT):
            local_messages = self._collect_outgoing()
            for message in local_messages:
                self._dispatch(self.name, message, now_ms)
            if not local_messages:
                return

    def _collect_outgoing(self) -> list[Message]:
        """Moves messages to other servers into the outbox; returns those to this server."""
        local_messages: list[Message] = []
        outboxes = [self.participant.outbox]
        if self.coordinator is not None:
            outboxes.append(self.coordinator.outbox)
        for outbox in outboxes:
            for receiver, message in outbox:
                if receiver == self.name:
                    local_messages.append(message)
                else:
                    self._outbox.append((receiver, message))
            outbox.clear()
        return local_messages

    # Messages

    def _dispatch(self, sender: str, message: Message, now_ms: float) -> None:
        match message:
            case RaftPacket(data):
                self._on_raft_packet(sender, data, now_ms)
            case LeaseRequest() | UnreadableLeaseRequest():
                self._on_lease_request(sender, message, now_ms)
            case PolicyRequest():
                self._on_policy_request(sender, message)
            case OperatorRequest():
                if self.coordinator is not None:
                    self.coordinator.on_operator_request(sender, message, now_ms)
            case Departure(run_id):
                if self.coordinator is not None:
                    self.coordinator.on_departure(sender, run_id, now_ms)
            case ChangeStatus():
                self.operator_commands.on_status(message)
            case _:
                self.participant.on_message(sender, message, now_ms)

    def _on_raft_packet(self, sender: str, data: bytes, now_ms: float) -> None:
        if self.raft is None:
            return
        try:
            packet = decode_raft_message(data)
        except InvalidMessageError:
            return
        # A voter whose log is behind might not know all voters. It therefore also accepts messages from the
        # voters in the settings and from the voters that the leader reported.
        self.raft.additional_senders = {*self._initial_voters, *self.participant.discovery.voters}
        self.raft.on_message(sender, packet, now_ms)
        self._apply_committed(now_ms)

    def _on_lease_request(
        self, sender: str, request: LeaseRequest | UnreadableLeaseRequest, now_ms: float
    ) -> None:
        known_leader = self.participant.discovery.leader if self.participant.is_member else ""
        if self.coordinator is None:
            self._outbox.append((sender, Redirect(request.number, known_leader)))
            return
        if isinstance(request, LeaseRequest):
            self.coordinator.on_lease_request(sender, request, now_ms, known_leader)
        self._tick_coordinator_if_due(self.coordinator, now_ms)

    def _on_policy_request(self, sender: str, request: PolicyRequest) -> None:
        """Sends the requested policy; a server without a log file has only the policy that it decides by."""
        if self.coordinator is not None:
            self.coordinator.on_policy_request(sender, request)
        elif not request.change_id and request.version == self.participant.version:
            self._outbox.append((sender, PolicyText("", request.version, self.participant.policy)))

    # The replicated log

    @staticmethod
    def _tick_coordinator_if_due(coordinator: ChangeCoordinator, now_ms: float) -> None:
        if coordinator.next_deadline_ms <= now_ms:
            coordinator.tick(now_ms)

    def _restore_applied(self, persistent_state: PersistentState) -> None:
        """Restores the state machines from the snapshot if it covers entries that are not applied yet.

        The snapshot was read from disk or received from a leader.
        """
        if persistent_state.last_included_index > self._applied_index:
            self.state_machines.restore(persistent_state.snapshot)
            self._applied_index = persistent_state.last_included_index

    def _apply_committed(self, now_ms: float) -> None:
        """Applies committed entries, and compacts the log once it has grown enough."""
        raft, coordinator = self.raft, self.coordinator
        assert raft is not None, "only a voter applies entries"
        assert coordinator is not None, "a voter has a coordinator"
        self._restore_applied(raft.persistent_state)
        if self._applied_index >= raft.commit_index:
            return
        for entry in raft.entries_between(self._applied_index, raft.commit_index):
            if not is_voters_entry(entry.data):
                self.state_machines.apply(entry.data)
        self._applied_index = raft.commit_index
        for on_committed in self.commit_listeners:
            on_committed(now_ms)
        coordinator.next_deadline_ms = now_ms
        coordinator.tick(now_ms)
        if raft.commit_index - raft.persistent_state.last_included_index > COMPACTION_ENTRY_COUNT:
            raft.compact(self._applied_index, self.state_machines.snapshot())

    # Operators

    def submit_command(self, change_id: str, command: OperatorCommand, now_ms: float) -> bool:
        """Queues a command for the leader; returns False if too many commands are pending."""
        return self.operator_commands.submit(change_id, command, now_ms)

    def forward_command(self, change_id: str, now_ms: float) -> None:
        """Sends a pending command to the leader, and from the second attempt on to all voters.

        Between changes, lease requests are rare. The leader that this server knows might therefore have
        stopped some time ago.
        """
        pending = self.operator_commands.next_attempt(change_id, now_ms)
        if pending is None:
            return
        discovery = self.participant.discovery
        is_first_attempt = pending.attempt_count == 1
        receivers = [discovery.leader] if discovery.leader and is_first_attempt else discovery.voters
        request = OperatorRequest(change_id, pending.command)
        for receiver in receivers:
            if receiver == self.name:
                self._dispatch(receiver, request, now_ms)
            else:
                self._outbox.append((receiver, request))

    def change_status(self, change_id: str) -> ChangeStatus:
        """Returns the status of a change as known to this server; a final outcome never changes."""
        change = self.state_machine.find_change(change_id) if self.raft is not None else None
        if change is not None and change.outcome is not ChangeOutcome.PENDING:
            return ChangeStatus(change_id, change.outcome.value, change.version, change.outcome_reason)
        final_status = self.operator_commands.final_status(change_id)
        if final_status is not None:
            return final_status
        ended = self.participant.ended_changes.get(change_id)
        if ended is not None:
            return ChangeStatus(change_id, ended.outcome, ended.version, ended.reason)
        return self.operator_commands.last_status(change_id)

    def announce_departure(self) -> None:
        """Queues a `Departure` message to each other voter.

        The message tells the voter that this process decides on no more RPCs.
        """
        for voter in self.participant.discovery.voters:
            if voter != self.name:
                self._outbox.append((voter, Departure(self.run_id)))

    def list_changes(self) -> list[Change]:
        """Returns all changes that this server stores with details, newest last."""
        return list(self.state_machine.changes.values())
