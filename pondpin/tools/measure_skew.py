"""Plays most new connections at one instance, then at the next, on loopback.

Three upstreams of 8 slots, 0.2 s a request, each on a new connection. Prints the share of requests
that are served at the first try: before, with 0.9 of all at one instance, at the next, and after.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

import msgspec

from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.local_platform import ENGINES, HOST, KEY, PLAIN, LocalPlatform
from pondpin.standins.local_platform import sample_configuration as sample

UPSTREAMS = 3
SLOTS = 8
QUEUE_PLACES = 8
REQUEST_SECONDS = 0.2
EVENTS = 5
CROWD_SHARE = 0.9
# The first second of a crowd is counted apart.
SETTLE_SECONDS = 1.0
PHASE_SECONDS = 4.0
PHASES: tuple[tuple[str, int | None], ...] = (
    ("before", None),
    ("at one", 0),
    ("at the next", 1),
    ("after", None),
)
SERVICE_BY_ROUTE = {"stream": ENGINES, "again": PLAIN}


@dataclass(frozen=True)
class Load:
    """Requests on a route at a share of all slots; connections: what an upstream takes."""

    route: str
    instances: int
    connections: int
    load: float


LOADS = (
    Load("again", 8, 51, 0.6),
    Load("again", 24, 51, 0.9),
    Load("stream", 24, 51, 0.9),
    Load("again", 8, 51, 1.3),
)


class Play:
    """One play."""

    def __init__(self, reactor: Any, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.platform = LocalPlatform(reactor, engines=0, plain=0, instances=load.instances)
        self.results: dict[str, Counter[str]] = {}
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Start, load, and stop."""
        platform = self.platform
        await platform.start_store()
        for number in range(UPSTREAMS):
            worker = platform.add_worker(f"u{number}", SERVICE_BY_ROUTE[self.load.route], number)
            worker.slots, worker.queue_places = SLOTS, QUEUE_PLACES
            worker.call_seconds = REQUEST_SECONDS
            worker.events, worker.event_seconds = EVENTS, REQUEST_SECONDS / EVENTS
        await platform.start_instances()
        services = [item | {"maxConns": self.load.connections} for item in sample()["services"]]
        platform.publish(2, services=services)
        await platform.until(
            lambda: all(
                len(item.table.by_id) == UPSTREAMS and item.publication.in_force.version == 2
                for item in platform.entries
            )
        )
        gap = REQUEST_SECONDS / (self.load.load * UPSTREAMS * SLOTS)
        for name, crowded in PHASES:
            await self._play_phase(name, crowded, gap)
        await asyncio.gather(*self._tasks)
        await platform.stop()

    async def _play_phase(self, name: str, crowded: int | None, gap: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for number in range(int(PHASE_SECONDS / gap)):
            await asyncio.sleep(max(0.0, began + number * gap - loop.time()))
            is_crowd = crowded is not None and self.rng.random() < CROWD_SHARE
            place = crowded if is_crowd else self.rng.randrange(self.load.instances)
            phase = f"{name}, first second" if number * gap < SETTLE_SECONDS else name
            task = asyncio.ensure_future(self._ask(phase, place or 0))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, phase: str, place: int) -> None:
        route = self.load.route
        headers = {
            "host": HOST,
            "x-attempt-id": f"a{next(self._numbers)}",
            "x-deadline-ms": "5000",
            "authorization": f"Bearer {KEY}",
        }
        if route == "stream":
            headers["x-token-usage"] = "500,100"
        url = f"http://{self.platform.callers[place]}/{route}/x"
        result = "broken"
        try:
            answer = await self.platform.http.call("POST", url, headers, b"x", 8.0, fresh=True)
            result = str(answer.status)
            if answer.status != 200:
                result = msgspec.json.decode(answer.body)["error"]["name"]
        except CallFailedError:
            pass
        self.results.setdefault(phase, Counter())[result] += 1

    def describe(self) -> str:
        """The play's figures in a line."""
        load = self.load
        parts = [f"{load.route}, {load.instances} instances, {load.connections}, {load.load}"]
        for phase, results in self.results.items():
            others = {name: count for name, count in results.items() if name != "200"}
            parts.append(f"{phase} {results['200'] / results.total():.3f} {others or ''}")
        return "; ".join(parts)


def measure(row: int = -1, seed: int = 1) -> ParsedCommand:
    """Play a row of the loads, from 0 on, or all of them."""

    async def play_all(reactor: Any) -> int:
        for load in LOADS if row < 0 else LOADS[row : row + 1]:
            play = Play(reactor, load, seed)
            await play.play()
            print(play.describe(), flush=True)
        return 0

    return ParsedCommand(lambda: run(play_all))


if __name__ == "__main__":
    run_command(measure, "measure_skew")
