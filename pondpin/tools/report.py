"""pondpin-report: burn of service-level objectives, over all instances that can be reached."""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console

from pondpin.burn import RULES, Burn, Count, burn_over, is_alerting
from pondpin.command_files import read_or_exit
from pondpin.configuration import (
    Configuration,
    Objective,
    decode_configuration,
    read_configuration,
)
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.tools.objectives import alert_rules, count_events, show_window
from pondpin.tools.operator_client import OperatorClient, OperatorError, make_client
from pondpin.tools.prometheus_text import Samples, merge_texts
from pondpin.tools.report_page import write_page
from pondpin.tools.tables import make_console, print_json, print_rows

PROGRAM = "pondpin-report"
FAULT_STATUS = 1
UNREACHABLE_STATUS = 3


@dataclass
class Coverage:
    """Which instances the report covers, and over which time."""

    reached: set[str] = field(default_factory=set)
    missed: dict[str, str] = field(default_factory=dict)
    started: float = 0.0
    ended: float = 0.0


@dataclass
class Collected:
    """Counts of each objective over time, and the last metrics of each instance."""

    objectives: tuple[Objective, ...]
    counts_by_objective: dict[str, list[Count]] = field(default_factory=dict)
    text_by_instance: dict[str, str] = field(default_factory=dict)
    base_by_instance: dict[str, Samples] = field(default_factory=dict)
    coverage: Coverage = field(default_factory=Coverage)
    samples: Samples = field(default_factory=Samples)

    def begin_at_start(self) -> None:
        """Counters began at zero with the instances, so a first reading covers their lives."""
        for counts in self.counts_by_objective.values():
            counts.insert(0, Count(self.coverage.started, 0.0, 0.0))

    def burns(self, objective: Objective) -> list[Burn]:
        """Burns over all windows of the alert rules."""
        counts = self.counts_by_objective.get(objective.name, [])
        windows = sorted({window for rule in RULES for window in rule[:2]})
        return [burn_over(counts, window, objective.target) for window in windows]


class Collector:
    """Reads the metrics of instances again and again, and merges them."""

    def __init__(self, client: OperatorClient, addresses: list[str], collected: Collected) -> None:
        self._client = client
        self._addresses = addresses
        self._collected = collected
        # What instances counted before they were replaced: metrics begin anew at each start.
        self._past: dict[str, Samples] = {}
        self._last: dict[str, Samples] = {}

    async def collect(self, now: float) -> None:
        """One reading; now is in seconds since the epoch."""
        answers = await asyncio.gather(
            *(self._client.get(address, "/metrics") for address in self._addresses),
            return_exceptions=True,
        )
        coverage = self._collected.coverage
        coverage.started = coverage.started or now
        coverage.ended = now
        for address, answer in zip(self._addresses, answers, strict=True):
            if isinstance(answer, BaseException):
                coverage.missed[address] = str(answer)
            else:
                coverage.reached.add(address)
                coverage.missed.pop(address, None)
                self._take(address, merge_texts([answer.decode()]), now)
        merged = self._merge()
        self._collected.samples = merged
        for objective in self._collected.objectives:
            good, total = count_events(objective, merged)
            counts = self._collected.counts_by_objective.setdefault(objective.name, [])
            counts.append(Count(now, good, total))

    def _take(self, address: str, samples: Samples, now: float) -> None:
        coverage = self._collected.coverage
        began = samples.total("pondpin_start_time_seconds") or now
        coverage.started = min(coverage.started, began)
        last = self._last.get(address)
        requests = "pondpin_requests_total"
        if last is not None and samples.total(requests) < last.total(requests):
            self._past[address] = _add(self._past.get(address, Samples()), last)
        self._last[address] = samples

    def _merge(self) -> Samples:
        merged = Samples()
        for samples in (*self._past.values(), *self._last.values()):
            merged = _add(merged, samples)
        return merged


def _add(one: Samples, other: Samples) -> Samples:
    result = Samples()
    for samples in (one, other):
        for name, values in samples.by_name.items():
            for labels, value in values.items():
                result.by_name[name][labels] += value
    return result


