"""Explores all states of a small model of a policy change with three servers, one voter and one change.

Messages can arrive in any order, be lost or be duplicated; time passes; any server can be killed and
restarted. The servers are real `PolicyNode` objects. In the initial state, the leader knows that all servers
but one are prepared for the change. The check is stricter than the invariant of histories: no server is
*allowed* to decide about RPCs by an old version too late, whether or not it has an RPC to decide about.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.policies.messages import ChangePhase, ProposeChange
from landingshift.policies.node import PolicyNode
from landingshift.policies.participant import ChangeParticipant, ParticipantState
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.simulation.policy_documents import AUTHOR, COMMENT, policy_document
from landingshift.testbed.simulation.removed_defences import LEASE_REQUEST, PARTICIPANT_LEASE
from landingshift.testbed.verification.state_space import Action, Exploration, Step, explore

VOTER = "n0"
LAST_SERVER = "n2"
NAMES = (VOTER, "n1", LAST_SERVER)
CHANGE_ID = "c"
START_MS = 10_000.0
TIME_STEP_MS = 500.0
MAX_MESSAGES_COUNT = 4
"""Greatest number of messages in flight at a time; further ones are dropped."""
MAX_DELIVERY_COUNT = 4
"""Greatest number of rounds in which a server saves its state and delivers its messages to itself."""
DEFAULT_MAX_STATE_COUNT = 10_000_000
RESTARTED_RUN_ID = 9
RAFT_TIMEOUTS = RaftTimeouts(heartbeat_interval_ms=1e9, election_timeout_ms=1e9)
"""The timers never expire: with a single voter there is no other leader to detect or replace."""
ANNOUNCEMENT = "look"
"""Type of messages that only prompt the receiver to send a lease request.

They are dropped, because the model lets every server send a lease request at any time.
"""


class ConstantRandom(Random):
    """Draws the same value each time, so that states do not differ only by random draws."""

    def uniform(self, a: float, b: float) -> float:
        """Returns the lower bound."""
        del b
        return a

    def random(self) -> float:
        """Returns 0."""
        return 0.0

    def __deepcopy__(self, _memo: Any) -> ConstantRandom:
        """Returns the object itself, because it has no state."""
        return self


@dataclass
class RemainingSteps:
    """How often each kind of step can still occur; the bounds keep the number of states finite."""

    losses: int = 1
    duplicates: int = 1
    time_steps: int = 3
    kills: int = 1
    requests: int = 2


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message in flight; `body` is the message in its wire form."""

    sender: str
    receiver: str
    body: list[Any]


@dataclass
class PolicyState:
    """One state of the model.

    Attributes:
        nodes: The latest process of each server, keyed by the server's name.
        disk: State that the voter has saved.
        now_ms: Time on the clock that all servers share.
        messages: Messages in flight.
        remaining: How often each kind of step can still occur.
        first_possible_ms: Time at which a server was first allowed to decide by a version, keyed by version.
    """

    nodes: dict[str, PolicyNode]
    disk: PersistentState
    now_ms: float = START_MS
    messages: list[Envelope] = field(default_factory=list)
    remaining: RemainingSteps = field(default_factory=RemainingSteps)
    first_possible_ms: dict[int, float] = field(default_factory=dict)

    def copy(self) -> PolicyState:
        """Returns a copy that shares the nodes; a step must copy a node before it changes it."""
        return replace(
            self,
            nodes=dict(self.nodes),
            messages=list(self.messages),
            remaining=replace(self.remaining),
            first_possible_ms=dict(self.first_possible_ms),
        )


