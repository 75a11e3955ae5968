"""The corpus: failing scenarios as files that can be played again, and the report of a run."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from landingshift.errors import LandingshiftError
from landingshift.testbed.experiments.chance_faults import SearchResult
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import Coverage, Scenario, describe_scenario, encode_scenario

SCENARIO_KEY = "day"
"""Of a failure in the row; the scenario itself is in the corpus, and not in the report."""


class UnreadableReportError(LandingshiftError, ValueError):
    """A report could not be read.

    Attributes:
        path: Of the file.
        reason: What is wrong with it.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RunReport(Struct):
    """The report of a run, as its file has it.

    Attributes:
        figures: Of the row.
        violations: Of all scenarios.
        smallest: Each shrunk failure.
        overlaps: How often a kind of fault began while another one was under way, at a stage.
        recovery_ms: Until each scenario's cluster was at rest.
    """

    figures: dict[str, Any]
    violations: list[str] = msgspec.field(name="broken")
    smallest: list[dict[str, Any]]
    overlaps: list[tuple[str, str, str, int]] = msgspec.field(name="met")
    recovery_ms: list[float] = msgspec.field(name="rested")

    def coverage(self) -> Coverage:
        """Returns which faults met which others."""
        coverage = Coverage()
        coverage.counts = Counter(
            {(kind, other, stage): count for kind, other, stage, count in self.overlaps}
        )
        return coverage


def report_of(row: ExperimentRow, result: SearchResult) -> RunReport:
    """Returns the report of a run."""
    smallest = [
        {key: value for key, value in failure.items() if key != SCENARIO_KEY}
        for failure in row.series["smallest"]
    ]
    overlaps = [(*key, count) for key, count in sorted(result.coverage.counts.items())]
    return RunReport(row.figures, row.violations, smallest, overlaps, result.recovery_ms)


def save_report(path: str, row: ExperimentRow, result: SearchResult) -> None:
    """Writes the report of a run to a file."""
    Path(path).write_bytes(msgspec.json.encode(report_of(row, result)))


def load_report(path: str) -> RunReport:
    """Reads a report.

    Raises:
        UnreadableReportError: Names the file.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=RunReport)
    except (OSError, msgspec.DecodeError) as err:
        raise UnreadableReportError(path, str(err)) from err


def add_scenarios(folder: str, scenarios: list[Scenario]) -> list[str]:
    """Writes a file for each scenario, with its description in a text beside it; returns their paths."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    paths = []
    for scenario in scenarios:
        path = Path(folder, f"day-{scenario.seed}.json")
        path.write_bytes(encode_scenario(scenario))
        path.with_suffix(".txt").write_text("\n".join(describe_scenario(scenario)) + "\n")
        paths.append(str(path))
    return paths
