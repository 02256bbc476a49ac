"""Heartbeats between entry instances, and the peer calls that they serve for each other."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from absl import logging
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.errors import PeerUnreachableError
from pondpin.http_streams import CallFailedError
from pondpin.identity import Identity
from pondpin.membership import (
    Peer,
    PeerTable,
    alive_peers,
    forget_lost,
    is_alive,
    note_heartbeat,
    note_list,
    silence_allowed,
)
from pondpin.metrics import Metrics
from pondpin.network import parse_endpoint
from pondpin.platform_client import PlatformPort
from pondpin.wire.peer_grpc import PeerStub
from pondpin.wire.peer_pb2 import (
    AccountUsage,
    ExplainReply,
    ExplainRequest,
    FetchConfigurationReply,
    FetchConfigurationRequest,
    ForwardReply,
    ForwardRequest,
    HeartbeatReply,
    HeartbeatRequest,
)

PROTOCOL_VERSION = 1
PEER_EXPIRY_SECONDS = 600.0
ENTRY_KIND = "entry"
LEAVING = "leaving"
CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError, asyncio.TimeoutError)


class PeerPort(Protocol):
    """Calls to a peer by its address; they raise PeerUnreachableError."""

    async def heartbeat(
        self, address: str, request: HeartbeatRequest, timeout: float
    ) -> HeartbeatReply:
        """Exchange heartbeats with the peer."""
        ...

    async def fetch_configuration(
        self, address: str, request: FetchConfigurationRequest, timeout: float
    ) -> FetchConfigurationReply:
        """Read the peer's configuration."""
        ...

    async def forward(self, address: str, request: ForwardRequest, timeout: float) -> ForwardReply:
        """Forward a call that carries the peer's token to it."""
        ...

    async def explain(self, address: str, request: ExplainRequest, timeout: float) -> ExplainReply:
        """Read the peer's decision records."""
        ...


class GrpcPeerClient:
    """Implements PeerPort over grpclib, with one channel per peer."""

    def __init__(self, metrics: Metrics, ssl_context: Callable[[], object | None]) -> None:
        self._metrics = metrics
        self._ssl_context = ssl_context
        self._channels_by_address: dict[str, Channel] = {}
        # Addresses that experiments partition: calls to them fail as on a broken network.
        self.blocked_addresses: set[str] = set()

    def _stub(self, address: str) -> PeerStub:
        if address in self.blocked_addresses:
            raise PeerUnreachableError("partitioned")
        channel = self._channels_by_address.get(address)
        if channel is None:
            endpoint = parse_endpoint(address)
            context = self._ssl_context()
            channel = Channel(endpoint.host, endpoint.port, ssl=context)  # type: ignore[arg-type]
            self._channels_by_address[address] = channel
        return PeerStub(channel)

    def _count_bytes(self, sent: int, received: int) -> None:
        self._metrics.peer_bytes.add({"direction": "out"}, sent)
        self._metrics.peer_bytes.add({"direction": "in"}, received)

    async def heartbeat(
        self, address: str, request: HeartbeatRequest, timeout: float
    ) -> HeartbeatReply:
        """See PeerPort."""
        try:
            reply = await self._stub(address).Heartbeat(request, timeout=timeout)
        except CALL_ERRORS as error:
            raise PeerUnreachableError(type(error).__name__) from None
        self._count_bytes(request.ByteSize(), reply.ByteSize())
        return reply

    async def fetch_configuration(
        self, address: str, request: FetchConfigurationRequest, timeout: float
    ) -> FetchConfigurationReply:
        """See PeerPort."""
        try:
            reply = await self._stub(address).FetchConfiguration(request, timeout=timeout)
        except CALL_ERRORS as error:
            raise self._unreachable(address, error) from None
        self._count_bytes(request.ByteSize(), reply.ByteSize())
        return reply

    def _unreachable(self, address: str, error: BaseException) -> PeerUnreachableError:
        if isinstance(error, TimeoutError):
            self._close_channel(address)
        return PeerUnreachableError(type(error).__name__)

    async def forward(self, address: str, request: ForwardRequest, timeout: float) -> ForwardReply:
        """See PeerPort."""
        try:
            return await self._stub(address).Forward(request, timeout=timeout)
        except CALL_ERRORS as error:
            raise PeerUnreachableError(type(error).__name__) from None

    async def explain(self, address: str, request: ExplainRequest, timeout: float) -> ExplainReply:
        """See PeerPort."""
        try:
            return await self._stub(address).Explain(request, timeout=timeout)
        except CALL_ERRORS as error:
            raise PeerUnreachableError(type(error).__name__) from None

    def _close_channel(self, address: str) -> None:
        """Close a channel that may never respond again; the next call opens another."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels_by_address.values():
            channel.close()
        self._channels_by_address.clear()


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The state of this instance that heartbeats carry."""

    revision: int
    ready: bool
    draining: bool
    leaving_upstreams: tuple[str, ...]
    usage: tuple[AccountUsage, ...]
    ended_lives: bytes = b""


