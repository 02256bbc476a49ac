"""pondpin-demo: a whole deployment in one process, with faults, and a table of what came of it."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec
from absl import logging
from rich.console import Console
from rich.table import Table

from pondpin.codes import Ran
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.invariants import INVARIANTS
from pondpin.runtime import (
    ParsedCommand,
    run,
    run_command,
    set_up_logs,
    steady_now,
    stop_on_signals,
)
from pondpin.standins.engine_model import EngineShape
from pondpin.standins.local_fleet import EngineSpec, EntrySpec, FleetSpec, LocalFleet, ServiceSpec
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Asked, Caller, Done, OnceCaller
from pondpin.tools.open_loop import send_all
from pondpin.tools.summary import ClassSummary, sum_up_by_class
from pondpin.tools.traffic import (
    SAMPLES,
    Arrival,
    QuestionMaker,
    ServiceKind,
    Traffic,
    poisson_arrivals,
    read_traffic,
)

SEED = 20261202
WARM_SECONDS = 1.5
ALONE_SECONDS = 8.0
MIXED_SECONDS = 22.0
RATE = 14.0
LARGEST_AT = (2.0, 11.0)
KILL_ENGINE_AT = 6.0
REVIVE_ENGINE_AT = 10.0
KILL_ENTRY_AT = 14.0
REPLACE_ENTRY_AT = 17.0
RESTORE_PLATFORM_AT = 19.0
# What is published after a restore is in force everywhere within this.
APPLY_SECONDS = 2.0
SERVICE_RATE = 10.0
MODEL = "assistant"
SETTLE_SECONDS = 10.0
LATE_MARGIN_SECONDS = 0.5


def demo_spec() -> FleetSpec:
    """Three entry instances in two data centres, six engines, two services.

    Three of the engines form the group for prompts larger than one engine.
    """
    shape = EngineShape(blocks=800)
    engines = tuple(
        EngineSpec(
            name=f"engine-{number}",
            data_center="dc-a" if number <= 3 else "dc-b",
            model=MODEL,
            labels={"group": "binder"} if number >= 4 else {},
            shape=shape,
        )
        for number in range(1, 7)
    )
    return FleetSpec(
        entries=(
            EntrySpec(name="entry-a1", data_center="dc-a"),
            EntrySpec(name="entry-a2", data_center="dc-a"),
            EntrySpec(name="entry-b1", data_center="dc-b"),
        ),
        engines=engines,
        services=(
            ServiceSpec(name="dock-1", data_center="dc-a", service="dock"),
            ServiceSpec(name="signing-1", data_center="dc-b", service="signing"),
        ),
        document=json.loads((SAMPLES / "document.json").read_text()),
    )


@dataclass
class Findings:
    """What the demonstration found."""

    alone: dict[str, ClassSummary] = field(default_factory=dict)
    mixed: dict[str, ClassSummary] = field(default_factory=dict)
    calls: list[Done] = field(default_factory=list)
    run_twice: int = 0
    untrue_not_run: int = 0
    not_returned: int = 0
    late: int = 0
    breaches: int = 0
    behind: int = 0

    @property
    def wrong(self) -> int:
        """Answers with any wrong part."""
        return sum(item.wrong for item in (*self.alone.values(), *self.mixed.values()))

    def broken_promises(self) -> list[str]:
        """What was promised and did not hold."""
        found = {
            "calls run twice": self.run_twice,
            "calls that ran though said not to have": self.untrue_not_run,
            "blocks not returned": self.not_returned,
            "wrong answers": self.wrong,
            "requests ended after their allowed time": self.late,
            "breaches of invariants": self.breaches,
            "instances behind after a restore": self.behind,
        }
        return [f"{count} {what}" for what, count in found.items() if count]


class Demo:
    """Runs the demonstration on a deployment."""

    def __init__(self, reactor: Any, console: Console) -> None:
        self.console = console
        self.reactor = reactor
        self.fleet = LocalFleet(reactor, demo_spec())
        self.client = HttpClient(reactor, 1.0)
        self.traffic: Traffic = read_traffic(SAMPLES / "traffic.json")
        self.findings = Findings()
        self.random = random.Random(SEED)
        self.call_ids: dict[str, Done] = {}

    async def start(self) -> None:
        """Start the deployment and wait until all is ready."""
        await self.fleet.start()
        await asyncio.sleep(WARM_SECONDS)
        self.balancer = Balancer(
            [str(running.callers) for running in self.fleet.entries_by_name.values()]
        )
        self.caller = Caller(self.client, self.balancer, steady_now)
        self.once = OnceCaller(self.client, self.balancer, steady_now)

    async def run_all(self) -> Findings:
        """All phases."""
        short = tuple(kind for kind in self.traffic.kinds if kind.length_class == "short")
        self.console.print(f"Short requests alone, {ALONE_SECONDS:.0f} s ...")
        arrivals = poisson_arrivals(short, RATE, ALONE_SECONDS, SEED, SAMPLES)
        alone = await send_all(self.caller, arrivals, steady_now)
        self.findings.alone = sum_up_by_class(alone)
        self.console.print(f"All lengths, services and faults, {MIXED_SECONDS:.0f} s ...")
        faults = asyncio.create_task(self._faults())
        calls = asyncio.create_task(self._calls())
        mixed = await send_all(self.caller, self._mixed_arrivals(), steady_now, self._progress)
        await faults
        await calls
        self.findings.mixed = sum_up_by_class(mixed)
        self.findings.late = self._count_late([*alone, *mixed])
        await self._settle()
        return self.findings

    def _mixed_arrivals(self) -> list[Arrival]:
        arrivals = poisson_arrivals(self.traffic.kinds, RATE, MIXED_SECONDS, SEED + 1, SAMPLES)
        maker = QuestionMaker(random.Random(SEED + 2), SAMPLES)
        largest = self.traffic.largest
        assert largest is not None, "the sample traffic names its largest prompt"
        arrivals += [Arrival(at, maker.make(largest)) for at in LARGEST_AT]
        return sorted(arrivals, key=lambda arrival: arrival.at)

    def _progress(self, asked: Asked) -> None:
        if asked.question.length_class == "long":
            how = "whole" if asked.whole else f"{int(asked.code)} {asked.code.name}"
            self.console.print(f"  {asked.question.name}: {how} after {asked.total:.2f} s")

    def _count_late(self, asked: list[Asked]) -> int:
        """Requests that ended after the allowed time of their rule."""
        rules = {
            item["name"]: item["allowed_seconds"] for item in self.fleet.spec.document["rules"]
        }
        return sum(
            item.total > rules[item.question.length_class] + LATE_MARGIN_SECONDS for item in asked
        )

    async def _faults(self) -> None:
        started = steady_now()
        engine = self.fleet.engines_by_name["engine-1"]
        await self._until(started, KILL_ENGINE_AT)
        self.console.print("  engine-1 is killed")
        engine.die()
        await self._until(started, REVIVE_ENGINE_AT)
        self.console.print("  engine-1 is back, empty")
        engine.faults.dead = False
        await self._until(started, KILL_ENTRY_AT)
        self.console.print("  entry-a2 is killed")
        await self.fleet.kill_entry("entry-a2")
        await self._until(started, REPLACE_ENTRY_AT)
        self.console.print("  entry-a2 is replaced")
        await self.fleet.start_entry(self.fleet.spec.entries[1])
        await self._until(started, RESTORE_PLATFORM_AT)
        await self._restore_platform()

    async def _restore_platform(self) -> None:
        """The platform loses a version, and the operator publishes the next one."""
        platform, document = self.fleet.platform, self.fleet.spec.document
        copy = platform.copy()
        await self.fleet.publish(document | {"version": 2})
        await asyncio.sleep(APPLY_SECONDS / 2)
        self.console.print("  the platform is restored from an older copy")
        await platform.restore(copy)
        await self.fleet.publish(document | {"version": 3})
        await asyncio.sleep(APPLY_SECONDS)
        stores = (running.instance.store for running in self.fleet.entries_by_name.values())
        found = [store.configuration for store in stores]
        self.findings.behind = sum(item is None or item.version != 3 for item in found)

    async def _until(self, started: float, at: float) -> None:
        await asyncio.sleep(max(0.0, started + at - steady_now()))

    async def _calls(self) -> None:
        """Unlocks and receipts at random times, none of which may run twice."""
        end = steady_now() + MIXED_SECONDS
        tasks = []
        number = 0
        while steady_now() < end:
            kind = self.traffic.services[number % len(self.traffic.services)]
            tasks.append(asyncio.create_task(self._call(kind, f"{kind.service}-{number}")))
            number += 1
            await asyncio.sleep(self.random.expovariate(SERVICE_RATE))
        await asyncio.gather(*tasks)

    async def _call(self, kind: ServiceKind, call: str) -> None:
        body = msgspec.json.encode({"call": call})
        try:
            done = await self.once.call(kind.key, kind.service, kind.path, body)
        except CallFailedError:
            return
        self.call_ids[call] = done
        self.findings.calls.append(done)

    async def _settle(self) -> None:
        """Wait until engines hold nothing, then count what is left."""
        end = steady_now() + SETTLE_SECONDS
        engines = self.fleet.engines_by_name.values()
        while steady_now() < end and any(engine.model.held_blocks() for engine in engines):
            await asyncio.sleep(0.1)
        findings = self.findings
        findings.not_returned = sum(
            engine.model.held_blocks() + abs(engine.model.leaked_blocks()) for engine in engines
        )
        services = self.fleet.services_by_name.values()
        findings.run_twice = sum(service.run_twice() for service in services)
        findings.run_twice += sum(engine.audit().run_twice for engine in engines)
        times = {call: n for service in services for call, n in service.times_by_call.items()}
        findings.untrue_not_run = sum(
            done.ran is Ran.NOT_RUN and times.get(call, 0) > 0
            for call, done in self.call_ids.items()
        )
        findings.breaches = sum(INVARIANTS.breaches_by_name.values())

    async def stop(self) -> None:
        """Stop the deployment."""
        await self.client.close()
        await self.fleet.stop()


def show(findings: Findings, console: Console) -> None:
    """Print the findings as tables."""
    table = Table(title="Requests by length class")
    columns = ("class", "count", "whole", "TTFT p50", "p95", "p99", "resumed", "by code")
    for column in columns:
        table.add_column(column, justify="left" if column in ("class", "by code") else "right")
    rows = {f"{name}, alone": item for name, item in findings.alone.items()} | findings.mixed
    for name, item in rows.items():
        first = item.first_token
        codes = ", ".join(f"{code}: {count}" for code, count in item.by_code.items())
        table.add_row(
            name,
            str(item.asked),
            str(item.whole),
            *(f"{value * 1000:.0f} ms" for value in (first.p50, first.p95, first.p99)),
            str(item.resumed),
            codes,
        )
    console.print(table)
    promises = Table(title="Promises")
    promises.add_column("what")
    promises.add_column("found", justify="right")
    for what, value in _promise_rows(findings):
        promises.add_row(what, value)
    console.print(promises)


def _promise_rows(findings: Findings) -> list[tuple[str, str]]:
    outcomes = {ran: sum(done.ran is ran for done in findings.calls) for ran in Ran}
    alone, mixed = findings.alone.get("short"), findings.mixed.get("short")
    rows = [(f"service calls: {ran.value}", str(count)) for ran, count in outcomes.items()]
    if alone is not None and mixed is not None and alone.first_token.p50 > 0:
        for name, before, after in (
            ("p50", alone.first_token.p50, mixed.first_token.p50),
            ("p95", alone.first_token.p95, mixed.first_token.p95),
        ):
            rows.append((f"slowdown of short requests, {name}", f"{after / before:.2f} x"))
    rows += [
        ("calls run twice", str(findings.run_twice)),
        ("said not run, but ran", str(findings.untrue_not_run)),
        ("blocks not returned", str(findings.not_returned)),
        ("wrong answers", str(findings.wrong)),
        ("ended after the allowed time", str(findings.late)),
        ("breaches of invariants", str(findings.breaches)),
        ("instances behind after a restore", str(findings.behind)),
    ]
    return rows


def show_commands(fleet: LocalFleet, console: Console) -> None:
    """Print commands for an operator to try."""
    running = next(iter(fleet.entries_by_name.values()))
    console.print("Up until interrupted. Try, in another terminal:")
    console.print(f"  pondpinctl status --at {running.operators}")
    console.print(f"  pondpinctl upstreams --at {running.operators}")
    console.print(f"  pondpinctl why --last_refused --at {running.operators}")
    console.print(
        f"  curl -N http://{running.callers}/v1/completions"
        " -H 'authorization: Bearer padyak-demo-key'"
        ' -d \'{"model":"assistant","prompt":"Saan ang dock?","max_tokens":20,"stream":true}\''
    )


def demo(hold: bool = False) -> ParsedCommand:
    """Run the demonstration; with --hold keep the deployment up afterwards."""

    async def work(reactor: Any) -> int:
        console = Console()
        stop = stop_on_signals()
        shown = Demo(reactor, console)
        await shown.start()
        findings = await shown.run_all()
        show(findings, console)
        broken = findings.broken_promises()
        for item in broken:
            console.print(f"BROKEN: {item}")
        if hold:
            show_commands(shown.fleet, console)
            await stop.wait()
        await shown.stop()
        return 1 if broken else 0

    def start() -> int:
        set_up_logs("error")
        logging.set_stderrthreshold("error")
        return run(work)

    return ParsedCommand(start)


def main() -> None:
    """Entry point of pondpin-demo."""
    run_command(demo, "pondpin-demo")


if __name__ == "__main__":
    main()