class PolicyChangeSearch:
    """The model of a policy change, for `state_space.explore`.

    Attributes:
        settings: Policy settings of all servers.
        removed_defence: `PARTICIPANT_LEASE` or `LEASE_REQUEST`, the defence that all servers lack; "" if they
            have all defences.
    """

    def __init__(self, is_standby_when_cut_off: bool = False, removed_defence: str = "") -> None:
        self.settings = PolicySettings(
            (VOTER,),
            is_standby_when_cut_off,
            overlap_ms=1000.0,
            lease_ms=900.0,
            clock_margin_ms=100.0,
            change_timeout_ms=1e9,
        )
        self.removed_defence = removed_defence
        self._rng = ConstantRandom()

    def run(self, max_depth: int, max_state_count: int = DEFAULT_MAX_STATE_COUNT) -> Exploration:
        """Explores up to `max_depth` steps from the initial state and at most `max_state_count` states."""
        return explore(self, max_depth, max_state_count)

    def _new_node(self, name: str, run_id: int, stored: PersistentState | None, now_ms: float) -> PolicyNode:
        return PolicyNode(
            name,
            run_id,
            self.settings,
            lambda _policy: "",
            stored,
            self._rng,
            now_ms,
            lambda: 0.0,
            RAFT_TIMEOUTS,
        )

    def initial_state(self) -> PolicyState:
        """Returns a state in which the last lease request that the leader needs to commit is in flight."""
        state = PolicyState({}, PersistentState())
        state.remaining = RemainingSteps(0, 0, 0, 0, 0)
        for index, name in enumerate(NAMES):
            stored = PersistentState() if name == VOTER else None
            state.nodes[name] = self._new_node(name, index, stored, state.now_ms)
        self._elect(state)
        for _ in range(4):
            self._request_leases(state, NAMES)
        self._propose(state)
        self._request_leases(state, (VOTER, "n1"))
        self._request_leases(state, (VOTER, "n1"))
        self._request_leases(state, (LAST_SERVER,))
        assert all(node.participant.state is ParticipantState.PREPARED for node in state.nodes.values())
        state.nodes[LAST_SERVER].participant.send_lease_request(state.now_ms)
        self._send(state, LAST_SERVER)
        for node in state.nodes.values():
            _forget_answered_requests(node.participant)
        state.remaining = RemainingSteps()
        return state

    def _elect(self, state: PolicyState) -> None:
        raft = state.nodes[VOTER].raft
        assert raft is not None
        raft.start_election()

    def _propose(self, state: PolicyState) -> None:
        """Proposes the change at the leader, and delivers messages until the servers are asked to prepare."""
        leader = state.nodes[VOTER]
        proposal = ProposeChange(policy_document(1), AUTHOR, COMMENT)
        leader.submit_command(CHANGE_ID, proposal, state.now_ms)
        leader.forward_command(CHANGE_ID, state.now_ms)
        self._send(state, VOTER)
        while _phase(state) is not ChangePhase.PREPARE:
            self._request_leases(state, NAMES)

    def _request_leases(self, state: PolicyState, names: tuple[str, ...]) -> None:
        """Makes servers send a lease request to the leader, and delivers all messages."""
        for name in names:
            state.nodes[name].participant.send_lease_request(state.now_ms)
            self._send(state, name)
        while state.messages:
            self._deliver(state, 0)

    def steps(self, state: PolicyState) -> list[Step]:
        """Returns all steps that are possible in a state."""
        remaining = state.remaining
        has_room = len(state.messages) < MAX_MESSAGES_COUNT
        indexes = range(len(state.messages))
        steps = [Step(Action.DELIVER, index) for index in indexes]
        if remaining.losses:
            steps += [Step(Action.LOSE, index) for index in indexes]
        if remaining.duplicates and has_room:
            steps += [Step(Action.DUPLICATE, index) for index in indexes]
        if remaining.time_steps:
            steps.append(Step(Action.PASS_TIME, 0))
        if remaining.requests and has_room:
            steps += [Step(Action.ASK, name) for name in NAMES]
        if remaining.kills:
            steps += [Step(Action.KILL, name) for name in NAMES]
        return steps

    def apply(self, state: PolicyState, step: Step) -> PolicyState:
        """Returns the state after a step, and leaves the given state unchanged."""
        after = state.copy()
        remaining = after.remaining
        match step:
            case Step(Action.DELIVER, int(index)):
                self._deliver(after, index)
            case Step(Action.LOSE, int(index)):
                remaining.losses -= 1
                after.messages.pop(index)
            case Step(Action.DUPLICATE, int(index)):
                remaining.duplicates -= 1
                after.messages.append(after.messages[index])
            case Step(Action.PASS_TIME):
                remaining.time_steps -= 1
                after.now_ms += TIME_STEP_MS
            case Step(Action.ASK, str(name)):
                remaining.requests -= 1
                after.nodes[name] = copy.deepcopy(after.nodes[name])
                after.nodes[name].participant.send_lease_request(after.now_ms)
                self._send(after, name)
            case Step(Action.KILL, str(name)):
                remaining.kills -= 1
                self._restart(after, name)
        return after

    def _restart(self, state: PolicyState, name: str) -> None:
        stored = copy.deepcopy(state.disk) if name == VOTER else None
        state.nodes[name] = self._new_node(name, RESTARTED_RUN_ID, stored, state.now_ms)
        if name == VOTER:
            self._elect(state)
            self._send(state, name)

    def _deliver(self, state: PolicyState, index: int) -> None:
        message = state.messages.pop(index)
        node = copy.deepcopy(state.nodes[message.receiver])
        state.nodes[message.receiver] = node
        node.on_message(message.sender, message.body, state.now_ms)
        self._send(state, message.receiver)

    def _send(self, state: PolicyState, name: str) -> None:
        """Completes a step of a server: saves its unsaved state and then sends its messages."""
        node = state.nodes[name]
        for _ in range(MAX_DELIVERY_COUNT):
            unsaved = node.unsaved_state()
            if unsaved is not None:
                state.disk = copy.deepcopy(unsaved)
                node.on_state_saved(state.now_ms)
            if node.coordinator is not None:
                node.coordinator.tick(state.now_ms)
            node.deliver_messages(state.now_ms)
            for receiver, body in node.take_outgoing():
                if body[0] != ANNOUNCEMENT and len(state.messages) < MAX_MESSAGES_COUNT:
                    state.messages.append(Envelope(name, receiver, body))
            if node.unsaved_state() is None:
                break

    def check(self, state: PolicyState) -> str:
        """Returns a description of the violation if a server is allowed to decide by an old version too late.

        It is too late more than `overlap_ms` after a server was first allowed to decide by a newer version.
        Returns "" if there is no violation. Also updates `state.first_possible_ms`.
        """
        now_ms = state.now_ms
        for node in state.nodes.values():
            if not self._may_decide(node.participant, now_ms):
                continue
            version = max(0, node.participant.version)
            state.first_possible_ms.setdefault(version, now_ms)
            newer_ms = [at_ms for newer, at_ms in state.first_possible_ms.items() if newer > version]
            if newer_ms and now_ms - min(newer_ms) > self.settings.overlap_ms:
                elapsed_ms = now_ms - min(newer_ms)
                return f"{node.name} may decide by {version} {elapsed_ms:.0f} ms after a newer one"
        return ""

    def _may_decide(self, participant: ChangeParticipant, now_ms: float) -> bool:
        may_decide = participant.may_decide(now_ms)
        if self.removed_defence == PARTICIPANT_LEASE:
            return participant.is_member and participant.latest_version <= participant.version
        if self.removed_defence == LEASE_REQUEST:
            return may_decide or not participant.is_member
        return may_decide

    def key(self, state: PolicyState) -> Hashable:
        """Returns a key that is equal for equivalent states; it has times relative to now."""
        nodes: list[Any] = []
        for node in state.nodes.values():
            nodes.append(_participant_key(node, state.now_ms))
            if node.coordinator is not None:
                nodes.append(_coordinator_key(node))
        messages = tuple(sorted(repr(message) for message in state.messages))
        since_ms = tuple(
            sorted((version, state.now_ms - at_ms) for version, at_ms in state.first_possible_ms.items())
        )
        return (tuple(nodes), messages, since_ms, repr(state.remaining))