@dataclass(frozen=True, slots=True)
class HeartbeatSettings:
    """Period of heartbeats (s), peers per round, and the minimum of silent rounds before a loss."""

    period: float
    fan_out: int
    min_silent_rounds: int


class PeerRegistry:
    """The peer table; builds and applies heartbeats."""

    def __init__(
        self,
        identity: Identity,
        address: str,
        status: Callable[[], InstanceStatus],
        on_heartbeat: Callable[[HeartbeatRequest], None],
        clock: Clock,
        settings: HeartbeatSettings,
    ) -> None:
        self.identity = identity
        self._address = address
        self._status = status
        self._on_heartbeat = on_heartbeat
        self._clock = clock
        self._settings = settings
        self.table: PeerTable = {}

    @property
    def lost_after_seconds(self) -> float:
        """Seconds without a heartbeat after which a peer counts as lost."""
        settings = self._settings
        return silence_allowed(
            len(self.table), settings.fan_out, settings.period, settings.min_silent_rounds
        )

    def build_heartbeat(self) -> HeartbeatRequest:
        """Build a heartbeat of this instance."""
        status = self._status()
        return HeartbeatRequest(
            protocol_version=PROTOCOL_VERSION,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            data_center=self.identity.data_center,
            revision=status.revision,
            ready=status.ready,
            draining=status.draining,
            leaving_upstreams=status.leaving_upstreams,
            usage=status.usage,
            address=self._address,
            ended_lives=status.ended_lives,
        )

    def apply_heartbeat(self, heartbeat: HeartbeatRequest) -> None:
        """Apply a peer's heartbeat to the table."""
        if heartbeat.instance == self.identity.instance:
            return
        now = self._clock()
        known = self.table.get(heartbeat.instance)
        was_alive = known is not None and is_alive(known, now, self.lost_after_seconds)
        peer = Peer(
            name=heartbeat.instance,
            address=heartbeat.address,
            data_center=heartbeat.data_center,
            incarnation=heartbeat.incarnation,
            revision=heartbeat.revision,
            ready=heartbeat.ready,
            draining=heartbeat.draining,
            heard_at=now,
        )
        self.table = note_heartbeat(self.table, peer)
        if not was_alive:
            logging.info(
                "peer %s is alive, incarnation %d", heartbeat.instance, heartbeat.incarnation
            )
        self._on_heartbeat(heartbeat)

    def apply_list(self, listed: Iterable[Peer]) -> None:
        """Apply the platform's list of instances."""
        others = (peer for peer in listed if peer.name != self.identity.instance)
        self.table = note_list(self.table, others)

    def newest_incarnation(self, instance: str) -> int:
        """The newest known incarnation of an instance; 0 if unknown."""
        if instance == self.identity.instance:
            return self.identity.incarnation
        peer = self.table.get(instance)
        return peer.incarnation if peer is not None else 0

    def live_peers(self) -> list[Peer]:
        """Peers that aren't lost."""
        return alive_peers(self.table, self._clock(), self.lost_after_seconds)

    def expire(self) -> None:
        """Remove unlisted peers without a heartbeat for PEER_EXPIRY_SECONDS."""
        self.table = forget_lost(self.table, self._clock(), PEER_EXPIRY_SECONDS)

    def addresses(self, seeds: Iterable[str]) -> list[str]:
        """Addresses of peers: those in the table and the configured seeds."""
        addresses = [peer.address for peer in self.table.values() if peer.address]
        return sorted({*addresses, *seeds} - {self._address})


