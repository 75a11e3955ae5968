"""Plots of experiments. matplotlib is imported only when a plot is drawn."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

MIN_STEP_SECONDS = 0.01
DAY_SIZE_INCHES = (9, 6)
START_SIZE_INCHES = (9, 6)

DaySample = tuple[float, float, float, float, int]
"""Minutes since the requests; capacity, demand and capacity floor in RPCs per second; unavailable count."""


def plot_maintenance_day(samples: list[DaySample], path: str) -> None:
    """Plots a day of maintenance to the image file `path`: capacity, demand and unavailable machines."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    minutes = [sample[0] for sample in samples]
    figure, (rates, unavailable) = pyplot.subplots(2, 1, figsize=DAY_SIZE_INCHES, sharex=True)
    for column, name in ((1, "capacity in service"), (2, "demand"), (3, "capacity floor")):
        rates.plot(minutes, [sample[column] for sample in samples], label=name)
    unavailable.plot(minutes, [sample[4] for sample in samples])
    rates.set_ylabel("RPCs per second")
    unavailable.set_ylabel("unavailable machines")
    unavailable.set_xlabel("minutes since maintenance was requested")
    rates.set_ylim(bottom=0)
    rates.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_starts(runs: dict[str, dict[str, Any]], path: str) -> None:
    """Plots cold starts: the percentage of warm servers and the rate of database calls over time.

    Args:
        runs: The `series` of rows, by row name. Of each, `by_second` has samples of elapsed seconds, warm
            servers and database calls so far, `servers` is the number of servers, and `bears` is the database
            capacity in calls per second.
        path: Path of the image file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (warm, calls) = pyplot.subplots(2, 1, figsize=START_SIZE_INCHES, sharex=True)
    for name, run in runs.items():
        samples = run["by_second"]
        seconds = [elapsed for elapsed, _, _ in samples]
        warm_percent = [100.0 * warm_count / run["servers"] for _, warm_count, _ in samples]
        warm.plot(seconds, warm_percent, label=name)
        call_count = samples[-1][2]
        calls.plot(seconds[1:], _call_rates(samples), label=f"{name}, {call_count} in total")
        calls.axhline(run["bears"], color="grey", linestyle=":")
    warm.set_ylabel("warm servers, %")
    calls.set_ylabel("database calls per second")
    calls.set_xlabel("seconds since the start; dotted: database capacity")
    warm.legend()
    calls.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _call_rates(samples: list[tuple[float, int, int]]) -> list[float]:
    """Returns the calls per second between each two consecutive samples."""
    return [
        (later[2] - earlier[2]) / max(MIN_STEP_SECONDS, later[0] - earlier[0])
        for earlier, later in pairwise(samples)
    ]
