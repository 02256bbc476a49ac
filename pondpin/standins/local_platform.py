"""The users' platform on loopback addresses in one process: store, workers, relaying instances."""

import asyncio
import os
from dataclasses import dataclass, field
from typing import Any

from pondpin.http_client import HttpClient
from pondpin.network import Endpoint
from pondpin.relay.entry import RelayEntry
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay_settings import RelayLimits, RelayPeers, RelaySettings
from pondpin.standins.partitions import Cut, PartitionableReactor
from pondpin.standins.published_store import PublishedStore
from pondpin.standins.store_state import (
    CONFIGURATION_KEY,
    EVACUATIONS_PREFIX,
    UPSTREAMS_PREFIX,
)
from pondpin.standins.worker import Worker

ENGINES = "engines"
PLAIN = "plain"
HOST = "relay.example"
KEY = "caller-key"
TENANT = "riders"
IDENTITY_KEY = "known to all instances"
CENTERS = ("north", "south", "east")
# Fixed ports below the ephemeral range; each instance has an address of its own.
DOCUMENT_PORT = 8229
DATAGRAM_PORT = 7340

ENGINE_FIGURES = {
    "slots": 8,
    "kvCapacityTokens": 450000,
    "step_ms": 0.925,
    "stride": 46,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "hop_ms": 0.1,
}


def sample_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """A route as the operator writes it, under a path of its name."""
    route: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 10000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    return route | changes


def instance_host(number: int) -> str:
    """The loopback address of an instance: processes side by side use the same ports."""
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{1 + process % 250}.{number + 1}"


