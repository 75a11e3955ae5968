"""Tests of Raft: simulated histories with crashes, pauses and partitions, and the rules of a single node."""

from __future__ import annotations

import copy
import unittest
from dataclasses import dataclass
from random import Random
from typing import Any

from landingshift.consensus.errors import InvalidMessageError
from landingshift.consensus.leader_lease import LEASE_FRACTION
from landingshift.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    LogEntry,
    Message,
    RequestVote,
    VoteResponse,
    decode_message,
    encode_message,
)
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft import MAX_LOG_ENTRY_COUNT, RaftNode, Role
from landingshift.consensus.timeouts import RaftTimeouts
from landingshift.consensus.voters import encode_voters_entry

TIMEOUTS = RaftTimeouts(heartbeat_interval_ms=20.0, election_timeout_ms=120.0)


@dataclass(frozen=True)
class InFlightMessage:
    """A message in transit on the simulated network."""

    arrives_at_ms: float
    sender: str
    receiver: str
    message: Message


class SimulatedGroup:
    """A Raft group with simulated disks and network; checks the invariants after each step.

    All faults are drawn from the seed. With `forgets_votes`, nodes send vote responses without saving their
    term and vote, which must violate an invariant.
    """

    def __init__(self, seed: int, node_count: int = 3, forgets_votes: bool = False) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.names = tuple("abcdefg"[:node_count])
        self.forgets_votes = forgets_votes
        self.disks = {name: PersistentState() for name in self.names}
        self.running: dict[str, RaftNode] = {}
        self.paused_until_ms = dict.fromkeys(self.names, 0.0)
        self.network: list[InFlightMessage] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.leader_of_term: dict[int, str] = {}
        self.committed: list[LogEntry] = []  # the first entry seen committed at each index
        self.proposal_count = 0
        self.fault_count = 0
        self.loss_probability = 0.05
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        state = copy.deepcopy(self.disks[name])
        self.running[name] = RaftNode(name, self.names, state, TIMEOUTS, self.rng, self.now_ms)

    def save(self, name: str) -> None:
        node = self.running[name]
        state = node.unsaved_state()
        if state is None:
            return
        previous = self.disks[name]
        self.disks[name] = copy.deepcopy(state)
        if self.forgets_votes:
            self.disks[name].term = previous.term
            self.disks[name].voted_for = previous.voted_for
        node.on_state_saved()

    def save_and_send(self, name: str) -> None:
        self.save(name)
        for receiver, message in self.running[name].take_outgoing():
            for _ in range(self.rng.choice((1, 1, 1, 1, 2))):
                if self.rng.random() >= self.loss_probability:
                    delay_ms = self.rng.choice((1.0, 2.0, 5.0, 5.0, 60.0))
                    arrives_at_ms = self.now_ms + self.rng.uniform(0.5, 1.0) * delay_ms
                    self.network.append(InFlightMessage(arrives_at_ms, name, receiver, message))

    def step(self, with_faults: bool = True) -> None:
        self.now_ms += self.rng.uniform(0.5, 6.0)
        if with_faults:
            self.inject_fault()
        self.deliver_due()
        for name, node in list(self.running.items()):
            if self.paused_until_ms[name] <= self.now_ms:
                self.run_node(name, node)
        self.check_invariants()

    def deliver_due(self) -> None:
        due = [item for item in self.network if item.arrives_at_ms <= self.now_ms]
        self.network = [item for item in self.network if item.arrives_at_ms > self.now_ms]
        for item in due:
            receiver = item.receiver
            if receiver not in self.running or (item.sender, receiver) in self.blocked_links:
                continue
            if self.paused_until_ms[receiver] > self.now_ms:
                delayed = InFlightMessage(self.paused_until_ms[receiver], item.sender, receiver, item.message)
                self.network.append(delayed)
            else:
                self.running[receiver].on_message(item.sender, item.message, self.now_ms)
                self.save_and_send(receiver)

    def run_node(self, name: str, node: RaftNode) -> None:
        node.tick(self.now_ms)
        if node.role is Role.LEADER and self.rng.random() < 0.05:
            self.proposal_count += node.propose(b"%d" % self.proposal_count) is not None
        uncompacted_count = node.commit_index - node.persistent_state.last_included_index
        if uncompacted_count > 12 and self.rng.random() < 0.2:
            index = min(node.commit_index - self.rng.randrange(6), len(self.committed))
            node.compact(index, repr(self.committed[:index]).encode())
        self.save_and_send(name)

    def inject_fault(self) -> None:
        rng = self.rng
        name = rng.choice(self.names)
        match rng.randrange(160):
            case 0 if name in self.running:
                if rng.random() >= 0.5:
                    self.save(name)
                del self.running[name]  # without the save above, the node loses its unsaved state
            case 1 | 2 | 3 if name not in self.running:
                self.start(name)
            case 4:
                self.paused_until_ms[name] = self.now_ms + rng.uniform(20.0, 500.0)
            case 5:
                self.blocked_links.add((name, rng.choice(self.names)))
            case 6 | 7:
                self.blocked_links.clear()
            case 8:
                minority = set(rng.sample(self.names, len(self.names) // 2))
                self.blocked_links = {
                    (sender, receiver)
                    for sender in self.names
                    for receiver in self.names
                    if (sender in minority) != (receiver in minority)
                }
            case _:
                return
        self.fault_count += 1

    def stop_faults(self) -> None:
        self.blocked_links.clear()
        self.loss_probability = 0.0
        for name in self.names:
            if name not in self.running:
                self.start(name)

    def check_invariants(self) -> None:
        for name, node in self.running.items():
            self.check_single_leader_per_term(name, node)
            self.check_committed_entries(name, node)

    def check_single_leader_per_term(self, name: str, node: RaftNode) -> None:
        if node.role is Role.LEADER:
            first_seen = self.leader_of_term.setdefault(node.current_term, name)
            assert first_seen == name, f"two leaders in term {node.current_term}"

    def check_committed_entries(self, name: str, node: RaftNode) -> None:
        snapshot_index = node.persistent_state.last_included_index
        for position, entry in enumerate(
            node.entries_between(snapshot_index, node.commit_index), snapshot_index
        ):
            if position < len(self.committed):
                first_seen = self.committed[position]
                assert first_seen == entry, f"{name} committed {entry} at {position}, not {first_seen}"
            else:
                assert position == len(self.committed), f"{name} committed {position} before earlier entries"
                self.committed.append(entry)
        if snapshot_index:
            expected = repr(self.committed[:snapshot_index]).encode()
            assert node.persistent_state.snapshot == expected, f"{name} has a wrong snapshot"


def run_history(seed: int, step_count: int = 500, **group_options: Any) -> SimulatedGroup:
    group = SimulatedGroup(seed, **group_options)
    for _ in range(step_count):
        group.step()
    return group


class SimulatedHistories(unittest.TestCase):
    def test_all_nodes_commit_the_same_entries_despite_crashes_pauses_and_partitions(self) -> None:
        committed_count = fault_count = 0
        for seed in range(150):
            group = run_history(seed, node_count=3 if seed % 3 else 5)
            committed_count += len(group.committed)
            fault_count += group.fault_count
            # Without faults, the group makes progress and all nodes catch up.
            group.stop_faults()
            committed_count_before = len(group.committed)
            for _ in range(600):
                group.step(with_faults=False)
            self.assertGreater(len(group.committed), committed_count_before, seed)
            leaders = [node for node in group.running.values() if node.role is Role.LEADER]
            self.assertEqual(len(leaders), 1)
            lowest_commit_index = min(node.commit_index for node in group.running.values())
            self.assertGreaterEqual(lowest_commit_index, committed_count_before)
        self.assertGreater(committed_count, 1000)
        self.assertGreater(fault_count, 1000)

    def test_unsaved_votes_violate_an_invariant(self) -> None:
        with self.assertRaises(AssertionError):
            for seed in range(400):
                run_history(seed, forgets_votes=True)


class NodeTestCase(unittest.TestCase):
    """Base class with helpers that drive node `a` of three by single messages."""

    def node(self) -> RaftNode:
        return RaftNode("a", ("a", "b", "c"), PersistentState(), TIMEOUTS, Random(1), 0.0)

    def leader(self) -> RaftNode:
        """Returns a leader of term 1 elected by `b`; its first entry is on its own disk only."""
        node = self.node()
        node.tick(1000.0)
        node.on_message("b", VoteResponse(1, True, True), 1001.0)
        node.on_state_saved()
        node.on_message("b", VoteResponse(1, True, False), 1002.0)
        self.assertIs(node.role, Role.LEADER)
        node.on_state_saved()
        return node

    def leader_with_lease(self) -> RaftNode:
        node = self.leader()
        self.acknowledge(node, "b", 1, 1010.0)
        return node

    @staticmethod
    def acknowledge(node: RaftNode, peer: str, match_index: int, now_ms: float, term: int = 1) -> None:
        """Passes to `node` a response of `peer` to the newest heartbeat round."""
        node.on_message(peer, AppendEntriesResponse(term, True, match_index, node.heartbeat_round), now_ms)


class Elections(NodeTestCase):
    def test_sends_no_response_before_the_vote_is_on_disk(self) -> None:
        node = self.node()
        node.on_message("b", RequestVote(3, 0, 0, False), 200.0)
        self.assertEqual(node.take_outgoing(), [])
        assert node.unsaved_state() is not None
        node.on_state_saved()
        self.assertEqual(node.take_outgoing(), [("b", VoteResponse(3, True, False))])
        node.on_message("c", RequestVote(3, 9, 2, False), 201.0)  # only one vote per term
        self.assertEqual(node.take_outgoing(), [("c", VoteResponse(3, False, False))])

    def test_node_in_contact_with_a_leader_denies_pre_votes(self) -> None:
        for silence_ms, is_granted in [(50.0, False), (500.0, True)]:
            node = self.node()
            node.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            node.on_state_saved()
            node.take_outgoing()
            node.on_message("c", RequestVote(2, 5, 1, True), 10.0 + silence_ms)
            self.assertEqual(node.take_outgoing(), [("c", VoteResponse(2, is_granted, True))])
            self.assertEqual(node.current_term, 1)  # a pre-vote request does not change the term

    def test_node_in_contact_with_a_leader_ignores_vote_requests(self) -> None:
        # The leader lease is valid only if no other node is elected meanwhile.
        for silence_ms, term in [(50.0, 1), (500.0, 2)]:
            node = self.node()
            node.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            node.on_state_saved()
            node.on_message("c", RequestVote(2, 5, 1, False), 10.0 + silence_ms)
            self.assertEqual(node.current_term, term)

    def test_ignores_messages_from_servers_that_are_not_voters(self) -> None:
        node = self.leader()
        node.on_message("z", AppendEntries(99, 0, 0, (), 0, 1), 1010.0)
        self.assertIs(node.role, Role.LEADER)


class Leaders(NodeTestCase):
    def test_lease_is_valid_while_a_majority_answered_a_recent_round(self) -> None:
        node = self.leader()
        self.assertFalse(node.has_leader_lease(1002.0))  # it may not know all committed entries yet
        self.acknowledge(node, "b", 1, 1010.0)
        self.assertTrue(node.has_leader_lease(1010.0))
        # The lease runs from the time the round was sent: the leader may be paused before the response.
        lease_ms = TIMEOUTS.election_timeout_ms * LEASE_FRACTION
        self.assertFalse(node.has_leader_lease(1002.0 + lease_ms))
        node.tick(1100.0)
        self.acknowledge(node, "b", 1, 1190.0)
        self.assertTrue(node.has_leader_lease(1200.0))
        late_response = AppendEntriesResponse(1, True, 1, node.heartbeat_round - 1)
        node.on_message("b", late_response, 1195.0)  # a response to an older round does not shorten the lease
        self.assertTrue(node.has_leader_lease(1200.0))
        self.assertFalse(node.has_leader_lease(1100.0 + lease_ms))

    def test_leader_steps_down_without_responses_from_a_majority(self) -> None:
        node = self.leader()
        now_ms = 1002.0
        while node.role is Role.LEADER and now_ms < 5000.0:
            now_ms += 10.0
            node.tick(now_ms)
            node.on_state_saved()
        self.assertLess(now_ms, 1002.0 + 2.0 * TIMEOUTS.election_timeout_ms)
        self.assertIsNone(node.propose(b"x"))

    def test_leader_counts_its_own_entry_only_after_it_is_on_disk(self) -> None:
        node = self.leader()
        index = node.propose(b"x")
        assert index is not None
        self.acknowledge(node, "b", index, 1010.0)
        self.assertLess(node.commit_index, index)
        node.on_state_saved()
        self.assertEqual(node.commit_index, index)

    def test_leader_rejects_proposals_when_the_log_is_full(self) -> None:
        node = self.leader()
        while node.propose(b"x") is not None:
            node.take_outgoing()
        self.assertEqual(len(node.persistent_state.entries), MAX_LOG_ENTRY_COUNT)


class VoterChanges(NodeTestCase):
    def test_leader_with_a_lease_changes_one_voter_at_a_time(self) -> None:
        node = self.leader()
        self.assertIsNone(node.change_voters(("a", "b", "c", "d"), 1003.0))  # no lease yet
        self.acknowledge(node, "b", 1, 1010.0)
        for voters in [("a", "b", "c"), ("a", "b", "d"), ("a", "b", "c", "d", "e"), ("a",)]:
            self.assertIsNone(node.change_voters(voters, 1011.0))
        index = node.change_voters(("a", "b", "c", "d"), 1011.0)
        assert index is not None
        self.assertEqual(node.peers, ("b", "c", "d"))  # effective once it is in the log
        self.assertIsNone(node.change_voters(("a", "b", "c"), 1012.0))  # the previous change is not committed
        node.on_state_saved()
        self.acknowledge(node, "b", index, 1013.0)
        self.assertLess(node.commit_index, index)  # two of four are not a majority
        self.acknowledge(node, "d", index, 1014.0)
        self.assertEqual(node.commit_index, index)

    def test_leader_that_removes_itself_leads_until_the_removal_is_committed(self) -> None:
        node = self.leader_with_lease()
        addition_index = node.change_voters(("a", "b", "c", "d"), 1011.0)
        assert addition_index is not None
        node.on_state_saved()
        for peer in "bd":
            self.acknowledge(node, peer, addition_index, 1014.0)
        removal_index = node.change_voters(("b", "c", "d"), 1015.0)
        assert removal_index is not None
        node.on_state_saved()
        for peer in "bc":
            self.acknowledge(node, peer, removal_index, 1016.0)
        self.assertEqual((node.commit_index, node.role), (removal_index, Role.FOLLOWER))
        node.tick(1e6)
        self.assertIs(node.role, Role.FOLLOWER)  # a removed node starts no election

    def test_leader_that_removes_itself_can_be_reelected_until_the_removal_is_committed(self) -> None:
        # Guards against a deadlock while one of three servers is down: the removed leader alone has the
        # removal entry and grants no vote to the other server, whose log is shorter. If it did not stand for
        # election itself, the two would wait for each other forever.
        node = self.leader_with_lease()
        removal_index = node.change_voters(("b", "c"), 1011.0)
        assert removal_index is not None
        node.on_state_saved()
        for now_ms in (1100.0, 1200.0, 1300.0, 1400.0):  # no peer answers
            node.tick(now_ms)
        node.take_outgoing()
        node.tick(2000.0)
        self.assertIs(node.role, Role.PRE_CANDIDATE)
        self.assertEqual({receiver for receiver, _ in node.take_outgoing()}, {"b", "c"})
        node.on_message("b", VoteResponse(2, True, True), 2001.0)
        self.assertIs(node.role, Role.PRE_CANDIDATE)  # its own vote does not count: it is not a voter
        node.on_message("c", VoteResponse(2, True, True), 2002.0)
        for peer in "bc":
            node.on_state_saved()
            node.on_message(peer, VoteResponse(2, True, False), 2003.0)
        self.assertIs(node.role, Role.LEADER)
        node.on_state_saved()
        for peer in "bc":
            self.acknowledge(node, peer, node.last_log_index, 2010.0, term=2)
        self.assertEqual((node.commit_index, node.role), (node.last_log_index, Role.FOLLOWER))
        node.tick(1e6)
        self.assertIs(node.role, Role.FOLLOWER)

    def test_truncating_a_configuration_entry_restores_the_previous_voters(self) -> None:
        node = self.node()
        voters_entry = LogEntry(1, encode_voters_entry(("a", "b", "c", "d")))
        node.on_message("b", AppendEntries(1, 0, 0, (voters_entry,), 0, 1), 10.0)
        self.assertEqual(node.voters, ("a", "b", "c", "d"))
        node.on_message("c", AppendEntries(2, 0, 0, (LogEntry(2, b""),), 0, 1), 20.0)
        self.assertEqual(node.voters, ("a", "b", "c"))


class Messages(unittest.TestCase):
    def test_decoding_invalid_bytes_raises_invalid_message_error(self) -> None:
        for data in [b"", b"\xc1", b"\x90", encode_message(RequestVote(1, 0, 0, False))[:-1]]:
            with self.subTest(data=data), self.assertRaises(InvalidMessageError):
                decode_message(data)
