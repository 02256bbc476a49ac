"""A whole platform on loopback in this process, under a load of callers: for measurements."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from pondpin.http_streams import CallFailedError
from pondpin.standins.local_platform import ENGINES, HOST, KEY, PLAIN, LocalPlatform
from pondpin.standins.worker import Worker

UPSTREAMS = 8
EVENTS = 10
EVENT_SECONDS = 0.02
SERVICE_BY_ROUTE = {"again": PLAIN, "stream": ENGINES}


class LocalLoad:
    """One play: 8 upstreams of one service in three data centres, and requests on one route.

    at_one: all callers are at the first instance.
    """

    def __init__(
        self, reactor: Any, route: str, instances: int, seed: int, at_one: bool = False
    ) -> None:
        self.platform = LocalPlatform(reactor, engines=0, plain=0, instances=instances)
        self.route, self.at_one = route, at_one
        self.rng = random.Random(seed)
        self.workers: list[Worker] = []
        self.asked = self.served = self.bytes_out = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def served_share(self) -> float:
        """The share of the requests that was served."""
        return self.served / self.asked

    async def play(
        self, happening: Awaitable[None], seconds: float, gap: Callable[[], float]
    ) -> None:
        """Start, load for some seconds while something happens, and stop.

        gap: seconds until the next request.
        """
        platform = self.platform
        await platform.start_store()
        service = SERVICE_BY_ROUTE[self.route]
        for number in range(UPSTREAMS):
            worker = platform.add_worker(f"worker-{number}", service, number)
            worker.events, worker.event_seconds = EVENTS, EVENT_SECONDS
            self.workers.append(worker)
        await platform.start_instances()
        await platform.until(
            lambda: all(
                len(entry.table.of_service(service)) == UPSTREAMS for entry in platform.entries
            )
        )
        happens = asyncio.ensure_future(happening)
        await self._load(seconds, gap)
        await happens
        await asyncio.gather(*self._tasks)
        self.bytes_out = sum(
            entry.gossip.bytes_out + entry.gossip.limits.bytes_out for entry in platform.entries
        )
        await platform.stop()

    async def _load(self, seconds: float, gap: Callable[[], float]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        number = 0
        while loop.time() < end:
            task = asyncio.ensure_future(self._ask(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
            await asyncio.sleep(gap())

    async def _ask(self, number: int) -> None:
        instance = 0 if self.at_one else self.rng.randrange(len(self.platform.callers))
        headers = {
            "host": HOST,
            "x-attempt-id": f"relay-{instance}.{number}",
            "x-deadline-ms": "5000",
            "authorization": f"Bearer {KEY}",
        }
        if self.route == "stream":
            headers["x-token-usage"] = "5000,500"
        url = f"http://{self.platform.callers[instance]}/{self.route}/x"
        self.asked += 1
        try:
            answer = await self.platform.http.call("POST", url, headers, b"q", timeout=8.0)
        except CallFailedError:
            return
        self.served += answer.status == 200