class HeartbeatController(Controller):
    """Sends heartbeats to random peers each period, and fetches newer configurations."""

    def __init__(
        self,
        registry: PeerRegistry,
        peers: PeerPort,
        seed_addresses: tuple[str, ...],
        period: float,
        fan_out: int,
        rng: random.Random,
        seen_revision: Callable[[], int],
        apply_configuration: Callable[[int, bytes], bool],
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.period = period
        self._registry = registry
        self._peers = peers
        self._seed_addresses = seed_addresses
        self._fan_out = fan_out
        self._random = rng
        self._seen_revision = seen_revision
        self._apply_configuration = apply_configuration
        self._metrics = metrics
        self._fetching = False
        self._extra_tasks: set[asyncio.Task[None]] = set()
        self._timeout = max(1.0, period)

    async def step(self) -> None:
        """Send one round of heartbeats."""
        addresses = self._registry.addresses(self._seed_addresses)
        chosen = self._random.sample(addresses, min(self._fan_out, len(addresses)))
        await asyncio.gather(*(self._send_heartbeat(address) for address in chosen))
        self._registry.expire()
        self._metrics.peers_alive.set({}, len(self._registry.live_peers()))

    async def _send_heartbeat(self, address: str) -> None:
        try:
            reply = await self._peers.heartbeat(
                address, self._registry.build_heartbeat(), self._timeout
            )
        except PeerUnreachableError:
            return
        self._registry.apply_heartbeat(reply.peer)
        if reply.peer.revision > self._seen_revision():
            await self.fetch_newer(address)

    def on_heartbeat(self, heartbeat: HeartbeatRequest) -> None:
        """Fetch the configuration of a peer whose heartbeat shows a newer one."""
        if heartbeat.revision > self._seen_revision():
            self._spawn(self.fetch_newer(heartbeat.address))

    def run_extra_round(self) -> None:
        """Start a round of heartbeats now, to report a change early."""
        self._spawn(self.step())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._extra_tasks.add(task)
        task.add_done_callback(self._extra_tasks.discard)

    async def stop(self) -> None:
        """Stop, and cancel extra rounds and fetches."""
        await super().stop()
        for task in list(self._extra_tasks):
            task.cancel()

    async def fetch_newer(self, address: str) -> None:
        """Fetch a peer's configuration, unless a fetch is in progress."""
        if self._fetching:
            return
        self._fetching = True
        try:
            request = FetchConfigurationRequest(above_revision=self._seen_revision())
            reply = await self._peers.fetch_configuration(address, request, self._timeout * 3)
            if reply.revision > self._seen_revision():
                self._apply_configuration(reply.revision, reply.document)
        except PeerUnreachableError:
            return
        finally:
            self._fetching = False


class InstanceListController(Controller):
    """Reads the platform's list of instances, live and leaving."""

    def __init__(
        self,
        platform: PlatformPort,
        registry: PeerRegistry,
        mark_upstream: Callable[[str, bool], None],
        period: float,
    ) -> None:
        super().__init__()
        self.period = period
        self._platform = platform
        self._registry = registry
        self._mark_upstream = mark_upstream

    async def step(self) -> None:
        """Read the list; if the platform is unreachable, the last one stays."""
        try:
            listed = await self._platform.instances(self.period + 1.0)
        except CallFailedError:
            return
        peers = [
            Peer(item.name, item.address, item.data_center, listed=item.state)
            for item in listed.instances
            if item.kind == ENTRY_KIND
        ]
        self._registry.apply_list(peers)
        for item in listed.instances:
            if item.kind != ENTRY_KIND:
                self._mark_upstream(item.name, item.state == LEAVING)


def find_peer(registry: PeerRegistry, instance: str, incarnation: int) -> Peer | None:
    """The peer with this instance name and incarnation; None if unknown."""
    peer = registry.table.get(instance)
    if peer is None or peer.incarnation != incarnation:
        return None
    return replace(peer)
