"""Results of experiments: one row for each case, with measured values and violated requirements."""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from landingshift.testbed import MEMORY

MAXIMUM_FIGURES = ("versions", "overlap_ms")
"""Integer values of which a row shows the maximum over all runs; all other integers are added up."""


@dataclass(slots=True)
class ExperimentRow:
    """Result of one case of an experiment.

    Attributes:
        name: Name of the case on the command line.
        runs: Number of runs of the case.
        figures: Measured values by name.
        violations: One description for each requirement that was violated.
        series: Data by name that `--json` and plots need, mostly samples over time.
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
        """Adds `violation` unless the requirement holds."""
        if not holds:
            self.violations.append(violation)

    def record_max(self, name: str, value: float) -> None:
        """Records a value, rounded to two decimals, unless a larger one is already recorded."""
        self.figures[name] = max(self.figures.get(name, 0.0), round(value, 2))

    def to_json(self) -> dict[str, Any]:
        """Returns the row with the keys that `--json` writes."""
        return {
            "name": self.name,
            "runs": self.runs,
            "figures": self.figures,
            "broken": self.violations,
            "series": self.series,
            "holds": self.holds,
        }


RealCase = Callable[[str, int, int, ExperimentRow], None]
"""Runs a case with real processes and fills the row; arguments: folder, number of servers, seed, row."""


def play_real_row(name: str, play: RealCase, servers: int, runs: int, seed: int) -> ExperimentRow:
    """Runs a case with real processes for `runs` consecutive seeds, each in its own temporary folder."""
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
    """Runs all of `cases`, or the single case named `only`, and yields a row for each.

    Args:
        cases: Cases that run by default, by name.
        long_cases: Cases that run only if `only` names them.
        only: Name of the single case to run; None for all of `cases`.
        servers: Number of servers of each case.
        runs: Number of runs of each case.
        seed: Seed of the first run of each case.
    """
    for name, play in (cases | long_cases).items():
        if only == name or (only is None and name in cases):
            yield play_real_row(name, play, servers, runs, seed)


def _merge_figures(total: dict[str, Any], new: dict[str, Any]) -> None:
    """Adds the values of a run to `total`.

    Integers are added up, except `MAXIMUM_FIGURES`. Of these and of floats the larger value is kept. Nested
    dicts are merged in the same way, and any other value replaces the previous one.
    """
    for key, value in new.items():
        if isinstance(value, dict):
            _merge_figures(total.setdefault(key, {}), value)
        elif isinstance(value, int) and key not in MAXIMUM_FIGURES:
            total[key] = total.get(key, 0) + value
        elif isinstance(value, int | float):
            total[key] = max(total.get(key, 0), value)
        else:
            total[key] = value
