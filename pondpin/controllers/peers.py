"""Heartbeats between entry instances, and the calls that they serve for each other."""

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
FORGET_SECONDS = 600.0
ENTRY_KIND = "entry"
LEAVING = "leaving"
FAILURES = (GRPCError, StreamTerminatedError, OSError, TimeoutError, asyncio.TimeoutError)


class PeerPort(Protocol):
    """Calls to one peer, by its address; they raise PeerUnreachableError."""

    async def heartbeat(
        self, address: str, request: HeartbeatRequest, timeout: float
    ) -> HeartbeatReply:
        """Tell of oneself and hear of the peer."""
        ...

    async def fetch_configuration(
        self, address: str, request: FetchConfigurationRequest, timeout: float
    ) -> FetchConfigurationReply:
        """Read the peer's configuration."""
        ...

    async def forward(self, address: str, request: ForwardRequest, timeout: float) -> ForwardReply:
        """Have the peer run a call that carries its token."""
        ...

    async def explain(self, address: str, request: ExplainRequest, timeout: float) -> ExplainReply:
        """Read the peer's decision records."""
        ...


class GrpcPeerClient:
    """PeerPort over grpclib, one channel for each peer."""

    def __init__(self, metrics: Metrics, ssl_context: Callable[[], object | None]) -> None:
        self._metrics = metrics
        self._ssl_context = ssl_context
        self._channels_by_address: dict[str, Channel] = {}
        # Addresses that experiments cut off: calls to them fail as on a broken network.
        self.blocked_addresses: set[str] = set()

    def _stub(self, address: str) -> PeerStub:
        if address in self.blocked_addresses:
            raise PeerUnreachableError("cut off")
        channel = self._channels_by_address.get(address)
        if channel is None:
            endpoint = parse_endpoint(address)
            context = self._ssl_context()
            channel = Channel(endpoint.host, endpoint.port, ssl=context)  # type: ignore[arg-type]
            self._channels_by_address[address] = channel
        return PeerStub(channel)

    def _count(self, sent: int, received: int) -> None:
        self._metrics.peer_bytes.add({"direction": "out"}, sent)
        self._metrics.peer_bytes.add({"direction": "in"}, received)

    async def heartbeat(
        self, address: str, request: HeartbeatRequest, timeout: float
    ) -> HeartbeatReply:
        """See PeerPort."""
        try:
            reply = await self._stub(address).Heartbeat(request, timeout=timeout)
        except FAILURES as error:
            raise PeerUnreachableError(type(error).__name__) from None
        self._count(request.ByteSize(), reply.ByteSize())
        return reply

    async def fetch_configuration(
        self, address: str, request: FetchConfigurationRequest, timeout: float
    ) -> FetchConfigurationReply:
        """See PeerPort."""
        try:
            reply = await self._stub(address).FetchConfiguration(request, timeout=timeout)
        except FAILURES as error:
            raise self._unreachable(address, error) from None
        self._count(request.ByteSize(), reply.ByteSize())
        return reply

    def _unreachable(self, address: str, error: BaseException) -> PeerUnreachableError:
        if isinstance(error, TimeoutError):
            self._drop(address)
        return PeerUnreachableError(type(error).__name__)

    async def forward(self, address: str, request: ForwardRequest, timeout: float) -> ForwardReply:
        """See PeerPort."""
        try:
            return await self._stub(address).Forward(request, timeout=timeout)
        except FAILURES as error:
            raise PeerUnreachableError(type(error).__name__) from None

    async def explain(self, address: str, request: ExplainRequest, timeout: float) -> ExplainReply:
        """See PeerPort."""
        try:
            return await self._stub(address).Explain(request, timeout=timeout)
        except FAILURES as error:
            raise PeerUnreachableError(type(error).__name__) from None

    def _drop(self, address: str) -> None:
        """Close a channel that may be silent for good; the next call opens another one."""
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
    """What this instance tells of itself."""

    revision: int
    ready: bool
    draining: bool
    leaving_upstreams: tuple[str, ...]
    usage: tuple[AccountUsage, ...]
    ended_lives: bytes = b""


@dataclass(frozen=True, slots=True)
class HeartbeatSettings:
    """How often heartbeats go out (seconds), to how many, and the fewest rounds of silence."""

    period: float
    fan_out: int
    min_silent_rounds: int


