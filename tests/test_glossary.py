"""Tests that each term of the glossary occurs in the file that the glossary names."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\|(?P<outer_name>[^|]+)\|(?P<term>[^|]+)\|(?P<path>[^|]+)\|$")
PATH_COLUMN_HEADINGS = ("where defined", "---")


def parse_rows(text: str) -> list[tuple[str, str, str]]:
    """Return the outer name, the term and the file of each row of a three-column table, without headings."""
    matches = [ROW.match(line) for line in text.splitlines()]
    rows = [tuple(column.strip() for column in match.groups()) for match in matches if match]
    return [(outer_name, term, path) for outer_name, term, path in rows if path not in PATH_COLUMN_HEADINGS]


class GlossaryTest(unittest.TestCase):
    def test_each_term_occurs_in_the_file_that_its_row_names(self) -> None:
        rows = parse_rows((ROOT / "docs/glossary.md").read_text())
        for _, term, path in rows:
            names = re.findall(r"`([^`]+)`", term)
            with self.subTest(term=term, path=path):
                self.assertTrue(names, "the row has no term in backticks")
                text = (ROOT / path.strip("`")).read_text()
                for name in names:
                    for part in name.split("."):
                        self.assertRegex(text, rf"\b{re.escape(part)}\b")
