"""Entries removed from the list, which a restored source may list again."""

from collections import OrderedDict
from dataclasses import dataclass

from pondpin.relay.model import ListedUpstream

# Ten times the upstreams of the largest fleet.
MAX_REMOVED_ENTRIES = 10_000


@dataclass(frozen=True, slots=True)
class RemovedEntry:
    """The last entry of a life before its removal; epoch is the source's at that time."""

    born: int | None
    sequence: int
    epoch: int


class RemovedEntries:
    """Distinguishes an entry of a restored copy from one that its upstream has written again.

    A life numbers its writes: an entry of a later epoch whose sequence is no higher than the last
    known one comes from the copy, and the upstream has not written it since.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[str, RemovedEntry] = OrderedDict()

    def record(self, key: str, entry: ListedUpstream, epoch: int) -> None:
        """Record the removal of an entry."""
        self._by_key[key] = RemovedEntry(entry.born, entry.sequence, epoch)
        self._by_key.move_to_end(key)
        while len(self._by_key) > MAX_REMOVED_ENTRIES:
            self._by_key.popitem(last=False)

    def is_restored_copy(self, key: str, entry: ListedUpstream, epoch: int) -> bool:
        """Whether an entry of an epoch is an old one of a life that was removed before."""
        removed = self._by_key.get(key)
        if removed is None or removed.born != entry.born:
            return False
        return epoch > removed.epoch and entry.sequence <= removed.sequence

    def discard(self, key: str) -> None:
        """Discard a key that is listed again."""
        self._by_key.pop(key, None)
