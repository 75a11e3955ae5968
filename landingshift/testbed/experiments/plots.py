"""Pictures of runs, by matplotlib, which is loaded only where one is asked for."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

MIN_STEP_SECONDS = 0.01
DAY_SIZE_INCHES = (9, 6)
START_SIZE_INCHES = (9, 6)

DaySample = tuple[float, float, float, float, int]
"""Minutes, RPCs a second that are served, that are asked for and that must stay served, machines away."""


def plot_maintenance_day(samples: list[DaySample], path: str) -> None:
    """Plots maintenance over a day: capacity and demand, and the machines that are out of service."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    minutes = [sample[0] for sample in samples]
    figure, (rates, unavailable) = pyplot.subplots(2, 1, figsize=DAY_SIZE_INCHES, sharex=True)
    for column, name in ((1, "capacity that serves"), (2, "asked for"), (3, "must stay in")):
        rates.plot(minutes, [sample[column] for sample in samples], label=name)
    unavailable.plot(minutes, [sample[4] for sample in samples])
    rates.set_ylabel("RPCs a second")
    unavailable.set_ylabel("machines away")
    unavailable.set_xlabel("minutes since all were asked for")
    rates.set_ylim(bottom=0)
    rates.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_starts(runs: dict[str, dict[str, Any]], path: str) -> None:
    """Plots cold starts: how much of the fleet is warm, and what the database has to serve.

    Args:
        runs: The series of rows, by name: `by_second` (seconds, servers warm, calls so far), `servers`, and
            `bears`, the calls a second that the database serves.
        path: Of the picture.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (warm, calls) = pyplot.subplots(2, 1, figsize=START_SIZE_INCHES, sharex=True)
    for name, run in runs.items():
        samples = run["by_second"]
        seconds = [at for at, _, _ in samples]
        warm_percent = [100.0 * warm_count / run["servers"] for _, warm_count, _ in samples]
        warm.plot(seconds, warm_percent, label=name)
        call_count = samples[-1][2]
        calls.plot(seconds[1:], _call_rates(samples), label=f"{name}, {call_count} in all")
        calls.axhline(run["bears"], color="grey", linestyle=":")
    warm.set_ylabel("servers warm, %")
    calls.set_ylabel("calls a second at the store")
    calls.set_xlabel("s since the start; dotted: what the store bears")
    warm.legend()
    calls.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _call_rates(samples: list[tuple[float, int, int]]) -> list[float]:
    """Returns the calls a second between each two samples."""
    return [
        (later[2] - earlier[2]) / max(MIN_STEP_SECONDS, later[0] - earlier[0])
        for earlier, later in pairwise(samples)
    ]
