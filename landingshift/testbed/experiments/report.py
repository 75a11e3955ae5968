"""Self-contained HTML report on a run of scenarios with random faults."""

from __future__ import annotations

import io
from html import escape
from typing import Any

from landingshift.testbed.experiments.scenarios import FAULT_KINDS, Coverage
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, PAGE_BY_INVARIANT

HISTOGRAM_SIZE_INCHES = (8, 2.6)
HISTOGRAM_BIN_COUNT = 40
STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:70rem;margin:2rem auto;color:#1c2733}
table{border-collapse:collapse;margin:1rem 0}
td,th{border:1px solid #d5dbe1;padding:.15rem .45rem;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}th.v{writing-mode:vertical-rl}
pre{background:#f3f5f7;padding:.8rem}
.holds{color:#176b3a}.broken{color:#a3201d;font-weight:600}figure{margin:1rem 0}"""


def render_page(
    figures: dict[str, Any],
    violations: list[str],
    failures: list[dict[str, Any]],
    coverage: Coverage,
    recovery_ms: list[float],
) -> str:
    """Returns the report as an HTML page.

    Args:
        figures: Measured values of the run, by name.
        violations: Violations of all scenarios, each with seed and invariant.
        failures: Failing scenarios that were shrunk, with the keys `seed`, `promise`, `plays` and `told`.
        coverage: Counts of the faults that overlapped.
        recovery_ms: For each scenario, the time from the end of its last fault until the fleet had recovered.
    """
    figure_rows = [(name, value) for name, value in sorted(figures.items())]
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8><title>The fleet under random faults</title>",
        f"<style>{STYLE}</style><h1>The fleet under random faults</h1>",
        _render_invariants(violations),
        "<h2>Measured values</h2>",
        _render_figures(figure_rows),
        "<h2>Recovery times</h2>",
        _render_histogram(recovery_ms),
        "<h2>Failing scenarios, shrunk</h2>",
        _render_failures(failures),
        "<h2>Which faults have met</h2><p>How often one fault began while the other was active.</p>",
        _render_pairs(coverage),
        "<h2>Stages</h2>"
        "<p>How often a fault began at each stage of a policy change, of maintenance or of a cold start.</p>",
        _render_stages(coverage),
    ]
    return "\n".join(parts)


def _render_invariants(violations: list[str]) -> str:
    rows = []
    for name, check in CLUSTER_INVARIANTS.items():
        violation_count = sum(f" {name}:" in f" {text}" for text in violations)
        result = "<span class=holds>held</span>"
        if violation_count:
            result = f"<span class=broken>violated {violation_count} times</span>"
        description = escape(" ".join((check.__doc__ or "").split()))
        rows.append(f"<tr><td>{name}<td>{result}<td>{description}<td>{escape(PAGE_BY_INVARIANT[name])}")
    crashes = [text for text in violations if " crash:" in text]
    if crashes:
        result = f"<span class=broken>{len(crashes)} times</span>"
        rows.append(f"<tr><td>no crash<td>{result}<td>{escape(crashes[0])}<td>")
    return f"<h2>Invariants</h2><table>{''.join(rows)}</table>"


def _render_figures(rows: list[tuple[str, Any]]) -> str:
    cells = "".join(f"<tr><td>{escape(name)}<td class=n>{escape(str(value))}" for name, value in rows)
    return f"<table>{cells}</table>"


def _render_failures(failures: list[dict[str, Any]]) -> str:
    if not failures:
        return "<p>None failed.</p>"
    return "".join(
        f"<h3>Seed {failure['seed']}: {escape(failure['promise'])}</h3>"
        f"<p>Shrunk by playing {failure['plays']} scenarios.</p>"
        f"<pre>{escape(chr(10).join(failure['told']))}</pre>"
        for failure in failures
    )


def _shade(count: int, max_count: int) -> str:
    """Returns the style attribute of a table cell: red for 0, otherwise a darker blue for a higher count."""
    if not count:
        return " style='background:#f7d9d8'"
    return f" style='background:rgba(40,110,170,{0.08 + 0.5 * count / max_count:.2f})'"


def _render_pairs(coverage: Coverage) -> str:
    counts = coverage.pair_counts()
    kinds = sorted(FAULT_KINDS)
    max_count = max(counts.values(), default=1)
    head = "".join(f"<th class=v>{kind}" for kind in kinds)
    rows = []
    for index, kind in enumerate(kinds):
        cells = ["<td>"] * index
        for other in kinds[index:]:
            count = counts.get((kind, other), 0)
            cells.append(f"<td class=n{_shade(count, max_count)}>{count}")
        rows.append(f"<tr><th>{kind}{''.join(cells)}")
    unmet_count = len(coverage.unmet_pairs())
    return f"<table><tr><th>{head}{''.join(rows)}</table><p>{unmet_count} pairs have never overlapped.</p>"


def _render_stages(coverage: Coverage) -> str:
    counts = coverage.stage_counts()
    stages = sorted({stage for _, stage in counts})
    max_count = max(counts.values(), default=1)
    head = "".join(f"<th class=v>{stage}" for stage in stages)
    rows = []
    for kind in sorted(FAULT_KINDS):
        stage_counts = [counts.get((kind, stage), 0) for stage in stages]
        cells = [f"<td class=n{_shade(count, max_count)}>{count}" for count in stage_counts]
        rows.append(f"<tr><th>{kind}{''.join(cells)}")
    return f"<table><tr><th>{head}{''.join(rows)}</table>"


def _render_histogram(recovery_ms: list[float]) -> str:
    """Returns the histogram of recovery times as inline SVG; "" if there are none."""
    if not recovery_ms:
        return ""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=HISTOGRAM_SIZE_INCHES)
    axes.hist([ms / 1000.0 for ms in recovery_ms], bins=HISTOGRAM_BIN_COUNT, color="#2a6ea6")
    axes.set_xlabel("seconds from the end of the last fault until recovery")
    axes.set_ylabel("scenarios")
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    svg = out.getvalue()
    return f"<figure>{svg[svg.index('<svg') :]}</figure>"
