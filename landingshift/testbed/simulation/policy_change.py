"""Simulates policy changes in virtual time, while faults disturb the servers, the network and the disks.

Servers run the code of `policies`; the network and the disks are simulated. Each decision of a server about
an RPC is recorded in a history, with the policy version that the server used. The invariants check this
history.

A defence is a rule of the real code that prevents a violation of the invariants. A simulation can run without
one of the defences in `REMOVABLE_DEFENCES`. The invariants must then find a violation.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from random import Random
from typing import Any

from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.policies.commands import FINAL_OUTCOMES
from landingshift.policies.messages import ChangeVoters, DeclareDeparted, FindChange, ProposeChange
from landingshift.policies.node import PolicyNode
from landingshift.policies.policy_settings import PolicySettings
from landingshift.testbed.simulation.policy_documents import AUTHOR, COMMENT, policy_document
from landingshift.testbed.simulation.removed_defences import (
    DURABLE_WRITE,
    LEADER_LEASE,
    LEASE_REQUEST,
    PARTICIPANT_LEASE,
    WAIT_FOR_ALL,
    remove_from_policies,
)
from landingshift.testbed.simulation.virtual_time import Address, SimulatedHost, SimulatedNetwork
from landingshift.testbed.verification.history import ChangeEnded, History, PolicyUsed

REMOVABLE_DEFENCES = (PARTICIPANT_LEASE, LEASE_REQUEST, LEADER_LEASE, WAIT_FOR_ALL, DURABLE_WRITE)
MEAN_DECISION_INTERVAL_MS = 25.0
"""Mean interval between two decisions of a server about RPCs."""
RAFT_TIMEOUTS = RaftTimeouts(heartbeat_interval_ms=100.0, election_timeout_ms=500.0)
DEFAULT_SETTINGS = {"lease_ms": 900.0, "clock_margin_ms": 100.0, "change_timeout_ms": 6000.0}
CLOCK_OFFSETS_MS = (-1e6, 1e6)
CLOCK_RATES = (0.99, 1.01)
SETTLING_MS = 12_000.0
"""Time that servers have to agree on a policy version after `settle` has ended the faults."""
ANSWER_MS = 1500.0
"""Time that servers have to find out the outcomes of changes after `settle` has asked them to."""


def address(name: str) -> Address:
    """Returns the address of the server with this name."""
    return name, 0


class PolicyServer:
    """A process of a simulated server. The process takes part in policy changes and decides about RPCs.

    Attributes:
        name: Name of the server.
        run_id: Random id of the process.
        policy_node: Runs policy changes; contains a Raft node if the server can be a voter.
        participant: Part of `policy_node` that decides which policy version the server is allowed to use.
    """

    def __init__(self, simulation: PolicyChangeSimulation, name: str, now_ms: float) -> None:
        self._simulation = simulation
        self.name = name
        self.run_id = simulation.rng.getrandbits(32)
        self.policy_node = PolicyNode(
            name,
            self.run_id,
            simulation.settings,
            simulation.policy_checks.get(name, lambda _policy: ""),
            copy.deepcopy(simulation.disks.get(name)),
            simulation.rng,
            now_ms,
            lambda: simulation.network.now_ms,
            RAFT_TIMEOUTS,
        )
        self.participant = self.policy_node.participant
        self.participant.discovery.list_alive_peers = lambda: [
            other for other in simulation.running_names() if other != name
        ]
        self._next_decision_ms = now_ms + MEAN_DECISION_INTERVAL_MS * simulation.rng.random()
        remove_from_policies(self.policy_node, simulation.removed_defence)

    @property
    def host(self) -> SimulatedHost:
        """The host of the latest process of this server."""
        return self._simulation.hosts[self.name]

    def clock_ms(self) -> float:
        """Returns the time on the host's clock."""
        return self.host.clock_ms()

    def on_message(self, message: tuple[str, list[Any]], now_ms: float) -> None:
        """Handles a message from another server; `message` contains the sender's name and the body."""
        sender, body = message
        self.policy_node.on_message(sender, body, now_ms)

    def next_deadline_ms(self) -> float:
        """Returns the time at which `on_timer` must be called next."""
        return min(self.policy_node.next_deadline_ms(), self._next_decision_ms)

    def on_timer(self, now_ms: float) -> None:
        """Runs the timer of `policy_node` if it is due, and decides about an RPC if a decision is due."""
        if self.policy_node.next_deadline_ms() <= now_ms:
            self.policy_node.tick(now_ms)
        if now_ms >= self._next_decision_ms:
            interval_ms = MEAN_DECISION_INTERVAL_MS * self._simulation.rng.uniform(0.5, 1.5)
            self._next_decision_ms = now_ms + interval_ms
            self._decide(now_ms)

    def take_outgoing(self) -> list[tuple[Address, Any]]:
        """Writes unsaved Raft state to disk, then returns the outgoing messages with their receivers.

        Messages can depend on the Raft state, so the state must be on disk before the messages are sent.
        Returns no messages if the process is killed during the first write.
        """
        unsaved = self.policy_node.unsaved_state()
        if unsaved is not None:
            self._simulation.save(self.name, unsaved)
            if not self.host.is_up:
                return []  # killed between write and sync
            self._on_saved()
        messages = self.policy_node.take_outgoing()
        unsaved = self.policy_node.unsaved_state()
        while unsaved is not None:
            self._simulation.save(self.name, unsaved)
            self._on_saved()
            messages += self.policy_node.take_outgoing()
            unsaved = self.policy_node.unsaved_state()
        return [(address(receiver), (self.name, body)) for receiver, body in messages]

    def _on_saved(self) -> None:
        self.policy_node.on_state_saved(self.clock_ms())
        self.policy_node.deliver_messages(self.clock_ms())

    def _decide(self, now_ms: float) -> None:
        """Decides about an RPC and records the policy version used, if the server is allowed to decide."""
        removed_defence, participant = self._simulation.removed_defence, self.participant
        may_decide_without_lease = removed_defence == PARTICIPANT_LEASE and participant.is_member
        may_decide_without_request = removed_defence == LEASE_REQUEST and not participant.is_member
        if may_decide_without_lease or may_decide_without_request or participant.may_decide(now_ms):
            version = max(0, participant.version)
            self._simulation.record(PolicyUsed.KIND, self.name, version, participant.policy)


