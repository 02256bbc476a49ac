"""pondpin-load: open-loop load and experiments, with a check of every answer."""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from absl import logging
from rich.console import Console

from pondpin.http_client import HttpClient
from pondpin.network import parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, set_up_logs, steady_now
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Caller
from pondpin.tools.experiment import CellResult, Experiment, ExperimentResult, read_experiment
from pondpin.tools.experiment_cell import run_cell, show_json
from pondpin.tools.experiment_report import show_result
from pondpin.tools.experiment_runner import CellFailedError, run_experiment
from pondpin.tools.open_loop import send_all
from pondpin.tools.summary import ClassSummary, sum_up_by_class
from pondpin.tools.trace import read_trace
from pondpin.tools.traffic import SAMPLES, Arrival, poisson_arrivals, read_traffic

FAULT_STATUS = 1
USAGE_STATUS = 2


class LoadResult(msgspec.Struct, frozen=True):
    """Result of a load against a running deployment."""

    asked: int
    wrong: int
    by_class: dict[str, ClassSummary]


def _complain(problem: object) -> int:
    print(f"pondpin-load: {problem}", file=sys.stderr)
    return FAULT_STATUS


def cell(experiment: str, variant: str, load: float, seed: int) -> ParsedCommand:
    """Run one cell of an experiment in this process; prints its result as one JSON line."""

    async def work(reactor: Any) -> int:
        described = read_experiment(Path(experiment))
        result = await run_cell(reactor, described, str(variant), float(load), int(seed))
        print(show_json(result), flush=True)
        return 0

    def start() -> int:
        set_up_logs("error")
        logging.set_verbosity(logging.FATAL)
        return run(work)

    return ParsedCommand(start)


def experiment(file: str, out: str = "out") -> ParsedCommand:
    """Run all cells of an experiment; writes JSON and a plot, and prints tables."""

    def start() -> int:
        path = Path(file)
        try:
            described = read_experiment(path)
        except (OSError, msgspec.MsgspecError) as error:
            return _complain(f"{file}: {error}")
        return asyncio.run(_run_all(path, described, Path(out)))

    return ParsedCommand(start)


async def _run_all(path: Path, described: Experiment, out: Path) -> int:
    console = Console(width=150)

    def progress(result: CellResult) -> None:
        console.print(f"  {result.variant} at {result.load:.0%}, seed {result.seed}: done")

    try:
        result = await run_experiment(path, described, progress)
    except CellFailedError as error:
        return _complain(error)
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{described.name}.json").write_bytes(msgspec.json.encode(result))
    from pondpin.tools.plots import plot_first_token

    plot_first_token(result, described.kinds[0].length_class, out / f"{described.name}.png")
    show_result(result, console)
    return _judge(result)


def _judge(result: ExperimentResult) -> int:
    """The exit status: 1 when any promise was broken in any cell."""
    wrong = sum(item.wrong for cell in result.cells for item in cell.by_class.values())
    left = sum(cell.blocks_left for cell in result.cells)
    breaches = sum(cell.breaches for cell in result.cells)
    if not wrong and not left and not breaches:
        return 0
    return _complain(f"{wrong} wrong answers, {left} blocks left, {breaches} breaches")


def send(
    entries: str, traffic: str = "", rate: float = 10.0, seconds: float = 10.0, seed: int = 1
) -> ParsedCommand:
    """Send Poisson traffic to running instances at IP:port,IP:port."""
    path = Path(traffic) if traffic else SAMPLES / "traffic.json"

    def arrivals() -> list[Arrival]:
        described = read_traffic(path)
        return poisson_arrivals(described.kinds, rate, seconds, seed, path.parent)

    return _against(entries, arrivals)


def trace(entries: str, file: str, key: str, model: str, speed: float = 1.0) -> ParsedCommand:
    """Replay a JSONL trace of timestamp, input_length, output_length and hash_ids."""
    return _against(entries, lambda: read_trace(Path(file), key, model, speed))


def _against(entries: str, make_arrivals: Callable[[], list[Arrival]]) -> ParsedCommand:
    addresses = [str(part) for part in str(entries).split(",")]

    async def work(reactor: Any) -> int:
        try:
            for address in addresses:
                parse_endpoint(address)
            arrivals = make_arrivals()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            return _complain(error)
        client = HttpClient(reactor, 2.0)
        caller = Caller(client, Balancer(addresses), steady_now)
        asked = await send_all(caller, arrivals, steady_now)
        await client.close()
        result = LoadResult(len(asked), sum(item.wrong for item in asked), sum_up_by_class(asked))
        print(msgspec.json.format(msgspec.json.encode(result), indent=2).decode())
        return FAULT_STATUS if result.wrong else 0

    return ParsedCommand(lambda: run(work))


COMMANDS = {"cell": cell, "experiment": experiment, "send": send, "trace": trace}


def main() -> None:
    """Entry point of pondpin-load."""
    run_command(COMMANDS, "pondpin-load")


if __name__ == "__main__":
    main()
