"""Tests the state machine of hot restarts, the channel between the two processes and the request journal."""

from __future__ import annotations

import array
import os
import random
import signal
import socket
import unittest
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.hot_restart.channel import FRAME_HEADER, MAX_FRAME_DESCRIPTORS, Channel, Frame
from landingshift.hot_restart.errors import InvalidFrameError, JournalFullError
from landingshift.hot_restart.request_journal import RecordKind, RequestJournal
from landingshift.hot_restart.state_machine import (
    NEW_PROCESS_SERVES,
    OLD_PROCESS_SERVES,
    TRANSITIONS,
    HotRestart,
    RestartAction,
    RestartEvent,
    RestartState,
    RestartTimeouts,
)

EVENTS_TO_PROBATION = [
    RestartEvent.REQUESTED,
    RestartEvent.NEW_PROCESS_READY,
    RestartEvent.REHEARSAL_PASSED,
    RestartEvent.STATE_SENT,
    RestartEvent.STATE_IMPORTED,
]
STATES_IN_PROGRESS = (
    RestartState.STARTING,
    RestartState.REHEARSING,
    RestartState.FROZEN,
    RestartState.TRANSFERRED,
    RestartState.PROBATION,
)
JOURNAL_BYTES = 1 << 20


class StateMachineTest(unittest.TestCase):
    def restart_in(self, state: RestartState) -> HotRestart:
        """Returns a hot restart that has reached `state`."""
        restart = HotRestart(RestartTimeouts(), 0.0)
        for event in EVENTS_TO_PROBATION:
            if restart.state is state:
                break
            restart.on_event(event, 0.0)
        self.assertIs(restart.state, state)
        return restart

    def test_completes_after_the_minimum_probation_with_enough_answers(self) -> None:
        timeouts = RestartTimeouts(probation_ms=1000.0, probation_answer_count=10)
        restart = HotRestart(timeouts, 0.0)
        actions = [restart.on_event(event, now_ms) for now_ms, event in enumerate(EVENTS_TO_PROBATION)]
        self.assertEqual(
            actions,
            [
                (RestartAction.START_NEW_PROCESS,),
                (RestartAction.SEND_REHEARSAL_STATE,),
                (RestartAction.FREEZE_AND_SEND_STATE,),
                (),
                (RestartAction.ACTIVATE_NEW_PROCESS, RestartAction.WATCH_JOURNAL),
            ],
        )
        self.assertEqual(restart.on_heartbeat(50, 400), ())
        self.assertEqual(restart.on_heartbeat(60, 800), ())
        self.assertEqual(restart.on_heartbeat(70, 1100), (RestartAction.EXIT_SILENTLY,))
        self.assertIs(restart.state, RestartState.COMPLETED)

    def test_rolls_back_when_a_state_exceeds_its_timeout(self) -> None:
        kill, resume = RestartAction.KILL_NEW_PROCESS, RestartAction.RESUME
        for state, timeout_ms, actions in [
            (RestartState.STARTING, 15_000, (kill,)),
            (RestartState.REHEARSING, 5000, (kill,)),
            (RestartState.FROZEN, 20, (kill, resume)),
            (RestartState.TRANSFERRED, 20, (kill, resume)),
            (RestartState.PROBATION, 500, (kill, RestartAction.RESUME_FROM_JOURNAL)),
        ]:
            with self.subTest(state=state):
                restart = self.restart_in(state)
                self.assertEqual(restart.on_timer(timeout_ms - 1), ())
                self.assertEqual(restart.on_timer(timeout_ms), actions)
                self.assertIs(restart.state, RestartState.ROLLED_BACK)
                self.assertIn(state.value, restart.reason)

    def test_few_answers_prolong_probation_up_to_its_maximum(self) -> None:
        restart = self.restart_in(RestartState.PROBATION)
        for now_ms in range(400, 20_000, 400):
            self.assertEqual(restart.on_heartbeat(3, now_ms), ())
        self.assertEqual(restart.on_heartbeat(3, 20_000), (RestartAction.EXIT_SILENTLY,))

    def test_shutdown_before_probation_rolls_back_and_refuses_later_requests(self) -> None:
        states = (RestartState.IDLE, *STATES_IN_PROGRESS[:-1])
        for state in states:
            with self.subTest(state=state):
                restart = self.restart_in(state)
                actions = restart.on_event(RestartEvent.SHUTDOWN_REQUESTED, 1.0)
                self.assertEqual(actions[-1], RestartAction.DRAIN)
                self.assertEqual(restart.on_event(RestartEvent.SHUTDOWN_REQUESTED, 2.0), ())
                self.assertEqual(restart.on_event(RestartEvent.REQUESTED, 3.0), (RestartAction.REFUSE,))

    def test_old_process_drains_if_the_new_one_fails_after_a_forwarded_shutdown(self) -> None:
        restart = self.restart_in(RestartState.PROBATION)
        actions = restart.on_event(RestartEvent.SHUTDOWN_REQUESTED, 1.0)
        self.assertEqual(actions, (RestartAction.FORWARD_SHUTDOWN,))
        self.assertEqual(
            restart.on_event(RestartEvent.FAILED, 2.0),
            (RestartAction.KILL_NEW_PROCESS, RestartAction.RESUME_FROM_JOURNAL, RestartAction.DRAIN),
        )

    def test_refuses_a_second_restart_while_one_is_in_progress(self) -> None:
        for state in STATES_IN_PROGRESS:
            with self.subTest(state=state):
                restart = self.restart_in(state)
                self.assertEqual(restart.on_event(RestartEvent.REQUESTED, 1.0), (RestartAction.REFUSE,))
                self.assertIs(restart.state, state)

    def test_each_takeover_stops_one_process_before_the_other_serves(self) -> None:
        for (state, event), transition in TRANSITIONS.items():
            with self.subTest(state=state, event=event):
                next_state, actions = transition.next_state, transition.actions
                returns_to_old_process = next_state in OLD_PROCESS_SERVES
                if state in NEW_PROCESS_SERVES and returns_to_old_process:
                    expected = (RestartAction.KILL_NEW_PROCESS, RestartAction.RESUME_FROM_JOURNAL)
                    self.assertEqual(actions[:2], expected)
                if state in (RestartState.FROZEN, RestartState.TRANSFERRED) and returns_to_old_process:
                    self.assertEqual(actions[:2], (RestartAction.KILL_NEW_PROCESS, RestartAction.RESUME))
                if next_state in NEW_PROCESS_SERVES and state not in NEW_PROCESS_SERVES:
                    expected_start = (RestartState.TRANSFERRED, RestartAction.ACTIVATE_NEW_PROCESS)
                    self.assertEqual((state, actions[0]), expected_start)

    @settings(max_examples=300)
    @given(st.lists(st.tuples(st.sampled_from(RestartEvent), st.floats(0.0, 600.0)), max_size=40))
    def test_after_any_events_the_old_process_serves_or_a_timeout_is_set(
        self, events: list[tuple[RestartEvent, float]]
    ) -> None:
        restart = HotRestart(RestartTimeouts(), 0.0)
        now_ms = 0.0
        is_frozen = False
        new_process_exists = False
        for event, elapsed_ms in events:
            now_ms += elapsed_ms
            for actions in (restart.on_timer(now_ms), restart.on_event(event, now_ms)):
                for action in actions:
                    if action is RestartAction.START_NEW_PROCESS:
                        new_process_exists = True
                    if action is RestartAction.KILL_NEW_PROCESS:
                        new_process_exists = False
                    if action is RestartAction.FREEZE_AND_SEND_STATE:
                        is_frozen = True
                    if action in (RestartAction.RESUME, RestartAction.RESUME_FROM_JOURNAL):
                        self.assertFalse(new_process_exists)
                        is_frozen = False
                    self.assertFalse(action is RestartAction.DRAIN and is_frozen)
            self.assertEqual(is_frozen, restart.state not in OLD_PROCESS_SERVES)
            if restart.state not in (*OLD_PROCESS_SERVES, RestartState.COMPLETED):
                self.assertLess(restart.next_check_in_ms(now_ms), float("inf"))

    def test_every_event_is_accepted_in_every_state(self) -> None:
        for state, event in product(RestartState, RestartEvent):
            restart = HotRestart(RestartTimeouts(), 0.0)
            restart.state = state
            restart.on_event(event, 1.0)


