"""Shares life ends that are attributed to requests among instances.

Ends are broadcast at once. Digests carry a hash of all that count; a receiver with another hash
sends its most important ends, so an instance that starts, or returns from a partition, has them
with the first digests.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from pondpin.clocks import Clock
from pondpin.quarantine import NamedEnd, Quarantine
from pondpin.quarantine_messages import EndReport, build_report, parse_report
from pondpin.relay.peers.digest_fields import LastMessage
from pondpin.relay.peers.digests import Digest

# First number of a message, distinct from other formats.
QUARANTINE_FORMAT = 1002
# An end takes 30 bytes: these fit a datagram without IP fragmentation.
ENDS_IN_MESSAGE = 36
# Sent to a peer with another hash, once per interval at most.
ENDS_TO_SYNC = 2 * ENDS_IN_MESSAGE
SYNC_INTERVAL_SECONDS = 0.4


class QuarantineMessage(msgspec.Struct, frozen=True, array_like=True):
    """Ends; running: the sender's suspected requests and their lives. sequence is per boot."""

    format: int
    instance: str
    boot: int
    sequence: int
    ends: tuple[EndReport, ...]
    running: tuple[tuple[int, int], ...]


_DECODER = msgspec.msgpack.Decoder(QuarantineMessage)
_ENCODER = msgspec.msgpack.Encoder()


def decode_quarantine(data: bytes) -> QuarantineMessage | None:
    """Decode a message; None for any other datagram."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.format == QUARANTINE_FORMAT else None


@dataclass
class QuarantineSync:
    """Sends ends and running suspected requests, and applies those of peers.

    write sends a datagram to a host; on_received gets the ends of a peer.
    """

    instance: str
    boot: int
    quarantine: Quarantine
    write: Callable[[bytes, str], None]
    hosts: Callable[[], Collection[str]]
    clock: Clock
    on_received: Callable[[str, Sequence[NamedEnd]], None] = lambda source, ends: None
    running_by_identity: dict[int, int] = field(default_factory=dict)
    sequence: int = 0
    bytes_out: int = 0
    # Whether a peer has sent its ends, or the same hash.
    is_synced: bool = False

    def __post_init__(self) -> None:
        self._last_by_peer: dict[str, LastMessage] = {}
        # By host and boot.
        self._synced_at_by_process: dict[tuple[str, int], float] = {}

    def broadcast(self, ends: Sequence[NamedEnd] = ()) -> None:
        """Send ends and running suspected requests to all."""
        for data in self._encode_messages(ends):
            for host in self.hosts():
                self._send(data, host)

    def _encode_messages(self, ends: Sequence[NamedEnd]) -> Iterable[bytes]:
        now = self.clock()
        for start in range(0, max(1, len(ends)), ENDS_IN_MESSAGE):
            self.sequence += 1
            part = ends[start : start + ENDS_IN_MESSAGE]
            yield _ENCODER.encode(
                QuarantineMessage(
                    QUARANTINE_FORMAT,
                    self.instance,
                    self.boot,
                    self.sequence,
                    tuple(build_report(item, now) for item in part),
                    tuple(self.running_by_identity.items()),
                )
            )

    def _send(self, data: bytes, host: str) -> None:
        self.bytes_out += len(data)
        self.write(data, host)

    def receive(self, data: bytes, now: float) -> bool:
        """Apply a message; False for any other datagram."""
        message = decode_quarantine(data)
        if message is None:
            return False
        if message.boot != self.boot:
            self._apply(message, now)
        return True

    def _apply(self, message: QuarantineMessage, now: float) -> None:
        self.is_synced = True
        ends = [parse_report(item, message.instance, now) for item in message.ends]
        improved = self.quarantine.merge_ends(ends, now)
        last = self._last_by_peer.get(message.instance)
        if last is None or message.sequence > last.last_sequence(message.boot):
            self._last_by_peer[message.instance] = LastMessage(message.boot, message.sequence)
            self._apply_running(message, now)
        if ends:
            self.on_received(message.instance, ends)
        if improved:
            self.broadcast(improved)

    def _apply_running(self, message: QuarantineMessage, now: float) -> None:
        running = dict(message.running)
        for identity, runs in list(self.quarantine.runs_by_identity.items()):
            if message.instance in runs and identity not in running:
                self.quarantine.end_run(identity, message.instance)
        for identity, life in message.running:
            self.quarantine.begin_run(identity, message.instance, life, now)

    def sync_peer(self, digest: Digest, now: float) -> None:
        """Send ends to a peer with another hash, without delay after its start."""
        if digest.quarantine_tag == self.quarantine.fingerprint:
            self.is_synced = True
            return
        if not self.quarantine.fingerprint:
            return
        process = (digest.host, digest.boot)
        if now - self._synced_at_by_process.get(process, float("-inf")) < SYNC_INTERVAL_SECONDS:
            return
        self._synced_at_by_process[process] = now
        for data in self._encode_messages(self.quarantine.top_ends(ENDS_TO_SYNC)):
            self._send(data, digest.host)

    def expire(self, now: float) -> None:
        """Remove times that delay no sync."""
        self._synced_at_by_process = {
            process: at
            for process, at in self._synced_at_by_process.items()
            if now - at < SYNC_INTERVAL_SECONDS
        }
