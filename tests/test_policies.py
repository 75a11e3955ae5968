"""A change of policy: what a policy may say, the book, one server's rules, and histories in virtual time."""

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
from landingshift.policies.document import (
    InvalidPolicyError,
    PolicyOverlay,
    decode_policy,
    describe_differences,
    flatten_policy,
    parse_policy,
)
from landingshift.policies.participant import ChangeParticipant, ParticipantStage, PolicySettings
from landingshift.policies.state_machine import IDS, SHOWN, TEXTS, ChangeOutcome, PolicyStateMachine, command
from landingshift.testbed.experiments.policies import VIRTUAL, histories, searched, virtual
from landingshift.testbed.processes.harness import in_time
from landingshift.testbed.verification.invariants import broken
from tests.helpers import CONFIG


def base() -> PolicyOverlay:
    found = decode_config(CONFIG | {"name": "n0"}, {})
    return PolicyOverlay(found.settings, found.methods, found.tenants)


class Documents(unittest.TestCase):
    def test_what_no_build_can_read_names_its_key(self) -> None:
        for text, said in [
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
            ("[tenants.a]\n" + "".join(f"[tenants.b{i}]\nallowance_s = 1\n" for i in range(4000)),
             "the whole: "),
        ]:  # fmt: skip
            with self.subTest(text=text[:60]), self.assertRaises(InvalidPolicyError) as caught:
                parse_policy(text)
            self.assertTrue(str(caught.exception).startswith(said), caught.exception)

    def test_what_this_server_cannot_decide_by_is_refused_with_its_key(self) -> None:
        one = next(iter(base().owners["methods"]))
        for text, said in [
            ("[methods.nowhere]\ncriticality = 1\n", "methods.nowhere: this server has none of that name"),
            (f"[methods.{one}]\ntarget_ms = 0\n", f"methods.{one}.target_ms: 0 would turn all away"),
            (f"[methods.{one}]\ntarget_ms = 1e9\n", f"methods.{one}.target_ms: more than its deadline"),
            (f"[methods.{one}]\ncriticality = 3\n", ""),
        ]:
            with self.subTest(text=text):
                self.assertTrue(base().check(parse_policy(text)).startswith(said))
        self.assertIn("the whole", base().check(b"\xc1"))
        silent = base()
        silent.start["rules", "", "max_retry_after_ms"] = 0.0
        said = silent.check(parse_policy("[rules]\nhold_off_max_ms = 9\n"))
        self.assertEqual(said, "rules.hold_off_max_ms: its settings permit no hold-off")
        self.assertIn("tables are expected", base().check(msgspec.msgpack.encode([1])))

    def test_a_policy_is_whole_and_the_next_takes_back_what_it_does_not_name(self) -> None:
        found = base()
        name, method = next(iter(found.owners["methods"].items()))
        assert isinstance(method, Method)
        was = method.criticality, method.latency_objective_ms
        found.apply(parse_policy(f"[methods.{name}]\ncriticality = 77\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (77.0, was[1]))
        found.apply(parse_policy(f"[methods.{name}]\ntarget_ms = 5\n"))
        self.assertEqual((method.criticality, method.latency_objective_ms), (was[0], 5.0))
        found.apply(b"")
        self.assertEqual((method.criticality, method.latency_objective_ms), was)

    def test_differences_are_told_by_key(self) -> None:
        a = parse_policy("[methods.a]\ncriticality = 1\ntarget_ms = 5\n[rules]\nover_share_worth = 0.5\n")
        b = parse_policy("[methods.a]\ncriticality = 2\ntarget_ms = 5\n[tenants.t]\nallowance_s = 3\n")
        self.assertEqual(
            describe_differences(a, b, str),
            [
                "methods.a.criticality: 1.0 -> 2.0",
                "rules.over_share_worth: 0.5 -> None",
                "tenants.t.allowance_s: None -> 3.0",
            ],
        )
        self.assertEqual(flatten_policy(b""), {})

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_no_bytes_get_past_the_reader(self, data: bytes) -> None:
        with contextlib.suppress(InvalidPolicyError):
            decode_policy(data, 2)

    @settings(max_examples=100, deadline=None)
    @given(st.recursive(st.none() | st.integers(-2**63, 2**63) | st.floats() | st.text(max_size=5),
                        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(
                            st.sampled_from(["methods", "tenants", "rules", "format", "a", "criticality"]),
                            inner, max_size=3), max_leaves=8))  # fmt: skip
    def test_nor_does_anything_else_that_is_whole(self, value: Any) -> None:
        try:
            found = decode_policy(msgspec.msgpack.encode(value), 2)
        except InvalidPolicyError:
            return
        self.assertEqual(set(found), {"methods", "tenants", "rules"})


class Books(unittest.TestCase):
    def book(self, *commands: bytes) -> PolicyStateMachine:
        book = PolicyStateMachine(4)
        for one in commands:
            book.apply(one)
        return book

    def test_what_becomes_of_changes(self) -> None:
        join = command("join", [["a", 1], ["b", 2]])
        one, two = (command("propose", id, b"p" + id.encode(), "me", "why", 0.0) for id in ("1", "2"))
        back = command("propose", "3", b"", "me", "why", 0.0)
        end = command("end", "1", "refused", "no", 0.0)
        switch = command("switch", "1", 1 + 1)
        for commands, version, ends in [
            ([join, one], 0, {"1": ChangeOutcome.PENDING}),
            ([join, one, one], 0, {"1": ChangeOutcome.PENDING}),
            ([join, one, two], 0, {"1": ChangeOutcome.PENDING, "2": ChangeOutcome.REJECTED}),
            ([join, one, switch], 1, {"1": ChangeOutcome.COMMITTED}),
            ([join, one, switch, end], 1, {"1": ChangeOutcome.COMMITTED}),  # too late to be withdrawn
            ([join, one, end, switch], 0, {"1": ChangeOutcome.REJECTED}),
            ([join, one, end, one], 0, {"1": ChangeOutcome.REJECTED}),  # its id is spent
            ([end, one], 0, {"1": ChangeOutcome.REJECTED}),  # withdrawn before it was proposed
            (
                [join, one, command("join", [["c", 3]]), switch],
                0,
                {"1": ChangeOutcome.PENDING},
            ),  # c was not asked
            (
                [join, one, command("join", [["a", 1]]), switch],
                1,
                {"1": ChangeOutcome.COMMITTED},
            ),  # nothing new
            (
                [join, one, command("join", [["a", 9]]), switch],
                0,
                {"1": ChangeOutcome.PENDING},
            ),  # a is another run
            ([back], 0, {"3": ChangeOutcome.REJECTED}),  # it says what is in force
            ([b"", one], 0, {"1": ChangeOutcome.PENDING}),
        ]:
            with self.subTest(commands=commands):
                book = self.book(*commands)
                self.assertEqual(book.version, version)
                self.assertEqual({id: c.end for id, c in book.changes.items()}, ends)
                again = PolicyStateMachine()
                again.restore(book.snapshot())
                self.assertEqual(again.snapshot(), book.snapshot())

    def test_members_are_bounded_and_go_by_name_and_run(self) -> None:
        book = self.book(command("join", [[n, 1] for n in "abcdef"]))
        self.assertEqual(list(book.members), list("abcd"))
        book.apply(command("gone", "a", 9))
        self.assertIn("a", book.members)
        book.apply(command("gone", "a", 1))
        book.apply(command("join", [["e", 1], ["b", 2]]))
        self.assertEqual(book.members, {"b": 2, "c": 1, "d": 1, "e": 1})

    def test_words_are_forgotten_but_never_whether_it_was_taken(self) -> None:
        book = PolicyStateMachine()
        many = SHOWN + TEXTS + 10
        for i in range(many):
            book.apply(command("propose", f"c{i}", b"%d" % i, "me", "why", 0.0))
            if i % 2:
                book.apply(command("switch", f"c{i}", 0))
            else:
                book.apply(command("end", f"c{i}", "withdrawn", "", 0.0))
        self.assertLessEqual(len(book.changes), SHOWN + 1)
        self.assertLessEqual(len(book.texts), TEXTS + 1)
        for i in range(many):
            found = book.find_change(f"c{i}")
            assert found is not None
            self.assertEqual(
                (found.end is ChangeOutcome.COMMITTED, found.version),
                (bool(i % 2), (i + 1) // 2 if i % 2 else 0),
            )
        book.ids |= dict.fromkeys(map(str, range(IDS)), 0)
        book.apply(command("propose", "one more", b"x", "me", "why", 0.0))
        self.assertIsNone(book.find_change("one more"))  # what can't be kept for ever is not begun


PLAN = PolicySettings(("v",), False, overlap_ms=1000.0, lease_ms=3000.0)


class Following(unittest.TestCase):
    """One server's rules, message by message; `hold` is 800 ms."""

    def follower(self, aside: bool = False, check: str = "") -> ChangeParticipant:
        plan = PolicySettings(("v",), aside, overlap_ms=1000.0, lease_ms=3000.0)
        return ChangeParticipant("a", 1, plan, lambda _: check, Random(1), 0.0)

    def told(
        self, f: ChangeParticipant, now: float, version: int = 0, change: str = "", want: str = "",
        ended: Any = (), leased: bool = True, sent: float | None = None,
    ) -> None:  # fmt: skip
        f.send_status_request(now if sent is None else sent)
        f.on_message(
            "v", ["told", f.last_request_number, True, version, change, want, list(ended), leased, ["v"]], now
        )
        f.outbox.clear()

    def start(self, aside: bool = False, check: str = "") -> ChangeParticipant:
        f = self.follower(aside, check)
        self.told(f, 10.0)
        f.on_message("v", ["text", "", 0, b""], 11.0)
        return f

    def arm(self, f: ChangeParticipant, now: float) -> None:
        self.told(f, now, change="c", want="check")
        f.on_message("v", ["text", "c", 0, b"new"], now)
        self.told(f, now, change="c", want="arm")
        self.assertIs(f.stage, ParticipantStage.PREPARED)

    def test_nothing_is_decided_before_it_is_counted_and_has_the_text(self) -> None:
        f = self.follower()
        self.assertFalse(f.may_decide(0.0))
        self.told(f, 10.0, version=3)
        self.assertFalse(f.may_decide(10.0))
        f.on_message("v", ["text", "", 2, b"older"], 11.0)
        self.assertFalse(f.may_decide(11.0))
        f.on_message("v", ["text", "", 3, b"it"], 12.0)
        self.assertTrue(f.may_decide(12.0))
        self.assertEqual((f.version, f.policy), (3, b"it"))

    def test_between_changes_it_serves_on_without_a_word_unless_it_is_to_stand_aside(self) -> None:
        self.assertTrue(self.start().may_decide(1e9))
        f = self.start(aside=True)
        self.told(f, 100.0)
        self.assertTrue(f.may_decide(3099.0))
        self.assertFalse(f.may_decide(3100.0))

    def test_armed_it_decides_under_leases_that_count_from_when_it_asked(self) -> None:
        f = self.start()
        self.arm(f, 1000.0)
        self.assertTrue(f.may_decide(1799.0))
        self.assertFalse(f.may_decide(1800.0))
        self.told(f, 1700.0, change="c", want="arm", sent=1200.0)
        self.assertTrue(f.may_decide(1999.0))
        self.assertFalse(f.may_decide(2000.0))
        self.told(f, 1900.0, change="c", want="arm", leased=False)  # the switch is being agreed on
        self.assertFalse(f.may_decide(2000.0))

    def test_arming_shortens_a_lease_that_it_has(self) -> None:
        f = self.start(aside=True)
        self.told(f, 900.0)
        self.arm(f, 1000.0)
        self.assertFalse(f.may_decide(1800.0))

    def test_a_word_from_before_the_change_does_not_free_it(self) -> None:
        f = self.start()
        f.send_status_request(990.0)
        late = f.last_request_number  # answered before the change was opened, and long under way
        self.arm(f, 1000.0)
        f.on_message("v", ["told", late, True, 0, "", "", [], True, ["v"]], 1900.0)
        self.assertIs(f.stage, ParticipantStage.PREPARED)
        self.told(f, 1900.0, leased=False)  # nor one that does not say what became of this very change
        self.assertIs(f.stage, ParticipantStage.PREPARED)
        self.assertFalse(f.may_decide(1900.0))
        self.told(f, 1950.0, ended=["other", "taken", 1, ""], leased=False)
        self.assertIs(f.stage, ParticipantStage.PREPARED)

    def test_its_end_frees_it_with_the_new_version_or_the_old(self) -> None:
        for end, version, policy in [("taken", 1, b"new"), ("refused", 0, b"")]:
            f = self.start()
            self.arm(f, 1000.0)
            self.told(f, 2000.0, version=version, ended=["c", end, version, "why"])
            self.assertEqual(f.ended_changes, {"c": (end, version, "why")})
            self.assertEqual((f.version, f.policy, f.stage), (version, policy, ParticipantStage.NONE))
            self.assertTrue(f.may_decide(1e9))

    def test_a_newer_version_stops_it_until_the_text_is_there(self) -> None:
        f = self.start()
        self.told(f, 100.0, version=2)  # it was taken for gone, and is not
        self.assertFalse(f.may_decide(100.0))
        f.on_message("v", ["text", "", 2, b"two"], 120.0)
        self.assertTrue(f.may_decide(120.0))

    def test_what_it_cannot_decide_by_it_refuses_and_is_never_armed(self) -> None:
        f = self.start(check="methods.m: none")
        self.told(f, 100.0, change="c", want="check")
        f.on_message("v", ["text", "c", 0, b"new"], 101.0)
        self.assertIs(f.stage, ParticipantStage.REJECTED)
        self.told(f, 200.0, change="c", want="arm")
        self.assertIs(f.stage, ParticipantStage.REJECTED)

    def test_an_operators_word_counts_only_where_no_leader_has_spoken(self) -> None:
        f = self.follower()
        self.assertEqual(f.trust_operator(3, b"it"), "")
        self.assertTrue(f.may_decide(1e9))
        self.assertIn("has version 0", self.start().trust_operator(3, b"it"))
        self.assertIn("stand_aside", self.follower(aside=True).trust_operator(3, b"it"))
        self.assertEqual(self.follower(check="methods.m: none").trust_operator(3, b"it"), "methods.m: none")

    def test_who_is_sent_to_and_fro_goes_slower(self) -> None:
        # Two that each take the other for the leader would be asked a hundred times a second each.
        f = self.follower()
        now, asked = 0.0, 0
        while now < 4000.0:
            now = max(now, f.next_deadline_ms())
            f.tick(now)
            for to, body in f.outbox:
                f.on_message(to, ["ask", body[2], "w" if to == "v" else "v"], now)
                asked += 1
            f.outbox.clear()
        self.assertLess(asked, 40)

    def test_nonsense_changes_nothing(self) -> None:
        f = self.start()
        told = ["told", 2, True, 9, "", ""]
        for body in (
            [], ["told"], ["told", 1, 1, 1], [*told, ["x"], True, ["v"]], [*told, [], True, []], [3],
            ["told", 99, True, 9, "", "", [], True, ["v"]], ["text", 1, 2, 3], ["ask", "x", 1],
            ["no", 99, "why"],
        ):  # fmt: skip
            f.on_message("v", body, 50.0)
        self.assertEqual((f.version, f.latest_version, f.is_member), (0, 0, True))


class Histories(unittest.TestCase):
    def test_drawn_faults(self) -> None:
        row = histories(0, 40, "")
        self.assertEqual(row.broken, [])
        self.assertGreater(row.figures["taken"], 40)

    def test_rows(self) -> None:
        for name in VIRTUAL:
            with self.subTest(name=name):
                row = virtual(name, 4, 1, "")
                self.assertEqual(row.broken, [], row.figures)

    def test_every_order_of_a_small_model(self) -> None:
        self.assertEqual(searched(5, 4000, "").broken, [])
        for away in ("lease", "ask"):
            self.assertIn("all_or_none", str(searched(6, 12_000, away).broken))

    def test_each_defence_is_missed(self) -> None:
        """The same histories with one part of the rules taken away: a promise must be seen to break."""
        for away, row, promise in [
            ("lease", "", "all_or_none"),
            ("ask", "", "no_way_back"),
            ("arm", "", "all_or_none"),
            ("sure", "leader_wakes", "all_or_none"),
            ("disk", "forgets", "one_"),
        ]:
            with self.subTest(away=away):
                found = virtual(row, 20, 1, away) if row else histories(0, 30, away)
                self.assertTrue(any(promise in text for text in found.broken), found.broken[:5])


class Promises(unittest.TestCase):
    def test_who_is_stopped_between_its_look_and_the_act(self) -> None:
        stops = [("a", 1000.0, 6000.0), ("b", 1000.0, 6000.0)]
        for looked, at, who, found in [
            (999.0, 6001.0, "a", 1001.0),  # what is left is the pass itself
            (999.0, 6300.0, "a", 1300.0),  # late in the pass for all that
            (6000.5, 6001.0, "a", 6001.0),  # it looked after it went on
            (1500.0, 6001.0, "a", 6001.0),  # while it stood still nobody looks: nothing is taken off
            (998.0, 999.0, "a", 999.0),
            (999.0, 6001.0, "c", 6001.0),  # nobody stopped it
        ]:
            with self.subTest(looked=looked, at=at, who=who):
                line = in_time((at, "decided", who, 0, b"", looked), stops)
                self.assertEqual(line, (found, "decided", who, 0, b""))
        self.assertEqual(in_time((5.0, "left", "a", 1), stops), (5.0, "left", "a", 1))

    """The checker itself: each of these must be seen."""

    def test_tables(self) -> None:
        for history, promise in [
            ([(0, "decided", "a", 1, b"x"), (1, "decided", "b", 1, b"y")], "one_order"),
            ([(0, "decided", "a", 2, b"x"), (1, "end", "a", "c", "taken", 1)], "one_order"),
            ([(0, "decided", "a", 1, b"x"), (1500, "decided", "b", 0, b"")], "all_or_none"),
            ([(0, "decided", "a", 1, b"x"), (9, "decided", "a", 0, b"")], "no_way_back"),
            ([(0, "end", "a", "c", "taken", 1), (9, "end", "b", "c", "withdrawn", 0)], "one_answer"),
        ]:
            with self.subTest(history=history):
                self.assertTrue(any(promise in text for text in broken(history, 1000.0)))
        good = [(0, "decided", "a", 0, b""), (5, "decided", "a", 1, b"x"), (900, "decided", "b", 0, b""),
                (950, "decided", "b", 1, b"x"), (960, "end", "b", "c", "taken", 1)]  # fmt: skip
        self.assertEqual(broken(good, 1000.0), [])
