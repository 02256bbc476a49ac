"""Restores of the store from older copies, beside a soak's faults, and what callers see of them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from pondpin.http_streams import CallFailedError
from pondpin.soak.notices import Troubles
from pondpin.soak.processes import Managed
from pondpin.soak.promises import Findings

# Between two restores; some follow one another within seconds.
GAP_SECONDS = (1.0, 6.0)
COPY_AGE_SECONDS = (0.0, 4.0)
AWAY_SECONDS = (0.1, 0.8)
# The operator and the workers write again within this.
OPERATOR_SECONDS = (0.1, 0.8)
WORKERS_SECONDS = 1.8
# The users' bound for a version to be in force.
APPLY_SECONDS = 2.0
# An instance that starts, or had trouble, knows what its peers know after this.
SETTLED_SECONDS = 2.0
UNKNOWN_PATH = 404


@dataclass
class RestoreLoad:
    """Restores the store, and checks that versions written afterwards are in force.

    restore: comes back from a copy of some age after being away for some seconds; publish: writes a
    new version with a route of its own, and returns it; relist: a worker writes its entry;
    ask: the status that an instance gives to a request on the route of a version.
    """

    seed: int
    workers: Sequence[str]
    instances: Sequence[Managed]
    restore: Callable[[float, float], Awaitable[None]]
    publish: Callable[[], Awaitable[int]]
    relist: Callable[[str], Awaitable[None]]
    ask: Callable[[int, int], Awaitable[int]]
    troubles: Troubles
    findings: Findings
    faults: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Set up what instances have shown."""
        # The highest version that an instance served by, with the number of its start.
        self._shown_by_instance: dict[int, tuple[int, int]] = {}

    async def play(self, end: float) -> None:
        """Restore now and then until a moment of the steady clock."""
        rng = random.Random(f"{self.seed} restores")
        checks: set[asyncio.Task[None]] = set()
        while True:
            pause = rng.uniform(*GAP_SECONDS)
            if time.monotonic() + pause >= end:
                break
            await asyncio.sleep(pause)
            age, away = rng.uniform(*COPY_AGE_SECONDS), rng.uniform(*AWAY_SECONDS)
            try:
                await self.restore(age, away)
                self.faults.append(f"store restored from a copy of {age:.1f} s")
                relisting = asyncio.create_task(self._write_entries(rng.random()))
                await asyncio.sleep(rng.uniform(*OPERATOR_SECONDS))
                version = await self.publish()
                checks.add(asyncio.create_task(self._check(version, time.time())))
                await relisting
            except CallFailedError as error:
                self.faults.append(f"not done: {error}")
        await asyncio.gather(*checks)

    async def _write_entries(self, draw: float) -> None:
        rng = random.Random(draw)
        pause = WORKERS_SECONDS / len(self.workers)
        for name in rng.sample(list(self.workers), len(self.workers)):
            await asyncio.sleep(pause * rng.random())
            await self.relist(name)

    async def _check(self, version: int, written_at: float) -> None:
        await asyncio.sleep(APPLY_SECONDS)
        await asyncio.gather(
            *(
                self._check_instance(number, version, written_at)
                for number in range(len(self.instances))
            )
        )

    async def _check_instance(self, number: int, version: int, written_at: float) -> None:
        instance = self.instances[number]
        starts, shown = self._shown_by_instance.get(number, (0, 0))
        if starts == instance.starts:
            is_missing = await self.ask(number, shown) == UNKNOWN_PATH
            if is_missing and starts == instance.starts:
                detail = f"{instance.name}: version {shown}"
                self.findings.add("a version in force never goes back", detail)
        starts = instance.starts
        status = await self.ask(number, version)
        if status == UNKNOWN_PATH and self._is_settled(number, written_at):
            detail = f"{instance.name}: version {version}"
            self.findings.add("what was written after a restore is in force", detail)
        if status and status != UNKNOWN_PATH and starts == instance.starts:
            self._shown_by_instance[number] = (starts, max(version, shown))

    def _is_settled(self, number: int, written_at: float) -> bool:
        """Whether an instance, its way to the store, and at least one peer had no trouble."""
        instance = self.instances[number]
        if not instance.is_up(SETTLED_SECONDS + APPLY_SECONDS):
            return False
        since = written_at - SETTLED_SECONDS
        names = (instance.name, f"store of {number}")
        return not any(self.troubles.any(name, since, time.time()) for name in names)
