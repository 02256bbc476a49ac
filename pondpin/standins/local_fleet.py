"""A whole deployment in one process on loopback addresses, for the demo, tests and experiments."""

import hashlib
import itertools
import os
import socket
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from pondpin.entry import Entry
from pondpin.network import Endpoint
from pondpin.platform_protocol import ListedInstance
from pondpin.settings import Listener, Peers, Settings, Timing, Tls
from pondpin.settings import Platform as PlatformSettings
from pondpin.standins.engine import Engine, EngineOptions
from pondpin.standins.engine_model import EngineShape
from pondpin.standins.platform import Platform
from pondpin.standins.service import Service

HOST = "127.0.0.1"
SHARED_KEY = "a key for stand-ins and demonstrations only"


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """A stand-in engine of a deployment."""

    name: str
    data_center: str
    model: str
    labels: dict[str, str] = field(default_factory=dict)
    role: str = "mixed"
    shape: EngineShape = field(default_factory=EngineShape)
    checks_fences: bool = True
    report_lag: float = 0.2
    cache_loss: float = 0.0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ServiceSpec:
    """A stand-in service of a deployment."""

    name: str
    data_center: str
    service: str
    checks_tokens: bool = False


@dataclass(frozen=True, kw_only=True)
class EntrySpec:
    """An entry instance of a deployment."""

    name: str
    data_center: str


@dataclass(frozen=True, kw_only=True)
class FleetSpec:
    """A deployment. document holds all of the configuration but its upstreams.

    tls is used towards callers and between instances.
    """

    entries: tuple[EntrySpec, ...]
    engines: tuple[EngineSpec, ...]
    services: tuple[ServiceSpec, ...]
    document: dict[str, Any]
    timing: Timing = field(default_factory=lambda: Timing())
    heartbeat_seconds: float = 0.5
    tls: Tls | None = None


# Below the range that the system takes ports for outgoing connections from, so that none of
# those can take a port between its choice and its use; each process begins elsewhere.
FIRST_PORT, PORTS = 10_000, 20_000
_PORT_NUMBERS = itertools.count(os.getpid() * 131)


def free_port(host: str = HOST) -> int:
    """A TCP port that is free now and that this process did not give before."""
    for number in _PORT_NUMBERS:
        port = FIRST_PORT + number % PORTS
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise AssertionError("the count has no end")


def key_hash(key: str) -> str:
    """An API key as the configuration keeps it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class RunningEntry:
    """An entry instance with its settings and the endpoints it serves."""

    instance: Entry
    settings: Settings
    callers: Endpoint

    @property
    def operators(self) -> str:
        """The operators' address."""
        return self.settings.operators.address


