"""Exchanges digests with peers over datagrams."""

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
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import (
    DataCenterChanged,
    FetchFailed,
    PeersChanged,
    UpstreamLeaving,
)
from pondpin.relay.mechanisms import Mechanism
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
    from pondpin.relay.choosing.prefill_queue import PrefillQueue
    from pondpin.relay.peers.limit_enforcement import LimitEnforcement
    from pondpin.relay.peers.long_prefill_sync import LongPrefillSync
    from pondpin.relay.peers.slot_enforcement import SlotEnforcement
    from pondpin.relay.published.evacuations import Evacuations
    from pondpin.relay.published.pieces import PiecePort

# send_soon waits until this long after the last digest.
MIN_SEND_INTERVAL_SECONDS = 0.03
# Silent hosts are contacted this often, at most MAX_CONTACTS at a time.
CONTACT_INTERVAL_SECONDS = 1.0
MAX_CONTACTS = 16
# Messages about slots begin with their format 1005, after the length of their array.
SLOTS_FORMAT_BYTES = b"\xcd\x03\xed"


@dataclass
class Gossip:
    """Owns the datagram socket and the table of peers."""

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
    is_cut: Callable[[], bool] = lambda: False
    # None where orders to evacuate data centres are not read.
    evacuations: "Evacuations | None" = None
    quarantine: Quarantine = field(default_factory=Quarantine)
    sequence: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    # A stopping instance still serves, but owns no permits.
    is_stopping: bool = False

    def __post_init__(self) -> None:
        self.started_at = self.clock()
        self.peer_table = PeerTable(self.boot)
        self._fan_out = FanOut(self.table.data_center, self.rng)
        self._sent_fields: tuple[object, ...] = ()
        self.peer_hosts = PeerHosts(self.address.host, self.table.data_center, self.seeds)
        self._change_count = 0
        self._contacted_at = 0.0
        self._sent_at = 0.0
        self._send_pending = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._live: set[str] = set()
        self.quarantine_sync = QuarantineSync(
            self.instance, self.boot, self.quarantine, self.write, lambda: self.hosts, self.clock
        )
        self._builder = DigestBuilder(self)
        self._published = PublishedSync(self)
        self.transport: DatagramPort | None = None

    @property
    def hosts(self) -> frozenset[str]:
        """Hosts of known and possible peers."""
        return self.peer_hosts.all

    @property
    def has_live_peers(self) -> bool:
        """Whether any peer was alive at the last send."""
        return bool(self._live)

    @cached_property
    def limits(self) -> "LimitEnforcement":
        """Enforcement of limits, imported once an upstream reports one, as few do."""
        from pondpin.relay.peers.limit_enforcement import LimitEnforcement

        return LimitEnforcement(self)

    @cached_property
    def slots(self) -> "SlotEnforcement":
        """Slots of contended upstreams, imported with the first evidence of contention."""
        from pondpin.relay.peers.slot_enforcement import SlotEnforcement

        return SlotEnforcement(self)

    @cached_property
    def prefill_queue(self) -> "PrefillQueue":
        """Imported with the first long prompt that is queued here or at a peer."""
        from pondpin.relay.choosing.prefill_queue import PrefillQueue

        return PrefillQueue()

    @property
    def has_prefill_queue(self) -> bool:
        """Whether any long prompt has been queued so far."""
        return "prefill_queue" in self.__dict__

    @cached_property
    def _long_prefills(self) -> "LongPrefillSync":
        """Imported for long prompts in large fleets."""
        from pondpin.relay.peers.long_prefill_sync import LongPrefillSync

        return LongPrefillSync(self.instance, self.boot, self.table)

    def record_sent(self, state: UpstreamState) -> None:
        """Charge a send without a permit to the limit of its upstream."""
        if state.is_limited:
            self.limits.permits.record_spent(state)

    def record_life_sent(self, life: int) -> None:
        """As record_sent, by life."""
        state = self.table.by_life(life)
        if state is not None:
            self.record_sent(state)

    def rank(self, now: float) -> int:
        """Rank among the live peers that read the source."""
        return self.peer_table.rank(self.instance, self.table.data_center, now)

    def trial_rank(self, identity: int) -> int:
        """How many live instances may try a quarantined request before this one."""
        return compute_trial_rank(identity, self.instance, self._live)

    def count_reporting_peers(self) -> int:
        """Count peers that report work; in a large fleet, local ones."""
        if not self.peer_table.is_large:
            return len(self.hosts)
        alive = self.peer_table.alive(self.clock())
        return sum(1 for peer in alive if peer.data_center == self.table.data_center)

    def listen(self) -> None:
        """Open the socket."""
        endpoint = Endpoint(self.address.host, self.address.datagram_port)
        self.transport = DatagramSocket(endpoint, self.receive)

    def close(self) -> None:
        """Close the socket and cancel tasks."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self._published.close()
        if "limits" in self.__dict__:
            self.limits.permits.close()
        if self.table.contention is not None:
            self.slots.broker.close()
        for task in self._tasks:
            task.cancel()

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        self.bytes_in += len(data)
        digest = decode_digest(data)
        if digest is not None:
            self.apply(digest, self.clock())
            return
        if data[1:4] == SLOTS_FORMAT_BYTES:
            if self.table.is_enabled(Mechanism.SLOT_GRANTS):
                self.slots.broker.receive(data)
            return
        now = self.clock()
        handled = self.quarantine_sync.receive(data, now) or self._long_prefills.receive(data, now)
        if not handled:
            self.limits.receive(data, now)

    def apply(self, digest: Digest, now: float) -> None:
        """Apply a digest, dated by the own clock."""
        if not self.peer_table.apply(digest, now):
            return
        self.quarantine_sync.sync_peer(digest, now)
        any_new = self.peer_hosts.add((digest.host, *digest.hosts), digest.data_center, now)
        if self.peer_hosts.add(digest.remote_hosts, "", now) or any_new:
            # Contact new hosts with the next digests.
            self._contacted_at = float("-inf")
        self._published.receive(digest, now)
        for life in digest.leaving:
            if self.table.mark_leaving(life, f"peer {digest.instance}", now):
                name = self.table.label_of(life)
                self.log.write(UpstreamLeaving(upstream=name, source=f"peer {digest.instance}"))
        if digest.limits:
            self.limits.sync.apply(digest.limits, digest.instance, now)
        if digest.extension is not None and self.table.cold_starts is not None:
            self.limits.apply_cold(digest.extension.cold, digest.instance, now)
        for ejected in digest.ejected:
            self.table.suspect(ejected.life, now + ejected.remaining_ms / MILLISECONDS)
        interval = digest.interval_ms / MILLISECONDS
        until = now + max(PEER_LOAD_SECONDS, ALIVE_INTERVALS * interval)
        self.table.update_peer_work(digest.instance, digest.work, now, until)
        if digest.queued_prompts or self.has_prefill_queue:
            self.prefill_queue.update_peer(digest.instance, digest.queued_prompts, now, until)
        self.table.data_center_loads.update(digest.data_center, digest.data_center_loads, now)
        extension = digest.extension
        has_slots = extension is not None and (extension.contended or extension.refused)
        if extension is not None and has_slots and self.table.is_enabled(Mechanism.SLOT_GRANTS):
            self.slots.apply(extension, now)
        if digest.wants_reply:
            self._reply(digest, now)

    def _reply(self, request: Digest, now: float) -> None:
        # At once, so that the peer can date the contents.
        base = msgspec.structs.replace(
            self.build_digest(now),
            work=(),
            queued_prompts=(),
            interval_ms=request.interval_ms,
            data_center_loads=self.table.own_data_center_loads(now),
        )
        self._send_digest(base, request.host, self.peer_table.by_host.get(request.host))

    def send_soon(self) -> None:
        """Send a digest soon, before the next period."""
        wait = self._sent_at + MIN_SEND_INTERVAL_SECONDS - self.clock()
        if wait <= 0:
            self.send(self.clock())
        elif not self._send_pending:
            self._send_pending = True
            self._spawn(self._send_after(wait))

    async def _send_after(self, wait: float) -> None:
        await asyncio.sleep(wait)
        self._send_pending = False
        self.send(self.clock())

    def broadcast_long_prefills(self) -> None:
        """Send the own long prefills to all; in a small fleet, digests do so."""
        if not self.peer_table.is_large or self.transport is None:
            return
        self.sequence += 1
        data = self._long_prefills.message(self.sequence, self.clock())
        for host in self.hosts:
            self.bytes_out += len(data)
            self.write(data, host)

    def send_urgent(self) -> None:
        """Send a digest to all data centres, after a read of the source."""
        self.send(self.clock(), urgent=True)

    def send(self, now: float, urgent: bool = False) -> None:
        """Send the digests of a round, and contact silent hosts."""
        if self.transport is None:
            return
        self._sent_at = now
        self._update_live(now)
        base = self.build_digest(now)
        fields = urgent_fields(base)
        targets = self._fan_out.next_round(
            self.peer_table, now, fields != self._sent_fields, urgent
        )
        if targets.local:
            self._sent_fields = fields
        local = msgspec.structs.replace(base, interval_ms=round_up_ms(targets.interval))
        for peer in targets.local:
            self._fan_out.record_bytes(self._send_digest(local, peer.host, peer))
        if targets.remote:
            self._send_remote(base, targets, now)
        if now - self._contacted_at >= CONTACT_INTERVAL_SECONDS:
            self._contacted_at = now
            interval = targets.remote_interval if self.peer_table.is_large else targets.interval
            self._contact(msgspec.structs.replace(base, interval_ms=round_up_ms(interval)), now)

    def _send_remote(self, base: Digest, targets: Round, now: float) -> None:
        remote = msgspec.structs.replace(
            base,
            work=(),
            queued_prompts=(),
            wants_reply=True,
            interval_ms=round_up_ms(targets.remote_interval),
            data_center_loads=self.table.own_data_center_loads(now),
        )
        for peer in targets.remote:
            self._send_digest(remote, peer.host, peer)

    def _contact(self, base: Digest, now: float) -> None:
        silent = self.peer_hosts.hosts_to_contact(self.peer_table, now)
        for host in self.rng.sample(silent, min(MAX_CONTACTS, len(silent))):
            self._send_digest(base, host, self.peer_table.by_host.get(host))
        self.peer_table.expire(now)
        self.peer_hosts.expire(now)

    def _send_digest(self, base: Digest, host: str, peer: PeerRecord | None) -> int:
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
            # Datagrams may be lost; the next digest follows soon.
            self.log.write(FetchFailed(peer=host, reason=f"datagram: {error}"))

    def build_digest(self, now: float) -> Digest:
        """See DigestBuilder."""
        return self._builder.build(now)

    def update_silent_data_centers(self, now: float) -> None:
        """Pass silent data centres to the table of upstreams."""
        silent = self.peer_table.silent_data_centers(now)
        for name in silent ^ self.table.silent_data_centers:
            self.log.write(DataCenterChanged(data_center=name, silent=name in silent))
        self.table.silent_data_centers = silent
        self.table.all_peers_report_work = not self.peer_table.is_large

    def _update_live(self, now: float) -> None:
        alive_peers = self.peer_table.alive(now)
        if self.peer_table.change_count == self._change_count:
            return
        self._change_count = self.peer_table.change_count
        alive = {peer.instance for peer in alive_peers}
        found, lost = tuple(sorted(alive - self._live)), tuple(sorted(self._live - alive))
        if found or lost:
            self.log.write(PeersChanged(heard=found, lost=lost, alive_peers=len(alive)))
        self._live = alive

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
