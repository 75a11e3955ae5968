"""One HTML page, with nothing to be fetched, of what chance faults brought about."""

from __future__ import annotations

import io
from html import escape
from typing import Any

from landingshift.testbed.experiments.scenarios import FAULT_KINDS, Coverage
from landingshift.testbed.verification.invariants import CLUSTER_INVARIANTS, PAGE_BY_INVARIANT

STYLE = """body{font:15px/1.45 system-ui,sans-serif;max-width:70rem;margin:2rem auto;color:#1c2733}
table{border-collapse:collapse;margin:1rem 0}
td,th{border:1px solid #d5dbe1;padding:.15rem .45rem;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}th.v{writing-mode:vertical-rl}
pre{background:#f3f5f7;padding:.8rem}
.holds{color:#176b3a}.broken{color:#a3201d;font-weight:600}figure{margin:1rem 0}"""


def render_page(figures: dict[str, Any], broken: list[str], smallest: list[dict[str, Any]], seen: Coverage,
         rested: list[float]) -> str:  # fmt: skip
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8><title>The fleet under chance faults</title>",
        f"<style>{STYLE}</style><h1>The fleet under chance faults</h1>",
        promises(broken),
        "<h2>Figures</h2>", table([[name, value] for name, value in sorted(figures.items())]),
        "<h2>Until all was well again</h2>", histogram(rested),
        "<h2>Failing days, made smaller</h2>", incidents(smallest),
        "<h2>Which faults have met</h2><p>How often the one began while the other was under way.</p>",
        pairs(seen),
        "<h2>At which stage</h2><p>Of which plan each began.</p>", stages(seen),
    ]  # fmt: skip
    return "\n".join(parts)


def promises(broken: list[str]) -> str:
    rows = []
    for name, check in CLUSTER_INVARIANTS.items():
        wrong = [text for text in broken if f" {name}:" in f" {text}"]
        how = (
            f"<span class=broken>broken {len(wrong)} times</span>"
            if wrong
            else "<span class=holds>held</span>"
        )
        said = escape(" ".join((check.__doc__ or "").split()))
        rows.append(f"<tr><td>{name}<td>{how}<td>{said}<td>{escape(PAGE_BY_INVARIANT[name])}")
    crashes = [text for text in broken if " crash:" in text]
    if crashes:
        rows.append(
            f"<tr><td>no crash<td><span class=broken>{len(crashes)} times</span><td>{escape(crashes[0])}<td>"
        )
    return f"<h2>Promises</h2><table>{''.join(rows)}</table>"


def table(rows: list[list[Any]]) -> str:
    found = "".join(f"<tr><td>{escape(str(a))}<td class=n>{escape(str(b))}" for a, b in rows)
    return f"<table>{found}</table>"


def incidents(smallest: list[dict[str, Any]]) -> str:
    if not smallest:
        return "<p>None failed.</p>"
    return "".join(
        f"<h3>Seed {one['seed']}: {escape(one['promise'])}</h3><p>Found by {one['plays']} plays.</p>"
        f"<pre>{escape(chr(10).join(one['told']))}</pre>"
        for one in smallest
    )


def shade(count: int, most: int) -> str:
    if not count:
        return " style='background:#f7d9d8'"
    return f" style='background:rgba(40,110,170,{0.08 + 0.5 * count / most:.2f})'"


def pairs(seen: Coverage) -> str:
    met, names = seen.pair_counts(), sorted(FAULT_KINDS)
    most = max(met.values(), default=1)
    head = "".join(f"<th class=v>{n}" for n in names)
    rows = []
    for i, a in enumerate(names):
        cells = ["<td>" if j < i else "" for j in range(i)]
        for b in names[i:]:
            count = met.get((a, b), 0)
            cells.append(f"<td class=n{shade(count, most)}>{count}")
        rows.append(f"<tr><th>{a}{''.join(cells)}")
    return f"<table><tr><th>{head}{''.join(rows)}</table><p>{len(seen.unmet_pairs())} pairs have not met.</p>"


def stages(seen: Coverage) -> str:
    met = seen.stage_counts()
    names, found = sorted(FAULT_KINDS), sorted({stage for _, stage in met})
    most = max(met.values(), default=1)
    head = "".join(f"<th class=v>{s}" for s in found)
    rows = [
        f"<tr><th>{a}"
        + "".join(f"<td class=n{shade(met.get((a, s), 0), most)}>{met.get((a, s), 0)}" for s in found)
        for a in names
    ]
    return f"<table><tr><th>{head}{''.join(rows)}</table>"


def histogram(rested: list[float]) -> str:
    """As a picture within the page; matplotlib is loaded here and nowhere else."""
    if not rested:
        return ""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 2.6))
    axes.hist([ms / 1000.0 for ms in rested], bins=40, color="#2a6ea6")
    axes.set_xlabel("s from the last fault's end until all is well")
    axes.set_ylabel("days")
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    return f"<figure>{out.getvalue()[out.getvalue().index('<svg') :]}</figure>"
