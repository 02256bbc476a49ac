"""Measures what membership and configuration cost as instances grow, with light instances.

Each light instance has its own peer server, heartbeats and configuration store over real gRPC on
loopback; all share this process, so that processor time divided by their number is the cost of
one. Bytes are those of the loopback interface, headers of TCP and IP included.
"""

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any

import msgspec

from pondpin.controllers.configuration import ConfigurationStore
from pondpin.controllers.peers import (
    GrpcPeerClient,
    HeartbeatController,
    HeartbeatSettings,
    InstanceStatus,
    PeerRegistry,
)
from pondpin.decisions import DecisionLog
from pondpin.identity import Identity
from pondpin.metrics import Metrics
from pondpin.network import parse_endpoint
from pondpin.peer_server import PeerListener, PeerServer
from pondpin.runtime import ParsedCommand, run, run_command, set_up_logs, steady_now
from pondpin.standins.local_fleet import HOST, free_port, key_hash
from pondpin.usage_shares import ACCOUNTS_TOLD
from pondpin.wire.peer_pb2 import AccountUsage, ForwardReply, ForwardRequest

# More than these fill the one core of this process.
COUNTS = (8, 20, 60)
SECONDS = 10.0
SETTLE_SECONDS = 3.0
FORCE_LIMIT_SECONDS = 30.0
WITH_PLATFORM_PART = 0.5


class PeersResult(msgspec.Struct, frozen=True, kw_only=True):
    """What was measured at a number of instances; all but the times are for one instance."""

    instances: int
    fan_out: int
    bytes_per_second: float
    cpu_share: float
    one_reader_seconds: float
    half_readers_seconds: float


class LightInstance:
    """Membership and configuration of an entry instance, without its data path."""

    def __init__(self, number: int, address: str, known: tuple[str, ...], fan_out: int) -> None:
        name = f"entry-{number}"
        metrics = Metrics(name, "dc")
        self.identity = Identity(name, time.time_ns(), f"dc-{number % 6}")
        self.store = ConfigurationStore(metrics, lambda _: self.beats.run_extra_round())
        self.address = address
        self.book = PeerRegistry(
            self.identity,
            address,
            self._report,
            lambda heard: self.beats.on_heartbeat(heard),
            steady_now,
            HeartbeatSettings(1.0, fan_out, 4),
        )
        self.peers = GrpcPeerClient(metrics, lambda: None)
        self.beats = HeartbeatController(
            registry=self.book,
            peers=self.peers,
            seed_addresses=known,
            period=1.0,
            fan_out=fan_out,
            rng=random.Random(number),
            seen_revision=lambda: self.store.seen_revision,
            apply_configuration=lambda revision, document: self.store.apply(
                revision, document, "peer"
            ),
            metrics=metrics,
        )
        served = PeerServer(self.book, self.store, DecisionLog(10), _no_forward)
        self.server = PeerListener(served)

    def _report(self) -> InstanceStatus:
        usage = tuple(
            AccountUsage(account=f"account-{number:03}", requests=number * 37)
            for number in range(ACCOUNTS_TOLD)
        )
        return InstanceStatus(self.store.revision, True, False, (), usage)

    async def start(self) -> None:
        """Listen and begin heartbeats."""
        endpoint = parse_endpoint(self.address)
        await self.server.start(endpoint.host, endpoint.port)
        self.beats.start()

    async def stop(self) -> None:
        """Stop all."""
        await self.beats.stop()
        self.server.cut()
        self.peers.close()


async def _no_forward(request: ForwardRequest) -> ForwardReply:
    raise AssertionError("light instances forward nothing")


def make_document(accounts: int = 770, upstreams: int = 930) -> bytes:
    """A configuration of the target's size."""
    document = {
        "models": {f"model-{number}": {} for number in range(7)},
        "accounts": {
            f"account-{number:03}": {"keys_sha256": [key_hash(str(number))]}
            for number in range(accounts)
        },
        "upstreams": {
            f"engine-{number:03}": {
                "kind": "engine",
                "address": f"127.{number // 250}.{number % 250}.1:9100",
                "data_center": f"dc-{number % 6}",
                "model": f"model-{number % 7}",
            }
            for number in range(upstreams)
        },
        "rules": [{"name": "all", "match": "", "upstreams": ""}],
    }
    return json.dumps(document).encode()


def loopback_bytes() -> int:
    """Bytes sent over the loopback interface so far."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[8])
    raise RuntimeError("no loopback interface")


async def measure(count: int, fan_out: int) -> PeersResult:
    """Start a number of light instances and measure them."""
    addresses = [f"{HOST}:{free_port()}" for _ in range(count)]
    instances = [
        LightInstance(number, address, tuple(addresses), fan_out)
        for number, address in enumerate(addresses)
    ]
    for instance in instances:
        await instance.start()
    await asyncio.sleep(SETTLE_SECONDS)
    cpu, sent, started = time.process_time(), loopback_bytes(), steady_now()
    await asyncio.sleep(SECONDS)
    elapsed = steady_now() - started
    cpu_share = (time.process_time() - cpu) / elapsed / count
    per_second = (loopback_bytes() - sent) / elapsed / count
    document = make_document(accounts=20, upstreams=20)
    one = await time_to_force(instances, document, 1, instances[:1])
    half = await time_to_force(
        instances, document, 2, instances[: max(1, int(count * WITH_PLATFORM_PART))]
    )
    for instance in instances:
        await instance.stop()
    return PeersResult(
        instances=count,
        fan_out=fan_out,
        bytes_per_second=per_second,
        cpu_share=cpu_share,
        one_reader_seconds=one,
        half_readers_seconds=half,
    )


async def time_to_force(
    instances: list[LightInstance], document: bytes, revision: int, readers: list[LightInstance]
) -> float:
    """Seconds until a revision that some read from the platform is in force on all."""
    started = steady_now()
    for reader in readers:
        reader.store.apply(revision, document, "platform")
    while any(instance.store.revision < revision for instance in instances):
        if steady_now() - started > FORCE_LIMIT_SECONDS:
            return float("inf")
        await asyncio.sleep(0.05)
    return steady_now() - started


def peers(fan_out: int = 2) -> ParsedCommand:
    """Measure at 8, 20 and 60 instances; prints JSON lines."""

    async def work(reactor: Any) -> int:
        for count in COUNTS:
            result = await measure(count, fan_out)
            print(msgspec.json.encode(result).decode(), flush=True)
        return 0

    def start() -> int:
        set_up_logs("error")
        return run(work)

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(peers, "measure_peers")
