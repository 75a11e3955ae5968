"""Failing days on disk, each a file of its own that can be played again, and all figures of a run."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from landingshift.testbed.experiments.chance_faults import SearchResult
from landingshift.testbed.experiments.rows import ExperimentRow
from landingshift.testbed.experiments.scenarios import Coverage, Scenario, describe_scenario, encode_scenario


class Found(Struct):
    """A run, as a file."""

    figures: dict[str, Any]
    broken: list[str]
    smallest: list[dict[str, Any]]
    met: list[tuple[str, str, str, int]]
    rested: list[float]

    def seen(self) -> Coverage:
        coverage = Coverage()
        coverage.counts = Counter({(a, b, stage): count for a, b, stage, count in self.met})
        return coverage


def found(row: ExperimentRow, whole: SearchResult) -> Found:
    smallest = [{k: v for k, v in one.items() if k != "day"} for one in row.series["smallest"]]
    met = [(*key, count) for key, count in sorted(whole.coverage.counts.items())]
    return Found(row.figures, row.violations, smallest, met, whole.recovery_ms)


def save(path: str, row: ExperimentRow, whole: SearchResult) -> None:
    Path(path).write_bytes(msgspec.json.encode(found(row, whole)))


def load(path: str) -> Found:
    """Raises ValueError that names the file."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Found)
    except (OSError, msgspec.DecodeError) as err:
        raise ValueError(f"{path}: {err}") from err


def keep(folder: str, days: list[Scenario]) -> list[str]:
    """A file a day, told in a text beside it; their paths."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    paths = []
    for day in days:
        path = Path(folder, f"day-{day.seed}.json")
        path.write_bytes(encode_scenario(day))
        path.with_suffix(".txt").write_text("\n".join(describe_scenario(day)) + "\n")
        paths.append(str(path))
    return paths
