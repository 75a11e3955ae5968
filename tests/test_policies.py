"""Tests of the policy format, the replicated state machine, and the encoding of commands and messages."""

from __future__ import annotations

import contextlib
import unittest
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
from landingshift.policies.errors import InvalidPolicyError
from landingshift.policies.messages import (
    ChangePhase,
    ChangeStatus,
    ChangeVoters,
    DeclareDeparted,
    Departure,
    EndedChange,
    FindChange,
    LeaseReply,
    LeaseRequest,
    MembershipRefusal,
    Message,
    OperatorRequest,
    PolicyRequest,
    PolicyText,
    ProposeChange,
    RaftPacket,
    Redirect,
    StatusPoll,
    UnreadableLeaseRequest,
    WaitingMember,
    WithdrawChange,
)
from landingshift.policies.overlay import PolicyOverlay
from landingshift.policies.state_machine import (
    MAX_CHANGE_ID_COUNT,
    MAX_DETAILED_CHANGE_COUNT,
    MAX_STORED_POLICY_COUNT,
    PolicyStateMachine,
)
from landingshift.policies.wire import decode_message, encode_message
from tests.helpers import CONFIG


def new_overlay() -> PolicyOverlay:
    config = decode_config(CONFIG | {"name": "n0"}, {})
    return PolicyOverlay(config.settings, config.methods, config.tenants)


