"""The burn report as one self-contained HTML page with plots."""

import base64
import html
import io
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from pondpin.burn import Burn, Count
from pondpin.configuration import Objective
from pondpin.tools.objectives import show_window
from pondpin.tools.prometheus_text import Samples

STYLE = """
body{font-family:system-ui,sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0;width:100%}
th,td{border-bottom:1px solid #ddd;padding:.4rem .7rem;text-align:right}
th:first-child,td:first-child{text-align:left}
.bad{background:#fde2e1}.good{background:#e6f4ea}.none{color:#777}
img{max-width:100%}pre{background:#f6f6f6;padding:.7rem;white-space:pre-wrap}
"""
TTFT = "pondpin_time_to_first_token_seconds_bucket"


class ReportData(Protocol):
    """What the page shows."""

    samples: Samples
    coverage: Any
    counts_by_objective: dict[str, list[Count]]

    def burns(self, objective: Objective) -> list[Burn]:
        """Burns over all windows."""
        ...


def write_page(
    objectives: Sequence[Objective], data: ReportData, tell_coverage: Callable[[Any], str]
) -> str:
    """The page's text."""
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>pondpin: burn of objectives</title><style>{STYLE}</style></head><body>",
        "<h1>Burn of service-level objectives</h1>",
        "<p>A burn of 1 spends the error budget exactly over the objective's period; more spends"
        " it too soon. A cell says how much of its window there is data for.</p>",
        _burn_table(objectives, data),
        "<h2>Time to first token by length class</h2>",
        _picture(_plot_first_token(data.samples)),
        "<h2>Good share over time</h2>",
        _picture(_plot_good(objectives, data)),
        f"<h2>What this covers</h2><pre>{html.escape(tell_coverage(data.coverage))}</pre>",
        "</body></html>",
    ]
    return "\n".join(parts)


def _burn_table(objectives: Sequence[Objective], data: ReportData) -> str:
    rows = []
    heads: list[str] = []
    for objective in objectives:
        burns = data.burns(objective)
        heads = [show_window(item.window) for item in burns]
        cells = "".join(_burn_cell(item) for item in burns)
        name = html.escape(objective.name)
        rows.append(f"<tr><td>{name}</td><td>{objective.target:.3%}</td>{cells}</tr>")
    head = "".join(f"<th>{item}</th>" for item in heads)
    return f"<table><tr><th>objective</th><th>target</th>{head}</tr>{''.join(rows)}</table>"


def _burn_cell(burn: Burn) -> str:
    if burn.total <= 0:
        return "<td class='none'>no data</td>"
    kind = "bad" if burn.rate > 1 else "good"
    part = "" if burn.covered >= burn.window else f"<br><small>{burn.covered:.0f} s</small>"
    return f"<td class='{kind}'>{burn.rate:.2f}{part}</td>"


def _plot_first_token(samples: Samples) -> Any:
    """The share of requests whose first token came within a time, by class."""
    figure, axes = pyplot.subplots(figsize=(8, 3.6))
    by_class: dict[str, dict[float, float]] = {}
    for labels, value in samples.by_name[TTFT].items():
        plain = dict(labels)
        edge = float(plain.get("le", "inf").replace("+Inf", "inf"))
        by_class.setdefault(plain.get("class", ""), {})[edge] = value
    for name, counts in sorted(by_class.items()):
        total = counts.get(float("inf"), 0.0)
        edges = sorted(edge for edge in counts if edge != float("inf"))
        if total > 0:
            shares = [counts[edge] / total * 100 for edge in edges]
            axes.plot(edges, shares, marker=".", label=f"{name} ({total:.0f})")
    axes.set_xscale("log")
    axes.set_xlabel("seconds from arrival to first token (service calls: to the answer)")
    axes.set_ylabel("% of requests")
    axes.grid(True, alpha=0.3)
    if by_class:
        axes.legend()
    return figure


def _plot_good(objectives: Sequence[Objective], data: ReportData) -> Any:
    figure, axes = pyplot.subplots(figsize=(8, 3.6))
    for objective in objectives:
        counts = [item for item in data.counts_by_objective.get(objective.name, []) if item.total]
        if counts:
            times = [item.at - counts[0].at for item in counts]
            shares = [item.good / item.total * 100 for item in counts]
            axes.plot(times, shares, marker=".", label=objective.name)
    axes.set_xlabel("seconds since the first reading")
    axes.set_ylabel("good events so far, %")
    axes.grid(True, alpha=0.3)
    axes.legend()
    return figure


def _picture(figure: Any) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=110)
    pyplot.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f"<img alt='plot' src='data:image/png;base64,{encoded}'>"
