"""Sends and receives digests over datagrams, and fetches from peers what they have newer."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any

import msgspec

from pondpin.clocks import Clock
from pondpin.datagrams import DatagramPort, DatagramSocket
from pondpin.network import Endpoint
from pondpin.quarantine import Quarantine, turn_of
from pondpin.relay.choosing.calendar import PrefillQueue
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import (
    DataCenterChanged,
    FetchFailed,
    PeersChanged,
    UpstreamLeaving,
)
from pondpin.relay.peers.description import Description
from pondpin.relay.peers.digests import (
    MILLISECONDS,
    QUIET_TIMES,
    Digest,
    PeerSeen,
    PeerTable,
    decode_digest,
    encode_digest,
)
from pondpin.relay.peers.fan_out import FanOut, Round
from pondpin.relay.peers.hosts import GossipAddress, HostBook
from pondpin.relay.peers.news import news_of, round_up
from pondpin.relay.peers.published_news import PublishedNews
from pondpin.relay.peers.quarantine_news import QuarantineNews
from pondpin.relay.published.publication import Publication
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import PEER_LOAD_SECONDS, UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.peers.limit_keeping import LimitKeeping
    from pondpin.relay.peers.long_read_news import LongReadNews
    from pondpin.relay.published.pieces import PiecePort

# Out of turn digests are at least so far apart.
URGENT_SECONDS = 0.03
# Hosts that are not heard are tried this often.
HELLO_SECONDS = 1.0
# At most so many of them are tried at a time.
MOST_HELLOS = 16


@dataclass
class Gossip:
    """The task that owns the datagram socket and the table of peers."""

    instance: str
    boot: int
    address: GossipAddress
    seeds: tuple[str, ...]
    publication: Publication
    table: UpstreamTable
    peers: "PiecePort"
    log: EventLog
    clock: Clock
    rng: random.Random
    reads_source: Callable[[], bool]
    is_settled: Callable[[], bool] = lambda: True
    calendar: PrefillQueue = field(default_factory=PrefillQueue)
    quarantine: Quarantine = field(default_factory=Quarantine)
    sequence: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    # It serves on for a while, and is no home of permits any more.
    is_stopping: bool = False

    def __post_init__(self) -> None:
        """Set up the table."""
        self.known = PeerTable(self.boot)
        self._fan_out = FanOut(self.table.data_center, self.rng)
        self._told: tuple[object, ...] = ()
        self.host_book = HostBook(self.address.host, self.table.data_center, self.seeds)
        self._peer_changes = 0
        self._hello_at = 0.0
        self._sent_at = 0.0
        self._telling = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._alive: set[str] = set()
        self.quarantine_news = QuarantineNews(
            self.instance, self.boot, self.quarantine, self.write, lambda: self.hosts, self.clock
        )
        self._description = Description(self)
        self._published = PublishedNews(self)
        self.transport: DatagramPort | None = None

    @property
    def hosts(self) -> frozenset[str]:
        """Every host that is or may be a peer."""
        return self.host_book.all

    @property
    def hears_peers(self) -> bool:
        """Whether any peer was heard before the last digest went out."""
        return bool(self._alive)

    @cached_property
    def limits(self) -> "LimitKeeping":
        """What keeps to limits of upstreams; loaded where one names a limit, which few ever do."""
        from pondpin.relay.peers.limit_keeping import LimitKeeping

        return LimitKeeping(self)

    @cached_property
    def _long_reads(self) -> "LongReadNews":
        """Loaded where long prompts are told of, in large fleets only."""
        from pondpin.relay.peers.long_read_news import LongReadNews

        return LongReadNews(self.instance, self.boot, self.table)

    def note_sent(self, state: UpstreamState) -> None:
        """Something that needs no permit goes to an upstream: it counts for a limit of it."""
        if state.is_limited:
            self.limits.permits.note_spent(state)

    def note_life_sent(self, life: int) -> None:
        """As note_sent, by the number of its life."""
        state = self.table.by_life(life)
        if state is not None:
            self.note_sent(state)

    def rank(self, now: float) -> int:
        """How many live peers read the source before this instance."""
        return self.known.rank(self.instance, self.table.data_center, now)

    def turn_of(self, identity: int) -> int:
        """This instance's place among the live ones in a request's order."""
        return turn_of(identity, self.instance, self._alive)

    def count_tellers(self) -> int:
        """Peers whose digests tell of their work: in a large fleet those of the data centre."""
        if not self.known.is_large:
            return len(self.hosts)
        alive = self.known.alive(self.clock())
        return sum(1 for peer in alive if peer.data_center == self.table.data_center)

    def listen(self) -> None:
        """Open the socket."""
        place = Endpoint(self.address.host, self.address.datagram_port)
        self.transport = DatagramSocket(place, self.receive)

    def close(self) -> None:
        """Close the socket and end fetches."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self._published.close()
        if "limits" in self.__dict__:
            self.limits.permits.close()
        for task in self._tasks:
            task.cancel()

    def receive(self, data: bytes) -> None:
        """Take a peer's digest."""
        self.bytes_in += len(data)
        digest = decode_digest(data)
        if digest is not None:
            self.take(digest, self.clock())
            return
        now = self.clock()
        is_known = self.quarantine_news.receive(data, now) or self._long_reads.receive(data, now)
        if not is_known:
            self.limits.receive(data, now)

    def take(self, digest: Digest, now: float) -> None:
        """Believe what a digest says, dated by this process's clock."""
        if not self.known.take(digest, now):
            return
        self.quarantine_news.compare(digest, now)
        near = self.host_book.note((digest.host, *digest.hosts), digest.data_center, now)
        if self.host_book.note(digest.far_hosts, "", now) or near:
            # A new host is greeted with the next digests.
            self._hello_at = float("-inf")
        self._published.receive(digest, now)
        for life in digest.leaving:
            if self.table.mark_leaving(life, f"peer {digest.instance}", now):
                name = self.table.name_of(life)
                self.log.write(UpstreamLeaving(upstream=name, source=f"peer {digest.instance}"))
        if digest.limits:
            self.limits.news.take(digest.limits, digest.instance, now)
        for ejected in digest.ejected:
            self.table.suspect(ejected.life, now + ejected.left / MILLISECONDS)
        quiet = digest.quiet / MILLISECONDS
        until = now + max(PEER_LOAD_SECONDS, QUIET_TIMES * quiet)
        self.table.take_peer_work(digest.instance, digest.work, now, until)
        self.calendar.update_peer(digest.instance, digest.waiting, now, until)
        self.table.center_loads.take(digest.data_center, digest.center_loads, now)
        if digest.asks:
            self._answer(digest, now)

    def _answer(self, asking: Digest, now: float) -> None:
        """Tell a peer of another data centre at once, so that it can date what it hears."""
        base = msgspec.structs.replace(
            self.describe(now),
            work=(),
            waiting=(),
            quiet=asking.quiet,
            center_loads=self.table.own_center_loads(now),
        )
        self._post(base, asking.host, self.known.by_host.get(asking.host))

    def tell_soon(self) -> None:
        """Send a digest out of turn, so that peers learn of a big choice."""
        wait = self._sent_at + URGENT_SECONDS - self.clock()
        if wait <= 0:
            self.send(self.clock())
        elif not self._telling:
            self._telling = True
            self._spawn(self._tell_after(wait))

    async def _tell_after(self, wait: float) -> None:
        await asyncio.sleep(wait)
        self._telling = False
        self.send(self.clock())

    def tell_long_reads(self) -> None:
        """Tell every instance which long prompts of this one are being read.

        In a small fleet the digests that are due at the same time tell everybody.
        """
        if not self.known.is_large or self.transport is None:
            return
        self.sequence += 1
        data = self._long_reads.message(self.sequence, self.clock())
        for host in self.hosts:
            self.bytes_out += len(data)
            self.write(data, host)

    def tell_news(self) -> None:
        """Send a digest out of turn, also to other data centres: something new was read."""
        self.send(self.clock(), urgent=True)

    def send(self, now: float, urgent: bool = False) -> None:
        """Send a digest to the peers whose turn it is, and now and then to silent hosts."""
        if self.transport is None:
            return
        self._sent_at = now
        self._note_alive(now)
        base = self.describe(now)
        news = news_of(base)
        turn = self._fan_out.next_round(self.known, now, news != self._told, urgent)
        if turn.near:
            self._told = news
        near = msgspec.structs.replace(base, quiet=round_up(turn.quiet))
        for peer in turn.near:
            self._fan_out.note_bytes(self._post(near, peer.host, peer))
        if turn.far:
            self._ask_far(base, turn, now)
        if now - self._hello_at >= HELLO_SECONDS:
            self._hello_at = now
            quiet = turn.far_quiet if self.known.is_large else turn.quiet
            self._greet(msgspec.structs.replace(base, quiet=round_up(quiet)), now)

    def _ask_far(self, base: Digest, turn: Round, now: float) -> None:
        """Tell peers of other data centres, and ask for theirs."""
        far = msgspec.structs.replace(
            base,
            work=(),
            waiting=(),
            asks=True,
            quiet=round_up(turn.far_quiet),
            center_loads=self.table.own_center_loads(now),
        )
        for peer in turn.far:
            self._post(far, peer.host, peer)

    def _greet(self, base: Digest, now: float) -> None:
        """Try hosts that are not heard, and forget those that nobody mentions any more."""
        silent = self.host_book.worth_greeting(self.known, now)
        for host in self.rng.sample(silent, min(MOST_HELLOS, len(silent))):
            self._post(base, host, self.known.by_host.get(host))
        self.known.forget(now)
        self.host_book.forget(now)

    def _post(self, base: Digest, host: str, peer: PeerSeen | None) -> int:
        """Send a digest with the receiver's echo; returns its bytes."""
        self.sequence += 1
        digest = msgspec.structs.replace(
            base,
            sequence=self.sequence,
            echo_boot=peer.boot if peer is not None else 0,
            echo=peer.stamp if peer is not None else -1,
        )
        data = encode_digest(digest)
        self.bytes_out += len(data)
        self.write(data, host)
        return len(data)

    def write(self, data: bytes, host: str) -> None:
        """Send a datagram to a host."""
        if self.transport is None:
            return
        try:
            self.transport.write(data, (host, self.address.datagram_port))
        except OSError as error:
            # A datagram is allowed to be lost; the next one goes out in a moment.
            self.log.write(FetchFailed(peer=host, reason=f"datagram: {error}"))

    def describe(self, now: float) -> Digest:
        """What this instance tells, but for the echo."""
        return self._description.make(now)

    def note_silence(self, now: float) -> None:
        """Tell the upstreams' table which data centres can't be heard."""
        silent = self.known.silent_centers(now)
        for name in silent ^ self.table.silent_centers:
            self.log.write(DataCenterChanged(data_center=name, silent=name in silent))
        self.table.silent_centers = silent
        self.table.peers_tell_all = not self.known.is_large

    def _note_alive(self, now: float) -> None:
        alive_peers = self.known.alive(now)
        if self.known.changes == self._peer_changes:
            return
        self._peer_changes = self.known.changes
        alive = {peer.instance for peer in alive_peers}
        heard, lost = tuple(sorted(alive - self._alive)), tuple(sorted(self._alive - alive))
        if heard or lost:
            self.log.write(PeersChanged(heard=heard, lost=lost, alive_peers=len(alive)))
        self._alive = alive

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
