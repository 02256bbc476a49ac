"""Exchanges the current long prefills among instances of a large fleet."""

from pondpin.relay.peers.digest_fields import LastMessage
from pondpin.relay.upstreams.long_prefills import (
    LONG_PREFILLS_FORMAT,
    LongPrefills,
    decode_long_prefills,
    encode_long_prefills,
)
from pondpin.relay.upstreams.table import UpstreamTable


class LongPrefillSync:
    """Encodes the messages of an instance, and applies those of peers in order."""

    def __init__(self, instance: str, boot: int, table: UpstreamTable) -> None:
        self._instance = instance
        self._boot = boot
        self._table = table
        self._last_by_peer: dict[str, LastMessage] = {}

    def message(self, sequence: int, now: float) -> bytes:
        """Encode the current long prefills of this instance."""
        prefills = self._table.own_long_prefills(now)
        message = LongPrefills(LONG_PREFILLS_FORMAT, self._instance, self._boot, sequence, prefills)
        return encode_long_prefills(message)

    def receive(self, data: bytes, now: float) -> bool:
        """Apply a long prefills message; False for any other datagram."""
        message = decode_long_prefills(data)
        if message is None:
            return False
        self.apply(message, now)
        return True

    def apply(self, message: LongPrefills, now: float) -> None:
        """Apply a message of a peer unless a later one was applied."""
        last = self._last_by_peer.get(message.instance)
        is_outdated = last is not None and message.sequence <= last.last_sequence(message.boot)
        if message.boot == self._boot or is_outdated:
            return
        self._last_by_peer[message.instance] = LastMessage(message.boot, message.sequence)
        self._table.update_long_prefills(message.instance, message.prefills, now)