class ChannelTest(unittest.TestCase):
    def connect(self) -> tuple[Channel, Channel, socket.socket]:
        """Returns two connected channels and the socket of the first."""
        sending_socket, receiving_socket = socket.socketpair()
        for sock in (sending_socket, receiving_socket):
            sock.setblocking(False)
            self.addCleanup(sock.close)
        return Channel(sending_socket), Channel(receiving_socket), sending_socket

    def transfer(self, sender: Channel, receiver: Channel, count: int) -> list[Frame]:
        """Returns the `count` frames that the sender has queued, as the receiver decodes them."""
        frames: list[Frame] = []
        while len(frames) < count:
            sender.flush()
            frames += receiver.receive()
        return frames

    def test_frames_arrive_with_their_bodies_and_descriptors(self) -> None:
        sender, receiver, _ = self.connect()
        open_count_before = len(os.listdir("/proc/self/fd"))
        descriptor_counts = (0, 3, MAX_FRAME_DESCRIPTORS, 1, 100)
        body_sizes = (0, 7, 300_000, 1, 1 << 20)
        sent_frames = []
        for kind, (descriptor_count, body_bytes) in enumerate(
            zip(descriptor_counts, body_sizes, strict=True)
        ):
            descriptors = [os.memfd_create(f"{kind}") for _ in range(descriptor_count)]
            for number, descriptor in enumerate(descriptors):
                os.write(descriptor, b"%d %d" % (kind, number))
            frame = Frame(kind, random.Random(kind).randbytes(body_bytes), descriptors)
            sent_frames.append(frame)
            sender.send(frame)
        received_frames = self.transfer(sender, receiver, len(sent_frames))
        for sent, received in zip(sent_frames, received_frames, strict=True):
            self.assertEqual(
                (sent.kind, sent.body, len(sent.descriptors)),
                (received.kind, received.body, len(received.descriptors)),
            )
            for number, descriptor in enumerate(received.descriptors):
                self.assertEqual(os.pread(descriptor, 20, 0), b"%d %d" % (sent.kind, number))
            for descriptor in (*sent.descriptors, *received.descriptors):
                os.close(descriptor)
        self.assertEqual(len(os.listdir("/proc/self/fd")), open_count_before)

    def test_rejects_invalid_frames_and_leaks_no_descriptors(self) -> None:
        open_count_before = len(os.listdir("/proc/self/fd"))
        for header in [
            FRAME_HEADER.pack(1, 1, 0, 0),  # the previous version
            FRAME_HEADER.pack(3, 1, 0, 0),
            FRAME_HEADER.pack(2, 1, MAX_FRAME_DESCRIPTORS + 1, 0),
            FRAME_HEADER.pack(2, 1, 0, 1 << 31),
            FRAME_HEADER.pack(2, 1, 3, 0),
        ]:
            with self.subTest(header=header):
                sender, receiver, sending_socket = self.connect()
                rights = array.array("i", [0, 1])
                sending_socket.sendmsg([header], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, rights)])
                self.assertRaises(InvalidFrameError, receiver.receive)
                receiver.close()
                sender.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), open_count_before)

    def test_raises_eof_error_when_the_peer_has_closed(self) -> None:
        sender, receiver, _ = self.connect()
        sender.close()
        self.assertRaises(EOFError, receiver.receive)


