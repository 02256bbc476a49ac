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
from pondpin.quarantine import Quarantine, compute_trial_rank
from pondpin.relay.choosing.prefill_queue import PrefillQueue
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import (
    DataCenterChanged,
    FetchFailed,
    PeersChanged,
    UpstreamLeaving,
)
from pondpin.relay.peers.digest_builder import DigestBuilder
from pondpin.relay.peers.digest_fields import round_up_ms, urgent_fields
from pondpin.relay.peers.digests import (
    ALIVE_INTERVALS,
    MILLISECONDS,
    Digest,
    PeerRecord,
    PeerTable,
    decode_digest,
    encode_digest,
)
from pondpin.relay.peers.fan_out import FanOut, Round
from pondpin.relay.peers.hosts import GossipAddress, PeerHosts
from pondpin.relay.peers.published_sync import PublishedSync
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.published.publication import Publication
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import PEER_LOAD_SECONDS, UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.peers.limit_enforcement import LimitEnforcement
    from pondpin.relay.peers.long_prefill_sync import LongPrefillSync
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
    piece_port: "PiecePort"
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
        self.peer_table = PeerTable(self.boot)
        self._fan_out = FanOut(self.table.data_center, self.rng)
        self._told: tuple[object, ...] = ()
        self.peer_hosts = PeerHosts(self.address.host, self.table.data_center, self.seeds)
        self._peer_changes = 0
        self._hello_at = 0.0
        self._sent_at = 0.0
        self._telling = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._alive: set[str] = set()
        self.quarantine_sync = QuarantineSync(
            self.instance, self.boot, self.quarantine, self.write, lambda: self.hosts, self.clock
        )
        self._description = DigestBuilder(self)
        self._published = PublishedSync(self)
        self.transport: DatagramPort | None = None

    @property
    def hosts(self) -> frozenset[str]:
        """Every host that is or may be a peer."""
        return self.peer_hosts.all

    @property
    def has_live_peers(self) -> bool:
        """Whether any peer was heard before the last digest went out."""
        return bool(self._alive)

    @cached_property
    def limits(self) -> "LimitEnforcement":
        """What keeps to limits of upstreams; loaded where one names a limit, which few ever do."""
        from pondpin.relay.peers.limit_enforcement import LimitEnforcement

        return LimitEnforcement(self)

    @cached_property
    def _long_reads(self) -> "LongPrefillSync":
        """Loaded where long prompts are told of, in large fleets only."""
        from pondpin.relay.peers.long_prefill_sync import LongPrefillSync

        return LongPrefillSync(self.instance, self.boot, self.table)

    def record_sent(self, state: UpstreamState) -> None:
        """Something that needs no permit goes to an upstream: it counts for a limit of it."""
        if state.is_limited:
            self.limits.permits.record_spent(state)

    def record_life_sent(self, life: int) -> None:
        """As note_sent, by the number of its life."""
        state = self.table.by_life(life)
        if state is not None:
            self.record_sent(state)

    def rank(self, now: float) -> int:
        """How many live peers read the source before this instance."""
        return self.peer_table.rank(self.instance, self.table.data_center, now)

    def turn_of(self, identity: int) -> int:
        """This instance's place among the live ones in a request's order."""
        return compute_trial_rank(identity, self.instance, self._alive)

    def count_reporting_peers(self) -> int:
        """Peers whose digests tell of their work: in a large fleet those of the data centre."""
        if not self.peer_table.is_large:
            return len(self.hosts)
        alive = self.peer_table.alive(self.clock())
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
            self.apply(digest, self.clock())
            return
        now = self.clock()
        is_known = self.quarantine_sync.receive(data, now) or self._long_reads.receive(data, now)
        if not is_known:
            self.limits.receive(data, now)

    def apply(self, digest: Digest, now: float) -> None:
        """Believe what a digest says, dated by this process's clock."""
        if not self.peer_table.apply(digest, now):
            return
        self.quarantine_sync.sync_peer(digest, now)
        near = self.peer_hosts.add((digest.host, *digest.hosts), digest.data_center, now)
        if self.peer_hosts.add(digest.far_hosts, "", now) or near:
            # A new host is greeted with the next digests.
            self._hello_at = float("-inf")
        self._published.receive(digest, now)
        for life in digest.leaving:
            if self.table.mark_leaving(life, f"peer {digest.instance}", now):
                name = self.table.label_of(life)
                self.log.write(UpstreamLeaving(upstream=name, source=f"peer {digest.instance}"))
        if digest.limits:
            self.limits.sync.apply(digest.limits, digest.instance, now)
        for ejected in digest.ejected:
            self.table.suspect(ejected.life, now + ejected.remaining_ms / MILLISECONDS)
        quiet = digest.quiet / MILLISECONDS
        until = now + max(PEER_LOAD_SECONDS, ALIVE_INTERVALS * quiet)
        self.table.update_peer_work(digest.instance, digest.work, now, until)
        self.calendar.update_peer(digest.instance, digest.waiting, now, until)
        self.table.data_center_loads.update(digest.data_center, digest.center_loads, now)
        if digest.asks:
            self._answer(digest, now)

    def _answer(self, asking: Digest, now: float) -> None:
        """Tell a peer of another data centre at once, so that it can date what it hears."""
        base = msgspec.structs.replace(
            self.build_digest(now),
            work=(),
            waiting=(),
            quiet=asking.quiet,
            center_loads=self.table.own_data_center_loads(now),
        )
        self._post(base, asking.host, self.peer_table.by_host.get(asking.host))

    def send_soon(self) -> None:
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

    def broadcast_long_prefills(self) -> None:
        """Tell every instance which long prompts of this one are being read.

        In a small fleet the digests that are due at the same time tell everybody.
        """
        if not self.peer_table.is_large or self.transport is None:
            return
        self.sequence += 1
        data = self._long_reads.message(self.sequence, self.clock())
        for host in self.hosts:
            self.bytes_out += len(data)
            self.write(data, host)

    def send_urgent(self) -> None:
        """Send a digest out of turn, also to other data centres: something new was read."""
        self.send(self.clock(), urgent=True)

    def send(self, now: float, urgent: bool = False) -> None:
        """Send a digest to the peers whose turn it is, and now and then to silent hosts."""
        if self.transport is None:
            return
        self._sent_at = now
        self._note_alive(now)
        base = self.build_digest(now)
        news = urgent_fields(base)
        turn = self._fan_out.next_round(self.peer_table, now, news != self._told, urgent)
        if turn.near:
            self._told = news
        near = msgspec.structs.replace(base, quiet=round_up_ms(turn.interval))
        for peer in turn.near:
            self._fan_out.record_bytes(self._post(near, peer.host, peer))
        if turn.far:
            self._ask_far(base, turn, now)
        if now - self._hello_at >= HELLO_SECONDS:
            self._hello_at = now
            quiet = turn.far_interval if self.peer_table.is_large else turn.interval
            self._greet(msgspec.structs.replace(base, quiet=round_up_ms(quiet)), now)

    def _ask_far(self, base: Digest, turn: Round, now: float) -> None:
        """Tell peers of other data centres, and ask for theirs."""
        far = msgspec.structs.replace(
            base,
            work=(),
            waiting=(),
            asks=True,
            quiet=round_up_ms(turn.far_interval),
            center_loads=self.table.own_data_center_loads(now),
        )
        for peer in turn.far:
            self._post(far, peer.host, peer)

    def _greet(self, base: Digest, now: float) -> None:
        """Try hosts that are not heard, and forget those that nobody mentions any more."""
        silent = self.peer_hosts.hosts_to_contact(self.peer_table, now)
        for host in self.rng.sample(silent, min(MOST_HELLOS, len(silent))):
            self._post(base, host, self.peer_table.by_host.get(host))
        self.peer_table.expire(now)
        self.peer_hosts.expire(now)

    def _post(self, base: Digest, host: str, peer: PeerRecord | None) -> int:
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

    def build_digest(self, now: float) -> Digest:
        """What this instance tells, but for the echo."""
        return self._description.build(now)

    def update_silent_data_centers(self, now: float) -> None:
        """Tell the upstreams' table which data centres can't be heard."""
        silent = self.peer_table.silent_data_centers(now)
        for name in silent ^ self.table.silent_data_centers:
            self.log.write(DataCenterChanged(data_center=name, silent=name in silent))
        self.table.silent_data_centers = silent
        self.table.all_peers_report_work = not self.peer_table.is_large

    def _note_alive(self, now: float) -> None:
        alive_peers = self.peer_table.alive(now)
        if self.peer_table.change_count == self._peer_changes:
            return
        self._peer_changes = self.peer_table.change_count
        alive = {peer.instance for peer in alive_peers}
        heard, lost = tuple(sorted(alive - self._alive)), tuple(sorted(self._alive - alive))
        if heard or lost:
            self.log.write(PeersChanged(heard=heard, lost=lost, alive_peers=len(alive)))
        self._alive = alive

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
