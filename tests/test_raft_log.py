"""A voter's log file: what it holds after kills, torn and damaged files, a full disk and a lost sync."""

from __future__ import annotations

import copy
import os
import tempfile
import unittest
from random import Random
from unittest import mock

from landingshift import failpoints
from landingshift.consensus import raft_log
from landingshift.consensus.errors import DamagedLogError, ForeignLogError, LostFrameError, RaftLogError
from landingshift.consensus.messages import LogEntry
from landingshift.consensus.persistent_state import PersistentState
from landingshift.consensus.raft_log import MAX_LOG_FILE_BYTES, RaftLogFile

KEPT_ENTRY_COUNT = 20  # in the test of a bounded file


def with_random_change(state: PersistentState, rng: Random) -> PersistentState:
    """As Raft changes it: a new term, entries that come, go and are covered by a snapshot."""
    changed = copy.deepcopy(state)
    match rng.randrange(5):
        case 0:
            changed.term += 1
            changed.voted_for = rng.choice(("", "a", "b"))
        case 1 if changed.entries:
            del changed.entries[rng.randrange(len(changed.entries)) :]
        case 2 if changed.entries:
            covered_count = rng.randrange(len(changed.entries)) + 1
            compact(changed, covered_count)
            changed.snapshot = rng.randbytes(9)
    for _ in range(rng.randrange(1, 4)):
        changed.entries.append(LogEntry(changed.term, rng.randbytes(rng.randrange(20))))
    return changed


def compact(state: PersistentState, covered_count: int) -> None:
    """Lets the snapshot cover the first entries of the log."""
    state.last_included_index += covered_count
    state.last_included_term = state.entries[covered_count - 1].term
    state.entries = state.entries[covered_count:]


class RaftLogFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "agreement")
        self.addCleanup(failpoints.arm, "")

    def open_log(self) -> RaftLogFile:
        log = RaftLogFile(self.path, "lab", "a")
        self.addCleanup(lambda: self.close(log))
        return log

    @staticmethod
    def close(log: RaftLogFile) -> None:
        if log.file_descriptor >= 0:
            log.close()
            log.file_descriptor = -1

    def saved_states(self, save_count: int, seed: int = 1) -> list[PersistentState]:
        """What was on disk after each save of a new file."""
        rng = Random(seed)
        log = self.open_log()
        states = [copy.deepcopy(log.persistent_state)]
        for _ in range(save_count):
            states.append(with_random_change(states[-1], rng))
            log.save(states[-1])
        self.close(log)
        return states

    def recovered(self) -> PersistentState:
        log = self.open_log()
        self.close(log)
        return log.persistent_state

    def read_file(self) -> bytes:
        with open(self.path, "rb") as file:
            return file.read()

    def write_file(self, data: bytes) -> None:
        with open(self.path, "wb") as file:
            file.write(data)

    def test_recovers_the_last_save_after_many_changes(self) -> None:
        states = self.saved_states(200)
        self.assertEqual(self.recovered(), states[-1])

    def test_kill_at_each_point_leaves_the_last_save_or_the_one_under_way(self) -> None:
        rng = Random(2)
        state = self.saved_states(3)[-1]
        for point in ("policies.written", "policies.synced", "policies.rewritten"):
            max_file_bytes = 0 if point.endswith("rewritten") else MAX_LOG_FILE_BYTES
            with mock.patch.object(raft_log, "MAX_LOG_FILE_BYTES", max_file_bytes):
                log = self.open_log()
                state_after = with_random_change(state, rng)
                failpoints.arm(point)
                with self.assertRaises(failpoints.SimulatedCrashError):
                    log.save(state_after)
                failpoints.arm("")
                self.close(log)
            recovered = self.recovered()
            self.assertIn(recovered, (state, state_after))
            state = recovered

    def test_file_cut_anywhere_in_the_last_frame_is_as_before_that_save(self) -> None:
        states = self.saved_states(6)
        data_before = self.read_file()
        log = self.open_log()
        last_frame_offset = log.end_offset
        log.save(with_random_change(states[-1], Random(5)))
        self.close(log)
        data_after = self.read_file()
        self.assertEqual(data_after[:last_frame_offset], data_before)
        os.unlink(self.path + ".seal")  # the kill came before it
        for cut_offset in range(last_frame_offset, len(data_after)):
            self.write_file(data_after[:cut_offset])
            self.assertEqual(self.recovered(), states[-1])

    def test_damage_anywhere_is_an_error_that_names_the_file(self) -> None:
        self.saved_states(6)
        data = self.read_file()
        for offset in range(0, len(data), 3):
            self.write_file(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
            # With its seal every change of what was synced is noticed, in the last frame too.
            with self.subTest(offset=offset), self.assertRaises(RaftLogError) as caught:
                self.recovered()
            self.assertIn(self.path, str(caught.exception))

    def test_damage_before_the_last_frame_names_offset_and_frame(self) -> None:
        self.saved_states(6)
        data = self.read_file()
        first_frame_offset = data.index(b"\n") + 1
        damaged_offset = first_frame_offset + 8
        self.write_file(data[:damaged_offset] + b"\xff" + data[damaged_offset + 1 :])
        with self.assertRaises(DamagedLogError) as caught:
            self.recovered()
        self.assertEqual((caught.exception.offset, caught.exception.frame_number), (first_frame_offset, 0))

    def test_disk_that_lost_its_last_sync_is_noticed(self) -> None:
        self.saved_states(4)
        earlier_data = self.read_file()
        log = self.open_log()
        log.save(with_random_change(log.persistent_state, Random(3)))
        self.close(log)
        self.write_file(earlier_data)
        with self.assertRaises(LostFrameError) as caught:
            self.recovered()
        self.assertIn("replaced", str(caught.exception))

    def test_log_of_another_fleet_or_server_is_rejected(self) -> None:
        self.saved_states(1)
        for fleet, server in [("lab", "b"), ("other", "a")]:
            with self.assertRaises(ForeignLogError):
                RaftLogFile(self.path, fleet, server)

    def test_full_disk_changes_nothing_and_the_save_may_be_retried(self) -> None:
        states = self.saved_states(3)
        log = self.open_log()
        state_after = with_random_change(states[-1], Random(4))
        write = os.write

        def write_half_then_fail(file_descriptor: int, data: bytes) -> int:
            write(file_descriptor, bytes(data)[: len(data) // 2])
            raise OSError(28, "No space left on device")

        with mock.patch.object(os, "write", write_half_then_fail), self.assertRaises(OSError):
            log.save(state_after)
        self.assertEqual(self.recovered(), states[-1])
        log.save(state_after)
        self.close(log)
        self.assertEqual(self.recovered(), state_after)

    def test_file_stays_bounded(self) -> None:
        with mock.patch.object(raft_log, "MAX_LOG_FILE_BYTES", 20_000):
            rng = Random(7)
            log = self.open_log()
            state = PersistentState()
            for _ in range(600):
                state = with_random_change(state, rng)
                if len(state.entries) > KEPT_ENTRY_COUNT:
                    compact(state, len(state.entries) - KEPT_ENTRY_COUNT)
                log.save(state)
                self.assertLess(os.path.getsize(self.path), 25_000)
            self.close(log)
            self.assertEqual(self.recovered(), state)
