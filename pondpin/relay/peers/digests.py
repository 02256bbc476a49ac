"""Digests, which instances exchange several times a second, and the table of peers.

A digest echoes the stamp of its receiver's last digest, so the receiver can date the contents by
its own clock, however long the datagram was in transit.
"""

from dataclasses import dataclass

import msgspec

from pondpin.relay.choosing.prefill_digest import QueuedPromptDigest
from pondpin.relay.published.evacuation_digest import EvacuationsDigest
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.upstreams.data_center_loads import DataCenterLoad
from pondpin.relay.upstreams.work import WorkDigest

# 6: upstreams are identified by life. Digests of other formats are ignored.
DIGEST_FORMAT = 6
MILLISECONDS = 1000.0
# A peer is alive for this long, several periods, after its last digest.
ALIVE_SECONDS = 1.2
PEER_EXPIRY_SECONDS = 60.0
# In a large fleet, a peer is alive for this many of its announced intervals.
ALIVE_INTERVALS = 3
# Up to this many peers, as in today's fleets, each instance sends to all others.
SMALL_FLEET_PEERS = 16
# All peers of a data centre missed three digests: it is partitioned or down.
SILENT_SECONDS = 0.65
# In a large fleet, instances contact one peer of another data centre at a time.
LARGE_FLEET_SILENT_SECONDS = 2.0
# Older silence is no reason to avoid the upstreams of a data centre.
SILENCE_EXPIRY_SECONDS = 10.0


class EjectedDigest(msgspec.Struct, frozen=True, array_like=True):
    """A life to avoid: ejected by the sender, or resting by its own request."""

    life: int
    remaining_ms: int


class LimitDigest(msgspec.Struct, frozen=True, array_like=True):
    """Limit of a life, -1 once lifted; request_age, answer_age: in ms, see LimitReport."""

    life: int
    limit: float
    request_age: int
    answer_age: int


class ColdDigest(msgspec.Struct, frozen=True, array_like=True):
    """A life that is cold for some time, 0 if not any more, as stated age_ms ago."""

    life: int
    remaining_ms: int
    age_ms: int


class RefusedDigest(msgspec.Struct, frozen=True, array_like=True):
    """A refused caller: lower bits of its request's identity, and ms until it should return."""

    identity: int
    wait: int


class DigestExtension(msgspec.Struct, frozen=True, array_like=True):
    """State that few fleets have: evacuations, cold or contended upstreams, refused callers.

    contended: lives that had no free slot. refused: the newest callers that the sender refused.
    is_cut: it has lost its links to the upstreams.
    """

    evacuations: EvacuationsDigest | None = None
    cold: tuple[ColdDigest, ...] = ()
    contended: tuple[int, ...] = ()
    refused: tuple[RefusedDigest, ...] = ()
    is_cut: bool = False


NO_EXTENSION = DigestExtension()


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State of one instance, for one peer; times in ms, -1 for unknown.

    boot: random number of the process; stamp: its steady clock; echo_boot, echo: boot and stamp of
    the receiver's last digest. interval_ms: expected time to the receiver's next digest.
    data_center_loads: sent to other data centres instead of work. hosts: a sample from the sender's
    data centre; remote_hosts: from others. quarantine_tag: hash of the life ends attributed to
    requests, 0 for none. issues_permits: False while the sender stops.

    epoch: highest known of the source. version, version_epoch, revision: configuration in force,
    see PublishedVersion. Earlier releases send only the revision: version is None.
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
    interval_ms: int
    wants_reply: bool
    data_center_loads: tuple[DataCenterLoad, ...] = ()
    queued_prompts: tuple[QueuedPromptDigest, ...] = ()
    remote_hosts: tuple[str, ...] = ()
    quarantine_tag: int = 0
    limits: tuple[LimitDigest, ...] = ()
    issues_permits: bool = True
    epoch: int = 0
    version: int | None = None
    version_epoch: int = 0
    extension: DigestExtension | None = None


