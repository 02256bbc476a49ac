"""Runs the cells of an experiment as processes of their own, a few at a time."""

import asyncio
import itertools
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from pondpin.tools.experiment import CellResult, Experiment, ExperimentResult

AT_ONCE = 4


class CellFailedError(Exception):
    """A cell's process ended without a result."""


@dataclass(frozen=True, slots=True)
class CellName:
    """Names a cell."""

    variant: str
    load: float
    seed: int


def cell_names(experiment: Experiment) -> list[CellName]:
    """All cells; those that are compared with each other follow each other."""
    return [
        CellName(variant.name, load, seed)
        for load, seed, variant in itertools.product(
            experiment.loads, experiment.seeds, experiment.variants
        )
    ]


async def run_experiment(
    path: Path, experiment: Experiment, on_done: Callable[[CellResult], None]
) -> ExperimentResult:
    """Run all cells; raises CellFailedError."""
    gate = asyncio.Semaphore(AT_ONCE)

    async def run_one(name: CellName) -> CellResult:
        async with gate:
            result = await _run_process(path, name)
            on_done(result)
            return result

    cells = await asyncio.gather(*(run_one(name) for name in cell_names(experiment)))
    return ExperimentResult(experiment=experiment.name, cells=tuple(cells))


async def _run_process(path: Path, name: CellName) -> CellResult:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pondpin.tools.load",
        "cell",
        str(path),
        name.variant,
        str(name.load),
        str(name.seed),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    lines = output.splitlines()
    if process.returncode != 0 or not lines:
        raise CellFailedError(f"{name}: {errors.decode(errors='replace')[-2000:]}")
    return msgspec.json.decode(lines[-1], type=CellResult)