class PolicyFormatTest(unittest.TestCase):
    def test_error_of_an_invalid_policy_begins_with_the_key(self) -> None:
        for text, message_start in [
            ("x = [", "not TOML: "),
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

    def test_conflict_of_a_policy_with_this_server_begins_with_the_key(self) -> None:
        method = next(iter(new_overlay().owners["methods"]))
        for text, conflict_start in [
            ("[methods.nowhere]\ncriticality = 1\n", "methods.nowhere: this server has none of that name"),
            (f"[methods.{method}]\ntarget_ms = 0\n", f"methods.{method}.target_ms: 0 would turn all away"),
            (f"[methods.{method}]\ntarget_ms = 1e9\n", f"methods.{method}.target_ms: more than its deadline"),
            (f"[methods.{method}]\ncriticality = 3\n", ""),
        ]:
            with self.subTest(text=text):
                self.assertTrue(new_overlay().find_conflict(parse_policy(text)).startswith(conflict_start))
        self.assertIn("the whole", new_overlay().find_conflict(b"\xc1"))
        without_retry_after = new_overlay()
        without_retry_after.startup_values["rules", "", "max_retry_after_ms"] = 0.0
        conflict = without_retry_after.find_conflict(parse_policy("[rules]\nhold_off_max_ms = 9\n"))
        self.assertEqual(conflict, "rules.hold_off_max_ms: its settings permit no hold-off")
        self.assertIn("tables are expected", new_overlay().find_conflict(msgspec.msgpack.encode([1])))

    def test_new_policy_resets_values_that_it_does_not_set(self) -> None:
        applied = new_overlay()
        name, method = next(iter(applied.owners["methods"].items()))
        assert isinstance(method, Method)
        start_values = method.criticality, method.latency_objective_ms
        applied.apply(parse_policy(f"[methods.{name}]\ncriticality = 77\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (77.0, start_values[1]))
        applied.apply(parse_policy(f"[methods.{name}]\ntarget_ms = 5\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (start_values[0], 5.0))
        applied.apply(b"")
        self.assertEqual((method.criticality, method.latency_objective_ms), start_values)

    def test_differences_are_listed_by_key(self) -> None:
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
    def test_any_bytes_decode_or_raise_invalid_policy_error(self, data: bytes) -> None:
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
    def test_any_value_decodes_to_all_tables_or_raises_invalid_policy_error(self, value: Any) -> None:
        try:
            tables = decode_policy(msgspec.msgpack.encode(value), 2)
        except InvalidPolicyError:
            return
        self.assertEqual(set(tables), {"methods", "tenants", "rules"})


def join(*members: tuple[str, int]) -> JoinMembers:
    return JoinMembers(members)


def open_change(change_id: str, policy: bytes) -> OpenChange:
    return OpenChange(change_id, policy, "me", "why", 0.0)


def end_change(change_id: str, outcome: ChangeOutcome, reason: str = "") -> EndChange:
    return EndChange(change_id, outcome, reason, 0.0)


class StateMachineTest(unittest.TestCase):
    def state_after(self, *commands: Command | None) -> PolicyStateMachine:
        """Returns a state machine for at most four members; None stands for a leader's empty entry."""
        state = PolicyStateMachine(4)
        for command in commands:
            state.apply(encode_command(command) if command is not None else b"")
        return state

    def test_commands_give_each_change_its_outcome(self) -> None:
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
            ([members, first, commit, rejection], 1, {"1": committed}),  # ended after the commit
            ([members, first, rejection, commit], 0, {"1": rejected}),
            ([members, first, rejection, first], 0, {"1": rejected}),  # the id is already used
            ([rejection, first], 0, {"1": rejected}),  # ended before it was proposed
            ([members, first, join(("c", 3)), commit], 0, {"1": pending}),  # c is not prepared
            ([members, first, join(("a", 1)), commit], 1, {"1": committed}),  # a is already a member
            ([members, first, join(("a", 9)), commit], 0, {"1": pending}),  # a new run of a has joined
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

    def test_members_are_limited_and_removed_only_by_name_and_run(self) -> None:
        state = self.state_after(join(*((name, 1) for name in "abcdef")))
        self.assertEqual(list(state.members), list("abcd"))
        state.apply(encode_command(RemoveMember("a", 9)))
        self.assertIn("a", state.members)
        state.apply(encode_command(RemoveMember("a", 1)))
        state.apply(encode_command(join(("e", 1), ("b", 2))))
        self.assertEqual(state.members, {"b": 2, "c": 1, "d": 1, "e": 1})

    def test_old_changes_lose_their_details_but_keep_their_outcome(self) -> None:
        state = PolicyStateMachine()
        change_count = MAX_DETAILED_CHANGE_COUNT + MAX_STORED_POLICY_COUNT + 10
        for number in range(change_count):
            change_id = f"c{number}"
            state.apply(encode_command(open_change(change_id, b"%d" % number)))
            if number % 2:
                state.apply(encode_command(CommitChange(change_id, 0)))
            else:
                state.apply(encode_command(end_change(change_id, ChangeOutcome.WITHDRAWN)))
        self.assertLessEqual(len(state.changes), MAX_DETAILED_CHANGE_COUNT + 1)
        self.assertLessEqual(len(state.policies), MAX_STORED_POLICY_COUNT + 1)
        for number in range(change_count):
            change = state.find_change(f"c{number}")
            assert change is not None
            is_committed = change.outcome is ChangeOutcome.COMMITTED
            version = (number + 1) // 2 if number % 2 else 0
            self.assertEqual((is_committed, change.version), (bool(number % 2), version))
        state.final_versions |= dict.fromkeys(map(str, range(MAX_CHANGE_ID_COUNT)), 0)
        state.apply(encode_command(open_change("one more", b"x")))
        self.assertIsNone(state.find_change("one more"))  # ignored, because the limit is reached

    def test_commands_are_unchanged_by_encoding_and_decoding(self) -> None:
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


class WireTest(unittest.TestCase):
    MESSAGES: tuple[Message, ...] = (
        RaftPacket(b"packet"),
        LeaseRequest(1, 2, -1, "c", "ready", "", "serve 1000 3000", True),
        LeaseReply(2, True, 3, "c", ChangePhase.PREPARE, None, True, ("v", "w")),
        LeaseReply(2, True, 3, "", ChangePhase.NONE, EndedChange("b", "taken", 3, ""), False, ("v",)),
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

    def test_messages_are_unchanged_by_encoding_and_decoding(self) -> None:
        for message in self.MESSAGES:
            with self.subTest(message=message):
                body = msgspec.msgpack.decode(msgspec.msgpack.encode(encode_message(message)))
                self.assertEqual(decode_message(body), message)

    def test_lease_request_of_a_newer_build_decodes_to_its_number(self) -> None:
        body = [*encode_message(self.MESSAGES[1]), "new field"]
        self.assertEqual(decode_message(body), UnreadableLeaseRequest(2))

    def test_phase_of_a_newer_build_decodes_to_none(self) -> None:
        body = ["told", 2, True, 3, "c", "of a newer build", [], True, ["v"]]
        reply = decode_message(body)
        assert isinstance(reply, LeaseReply)
        self.assertIs(reply.phase, ChangePhase.NONE)
