"""Runs one cell of an experiment: a variant at a load and seed, in this process."""

import asyncio
import itertools
import json
import time
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from pondpin.http_client import HttpClient
from pondpin.invariants import INVARIANTS
from pondpin.runtime import steady_now
from pondpin.settings import Timing
from pondpin.standins.faults import Faults
from pondpin.standins.local_fleet import EngineSpec, EntrySpec, FleetSpec, LocalFleet, key_hash
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Asked, Caller
from pondpin.tools.experiment import CellResult, Experiment, Fault, Variant, capacity_rate
from pondpin.tools.open_loop import send_all
from pondpin.tools.summary import sum_up_by_class
from pondpin.tools.traffic import SAMPLES, Arrival, poisson_arrivals

MODEL = "assistant"
CENTERS = ("dc-a", "dc-b")
SETTLE_SECONDS = 8.0
LATE_MARGIN = 0.5
SAMPLE_SECONDS = 0.1
DEFAULT_ALLOWED = {"short": 10.0, "medium": 30.0, "long": 60.0}
SHORT_TOKENS = 8000
LONG_TOKENS = 100000
PRIORITIES = {"short": 80, "medium": 50, "long": 20}


def make_document(experiment: Experiment, variant: Variant) -> dict[str, Any]:
    """The configuration of a cell."""
    allowed = DEFAULT_ALLOWED | experiment.allowed_by_class
    keys = sorted({kind.key for kind in experiment.kinds})
    accounts = {
        key: {"keys_sha256": [key_hash(key)]} | experiment.accounts.get(key, {}) for key in keys
    }
    return {
        "models": {MODEL: {}},
        "accounts": accounts,
        "classes": [
            {"name": "short", "match": f"prompt_tokens<={SHORT_TOKENS}"},
            {"name": "medium", "match": f"prompt_tokens<={LONG_TOKENS}"},
            {"name": "long", "match": "model", "long": True},
        ],
        "rules": [
            {
                "name": name,
                "match": f"class={name}",
                "upstreams": "",
                "priority": PRIORITIES[name],
                "allowed_seconds": seconds,
            }
            for name, seconds in allowed.items()
        ],
        "policy": variant.policy,
    }


def make_spec(experiment: Experiment, variant: Variant) -> FleetSpec:
    """The deployment of a cell."""
    engines = tuple(
        EngineSpec(
            name=f"engine-{number}",
            data_center=CENTERS[number % len(CENTERS)],
            model=MODEL,
            labels={"group": "big"} if number <= experiment.grouped else {},
            shape=experiment.engine_shape,
            report_lag=(
                experiment.report_lag if variant.report_lag is None else variant.report_lag
            ),
            cache_loss=experiment.cache_loss,
        )
        for number in range(1, experiment.engines + 1)
    )
    entries = tuple(
        EntrySpec(name=f"entry-{number}", data_center=CENTERS[number % len(CENTERS)])
        for number in range(1, (variant.entries or experiment.entries) + 1)
    )
    return FleetSpec(
        entries=entries,
        engines=engines,
        services=(),
        document=make_document(experiment, variant),
        timing=Timing(load_poll=experiment.load_poll),
    )


