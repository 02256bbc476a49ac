"""Tables of experiments: means over seeds with their spread, and ratios against the baselines."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from pondpin.tools.experiment import CellResult, ExperimentResult
from pondpin.tools.summary import ClassSummary

Measure = Callable[[CellResult], float | None]


@dataclass(frozen=True, slots=True)
class Spread:
    """Mean, least and greatest of some values."""

    mean: float
    least: float
    greatest: float

    def show(self, unit: float = 1.0, digits: int = 0) -> str:
        """As 'mean (least to greatest)'."""
        mean, least, greatest = (value * unit for value in (self.mean, self.least, self.greatest))
        return f"{mean:.{digits}f} ({least:.{digits}f}-{greatest:.{digits}f})"


def spread(values: Sequence[float]) -> Spread | None:
    """The spread of values; None without any."""
    if not values:
        return None
    return Spread(sum(values) / len(values), min(values), max(values))


def class_measure(name: str, pick: Callable[[ClassSummary], float]) -> Measure:
    """A measure of a length class."""

    def measure(cell: CellResult) -> float | None:
        summary = cell.by_class.get(name)
        return pick(summary) if summary is not None else None

    return measure


def measures_of(classes: Sequence[str]) -> dict[str, tuple[Measure, float, int]]:
    """Column titles, with measure, unit and digits."""
    columns: dict[str, tuple[Measure, float, int]] = {}
    for name in classes:
        columns[f"{name} TTFT p50 ms"] = (
            class_measure(name, lambda item: item.first_token.p50), 1000, 0
        )  # fmt: skip
        columns[f"{name} p95"] = (class_measure(name, lambda item: item.first_token.p95), 1000, 0)
        columns[f"{name} p99"] = (class_measure(name, lambda item: item.first_token.p99), 1000, 0)
        columns[f"{name} gap p95"] = (class_measure(name, lambda item: item.gap.p95), 1000, 0)
        columns[f"{name} total p50"] = (class_measure(name, lambda item: item.total.p50), 1000, 0)
        columns[f"{name} total p95"] = (class_measure(name, lambda item: item.total.p95), 1000, 0)
        columns[f"{name} in time %"] = (
            class_measure(name, lambda item: item.in_time / max(1, item.asked)), 100, 1
        )  # fmt: skip
    columns["attempts/request"] = (lambda cell: cell.attempts / max(1, cell.asked), 1, 3)
    columns["late"] = (lambda cell: float(cell.late), 1, 0)
    columns["blocks left"] = (lambda cell: float(cell.blocks_left), 1, 0)
    columns["cached % of ideal"] = (
        lambda cell: (
            cell.cached_tokens / cell.ideal_cached_tokens if cell.ideal_cached_tokens else None
        ),
        100,
        1,
    )
    columns["imbalance"] = (lambda cell: cell.imbalance, 1, 2)
    columns["loop busy"] = (lambda cell: cell.loop_busy, 1, 2)
    return columns


def group_cells(result: ExperimentResult) -> dict[tuple[float, str], list[CellResult]]:
    """Cells by load and variant."""
    groups: dict[tuple[float, str], list[CellResult]] = defaultdict(list)
    for cell in result.cells:
        groups[(cell.load, cell.variant)].append(cell)
    return dict(sorted(groups.items()))


def show_result(result: ExperimentResult, console: Console) -> None:
    """Print a table for each load: measures down, variants across."""
    groups = group_cells(result)
    classes = sorted({name for cell in result.cells for name in cell.by_class})
    loads = sorted({load for load, _ in groups})
    variants = list(dict.fromkeys(cell.variant for cell in result.cells))
    for load in loads:
        table = Table(title=f"{result.experiment}, {load:.0%} of capacity")
        table.add_column("measure")
        for variant in variants:
            table.add_column(variant, justify="right")
        for title, (measure, unit, digits) in measures_of(classes).items():
            row = [_cell_text(groups[(load, item)], measure, unit, digits) for item in variants]
            if any(text != "-" for text in row):
                table.add_row(title, *row)
        for title in dict.fromkeys(name for cell in result.cells for name in cell.extra):
            row = [
                _cell_text(groups[(load, item)], _extra_measure(title), 1, 3) for item in variants
            ]
            table.add_row(title, *row)
        console.print(table)


def _extra_measure(title: str) -> Measure:
    return lambda cell: cell.extra.get(title)


def _cell_text(cells: Sequence[CellResult], measure: Measure, unit: float, digits: int) -> str:
    values = [value for value in map(measure, cells) if value is not None]
    found = spread(values)
    return found.show(unit, digits) if found is not None else "-"
