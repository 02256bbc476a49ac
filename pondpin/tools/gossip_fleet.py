"""Plays digests between many instances in simulated time, without sockets.

One instance in each round of reads has a new proof; a read is made by whoever finds it due.
Used by tests and by `measure_gossip`.
"""

import heapq
import itertools
import random

import msgspec

from pondpin.errors import PeerUnreachableError
from pondpin.platform.documents import PlatformDecoder
from pondpin.relay.log import EventLog
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.peers.fan_out import PACKET_BYTES
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.peers.hosts import GossipAddress
from pondpin.relay.periods import PERIOD_SECONDS
from pondpin.relay.published.documents import PublishedItem
from pondpin.relay.published.freshness import Proof
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.reader import is_due
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standins.local_platform import sample_configuration

# One way, as between data centres of one region.
DELAY_SECONDS = 0.0015
# Logs are never flushed; a descriptor for each of 398 instances would leave none for the tests.
NO_DESCRIPTOR = -1


class _Transport:
    """Hands datagrams to the fleet."""

    def __init__(self, fleet: "GossipFleet", center: str) -> None:
        self._fleet = fleet
        self._center = center

    def write(self, data: bytes, place: tuple[str, int]) -> None:
        """Send a datagram."""
        self._fleet.carry(self._center, data, place[0])

    def close(self) -> None:
        """Nothing to close."""


class _NoPieces:
    """Documents don't travel here: all instances begin with the same ones."""

    async def fetch_piece(
        self, address: str, request: FetchPieceRequest, timeout: float
    ) -> FetchPieceReply:
        """See PiecePort."""
        raise PeerUnreachableError(address)


class GossipFleet:
    """Instances over some data centres; all begin with the same configuration in force."""

    def __init__(
        self,
        centers: int,
        instances: int,
        seed: int,
        scale: float = 1.0,
        without: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._scale = scale
        self._without = without
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.cut: set[str] = set()
        # Share of the datagrams that are lost.
        self.loss = 0.0
        # Instances that have ended, by their index.
        self.ended: set[int] = set()
        # Datagrams that suspended instances will read when they resume, by their index.
        self._unread: dict[int, list[bytes]] = {}
        # Hosts that neither send nor receive.
        self.stopped: set[str] = set()
        self.bytes_out = 0
        self.reads = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, int, bytes]] = []
        self._due: list[tuple[float, int, int]] = []
        self._centers = centers
        self.members: list[Gossip] = []
        self._index_by_host: dict[str, int] = {}
        for _ in range(instances):
            self.join()

    def join(self) -> Gossip:
        """Start a further instance, which knows nothing but the seeds."""
        index = len(self.members)
        member = self._member(index, self._centers)
        self.members.append(member)
        self._index_by_host[member.address.host] = index
        start = self.now + self.rng.random() * PERIOD_SECONDS
        heapq.heappush(self._due, (start, next(self._order), index))
        return member

    def _member(self, number: int, centers: int) -> Gossip:
        center = f"c{number % centers}"
        name = f"i{number:04}"
        log = EventLog(name, self._clock, self._clock, NO_DESCRIPTOR)
        publication = Publication(
            PlatformDecoder(), lambda _: None, lambda _: None, lambda *_: None
        )
        value = msgspec.json.encode(sample_configuration())
        publication.apply_configuration(PublishedItem("configuration", 1, value), None, self.now)
        publication.apply_list((), self.now, self.now)
        gossip = Gossip(
            instance=name,
            boot=number + 1,
            address=GossipAddress(f"10.0.{number // 250}.{number % 250}", 1, 2),
            seeds=tuple(f"10.0.0.{seed}" for seed in range(centers)),
            publication=publication,
            table=UpstreamTable(center, self._without),
            piece_port=_NoPieces(),
            log=log,
            clock=self._clock,
            rng=random.Random(number),
            reads_source=lambda: True,
        )
        gossip.transport = _Transport(self, center)
        return gossip

    def _clock(self) -> float:
        return self.now

    def carry(self, center: str, data: bytes, host: str) -> None:
        """Send a datagram from a data centre to a host."""
        self.bytes_out += len(data) + PACKET_BYTES
        index = self._index_by_host.get(host)
        if index is None:
            return
        there = self.members[index].table.data_center
        if there != center and self.cut & {there, center}:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        arrival = self.now + DELAY_SECONDS
        heapq.heappush(self._events, (arrival, next(self._order), index, data))

    def play(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            arrival = self._events[0][0] if self._events else end
            due = self._due[0][0]
            if min(arrival, due) >= end:
                break
            if arrival <= due:
                self._deliver()
            else:
                self._step()
        self.now = end

    def _deliver(self) -> None:
        self.now, _, index, data = heapq.heappop(self._events)
        if index in self._unread:
            self._unread[index].append(data)
        elif index not in self.ended and self.members[index].address.host not in self.stopped:
            self.members[index].receive(data)

    def suspend(self, index: int) -> None:
        """Stop an instance until it resumes; its datagrams wait in its socket."""
        self._unread[index] = []

    def resume(self, index: int) -> None:
        """Let a suspended instance go on, which reads what waits in its socket first."""
        for data in self._unread.pop(index):
            self.members[index].receive(data)

    def _step(self) -> None:
        """One instance reads if that is due, and tells."""
        self.now, _, index = heapq.heappop(self._due)
        member = self.members[index]
        if index in self.ended:
            return
        if index in self._unread or member.address.host in self.stopped:
            heapq.heappush(self._due, (self.now + PERIOD_SECONDS, next(self._order), index))
            return
        rank = member.peer_table.rank(member.instance, member.table.data_center, self.now)
        if is_due(self._proof_age(member), rank, self._scale):
            self.reads += 1
            member.publication.receive_proof(Proof(member.publication.in_force, self.now))
        member.update_silent_data_centers(self.now)
        member.send(self.now)
        heapq.heappush(self._due, (self.now + PERIOD_SECONDS, next(self._order), index))

    def _proof_age(self, member: Gossip) -> float:
        proof = member.publication.proof
        return float("inf") if proof is None else proof.age(self.now)

    def proof_ages(self) -> list[float]:
        """Seconds since the proof that each instance knows of was read."""
        return [self._proof_age(member) for member in self.members]
