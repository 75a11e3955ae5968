"""Tests of the Raft log file: recovery after kills, torn writes, damage, a full disk and lost syncs."""

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

KEPT_ENTRY_COUNT = 20  # log entries kept by the test of the file size


def with_random_change(state: PersistentState, rng: Random) -> PersistentState:
    """Returns `state` after random changes that Raft can make to term, vote, snapshot and entries."""
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
    """Replaces the first entries of the log with a snapshot."""
    state.last_included_index += covered_count
    state.last_included_term = state.entries[covered_count - 1].term
    state.entries = state.entries[covered_count:]


class RaftLogFileTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = os.path.join(directory.name, "agreement")
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
        """Saves random changes to a new file; returns the state before the first and after each save."""
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

    def test_recovers_the_last_saved_state_after_many_changes(self) -> None:
        states = self.saved_states(200)
        self.assertEqual(self.recovered(), states[-1])

    def test_kill_during_a_save_leaves_the_old_or_the_new_state(self) -> None:
        rng = Random(2)
        state = self.saved_states(3)[-1]
        for failpoint in ("policies.written", "policies.synced", "policies.rewritten"):
            max_file_bytes = 0 if failpoint.endswith("rewritten") else MAX_LOG_FILE_BYTES
            with mock.patch.object(raft_log, "MAX_LOG_FILE_BYTES", max_file_bytes):
                log = self.open_log()
                new_state = with_random_change(state, rng)
                failpoints.arm(failpoint)
                with self.assertRaises(failpoints.SimulatedCrashError):
                    log.save(new_state)
                failpoints.arm("")
                self.close(log)
            recovered = self.recovered()
            self.assertIn(recovered, (state, new_state))
            state = recovered

    def test_incomplete_last_frame_is_ignored(self) -> None:
        states = self.saved_states(6)
        data_before = self.read_file()
        log = self.open_log()
        last_frame_offset = log.end_offset
        log.save(with_random_change(states[-1], Random(5)))
        self.close(log)
        data_after = self.read_file()
        self.assertEqual(data_after[:last_frame_offset], data_before)
        os.unlink(self.path + ".seal")  # the process was killed before it wrote the seal
        for cut_offset in range(last_frame_offset, len(data_after)):
            self.write_file(data_after[:cut_offset])
            self.assertEqual(self.recovered(), states[-1])

    def test_damage_at_any_offset_raises_an_error_with_the_path(self) -> None:
        self.saved_states(6)
        data = self.read_file()
        for offset in range(0, len(data), 3):
            self.write_file(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
            # The seal detects damage in the last frame too.
            with self.subTest(offset=offset), self.assertRaises(RaftLogError) as caught:
                self.recovered()
            self.assertIn(self.path, str(caught.exception))

    def test_damage_before_the_last_frame_raises_an_error_with_offset_and_frame_number(self) -> None:
        self.saved_states(6)
        data = self.read_file()
        first_frame_offset = data.index(b"\n") + 1
        damaged_offset = first_frame_offset + 8
        self.write_file(data[:damaged_offset] + b"\xff" + data[damaged_offset + 1 :])
        with self.assertRaises(DamagedLogError) as caught:
            self.recovered()
        self.assertEqual((caught.exception.offset, caught.exception.frame_number), (first_frame_offset, 0))

    def test_lost_last_sync_is_detected(self) -> None:
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

    def test_failed_save_on_a_full_disk_keeps_the_old_state_and_can_be_retried(self) -> None:
        states = self.saved_states(3)
        log = self.open_log()
        new_state = with_random_change(states[-1], Random(4))
        write = os.write

        def write_half_then_fail(file_descriptor: int, data: bytes) -> int:
            write(file_descriptor, bytes(data)[: len(data) // 2])
            raise OSError(28, "No space left on device")

        with mock.patch.object(os, "write", write_half_then_fail), self.assertRaises(OSError):
            log.save(new_state)
        self.assertEqual(self.recovered(), states[-1])
        log.save(new_state)
        self.close(log)
        self.assertEqual(self.recovered(), new_state)

    def test_file_size_stays_bounded(self) -> None:
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