_DECODER = msgspec.msgpack.Decoder(Digest)
_ENCODER = msgspec.msgpack.Encoder()


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest; without an extension, it is as short as that of an earlier release."""
    if digest.extension is None:
        return _ENCODER.encode(msgspec.structs.astuple(digest)[:-1])
    return _ENCODER.encode(digest)


def decode_digest(data: bytes) -> Digest | None:
    """Decode a digest; None for any other datagram."""
    try:
        digest = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return digest if digest.format == DIGEST_FORMAT else None


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """A peer by its last digest."""

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
    is_cut: bool = False

    @property
    def alive_until(self) -> float:
        """When it ceases to be alive."""
        return self.last_seen_at + max(ALIVE_SECONDS, ALIVE_INTERVALS * self.interval)

    def is_alive(self, now: float) -> bool:
        """Whether no digest is overdue."""
        return now < self.alive_until


class PeerTable:
    """Known and live peers by host."""

    def __init__(self, own_boot: int) -> None:
        self._own_boot = own_boot
        self.by_host: dict[str, PeerRecord] = {}
        self._alive_by_host: dict[str, PeerRecord] = {}
        # Lower bound on alive_until of live peers.
        self._alive_until = float("inf")
        self.seen_at_by_data_center: dict[str, float] = {}
        # Changes of the live peers.
        self.change_count = 0

    def apply(self, digest: Digest, now: float) -> bool:
        """Record a digest; False for an own or an outdated one."""
        if digest.boot == self._own_boot:
            return False
        last = self.by_host.get(digest.host)
        if last is not None and last.boot == digest.boot and digest.sequence <= last.sequence:
            return False
        record = PeerRecord(
            digest.instance,
            digest.boot,
            digest.host,
            digest.sequence,
            digest.stamp,
            now,
            digest.data_center,
            digest.reads_source,
            digest.interval_ms / MILLISECONDS,
            digest.issues_permits,
            digest.extension is not None and digest.extension.is_cut,
        )
        self.by_host[digest.host] = record
        self.seen_at_by_data_center[record.data_center] = now
        self._add_alive(record, last)
        return True

    def _add_alive(self, record: PeerRecord, last: PeerRecord | None) -> None:
        is_same = last is not None and last.instance == record.instance
        if not is_same or record.host not in self._alive_by_host:
            self.change_count += 1
        self._alive_by_host[record.host] = record
        self._alive_until = min(self._alive_until, record.alive_until)

    @property
    def is_large(self) -> bool:
        """Whether peers are too many to send all digests to all."""
        return len(self.by_host) > SMALL_FLEET_PEERS

    def alive(self, now: float) -> list[PeerRecord]:
        """The live peers."""
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
        """Data centres whose peers have all become silent recently."""
        limit = LARGE_FLEET_SILENT_SECONDS if self.is_large else SILENT_SECONDS
        return frozenset(
            name
            for name, seen_at in self.seen_at_by_data_center.items()
            if limit < now - seen_at < SILENCE_EXPIRY_SECONDS
        )

    def expire(self, now: float) -> list[PeerRecord]:
        """Remove and return peers that are long silent."""
        expired = [
            peer for peer in self.by_host.values() if now - peer.last_seen_at > PEER_EXPIRY_SECONDS
        ]
        for peer in expired:
            del self.by_host[peer.host]
        return expired

    def rank(self, instance: str, data_center: str, now: float) -> int:
        """Number of live peers that read the source before this instance.

        Large fleets compare local peers, since others rarely send, and rank data centres by name.
        """
        readers = [peer for peer in self.alive(now) if peer.reads_source]
        if not self.is_large:
            return sum(1 for peer in readers if peer.instance < instance)
        local = [peer for peer in readers if peer.data_center == data_center]
        others = {peer.data_center for peer in readers} - self.silent_data_centers(now)
        before = sum(1 for name in others if name < data_center)
        return before + sum(1 for peer in local if peer.instance < instance)


def digest_version(digest: Digest, in_force: PublishedVersion) -> PublishedVersion | None:
    """The configuration that a peer has in force, None for none.

    Earlier releases send a revision only, which compares until the source names an epoch.
    """
    if digest.version is None:
        if not digest.revision:
            return None
        return PublishedVersion(in_force.version, 0, digest.revision)
    return PublishedVersion(digest.version, digest.version_epoch, digest.revision)


def echo_sent_at(digest: Digest, own_boot: int) -> float | None:
    """When this process sent the echoed digest; None without an echo."""
    if digest.echo < 0 or digest.echo_boot != own_boot:
        return None
    return digest.echo / MILLISECONDS
