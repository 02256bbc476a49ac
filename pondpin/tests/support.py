"""What tests share: the reactor, a deployment in one process, sample documents, fake clocks."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from absl import logging
from hypothesis import settings

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.invariants import INVARIANTS
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import LogEvent
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay_settings import RelayLimits
from pondpin.runtime import install_reactor, new_loop, steady_now
from pondpin.standins.engine_model import EngineShape
from pondpin.standins.local_fleet import (
    EngineSpec,
    EntrySpec,
    FleetSpec,
    LocalFleet,
    ServiceSpec,
    key_hash,
)
from pondpin.standins.local_platform import CENTERS, PLAIN, LocalPlatform
from pondpin.standins.local_platform import HOST as RELAY_HOST
from pondpin.standins.local_platform import KEY as RELAY_KEY
from pondpin.standins.scripted_upstream import ScriptedUpstream
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.standins.worker import Worker, WorkerFault
from pondpin.tools.balancer import Balancer
from pondpin.tools.caller import Caller, OnceCaller, Question

KEY = "test-key"
OTHER_KEY = "other-key"
MODEL = "rider"
READY_SECONDS = 10.0
LONGEST_TEST_SECONDS = 120.0

_LOOP: asyncio.AbstractEventLoop | None = None
_REACTOR: Any = None


def prepare() -> None:
    """Make hypothesis repeat itself, breaches fatal and logs quiet."""
    settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
    settings.load_profile("ci")
    INVARIANTS.fatal = True
    logging.set_verbosity(logging.FATAL)


def the_loop() -> tuple[asyncio.AbstractEventLoop, Any]:
    """The one event loop and reactor of the process."""
    global _LOOP, _REACTOR  # noqa: PLW0603
    if _LOOP is None:
        _LOOP = new_loop()
        _REACTOR = install_reactor(_LOOP)
    return _LOOP, _REACTOR


def run_async(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on the event loop."""
    loop, _ = the_loop()
    loop.run_until_complete(work)


class FakeClock:
    """A clock that moves only when told."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds


class ListLog(EventLog):
    """A log whose lines are kept as events."""

    def __init__(self) -> None:
        super().__init__("test", FakeClock(), FakeClock(), -1)
        self.events: list[LogEvent] = []

    def write(self, event: LogEvent) -> None:
        self.events.append(event)


def sample_document(**changes: Any) -> dict[str, Any]:
    """A configuration without its upstreams."""
    document: dict[str, Any] = {
        "models": {MODEL: {}},
        "accounts": {
            "padyak": {"keys_sha256": [key_hash(KEY)]},
            "cedarline": {"keys_sha256": [key_hash(OTHER_KEY)]},
        },
        "classes": [
            {"name": "short", "match": "prompt_tokens<=8000"},
            {"name": "long", "match": "prompt_tokens>100000", "long": True},
        ],
        "rules": [
            {
                "name": "unlock",
                "match": "service=dock",
                "upstreams": "service=dock",
                "repeatable": False,
                "allowed_seconds": 5,
            },
            {"name": "short", "match": "class=short", "upstreams": "", "priority": 80},
            {"name": "rest", "match": "model", "upstreams": "", "priority": 20},
        ],
    }
    return document | changes


def sample_spec(**changes: Any) -> FleetSpec:
    """Two entry instances, four engines in one group, one service."""
    shape = EngineShape(blocks=200, step_base=0.002)
    spec: dict[str, Any] = {
        "entries": (
            EntrySpec(name="a1", data_center="dc-a"),
            EntrySpec(name="b1", data_center="dc-b"),
        ),
        "engines": tuple(
            EngineSpec(
                name=f"e{number}",
                data_center="dc-a" if number < 3 else "dc-b",
                model=MODEL,
                labels={"group": "binder"},
                shape=shape,
                report_lag=0.05,
            )
            for number in range(1, 5)
        ),
        "services": (ServiceSpec(name="dock-1", data_center="dc-a", service="dock"),),
        "document": sample_document(),
        "heartbeat_seconds": 0.1,
    }
    return FleetSpec(**(spec | changes))


def question(prompt: str = "Where is the nearest dock?", **changes: Any) -> Question:
    """A short question."""
    values: dict[str, Any] = {
        "name": "question",
        "length_class": "short",
        "key": KEY,
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": 8,
    }
    return Question(**(values | changes))


async def wait_until(holds: Any, seconds: float = READY_SECONDS) -> None:
    """Wait until something holds; fails the test when it never does."""
    async with asyncio.timeout(seconds):
        while not holds():
            await asyncio.sleep(0.01)


class FleetCase(unittest.TestCase):
    """A test against a deployment in this process, started anew for each test."""

    def drive(self, test: Any, spec: FleetSpec | None = None) -> None:
        """Start a deployment, run test(self), stop the deployment."""
        run_async(self._drive(test, spec if spec is not None else sample_spec()))

    async def _drive(self, test: Any, spec: FleetSpec) -> None:
        _, reactor = the_loop()
        self.fleet = LocalFleet(reactor, spec)
        self.client = HttpClient(reactor, 1.0)
        await self.fleet.start()
        try:
            await wait_until(self._is_ready)
            self.callers = {
                name: str(running.callers) for name, running in self.fleet.entries_by_name.items()
            }
            self.balancer = Balancer(list(self.callers.values()))
            self.caller = Caller(self.client, self.balancer, steady_now)
            self.once = OnceCaller(self.client, self.balancer, steady_now)
            # A test that hangs fails; none takes long.
            async with asyncio.timeout(LONGEST_TEST_SECONDS):
                await test()
        finally:
            await self.client.close()
            await self.fleet.stop()

    def _is_ready(self) -> bool:
        return all(
            running.instance.ready
            and all(state.heard_at for state in running.instance.fleet.by_name.values())
            for running in self.fleet.entries_by_name.values()
        )

    def held_blocks(self) -> int:
        """Blocks held on all engines, by the engines' own word."""
        return sum(engine.model.held_blocks() for engine in self.fleet.engines_by_name.values())

    def ledger_blocks(self) -> int:
        """Blocks held by the ledgers of all entry instances."""
        return sum(
            running.instance.ledger.held_blocks for running in self.fleet.entries_by_name.values()
        )

    async def nothing_held(self) -> None:
        """Wait until all memory is returned, at engines and in ledgers."""
        await wait_until(lambda: self.held_blocks() == 0 and self.ledger_blocks() == 0)


