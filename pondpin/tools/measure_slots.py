"""Measures admission under scarcity: more requests than upstreams have slots.

A whole platform on loopback in this process: four plain workers of two slots and a queue of four,
100 ms a call, so 80 calls/s, and 8 instances in three data centres; or model engines with streams.
Arrivals are an open loop. Prints for each load the share that was served within its target, by
account and rank, what was served in time of the capacity, and how soon refused callers were told.
`--without slot_grants+return_order` measures without these mechanisms; `--simulated` plays the
loads of plain calls in simulated time, which a busy machine doesn't disturb. A late event loop,
which is told as well, makes calls late whatever is measured.
"""

import asyncio
import random
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pondpin.http_streams import CallFailedError
from pondpin.relay.mechanisms import Mechanism
from pondpin.runtime import ParsedCommand, run, run_command, steady_now
from pondpin.standins.local_platform import (
    CENTERS,
    ENGINES,
    HOST,
    PLAIN,
    LocalPlatform,
    sample_configuration,
)
from pondpin.tools.slot_fleet import Callers, SlotFleet, in_turn
from pondpin.tools.virtual_time import run_virtual

WORKERS = 4
SLOTS = 2
QUEUE_PLACES = 4
CALL_SECONDS = 0.1
TARGET_SECONDS = 0.3
INSTANCES = 8
CAPACITY = WORKERS * SLOTS / CALL_SECONDS
# Calls within this share of the begin are left out: mechanisms learn from answers.
SETTLE_SECONDS = 1.0
LOAD_SECONDS = 6.0
# Streams: the first event is due within their target.
ENGINE_COUNT = 2
ENGINE_SLOTS = 8
ENGINE_QUEUE_PLACES = 8
EVENTS = 10
EVENT_SECONDS = 0.05
STREAM_CAPACITY = ENGINE_COUNT * ENGINE_SLOTS / (EVENTS * EVENT_SECONDS)
DEADLINE_MS = "5000"
ANSWER_SECONDS = 8.0
LOOP_CHECK_SECONDS = 0.01
NOT_TOLD = -1.0


@dataclass(frozen=True, slots=True)
class Source:
    """Callers of one account: requests a second, and the instances that they call."""

    account: str
    rank: int
    rate: float
    instances: tuple[int, ...] = tuple(range(INSTANCES))


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """A load; returns: each refused caller comes back once, as told."""

    name: str
    sources: tuple[Source, ...]
    capacity: float = CAPACITY
    streams: bool = False
    returns: bool = False


@dataclass(slots=True)
class Asked:
    """A request and what became of it; times in seconds since it was sent."""

    source: Source
    at: float
    is_return: bool = False
    status: int = 0
    first: float = NOT_TOLD
    total: float = NOT_TOLD
    retry_after: float = NOT_TOLD
    returned: "Asked | None" = None

    @property
    def is_in_time(self) -> bool:
        """Whether it was served within its target."""
        return self.status == 200 and 0 <= self.first <= TARGET_SECONDS

    @property
    def is_refused(self) -> bool:
        """Whether it was turned away with a time to return."""
        return self.status == 503 and self.retry_after >= 0


EVEN = LoadSpec("twice, one account", (Source("big", 1, 2 * CAPACITY),))
LOADS = (
    LoadSpec("calm, 0.8 of the capacity", (Source("big", 1, 0.8 * CAPACITY),)),
    EVEN,
    LoadSpec(
        "twice, an eighth of it from a small account at one instance",
        (Source("small", 1, CAPACITY / 4, (0,)), Source("big", 1, 1.75 * CAPACITY)),
    ),
    LoadSpec(
        "twice, half at rank 0 and half at rank 2",
        (Source("urgent", 0, CAPACITY), Source("patient", 2, CAPACITY)),
    ),
    LoadSpec(
        "twice, each refused caller returns once", (Source("big", 1, 2 * CAPACITY),), returns=True
    ),
    LoadSpec(
        "three times, half at rank 0 and half at rank 2",
        (Source("urgent", 0, 1.5 * CAPACITY), Source("patient", 2, 1.5 * CAPACITY)),
    ),
    LoadSpec(
        "streams at 1.5 times the slots",
        (Source("big", 1, 1.5 * STREAM_CAPACITY),),
        STREAM_CAPACITY,
        streams=True,
    ),
    LoadSpec(
        "streams at 3 times the slots",
        (Source("big", 1, 3 * STREAM_CAPACITY),),
        STREAM_CAPACITY,
        streams=True,
    ),
)


def accounts(sources: Iterable[Source]) -> list[dict[str, Any]]:
    """The accounts as the operator writes them."""
    return [
        {"name": item.account, "apiKeys": [f"{item.account}-key"], "priority": item.rank}
        for item in sources
    ]


