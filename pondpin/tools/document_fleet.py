"""Plays how documents travel in a fleet, in virtual time: store, links, readers, digests, fetches.

Instances run their own code for reading, telling and fetching. A link carries one piece at a
time; transfers that share it take turns. Used by tests and by `measure_documents`.
"""

import asyncio
import random
import string
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from pondpin.controllers.base import Controller
from pondpin.errors import PeerUnreachableError
from pondpin.http_client import HttpClient
from pondpin.http_streams import StreamedResponse
from pondpin.metrics import Metrics
from pondpin.platform.documents import PlatformDecoder
from pondpin.platform.order_store import PlatformOrderStore
from pondpin.relay.entry import PEERS_FIRST_SECONDS
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import FetchFailed, LogEvent
from pondpin.relay.peers.controller import GossipController
from pondpin.relay.peers.evacuation_setup import add_evacuations
from pondpin.relay.peers.fan_out import PACKET_BYTES
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.peers.hosts import GossipAddress
from pondpin.relay.published.document_server import DocumentServer
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, encode_message
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.reader import ReaderController
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standins.local_platform import ENGINES, PLAIN, sample_configuration, sample_route
from pondpin.standins.simulated_store import SimulatedStore
from pondpin.standins.store_state import CONFIGURATION_KEY

# One way, as between data centres of one region.
DELAY_SECONDS = 0.0015
# A transfer gives way to the others of its link after so many bytes.
TURN_BYTES = 8192
TEN_MEGABIT = 1.25e6
LONGEST_SECONDS = 60.0
# Logs are counted and never flushed.
NO_DESCRIPTOR = -1


class Link:
    """One direction of a machine's link; rate in bytes a second, carried in bytes."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free = asyncio.Lock()
        self.carried = 0

    async def carry(self, size: int) -> None:
        """Take the time that so many bytes need, beside other transfers."""
        left = size
        while left > 0:
            part = min(TURN_BYTES, left)
            async with self._free:
                await asyncio.sleep(part / self._rate)
            self.carried += part
            left -= part


def random_routes(count: int, seed: int) -> list[dict[str, Any]]:
    """Routes with names like those of a deployment."""
    rng = random.Random(seed)

    def word(length: int) -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))

    return [
        sample_route(
            f"r-{word(7)}",
            "streaming" if rng.random() < 0.5 else "safe",
            rng.choice((ENGINES, PLAIN)),
            host=f"{word(6)}.example",
            pathPrefix=f"/{word(8)}/",
            sessionAffinity=True,
            streamResume=True,
            gap_aim_ms=200,
        )
        for _ in range(count)
    ]


class _SlowResponse:
    """A body that comes over a link."""

    def __init__(self, body: bytes, link: Link) -> None:
        self._body = body
        self._link = link
        self._task: asyncio.Task[None] | None = None

    def deliverBody(self, protocol: Any) -> None:
        """Send the body to a twisted protocol."""
        protocol.transport = _SlowTransport(self)
        self._task = asyncio.get_running_loop().create_task(self._send(protocol))

    async def _send(self, protocol: Any) -> None:
        for start in range(0, len(self._body), TURN_BYTES):
            piece = self._body[start : start + TURN_BYTES]
            await self._link.carry(len(piece))
            protocol.dataReceived(piece)
        protocol.connectionLost(Failure(ResponseDone()))

    def cut(self) -> None:
        """End the transfer: what has not come is not carried."""
        if self._task is not None:
            self._task.cancel()


class _SlowTransport:
    """What a reader of a slow response may do to its connection."""

    def __init__(self, response: _SlowResponse) -> None:
        self._response = response
        self._producer = self

    def abortConnection(self) -> None:
        """Reset it."""
        self._response.cut()

    def loseConnection(self) -> None:
        """Close it."""
        self._response.cut()


class SimulatedHttp(HttpClient):
    """Calls to the simulated store over an instance's link."""

    def __init__(self, store: SimulatedStore, link: Link, seed: int = 0) -> None:
        self._store = store
        self._link = link
        self._rng = random.Random(seed)
        self.silent = False
        # Answers wait for some of this before they come back.
        self.late_seconds = (0.0, 0.0)

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamedResponse:
        """Answer a call after the way there and back."""
        await asyncio.sleep(2 * DELAY_SECONDS)
        if self.silent or self._store.away:
            await asyncio.sleep(LONGEST_SECONDS)
        answer = self._store.answer(url)
        headers = {name.lower(): value for name, value in self._store.epoch_headers.items()}
        content = msgspec.json.encode(answer.document)
        await asyncio.sleep(self._rng.uniform(*self.late_seconds))
        return StreamedResponse(answer.status, headers, _SlowResponse(content, self._link))


