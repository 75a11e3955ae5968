"""Each term of the glossary is found in the file that the glossary names."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\|(?P<outside>[^|]+)\|(?P<term>[^|]+)\|(?P<place>[^|]+)\|$")
HEADINGS = ("where defined", "---")


def rows_of(text: str) -> list[tuple[str, str, str]]:
    """Outside name, term and place of each row with three columns."""
    matches = [ROW.match(line) for line in text.splitlines()]
    rows = [tuple(column.strip() for column in match.groups()) for match in matches if match]
    return [(outside, term, place) for outside, term, place in rows if place not in HEADINGS]


class Glossary(unittest.TestCase):
    def test_each_term_occurs_where_the_glossary_says(self) -> None:
        rows = rows_of((ROOT / "docs/glossary.md").read_text())
        for _, term, place in rows:
            names = re.findall(r"`([^`]+)`", term)
            with self.subTest(term=term, place=place):
                self.assertTrue(names, "a term stands in backticks")
                text = (ROOT / place.strip("`")).read_text()
                for name in names:
                    for part in name.split("."):
                        self.assertRegex(text, rf"\b{re.escape(part)}\b")