class Cell:
    """One variant at one load and seed."""

    def __init__(self, reactor: Any, experiment: Experiment, variant: Variant) -> None:
        self.experiment = experiment
        self.variant = variant
        self.fleet = LocalFleet(reactor, make_spec(experiment, variant))
        self.client = HttpClient(reactor, 1.0)
        self.queued: list[list[int]] = []
        self.submitted: list[tuple[float, list[int]]] = []

    async def run(self, load: float, seed: int) -> CellResult:
        """Run the cell and return what came of it."""
        experiment = self.experiment
        await self.fleet.start()
        await asyncio.sleep(1.0)
        balancer = Balancer([str(item.callers) for item in self.fleet.entries_by_name.values()])
        balancer.weights = experiment.skew
        caller = Caller(self.client, balancer, steady_now)
        rate = experiment.rate or load * capacity_rate(experiment)
        await self._warm(caller, rate, seed)
        arrivals = poisson_arrivals(experiment.kinds, rate, experiment.seconds, seed, SAMPLES)
        only = self.variant.only
        arrivals = [
            self._allow(arrival)
            for arrival in arrivals
            if not only or arrival.question.length_class in only
        ]
        sampling = asyncio.create_task(self._sample())
        faults = asyncio.create_task(self._faults())
        cached_before = self._cached()
        attempts_before = self._attempts()
        started, cpu = steady_now(), time.process_time()
        asked = await send_all(caller, arrivals, steady_now)
        busy = (time.process_time() - cpu) / (steady_now() - started)
        sampling.cancel()
        await faults
        await self._settle()
        result = self._sum_up(asked, load, seed, rate, busy)
        result = msgspec.structs.replace(
            result,
            cached_tokens=self._cached() - cached_before,
            ideal_cached_tokens=ideal_cached(arrivals, experiment),
            attempts=self._attempts() - attempts_before,
            extra=self._fault_measures() | admitted_measures(asked, experiment),
        )
        await self.client.close()
        await self.fleet.stop()
        return result

    async def _warm(self, caller: Caller, rate: float, seed: int) -> None:
        """Traffic whose results are dropped, so that costs are learnt and caches filled."""
        arrivals = poisson_arrivals(
            self.experiment.kinds,
            min(rate, 0.5 * capacity_rate(self.experiment)),
            self.experiment.warm_seconds,
            seed + 7919,
            SAMPLES,
        )
        await send_all(caller, arrivals, steady_now)

    def _allow(self, arrival: Arrival) -> Arrival:
        allowed = DEFAULT_ALLOWED | self.experiment.allowed_by_class
        seconds = arrival.question.allowed or allowed[arrival.question.length_class]
        return replace(arrival, question=replace(arrival.question, allowed=seconds))

    async def _sample(self) -> None:
        """Note the prompt tokens queued at each engine, for the measure of imbalance."""
        engines = self.fleet.engines_by_name.values()
        started = steady_now()
        while True:
            counts = [engine.model.totals.submitted for engine in engines]
            self.submitted.append((steady_now() - started, counts))
            self.queued.append([engine.model.queued_prefill_tokens() for engine in engines])
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _faults(self) -> None:
        started = steady_now()
        for fault in sorted(self.experiment.faults, key=lambda item: item.at):
            await asyncio.sleep(max(0.0, started + fault.at - steady_now()))
            await self._show(fault)

    async def _show(self, fault: Fault) -> None:
        engines = self.fleet.engines_by_name
        match fault.do:
            case "faults":
                engines[fault.target].apply_faults(msgspec.convert(fault.faults, Faults))
            case "die":
                engines[fault.target].die()
            case "revive":
                engines[fault.target].apply_faults(Faults())
            case "leave":
                engines[fault.target].state = "leaving"
            case "cut":
                self.fleet.cut_center(fault.target)
            case "join":
                self.fleet.join_centers()
            case "kill_entry":
                await self.fleet.kill_entry(fault.target)
            case "replace_entry":
                spec = next(s for s in self.fleet.spec.entries if s.name == fault.target)
                await self.fleet.start_entry(spec)
            case _:
                raise ValueError(f"unknown fault {fault.do!r}")

    def _fault_measures(self) -> dict[str, float]:
        """For each fault of an engine: when it last got new work, and its share, until the next."""
        names = list(self.fleet.engines_by_name)
        measures: dict[str, float] = {}
        faults = sorted(self.experiment.faults, key=lambda item: item.at)
        for fault in faults:
            if fault.target not in names or fault.do == "revive":
                continue
            later = [
                item.at for item in faults if item.target == fault.target and item.at > fault.at
            ]
            end = min(later, default=self.experiment.seconds)
            index = names.index(fault.target)
            seen = [item for item in self.submitted if fault.at <= item[0] <= end]
            last = 0.0
            for (_, before), (at, after) in itertools.pairwise(seen):
                if after[index] > before[index]:
                    last = at - fault.at
            own = seen[-1][1][index] - seen[0][1][index] if seen else 0
            total = sum(seen[-1][1]) - sum(seen[0][1]) if seen else 0
            label = f"{fault.target} {fault.do} at {fault.at:g}"
            measures[f"{label}: last new work after, s"] = last
            measures[f"{label}: share of new work"] = own / total if total else 0.0
        return measures

    def _cached(self) -> int:
        return sum(
            engine.model.totals.cached_tokens for engine in self.fleet.engines_by_name.values()
        )

    async def _settle(self) -> None:
        end = steady_now() + SETTLE_SECONDS
        engines = self.fleet.engines_by_name.values()
        while steady_now() < end and any(engine.model.held_blocks() for engine in engines):
            await asyncio.sleep(0.05)

    def _sum_up(
        self, asked: Sequence[Asked], load: float, seed: int, rate: float, busy: float
    ) -> CellResult:
        engines = self.fleet.engines_by_name.values()
        return CellResult(
            variant=self.variant.name,
            load=load,
            seed=seed,
            rate=rate,
            by_class=sum_up_by_class(asked),
            attempts=self._attempts(),
            asked=len(asked),
            blocks_left=sum(
                engine.model.held_blocks() + abs(engine.model.leaked_blocks()) for engine in engines
            ),
            run_twice=sum(engine.model.totals.run_twice for engine in engines),
            breaches=sum(INVARIANTS.breaches_by_name.values()),
            late=sum(item.total > (item.question.allowed or 0) + LATE_MARGIN for item in asked),
            cached_tokens=0,
            ideal_cached_tokens=0,
            imbalance=imbalance(self.queued),
            loop_busy=busy,
        )

    def _attempts(self) -> int:
        """Attempts at upstreams, by the instances' own counters."""
        total = 0
        for running in self.fleet.entries_by_name.values():
            counter = running.instance.metrics.attempts
            for labels, value in counter.get_all():
                if labels.get("result") == "started":
                    total += int(value)
        return total