class PolicyChangeSimulation:
    """Simulated servers that change their policy, and the faults that disturb them.

    The first servers in `server_names` are the initial voters.

    Attributes:
        rng: Generator of all random decisions outside the network.
        removed_defence: Defence that all servers lack, one of `REMOVABLE_DEFENCES`; "" for none.
        network: The network and the virtual time.
        server_names: Names of all servers.
        settings: Policy settings of all servers.
        disks: Stored Raft states, keyed by server name. Only servers that can be voters have one.
        policy_checks: Functions that check a proposed policy, keyed by the name of the server that runs the
            check. They return the reason why the server rejects the policy, or "" to accept it.
        hosts: Host of each server's latest process, by server name.
        servers: The latest process of each server, by server name.
        history: All events so far.
        proposed_change_ids: Ids of all changes proposed so far.
        crash_on_write_probability: Probability that a server is killed during a write of its Raft state. The
            write is then lost.
        down_servers: Names of the servers that are down.
    """

    def __init__(
        self,
        seed: int | str,
        server_count: int = 5,
        voter_count: int = 3,
        stands_aside: bool = False,
        removed_defence: str = "",
        **settings: float,
    ) -> None:
        """Creates the simulation and starts all servers.

        Args:
            seed: Seed of all random generators.
            server_count: Number of servers.
            voter_count: Number of servers, from the first, that are voters.
            stands_aside: If True, a server that loses contact with the leader stops deciding about RPCs.
            removed_defence: Defence that all servers lack, one of `REMOVABLE_DEFENCES`; "" for none.
            settings: Fields of `PolicySettings` that replace DEFAULT_SETTINGS.
        """
        self.rng = Random(f"{seed} hall")
        self.removed_defence = removed_defence
        self.network = SimulatedNetwork(self.rng.getrandbits(48))
        self.server_names = [f"n{index}" for index in range(server_count)]
        voters = tuple(self.server_names[:voter_count])
        self.settings = PolicySettings(voters, stands_aside, **(DEFAULT_SETTINGS | settings))
        # In addition to the voters, one server has a Raft log. This server can be added as a voter.
        self.disks = {name: PersistentState() for name in self.server_names[: voter_count + 1]}
        self.policy_checks: dict[str, Callable[[bytes], str]] = {}
        self.hosts: dict[str, SimulatedHost] = {}
        self.servers: dict[str, PolicyServer] = {}
        self.history: History = []
        self.proposed_change_ids: list[str] = []
        self.crash_on_write_probability = 0.0
        self.down_servers: set[str] = set()
        self._recorded_outcomes: set[tuple[str, str]] = set()
        for name in self.server_names:
            self.start(name)

    def running_names(self) -> list[str]:
        """Returns the names of the servers that are up."""
        return [name for name in self.server_names if name not in self.down_servers]

    def record(self, kind: str, *values: Any) -> None:
        """Appends an event to the history."""
        self.history.append((self.network.now_ms, kind, *values))

    # Processes and disks

    def start(self, name: str) -> None:
        """Starts a new process of a server, with a random clock offset and clock drift."""
        clock_offset_ms = self.rng.uniform(*CLOCK_OFFSETS_MS)
        clock_rate = self.rng.uniform(*CLOCK_RATES)
        self.down_servers.discard(name)
        host = SimulatedHost(self.network, address(name), clock_offset_ms, clock_rate)
        self.hosts[name] = host
        self.servers[name] = PolicyServer(self, name, host.clock_ms())
        host.start(self.servers[name])

    def kill(self, name: str) -> None:
        """Kills the process of a server."""
        self.network.kill(address(name))
        self.down_servers.add(name)

    def save(self, name: str, state: PersistentState) -> None:
        """Writes a Raft state to the disk of a server, or randomly kills the server and loses the write.

        If DURABLE_WRITE is removed, the write is always lost, also if the server is not killed.
        """
        if self.rng.random() < self.crash_on_write_probability:
            self.kill(name)
        elif self.removed_defence != DURABLE_WRITE:
            self.disks[name] = copy.deepcopy(state)

    # Operators' commands

    def propose(self, name: str, number: int) -> str:
        """Proposes the policy `policy_document(number)` to a server; returns the id of the change."""
        change_id = f"c{len(self.proposed_change_ids)}"
        self.proposed_change_ids.append(change_id)
        self._submit(name, change_id, ProposeChange(policy_document(number), AUTHOR, COMMENT))
        return change_id

    def declare_departed(self, name: str, departed: str) -> None:
        """Tells the server `name` that the latest process of the server `departed` has ended for good."""
        self._submit(name, f"gone {departed}", DeclareDeparted(departed, self.servers[departed].run_id))

    def change_voter(self, name: str, verb: str, voter: str) -> None:
        """Asks a server to add or remove a voter. `verb` is "add" or "remove"."""
        self._submit(name, f"{verb} {voter}", ChangeVoters(verb == "add", voter))

    def find_change(self, name: str, change_id: str) -> None:
        """Asks a server to find out the outcome of a change."""
        self._submit(name, change_id, FindChange())

    def _submit(
        self, name: str, command_id: str, command: ProposeChange | DeclareDeparted | ChangeVoters | FindChange
    ) -> None:
        self.servers[name].policy_node.submit_command(command_id, command, self.hosts[name].clock_ms())
        self.hosts[name].run_once()

    def change_outcome(self, name: str, change_id: str) -> str:
        """Returns the outcome of a change according to the server `name`.

        Appends the outcome to the history if it is final and has not been appended for this server.
        """
        status = self.servers[name].policy_node.change_status(change_id)
        if status.outcome in FINAL_OUTCOMES and (name, change_id) not in self._recorded_outcomes:
            self._recorded_outcomes.add((name, change_id))
            self.record(ChangeEnded.KIND, name, change_id, status.outcome, status.version)
        return str(status.outcome)

    # Virtual time

    def run(self, duration_ms: float) -> None:
        """Advances virtual time by `duration_ms`, then reads the outcomes of all changes on running servers.

        Final outcomes are appended to the history, each only once for each server.
        """
        self.network.run_until(self.network.now_ms + duration_ms)
        for name in self.running_names():
            for change_id in self.proposed_change_ids:
                self.change_outcome(name, change_id)

    def settle(self, duration_ms: float = SETTLING_MS) -> None:
        """Ends network and disk faults, starts the servers that are down, and advances time by `duration_ms`.

        Then lets each server find out the outcomes of changes that it does not know, and appends the final
        outcomes of all changes to the history. Outcomes that are already in the history are appended again.
        """
        self.network.is_cut = lambda _sender, _receiver: False
        self.network.loss_probability = 0.0
        self.network.duplicate_probability = 0.0
        self.network.extra_delay_ms = 0.0
        self.crash_on_write_probability = 0.0
        for name in sorted(self.down_servers):
            self.start(name)
        self.run(duration_ms)
        self._recorded_outcomes.clear()
        for name in self.server_names:
            for change_id in self.proposed_change_ids:
                status = self.servers[name].policy_node.change_status(change_id)
                if status.outcome not in FINAL_OUTCOMES:
                    self.find_change(name, change_id)
        self.run(ANSWER_MS)


