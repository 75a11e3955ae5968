"""One server as participant of policy changes: by which version it may decide, message by message."""

from __future__ import annotations

import contextlib
import unittest
from random import Random
from typing import Any

from landingshift.policies.errors import UnreadableMessageError
from landingshift.policies.messages import (
    ChangePhase,
    EndedChange,
    LeaseReply,
    LeaseRequest,
    PolicyText,
    Redirect,
)
from landingshift.policies.participant import ChangeParticipant, ParticipantState
from landingshift.policies.policy_settings import PolicySettings
from landingshift.policies.wire import decode_message


class Participants(unittest.TestCase):
    """One server's rules, message by message; a prepared server's leases are 800 ms long."""

    def participant(self, stands_aside: bool = False, conflict: str = "") -> ChangeParticipant:
        policy_settings = PolicySettings(("v",), stands_aside, overlap_ms=1000.0, lease_ms=3000.0)
        return ChangeParticipant(1, policy_settings, lambda _: conflict, Random(1), 0.0)

    def answer(
        self,
        participant: ChangeParticipant,
        now_ms: float,
        version: int = 0,
        change_id: str = "",
        phase: ChangePhase = ChangePhase.NONE,
        ended: EndedChange | None = None,
        is_lease_granted: bool = True,
        sent_at_ms: float | None = None,
    ) -> None:
        """The leader `v` answers a request that was sent at `sent_at_ms`, or just now."""
        participant.send_lease_request(now_ms if sent_at_ms is None else sent_at_ms)
        number = participant.last_request_number
        reply = LeaseReply(number, True, version, change_id, phase, ended, is_lease_granted, ("v",))
        participant.on_message("v", reply, now_ms)
        participant.outbox.clear()

    def started(self, stands_aside: bool = False, conflict: str = "") -> ChangeParticipant:
        """A member with version 0."""
        participant = self.participant(stands_aside, conflict)
        self.answer(participant, 10.0)
        participant.on_message("v", PolicyText("", 0, b""), 11.0)
        return participant

    def prepare(self, participant: ChangeParticipant, now_ms: float) -> None:
        """Brings it through the phases of the change `c`."""
        self.answer(participant, now_ms, change_id="c", phase=ChangePhase.VALIDATE)
        participant.on_message("v", PolicyText("c", 0, b"new"), now_ms)
        self.answer(participant, now_ms, change_id="c", phase=ChangePhase.PREPARE)
        self.assertIs(participant.state, ParticipantState.PREPARED)

    def test_decides_nothing_before_it_is_a_member_and_has_the_policy(self) -> None:
        participant = self.participant()
        self.assertFalse(participant.may_decide(0.0))
        self.answer(participant, 10.0, version=3)
        self.assertFalse(participant.may_decide(10.0))
        participant.on_message("v", PolicyText("", 2, b"older"), 11.0)
        self.assertFalse(participant.may_decide(11.0))
        participant.on_message("v", PolicyText("", 3, b"it"), 12.0)
        self.assertTrue(participant.may_decide(12.0))
        self.assertEqual((participant.version, participant.policy), (3, b"it"))

    def test_between_changes_it_serves_without_a_leader_unless_it_is_to_stand_aside(self) -> None:
        self.assertTrue(self.started().may_decide(1e9))
        participant = self.started(stands_aside=True)
        self.answer(participant, 100.0)
        self.assertTrue(participant.may_decide(3099.0))
        self.assertFalse(participant.may_decide(3100.0))

    def test_prepared_it_decides_under_leases_that_count_from_when_it_asked(self) -> None:
        participant = self.started()
        self.prepare(participant, 1000.0)
        self.assertTrue(participant.may_decide(1799.0))
        self.assertFalse(participant.may_decide(1800.0))
        phase = ChangePhase.PREPARE
        self.answer(participant, 1700.0, change_id="c", phase=phase, sent_at_ms=1200.0)
        self.assertTrue(participant.may_decide(1999.0))
        self.assertFalse(participant.may_decide(2000.0))
        # The commit is being replicated.
        self.answer(participant, 1900.0, change_id="c", phase=phase, is_lease_granted=False)
        self.assertFalse(participant.may_decide(2000.0))

    def test_preparing_shortens_a_lease_that_it_has(self) -> None:
        participant = self.started(stands_aside=True)
        self.answer(participant, 900.0)
        self.prepare(participant, 1000.0)
        self.assertFalse(participant.may_decide(1800.0))

    def test_answer_from_before_the_change_does_not_free_a_prepared_server(self) -> None:
        participant = self.started()
        participant.send_lease_request(990.0)
        late_number = participant.last_request_number  # answered before the change was opened
        self.prepare(participant, 1000.0)
        late_reply = LeaseReply(late_number, True, 0, "", ChangePhase.NONE, None, True, ("v",))
        participant.on_message("v", late_reply, 1900.0)
        self.assertIs(participant.state, ParticipantState.PREPARED)
        # Nor one that does not say what became of this very change.
        self.answer(participant, 1900.0, is_lease_granted=False)
        self.assertIs(participant.state, ParticipantState.PREPARED)
        self.assertFalse(participant.may_decide(1900.0))
        other = EndedChange("other", "taken", 1, "")
        self.answer(participant, 1950.0, ended=other, is_lease_granted=False)
        self.assertIs(participant.state, ParticipantState.PREPARED)

    def test_end_of_its_change_frees_it_with_the_new_version_or_the_old(self) -> None:
        for outcome, version, policy in [("taken", 1, b"new"), ("refused", 0, b"")]:
            participant = self.started()
            self.prepare(participant, 1000.0)
            ended = EndedChange("c", outcome, version, "why")
            self.answer(participant, 2000.0, version=version, ended=ended)
            self.assertEqual(participant.ended_changes, {"c": ended})
            state = (participant.version, participant.policy, participant.state)
            self.assertEqual(state, (version, policy, ParticipantState.NONE))
            self.assertTrue(participant.may_decide(1e9))

    def test_newer_version_stops_it_until_the_policy_is_there(self) -> None:
        participant = self.started()
        self.answer(participant, 100.0, version=2)  # it was taken for gone, and is not
        self.assertFalse(participant.may_decide(100.0))
        participant.on_message("v", PolicyText("", 2, b"two"), 120.0)
        self.assertTrue(participant.may_decide(120.0))

    def test_rejects_a_policy_that_it_cannot_decide_by_and_is_never_prepared(self) -> None:
        participant = self.started(conflict="methods.m: none")
        self.answer(participant, 100.0, change_id="c", phase=ChangePhase.VALIDATE)
        participant.on_message("v", PolicyText("c", 0, b"new"), 101.0)
        self.assertIs(participant.state, ParticipantState.REJECTED)
        self.answer(participant, 200.0, change_id="c", phase=ChangePhase.PREPARE)
        self.assertIs(participant.state, ParticipantState.REJECTED)

    def test_operators_word_counts_only_where_no_leader_has_answered(self) -> None:
        participant = self.participant()
        self.assertEqual(participant.trust_operator(3, b"it"), "")
        self.assertTrue(participant.may_decide(1e9))
        self.assertIn("has version 0", self.started().trust_operator(3, b"it"))
        self.assertIn("stand_aside", self.participant(stands_aside=True).trust_operator(3, b"it"))
        conflicting = self.participant(conflict="methods.m: none")
        self.assertEqual(conflicting.trust_operator(3, b"it"), "methods.m: none")

    def test_server_that_is_redirected_to_and_fro_goes_slower(self) -> None:
        # Two that each take the other for the leader would be asked a hundred times a second each.
        participant = self.participant()
        now_ms = 0.0
        request_count = 0
        while now_ms < 4000.0:
            now_ms = max(now_ms, participant.next_deadline_ms)
            participant.tick(now_ms)
            for receiver, request in participant.outbox:
                assert isinstance(request, LeaseRequest)
                other = "w" if receiver == "v" else "v"
                participant.on_message(receiver, Redirect(request.number, other), now_ms)
                request_count += 1
            participant.outbox.clear()
        self.assertLess(request_count, 40)

    def test_malformed_and_unexpected_messages_change_nothing(self) -> None:
        participant = self.started()
        reply_start = ["told", 2, True, 9, "", ""]
        bodies: list[list[Any]] = [
            [],
            ["told"],
            ["told", 1, 1, 1],
            [*reply_start, ["x"], True, ["v"]],
            [*reply_start, [], True, []],
            [3],
            ["told", 99, True, 9, "", "", [], True, ["v"]],
            ["text", 1, 2, 3],
            ["ask", "x", 1],
            ["no", 99, "why"],
        ]
        for body in bodies:
            with contextlib.suppress(UnreadableMessageError):
                participant.on_message("v", decode_message(body), 50.0)
        state = (participant.version, participant.latest_version, participant.is_member)
        self.assertEqual(state, (0, 0, True))
