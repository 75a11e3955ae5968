"""Runs the tests of one module except those that KNOWN-RED.txt lists, which it prints.

Usage: python -m tests.known_red tests.test_net
"""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

LIST_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def listed_tests(text: str) -> set[str]:
    """The full names of the tests in a list; an entry's other lines are indented."""
    lines = (line.rstrip() for line in text.splitlines())
    return {line for line in lines if line and not line.startswith(("#", " "))}


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """All tests of a suite and of the suites inside it, in their order."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from tests_of(item)
        else:
            yield item


def main(module: str) -> int:
    """Returns the exit status: 0 if all tests of `module` that are not listed pass."""
    known_red = listed_tests(LIST_FILE.read_text()) if LIST_FILE.exists() else set()
    tests = list(tests_of(unittest.defaultTestLoader.loadTestsFromName(module)))
    for test in tests:
        if test.id() in known_red:
            print(f"KNOWN RED, passed over: {test.id()}", file=sys.stderr)
    suite = unittest.TestSuite(test for test in tests if test.id() not in known_red)
    result = unittest.TextTestRunner(warnings="default").run(suite)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
