"""Prints how callers of instances are served that lose their links to all upstreams.

Real instances on loopback, in three data centres; callers come at a steady rate, half of them on
kept connections. Served: first tries from a second after the cut on, at the cut instances and at
the others, and how long the answers took.
"""

import asyncio
import random
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.relay.mechanisms import Mechanism
from pondpin.runtime import ParsedCommand, run, run_command, steady_now
from pondpin.standins.local_platform import HOST, KEY, LocalPlatform
from pondpin.standins.partitions import Cut

INSTANCES = 6
WORKERS = 6
REQUESTS_PER_SECOND = 75.0
WARM_SECONDS = 1.5
SETTLED_SECONDS = 1.0
CUT_SECONDS = 5.0
CALL_SECONDS = 0.02
ROUTES = ("stream", "stream", "again", "once")
MILLISECONDS = 1000
OK = 200
ARMS: dict[str, tuple[Mechanism, ...]] = {"without": (Mechanism.TUNNELS,), "with": ()}
# Instances n, n + 3 are in the same data centre.
CASES: tuple[tuple[str, tuple[int, ...], Cut], ...] = (
    ("one, reset", (0,), Cut.RESET),
    ("one, new ones refused", (0,), Cut.REFUSE),
    ("one, silent", (0,), Cut.SILENT),
    ("a data centre's two, reset", (0, 3), Cut.RESET),
    ("a data centre's two, silent", (0, 3), Cut.SILENT),
    ("four of six, silent", (0, 1, 2, 3), Cut.SILENT),
    ("all, silent", tuple(range(INSTANCES)), Cut.SILENT),
)


@dataclass
class Side:
    """First tries at some instances; times in seconds."""

    statuses: list[int] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    def describe(self) -> str:
        """Served of all, and the median time of an answer."""
        middle = median(self.times) * MILLISECONDS if self.times else 0.0
        served = self.statuses.count(OK)
        return f"{served} of {len(self.statuses)}, {middle:.0f} ms"


@dataclass
class PartitionPlay:
    """One cut; numbers: the instances that are cut."""

    platform: LocalPlatform
    reactor: Any
    numbers: tuple[int, ...]
    cut: Cut
    rng: random.Random
    early: Side = field(default_factory=Side)
    at_cut: Side = field(default_factory=Side)
    elsewhere: Side = field(default_factory=Side)

    async def play(self) -> None:
        """Warm up, cut, and count."""
        kept, single = HttpClient(self.reactor, 1.0), HttpClient(self.reactor, 1.0)
        began = steady_now() + WARM_SECONDS
        tasks = []
        is_cut = False
        while steady_now() < began + CUT_SECONDS:
            now = steady_now()
            if not is_cut and now >= began:
                is_cut = True
                for number in self.numbers:
                    self.platform.cut_from_workers(number, self.cut)
            number = self.rng.randrange(INSTANCES)
            side = self._side(number, now - began)
            client = kept if self.rng.random() < 0.5 else single
            tasks.append(asyncio.ensure_future(self._ask(client, client is single, number, side)))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)
        await asyncio.gather(kept.close(), single.close())

    def _side(self, number: int, since: float) -> Side:
        if since < 0:
            return Side()
        if number not in self.numbers:
            return self.elsewhere
        return self.at_cut if since >= SETTLED_SECONDS else self.early

    async def _ask(self, client: HttpClient, fresh: bool, number: int, side: Side) -> None:
        route = self.rng.choice(ROUTES)
        attempt = f"a{self.rng.getrandbits(60)}"
        headers = {
            "host": HOST,
            "x-attempt-id": attempt,
            "x-deadline-ms": "4000",
            "authorization": f"Bearer {KEY}",
        }
        if route == "stream":
            headers["x-token-usage"] = "2000,100"
        url = f"http://{self.platform.callers[number]}/{route}/x"
        began = steady_now()
        try:
            answer = await client.call(
                "POST", url, headers, attempt.encode(), timeout=10.0, fresh=fresh
            )
            status = answer.status
        except CallFailedError:
            status = 0
        side.statuses.append(status)
        if status == OK:
            side.times.append(steady_now() - began)


async def measure(reactor: Any, seed: int) -> int:
    """Play each case with and without paths through peers."""
    print("cut | paths | first second | from 1 s on | at the others")
    for name, numbers, cut in CASES:
        for arm, without in ARMS.items():
            platform = LocalPlatform(
                reactor, engines=WORKERS, plain=WORKERS, instances=INSTANCES, without=without
            )
            await platform.start()
            for worker in platform.workers_by_id.values():
                worker.call_seconds = CALL_SECONDS
            play = PartitionPlay(platform, reactor, numbers, cut, random.Random(seed))
            await play.play()
            sides = " | ".join(
                side.describe() for side in (play.early, play.at_cut, play.elsewhere)
            )
            print(f"{name} | {arm} | {sides}", flush=True)
            await platform.stop()
    return 0


def measure_partitions(seed: int = 1) -> ParsedCommand:
    """Measure; the seed draws callers, routes and instances."""
    return ParsedCommand(lambda: run(lambda reactor: measure(reactor, seed)))


if __name__ == "__main__":
    run_command(measure_partitions, "measure-partitions")
