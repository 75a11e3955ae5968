"""A change of policy: what a policy may say, the replicated state, one server's rules, whole histories."""

from __future__ import annotations

import contextlib
import unittest
from random import Random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from landingshift.admission.interface import Method
from landingshift.net.program.config import decode_config
from landingshift.policies.commands import (
    ChangeOutcome,
    Command,
    CommitChange,
    EndChange,
    JoinMembers,
    OpenChange,
    RemoveMember,
    decode_command,
    encode_command,
)
from landingshift.policies.document import (
    decode_policy,
    describe_differences,
    flatten_policy,
    parse_policy,
)
from landingshift.policies.errors import InvalidPolicyError, UnreadableMessageError
from landingshift.policies.messages import (
    ChangePhase,
    ChangeStatus,
    ChangeVoters,
    DeclareDeparted,
    Departure,
    EndedChange,
    FindChange,
    MembershipRefusal,
    Message,
    OperatorRequest,
    PolicyRequest,
    PolicyText,
    ProposeChange,
    RaftPacket,
    Redirect,
    StatusPoll,
    StatusReply,
    StatusRequest,
    UnreadableStatusRequest,
    WaitingMember,
    WithdrawChange,
)
from landingshift.policies.overlay import PolicyOverlay
from landingshift.policies.participant import ChangeParticipant, ParticipantState
from landingshift.policies.policy_settings import PolicySettings
from landingshift.policies.state_machine import (
    MAX_CHANGE_ID_COUNT,
    MAX_DETAILED_CHANGE_COUNT,
    MAX_POLICY_TEXT_COUNT,
    PolicyStateMachine,
)
from landingshift.policies.wire import decode_message, encode_message
from landingshift.testbed.experiments.policies import VIRTUAL, histories, searched, virtual
from landingshift.testbed.processes.history import without_pauses
from landingshift.testbed.verification.invariants import broken
from tests.helpers import CONFIG


def overlay() -> PolicyOverlay:
    config = decode_config(CONFIG | {"name": "n0"}, {})
    return PolicyOverlay(config.settings, config.methods, config.tenants)