class _CountingLog(EventLog):
    """Counts failed fetches; writes nothing."""

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        super().__init__(name, clock, clock, NO_DESCRIPTOR)
        self.failed_fetches = 0

    def write(self, event: LogEvent) -> None:
        """Look at a line."""
        self.failed_fetches += isinstance(event, FetchFailed)


class _Datagrams:
    """Hands datagrams to the fleet."""

    def __init__(self, fleet: "DocumentFleet", center: str) -> None:
        self._fleet = fleet
        self._center = center

    def write(self, data: bytes, place: tuple[str, int]) -> None:
        """Send a datagram."""
        self._fleet.carry_datagram(data, place[0], self._center)

    def close(self) -> None:
        """Nothing to close."""


class _SimulatedPeers:
    """Calls to peers over the links of those that answer."""

    def __init__(self, fleet: "DocumentFleet", center: str) -> None:
        self._fleet = fleet
        self._center = center

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """See PiecePort."""
        there = self._fleet.by_host[address.rpartition(":")[0]]
        if self._fleet.is_cut(self._center, there.gossip.table.data_center):
            await asyncio.sleep(timeout)
            raise PeerUnreachableError("TimeoutError")
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(DELAY_SECONDS)
                now = asyncio.get_running_loop().time()
                reply = there.server.answer(request, now)
                await there.uplink.carry(len(encode_message(reply)))
                await asyncio.sleep(DELAY_SECONDS)
        except TimeoutError:
            raise PeerUnreachableError("TimeoutError") from None
        return reply


