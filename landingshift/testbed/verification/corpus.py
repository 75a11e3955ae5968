"""Reads and writes the results of a search: the corpus of failing scenarios, and the report of a search.

The corpus is a folder with one JSON file per failing scenario, from which the scenario can be replayed.
"""

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
"""Key of the scenario in the description of a failure.

The report leaves the scenario out, because the corpus has it.
"""


class UnreadableReportError(LandingshiftError, ValueError):
    """Raised when a report file is missing, unreadable or not a valid report.

    Attributes:
        path: Path of the report file.
        reason: Text of the underlying error.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class RunReport(Struct):
    """The content of a report file: results of one search for scenarios that violate an invariant.

    Attributes:
        figures: Measured values of the search, keyed by name.
        violations: Violations of all scenarios, as text.
        smallest: One entry for each failing scenario, after shrinking, without the scenario itself.
        overlaps: Each entry has the kind of the fault that began, the kind of a fault that was active then,
            the stage of a policy change or maintenance at that time, and how often this combination occurred.
        recovery_ms: For each scenario, the time from its last fault until the cluster was quiescent.
    """

    figures: dict[str, Any]
    violations: list[str] = msgspec.field(name="broken")
    smallest: list[dict[str, Any]]
    overlaps: list[tuple[str, str, str, int]] = msgspec.field(name="met")
    recovery_ms: list[float] = msgspec.field(name="rested")

    def coverage(self) -> Coverage:
        """Returns the overlaps of faults as a `Coverage`."""
        coverage = Coverage()
        coverage.counts = Counter(
            {(kind, other, stage): count for kind, other, stage, count in self.overlaps}
        )
        return coverage


def build_report(row: ExperimentRow, result: SearchResult) -> RunReport:
    """Builds the report of a search from its experiment row and its result."""
    smallest = [
        {key: value for key, value in failure.items() if key != SCENARIO_KEY}
        for failure in row.series["smallest"]
    ]
    overlaps = [(*key, count) for key, count in sorted(result.coverage.counts.items())]
    return RunReport(row.figures, row.violations, smallest, overlaps, result.recovery_ms)


def save_report(path: str, row: ExperimentRow, result: SearchResult) -> None:
    """Writes the report of a search to a file, as JSON."""
    Path(path).write_bytes(msgspec.json.encode(build_report(row, result)))


def load_report(path: str) -> RunReport:
    """Reads a report file.

    Raises:
        UnreadableReportError: The file cannot be read or is not a report.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=RunReport)
    except (OSError, msgspec.DecodeError) as err:
        raise UnreadableReportError(path, str(err)) from err


def add_scenarios(folder: str, scenarios: list[Scenario]) -> list[str]:
    """Writes each scenario to `folder`, as JSON and as a description in a text file of the same name.

    Creates the folder if it does not exist. Returns the paths of the JSON files.
    """
    Path(folder).mkdir(parents=True, exist_ok=True)
    paths = []
    for scenario in scenarios:
        path = Path(folder, f"day-{scenario.seed}.json")
        path.write_bytes(encode_scenario(scenario))
        path.with_suffix(".txt").write_text("\n".join(describe_scenario(scenario)) + "\n")
        paths.append(str(path))
    return paths
