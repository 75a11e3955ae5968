"""What an experiment shows: a row a case, with its figures and the requirements that were violated."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from landingshift.testbed import MEMORY

MAXIMUM_FIGURES = ("versions", "overlap_ms")
"""Whole numbers of which the largest of all runs counts; others are added up."""


@dataclass(slots=True)
class ExperimentRow:
    """One case of an experiment.

    Attributes:
        name: Of the case, as the command line knows it.
        runs: How often it was played.
        figures: What was measured, by name.
        violations: A text for each requirement that did not hold.
        series: What was measured over time, for a plot.
    """

    name: str
    runs: int = 0
    figures: dict[str, Any] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    series: dict[str, Any] = field(default_factory=dict)

    @property
    def holds(self) -> bool:
        """Whether no requirement was violated."""
        return not self.violations

    def require(self, holds: bool, violation: str) -> None:
        """Notes a violation unless the requirement holds."""
        if not holds:
            self.violations.append(violation)

    def record_max(self, name: str, value: float) -> None:
        """Notes a figure, of which the largest of all runs counts."""
        self.figures[name] = max(self.figures.get(name, 0.0), round(value, 2))

    def to_json(self) -> dict[str, Any]:
        """Returns the row under the keys of `--json`."""
        return {
            "name": self.name,
            "runs": self.runs,
            "figures": self.figures,
            "broken": self.violations,
            "series": self.series,
            "holds": self.holds,
        }


RealCase = Callable[[str, int, int, ExperimentRow], None]
"""Plays a case with real processes; arguments are folder, number of servers, seed and row."""


def play_real_row(name: str, play: RealCase, servers: int, runs: int, seed: int) -> ExperimentRow:
    """Plays a case of real processes `runs` times, in a folder of its own each."""
    row = ExperimentRow(name)
    for run_seed in range(seed, seed + runs):
        with tempfile.TemporaryDirectory(dir=MEMORY) as folder:
            run_row = ExperimentRow(name)
            play(folder, servers, run_seed, run_row)
        row.violations += [f"seed {run_seed}: {text}" for text in run_row.violations]
        row.runs += 1
        _merge_figures(row.figures, run_row.figures)
    return row


def play_real_rows(
    cases: dict[str, RealCase],
    long_cases: dict[str, RealCase],
    only: str | None,
    servers: int,
    runs: int,
    seed: int,
) -> Iterator[ExperimentRow]:
    """Plays all of `cases`, or the one that is asked for.

    Args:
        cases: Those that are played by default.
        long_cases: Those that are played only where one of them is asked for.
        only: The name of the one to play; None for all.
        servers: How many servers each has.
        runs: How often each is played.
        seed: Of the first run.
    """
    for name, play in (cases | long_cases).items():
        if only == name or (only is None and name in cases):
            yield play_real_row(name, play, servers, runs, seed)


def _merge_figures(total: dict[str, Any], new: dict[str, Any]) -> None:
    """Adds up counts; of other figures the largest stays."""
    for key, value in new.items():
        if isinstance(value, dict):
            _merge_figures(total.setdefault(key, {}), value)
        elif isinstance(value, int) and key not in MAXIMUM_FIGURES:
            total[key] = total.get(key, 0) + value
        elif isinstance(value, int | float):
            total[key] = max(total.get(key, 0), value)
        else:
            total[key] = value
