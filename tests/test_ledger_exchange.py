"""Tests of the export cursor and the merge rules."""

import unittest
from itertools import pairwise
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from landingshift.ledger.entries import (
    GENESIS_HASH,
)
from landingshift.ledger.export_cursor import (
    MAX_STALLED_REPLY_COUNT,
    ExportCursor,
    Idle,
    QueryCursor,
    SendBatch,
    Stop,
    Wait,
)
from landingshift.ledger.merge_rules import EntryRelation, UsageReference, classify_entry, countable_usages


class ExportCursorTest(unittest.TestCase):
    def new_cursor(self) -> ExportCursor:
        return ExportCursor({0: GENESIS_HASH, 5: b"5", 9: b"9"}.get, Random(1))

    def test_sends_from_the_cursor_that_the_receiver_reports(self) -> None:
        cursor = self.new_cursor()
        self.assertEqual(cursor.next_step(9), QueryCursor())
        self.assertIsNone(cursor.on_reply(0, GENESIS_HASH, 9))
        self.assertEqual(cursor.next_step(9), SendBatch(0))
        self.assertIsNone(cursor.on_reply(9, b"9", 9))
        self.assertEqual(cursor.next_step(9), Idle())
        self.assertIsNone(cursor.on_reply(5, b"5", 9))  # the receiver lost entries
        self.assertEqual((cursor.next_step(9), cursor.rewind_count), (SendBatch(5), 1))

    def test_backs_off_longer_after_each_failure_and_queries_the_cursor(self) -> None:
        cursor = self.new_cursor()
        delays_ms = []
        for _ in range(12):
            cursor.on_request_failed()
            step = cursor.next_step(9)
            assert isinstance(step, Wait)
            delays_ms.append(step.delay_ms)
            self.assertEqual(cursor.next_step(9), QueryCursor())
        self.assertLess(delays_ms[0], 101.0)
        self.assertTrue(15_000.0 <= delays_ms[-1] <= 30_000.0)

    def test_stops_if_the_receiver_has_other_entries(self) -> None:
        for receiver_cursor, cursor_hash, problem in [
            (12, b"x", "old backup"),
            (9, b"other", "parted"),
            (7, b"7", "no more"),
        ]:
            with self.subTest(problem=problem):
                found = self.new_cursor().on_reply(receiver_cursor, cursor_hash, 9)
                assert isinstance(found, Stop)
                self.assertIn(problem, found.reason)

    def test_backs_off_after_replies_without_progress(self) -> None:
        cursor = self.new_cursor()
        cursor.on_reply(5, b"5", 9)
        for _ in range(MAX_STALLED_REPLY_COUNT):
            cursor.on_reply(5, b"5", 9)
        self.assertIsInstance(cursor.next_step(9), Wait)


class MergeRulesTest(unittest.TestCase):
    def test_classifies_entries_by_their_relation_to_a_branch(self) -> None:
        for number, entry_hash, follows_chain, head_number, known_hash, expected in [
            (1, b"a", True, 0, None, EntryRelation.NEXT),
            (1, b"a", False, 0, None, EntryRelation.BROKEN),
            (2, b"a", True, 0, None, EntryRelation.AHEAD),
            (1, b"a", True, 3, b"a", EntryRelation.KNOWN),
            (1, b"b", True, 3, b"a", EntryRelation.DIVERGED),
            (3, b"b", True, 3, None, EntryRelation.DIVERGED),
        ]:
            with self.subTest(expected=expected):
                found = classify_entry(number, entry_hash, follows_chain, head_number, known_hash)
                self.assertIs(found, expected)

    @given(
        st.lists(
            st.builds(UsageReference, st.integers(0, 500), st.sampled_from("abc"), st.integers(1, 9)),
            max_size=20,
        ),
        st.randoms(),
    )
    def test_deduplication_ignores_order_and_repetition(
        self, usages: list[UsageReference], rng: Random
    ) -> None:
        counted = countable_usages(usages, 100)
        repeated = usages + usages[:3]
        rng.shuffle(repeated)
        self.assertEqual(countable_usages(repeated, 100), counted)
        times_ms = sorted(reference.at_ms for reference in counted)
        self.assertTrue(all(later - earlier >= 100 for earlier, later in pairwise(times_ms)))


if __name__ == "__main__":
    unittest.main()
