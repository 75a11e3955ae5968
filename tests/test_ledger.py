"""Tests of the ledger's encodings, of its external names and formats, and of its testbed experiment."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack

from landingshift.ledger.entries import (
    KIND_BY_TYPE,
    Compaction,
    Correction,
    Entry,
    EntryKind,
    NameEntry,
    Opened,
    PeriodClose,
    Resolution,
    Settlement,
    UsageGap,
    attempt_identity,
)
from landingshift.ledger.entry_history import format_entry
from landingshift.ledger.name_escaping import escape_name, unescape_name
from landingshift.ledger.number_ranges import decode_ranges, encode_ranges
from landingshift.ledger.settings import Settings
from landingshift.ledger.store_messages import StoreStatus, UsageBatch
from landingshift.testbed.experiments.ledger import CASES, RUN_ONCE_CASES, experiment
from tests.ledger_fixtures import usage


class EncodingTest(unittest.TestCase):
    @given(st.binary(max_size=40))
    def test_unescaping_an_escaped_name_returns_the_name(self, name: bytes) -> None:
        self.assertEqual(unescape_name(escape_name(name)), name)
        self.assertTrue(escape_name(name).isprintable())

    @given(st.sets(st.integers(1, 200)))
    def test_decoding_encoded_ranges_returns_the_numbers(self, numbers: set[int]) -> None:
        self.assertEqual(decode_ranges(encode_ranges(list(numbers))), sorted(numbers))

    def test_identities_differ_if_any_part_differs(self) -> None:
        identities = {
            attempt_identity(tenant, method, has_attempt_id, content)
            for tenant, method, has_attempt_id, content in [
                (b"ab", b"c", True, b"x"),
                (b"a", b"bc", True, b"x"),
                (b"ab", b"c", False, b"x"),
                (b"ab", b"", True, b"cx"),
                (b"ab", b"c", True, b"y"),
            ]
        }
        self.assertEqual(len(identities), 5)


class ExternalNamesTest(unittest.TestCase):
    """Names and formats that operators and other processes read must not follow renames in the code."""

    def test_printed_entries_keep_their_type_and_field_names(self) -> None:
        printed: list[tuple[Entry, str]] = [
            (Opened(b"r", 1, [2, 3]), "Opened(run=b'r', at=1, disputed=[2, 3])"),
            (NameEntry(True, b"t"), "Name(tenant=True, name=b't')"),
            (
                Settlement([1, 2], [3, 1], [], [4, 1]),
                "Settled(counted=[1, 2], repeats=[3, 1], void=[], disputed=[4, 1])",
            ),
            (
                Correction(1, 2, 3, "a", "b", 4, 5, "6", "why", "me"),
                "Correction(at=1, tenant=2, method=3, belongs='a', period='b', uses=4, work=5, "
                "amount='6', reason='why', who='me')",
            ),
            (PeriodClose(1, "a", 2, 3, b"d"), "Closed(at=1, period='a', start=2, end=3, totals=b'd')"),
            (UsageGap(1, 2), "Gap(at=1, dropped=2)"),
            (
                Resolution(1, [2, 1], [], "why", "me"),
                "Resolved(at=1, billed=[2, 1], waived=[], reason='why', who='me')",
            ),
            (
                Compaction(1, "a", 2, b"h", b"k", b"b", 3),
                "Compacted(at=1, period='a', last=2, hash=b'h', kept=b'k', baseline=b'b', until=3)",
            ),
        ]
        for entry, text in printed:
            with self.subTest(entry=type(entry).__name__):
                self.assertEqual(format_entry(entry), text)
        self.assertEqual(len(printed) + 1, len(KIND_BY_TYPE))  # usage entries are printed in sentences

    def test_entry_kinds_keep_their_stored_values(self) -> None:
        self.assertEqual([kind.value for kind in EntryKind], list(range(1, 10)))

    def test_settings_are_passed_to_the_store_process_with_the_toml_keys(self) -> None:
        text = msgspec.json.encode(Settings(directory="/d", instance="n1"))
        self.assertEqual(
            text,
            b'{"folder":"/d","instance":"n1","on":true,"durable":"before_answer","stuck":"answer",'
            b'"commit_ms":5.0,"settle_ms":50.0,"queue_kb":1024,"zone":"UTC","period":"month",'
            b'"window_s":900,"recent":100000,"identity_field":"","identity_key":false,'
            b'"lock_wait_ms":3000.0,"plan":""}',
        )
        self.assertEqual(msgspec.json.decode(text, type=Settings), Settings(directory="/d", instance="n1"))

    def test_store_process_messages_are_arrays_with_fields_by_position(self) -> None:
        batch = UsageBatch(3, [usage(1)], [1], [2], [3], 4)
        self.assertEqual(
            msgpack.decode(msgpack.encode(batch)),
            [3, [[1, 1000, b"t", b"m", 5000, 10, 20, b"i" * 16]], [1], [2], [3], 4],
        )
        self.assertEqual(msgpack.decode(msgpack.encode(StoreStatus(3, "why", 5))), [3, "why", 5])


class ExperimentTest(unittest.TestCase):
    def test_every_experiment_case_passes(self) -> None:
        rows = [row for row in experiment(5, 0, 7) if row.name not in RUN_ONCE_CASES]
        for row in rows:
            with self.subTest(case=row.name):
                self.assertEqual(row.violations, [])
        self.assertEqual({row.name for row in rows} | set(RUN_ONCE_CASES), set(CASES))

    def test_a_case_fails_if_its_defence_is_removed(self) -> None:
        for defence, case in [
            ("cursor", "totals"),
            ("identity", "retries"),
            ("chain", "tampered"),
            ("batch", "totals"),
        ]:
            with self.subTest(defence=defence):
                self.assertFalse(all(row.holds for row in experiment(10, 0, 7, defence, case)))

    def test_kills_under_load_pass_only_if_unsettled_usage_is_disputed(self) -> None:
        for defence, holds in ((None, True), ("disputed", False)):
            with self.subTest(defence=defence):
                self.assertEqual(all(row.holds for row in experiment(1, 5, 3, defence, "kills")), holds)


if __name__ == "__main__":
    unittest.main()
