"""A voter's journal: what it finds after kills, torn and damaged files, a full disk and a lost sync."""

from __future__ import annotations

import copy
import os
import tempfile
import unittest
from random import Random
from unittest import mock

from landingshift import failpoints
from landingshift.consensus import raft_log as journals
from landingshift.consensus.errors import RaftLogError
from landingshift.consensus.messages import LogEntry
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft_log import RaftLogFile


def changed(stored: PersistentState, chance: Random) -> PersistentState:
    """As an agreement changes it: a new term, entries that come, go and are covered by a snapshot."""
    s = copy.deepcopy(stored)
    match chance.randrange(5):
        case 0:
            s.term, s.voted_for = s.term + 1, chance.choice(("", "a", "b"))
        case 1 if s.entries:
            del s.entries[chance.randrange(len(s.entries)) :]
        case 2 if s.entries:
            keep = chance.randrange(len(s.entries))
            s.last_included_index, s.last_included_term = (
                s.last_included_index + keep + 1,
                s.entries[keep].term,
            )
            s.entries, s.snapshot = s.entries[keep + 1 :], chance.randbytes(9)
    for _ in range(chance.randrange(1, 4)):
        s.entries.append(LogEntry(s.term, chance.randbytes(chance.randrange(20))))
    return s


class Kept(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "agreement")
        self.addCleanup(failpoints.arm, "")

    def open(self) -> RaftLogFile:
        journal = RaftLogFile(self.path, "lab", "a")
        self.addCleanup(lambda: self.close(journal))
        return journal

    @staticmethod
    def close(journal: RaftLogFile) -> None:
        if journal.file_descriptor >= 0:
            journal.close()
            journal.file_descriptor = -1

    def filled(self, saves: int, seed: int = 1) -> list[PersistentState]:
        """What was on disk after each save."""
        chance, journal = Random(seed), self.open()
        states = [copy.deepcopy(journal.persistent_state)]
        for _ in range(saves):
            states.append(changed(states[-1], chance))
            journal.save(states[-1])
        self.close(journal)
        return states

    def found(self) -> PersistentState:
        journal = self.open()
        self.close(journal)
        return journal.persistent_state

    def test_there_and_back_through_many_changes(self) -> None:
        states = self.filled(200)
        self.assertEqual(self.found(), states[-1])

    def test_a_kill_at_each_point_leaves_the_last_save_or_the_one_under_way(self) -> None:
        chance = Random(2)
        state = self.filled(3)[-1]
        for point in ("policies.written", "policies.synced", "policies.rewritten"):
            with mock.patch.object(
                journals, "MAX_LOG_FILE_BYTES", 0 if point.endswith("rewritten") else 8 << 20
            ):
                journal = self.open()
                after = changed(state, chance)
                failpoints.arm(point)
                with self.assertRaises(failpoints.Crash):
                    journal.save(after)
                failpoints.arm("")
                self.close(journal)
            found = self.found()
            self.assertIn(found, (state, after))
            state = found

    def test_cut_anywhere_in_the_last_frame_it_is_as_before_it_was_synced(self) -> None:
        states = self.filled(6)
        with open(self.path, "rb") as file:
            data = file.read()
        journal = self.open()
        start = journal.end_offset
        journal.save(changed(states[-1], Random(5)))
        self.close(journal)
        with open(self.path, "rb") as file:
            longer = file.read()
        self.assertEqual(longer[:start], data)
        os.unlink(self.path + ".seal")  # the kill came before it
        for cut in range(start, len(longer)):
            with open(self.path, "wb") as file:
                file.write(longer[:cut])
            self.assertEqual(self.found(), states[-1])

    def test_damage_anywhere_is_named_or_was_never_synced(self) -> None:
        self.filled(6)
        with open(self.path, "rb") as file:
            data = file.read()
        for at in range(0, len(data), 3):
            with open(self.path, "wb") as file:
                file.write(data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :])
            # With its seal every change of what was synced is noticed, in the last frame too.
            with self.subTest(at=at), self.assertRaises(RaftLogError) as caught:
                self.found()
            self.assertIn(self.path, str(caught.exception))

    def test_a_disk_that_lost_its_last_sync_is_noticed(self) -> None:
        self.filled(4)
        with open(self.path, "rb") as file:
            earlier = file.read()
        journal = self.open()
        journal.save(changed(journal.persistent_state, Random(3)))
        self.close(journal)
        with open(self.path, "wb") as file:
            file.write(earlier)
        with self.assertRaises(RaftLogError) as caught:
            self.found()
        self.assertIn("replaced", str(caught.exception))

    def test_anothers_journal_is_refused(self) -> None:
        self.filled(1)
        for fleet, name in [("lab", "b"), ("other", "a")]:
            with self.assertRaises(RaftLogError):
                RaftLogFile(self.path, fleet, name)

    def test_a_full_disk_changes_nothing_and_may_be_tried_again(self) -> None:
        states = self.filled(3)
        journal = self.open()
        after = changed(states[-1], Random(4))
        write = os.write

        def half(fd: int, data: bytes) -> int:
            write(fd, bytes(data)[: len(data) // 2])
            raise OSError(28, "No space left on device")

        with mock.patch.object(os, "write", half), self.assertRaises(OSError):
            journal.save(after)
        self.assertEqual(self.found(), states[-1])
        journal.save(after)
        self.close(journal)
        self.assertEqual(self.found(), after)

    def test_it_stays_bounded(self) -> None:
        with mock.patch.object(journals, "MAX_LOG_FILE_BYTES", 20_000):
            chance, journal = Random(7), self.open()
            state = PersistentState()
            for _ in range(600):
                state = changed(state, chance)
                state.entries = state.entries[-20:] if len(state.entries) <= 20 else state.entries
                if len(state.entries) > 20:
                    drop = len(state.entries) - 20
                    state.last_included_index, state.last_included_term = (
                        state.last_included_index + drop,
                        state.entries[drop - 1].term,
                    )
                    state.entries = state.entries[drop:]
                journal.save(state)
                self.assertLess(os.path.getsize(self.path), 25_000)
            self.close(journal)
            self.assertEqual(self.found(), state)
