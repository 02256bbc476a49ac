"""Prints what restores of the source from an older copy cost callers: real instances on loopback.

The operator writes a version with a new route again and again and the workers their entries; the
store is away for a moment and comes back from a copy. Counts the answers on routes that were
confirmed two seconds ago or more, and the share of due requests that were served.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from pondpin.http_streams import CallFailedError
from pondpin.runtime import ParsedCommand, run, run_command
from pondpin.standins.local_platform import (
    HOST,
    KEY,
    PLAIN,
    TENANT,
    LocalPlatform,
    sample_configuration,
    sample_route,
)
from pondpin.standins.published_store import StoreFault
from pondpin.standins.store_state import CONFIGURATION_KEY, StoreCopy

WRITE_SECONDS = 0.7
ENTRY_SECONDS = 0.5
COPY_SECONDS = 0.1
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 3.5
REWRITE_SECONDS = 0.6
CONFIRMED_SECONDS = 2.0
WARM_SECONDS = 5.0
PLAY_SECONDS = 10.0
GAP_SECONDS = 0.03
UNKNOWN_PATH = 404
OTHER_KEY = "revoked-key"


@dataclass
class Count:
    """Answers on confirmed routes, and what was served of all that was due."""

    confirmed: int = 0
    missing: int = 0
    due: int = 0
    served: int = 0
    revoked_runs: int = 0


@dataclass
class RestorePlay:
    """One play; drills: the moments of restores after the warm-up, in seconds."""

    platform: LocalPlatform
    drills: tuple[float, ...]
    revokes: bool
    rng: random.Random
    count: Count = field(default_factory=Count)
    version: int = 1
    confirmed_at: dict[int, float] = field(default_factory=dict)
    revoked_at: float | None = None

    def __post_init__(self) -> None:
        """Set up what the store is restored from."""
        self._copies: list[tuple[float, StoreCopy]] = []
        self._is_away = False
        self._sequence = 0
        self._asked = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """The clock of the event loop."""
        return asyncio.get_running_loop().time()

    def write(self) -> None:
        """The operator writes the next version, which has a route of each version."""
        self.version += 1
        keys = [KEY] if self.revoked_at is not None else [KEY, OTHER_KEY]
        document = sample_configuration(
            self.version, tenants=[{"name": TENANT, "apiKeys": keys, "priority": 1}]
        )
        document["routes"] += [
            sample_route(f"v{version}", "safe", PLAIN) for version in range(2, self.version + 1)
        ]
        self.platform.store.put(CONFIGURATION_KEY, document)
        self.confirmed_at[self.version] = self.now

    async def play(self) -> Count:
        """Warm up, play, and count."""
        platform = self.platform
        began = self.now + WARM_SECONDS
        end = began + PLAY_SECONDS
        await asyncio.gather(
            self._again(end, WRITE_SECONDS, self.write),
            self._again(end, ENTRY_SECONDS, self._write_entries),
            self._again(end, COPY_SECONDS, self._copy),
            *(self._restore(began + at) for at in self.drills),
            self._load(began, end),
        )
        await asyncio.gather(*self._tasks)
        await platform.stop()
        return self.count

    async def _again(self, end: float, pause: float, act: Any) -> None:
        while self.now < end:
            await asyncio.sleep(pause)
            if not self._is_away:
                act()

    def _write_entries(self) -> None:
        self._sequence += 1
        for name, worker in sorted(self.platform.workers_by_id.items()):
            place = worker.server.port.getHost()
            self.platform.list_worker(
                name, PLAIN, f"{place.host}:{place.port}", "north", sequence=self._sequence
            )

    def _copy(self) -> None:
        self._copies.append((self.now, self.platform.store.copy()))

    async def _restore(self, at: float) -> None:
        await asyncio.sleep(at - self.now)
        store, wanted = self.platform.store, self.now - COPY_AGE_SECONDS
        if self.revokes:
            self.revoked_at = self.now
            self.write()
            await asyncio.sleep(WRITE_SECONDS)
        self._is_away = True
        store.fail(StoreFault.RESET)
        await asyncio.sleep(AWAY_SECONDS)
        _, copy = min(self._copies, key=lambda item: abs(item[0] - wanted))
        store.restore(copy)
        store.fail(StoreFault.NONE)
        await asyncio.sleep(REWRITE_SECONDS)
        self._is_away = False
        self.write()

    async def _load(self, began: float, end: float) -> None:
        while self.now < end:
            await asyncio.sleep(GAP_SECONDS)
            if self.now >= began:
                task = asyncio.create_task(self._ask())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _ask(self) -> None:
        now, self._asked = self.now, self._asked + 1
        old = [
            version for version, at in self.confirmed_at.items() if now - at >= CONFIRMED_SECONDS
        ]
        version = self.rng.choice(old[-4:])
        uses_revoked = self.revokes and self._asked % 5 == 0
        status = await self._call(version, OTHER_KEY if uses_revoked else KEY)
        if uses_revoked:
            ended = self.revoked_at is not None and now - self.revoked_at >= CONFIRMED_SECONDS
            self.count.revoked_runs += ended and status == 200
            return
        self.count.due += 1
        self.count.confirmed += 1
        self.count.missing += status == UNKNOWN_PATH
        self.count.served += status == 200

    async def _call(self, version: int, key: str) -> int:
        instance = self.rng.randrange(len(self.platform.callers))
        headers = {
            "host": HOST,
            "x-attempt-id": f"relay-{instance}.{self._asked}",
            "x-deadline-ms": "3000",
            "authorization": f"Bearer {key}",
        }
        url = f"http://{self.platform.callers[instance]}/v{version}/x"
        try:
            return (await self.platform.http.call("GET", url, headers, timeout=4.0)).status
        except CallFailedError:
            return 0


CASES: tuple[tuple[str, int, tuple[float, ...], bool], ...] = (
    ("no restore, 3 instances", 3, (), False),
    ("a restore, 3 instances", 3, (2.0,), False),
    ("a restore, 8 instances", 8, (2.0,), False),
    ("a restore and a key revoked in what was lost", 3, (2.0,), True),
    ("three restores within 4 s", 3, (1.0, 3.0, 5.0), False),
)


def measure(seed: int = 1) -> ParsedCommand:
    """Print a line for each case."""

    async def work(reactor: Any) -> int:
        print(
            "case                                          404 of confirmed  served  revoked runs"
        )
        for name, instances, drills, revokes in CASES:
            platform = LocalPlatform(reactor, engines=0, plain=4, instances=instances)
            await platform.start()
            play = RestorePlay(platform, drills, revokes, random.Random(seed))
            count = await play.play()
            print(
                f"{name:45} {count.missing:5} of {count.confirmed:5}"
                f"  {count.served / count.due:.3f}  {count.revoked_runs:12}",
                flush=True,
            )
        return 0

    return ParsedCommand(lambda: run(work))


if __name__ == "__main__":
    run_command(measure, "measure_restores")
