"""What instances tell each other of the long prompts that they have read at the moment."""

from pondpin.relay.peers.digest_fields import LastMessage
from pondpin.relay.upstreams.long_prefills import (
    LONG_PREFILLS_FORMAT,
    LongPrefills,
    decode_long_prefills,
    encode_long_prefills,
)
from pondpin.relay.upstreams.table import UpstreamTable


class LongPrefillSync:
    """Makes the messages of an instance, and takes those of others in their order."""

    def __init__(self, instance: str, boot: int, table: UpstreamTable) -> None:
        self._instance = instance
        self._boot = boot
        self._table = table
        self._last_by_peer: dict[str, LastMessage] = {}

    def message(self, sequence: int, now: float) -> bytes:
        """What this instance has read now, as a datagram."""
        reads = self._table.own_long_prefills(now)
        told = LongPrefills(LONG_PREFILLS_FORMAT, self._instance, self._boot, sequence, reads)
        return encode_long_prefills(told)

    def receive(self, data: bytes, now: float) -> bool:
        """Take a datagram; False when it is none of these."""
        told = decode_long_prefills(data)
        if told is None:
            return False
        self.apply(told, now)
        return True

    def apply(self, told: LongPrefills, now: float) -> None:
        """Believe what an instance says, unless it is this one or has said more since."""
        last = self._last_by_peer.get(told.instance)
        is_old = last is not None and told.sequence <= last.last_sequence(told.boot)
        if told.boot == self._boot or is_old:
            return
        self._last_by_peer[told.instance] = LastMessage(told.boot, told.sequence)
        self._table.update_long_prefills(told.instance, told.prefills, now)
