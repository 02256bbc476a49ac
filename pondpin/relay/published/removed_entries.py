"""Entries of the list that were given up, which a restored source may bring back."""

from collections import OrderedDict
from dataclasses import dataclass

from pondpin.relay.model import ListedUpstream

# Ten times the upstreams of the largest fleet.
MOST_GONE_ENTRIES = 10_000


@dataclass(frozen=True, slots=True)
class GoneEntry:
    """The last entry of a life before it was given up; epoch is the source's at that time."""

    born: int | None
    sequence: int
    epoch: int


class RemovedEntries:
    """Tells an entry of a restored copy from one that its upstream wrote again.

    A life counts its writes: an entry of a later epoch whose sequence is no higher than the last
    one known comes from the copy, and the upstream has not written it since.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[str, GoneEntry] = OrderedDict()

    def record(self, key: str, entry: ListedUpstream, epoch: int) -> None:
        """An entry was given up."""
        self._by_key[key] = GoneEntry(entry.born, entry.sequence, epoch)
        self._by_key.move_to_end(key)
        while len(self._by_key) > MOST_GONE_ENTRIES:
            self._by_key.popitem(last=False)

    def is_restored_copy(self, key: str, entry: ListedUpstream, epoch: int) -> bool:
        """Whether an entry of an epoch is an old one of a life that was given up before."""
        gone = self._by_key.get(key)
        if gone is None or gone.born != entry.born:
            return False
        return epoch > gone.epoch and entry.sequence <= gone.sequence

    def discard(self, key: str) -> None:
        """A key is listed again."""
        self._by_key.pop(key, None)