def show_report(collected: Collected, console: Console) -> None:
    """Print the report on a terminal."""
    rows = []
    for objective in collected.objectives:
        counts = collected.counts_by_objective.get(objective.name, [])
        last = counts[-1] if counts else Count(0, 0, 0)
        row: dict[str, Any] = {
            "objective": objective.name,
            "target": f"{objective.target:.4%}",
            "events": int(last.total),
            "good": f"{last.good / last.total:.4%}" if last.total else "no data",
        }
        for burn in collected.burns(objective):
            row[f"burn {show_window(burn.window)}"] = show_burn(burn)
        alerts = [
            show_window(rule[0]) for rule in RULES if is_alerting(counts, objective.target, rule)
        ]
        row["alerts"] = ", ".join(alerts) or "none"
        rows.append(row)
    print_rows(console, "Burn of service-level objectives", rows)
    console.print(tell_coverage(collected.coverage))


def show_burn(burn: Burn) -> str:
    """A burn rate, and how much of its window there is data for."""
    if burn.covered <= 0:
        return "no data"
    part = "" if burn.covered >= burn.window else f" ({burn.covered:.0f} s of data)"
    return f"{burn.rate:.2f}{part}"


def tell_coverage(coverage: Coverage) -> str:
    """Which instances and times the report covers."""
    span = coverage.ended - coverage.started
    text = f"Covers {len(coverage.reached)} instance(s) over {span:.0f} s: "
    text += ", ".join(sorted(coverage.reached)) or "none"
    for address, cause in sorted(coverage.missed.items()):
        text += f"\nNOT REACHED: {address}: {cause}"
    return text


def burn(
    at: str,
    seconds: float = 0.0,
    every: float = 5.0,
    html: str = "",
    json: bool = False,
) -> ParsedCommand:
    """Report burn over instances at IP:port,IP:port; read them for some seconds."""

    async def work(reactor: Any) -> int:
        http = make_client(reactor)
        client = OperatorClient(http)
        addresses = [part.strip() for part in str(at).split(",")]
        try:
            return await _report(client, addresses, seconds, every, html, json)
        except OperatorError as error:
            print(f"pondpin-report: {error}", file=sys.stderr)
            return UNREACHABLE_STATUS
        finally:
            await http.close()

    return ParsedCommand(lambda: run(work))


async def _report(
    client: OperatorClient,
    addresses: list[str],
    seconds: float,
    every: float,
    html: str,
    as_json: bool,
) -> int:
    configuration = await _read_configuration(client, addresses)
    collected = Collected(configuration.objectives)
    collector = Collector(client, addresses, collected)
    end = time.time() + seconds
    await collector.collect(time.time())
    collected.begin_at_start()
    while time.time() < end:
        await asyncio.sleep(min(every, max(0.1, end - time.time())))
        await collector.collect(time.time())
    console = make_console()
    if as_json:
        print_json(_as_document(collected))
    else:
        show_report(collected, console)
    if html:
        Path(html).write_text(write_page(collected.objectives, collected, tell_coverage))
        console.print(f"written: {html}")
    return UNREACHABLE_STATUS if collected.coverage.missed else 0


async def _read_configuration(client: OperatorClient, addresses: list[str]) -> Configuration:
    """The configuration of the first instance that answers."""
    failure: OperatorError | None = None
    for address in addresses:
        try:
            document = await client.get(address, "/v1/configuration")
            return decode_configuration(document, address)
        except OperatorError as error:
            failure = error
    assert failure is not None, "there is at least one address"
    raise failure


def _as_document(collected: Collected) -> dict[str, Any]:
    coverage = collected.coverage
    return {
        "reached": sorted(coverage.reached),
        "missed": coverage.missed,
        "seconds": coverage.ended - coverage.started,
        "objectives": {
            objective.name: {
                show_window(item.window): {"rate": item.rate, "covered": item.covered}
                for item in collected.burns(objective)
            }
            for objective in collected.objectives
        },
    }


def alerts(file: str) -> ParsedCommand:
    """Print Prometheus alert rules, as JSON (which is YAML), from a configuration's objectives."""

    def start() -> int:
        configuration = read_or_exit(PROGRAM, file, read_configuration, FAULT_STATUS)
        print(json.dumps(alert_rules(configuration.objectives), indent=2))
        return 0

    return ParsedCommand(start)


COMMANDS = {"alerts": alerts, "burn": burn}


def main() -> None:
    """Entry point of pondpin-report."""
    run_command(COMMANDS, PROGRAM)


if __name__ == "__main__":
    main()
