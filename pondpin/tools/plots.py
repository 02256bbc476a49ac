"""Plots of experiments, as PNG files."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from pondpin.tools.experiment import ExperimentResult
from pondpin.tools.experiment_report import class_measure, group_cells, spread


def plot_first_token(result: ExperimentResult, length_class: str, path: Path) -> None:
    """TTFT p95 of a class over the load, a line for each variant, the seeds' spread as bars."""
    measure = class_measure(length_class, lambda item: item.first_token.p95)
    groups = group_cells(result)
    figure, axes = pyplot.subplots(figsize=(7, 4.2))
    for variant in dict.fromkeys(cell.variant for cell in result.cells):
        points = []
        for (load, name), cells in groups.items():
            found = spread([value for value in map(measure, cells) if value is not None])
            if name == variant and found is not None:
                points.append((load * 100, found))
        loads = [load for load, _ in points]
        means = [found.mean for _, found in points]
        low = [found.mean - found.least for _, found in points]
        high = [found.greatest - found.mean for _, found in points]
        axes.errorbar(loads, means, yerr=[low, high], marker="o", capsize=3, label=variant)
    axes.set_yscale("log")
    axes.set_xlabel("load, % of capacity")
    axes.set_ylabel(f"time to first token of {length_class} requests, p95, s")
    axes.set_title(result.experiment)
    axes.grid(True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