class SimulatedInstance:
    """One instance: what it believes, how it reads and how it hears its peers."""

    def __init__(self, fleet: "DocumentFleet", number: int, center: str, rate: float) -> None:
        clock = asyncio.get_running_loop().time
        name = f"i{number:04}"
        self.name = name
        self.began = clock()
        self.in_force_at: dict[int, float] = {}
        # Versions in the order in which they came in force.
        self.versions: list[int] = []
        self.uplink, self.downlink = Link(rate), Link(rate)
        self.log = _CountingLog(name, clock)
        self.publication = Publication(
            PlatformDecoder(),
            self._note_version,
            lambda _: None,
            lambda *_: None,
            prefer_peers_until=self.began + PEERS_FIRST_SECONDS,
        )
        self.http = SimulatedHttp(fleet.store, self.downlink, number)
        address = GossipAddress(f"10.0.{number // 250}.{number % 250}", 1, 2)
        self.gossip = Gossip(
            instance=name,
            boot=number + 1,
            address=address,
            seeds=tuple(f"10.0.0.{seed}" for seed in range(fleet.centers)),
            publication=self.publication,
            table=UpstreamTable(center),
            piece_port=_SimulatedPeers(fleet, center),
            log=self.log,
            clock=clock,
            rng=random.Random(number),
            reads_source=lambda: self.reader.answers,
        )
        self.gossip.transport = _Datagrams(fleet, center)
        self.server = DocumentServer(self.publication, clock)
        source = PlatformOrderStore(
            self.http,
            "store:1",
            lambda head: self.publication.receive_epoch(head.epoch, "its answer"),
        )
        self.reader = ReaderController(
            source,
            self.publication,
            lambda now: self.gossip.peer_table.rank(name, center, now),
            self.gossip.send_urgent,
            self.log,
            clock,
            random.Random(number),
        )
        if fleet.evacuation_bound:
            bound = fleet.evacuation_bound
            add_evacuations(self.gossip, self.reader, source, fleet.metrics, bound, has_peers=True)
        self.controllers: tuple[Controller, ...] = (
            self.reader,
            GossipController(self.gossip, self.publication, clock),
        )

    def _note_version(self, configuration: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.in_force_at[configuration.version] = now
        self.versions.append(configuration.version)


class DocumentFleet:
    """Instances over some data centres, on links of one rate; all begin with version 1."""

    def __init__(
        self,
        centers: int,
        instances: int,
        routes: int,
        rate: float,
        seed: int,
        evacuation_bound: float = 0.0,
    ) -> None:
        """evacuation_bound: seconds until an order to evacuate is in force; 0: none is read."""
        self.evacuation_bound = evacuation_bound
        self.metrics = Metrics("fleet", "all")
        # The share of datagrams that are lost.
        self.loss = 0.0
        self.centers = centers
        self._rng = random.Random(seed)
        self._routes = random_routes(routes, seed)
        self.store = SimulatedStore()
        self.publish(1)
        # Data centres that are cut off from the others.
        self.cut: set[str] = set()
        self.decode = PlatformDecoder().configuration
        self.members = [
            SimulatedInstance(self, number, f"c{number % centers}", rate)
            for number in range(instances)
        ]
        self.by_host = {member.gossip.address.host: member for member in self.members}

    def publish(self, version: int, more_routes: int = 0) -> None:
        """Publish a version with some routes more."""
        self._routes = [*self._routes, *random_routes(more_routes, version)]
        document = sample_configuration(version)
        self.store.put(CONFIGURATION_KEY, document | {"routes": self._routes})

    async def start(self, settle: float) -> None:
        """Start all within a moment, and let them find each other."""
        for member in self.members:
            for controller in member.controllers:
                delay = self._rng.random() * controller.period
                asyncio.get_running_loop().call_later(delay, controller.start)
        await asyncio.sleep(settle)

    def join(self, rate: float) -> SimulatedInstance:
        """Start a further instance."""
        number = len(self.members)
        member = SimulatedInstance(self, number, f"c{number % self.centers}", rate)
        self.members.append(member)
        self.by_host[member.gossip.address.host] = member
        for controller in member.controllers:
            controller.start()
        return member

    def is_cut(self, center: str, other: str) -> bool:
        """Whether two data centres can't reach each other."""
        return center != other and bool(self.cut & {center, other})

    async def stop(self) -> None:
        """Stop all."""
        for member in self.members:
            for controller in member.controllers:
                await controller.stop()
            member.gossip.close()

    def carry_datagram(self, data: bytes, host: str, center: str) -> None:
        """Send a datagram from a data centre; links carry it beside the documents."""
        member = self.by_host.get(host)
        if member is None or self.is_cut(center, member.gossip.table.data_center):
            return
        if self.loss and self._rng.random() < self.loss:
            return
        member.downlink.carried += len(data) + PACKET_BYTES
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_SECONDS, member.gossip.receive, data)

    async def seconds_until_in_force(self, version: int) -> float:
        """Wait until a version that was published now is in force everywhere; seconds it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not all(version in member.in_force_at for member in self.members):
            if loop.time() - began > LONGEST_SECONDS:
                return LONGEST_SECONDS
            await asyncio.sleep(0.05)
        return max(member.in_force_at[version] for member in self.members) - began

    @property
    def failed_fetches(self) -> int:
        """Fetches between instances that brought nothing."""
        return sum(member.log.failed_fetches for member in self.members)
