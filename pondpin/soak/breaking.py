"""What a soak breaks: workers, links, instances, keys and the list of upstreams."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from pondpin.http_streams import CallFailedError
from pondpin.soak.deployment import STORE_PORT, Deployment, Place, Size
from pondpin.soak.notices import NoticeLoad
from pondpin.soak.processes import Managed
from pondpin.soak.proxy import Link, Proxy
from pondpin.soak.standin import Restore, Say, Steer
from pondpin.standins.worker import WorkerFault

FAULT_GAP_SECONDS = 0.8
# What is held back comes this long after its link is open again, or its instance goes on.
LINK_SLACK_SECONDS = 0.3
STOP_SECONDS = 6.0
# A copy is this much older than was asked for at most.
COPY_SLACK_SECONDS = 0.5
# A worker ends with these for no cause of the request that it runs.
ENDS = (WorkerFault.UNFRAMED_END,)
WORKER_FAULTS = tuple(
    fault.value for fault in WorkerFault if fault not in (WorkerFault.NONE, *ENDS)
)
# The list is written by others this often: restarts of workers, odd entries beside and over theirs.
LIST_GAP_SECONDS = 1.5
RESTART_SHARE = 0.5
BESIDE_SHARE = 0.5
ODD_NAME = "odd"
# Signals come in series, and stops overlap.
STOP_SIGNALS = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
)
SECOND_STOP_SHARE = 0.3
SECOND_STOP_SECONDS = 1.0
ODD_CHANGES: tuple[dict[str, Any], ...] = (
    {"state": "retired"},
    {"slots": 0},
    {"slots": 10**9},
    {"born": 1.5},
    {"sequence": "4"},
    {"service": "unheard"},
    {"address": "worker.example:80"},
)


class Breaking(Deployment):
    """A deployment that is broken by the draws of a seed."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        size: Size,
        place: Place,
        folder: Path,
        seeds: int,
        ends: bool = False,
    ) -> None:
        """seeds: instances that the settings name to every other one; ends: workers also end."""
        super().__init__(reactor, size, place, folder, seeds)
        self.rng = random.Random(seed)
        self.seed = seed
        # Draws of its own, so that a seed's other faults stay what they were.
        self._stop_rng = random.Random(f"{seed} stop")
        self.faults: list[str] = []
        self._worker_faults = WORKER_FAULTS + tuple(fault.value for fault in ENDS if ends)
        # Keys that were taken away, and when.
        self.ended_at_by_key: dict[str, float] = {}
        # The store may have lost what was written after this.
        self._copied_at = float("inf")
        self._restored_at = 0.0
        self.notices = NoticeLoad(
            seed, list(self.workers), self._say, self._restart_worker, self.list_leaving
        )

    async def break_some(self, end: float) -> None:
        """Break workers, links and instances, one after the other, until a moment."""
        kinds: tuple[Callable[[], Awaitable[str]], ...] = (
            self._fault_worker,
            self._fault_worker,
            self._link_worker,
            self._link_store,
            self._pause_instance,
            self._kill_instance,
            self._stop_instance,
            self._reload_instance,
            self._change_keys,
            self._reset_links,
        )
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.expovariate(1 / FAULT_GAP_SECONDS))
            try:
                self.faults.append(await self.rng.choice(kinds)())
            except CallFailedError as error:
                self.faults.append(f"not done: {error}")

    async def rewrite_list(self, end: float) -> None:
        """Restart workers under their ids, and write odd entries beside and over good ones.

        By draws of its own, so that a seed's other faults stay what they were.
        """
        rng = random.Random(f"{self.seed} list")
        while time.monotonic() < end:
            await asyncio.sleep(rng.expovariate(1 / LIST_GAP_SECONDS))
            name = rng.choice(list(self.workers))
            try:
                if rng.random() < RESTART_SHARE:
                    await self._restart_worker(name)
                else:
                    await self._write_odd_entry(name, rng)
            except CallFailedError as error:
                self.faults.append(f"not done: {error}")

    async def _restart_worker(self, name: str) -> None:
        born = time.time_ns() // 1_000_000
        try:
            await self.post(self.port_by_worker[name], "/soak/steer", Steer(born=born))
        except CallFailedError as error:
            # Its crash may cut the answer, too.
            if not error.sent:
                raise
        self.born_by_worker[name] = born
        await self.list_worker(name)
        self.faults.append(f"{name} starts again")

    async def _write_odd_entry(self, name: str, rng: random.Random) -> None:
        odd = {**self.entry_of(name), **rng.choice(ODD_CHANGES)}
        if rng.random() < BESIDE_SHARE:
            await self.write_entry(f"{ODD_NAME}-{len(self.faults)}", odd)
        else:
            await self.write_entry(name, odd)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            await self.list_worker(name)
        self.faults.append(f"an odd entry for {name}")

    async def _restore_store(self, age: float, away: float) -> None:
        self._copied_at = time.monotonic() - age - COPY_SLACK_SECONDS
        self._restored_at = float("inf")
        await self.post(STORE_PORT, "/soak/restore", Restore(age, away))
        self._restored_at = time.monotonic()

    async def publish_next(self) -> int:
        """Publish a version with the present keys; returns it.

        A key that was taken away after the copy was made, by a version that the store has lost,
        counts as taken away from now on: perhaps no instance has read that version.
        """
        self.version += 1
        version = self.version
        await self.publish()
        now = time.monotonic()
        self.ended_at_by_key = {
            key: now if ended_at >= self._copied_at else ended_at
            for key, ended_at in self.ended_at_by_key.items()
        }
        return version

    async def _say(self, name: str, leaves: bool, rest: str, limit: str) -> None:
        await self.post(self.port_by_worker[name], "/soak/say", Say(leaves, rest, limit))

    async def list_leaving(self, name: str) -> None:
        """Write a worker's entry as that of one that leaves."""
        await self.write_entry(name, self.entry_of(name) | {"state": "draining"})

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(seconds, action)

    async def _fault_worker(self) -> str:
        name = self.rng.choice(list(self.workers))
        faults = tuple(self.rng.choices(self._worker_faults, k=self.rng.randint(1, 5)))
        await self.steer(name, faults)
        return f"{name} {','.join(faults)}"

    async def _link_worker(self) -> str:
        name = self.rng.choice(list(self.worker_links))
        return self._set_link(name, self.worker_links[name])

    async def _link_store(self) -> str:
        number = self.rng.randrange(len(self.store_links))
        return self._set_link(f"store of {number}", self.store_links[number])

    def _set_link(self, name: str, link: Proxy) -> str:
        link.link = self.rng.choice([item for item in Link if item is not Link.OPEN])
        seconds = self.rng.uniform(0.2, 3.0)
        self._later(seconds, lambda: setattr(link, "link", Link.OPEN))
        self.notices.troubles.note(name, seconds + LINK_SLACK_SECONDS)
        return f"{name} {link.link.value}"

    async def _pause_instance(self) -> str:
        instance = self.rng.choice(self.instances)
        instance.send(signal.SIGSTOP)
        seconds = self.rng.uniform(0.2, 3.5)
        self._later(seconds, lambda: instance.send(signal.SIGCONT))
        self.notices.troubles.note(instance.name, seconds + LINK_SLACK_SECONDS)
        return f"{instance.name} paused"

    async def _kill_instance(self) -> str:
        instance = self.rng.choice(self.instances)
        instance.send(signal.SIGKILL)
        self.notices.troubles.note(instance.name)
        self._later(self.rng.uniform(0.1, 2.0), instance.start)
        return f"{instance.name} killed"

    async def _stop_instance(self) -> str:
        instance = self.rng.choice(self.instances)
        signals = self._stop_rng.choice(STOP_SIGNALS)
        self._stop(instance, signals)
        names = " ".join(number.name for number in signals)
        if self._stop_rng.random() >= SECOND_STOP_SHARE:
            return f"{instance.name} stopped by {names}"
        second = self._stop_rng.choice(self.instances)
        self._later(SECOND_STOP_SECONDS, partial(self._stop, second, (signal.SIGTERM,)))
        return f"{instance.name} stopped by {names}, then {second.name}"

    def _stop(self, instance: Managed, signals: tuple[signal.Signals, ...]) -> None:
        for number in signals:
            instance.send(number)
        self.notices.troubles.note(instance.name, STOP_SECONDS)
        self._later(STOP_SECONDS, instance.start)

    async def _reload_instance(self) -> str:
        instance = self.rng.choice(self.instances)
        instance.send(signal.SIGHUP)
        return f"{instance.name} reloads"

    async def _change_keys(self) -> str:
        self.version += 1
        old, self.keys = self.keys, [f"key-{self.version}"]
        await self.publish()
        now = time.monotonic()
        self.ended_at_by_key = {key: now for key in old}
        return f"version {self.version}"

    async def _reset_links(self) -> str:
        link = self.rng.choice([*self.worker_links.values(), *self.store_links])
        link.reset()
        for name, found in self.worker_links.items():
            if found is link:
                self.notices.troubles.note(name)
        return f"connections at port {link.port} reset"
