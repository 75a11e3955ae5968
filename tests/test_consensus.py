"""One sequence among voters that crash, stop and are cut off: whole histories in virtual time, checked."""

from __future__ import annotations

import copy
import unittest
from random import Random
from typing import Any

import msgspec

from landingshift.consensus.leader_lease import LEASE_FRACTION
from landingshift.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    LogEntry,
    RequestVote,
    VoteResponse,
)
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft import MAX_LOG_ENTRY_COUNT, RaftNode, RaftTimeouts, Role
from landingshift.consensus.voters import VOTERS_ENTRY_PREFIX

TIMES = RaftTimeouts(heartbeat_interval_ms=20.0, election_timeout_ms=120.0)


class Hall:
    """Voters over disks and a network with faults drawn from a seed; `check` looks after each step.

    `forgets`: a voter's vote is not on disk when it answers, which must be seen to break what is promised.
    """

    def __init__(self, seed: int, count: int = 3, forgets: bool = False) -> None:
        self.chance, self.now = Random(seed), 0.0
        self.names = tuple("abcdefg"[:count])
        self.forgets = forgets
        self.disks = {n: PersistentState() for n in self.names}
        self.up: dict[str, RaftNode] = {}
        self.until = dict.fromkeys(self.names, 0.0)  # stopped till then
        self.way: list[tuple[float, str, str, Any]] = []
        self.cut: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.taken: list[LogEntry] = []  # the one sequence, as first seen committed
        self.proposed = self.faults = 0
        self.loss = 0.05
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        stored = copy.deepcopy(self.disks[name])
        self.up[name] = RaftNode(name, self.names, stored, TIMES, self.chance, self.now)

    def save(self, name: str) -> None:
        voter = self.up[name]
        stored = voter.unsaved_state()
        if stored is not None:
            had = self.disks[name]
            self.disks[name] = copy.deepcopy(stored)
            if self.forgets:
                self.disks[name].term, self.disks[name].voted_for = had.term, had.voted_for
            voter.on_state_saved()

    def pass_on(self, name: str) -> None:
        self.save(name)
        for to, message in self.up[name].take_outgoing():
            for _ in range(self.chance.choice((1, 1, 1, 1, 2))):
                if self.chance.random() >= self.loss:
                    late = self.chance.choice((1.0, 2.0, 5.0, 5.0, 60.0))
                    self.way.append((self.now + self.chance.uniform(0.5, 1.0) * late, name, to, message))

    def step(self, faults: bool = True) -> None:
        chance = self.chance
        self.now += chance.uniform(0.5, 6.0)
        if faults:
            self.fault()
        due = [e for e in self.way if e[0] <= self.now]
        self.way = [e for e in self.way if e[0] > self.now]
        for _, sender, to, message in due:
            if to in self.up and (sender, to) not in self.cut:
                if self.until[to] > self.now:
                    self.way.append((self.until[to], sender, to, message))
                else:
                    self.up[to].on_message(sender, message, self.now)
                    self.pass_on(to)
        for name, voter in list(self.up.items()):
            if self.until[name] <= self.now:
                voter.tick(self.now)
                if voter.role is Role.LEADER and chance.random() < 0.05:
                    self.proposed += voter.propose(b"%d" % self.proposed) is not None
                if (
                    voter.commit_index - voter.persistent_state.last_included_index > 12
                    and chance.random() < 0.2
                ):
                    upto = min(voter.commit_index - chance.randrange(6), len(self.taken))
                    voter.compact(upto, repr(self.taken[:upto]).encode())
                self.pass_on(name)
        self.check()

    def fault(self) -> None:
        chance, name = self.chance, self.chance.choice(self.names)
        match chance.randrange(160):
            case 0 if name in self.up:
                if chance.random() < 0.5:
                    del self.up[name]  # between write and sync: what was not saved is gone
                else:
                    self.save(name)
                    del self.up[name]
            case 1 | 2 | 3 if name not in self.up:
                self.start(name)
            case 4:
                self.until[name] = self.now + chance.uniform(20.0, 500.0)
            case 5:
                self.cut.add((name, chance.choice(self.names)))
            case 6 | 7:
                self.cut.clear()
            case 8:
                half = set(chance.sample(self.names, len(self.names) // 2))
                self.cut = {(a, b) for a in self.names for b in self.names if (a in half) != (b in half)}
            case _:
                return
        self.faults += 1

    def check(self) -> None:
        for name, voter in self.up.items():
            if voter.role is Role.LEADER:
                who = self.leaders.setdefault(voter.current_term, name)
                assert who == name, f"two leaders in term {voter.current_term}"
            base = voter.persistent_state.last_included_index
            for i, entry in enumerate(voter.entries_between(base, voter.commit_index), base):
                if i < len(self.taken):
                    assert self.taken[i] == entry, f"entry {i} was {self.taken[i]}, at {name} it is {entry}"
                else:
                    assert i == len(self.taken), f"{name} has entry {i} as taken before those below it"
                    self.taken.append(entry)
            if base:
                assert voter.persistent_state.snapshot == repr(self.taken[:base]).encode(), (
                    "a snapshot of something else"
                )


def play(seed: int, steps: int = 500, **hall: Any) -> Hall:
    played = Hall(seed, **hall)
    for _ in range(steps):
        played.step()
    return played


class Histories(unittest.TestCase):
    def test_one_sequence_through_crashes_stops_and_cuts(self) -> None:
        taken = faults = 0
        for seed in range(150):
            hall = play(seed, count=3 if seed % 3 else 5)
            taken += len(hall.taken)
            faults += hall.faults
            # With the faults gone it goes on, and all come to the same end.
            hall.cut.clear()
            hall.loss = 0.0
            for name in hall.names:
                if name not in hall.up:
                    hall.start(name)
            before = len(hall.taken)
            for _ in range(600):
                hall.step(faults=False)
            self.assertGreater(len(hall.taken), before, seed)
            leaders = [v for v in hall.up.values() if v.role is Role.LEADER]
            self.assertEqual(len(leaders), 1)
            self.assertGreaterEqual(min(v.commit_index for v in hall.up.values()), before)
        self.assertGreater(taken, 1000)
        self.assertGreater(faults, 1000)

    def test_a_vote_that_is_not_on_disk_makes_two_leaders(self) -> None:
        with self.assertRaises(AssertionError):
            for seed in range(400):
                play(seed, forgets=True)


class Rules(unittest.TestCase):
    def voter(self, **stored: Any) -> RaftNode:
        return RaftNode("a", ("a", "b", "c"), PersistentState(**stored), TIMES, Random(1), 0.0)

    def lead(self) -> RaftNode:
        voter = self.voter()
        voter.tick(1000.0)
        voter.on_message("b", VoteResponse(1, True, True), 1001.0)
        voter.on_state_saved()
        voter.on_message("b", VoteResponse(1, True, False), 1002.0)
        self.assertIs(voter.role, Role.LEADER)
        voter.on_state_saved()
        return voter

    def test_nothing_goes_out_before_it_is_on_disk(self) -> None:
        voter = self.voter()
        voter.on_message("b", RequestVote(3, 0, 0, False), 200.0)
        self.assertEqual(voter.take_outgoing(), [])
        assert voter.unsaved_state() is not None
        voter.on_state_saved()
        self.assertEqual(voter.take_outgoing(), [("b", VoteResponse(3, True, False))])
        voter.on_message("c", RequestVote(3, 9, 2, False), 201.0)  # one vote a term
        self.assertEqual(voter.take_outgoing(), [("c", VoteResponse(3, False, False))])

    def test_who_hears_a_leader_gives_no_pre_vote(self) -> None:
        for since, given in [(50.0, False), (500.0, True)]:
            voter = self.voter()
            voter.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            voter.on_state_saved()
            voter.take_outgoing()
            voter.on_message("c", RequestVote(2, 5, 1, True), 10.0 + since)
            self.assertEqual(voter.take_outgoing(), [("c", VoteResponse(2, given, True))])
            self.assertEqual(voter.current_term, 1)  # being asked disturbs nobody

    def test_who_heard_a_leader_gives_no_vote_either_so_that_it_can_be_sure(self) -> None:
        # What a sure leader says rests on nobody else being chosen: a vote within `wait` would break it.
        for since, term in [(50.0, 1), (500.0, 2)]:
            voter = self.voter()
            voter.on_message("b", AppendEntries(1, 0, 0, (), 0, 1), 10.0)
            voter.on_state_saved()
            voter.on_message("c", RequestVote(2, 5, 1, False), 10.0 + since)
            self.assertEqual(voter.current_term, term)

    def test_a_leader_is_sure_as_long_as_a_majority_answered_lately(self) -> None:
        voter = self.lead()
        self.assertFalse(
            voter.has_leader_lease(1002.0)
        )  # its first entry is not taken yet: older ones may be unknown
        voter.on_message("b", AppendEntriesResponse(1, True, 1, voter.heartbeat_round), 1010.0)
        self.assertTrue(voter.has_leader_lease(1010.0))
        # From when the round went out, not from when its answer came: it may have stood still between.
        self.assertFalse(voter.has_leader_lease(1002.0 + TIMES.election_timeout_ms * LEASE_FRACTION))
        voter.tick(1100.0)
        voter.on_message("b", AppendEntriesResponse(1, True, 1, voter.heartbeat_round), 1190.0)
        self.assertTrue(voter.has_leader_lease(1200.0))
        voter.on_message(
            "b", AppendEntriesResponse(1, True, 1, voter.heartbeat_round - 1), 1195.0
        )  # late: an older round proves less
        self.assertTrue(voter.has_leader_lease(1200.0))
        self.assertFalse(voter.has_leader_lease(1100.0 + TIMES.election_timeout_ms * LEASE_FRACTION))

    def test_a_leader_without_a_majority_steps_down(self) -> None:
        voter = self.lead()
        now = 1002.0
        while voter.role is Role.LEADER and now < 5000.0:
            now += 10.0
            voter.tick(now)
            voter.on_state_saved()
        self.assertLess(now, 1002.0 + 2.0 * TIMES.election_timeout_ms)
        self.assertIsNone(voter.propose(b"x"))

    def test_a_leader_counts_its_own_entry_only_once_it_is_on_disk(self) -> None:
        voter = self.lead()
        index = voter.propose(b"x")
        assert index is not None
        voter.on_message("b", AppendEntriesResponse(1, True, index, voter.heartbeat_round), 1010.0)
        self.assertLess(voter.commit_index, index)
        voter.on_state_saved()
        self.assertEqual(voter.commit_index, index)

    def test_voters_change_one_at_a_time_and_only_by_a_sure_leader(self) -> None:
        voter = self.lead()
        self.assertIsNone(voter.change_voters(("a", "b", "c", "d"), 1003.0))  # it is not sure yet
        voter.on_message("b", AppendEntriesResponse(1, True, 1, voter.heartbeat_round), 1010.0)
        for names in [("a", "b", "c"), ("a", "b", "d"), ("a", "b", "c", "d", "e"), ("a",)]:
            self.assertIsNone(voter.change_voters(names, 1011.0))
        index = voter.change_voters(("a", "b", "c", "d"), 1011.0)
        assert index is not None
        self.assertEqual(voter.peers, ("b", "c", "d"))  # from the log on, before it is taken
        self.assertIsNone(voter.change_voters(("a", "b", "c"), 1012.0))  # one after the other
        voter.on_state_saved()
        voter.on_message("b", AppendEntriesResponse(1, True, index, voter.heartbeat_round), 1013.0)
        self.assertLess(voter.commit_index, index)  # two of four are no majority
        voter.on_message("d", AppendEntriesResponse(1, True, index, voter.heartbeat_round), 1014.0)
        self.assertEqual(voter.commit_index, index)
        gone = voter.change_voters(("b", "c", "d"), 1015.0)
        assert gone is not None
        voter.on_state_saved()
        for who in "bc":
            voter.on_message(who, AppendEntriesResponse(1, True, gone, voter.heartbeat_round), 1016.0)
        self.assertEqual(
            (voter.commit_index, voter.role), (gone, Role.FOLLOWER)
        )  # it led its own leaving to the end
        voter.tick(1e6)
        self.assertIs(voter.role, Role.FOLLOWER)  # and asks for no votes any more

    def test_one_that_led_its_own_leaving_stands_again_until_that_is_taken(self) -> None:
        # Alone with the entry by which it leaves, it won't be elected by itself and lets nobody else be: the
        # two that are left of them would wait for each other for ever.
        voter = self.lead()
        voter.on_message("b", AppendEntriesResponse(1, True, 1, voter.heartbeat_round), 1010.0)
        gone = voter.change_voters(("b", "c"), 1011.0)
        assert gone is not None
        voter.on_state_saved()
        for now in (1100.0, 1200.0, 1300.0, 1400.0):  # nobody answers any more
            voter.tick(now)
        voter.take_outgoing()
        voter.tick(2000.0)
        self.assertIs(voter.role, Role.PRE_CANDIDATE)
        self.assertEqual({to for to, _ in voter.take_outgoing()}, {"b", "c"})
        voter.on_message("b", VoteResponse(2, True, True), 2001.0)
        self.assertIs(voter.role, Role.PRE_CANDIDATE)  # its own vote does not count among two
        voter.on_message("c", VoteResponse(2, True, True), 2002.0)
        for who in "bc":
            voter.on_state_saved()
            voter.on_message(who, VoteResponse(2, True, False), 2003.0)
        self.assertIs(voter.role, Role.LEADER)
        voter.on_state_saved()
        for who in "bc":
            voter.on_message(
                who, AppendEntriesResponse(2, True, voter.last_log_index, voter.heartbeat_round), 2010.0
            )
        self.assertEqual((voter.commit_index, voter.role), (voter.last_log_index, Role.FOLLOWER))
        voter.tick(1e6)
        self.assertIs(voter.role, Role.FOLLOWER)

    def test_voters_that_were_cut_off_the_log_do_not_count(self) -> None:
        voter = self.voter()
        names = LogEntry(1, VOTERS_ENTRY_PREFIX + msgspec.msgpack.encode(["a", "b", "c", "d"]))
        voter.on_message("b", AppendEntries(1, 0, 0, (names,), 0, 1), 10.0)
        self.assertEqual(voter.voters, ("a", "b", "c", "d"))
        voter.on_message("c", AppendEntries(2, 0, 0, (LogEntry(2, b""),), 0, 1), 20.0)
        self.assertEqual(voter.voters, ("a", "b", "c"))

    def test_strangers_are_not_heard_and_the_log_is_bounded(self) -> None:
        voter = self.lead()
        voter.on_message("z", AppendEntries(99, 0, 0, (), 0, 1), 1010.0)
        self.assertIs(voter.role, Role.LEADER)
        while voter.propose(b"x") is not None:
            voter.take_outgoing()
        self.assertEqual(len(voter.persistent_state.entries), MAX_LOG_ENTRY_COUNT)
