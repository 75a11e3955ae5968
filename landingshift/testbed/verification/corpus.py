"""Failing days on disk, each a file of its own that can be played again, and all figures of a run."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from landingshift.testbed.experiments.chance_faults import Played
from landingshift.testbed.experiments.rows import Row
from landingshift.testbed.experiments.scenarios import Coverage, Day, told, written


class Found(Struct):
    """A run, as a file."""

    figures: dict[str, Any]
    broken: list[str]
    smallest: list[dict[str, Any]]
    met: list[tuple[str, str, str, int]]
    rested: list[float]

    def seen(self) -> Coverage:
        coverage = Coverage()
        coverage.met = Counter({(a, b, stage): count for a, b, stage, count in self.met})
        return coverage


def found(row: Row, whole: Played) -> Found:
    smallest = [{k: v for k, v in one.items() if k != "day"} for one in row.series["smallest"]]
    met = [(*key, count) for key, count in sorted(whole.coverage.met.items())]
    return Found(row.figures, row.broken, smallest, met, whole.rested)


def save(path: str, row: Row, whole: Played) -> None:
    Path(path).write_bytes(msgspec.json.encode(found(row, whole)))


def load(path: str) -> Found:
    """Raises ValueError that names the file."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Found)
    except (OSError, msgspec.DecodeError) as err:
        raise ValueError(f"{path}: {err}") from err


def keep(folder: str, days: list[Day]) -> list[str]:
    """A file a day, told in a text beside it; their paths."""
    Path(folder).mkdir(parents=True, exist_ok=True)
    paths = []
    for day in days:
        path = Path(folder, f"day-{day.seed}.json")
        path.write_bytes(written(day))
        path.with_suffix(".txt").write_text("\n".join(told(day)) + "\n")
        paths.append(str(path))
    return paths