def sample_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """A configuration as the operator writes it."""
    document: dict[str, Any] = {
        "version": version,
        "routes": [
            sample_route("stream", "streaming", ENGINES, streamResume=True, gap_aim_ms=200),
            sample_route(
                "long",
                "streaming",
                ENGINES,
                streamResume=True,
                gap_aim_ms=1000,
                targetLatencyMs=5000,
                timeoutMs=20000,
            ),
            sample_route("once", "unsafe", PLAIN, maxAttempts=1),
            sample_route("again", "safe", PLAIN),
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConns": 64, "engine": ENGINE_FIGURES},
            {"name": PLAIN, "healthPath": "/healthz", "maxConns": 64},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
    return document | changes


def cold_services(seconds: float, rate: float) -> list[dict[str, Any]]:
    """The services of the configuration, whose workers are cold for some seconds after a start."""
    return [
        item | {"coldStartS": seconds, "coldPerS": rate}
        for item in sample_configuration()["services"]
    ]


def sample_entry(service: str, address: str, /, **changes: Any) -> dict[str, Any]:
    """A worker's entry as it writes it."""
    entry: dict[str, Any] = {
        "service": service,
        "address": address,
        "zone": CENTERS[0],
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "stage": "bidirectional",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 0,
    }
    return entry | changes


@dataclass
class LocalPlatform:
    """A store, workers and instances; use start and stop."""

    reactor: Any
    engines: int = 2
    plain: int = 2
    instances: int = 1
    limits: RelayLimits = field(default_factory=lambda: RelayLimits())
    without: tuple[Mechanism, ...] = ()
    workers_by_id: dict[str, Worker] = field(default_factory=dict)
    place_by_id: dict[str, Endpoint] = field(default_factory=dict)
    entries: list[RelayEntry] = field(default_factory=list)
    callers: list[Endpoint] = field(default_factory=list)
    # The reactor of each instance, which can cut it from the workers.
    links: list[PartitionableReactor] = field(default_factory=list)

    async def start(self) -> None:
        """Start all and wait until every instance is ready."""
        await self.start_store()
        for number in range(self.engines):
            self.add_worker(f"engine-{number}", ENGINES, number)
        for number in range(self.plain):
            self.add_worker(f"plain-{number}", PLAIN, number)
        await self.start_instances()

    async def start_store(self) -> None:
        """Start the store, with a configuration and no workers."""
        self.http = HttpClient(self.reactor, 1.0)
        self.store = PublishedStore(reactor=self.reactor)
        self.source = self.store.listen(Endpoint("127.0.0.1", 0))
        self.store.put(CONFIGURATION_KEY, sample_configuration())

    async def start_instances(self) -> None:
        """Start the instances and wait until each is ready."""
        for number in range(self.instances):
            await self.add_instance(number)
        await self.until(lambda: all(entry.ready for entry in self.entries))

    async def stop(self) -> None:
        """Stop all."""
        for entry in self.entries:
            await entry.stop()
        for worker in self.workers_by_id.values():
            await worker.server.close()
            worker.server.abort_connections()
        await self.store.server.close()
        self.store.server.abort_connections()
        await self.http.close()

    def add_worker(
        self,
        name: str,
        service: str,
        number: int = 0,
        born: int | None = None,
        port: int = 0,
        cold_seconds: float = 0.0,
    ) -> Worker:
        """Start a worker and list it; with born it is one that may start again under its id."""
        worker = Worker(self.reactor, name, born=born)
        if cold_seconds:
            worker.turn_cold(cold_seconds)
        self.workers_by_id[name] = worker
        place = self.place_by_id[name] = worker.listen(Endpoint("127.0.0.1", port))
        self.list_worker(name, service, str(place), CENTERS[number % len(CENTERS)])
        return worker

    def list_worker(
        self,
        name: str,
        service: str,
        address: str,
        center: str,
        state: str = "ready",
        sequence: int = 0,
    ) -> None:
        """Write a worker's entry."""
        changes: dict[str, Any] = {"zone": center, "state": state, "sequence": sequence}
        worker = self.workers_by_id.get(name)
        if worker is not None:
            changes["coldRemainingMs"] = worker.cold_remaining_ms
            if worker.slots:
                changes["slots"] = worker.slots
            if worker.born is not None:
                changes["born"] = worker.born
        self.store.put(f"{UPSTREAMS_PREFIX}{name}", sample_entry(service, address, **changes))

    async def add_instance(self, number: int) -> RelayEntry:
        """Start a relaying instance."""
        self.links.append(PartitionableReactor(self.reactor, self._is_worker))
        entry, place = await self._start_instance(number)
        self.entries.append(entry)
        self.callers.append(place)
        return entry

    def cut_from_workers(self, number: int, cut: Cut) -> None:
        """Cut an instance from all workers, or end its cut."""
        self.links[number].set_cut(cut)

    def _is_worker(self, host: str, port: int) -> bool:
        return Endpoint(host, port) in self.place_by_id.values()

    async def restart_instance(self, number: int) -> None:
        """Start an instance that was stopped anew."""
        self.entries[number], self.callers[number] = await self._start_instance(number)

    async def _start_instance(self, number: int) -> tuple[RelayEntry, Endpoint]:
        host = instance_host(number)
        settings = RelaySettings(
            instance=f"relay-{number}",
            data_center=CENTERS[number % len(CENTERS)],
            callers=f"{host}:0",
            ready=f"{host}:0",
            source=str(self.source),
            peers=RelayPeers(
                documents=f"{host}:{DOCUMENT_PORT}",
                known=(f"{instance_host(0)}:{DOCUMENT_PORT}",),
                ports=(DATAGRAM_PORT, DATAGRAM_PORT + 15),
            ),
            limits=self.limits,
            identity_key=IDENTITY_KEY,
            without=self.without,
        )
        sink = os.open(os.devnull, os.O_WRONLY)
        entry = RelayEntry(self.links[number], settings, sink)
        return entry, await entry.start()

    async def until(self, condition: Any, seconds: float = 20.0) -> None:
        """Wait until a condition holds; fails after some seconds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def evacuate(self, center: str) -> int:
        """Order to evacuate a data centre; returns the order's revision."""
        return self.store.put(f"{EVACUATIONS_PREFIX}{center}", {"reason": "maintenance"})

    def take_back(self, center: str) -> None:
        """Delete the order to evacuate a data centre."""
        self.store.delete(f"{EVACUATIONS_PREFIX}{center}")

    def publish(self, version: int, **changes: Any) -> int:
        """Publish a configuration; returns its revision."""
        return self.store.put(CONFIGURATION_KEY, sample_configuration(version, **changes))