def _phase(state: PolicyState) -> ChangePhase:
    coordinator = state.nodes[VOTER].coordinator
    assert coordinator is not None
    return coordinator.phase


def _forget_answered_requests(participant: ChangeParticipant) -> None:
    """Drops the times of answered requests, which have no effect but would make equivalent states differ."""
    participant.request_sent_at_ms = {
        number: at_ms
        for number, at_ms in participant.request_sent_at_ms.items()
        if number > participant.last_answered_number
    }


def _participant_key(node: PolicyNode, now_ms: float) -> Hashable:
    participant = node.participant
    return (
        node.run_id,
        participant.is_member,
        participant.version,
        participant.latest_version,
        participant.change_id,
        participant.state,
        max(0.0, participant.lease_expiry_ms - now_ms),
        participant.last_answered_number,
        participant.last_request_number,
        tuple(now_ms - at_ms for at_ms in participant.request_sent_at_ms.values()),
    )


def _coordinator_key(node: PolicyNode) -> Hashable:
    coordinator = node.coordinator
    assert coordinator is not None
    requests = [(name, report.request) for name, report in sorted(coordinator.reports.by_member.items())]
    return (
        tuple(
            (name, request.run_id, request.change_id, request.state, request.version)
            for name, request in requests
        ),
        coordinator.phase,
        coordinator.committing_change_id,
        node.state_machine.version,
        node.state_machine.pending_change_id,
    )
