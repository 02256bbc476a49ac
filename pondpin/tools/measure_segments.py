"""Plays a prompt segment that crashes upstreams beside other requests, on loopback.

3 instances; crashed upstreams are back after 2.5 s under another id; 51 requests a second for 20 s.
From 2 s on a request with the segment is sent each 0.2 s, of which no two are alike. Prints what
ended, deadly requests that reached upstreams later than 3 s after the fifth end, the share of sound
requests served at the first try, and what the callers of deadly requests got.
"""

import asyncio
import itertools
import random
import statistics
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec

from pondpin.http_client import HttpResponse
from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.local_platform import ENGINES, HOST, KEY, PLAIN, LocalPlatform
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.standins.worker import Worker

INSTANCES = 3
PLAYED_SECONDS = 20.0
DEADLY_FROM_SECONDS = 2.0
DEADLY_GAP_SECONDS = 0.2
SOUND_GAP_SECONDS = 1 / 51
RETURN_SECONDS = 2.5
LAPSE_SECONDS = 2.0
BOUND_ENDS = 5
LATE_SECONDS = 3.0
EARLY_SECONDS = 6.0
EVENTS = 10
EVENT_SECONDS = 0.04
CALL_SECONDS = 0.2
SYSTEM, DEADLY, TWIN, THIRD = "5c", "dead", "f1", "f3"
THIRD_OF = 3
# Upstreams that end by themselves: so many at once, at these seconds.
OWN_ENDS = 4
OWN_END_SECONDS = (3.0, 8.0, 13.0)
SERVICE_BY_ROUTE = {"stream": ENGINES, "again": PLAIN}


@dataclass(frozen=True)
class Load:
    """A kind of play; twin: the deadly segment follows one that a third of the others use too."""

    name: str
    routes: tuple[str, ...]
    upstreams: int = 15
    twin: bool = False
    deadly: bool = True


LOADS = (
    Load("streams", ("stream",)),
    Load("plain", ("again",)),
    Load("twin", ("stream",), twin=True),
    Load("mixed", ("stream", "again"), 36),
    Load("racks", ("stream",), deadly=False),
)


@dataclass(frozen=True)
class Outcome:
    """A request's answer; status 0: it broke off."""

    sent_at: float
    status: int
    code: int
    seconds: float


