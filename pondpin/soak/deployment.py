"""The programs that a soak plays with."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.soak.evacuations import EVACUATION_MS
from pondpin.soak.processes import Managed
from pondpin.soak.promises import Findings
from pondpin.soak.proxy import Proxy
from pondpin.soak.standin import Audit, End, Put, Steer
from pondpin.standins.local_platform import (
    CENTERS,
    ENGINES,
    PLAIN,
    sample_configuration,
    sample_entry,
    sample_route,
)
from pondpin.standins.store_state import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    UPSTREAMS_PREFIX,
)
from pondpin.standins.worker_ends import WorkerEnd

EVENTS = 8
EVENT_MS = 20
KEY_MS = 2000
READY_SECONDS = 30.0
# A program loads and hears its peers in this time, also beside other work.
STARTING_SECONDS = 2.0
# A stand-in that has to start is tried so often, a tenth of a second apart.
STARTING_TRIES = 300
# Callers use a connection again that rested for four fifths of the published idle limit; the
# soak's configuration leaves that at its default of 15 s. An instance may close it after that.
CALLER_REST_SECONDS = 12.0
STORE_PORT = 7100
PROXY_PORT = 7200
CALLER_PORT = 7300
READY_PORT = 7301
DOCUMENT_PORT = 7302
DATAGRAM_PORT = 7303
CONTROL_PORT = 7304


def version_route(version: int) -> str:
    """The name of the route that a version adds."""
    return f"version-{version}"


@dataclass(frozen=True, slots=True)
class Size:
    """How large a soak is."""

    instances: int = 3
    engines: int = 4
    plain: int = 3


@dataclass(frozen=True, slots=True)
class Place:
    """The loopback addresses of a soak; several places can be used at the same time."""

    number: int = 0

    @property
    def standins(self) -> str:
        """Where the store, the workers and their proxies are."""
        return f"127.0.{self.number + 2}.250"

    def instance(self, number: int) -> str:
        """Where an instance is."""
        return f"127.0.{self.number + 2}.{number + 1}"


class Deployment:
    """Store, workers, proxies and instances as processes on loopback addresses."""

    def __init__(
        self, reactor: Any, size: Size, place: Place, folder: Path, seeds: int = 1
    ) -> None:
        """seeds: instances that the settings name to every other one."""
        self._seeds = seeds
        self.size = size
        self.place = place
        self.folder = folder
        self.http = HttpClient(reactor, 1.0, idle_seconds=CALLER_REST_SECONDS)
        self.findings = Findings()
        self.version = 1
        self._sequence = 0
        # The start of their life, of workers that say it.
        self.born_by_worker: dict[str, int] = {}
        self.keys = ["key-1"]
        self.deadly_bodies: tuple[str, ...] = ()
        self.deadly_segments: tuple[str, ...] = ()
        self._relisting: set[asyncio.Task[None]] = set()
        self.store = self._program(
            "store", "pondpin.soak.standin", "store", f"{place.standins}:{STORE_PORT}"
        )
        names = [f"engine-{i}" for i in range(size.engines)] + [
            f"plain-{i}" for i in range(size.plain)
        ]
        self.port_by_worker = {name: STORE_PORT + 1 + i for i, name in enumerate(names)}
        self.workers = {
            name: self._program(
                name,
                "pondpin.soak.standin",
                "worker",
                f"{place.standins}:{port}",
                name,
                str(EVENTS),
                str(EVENT_MS),
            )
            for name, port in self.port_by_worker.items()
        }
        self.worker_links = {
            name: Proxy(place.standins, PROXY_PORT + i, place.standins, port)
            for i, (name, port) in enumerate(self.port_by_worker.items())
        }
        self.store_links = [
            Proxy(self.place.instance(i), STORE_PORT, place.standins, STORE_PORT)
            for i in range(size.instances)
        ]
        self.instances = [self._instance(i) for i in range(size.instances)]

    def _program(self, name: str, module: str, *arguments: str) -> Managed:
        return Managed(name, ["-m", module, *arguments], self.folder / f"{name}.log")

    def _instance(self, number: int) -> Managed:
        host = self.place.instance(number)
        settings = {
            "instance": f"relay-{number}",
            "data_center": CENTERS[number % len(CENTERS)],
            "callers": f"{host}:{CALLER_PORT}",
            "ready": f"{host}:{READY_PORT}",
            "source": f"{host}:{STORE_PORT}",
            "peers": {
                "documents": f"{host}:{DOCUMENT_PORT}",
                "known": [
                    f"{self.place.instance(seed)}:{DOCUMENT_PORT}" for seed in range(self._seeds)
                ],
                "ports": [DATAGRAM_PORT, DATAGRAM_PORT],
            },
            "identity_key": "soak",
            "limits": {
                "key_ms": KEY_MS,
                "evacuation_ms": EVACUATION_MS,
                "grace_seconds": 4.0,
                "retry_allowance": 1000,
            },
        }
        path = self.folder / f"relay-{number}.json"
        path.write_text(json.dumps(settings))
        return self._program(
            f"relay-{number}",
            "pondpin.soak.instance",
            f"--settings={path}",
            f"--control={host}:{CONTROL_PORT}",
            f"--workers={self.place.standins}",
        )

    async def start(self) -> None:
        """Start all and wait until every instance is ready."""
        for program in (self.store, *self.workers.values()):
            program.start()
        for link in (*self.store_links, *self.worker_links.values()):
            await link.start()
        await self.retry(self.publish)
        for name, link in self.worker_links.items():
            await self.list_worker(name)
            link.on_back = partial(self._relist_soon, name)
        for instance in self.instances:
            instance.start()
        await self.until_ready()

    async def end(self) -> None:
        """End all."""
        programs = (*self.instances, *self.workers.values(), self.store)
        await asyncio.gather(*(program.end() for program in programs))
        for link in (*self.store_links, *self.worker_links.values()):
            await link.stop()
        await self.http.close()

    async def until_ready(self) -> None:
        """Wait until every instance is ready; a finding when that takes too long."""
        waited = 0.0
        while waited < READY_SECONDS:
            answers = await asyncio.gather(*(self._is_ready(i) for i in range(len(self.instances))))
            if all(answers):
                return
            await asyncio.sleep(0.2)
            waited += 0.2
        self.findings.add("an instance serves again after trouble", f"not in {READY_SECONDS} s")

    async def _is_ready(self, number: int) -> bool:
        url = f"http://{self.place.instance(number)}:{READY_PORT}/v1/readyz"
        try:
            return (await self.http.call("GET", url, timeout=1.0)).status == 200
        except CallFailedError:
            return False

    async def retry(self, work: Callable[[], Awaitable[None]]) -> None:
        """Do something with a stand-in, again until it is up."""
        for _ in range(STARTING_TRIES):
            try:
                await work()
                return
            except CallFailedError:
                await asyncio.sleep(0.1)
        raise RuntimeError("a stand-in of the soak did not start")

    async def post(self, port: int, path: str, value: object) -> bytes:
        """Steer a stand-in."""
        url = f"http://{self.place.standins}:{port}{path}"
        answer = await self.http.call("POST", url, body=msgspec.json.encode(value), timeout=3.0)
        return answer.body

    async def make_deadly(self, bodies: tuple[str, ...], segments: tuple[str, ...]) -> None:
        """Let workers end when they run a request with one of these bodies or segments."""
        self.deadly_bodies = bodies
        self.deadly_segments = segments
        for name in self.workers:
            await self.retry(partial(self.steer, name))

    async def steer(self, name: str, faults: tuple[str, ...] = ()) -> None:
        """Give a worker faults for its next requests, or none."""
        order = Steer(faults, deadly=self.deadly_bodies, deadly_segments=self.deadly_segments)
        await self.post(self.port_by_worker[name], "/soak/steer", order)

    async def end_worker(self, name: str, how: WorkerEnd) -> None:
        """Let a worker's connections close in order; it is back after a while."""
        await self.post(self.port_by_worker[name], "/soak/end", End(how))

    def _relist_soon(self, name: str) -> None:
        task = asyncio.ensure_future(self.relist(name))
        self._relisting.add(task)
        task.add_done_callback(self._relisting.discard)

    async def relist(self, name: str) -> None:
        """A worker is back: its entry tells the start of its life."""
        try:
            body = await self.post(self.port_by_worker[name], "/soak/audit", {})
            born = msgspec.json.decode(body, type=Audit).born
            if born is not None:
                self.born_by_worker[name] = born
                await self.list_worker(name)
        except CallFailedError:
            # It ended again, and will be back.
            return

    def is_anybody_up(self) -> bool:
        """Whether an instance runs that can have heard what others knew."""
        return any(instance.is_up(STARTING_SECONDS) for instance in self.instances)

    async def publish(self) -> None:
        """Publish the present keys as a new version, which has a route of each version."""
        tenants = [{"name": "riders", "apiKeys": self.keys, "priority": 1}]
        document = sample_configuration(self.version, tenants=tenants)
        document["routes"] += [
            sample_route(version_route(version), "safe", PLAIN, public=True)
            for version in range(1, self.version + 1)
        ]
        await self.post(STORE_PORT, "/soak/put", Put(CONFIGURATION_KEY, document))

    async def list_worker(self, name: str) -> None:
        """Write a worker's entry; its proxy is where it is reached."""
        await self.write_entry(name, self.entry_of(name))

    async def write_entry(self, name: str, entry: dict[str, Any] | None) -> None:
        """Write what stands under an id, or take it away."""
        await self.post(STORE_PORT, "/soak/put", Put(f"{UPSTREAMS_PREFIX}{name}", entry))

    async def write_order(self, center: str, is_order: bool) -> None:
        """Write or delete the order to evacuate a data centre."""
        value = {"by": "soak"} if is_order else None
        await self.post(STORE_PORT, "/soak/put", Put(f"{EVACUATIONS_PREFIX}{center}", value))

    def center_of(self, name: str) -> str:
        """A worker's data centre."""
        return CENTERS[self.worker_links[name].port % len(CENTERS)]

    def entry_of(self, name: str) -> dict[str, Any]:
        """A worker's entry as it writes it."""
        port = self.worker_links[name].port
        self._sequence += 1
        changes: dict[str, Any] = {
            "zone": self.center_of(name),
            "sequence": self._sequence,
        }
        if name in self.born_by_worker:
            changes["born"] = self.born_by_worker[name]
        service = ENGINES if name.startswith("engine") else PLAIN
        return sample_entry(service, f"{self.place.standins}:{port}", **changes)
