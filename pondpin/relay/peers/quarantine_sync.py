"""What instances tell each other of requests that end workers.

An end is told to every instance at once. A digest carries a number for all that its sender
believes; whoever believes something else sends the ends that matter most, so that an instance that
starts, or comes back from a cut, has them with the first digests.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from pondpin.clocks import Clock
from pondpin.quarantine import NamedEnd, Quarantine
from pondpin.quarantine_messages import EndReport, build_report, parse_report
from pondpin.relay.peers.digest_fields import LastMessage
from pondpin.relay.peers.digests import Digest

# The first number of a message; digests and long reads have theirs there.
QUARANTINE_FORMAT = 1002
# An end takes 30 bytes; so many fill a datagram that is not cut in pieces on its way.
ENDS_IN_MESSAGE = 36
# A peer that believes something else is sent this many ends, at most so often.
ENDS_TO_SYNC = 2 * ENDS_IN_MESSAGE
SYNC_SECONDS = 0.4


class QuarantineMessage(msgspec.Struct, frozen=True, array_like=True):
    """Ends, and the suspects that the sender runs now, each with the life that it runs on.

    sequence rises within a boot.
    """

    format: int
    instance: str
    boot: int
    sequence: int
    ends: tuple[EndReport, ...]
    running: tuple[tuple[int, int], ...]


_DECODER = msgspec.msgpack.Decoder(QuarantineMessage)
_ENCODER = msgspec.msgpack.Encoder()


def decode_quarantine(data: bytes) -> QuarantineMessage | None:
    """A message from a datagram; None for anything else."""
    try:
        found = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return found if found.format == QUARANTINE_FORMAT else None


@dataclass
class QuarantineSync:
    """Tells what this instance saw, and takes what others tell.

    write sends a datagram to a host; on_heard is called when a peer's word was taken.
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
    # Whether any peer has told what it believes, or that it believes the same.
    is_synced: bool = False

    def __post_init__(self) -> None:
        """Set up what was told last."""
        self._last_by_peer: dict[str, LastMessage] = {}
        # When a peer's life, named by host and boot, was sent all that matters.
        self._synced_at_by_life: dict[tuple[str, int], float] = {}

    def broadcast(self, ends: Sequence[NamedEnd] = ()) -> None:
        """Tell every instance of ends, and which suspects run here."""
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
        """Take a datagram; False when it is none of these."""
        told = decode_quarantine(data)
        if told is None:
            return False
        if told.boot != self.boot:
            self._take(told, now)
        return True

    def _take(self, told: QuarantineMessage, now: float) -> None:
        self.is_synced = True
        ends = [parse_report(item, told.instance, now) for item in told.ends]
        better = self.quarantine.merge_ends(ends, now)
        last = self._last_by_peer.get(told.instance)
        if last is None or told.sequence > last.last_sequence(told.boot):
            self._last_by_peer[told.instance] = LastMessage(told.boot, told.sequence)
            self._take_running(told, now)
        if ends:
            self.on_received(told.instance, ends)
        if better:
            self.broadcast(better)

    def _take_running(self, told: QuarantineMessage, now: float) -> None:
        running = dict(told.running)
        for identity, runs in list(self.quarantine.runs_by_identity.items()):
            if told.instance in runs and identity not in running:
                self.quarantine.end_run(identity, told.instance)
        for identity, life in told.running:
            self.quarantine.begin_run(identity, told.instance, life, now)

    def sync_peer(self, digest: Digest, now: float) -> None:
        """A peer's digest came: send it what it seems to lack, at once if it has just started."""
        if digest.quarantine_tag == self.quarantine.fingerprint:
            self.is_synced = True
            return
        if not self.quarantine.fingerprint:
            return
        life = (digest.host, digest.boot)
        if now - self._synced_at_by_life.get(life, float("-inf")) < SYNC_SECONDS:
            return
        self._synced_at_by_life[life] = now
        for data in self._encode_messages(self.quarantine.top_ends(ENDS_TO_SYNC)):
            self._send(data, digest.host)

    def expire(self, now: float) -> None:
        """Drop what is no reason to wait any more."""
        self._synced_at_by_life = {
            life: at for life, at in self._synced_at_by_life.items() if now - at < SYNC_SECONDS
        }