# Random faults


def _kill(simulation: PolicyChangeSimulation, name: str, running: list[str]) -> None:
    if len(running) > 1 and name in running:
        simulation.kill(name)


def _start(simulation: PolicyChangeSimulation, _name: str, _running: list[str]) -> None:
    if simulation.down_servers:
        simulation.start(simulation.rng.choice(sorted(simulation.down_servers)))


def _pause(simulation: PolicyChangeSimulation, name: str, running: list[str]) -> None:
    if name in running:
        simulation.hosts[name].pause(simulation.rng.choice((200.0, 900.0, 3000.0)))


def _partition(simulation: PolicyChangeSimulation, _name: str, _running: list[str]) -> None:
    names = simulation.server_names
    half = {address(name) for name in simulation.rng.sample(names, len(names) // 2)}
    simulation.network.is_cut = lambda sender, receiver: (sender in half) != (receiver in half)


def _cut_link(simulation: PolicyChangeSimulation, name: str, _running: list[str]) -> None:
    cut_sender, other = address(name), address(simulation.rng.choice(simulation.server_names))
    # If the randomly chosen `other` is the server `name` itself, all messages from `name` are lost. Otherwise
    # only the messages from `name` to `other` are lost.
    simulation.network.is_cut = lambda sender, receiver: (
        sender == cut_sender and (receiver == other or other == cut_sender)
    )


def _heal(simulation: PolicyChangeSimulation, _name: str, _running: list[str]) -> None:
    simulation.network.is_cut = lambda _sender, _receiver: False


def _disturb_messages(simulation: PolicyChangeSimulation, _name: str, _running: list[str]) -> None:
    rng, network = simulation.rng, simulation.network
    network.loss_probability = rng.choice((0.0, 0.1, 0.3))
    network.duplicate_probability = rng.choice((0.0, 0.3))
    network.extra_delay_ms = rng.choice((0.0, 0.0, 20.0, 300.0))


def _disturb_writes(simulation: PolicyChangeSimulation, _name: str, _running: list[str]) -> None:
    simulation.crash_on_write_probability = simulation.rng.choice((0.0, 0.01, 0.05))


def _change_voter(simulation: PolicyChangeSimulation, _name: str, running: list[str]) -> None:
    if running:
        voter = simulation.rng.choice(sorted(simulation.disks))
        receiver = simulation.rng.choice(running)
        simulation.change_voter(receiver, simulation.rng.choice(("add", "remove")), voter)


_RANDOM_FAULTS: tuple[Callable[[PolicyChangeSimulation, str, list[str]], None], ...] = (
    _kill,
    _kill,
    _start,
    _start,
    _start,
    _pause,
    _partition,
    _cut_link,
    _heal,
    _disturb_messages,
    _disturb_writes,
    _change_voter,
)
"""Functions that inject a random fault. Each entry is chosen with the same probability.

`_start` is listed more often than `_kill`, so that most servers are up.
"""


def inject_random_fault(simulation: PolicyChangeSimulation) -> None:
    """Chooses a random fault and injects it; does nothing if the chosen fault is not possible at present."""
    name = simulation.rng.choice(simulation.server_names)
    inject = _RANDOM_FAULTS[simulation.rng.randrange(len(_RANDOM_FAULTS))]
    inject(simulation, name, simulation.running_names())


def run_random_history(
    seed: int | str, stands_aside: bool | None = None, removed_defence: str = "", step_count: int = 14
) -> PolicyChangeSimulation:
    """Runs a new simulation with random faults and policy proposals, calls `settle` on it and returns it.

    Args:
        seed: Seed of all random generators.
        stands_aside: If True, a server that loses contact with the leader stops deciding about RPCs. If
            None, the choice is random.
        removed_defence: Defence that all servers lack, one of `REMOVABLE_DEFENCES`; "" for none.
        step_count: Number of steps. Each step proposes at most one policy and injects at most one fault.
    """
    rng = Random(f"{seed} play")
    server_count = rng.choice((4, 5, 7))
    voter_count = 3 if server_count < 7 else rng.choice((3, 5))
    if stands_aside is None:
        stands_aside = rng.random() < 0.5
    simulation = PolicyChangeSimulation(seed, server_count, voter_count, stands_aside, removed_defence)
    simulation.run(rng.choice((0.0, 2500.0, 2500.0)))
    for step in range(step_count):
        if rng.random() < 0.5:
            name = rng.choice(simulation.server_names)
            if name not in simulation.down_servers:
                simulation.propose(name, step)
        if rng.random() < 0.75:
            inject_random_fault(simulation)
        simulation.run(rng.choice((100.0, 400.0, 1200.0)))
    simulation.settle()
    return simulation
