"""What instances tell each other several times a second, and the table of those heard.

A digest answers the last digest of its receiver (echo), so that the receiver can date what it
says by its own clock, however long the datagram waited.
"""

from dataclasses import dataclass

import msgspec

from pondpin.relay.choosing.prefill_queue import QueuedPromptDigest
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.upstreams.data_center_loads import DataCenterLoad
from pondpin.relay.upstreams.work import WorkDigest

# 6: upstreams are named by the number of their life; instances of an older format are not heard.
DIGEST_FORMAT = 6
MILLISECONDS = 1000.0
# A peer that was silent for so long is not counted among the live ones: several digests.
ALIVE_SECONDS = 1.2
PEER_EXPIRY_SECONDS = 60.0
# In a large fleet a peer says how long it will be silent; this many such times may pass.
ALIVE_INTERVALS = 3
# Up to so many peers everybody tells everybody: the fleets of today.
SMALL_FLEET_PEERS = 16
# Three digests in a row of every peer of a data centre are missing: it is cut off or down.
SILENT_SECONDS = 0.65
# The same in a large fleet, where each instance asks one peer of a data centre at a time.
LARGE_FLEET_SILENT_SECONDS = 2.0
# After this the sign is too old to avoid a data centre's upstreams by.
SILENCE_EXPIRY_SECONDS = 10.0


class EjectedDigest(msgspec.Struct, frozen=True, array_like=True):
    """A life of an upstream that its sender ejected, or that asked it for rest, and for how many
    more ms it had better be avoided.
    """

    life: int
    remaining_ms: int


class LimitDigest(msgspec.Struct, frozen=True, array_like=True):
    """The limit of a life, -1 for none any more; ages in ms, see LimitWord."""

    life: int
    limit: float
    asked_age: int
    heard_age: int


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """One instance's state for one peer; times in ms, -1 where nothing is known.

    boot is a random number of the sender's life; stamp is the sender's steady clock;
    echo_boot and echo repeat the boot and stamp of the receiver's last digest. quiet is after how
    long the receiver will probably hear the sender again; asks: it wants an answer at once;
    center_loads is told to other data centres, where work on each upstream is not. hosts are some
    of the sender's data centre, far_hosts of others. quarantine_tag is 0, or a number for the ends
    of upstreams that the sender holds against requests. limits: those that upstreams named;
    hands_out: whether the sender may be the home of permits, which one that stops is not.

    epoch: the highest of the source that the sender heard of. version, version_epoch and revision
    are those of the configuration in force, see PublishedVersion. Earlier releases leave them out
    but for the revision: version is None then.
    """

    format: int
    instance: str
    boot: int
    host: str
    sequence: int
    stamp: int
    echo_boot: int
    echo: int
    revision: int
    proof_age: int
    list_tag: int
    list_age: int
    data_center: str
    reads_source: bool
    leaving: tuple[int, ...]
    ejected: tuple[EjectedDigest, ...]
    work: tuple[WorkDigest, ...]
    hosts: tuple[str, ...]
    quiet: int
    asks: bool
    center_loads: tuple[DataCenterLoad, ...] = ()
    waiting: tuple[QueuedPromptDigest, ...] = ()
    far_hosts: tuple[str, ...] = ()
    quarantine_tag: int = 0
    limits: tuple[LimitDigest, ...] = ()
    issues_permits: bool = True
    epoch: int = 0
    version: int | None = None
    version_epoch: int = 0


_DECODER = msgspec.msgpack.Decoder(Digest)
_ENCODER = msgspec.msgpack.Encoder()


def encode_digest(digest: Digest) -> bytes:
    """A digest as a datagram."""
    return _ENCODER.encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """A digest from a datagram; None for anything else."""
    try:
        digest = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return digest if digest.format == DIGEST_FORMAT else None


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer as last heard; heard_at by this process's steady clock."""

    instance: str
    boot: int
    host: str
    sequence: int
    stamp: int
    last_seen_at: float
    data_center: str
    reads_source: bool
    interval: float = 0.0
    issues_permits: bool = True

    @property
    def alive_until(self) -> float:
        """Until when it counts as alive if it is not heard again."""
        return self.last_seen_at + max(ALIVE_SECONDS, ALIVE_INTERVALS * self.interval)

    def is_alive(self, now: float) -> bool:
        """Whether it was heard as lately as it should have been."""
        return now < self.alive_until