@dataclass
class SlotLoad:
    """One play of a load."""

    reactor: Any
    spec: LoadSpec
    seed: int = 1
    without: tuple[Mechanism, ...] = ()
    seconds: float = LOAD_SECONDS
    asked: list[Asked] = field(default_factory=list)
    loop_delays: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Set up the platform."""
        self.rng = random.Random(self.seed)
        self.platform = LocalPlatform(
            self.reactor, engines=0, plain=0, instances=INSTANCES, without=self.without
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = 0

    async def play(self) -> None:
        """Start everything, load it and stop it."""
        platform = self.platform
        await platform.start_store()
        platform.publish(2, tenants=accounts(self.spec.sources), routes=self._routes())
        self._add_workers()
        await platform.start_instances()
        service = ENGINES if self.spec.streams else PLAIN
        count = len(platform.workers_by_id)
        await platform.until(
            lambda: all(
                len(entry.table.of_service(service)) == count and entry.knows_peers()
                for entry in platform.entries
            )
        )
        self.began = steady_now()
        watch = asyncio.ensure_future(self._watch_loop())
        await asyncio.gather(*(self._send_all(source) for source in self.spec.sources))
        while self._tasks:
            await asyncio.gather(*self._tasks)
        watch.cancel()
        await platform.stop()

    async def _watch_loop(self) -> None:
        """Record by how much the event loop is late."""
        while True:
            due = steady_now() + LOOP_CHECK_SECONDS
            await asyncio.sleep(LOOP_CHECK_SECONDS)
            self.loop_delays.append(steady_now() - due)

    def _routes(self) -> list[dict[str, Any]]:
        routes: list[dict[str, Any]] = sample_configuration()["routes"]
        return [route | {"timeoutMs": 5000} for route in routes]

    def _add_workers(self) -> None:
        for number in range(ENGINE_COUNT if self.spec.streams else WORKERS):
            service = ENGINES if self.spec.streams else PLAIN
            worker = self.platform.add_worker(f"worker-{number}", service, number)
            if self.spec.streams:
                worker.slots, worker.queue_places = ENGINE_SLOTS, ENGINE_QUEUE_PLACES
                worker.events, worker.event_seconds = EVENTS, EVENT_SECONDS
            else:
                worker.slots, worker.queue_places = SLOTS, QUEUE_PLACES
                worker.call_seconds = CALL_SECONDS
            # Its entry names the slots.
            place = str(self.platform.place_by_id[worker.id])
            center = CENTERS[number % len(CENTERS)]
            self.platform.list_worker(worker.id, service, place, center, sequence=1)

    async def _send_all(self, source: Source) -> None:
        end = self.began + self.seconds
        at = self.began
        while True:
            at += self.rng.expovariate(source.rate)
            if at >= end:
                return
            await asyncio.sleep(max(0.0, at - steady_now()))
            self._spawn(self._ask_and_return(source))

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_and_return(self, source: Source) -> None:
        self._numbers += 1
        body = f"question {self._numbers}".encode()
        first = await self._ask(source, body)
        if self.spec.returns and first.is_refused:
            await asyncio.sleep(first.retry_after)
            first.returned = await self._ask(source, body, is_return=True)

    async def _ask(self, source: Source, body: bytes, is_return: bool = False) -> Asked:
        self._numbers += 1
        instance = self.rng.choice(source.instances)
        asked = Asked(source, steady_now(), is_return)
        self.asked.append(asked)
        headers = {
            "host": HOST,
            "x-attempt-id": f"relay-{instance}.{self._numbers}",
            "x-deadline-ms": DEADLINE_MS,
            "authorization": f"Bearer {source.account}-key",
        }
        if self.spec.streams:
            headers["x-token-usage"] = "5000,500"
        route = "stream" if self.spec.streams else "again"
        url = f"http://{self.platform.callers[instance]}/{route}/x"
        try:
            asked.status, answered = await self._call(asked, url, headers, body)
        except (CallFailedError, TimeoutError):
            return asked
        asked.total = steady_now() - asked.at
        if not self.spec.streams:
            asked.first = asked.total
        asked.retry_after = float(answered.get("retry-after", NOT_TOLD))
        return asked

    async def _call(
        self, asked: Asked, url: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str]]:
        """Status and headers of the whole answer."""
        async with asyncio.timeout(ANSWER_SECONDS):
            response = await self.platform.http.open("POST", url, headers, body)
            # An instance sends the head of a stream with its first event.
            asked.first = steady_now() - asked.at
            await response.read()
        return response.status, response.headers

    # Results

    def counted(self, returns: bool = False) -> list[Asked]:
        """New requests after the begin, or returns."""
        since = self.began + SETTLE_SECONDS
        return [item for item in self.asked if item.is_return == returns and item.at >= since]

    def in_time(self, account: str = "") -> float:
        """The share of an account's requests, or of all, that were served within their target."""
        items = [item for item in self.counted() if account in ("", item.source.account)]
        return sum(item.is_in_time for item in items) / max(1, len(items))

    def of_capacity(self) -> float:
        """What was served in time while the load lasted, by the capacity or the demand if lower."""
        begin, end = self.began + SETTLE_SECONDS, self.began + self.seconds
        served = sum(item.is_in_time and begin <= item.at + item.total < end for item in self.asked)
        demand = sum(source.rate for source in self.spec.sources)
        return served / ((end - begin) * min(self.spec.capacity, demand))

    def admitted_in_time(self) -> float:
        """The share of the served requests that were served within their target."""
        served = [item for item in self.counted() if item.status == 200]
        return sum(item.is_in_time for item in served) / max(1, len(served))

    def refusal_seconds(self) -> list[float]:
        """How long refused callers waited for the refusal."""
        return sorted(item.total for item in self.asked if item.is_refused)

    def returns_in_time(self) -> tuple[int, int, int]:
        """Returned callers, those served in time, and those refused again."""
        returned = [item.returned for item in self.asked if item.returned is not None]
        in_time = sum(item.is_in_time for item in returned)
        return len(returned), in_time, sum(item.is_refused for item in returned)

    def tell(self) -> str:
        """The figures in a line."""
        shares = ", ".join(
            f"{source.account} (rank {source.rank}) {self.in_time(source.account):.3f}"
            for source in self.spec.sources
        )
        refusals = self.refusal_seconds()
        told = statistics.median(refusals) if refusals else 0.0
        late = refusals[int(0.9 * len(refusals))] if refusals else 0.0
        statuses = sorted({item.status for item in self.asked})
        by_status = " ".join(
            f"{status}:{sum(item.status == status for item in self.asked)}" for status in statuses
        )
        line = (
            f"{self.spec.name}: in time {shares}; {self.of_capacity():.3f} of the capacity, "
            f"{self.admitted_in_time():.3f} of the served in time; refused within "
            f"{told * 1000:.0f} ms, nine in ten {late * 1000:.0f} ms; by status {by_status}; "
            f"event loop late by {in_turn(sorted(self.loop_delays), 0.99) * 1000:.0f} ms at most "
            "in 99 of 100 checks"
        )
        if not self.spec.returns:
            return line
        returned, in_time, again = self.returns_in_time()
        waits = sorted(item.retry_after for item in self.asked if item.is_refused)
        longest = waits[-1] if waits else 0.0
        return (
            f"{line}; returned {returned}, in time {in_time}, refused again {again}, "
            f"told at most {longest:.2f} s"
        )