class RequestJournalTest(unittest.TestCase):
    def test_reads_the_records_of_a_killed_writer(self) -> None:
        memory = os.memfd_create("journal")
        journal = RequestJournal(memory, JOURNAL_BYTES, is_new=True)
        self.addCleanup(journal.close)
        child = os.fork()
        if not child:
            for subject_id in range(1000):
                journal.write(RecordKind.BYTES_READ, subject_id, b"x" * (subject_id % 50))
            os.kill(os.getpid(), signal.SIGKILL)
        os.waitpid(child, 0)
        reader = RequestJournal.open(os.dup(memory), JOURNAL_BYTES)
        self.addCleanup(reader.close)
        records = list(reader.read())
        self.assertEqual(
            [(record.kind, record.subject_id, record.data) for record in records],
            [(RecordKind.BYTES_READ, number, b"x" * (number % 50)) for number in range(1000)],
        )
        self.assertEqual(list(reader.read(records[-1].end_offset)), [])
        later_records = reader.read(records[499].end_offset)
        self.assertEqual([record.subject_id for record in later_records], list(range(500, 1000)))

    def test_full_journal_rejects_records_and_keeps_earlier_ones(self) -> None:
        journal = RequestJournal.create(4096)
        self.addCleanup(journal.close)
        journal.write(RecordKind.RPC_ANSWERED, 1, bytes(3000))
        self.assertRaises(JournalFullError, journal.write, RecordKind.RPC_ANSWERED, 2, bytes(3000))
        journal.write(RecordKind.CONNECTION_CLOSED, 3)
        self.assertEqual(
            [(record.kind, record.subject_id) for record in journal.read()],
            [(RecordKind.RPC_ANSWERED, 1), (RecordKind.CONNECTION_CLOSED, 3)],
        )

    def test_rejects_memory_without_a_journal_of_that_size(self) -> None:
        for capacity_bytes, message in ((4096, "not contain a request journal"), (100, "4096 bytes")):
            descriptor = os.memfd_create("other")
            os.ftruncate(descriptor, 4096)
            with self.subTest(size=capacity_bytes), self.assertRaisesRegex(ValueError, message):
                RequestJournal.open(descriptor, capacity_bytes)
            os.close(descriptor)

    @given(st.binary(min_size=40, max_size=400))
    def test_reads_arbitrary_bytes_without_an_error(self, data: bytes) -> None:
        journal = RequestJournal.create(4096)
        journal.memory[8 : 8 + len(data)] = data
        for record in journal.read():
            self.assertIn(record.kind, RecordKind)
        journal.close()


if __name__ == "__main__":
    unittest.main()