class RelayTest(unittest.TestCase):
    """Base: starts a platform for each test."""

    instances = 1
    engines = 2
    limits = RelayLimits()
    without: tuple[Mechanism, ...] = ()

    def play(self, work: Callable[[LocalPlatform], Awaitable[None]]) -> None:
        async def whole() -> None:
            platform = LocalPlatform(
                the_loop()[1],
                engines=self.engines,
                instances=self.instances,
                limits=self.limits,
                without=self.without,
            )
            async with asyncio.timeout(LONGEST_TEST_SECONDS):
                await platform.start()
                try:
                    await work(platform)
                finally:
                    await platform.stop()

        run_async(whole())


async def use_scripted_upstream(
    platform: LocalPlatform, response: bytes = b"", name: str = "scripted"
) -> ScriptedUpstream:
    """Replace the plain workers of a platform by an upstream that sends a response."""
    upstream = ScriptedUpstream(response)
    place = platform.place_by_id[name] = await upstream.listen()
    for other in ("plain-0", "plain-1"):
        platform.store.delete(f"{UPSTREAMS_PREFIX}{other}")
    platform.list_worker(name, PLAIN, str(place), CENTERS[0])
    tables = [entry.table for entry in platform.entries]
    await platform.until(
        lambda: all({item.id for item in table.of_service(PLAIN)} == {name} for table in tables)
    )
    return upstream


async def ask(
    platform: LocalPlatform,
    route: str,
    attempt: str = "a1",
    instance: int = 0,
    method: str = "POST",
    body: bytes = b"question",
    **headers: str,
) -> HttpResponse:
    """One request of a caller."""
    named = {
        "host": RELAY_HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": "5000",
        "authorization": f"Bearer {RELAY_KEY}",
    }
    if route == "stream":
        named["x-token-usage"] = "5000,500"
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{platform.callers[instance]}/{route}/x?y=1;z"
    return await platform.http.call(method, url, named, body, timeout=20.0)


def fail_next(platform: LocalPlatform, fault: WorkerFault, times: int = 1) -> None:
    """The next request at any worker meets a fault."""
    for worker in platform.workers_by_id.values():
        worker.faults = [fault] * times


def runs(platform: LocalPlatform, attempt: str = "a1") -> int:
    """How often an attempt ran at any worker."""
    return sum(worker.runs_by_attempt[attempt] for worker in platform.workers_by_id.values())


def numbers(answer: HttpResponse) -> list[int]:
    """The ids of the events of an answer."""
    lines = answer.body.decode().splitlines()
    return [int(line.partition(":")[2]) for line in lines if line.startswith("id:")]


def engines(platform: LocalPlatform) -> list[Worker]:
    """The model engines."""
    return [item for name, item in platform.workers_by_id.items() if name.startswith("engine")]


def busy(platform: LocalPlatform) -> bool:
    """Whether any worker works."""
    return any(worker.working for worker in platform.workers_by_id.values())