async def play_simulated(
    spec: LoadSpec, seed: int, without: tuple[Mechanism, ...], seconds: float
) -> str:
    """Play a load of plain calls in simulated time; returns its figures in a line."""
    fleet = SlotFleet(INSTANCES, seed, frozenset(without), len(CENTERS))
    sources = [
        Callers(item.account, item.rank, item.rate, item.instances, spec.returns)
        for item in spec.sources
    ]
    await fleet.load(SETTLE_SECONDS, *sources)
    requests = await fleet.load(seconds, *sources)
    await fleet.finish()
    fleet.close()
    shares = ", ".join(
        f"{item.account} (rank {item.rank}) {requests.share_in_time(item.account):.3f}"
        for item in sources
    )
    refusals, returned = requests.refusal_seconds(), requests.returned()
    told, late = (in_turn(refusals, share) * 1000 for share in (0.5, 0.9))
    line = (
        f"{spec.name}, simulated: in time {shares}; {requests.admitted_in_time():.3f} of the "
        f"served in time; refused within {told:.0f} ms, nine in ten {late:.0f} ms"
    )
    if not spec.returns:
        return f"{line}; {requests.served_of(spec.capacity, seconds):.3f} of the capacity"
    in_time = sum(item.in_time for item in returned)
    again = sum(item.refused for item in returned)
    return f"{line}; returned {len(returned)}, in time {in_time}, refused again {again}"


def measure(
    without: str = "",
    only: str = "",
    seeds: int = 1,
    seconds: float = LOAD_SECONDS,
    simulated: bool = False,
) -> ParsedCommand:
    """Play the loads whose name contains `only`, on seeds from 1 on."""
    disabled = tuple(Mechanism(name) for name in without.split("+") if name)
    specs = [spec for spec in LOADS if only in spec.name]

    def simulate() -> int:
        for spec in specs:
            for seed in range(1, seeds + 1 if not spec.streams else 1):
                print(run_virtual(play_simulated(spec, seed, disabled, seconds)), flush=True)
        return 0

    async def play_all(reactor: Any) -> int:
        for spec in specs:
            for seed in range(1, seeds + 1):
                play = SlotLoad(reactor, spec, seed, disabled, seconds)
                await play.play()
                print(play.tell(), flush=True)
        return 0

    return ParsedCommand(simulate if simulated else lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_slots")