class Play:
    """One play."""

    def __init__(self, reactor: Any, load: Load, seed: int) -> None:
        self.platform = LocalPlatform(reactor, engines=0, plain=0, instances=INSTANCES)
        self.load = load
        self.rng = random.Random(seed)
        self.ended_at: list[float] = []
        self.reached_at: list[float] = []
        self.sound: list[Outcome] = []
        self.deadly: list[Outcome] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Start, load, and stop."""
        platform = self.platform
        loop = asyncio.get_running_loop()
        await platform.start_store()
        for number in range(self.load.upstreams):
            self._start_worker(self.load.routes[number % len(self.load.routes)])
        await platform.start_instances()
        await platform.until(
            lambda: all(len(item.table.by_id) == self.load.upstreams for item in platform.entries)
        )
        self.began = loop.time()
        loads = [self._send_sound()]
        loads.append(self._send_deadly() if self.load.deadly else self._end_workers())
        await asyncio.gather(*loads)
        await asyncio.gather(*self._tasks)
        await platform.stop()

    def _start_worker(self, route: str) -> None:
        number = next(self._numbers)
        worker = self.platform.add_worker(f"worker-{number}", SERVICE_BY_ROUTE[route], number)
        worker.events, worker.event_seconds = EVENTS, EVENT_SECONDS
        worker.call_seconds = CALL_SECONDS
        worker.deadly_segments = frozenset({DEADLY})
        worker.on_crash = lambda: self._record_crash(worker, route)

    def _record_crash(self, worker: Worker, route: str) -> None:
        loop = asyncio.get_running_loop()
        self.ended_at.append(loop.time())
        loop.call_later(
            LAPSE_SECONDS, lambda: self.platform.store.delete(f"{UPSTREAMS_PREFIX}{worker.id}")
        )
        loop.call_later(RETURN_SECONDS, lambda: self._start_worker(route))

    async def _send_sound(self) -> None:
        for number in itertools.count():
            left = self.began + SOUND_GAP_SECONDS * number - asyncio.get_running_loop().time()
            if number * SOUND_GAP_SECONDS >= PLAYED_SECONDS:
                return
            await asyncio.sleep(max(0.0, left))
            segments = [SYSTEM]
            if number % THIRD_OF == 0:
                segments.append(TWIN if self.load.twin else THIRD)
            segments.append(f"a{number % 8}")
            self._spawn(segments, f"sound-{number}", number, self.sound)

    async def _send_deadly(self) -> None:
        await asyncio.sleep(DEADLY_FROM_SECONDS)
        count = int((PLAYED_SECONDS - DEADLY_FROM_SECONDS) / DEADLY_GAP_SECONDS)
        for number in range(count):
            segments = [SYSTEM, *([TWIN] if self.load.twin else []), DEADLY]
            self._spawn(segments, f"deadly-{number}", number, self.deadly)
            await asyncio.sleep(DEADLY_GAP_SECONDS)

    async def _end_workers(self) -> None:
        for seconds in OWN_END_SECONDS:
            await asyncio.sleep(self.began + seconds - asyncio.get_running_loop().time())
            workers = self.platform.workers_by_id.values()
            living = [worker for worker in workers if worker.server.port is not None]
            for worker in self.rng.sample(living, OWN_ENDS):
                worker.crash()

    def _spawn(self, segments: list[str], name: str, number: int, into: list[Outcome]) -> None:
        task = asyncio.ensure_future(self._ask(segments, name, number, into))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, segments: list[str], name: str, number: int, into: list[Outcome]) -> None:
        loop = asyncio.get_running_loop()
        route = self.load.routes[number % len(self.load.routes)]
        headers = {
            "host": HOST,
            "x-attempt-id": name,
            "x-deadline-ms": "5000",
            "authorization": f"Bearer {KEY}",
            "x-prompt-prefix": ",".join(f"{item}:40" for item in (*segments, f"{number:x}e")),
        }
        if route == "stream":
            headers["x-token-usage"] = "5000,500"
        url = f"http://{self.rng.choice(self.platform.callers)}/{route}/x"
        began = loop.time()
        before = self._sends_of(name)
        answer: HttpResponse | None = None
        with suppress(CallFailedError):
            answer = await self.platform.http.call("POST", url, headers, name.encode(), timeout=8.0)
        self.reached_at += [loop.time()] * (self._sends_of(name) - before)
        status = answer.status if answer is not None else 0
        code = 0
        if answer is not None and status != 200:
            code = msgspec.json.decode(answer.body)["error"]["code"]
        into.append(Outcome(began, status, code, loop.time() - began))

    def _sends_of(self, name: str) -> int:
        """How often a deadly request has reached upstreams."""
        if not name.startswith("deadly"):
            return 0
        body = name.encode()
        workers = self.platform.workers_by_id.values()
        return sum(item.body == body for worker in workers for item in worker.seen)

    def describe(self) -> str:
        """The play's figures in a line."""
        ends = sorted(self.ended_at)
        first = ends[0] if ends else self.began
        fifth = ends[min(len(ends), BOUND_ENDS) - 1] if ends else self.began
        late = sum(at > fifth + LATE_SECONDS for at in self.reached_at)
        parts = [
            f"{self.load.name}: {len(ends)} ended, {late} deadly late",
            f"sound served before {self._served(self.began, first)}",
            f"until the fifth end {self._served(first, fifth)}",
            f"until 6 s later {self._served(fifth, fifth + EARLY_SECONDS)}",
            f"afterwards {self._served(fifth + EARLY_SECONDS, float('inf'))}",
        ]
        if self.deadly:
            codes = Counter((item.status, item.code) for item in self.deadly)
            median = statistics.median(item.seconds for item in self.deadly)
            parts.append(f"deadly callers got {dict(codes)}, median {median * 1000:.0f} ms")
        failed = Counter((item.status, item.code) for item in self.sound if item.status != 200)
        slow = sum(item.seconds > 1.0 for item in self.sound)
        parts.append(f"sound failures {dict(failed)}, {slow} over 1 s")
        return "; ".join(parts)

    def _served(self, since: float, until: float) -> str:
        sent = [item for item in self.sound if since <= item.sent_at < until]
        served = sum(item.status == 200 for item in sent)
        return f"{served / len(sent):.3f} of {len(sent)}" if sent else "-"


def measure(load: str = "", seeds: int = 1) -> ParsedCommand:
    """Play a load, or all of them, on seeds from 1 on."""

    async def play_all(reactor: Any) -> int:
        for item in LOADS:
            for seed in range(1, seeds + 1):
                if load in ("", item.name):
                    play = Play(reactor, item, seed)
                    await play.play()
                    print(play.describe(), flush=True)
        return 0

    return ParsedCommand(lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_segments")
