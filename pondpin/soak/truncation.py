"""Ends of workers in the middle of responses without a length, beside a soak's other faults."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from pondpin.http_streams import CallFailedError
from pondpin.standins.worker_ends import WorkerEnd

GAP_SECONDS = 1.0
# A worker that ends has some requests begun with these.
REQUESTS = 12
BEGUN_SECONDS = (0.04, 0.12)
# Of the ends so many are planned: the list says before that the worker leaves.
PLANNED_SHARE = 0.5
# A worker is back for the list after this time.
LISTED_SECONDS = 2.2


@dataclass
class TruncationLoad:
    """Ends workers, each in one of the orders.

    ask sends a request by its attempt; list_leaving and relist write a worker's entry.
    """

    seed: int
    names: Sequence[str]
    ask: Callable[[str], "asyncio.Future[None]"]
    end_worker: Callable[[str, WorkerEnd], Awaitable[None]]
    list_leaving: Callable[[str], Awaitable[None]]
    relist: Callable[[str], Awaitable[None]]
    faults: list[str] = field(default_factory=list)

    async def play(self, end: float) -> None:
        """End workers until a moment of the steady clock."""
        rng = random.Random(f"{self.seed} truncation")
        ended: dict[str, asyncio.Task[None]] = {}
        for number in itertools.count():
            await asyncio.sleep(rng.expovariate(1 / GAP_SECONDS))
            if time.monotonic() > end:
                break
            name, how = rng.choice(self.names), rng.choice(list(WorkerEnd))
            is_planned, begun = rng.random() < PLANNED_SHARE, rng.uniform(*BEGUN_SECONDS)
            if name not in ended or ended[name].done():
                for index in range(REQUESTS):
                    self.ask(f"t{number}.{index}")
                ended[name] = asyncio.ensure_future(self._end(name, how, is_planned, begun))
        await asyncio.gather(*ended.values())

    async def _end(self, name: str, how: WorkerEnd, is_planned: bool, begun: float) -> None:
        try:
            if is_planned:
                await self.list_leaving(name)
            await asyncio.sleep(begun)
            await self.end_worker(name, how)
            self.faults.append(f"{name} ends, {how}{', planned' if is_planned else ''}")
            await asyncio.sleep(LISTED_SECONDS)
        except CallFailedError as error:
            self.faults.append(f"not done: {error}")
        await self.relist(name)