class LocalFleet:
    """Starts, breaks and stops a deployment."""

    def __init__(self, reactor: Any, spec: FleetSpec) -> None:
        self.reactor = reactor
        self.spec = spec
        self.platform = Platform(reactor)
        self.platform_address = ""
        self.engines_by_name: dict[str, Engine] = {}
        self.services_by_name: dict[str, Service] = {}
        self.entries_by_name: dict[str, RunningEntry] = {}
        self.addresses_by_name: dict[str, str] = {}
        self.peer_addresses = {entry.name: f"{HOST}:{free_port()}" for entry in self.spec.entries}

    async def start(self) -> None:
        """Start the stand-ins, publish the configuration, start the entry instances."""
        await self.start_standins()
        for entry in self.spec.entries:
            await self.start_entry(entry)

    async def start_standins(self) -> None:
        """Start the platform, engines and services, and publish."""
        any_port = Endpoint(HOST, 0)
        self.platform_address = str(await self.platform.start(any_port))
        for spec in self.spec.engines:
            options = EngineOptions(
                model=spec.model,
                role=spec.role,
                checks_fences=spec.checks_fences,
                report_lag=spec.report_lag,
                cache_loss=spec.cache_loss,
                adapters=spec.adapters,
                shape=spec.shape,
            )
            engine = Engine(self.reactor, options)
            self.addresses_by_name[spec.name] = str(await engine.start(any_port))
            self.engines_by_name[spec.name] = engine
        for service_spec in self.spec.services:
            service = Service(self.reactor, service_spec.service, service_spec.checks_tokens)
            self.addresses_by_name[service_spec.name] = str(await service.start(any_port))
            self.services_by_name[service_spec.name] = service
        self.list_instances()
        self.platform.listed = self.platform.instances
        await self.publish(self.spec.document)

    def list_instances(self) -> None:
        """Show all entry instances and upstreams as live."""
        entries = [
            ListedInstance(
                item.name, "entry", self.peer_addresses[item.name], item.data_center, "live"
            )
            for item in self.spec.entries
        ]
        described = self.describe_upstreams()
        upstreams = [
            ListedInstance(name, "upstream", item["address"], item["data_center"], "live")
            for name, item in described.items()
        ]
        self.platform.set_instances((*entries, *upstreams))

    async def publish(self, document: dict[str, Any]) -> int:
        """Publish a configuration, with the upstreams filled in; returns its revision."""
        self.spec = replace(self.spec, document=document)
        whole = document | {"upstreams": self.describe_upstreams()}
        return await self.platform.publish(msgspec.json.encode(whole))

    def describe_upstreams(self) -> dict[str, Any]:
        """The upstreams' part of the configuration."""
        described: dict[str, Any] = {}
        for spec in self.spec.engines:
            described[spec.name] = {
                "kind": "engine",
                "address": self.addresses_by_name[spec.name],
                "data_center": spec.data_center,
                "model": spec.model,
                "role": spec.role,
                "labels": spec.labels,
                "checks_fences": spec.checks_fences,
            }
        for service in self.spec.services:
            described[service.name] = {
                "kind": "service",
                "address": self.addresses_by_name[service.name],
                "data_center": service.data_center,
                "service": service.service,
                "checks_tokens": service.checks_tokens,
            }
        return described

    async def start_entry(self, spec: EntrySpec) -> RunningEntry:
        """Start an entry instance; an earlier one of the name keeps its addresses."""
        known = self.entries_by_name.get(spec.name)
        settings = known.settings if known is not None else self._make_settings(spec)
        instance = Entry(self.reactor, settings)
        callers = await instance.start()
        running = RunningEntry(instance, settings, callers)
        self.entries_by_name[spec.name] = running
        return running

    def _make_settings(self, spec: EntrySpec) -> Settings:
        others = [address for name, address in self.peer_addresses.items() if name != spec.name]
        return Settings(
            instance=spec.name,
            data_center=spec.data_center,
            shared_key=SHARED_KEY,
            callers=Listener(address=f"{HOST}:{free_port()}", tls=self.spec.tls),
            operators=Listener(address=f"{HOST}:{free_port()}", tls=self.spec.tls),
            platform=PlatformSettings(address=self.platform_address, retry_seconds=0.2),
            peers=Peers(
                listen=Listener(address=self.peer_addresses[spec.name], tls=self.spec.tls),
                known=tuple(others),
                heartbeat_seconds=self.spec.heartbeat_seconds,
            ),
            timing=self.spec.timing,
        )

    def cut_center(self, center: str) -> None:
        """Cut a data centre's instances off from the peers and upstreams of all others."""
        upstreams: dict[str, set[str]] = {}
        for described in self.describe_upstreams().values():
            upstreams.setdefault(described["data_center"], set()).add(described["address"])
        for spec in self.spec.entries:
            others = {
                self.peer_addresses[other.name]
                for other in self.spec.entries
                if (other.data_center == center) != (spec.data_center == center)
            }
            instance = self.entries_by_name[spec.name].instance
            instance.peers.blocked_addresses = others
            for where, addresses in upstreams.items():
                if (where == center) != (spec.data_center == center):
                    instance.http.blocked_endpoints |= addresses

    def cut_platform(self, center: str) -> None:
        """Cut a data centre's instances off from the platform."""
        for spec in self.spec.entries:
            if spec.data_center == center:
                blocked = self.entries_by_name[spec.name].instance.http.blocked_endpoints
                blocked.add(self.platform_address)

    def join_centers(self) -> None:
        """End all cuts."""
        for running in self.entries_by_name.values():
            running.instance.peers.blocked_addresses = set()
            running.instance.http.blocked_endpoints.clear()

    async def kill_entry(self, name: str) -> None:
        """End an entry instance at once, as a killed process does."""
        running = self.entries_by_name[name]
        await running.instance.crash()

    async def stop(self) -> None:
        """Stop everything."""
        for running in self.entries_by_name.values():
            await running.instance.stop()
        for engine in self.engines_by_name.values():
            await engine.stop()
        for service in self.services_by_name.values():
            await service.stop()
        await self.platform.stop()