class Documents(unittest.TestCase):
    def test_policy_that_no_build_can_read_names_its_key(self) -> None:
        for text, message_start in [
            ("x = [", "no TOML: "),
            ("[method.a]\n", "method: no such table"),
            ("[methods]\na = 1\n", "methods.a: a table is expected"),
            ("[methods.a]\nworth = 1\n", "methods.a.worth: no such key"),
            ("[methods.a]\ncriticality = -1\n", "methods.a.criticality: a number of 0 or more"),
            ("[methods.a]\ncriticality = true\n", "methods.a.criticality: a number of 0 or more"),
            ("[methods.a]\ncriticality = nan\n", "methods.a.criticality: a number of 0 or more"),
            ("[methods.a]\nlate_share = 0.5\n", "methods.a.late_share: needs format = 2"),
            ("format = 2\n[methods.a]\nlate_share = 1.5\n", "methods.a.late_share: a number"),
            ("[rules]\nover_share_worth = 2\n", "rules.over_share_worth: a number"),
            ("format = 3\n", "format: this build reads up to 2, not 3"),
            ("rules = 1\n", "rules: a table is expected"),
            ("[methods.a]\ncriticality = 99999999999999999999\n", "the whole: "),
            ("[methods.a]\ncriticality = 2026-12-02\n", "methods.a.criticality: a number"),
            (
                "[tenants.a]\n" + "".join(f"[tenants.b{i}]\nallowance_s = 1\n" for i in range(4000)),
                "the whole: ",
            ),
        ]:
            with self.subTest(text=text[:60]), self.assertRaises(InvalidPolicyError) as caught:
                parse_policy(text)
            self.assertTrue(str(caught.exception).startswith(message_start), caught.exception)
            self.assertEqual(str(caught.exception), f"{caught.exception.key}: {caught.exception.reason}")

    def test_policy_that_this_server_cannot_decide_by_is_rejected_with_its_key(self) -> None:
        method = next(iter(overlay().owners["methods"]))
        for text, conflict_start in [
            ("[methods.nowhere]\ncriticality = 1\n", "methods.nowhere: this server has none of that name"),
            (f"[methods.{method}]\ntarget_ms = 0\n", f"methods.{method}.target_ms: 0 would turn all away"),
            (f"[methods.{method}]\ntarget_ms = 1e9\n", f"methods.{method}.target_ms: more than its deadline"),
            (f"[methods.{method}]\ncriticality = 3\n", ""),
        ]:
            with self.subTest(text=text):
                self.assertTrue(overlay().find_conflict(parse_policy(text)).startswith(conflict_start))
        self.assertIn("the whole", overlay().find_conflict(b"\xc1"))
        without_retry_after = overlay()
        without_retry_after.start_values["rules", "", "max_retry_after_ms"] = 0.0
        conflict = without_retry_after.find_conflict(parse_policy("[rules]\nhold_off_max_ms = 9\n"))
        self.assertEqual(conflict, "rules.hold_off_max_ms: its settings permit no hold-off")
        self.assertIn("tables are expected", overlay().find_conflict(msgspec.msgpack.encode([1])))

    def test_next_policy_takes_back_what_it_does_not_name(self) -> None:
        applied = overlay()
        name, method = next(iter(applied.owners["methods"].items()))
        assert isinstance(method, Method)
        start_values = method.criticality, method.latency_objective_ms
        applied.apply(parse_policy(f"[methods.{name}]\ncriticality = 77\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (77.0, start_values[1]))
        applied.apply(parse_policy(f"[methods.{name}]\ntarget_ms = 5\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (start_values[0], 5.0))
        applied.apply(b"")
        self.assertEqual((method.criticality, method.latency_objective_ms), start_values)

    def test_differences_are_described_by_key(self) -> None:
        old = parse_policy("[methods.a]\ncriticality = 1\ntarget_ms = 5\n[rules]\nover_share_worth = 0.5\n")
        new = parse_policy("[methods.a]\ncriticality = 2\ntarget_ms = 5\n[tenants.t]\nallowance_s = 3\n")
        self.assertEqual(
            describe_differences(old, new, str),
            [
                "methods.a.criticality: 1.0 -> 2.0",
                "rules.over_share_worth: 0.5 -> None",
                "tenants.t.allowance_s: None -> 3.0",
            ],
        )
        self.assertEqual(flatten_policy(b""), {})

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_the_typed_error(self, data: bytes) -> None:
        with contextlib.suppress(InvalidPolicyError):
            decode_policy(data, 2)

    @settings(max_examples=100, deadline=None)
    @given(
        st.recursive(
            st.none() | st.integers(-(2**63), 2**63) | st.floats() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["methods", "tenants", "rules", "format", "a", "criticality"]),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=8,
        )
    )
    def test_any_value_decodes_to_all_tables_or_raises_the_typed_error(self, value: Any) -> None:
        try:
            figures = decode_policy(msgspec.msgpack.encode(value), 2)
        except InvalidPolicyError:
            return
        self.assertEqual(set(figures), {"methods", "tenants", "rules"})


def join(*members: tuple[str, int]) -> JoinMembers:
    return JoinMembers(members)


def open_change(change_id: str, policy: bytes) -> OpenChange:
    return OpenChange(change_id, policy, "me", "why", 0.0)


def end_change(change_id: str, outcome: ChangeOutcome, reason: str = "") -> EndChange:
    return EndChange(change_id, outcome, reason, 0.0)


class StateMachines(unittest.TestCase):
    def state_after(self, *commands: Command | None) -> PolicyStateMachine:
        """State of four members at most; None stands for a leader's empty entry."""
        state = PolicyStateMachine(4)
        for command in commands:
            state.apply(encode_command(command) if command is not None else b"")
        return state

    def test_outcome_of_changes(self) -> None:
        members = join(("a", 1), ("b", 2))
        first, second = open_change("1", b"p1"), open_change("2", b"p2")
        same_as_in_force = open_change("3", b"")
        rejection = end_change("1", ChangeOutcome.REJECTED, "no")
        commit = CommitChange("1", 1 + 1)
        pending, committed = ChangeOutcome.PENDING, ChangeOutcome.COMMITTED
        rejected = ChangeOutcome.REJECTED
        cases: list[tuple[list[Command | None], int, dict[str, ChangeOutcome]]] = [
            ([members, first], 0, {"1": pending}),
            ([members, first, first], 0, {"1": pending}),
            ([members, first, second], 0, {"1": pending, "2": rejected}),
            ([members, first, commit], 1, {"1": committed}),
            ([members, first, commit, rejection], 1, {"1": committed}),  # too late to be withdrawn
            ([members, first, rejection, commit], 0, {"1": rejected}),
            ([members, first, rejection, first], 0, {"1": rejected}),  # its id is spent
            ([rejection, first], 0, {"1": rejected}),  # withdrawn before it was proposed
            ([members, first, join(("c", 3)), commit], 0, {"1": pending}),  # c was not asked
            ([members, first, join(("a", 1)), commit], 1, {"1": committed}),  # nothing new
            ([members, first, join(("a", 9)), commit], 0, {"1": pending}),  # a is another run
            ([same_as_in_force], 0, {"3": rejected}),
            ([None, first], 0, {"1": pending}),
        ]
        for commands, version, outcomes in cases:
            with self.subTest(commands=commands):
                state = self.state_after(*commands)
                self.assertEqual(state.version, version)
                self.assertEqual({id: change.outcome for id, change in state.changes.items()}, outcomes)
                restored = PolicyStateMachine()
                restored.restore(state.snapshot())
                self.assertEqual(restored.snapshot(), state.snapshot())

    def test_members_are_bounded_and_go_by_name_and_run(self) -> None:
        state = self.state_after(join(*((name, 1) for name in "abcdef")))
        self.assertEqual(list(state.members), list("abcd"))
        state.apply(encode_command(RemoveMember("a", 9)))
        self.assertIn("a", state.members)
        state.apply(encode_command(RemoveMember("a", 1)))
        state.apply(encode_command(join(("e", 1), ("b", 2))))
        self.assertEqual(state.members, {"b": 2, "c": 1, "d": 1, "e": 1})

    def test_details_are_forgotten_but_never_whether_a_change_was_committed(self) -> None:
        state = PolicyStateMachine()
        change_count = MAX_DETAILED_CHANGE_COUNT + MAX_POLICY_TEXT_COUNT + 10
        for number in range(change_count):
            change_id = f"c{number}"
            state.apply(encode_command(open_change(change_id, b"%d" % number)))
            if number % 2:
                state.apply(encode_command(CommitChange(change_id, 0)))
            else:
                state.apply(encode_command(end_change(change_id, ChangeOutcome.WITHDRAWN)))
        self.assertLessEqual(len(state.changes), MAX_DETAILED_CHANGE_COUNT + 1)
        self.assertLessEqual(len(state.policies), MAX_POLICY_TEXT_COUNT + 1)
        for number in range(change_count):
            change = state.find_change(f"c{number}")
            assert change is not None
            is_committed = change.outcome is ChangeOutcome.COMMITTED
            version = (number + 1) // 2 if number % 2 else 0
            self.assertEqual((is_committed, change.version), (bool(number % 2), version))
        state.final_versions |= dict.fromkeys(map(str, range(MAX_CHANGE_ID_COUNT)), 0)
        state.apply(encode_command(open_change("one more", b"x")))
        self.assertIsNone(state.find_change("one more"))  # what can't be kept for ever is not begun

    def test_commands_are_the_same_after_encoding(self) -> None:
        commands: list[Command] = [
            join(("a", 1), ("b", 2)),
            RemoveMember("a", 1),
            open_change("c", b"p"),
            CommitChange("c", 2),
            end_change("c", ChangeOutcome.WITHDRAWN, "why"),
        ]
        for command in commands:
            with self.subTest(command=command):
                self.assertEqual(decode_command(encode_command(command)), command)
        self.assertIsNone(decode_command(msgspec.msgpack.encode(["of a newer build", 1])))


class Wire(unittest.TestCase):
    MESSAGES: tuple[Message, ...] = (
        RaftPacket(b"packet"),
        StatusRequest(1, 2, -1, "c", "ready", "", "serve 1000 3000", True),
        StatusReply(2, True, 3, "c", ChangePhase.PREPARE, None, True, ("v", "w")),
        StatusReply(2, True, 3, "", ChangePhase.NONE, EndedChange("b", "taken", 3, ""), False, ("v",)),
        Redirect(2, "v"),
        MembershipRefusal(2, "why"),
        StatusPoll(),
        PolicyRequest("c", 0),
        PolicyText("", 3, b"policy"),
        OperatorRequest("c", ProposeChange(b"policy", "me", "why")),
        OperatorRequest("c", WithdrawChange("me", "why")),
        OperatorRequest("c", ChangeVoters(True, "w")),
        OperatorRequest("c", ChangeVoters(False, "w")),
        OperatorRequest("c", DeclareDeparted("w", 7)),
        OperatorRequest("c", FindChange()),
        Departure(1),
        ChangeStatus("c", "open", 0, "", (WaitingMember("w", "away"),)),
    )

    def test_messages_are_the_same_after_encoding(self) -> None:
        for message in self.MESSAGES:
            with self.subTest(message=message):
                body = msgspec.msgpack.decode(msgspec.msgpack.encode(encode_message(message)))
                self.assertEqual(decode_message(body), message)

    def test_status_request_of_a_newer_build_is_read_up_to_its_number(self) -> None:
        body = [*encode_message(self.MESSAGES[1]), "new field"]
        self.assertEqual(decode_message(body), UnreadableStatusRequest(2))

    def test_phase_of_a_newer_build_wants_nothing(self) -> None:
        body = ["told", 2, True, 3, "c", "of a newer build", [], True, ["v"]]
        reply = decode_message(body)
        assert isinstance(reply, StatusReply)
        self.assertIs(reply.phase, ChangePhase.NONE)


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
        participant.send_status_request(now_ms if sent_at_ms is None else sent_at_ms)
        number = participant.last_request_number
        reply = StatusReply(number, True, version, change_id, phase, ended, is_lease_granted, ("v",))
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
        participant.send_status_request(990.0)
        late_number = participant.last_request_number  # answered before the change was opened
        self.prepare(participant, 1000.0)
        late_reply = StatusReply(late_number, True, 0, "", ChangePhase.NONE, None, True, ("v",))
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
                assert isinstance(request, StatusRequest)
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


class Histories(unittest.TestCase):
    def test_invariants_hold_under_random_faults(self) -> None:
        row = histories(0, 40, "")
        self.assertEqual(row.violations, [])
        self.assertGreater(row.figures["taken"], 40)

    def test_invariants_hold_in_each_scenario(self) -> None:
        for name in VIRTUAL:
            with self.subTest(name=name):
                row = virtual(name, 4, 1, "")
                self.assertEqual(row.violations, [], row.figures)

    def test_invariants_hold_in_every_order_of_a_small_model(self) -> None:
        self.assertEqual(searched(5, 4000, "").broken, [])
        for defence in ("lease", "ask"):
            self.assertIn("all_or_none", str(searched(6, 12_000, defence).broken))

    def test_each_defence_taken_away_breaks_an_invariant(self) -> None:
        """The same histories without one part of the rules: an invariant must be seen to break."""
        for defence, scenario, invariant in [
            ("lease", "", "all_or_none"),
            ("ask", "", "no_way_back"),
            ("arm", "", "all_or_none"),
            ("sure", "leader_wakes", "all_or_none"),
            ("disk", "forgets", "one_"),
        ]:
            with self.subTest(defence=defence):
                row = virtual(scenario, 20, 1, defence) if scenario else histories(0, 30, defence)
                self.assertTrue(any(invariant in text for text in row.violations), row.violations[:5])


class Invariants(unittest.TestCase):
    """The checker itself."""

    def test_time_stopped_between_a_look_and_its_act_is_taken_off(self) -> None:
        stops = [("a", 1000.0, 6000.0), ("b", 1000.0, 6000.0)]
        for looked_at_ms, decided_at_ms, server, counted_at_ms in [
            (999.0, 6001.0, "a", 1001.0),  # what is left is the pass itself
            (999.0, 6300.0, "a", 1300.0),  # late in the pass for all that
            (6000.5, 6001.0, "a", 6001.0),  # it looked after it went on
            (1500.0, 6001.0, "a", 6001.0),  # while it stood still nobody looks: nothing is taken off
            (998.0, 999.0, "a", 999.0),
            (999.0, 6001.0, "c", 6001.0),  # nobody stopped it
        ]:
            with self.subTest(looked_at_ms=looked_at_ms, decided_at_ms=decided_at_ms, server=server):
                event = without_pauses((decided_at_ms, "decided", server, 0, b"", looked_at_ms), stops)
                self.assertEqual(event, (counted_at_ms, "decided", server, 0, b""))
        self.assertEqual(without_pauses((5.0, "left", "a", 1), stops), (5.0, "left", "a", 1))

    def test_each_broken_invariant_is_seen_and_a_sound_history_passes(self) -> None:
        for history, invariant in [
            ([(0, "decided", "a", 1, b"x"), (1, "decided", "b", 1, b"y")], "one_order"),
            ([(0, "decided", "a", 2, b"x"), (1, "end", "a", "c", "taken", 1)], "one_order"),
            ([(0, "decided", "a", 1, b"x"), (1500, "decided", "b", 0, b"")], "all_or_none"),
            ([(0, "decided", "a", 1, b"x"), (9, "decided", "a", 0, b"")], "no_way_back"),
            ([(0, "end", "a", "c", "taken", 1), (9, "end", "b", "c", "withdrawn", 0)], "one_answer"),
        ]:
            with self.subTest(history=history):
                self.assertTrue(any(invariant in text for text in broken(history, 1000.0)))
        sound = [
            (0, "decided", "a", 0, b""),
            (5, "decided", "a", 1, b"x"),
            (900, "decided", "b", 0, b""),
            (950, "decided", "b", 1, b"x"),
            (960, "end", "b", "c", "taken", 1),
        ]
        self.assertEqual(broken(sound, 1000.0), [])
