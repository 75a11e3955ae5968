"""What an experiment shows: a row a case, with its figures and what was broken."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

from landingshift.testbed import MEMORY


@dataclass(slots=True)
class Row:
    name: str
    runs: int = 0
    figures: dict[str, Any] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    series: dict[str, Any] = field(default_factory=dict)  # by second, for a plot

    @property
    def holds(self) -> bool:
        return not self.broken

    def told(self) -> dict[str, Any]:
        return asdict(self) | {"holds": self.holds}


def must(row: Row, holds: bool, what: str) -> None:
    if not holds:
        row.broken.append(what)


def many_real(
    name: str, play: Callable[[str, int, int, Row], None], servers: int, runs: int, seed: int
) -> Row:
    """A row of real processes, played `runs` times in a folder of its own each."""
    row = Row(name)
    for i in range(runs):
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            found = Row(name)
            play(folder, servers, seed + i, found)
            row.broken += [f"seed {seed + i}: {text}" for text in found.broken]
            row.runs += 1
            merge(row.figures, found.figures)
    return row


def all_real(
    rows: dict[str, Callable[[str, int, int, Row], None]],
    long: dict[str, Callable[[str, int, int, Row], None]],
    only: str | None,
    servers: int,
    runs: int,
    seed: int,
) -> Iterator[Row]:
    """Those of `rows`, or the one that is asked for; the `long` ones only where one of them is."""
    for name, play in (rows | long).items():
        if only == name or (only is None and name in rows):
            yield many_real(name, play, servers, runs, seed)


def merge(had: dict[str, Any], new: dict[str, Any]) -> None:
    """Counts are added up, of other figures the largest stays."""
    for key, value in new.items():
        if isinstance(value, dict):
            merge(had.setdefault(key, {}), value)
        elif isinstance(value, int) and key not in ("versions", "overlap_ms"):
            had[key] = had.get(key, 0) + value
        elif isinstance(value, int | float):
            had[key] = max(had.get(key, 0), value)
        else:
            had[key] = value
