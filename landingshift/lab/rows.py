"""What an experiment shows: a row a case, with its figures and what was broken."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


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
