"""Pictures of a run, by matplotlib; loaded only where one is asked for."""

from __future__ import annotations

from typing import Any


def plot_maintenance_day(shown: list[tuple[float, float, float, float, int]], path: str) -> None:
    """Work over a day: minutes, capacity that serves, what is asked for, what must stay in, machines away."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    minutes = [s[0] for s in shown]
    figure, (rates, away) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for at, name in ((1, "capacity that serves"), (2, "asked for"), (3, "must stay in")):
        rates.plot(minutes, [s[at] for s in shown], label=name)
    away.plot(minutes, [s[4] for s in shown])
    rates.set_ylabel("RPCs a second")
    away.set_ylabel("machines away")
    away.set_xlabel("minutes since all were asked for")
    rates.set_ylim(bottom=0)
    rates.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def plot_starts(runs: dict[str, dict[str, Any]], path: str) -> None:
    """`runs`: by name, `by_second` (s, servers warm, calls so far), `servers` and `bears` calls a second."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (warm, calls) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for name, run in runs.items():
        seconds = [at for at, _, _ in run["by_second"]]
        warm.plot(seconds, [100.0 * count / run["servers"] for _, count, _ in run["by_second"]], label=name)
        made = [so_far for _, _, so_far in run["by_second"]]
        steps = zip(run["by_second"], run["by_second"][1:], strict=False)
        rates = [(b[2] - a[2]) / max(0.01, b[0] - a[0]) for a, b in steps]
        calls.plot(seconds[1:], rates, label=f"{name}, {made[-1]} in all")
        calls.axhline(run["bears"], color="grey", linestyle=":")
    warm.set_ylabel("servers warm, %")
    calls.set_ylabel("calls a second at the store")
    calls.set_xlabel("s since the start; dotted: what the store bears")
    warm.legend()
    calls.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
