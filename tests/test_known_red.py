"""Only the tests that KNOWN-RED.txt names are passed over, and each name in it is that of a test."""

from __future__ import annotations

import unittest

from tests.known_red import LIST_FILE, listed_tests, tests_of


class KnownRedTest(unittest.TestCase):
    def test_an_entry_begins_at_the_start_of_a_line(self) -> None:
        text = "# comment\n\ntests.test_a.A.test_one\n    seen: tests.test_b.B.test_two fails\n"
        self.assertEqual(listed_tests(text), {"tests.test_a.A.test_one"})

    def test_each_listed_name_is_that_of_a_test(self) -> None:
        names = listed_tests(LIST_FILE.read_text()) if LIST_FILE.exists() else set()
        for name in names:
            with self.subTest(name=name):
                suite = unittest.defaultTestLoader.loadTestsFromName(name)
                self.assertEqual([test.id() for test in tests_of(suite)], [name])