def admitted_measures(asked: Sequence[Asked], experiment: Experiment) -> dict[str, float]:
    """For each limited account: requests admitted, by its limit, over the whole time."""
    measures = {}
    for account, described in experiment.accounts.items():
        limit = described.get("limits", {}).get("requests_per_second", 0.0)
        if not limit:
            continue
        own = [item for item in asked if item.question.key == account]
        admitted = sum(item.whole for item in own)
        measures[f"{account}: admitted by limit"] = admitted / (limit * experiment.seconds)
        measures[f"{account}: asked by limit"] = len(own) / (limit * experiment.seconds)
    return measures


def imbalance(samples: list[list[int]]) -> float:
    """Mean over the samples of the largest queue by the mean queue; 1 is even."""
    ratios = []
    for queued in samples:
        mean = sum(queued) / len(queued)
        if mean > 0:
            ratios.append(max(queued) / mean)
    return sum(ratios) / len(ratios) if ratios else 1.0


def ideal_cached(arrivals: Sequence[Arrival], experiment: Experiment) -> int:
    """Prompt tokens that an endless cache shared by all engines would have had."""
    block = experiment.engine_shape.block_tokens
    by_name = {kind.name: kind for kind in experiment.kinds}
    total = 0
    for arrival in arrivals:
        kind = by_name[arrival.question.name]
        if kind.prefixes:
            total += kind.prefix_tokens // block * block
    return total


async def run_cell(
    reactor: Any, experiment: Experiment, variant: str, load: float, seed: int
) -> CellResult:
    """Run one cell by its names."""
    chosen = next(item for item in experiment.variants if item.name == variant)
    return await Cell(reactor, experiment, chosen).run(load, seed)


def show_json(result: CellResult) -> str:
    """A result on one line."""
    return json.dumps(msgspec.to_builtins(result))
