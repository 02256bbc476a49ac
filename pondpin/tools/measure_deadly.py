"""Plays a request that ends its workers, or workers that end by themselves, beside other requests.

A whole platform on loopback in this process: 3 instances, 15 workers of a service; an ended worker
is back after 3 s under another id. Prints workers ended, sends later than 3 s after the third end,
and the share of the other requests that were served.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any

from pondpin.http_client import HttpResponse
from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.local_platform import (
    ENGINES,
    HOST,
    KEY,
    PLAIN,
    LocalPlatform,
)
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.standins.worker import Worker

INSTANCES = 3
WORKERS = 15
PLAYED_SECONDS = 12.0
DEADLY_GAP_SECONDS = 0.2
OTHERS_GAP_SECONDS = 0.05
RETURN_SECONDS = 3.0
LAPSE_SECONDS = 2.0
LATE_SECONDS = 3.0
ENDS_THAT_PROVE = 3
EVENTS = 10
EVENT_SECONDS = 0.04
DEADLY = b"deadly"
# Workers that end by themselves: so many at once, at these seconds.
OWN_ENDS = 4
OWN_END_SECONDS = (2.0, 5.5, 9.0)
SERVICE_BY_ROUTE = {"stream": ENGINES, "again": PLAIN}


class Play:
    """One play of 12 seconds."""

    def __init__(self, reactor: Any, route: str, deadly: bool, seed: int) -> None:
        self.platform = LocalPlatform(reactor, engines=0, plain=0, instances=INSTANCES)
        self.route = route
        self.deadly = deadly
        self.rng = random.Random(seed)
        self.ended_at: list[float] = []
        self.sent_at: list[float] = []
        self.served = 0
        self.others = 0
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Start, load, and stop."""
        loop = asyncio.get_running_loop()
        platform = self.platform
        await platform.start_store()
        for _ in range(WORKERS):
            self._start_worker()
        await platform.start_instances()
        service = SERVICE_BY_ROUTE[self.route]
        await platform.until(
            lambda: all(len(item.table.of_service(service)) == WORKERS for item in platform.entries)
        )
        end = loop.time() + PLAYED_SECONDS
        loads = [self._repeat(end, OTHERS_GAP_SECONDS, self._ask_other)]
        if self.deadly:
            loads.append(self._repeat(end, DEADLY_GAP_SECONDS, self._ask_deadly))
        else:
            loads.append(self._end_workers(loop.time()))
        await asyncio.gather(*loads)
        await asyncio.gather(*self._tasks)
        await platform.stop()

    def _start_worker(self) -> None:
        number = next(self._numbers)
        name = f"worker-{number}"
        service = SERVICE_BY_ROUTE[self.route]
        worker = self.platform.add_worker(name, service, number)
        worker.events, worker.event_seconds = EVENTS, EVENT_SECONDS
        worker.deadly = frozenset({DEADLY})
        worker.on_crash = lambda: self._note_end(worker)

    def _note_end(self, worker: Worker) -> None:
        loop = asyncio.get_running_loop()
        self.ended_at.append(loop.time())
        loop.call_later(
            LAPSE_SECONDS, lambda: self.platform.store.delete(f"{UPSTREAMS_PREFIX}{worker.id}")
        )
        loop.call_later(RETURN_SECONDS, self._start_worker)

    async def _repeat(self, end: float, gap: float, ask: Callable[[int], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end:
            number += 1
            task = asyncio.ensure_future(ask(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(gap)

    async def _end_workers(self, began: float) -> None:
        loop = asyncio.get_running_loop()
        for seconds in OWN_END_SECONDS:
            await asyncio.sleep(began + seconds - loop.time())
            living = [
                worker
                for worker in self.platform.workers_by_id.values()
                if worker.server.port is not None
            ]
            for worker in self.rng.sample(living, OWN_ENDS):
                worker.crash()

    async def _ask_deadly(self, number: int) -> None:
        before = self._deadly_sends()
        await self._ask(f"deadly-{number}", DEADLY)
        now = asyncio.get_running_loop().time()
        self.sent_at += [now] * max(0, self._deadly_sends() - before)

    def _deadly_sends(self) -> int:
        workers = self.platform.workers_by_id.values()
        return sum(item.body == DEADLY for worker in workers for item in worker.seen)

    async def _ask_other(self, number: int) -> None:
        self.others += 1
        answer = await self._ask(f"other-{number}", f"other {number}".encode())
        whole = answer is not None and answer.status == 200
        self.served += whole

    async def _ask(self, attempt: str, body: bytes) -> HttpResponse | None:
        headers = {
            "host": HOST,
            "x-attempt-id": attempt,
            "x-deadline-ms": "5000",
            "authorization": f"Bearer {KEY}",
        }
        if self.route == "stream":
            headers["x-token-usage"] = "5000,500"
        place = self.rng.choice(self.platform.callers)
        url = f"http://{place}/{self.route}/x"
        try:
            return await self.platform.http.call("POST", url, headers, body, timeout=8.0)
        except CallFailedError:
            return None

    def tell(self) -> str:
        """The play's figures in a line."""
        late = 0
        if len(self.ended_at) >= ENDS_THAT_PROVE:
            limit = sorted(self.ended_at)[ENDS_THAT_PROVE - 1] + LATE_SECONDS
            late = sum(at > limit for at in self.sent_at) if self.deadly else 0
        kind = "a deadly request" if self.deadly else "workers that end by themselves"
        return (
            f"{self.route}, {kind}: {len(self.ended_at)} workers ended, {late} sends late, "
            f"{self.served / self.others:.3f} of {self.others} others served"
        )


def measure(seeds: int = 1) -> ParsedCommand:
    """Play both kinds on both routes, on seeds from 1 on."""

    async def play_all(reactor: Any) -> int:
        for route in SERVICE_BY_ROUTE:
            for deadly in (True, False):
                for seed in range(1, seeds + 1):
                    play = Play(reactor, route, deadly, seed)
                    await play.play()
                    print(play.tell(), flush=True)
        return 0

    return ParsedCommand(lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_deadly")