class PeerTable:
    """Peers by their host; the live ones are kept up to date as digests come."""

    def __init__(self, own_boot: int) -> None:
        self._own_boot = own_boot
        self.by_host: dict[str, PeerRecord] = {}
        self._alive_by_host: dict[str, PeerRecord] = {}
        # No peer of those falls silent before this.
        self._alive_until = float("inf")
        self._heard_at_by_center: dict[str, float] = {}
        # Rises whenever a peer joins or leaves the live ones.
        self.change_count = 0

    def apply(self, digest: Digest, now: float) -> bool:
        """Note a digest; False for one's own, or one that was overtaken by a later one."""
        if digest.boot == self._own_boot:
            return False
        known = self.by_host.get(digest.host)
        if known is not None and known.boot == digest.boot and digest.sequence <= known.sequence:
            return False
        seen = PeerRecord(
            digest.instance,
            digest.boot,
            digest.host,
            digest.sequence,
            digest.stamp,
            now,
            digest.data_center,
            digest.reads_source,
            digest.quiet / MILLISECONDS,
            digest.issues_permits,
        )
        self.by_host[digest.host] = seen
        self._heard_at_by_center[seen.data_center] = now
        self._note_alive(seen, known)
        return True

    def _note_alive(self, seen: PeerRecord, known: PeerRecord | None) -> None:
        is_same = known is not None and known.instance == seen.instance
        if not is_same or seen.host not in self._alive_by_host:
            self.change_count += 1
        self._alive_by_host[seen.host] = seen
        self._alive_until = min(self._alive_until, seen.alive_until)

    @property
    def is_large(self) -> bool:
        """Whether there are too many peers to tell everybody everything."""
        return len(self.by_host) > SMALL_FLEET_PEERS

    def alive(self, now: float) -> list[PeerRecord]:
        """Peers heard lately."""
        if now >= self._alive_until:
            self._drop_silent(now)
        return list(self._alive_by_host.values())

    def _drop_silent(self, now: float) -> None:
        alive = [peer for peer in self._alive_by_host.values() if peer.is_alive(now)]
        if len(alive) < len(self._alive_by_host):
            self.change_count += 1
        self._alive_by_host = {peer.host: peer for peer in alive}
        self._alive_until = min((peer.alive_until for peer in alive), default=float("inf"))

    def silent_data_centers(self, now: float) -> frozenset[str]:
        """Data centres whose peers were heard a while ago and are all silent now."""
        limit = LARGE_FLEET_SILENT_SECONDS if self.is_large else SILENT_SECONDS
        return frozenset(
            name
            for name, heard_at in self._heard_at_by_center.items()
            if limit < now - heard_at < SILENCE_EXPIRY_SECONDS
        )

    def expire(self, now: float) -> list[PeerRecord]:
        """Drop peers that are long silent; returns them."""
        gone = [
            peer for peer in self.by_host.values() if now - peer.last_seen_at > PEER_EXPIRY_SECONDS
        ]
        for peer in gone:
            del self.by_host[peer.host]
        return gone

    def rank(self, instance: str, data_center: str, now: float) -> int:
        """How many live peers come before this instance among those the source answers.

        In a large fleet only neighbours are compared, since others are seldom heard; the data
        centres have an order of their own.
        """
        readers = [peer for peer in self.alive(now) if peer.reads_source]
        if not self.is_large:
            return sum(1 for peer in readers if peer.instance < instance)
        near = [peer for peer in readers if peer.data_center == data_center]
        others = {peer.data_center for peer in readers} - self.silent_data_centers(now)
        before = sum(1 for name in others if name < data_center)
        return before + sum(1 for peer in near if peer.instance < instance)


def digest_version(digest: Digest, in_force: PublishedVersion) -> PublishedVersion | None:
    """The configuration that a peer has in force, None for none.

    An earlier release tells its revision only: that can be compared while the source has named no
    epoch.
    """
    if digest.version is None:
        if not digest.revision:
            return None
        return PublishedVersion(in_force.version, 0, digest.revision)
    return PublishedVersion(digest.version, digest.version_epoch, digest.revision)


def echo_sent_at(digest: Digest, own_boot: int) -> float | None:
    """When this process sent the digest that the peer had heard; None when it had heard none."""
    if digest.echo < 0 or digest.echo_boot != own_boot:
        return None
    return digest.echo / MILLISECONDS
