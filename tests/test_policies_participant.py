"""Tests of the participant of policy changes: by which version it may decide after each message."""

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


class ParticipantTest(unittest.TestCase):
    """Rules of the participant; with these settings the leases of a prepared server last 800 ms."""

    def new_participant(self, stands_aside: bool = False, conflict: str = "") -> ChangeParticipant:
        policy_settings = PolicySettings(("v",), stands_aside, overlap_ms=1000.0, lease_ms=3000.0)
        return ChangeParticipant(1, policy_settings, lambda _: conflict, Random(1), 0.0)

    def deliver_reply(
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
        """Delivers the reply of leader `v` to a request sent at `sent_at_ms`, by default at `now_ms`."""
        participant.send_lease_request(now_ms if sent_at_ms is None else sent_at_ms)
        number = participant.last_request_number
        reply = LeaseReply(number, True, version, change_id, phase, ended, is_lease_granted, ("v",))
        participant.on_message("v", reply, now_ms)
        participant.outbox.clear()

    def new_member(self, stands_aside: bool = False, conflict: str = "") -> ChangeParticipant:
        """Returns a member that decides by version 0."""
        participant = self.new_participant(stands_aside, conflict)
        self.deliver_reply(participant, 10.0)
        participant.on_message("v", PolicyText("", 0, b""), 11.0)
        return participant

    def prepare(self, participant: ChangeParticipant, now_ms: float) -> None:
        """Takes the participant through the phases of change `c` until it is prepared."""
        self.deliver_reply(participant, now_ms, change_id="c", phase=ChangePhase.VALIDATE)
        participant.on_message("v", PolicyText("c", 0, b"new"), now_ms)
        self.deliver_reply(participant, now_ms, change_id="c", phase=ChangePhase.PREPARE)
        self.assertIs(participant.state, ParticipantState.PREPARED)

    def test_server_does_not_decide_before_it_is_a_member_and_has_the_policy(self) -> None:
        participant = self.new_participant()
        self.assertFalse(participant.may_decide(0.0))
        self.deliver_reply(participant, 10.0, version=3)
        self.assertFalse(participant.may_decide(10.0))
        participant.on_message("v", PolicyText("", 2, b"older"), 11.0)
        self.assertFalse(participant.may_decide(11.0))
        participant.on_message("v", PolicyText("", 3, b"it"), 12.0)
        self.assertTrue(participant.may_decide(12.0))
        self.assertEqual((participant.version, participant.policy), (3, b"it"))

    def test_server_decides_without_a_leader_between_changes_unless_set_to_stand_aside(self) -> None:
        self.assertTrue(self.new_member().may_decide(1e9))
        participant = self.new_member(stands_aside=True)
        self.deliver_reply(participant, 100.0)
        self.assertTrue(participant.may_decide(3099.0))
        self.assertFalse(participant.may_decide(3100.0))

    def test_prepared_server_decides_only_under_leases_that_start_at_the_request(self) -> None:
        participant = self.new_member()
        self.prepare(participant, 1000.0)
        self.assertTrue(participant.may_decide(1799.0))
        self.assertFalse(participant.may_decide(1800.0))
        phase = ChangePhase.PREPARE
        self.deliver_reply(participant, 1700.0, change_id="c", phase=phase, sent_at_ms=1200.0)
        self.assertTrue(participant.may_decide(1999.0))
        self.assertFalse(participant.may_decide(2000.0))
        # The commit is being replicated.
        self.deliver_reply(participant, 1900.0, change_id="c", phase=phase, is_lease_granted=False)
        self.assertFalse(participant.may_decide(2000.0))

    def test_preparing_shortens_the_current_lease(self) -> None:
        participant = self.new_member(stands_aside=True)
        self.deliver_reply(participant, 900.0)
        self.prepare(participant, 1000.0)
        self.assertFalse(participant.may_decide(1800.0))

    def test_reply_sent_before_the_change_does_not_release_a_prepared_server(self) -> None:
        participant = self.new_member()
        participant.send_lease_request(990.0)
        late_number = participant.last_request_number  # answered before the change was opened
        self.prepare(participant, 1000.0)
        late_reply = LeaseReply(late_number, True, 0, "", ChangePhase.NONE, None, True, ("v",))
        participant.on_message("v", late_reply, 1900.0)
        self.assertIs(participant.state, ParticipantState.PREPARED)
        # Nor does a reply without the outcome of this change.
        self.deliver_reply(participant, 1900.0, is_lease_granted=False)
        self.assertIs(participant.state, ParticipantState.PREPARED)
        self.assertFalse(participant.may_decide(1900.0))
        other = EndedChange("other", "taken", 1, "")
        self.deliver_reply(participant, 1950.0, ended=other, is_lease_granted=False)
        self.assertIs(participant.state, ParticipantState.PREPARED)

    def test_outcome_of_the_change_releases_a_prepared_server_with_the_new_or_old_version(self) -> None:
        for outcome, version, policy in [("taken", 1, b"new"), ("refused", 0, b"")]:
            participant = self.new_member()
            self.prepare(participant, 1000.0)
            ended = EndedChange("c", outcome, version, "why")
            self.deliver_reply(participant, 2000.0, version=version, ended=ended)
            self.assertEqual(participant.ended_changes, {"c": ended})
            state = (participant.version, participant.policy, participant.state)
            self.assertEqual(state, (version, policy, ParticipantState.NONE))
            self.assertTrue(participant.may_decide(1e9))

    def test_server_stops_deciding_by_an_outdated_version_until_the_new_policy_arrives(self) -> None:
        participant = self.new_member()
        # The server was wrongly declared departed, and version 2 was committed without it.
        self.deliver_reply(participant, 100.0, version=2)
        self.assertFalse(participant.may_decide(100.0))
        participant.on_message("v", PolicyText("", 2, b"two"), 120.0)
        self.assertTrue(participant.may_decide(120.0))

    def test_server_rejects_a_policy_that_it_cannot_apply_and_never_prepares(self) -> None:
        participant = self.new_member(conflict="methods.m: none")
        self.deliver_reply(participant, 100.0, change_id="c", phase=ChangePhase.VALIDATE)
        participant.on_message("v", PolicyText("c", 0, b"new"), 101.0)
        self.assertIs(participant.state, ParticipantState.REJECTED)
        self.deliver_reply(participant, 200.0, change_id="c", phase=ChangePhase.PREPARE)
        self.assertIs(participant.state, ParticipantState.REJECTED)

    def test_version_from_an_operator_is_adopted_only_if_no_leader_has_answered(self) -> None:
        participant = self.new_participant()
        self.assertEqual(participant.adopt_trusted_version(3, b"it"), "")
        self.assertTrue(participant.may_decide(1e9))
        self.assertIn("has version 0", self.new_member().adopt_trusted_version(3, b"it"))
        self.assertIn("stand_aside", self.new_participant(stands_aside=True).adopt_trusted_version(3, b"it"))
        conflicting = self.new_participant(conflict="methods.m: none")
        self.assertEqual(conflicting.adopt_trusted_version(3, b"it"), "methods.m: none")

    def test_requests_slow_down_if_two_servers_redirect_to_each_other(self) -> None:
        # Without the limit, each of the two servers would receive a hundred requests a second.
        participant = self.new_participant()
        now_ms = 0.0
        request_count = 0
        while now_ms < 4000.0:
            now_ms = max(now_ms, participant.next_deadline_ms)
            participant.tick(now_ms)
            for receiver, request in participant.outbox:
                assert isinstance(request, LeaseRequest)
                other_server = "w" if receiver == "v" else "v"
                participant.on_message(receiver, Redirect(request.number, other_server), now_ms)
                request_count += 1
            participant.outbox.clear()
        self.assertLess(request_count, 40)

    def test_malformed_and_unexpected_messages_change_nothing(self) -> None:
        participant = self.new_member()
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
