"""Raft among nodes that crash, stop and are cut off: whole histories in virtual time, and single rules."""

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
class InFlight:
    """A message on the simulated network."""

    arrives_at_ms: float
    sender: str
    receiver: str
    message: Message


class SimulatedGroup:
    """Nodes over disks and a network with faults drawn from a seed; invariants are checked after each step.

    `forgets_votes`: a vote is not on disk when it is answered, which must be seen to break the invariants.
    """

    def __init__(self, seed: int, node_count: int = 3, forgets_votes: bool = False) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.names = tuple("abcdefg"[:node_count])
        self.forgets_votes = forgets_votes
        self.disks = {name: PersistentState() for name in self.names}
        self.running: dict[str, RaftNode] = {}
        self.stopped_until_ms = dict.fromkeys(self.names, 0.0)
        self.network: list[InFlight] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.leader_of_term: dict[int, str] = {}
        self.committed: list[LogEntry] = []  # the one sequence, as first seen committed
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
        saved_before = self.disks[name]
        self.disks[name] = copy.deepcopy(state)
        if self.forgets_votes:
            self.disks[name].term = saved_before.term
            self.disks[name].voted_for = saved_before.voted_for
        node.on_state_saved()

    def save_and_send(self, name: str) -> None:
        self.save(name)
        for receiver, message in self.running[name].take_outgoing():
            for _ in range(self.rng.choice((1, 1, 1, 1, 2))):
                if self.rng.random() >= self.loss_probability:
                    delay_ms = self.rng.choice((1.0, 2.0, 5.0, 5.0, 60.0))
                    arrives_at_ms = self.now_ms + self.rng.uniform(0.5, 1.0) * delay_ms
                    self.network.append(InFlight(arrives_at_ms, name, receiver, message))

    def step(self, with_faults: bool = True) -> None:
        self.now_ms += self.rng.uniform(0.5, 6.0)
        if with_faults:
            self.inject_fault()
        self.deliver_due()
        for name, node in list(self.running.items()):
            if self.stopped_until_ms[name] <= self.now_ms:
                self.run_node(name, node)
        self.check_invariants()

    def deliver_due(self) -> None:
        due = [item for item in self.network if item.arrives_at_ms <= self.now_ms]
        self.network = [item for item in self.network if item.arrives_at_ms > self.now_ms]
        for item in due:
            receiver = item.receiver
            if receiver not in self.running or (item.sender, receiver) in self.cut_links:
                continue
            if self.stopped_until_ms[receiver] > self.now_ms:
                waiting = InFlight(self.stopped_until_ms[receiver], item.sender, receiver, item.message)
                self.network.append(waiting)
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
                del self.running[name]  # else between write and sync: what was not saved is gone
            case 1 | 2 | 3 if name not in self.running:
                self.start(name)
            case 4:
                self.stopped_until_ms[name] = self.now_ms + rng.uniform(20.0, 500.0)
            case 5:
                self.cut_links.add((name, rng.choice(self.names)))
            case 6 | 7:
                self.cut_links.clear()
            case 8:
                half = set(rng.sample(self.names, len(self.names) // 2))
                self.cut_links = {
                    (one, other)
                    for one in self.names
                    for other in self.names
                    if (one in half) != (other in half)
                }
            case _:
                return
        self.fault_count += 1

    def end_faults(self) -> None:
        self.cut_links.clear()
        self.loss_probability = 0.0
        for name in self.names:
            if name not in self.running:
                self.start(name)

    def check_invariants(self) -> None:
        for name, node in self.running.items():
            self.check_one_leader(name, node)
            self.check_one_sequence(name, node)

    def check_one_leader(self, name: str, node: RaftNode) -> None:
        if node.role is Role.LEADER:
            first_seen = self.leader_of_term.setdefault(node.current_term, name)
            assert first_seen == name, f"two leaders in term {node.current_term}"

    def check_one_sequence(self, name: str, node: RaftNode) -> None:
        snapshot_index = node.persistent_state.last_included_index
        for position, entry in enumerate(
            node.entries_between(snapshot_index, node.commit_index), snapshot_index
        ):
            if position < len(self.committed):
                first_seen = self.committed[position]
                assert first_seen == entry, f"entry {position} was {first_seen}, at {name} it is {entry}"
            else:
                assert position == len(self.committed), f"{name} committed {position} before those below it"
                self.committed.append(entry)
        if snapshot_index:
            expected = repr(self.committed[:snapshot_index]).encode()
            assert node.persistent_state.snapshot == expected, "a snapshot of something else"


def play(seed: int, step_count: int = 500, **group_options: Any) -> SimulatedGroup:
    group = SimulatedGroup(seed, **group_options)
    for _ in range(step_count):
        group.step()
    return group


class Histories(unittest.TestCase):
    def test_commits_one_sequence_through_crashes_stops_and_cuts(self) -> None:
        committed_count = fault_count = 0
        for seed in range(150):
            group = play(seed, node_count=3 if seed % 3 else 5)
            committed_count += len(group.committed)
            fault_count += group.fault_count
            # With the faults gone it goes on, and all come to the same end.
            group.end_faults()
            committed_before = len(group.committed)
            for _ in range(600):
                group.step(with_faults=False)
            self.assertGreater(len(group.committed), committed_before, seed)
            leaders = [node for node in group.running.values() if node.role is Role.LEADER]
            self.assertEqual(len(leaders), 1)
            lowest_commit_index = min(node.commit_index for node in group.running.values())
            self.assertGreaterEqual(lowest_commit_index, committed_before)
        self.assertGreater(committed_count, 1000)
        self.assertGreater(fault_count, 1000)

    def test_vote_that_is_not_on_disk_makes_two_leaders(self) -> None:
        with self.assertRaises(AssertionError):
            for seed in range(400):
                play(seed, forgets_votes=True)


class NodeTestCase(unittest.TestCase):
    """One node `a` of three, driven message by message."""

    def node(self) -> RaftNode:
        return RaftNode("a", ("a", "b", "c"), PersistentState(), TIMEOUTS, Random(1), 0.0)

    def leader(self) -> RaftNode:
        """Leader of term 1 by the vote of `b`; its first entry is on its disk only."""
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
        """`peer` answers the newest heartbeat round."""
        node.on_message(peer, AppendEntriesResponse(term, True, match_index, node.heartbeat_round), now_ms)


class Elections(NodeTestCase):
    def test_sends_nothing_before_it_is_on_disk(self) -> None:
        node = self.node()
        node.on_message("b", RequestVote(3, 0, 0, False), 200.0)
        self.assertEqual(node.take_outgoing(), [])
        assert node.unsaved_state() is not None
        node.on_state_saved()
        self.assertEqual(node.take_outgoing(), [("b", VoteResponse(3, True, False))])
        node.on_message("c", RequestVote(3, 9, 2, False), 201.0)  # one vote a term
        self.assertEqual(node.take_outgoing(), [("c", VoteResponse(3, False, False))])

    def test_node_that_hears_a_leader_grants_no_pre_vote(self) -> None:
        for silence_ms, is_granted in [(50.0, False), (500.0, True)]:
            node = self.node()
            node.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            node.on_state_saved()
            node.take_outgoing()
            node.on_message("c", RequestVote(2, 5, 1, True), 10.0 + silence_ms)
            self.assertEqual(node.take_outgoing(), [("c", VoteResponse(2, is_granted, True))])
            self.assertEqual(node.current_term, 1)  # being asked disturbs nobody

    def test_node_that_heard_a_leader_ignores_vote_requests_so_that_the_lease_holds(self) -> None:
        # What a leader with its lease says rests on nobody else being elected meanwhile.
        for silence_ms, term in [(50.0, 1), (500.0, 2)]:
            node = self.node()
            node.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            node.on_state_saved()
            node.on_message("c", RequestVote(2, 5, 1, False), 10.0 + silence_ms)
            self.assertEqual(node.current_term, term)

    def test_ignores_senders_that_are_no_voters(self) -> None:
        node = self.leader()
        node.on_message("z", AppendEntries(99, 0, 0, (), 0, 1), 1010.0)
        self.assertIs(node.role, Role.LEADER)


class Leaders(NodeTestCase):
    def test_holds_the_lease_as_long_as_a_majority_answered_lately(self) -> None:
        node = self.leader()
        self.assertFalse(node.has_leader_lease(1002.0))  # older entries may be committed and not known yet
        self.acknowledge(node, "b", 1, 1010.0)
        self.assertTrue(node.has_leader_lease(1010.0))
        # From when the round went out, not from when its answer came: it may have stood still between.
        lease_ms = TIMEOUTS.election_timeout_ms * LEASE_FRACTION
        self.assertFalse(node.has_leader_lease(1002.0 + lease_ms))
        node.tick(1100.0)
        self.acknowledge(node, "b", 1, 1190.0)
        self.assertTrue(node.has_leader_lease(1200.0))
        late = AppendEntriesResponse(1, True, 1, node.heartbeat_round - 1)
        node.on_message("b", late, 1195.0)  # an older round proves less
        self.assertTrue(node.has_leader_lease(1200.0))
        self.assertFalse(node.has_leader_lease(1100.0 + lease_ms))

    def test_steps_down_without_a_majority(self) -> None:
        node = self.leader()
        now_ms = 1002.0
        while node.role is Role.LEADER and now_ms < 5000.0:
            now_ms += 10.0
            node.tick(now_ms)
            node.on_state_saved()
        self.assertLess(now_ms, 1002.0 + 2.0 * TIMEOUTS.election_timeout_ms)
        self.assertIsNone(node.propose(b"x"))

    def test_counts_its_own_entry_only_once_it_is_on_disk(self) -> None:
        node = self.leader()
        index = node.propose(b"x")
        assert index is not None
        self.acknowledge(node, "b", index, 1010.0)
        self.assertLess(node.commit_index, index)
        node.on_state_saved()
        self.assertEqual(node.commit_index, index)

    def test_takes_no_proposals_once_the_log_is_full(self) -> None:
        node = self.leader()
        while node.propose(b"x") is not None:
            node.take_outgoing()
        self.assertEqual(len(node.persistent_state.entries), MAX_LOG_ENTRY_COUNT)


class VoterChanges(NodeTestCase):
    def test_voters_change_one_at_a_time_by_a_leader_with_its_lease(self) -> None:
        node = self.leader()
        self.assertIsNone(node.change_voters(("a", "b", "c", "d"), 1003.0))  # without the lease yet
        self.acknowledge(node, "b", 1, 1010.0)
        for names in [("a", "b", "c"), ("a", "b", "d"), ("a", "b", "c", "d", "e"), ("a",)]:
            self.assertIsNone(node.change_voters(names, 1011.0))
        index = node.change_voters(("a", "b", "c", "d"), 1011.0)
        assert index is not None
        self.assertEqual(node.peers, ("b", "c", "d"))  # from the log on, before it is committed
        self.assertIsNone(node.change_voters(("a", "b", "c"), 1012.0))  # one after the other
        node.on_state_saved()
        self.acknowledge(node, "b", index, 1013.0)
        self.assertLess(node.commit_index, index)  # two of four are no majority
        self.acknowledge(node, "d", index, 1014.0)
        self.assertEqual(node.commit_index, index)

    def test_leader_that_removes_itself_leads_until_that_is_committed(self) -> None:
        node = self.leader_with_lease()
        addition = node.change_voters(("a", "b", "c", "d"), 1011.0)
        assert addition is not None
        node.on_state_saved()
        for peer in "bd":
            self.acknowledge(node, peer, addition, 1014.0)
        removal = node.change_voters(("b", "c", "d"), 1015.0)
        assert removal is not None
        node.on_state_saved()
        for peer in "bc":
            self.acknowledge(node, peer, removal, 1016.0)
        self.assertEqual((node.commit_index, node.role), (removal, Role.FOLLOWER))
        node.tick(1e6)
        self.assertIs(node.role, Role.FOLLOWER)  # and asks for no votes any more

    def test_leader_that_removes_itself_stands_again_until_that_is_committed(self) -> None:
        # Alone with the entry by which it leaves, it won't be elected by itself and lets nobody else be: the
        # two that are left of them would wait for each other for ever.
        node = self.leader_with_lease()
        removal = node.change_voters(("b", "c"), 1011.0)
        assert removal is not None
        node.on_state_saved()
        for now_ms in (1100.0, 1200.0, 1300.0, 1400.0):  # nobody answers any more
            node.tick(now_ms)
        node.take_outgoing()
        node.tick(2000.0)
        self.assertIs(node.role, Role.PRE_CANDIDATE)
        self.assertEqual({receiver for receiver, _ in node.take_outgoing()}, {"b", "c"})
        node.on_message("b", VoteResponse(2, True, True), 2001.0)
        self.assertIs(node.role, Role.PRE_CANDIDATE)  # its own vote does not count among two
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

    def test_voters_of_a_truncated_entry_do_not_count(self) -> None:
        node = self.node()
        voters_entry = LogEntry(1, encode_voters_entry(("a", "b", "c", "d")))
        node.on_message("b", AppendEntries(1, 0, 0, (voters_entry,), 0, 1), 10.0)
        self.assertEqual(node.voters, ("a", "b", "c", "d"))
        node.on_message("c", AppendEntries(2, 0, 0, (LogEntry(2, b""),), 0, 1), 20.0)
        self.assertEqual(node.voters, ("a", "b", "c"))


class Messages(unittest.TestCase):
    def test_bytes_that_are_no_message_raise_a_typed_error(self) -> None:
        for data in [b"", b"\xc1", b"\x90", encode_message(RequestVote(1, 0, 0, False))[:-1]]:
            with self.subTest(data=data), self.assertRaises(InvalidMessageError):
                decode_message(data)