class PeerRegistry:
    """The table of peers, and the building and taking of heartbeats."""

    def __init__(
        self,
        identity: Identity,
        address: str,
        report: Callable[[], InstanceStatus],
        on_heard: Callable[[HeartbeatRequest], None],
        clock: Clock,
        rhythm: HeartbeatSettings,
    ) -> None:
        self.identity = identity
        self._address = address
        self._report = report
        self._on_heard = on_heard
        self._clock = clock
        self._rhythm = rhythm
        self.table: PeerTable = {}

    @property
    def lost_after_seconds(self) -> float:
        """Seconds of silence after which a peer counts as lost."""
        rhythm = self._rhythm
        return silence_allowed(
            len(self.table), rhythm.fan_out, rhythm.period, rhythm.min_silent_rounds
        )

    def build_heartbeat(self) -> HeartbeatRequest:
        """A heartbeat of this instance."""
        report = self._report()
        return HeartbeatRequest(
            protocol_version=PROTOCOL_VERSION,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            data_center=self.identity.data_center,
            revision=report.revision,
            ready=report.ready,
            draining=report.draining,
            leaving_upstreams=report.leaving_upstreams,
            usage=report.usage,
            address=self._address,
            ended_lives=report.ended_lives,
        )

    def apply_heartbeat(self, heard: HeartbeatRequest) -> None:
        """Take a heartbeat of a peer."""
        if heard.instance == self.identity.instance:
            return
        now = self._clock()
        known = self.table.get(heard.instance)
        was_alive = known is not None and is_alive(known, now, self.lost_after_seconds)
        peer = Peer(
            name=heard.instance,
            address=heard.address,
            data_center=heard.data_center,
            incarnation=heard.incarnation,
            revision=heard.revision,
            ready=heard.ready,
            draining=heard.draining,
            heard_at=now,
        )
        self.table = note_heartbeat(self.table, peer)
        if not was_alive:
            logging.info("peer %s heard, incarnation %d", heard.instance, heard.incarnation)
        self._on_heard(heard)

    def apply_list(self, listed: Iterable[Peer]) -> None:
        """Take the platform's list."""
        others = (peer for peer in listed if peer.name != self.identity.instance)
        self.table = note_list(self.table, others)

    def newest_incarnation(self, instance: str) -> int:
        """The newest known incarnation of an instance, 0 when unknown."""
        if instance == self.identity.instance:
            return self.identity.incarnation
        peer = self.table.get(instance)
        return peer.incarnation if peer is not None else 0

    def live_peers(self) -> list[Peer]:
        """Peers heard from lately."""
        return alive_peers(self.table, self._clock(), self.lost_after_seconds)

    def expire(self) -> None:
        """Drop peers that are long gone."""
        self.table = forget_lost(self.table, self._clock(), FORGET_SECONDS)

    def addresses(self, known: Iterable[str]) -> list[str]:
        """Where peers may be: those in the table, and those of the settings."""
        found = [peer.address for peer in self.table.values() if peer.address]
        return sorted({*found, *known} - {self._address})


class HeartbeatController(Controller):
    """Sends heartbeats to a random few peers each period, and fetches newer configurations."""

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
        self._book = registry
        self._peers = peers
        self._known = seed_addresses
        self._fan_out = fan_out
        self._random = rng
        self._seen_revision = seen_revision
        self._offer = apply_configuration
        self._metrics = metrics
        self._fetching = False
        self._extra: set[asyncio.Task[None]] = set()
        self._timeout = max(1.0, period)

    async def step(self) -> None:
        """One round."""
        addresses = self._book.addresses(self._known)
        chosen = self._random.sample(addresses, min(self._fan_out, len(addresses)))
        await asyncio.gather(*(self._beat(address) for address in chosen))
        self._book.expire()
        self._metrics.peers_alive.set({}, len(self._book.live_peers()))

    async def _beat(self, address: str) -> None:
        try:
            reply = await self._peers.heartbeat(
                address, self._book.build_heartbeat(), self._timeout
            )
        except PeerUnreachableError:
            return
        self._book.apply_heartbeat(reply.peer)
        if reply.peer.revision > self._seen_revision():
            await self.fetch_newer(address)

    def on_heartbeat(self, heard: HeartbeatRequest) -> None:
        """A peer's heartbeat came in: fetch what it has that is newer."""
        if heard.revision > self._seen_revision():
            self._spawn(self.fetch_newer(heard.address))

    def run_extra_round(self) -> None:
        """Tell of news at once, in a round out of turn."""
        self._spawn(self.step())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._extra.add(task)
        task.add_done_callback(self._extra.discard)

    async def stop(self) -> None:
        """Stop, and end what runs out of turn."""
        await super().stop()
        for task in list(self._extra):
            task.cancel()

    async def fetch_newer(self, address: str) -> None:
        """Fetch a peer's configuration, one fetch at a time."""
        if self._fetching:
            return
        self._fetching = True
        try:
            request = FetchConfigurationRequest(above_revision=self._seen_revision())
            reply = await self._peers.fetch_configuration(address, request, self._timeout * 3)
            if reply.revision > self._seen_revision():
                self._offer(reply.revision, reply.document)
        except PeerUnreachableError:
            return
        finally:
            self._fetching = False


class InstanceListController(Controller):
    """Reads the platform's list of live and leaving instances."""

    def __init__(
        self,
        platform: PlatformPort,
        book: PeerRegistry,
        mark_upstream: Callable[[str, bool], None],
        period: float,
    ) -> None:
        super().__init__()
        self.period = period
        self._platform = platform
        self._book = book
        self._mark_upstream = mark_upstream

    async def step(self) -> None:
        """Read the list; when the platform is away, the last one stays."""
        try:
            listed = await self._platform.instances(self.period + 1.0)
        except CallFailedError:
            return
        peers = [
            Peer(item.name, item.address, item.data_center, listed=item.state)
            for item in listed.instances
            if item.kind == ENTRY_KIND
        ]
        self._book.apply_list(peers)
        for item in listed.instances:
            if item.kind != ENTRY_KIND:
                self._mark_upstream(item.name, item.state == LEAVING)


def find_peer(book: PeerRegistry, instance: str, incarnation: int) -> Peer | None:
    """The peer that is this very incarnation of an instance, None when it is not known."""
    peer = book.table.get(instance)
    if peer is None or peer.incarnation != incarnation:
        return None
    return replace(peer)
