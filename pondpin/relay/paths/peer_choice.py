"""Chooses the peers through which tunnels go."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from pondpin.relay.peers.digests import PeerRecord

# A peer that could not open a tunnel is left out for this long; digests tell of longer faults.
AVOID_SECONDS = 1.0
# Peers that are compared by load, which spreads tunnels without a herd onto the least loaded.
SAMPLE = 2


@dataclass
class PeerChoice:
    """Chooses among live peers; tunnels count as load here, peers don't tell theirs."""

    data_center: str
    rng: random.Random
    open_by_instance: dict[str, int] = field(default_factory=dict)
    _avoided_until: dict[str, float] = field(default_factory=dict)

    def choose(
        self,
        alive: Iterable[PeerRecord],
        excluded: frozenset[str],
        now: float,
        other_than: str = "",
        preferred: str = "",
    ) -> PeerRecord | None:
        """A peer of the own data centre, else of the preferred one, else any; None for none.

        other_than: a data centre whose peers come last, as they probably lost the same links.
        """
        usable = [
            peer
            for peer in alive
            if peer.instance not in excluded
            and not peer.is_cut
            and self._avoided_until.get(peer.instance, 0.0) <= now
        ]
        if not usable:
            return None

        def distance(peer: PeerRecord) -> tuple[bool, bool, bool]:
            place = peer.data_center
            return (place == other_than, place != self.data_center, place != preferred)

        nearest = min(distance(peer) for peer in usable)
        near = [peer for peer in usable if distance(peer) == nearest]
        sample = self.rng.sample(near, min(SAMPLE, len(near)))
        return min(sample, key=lambda peer: self.open_by_instance.get(peer.instance, 0))

    def avoid(self, instance: str, now: float) -> None:
        """Leave a peer out for a while."""
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[instance] = now + AVOID_SECONDS

    def opened(self, instance: str) -> None:
        """Count a tunnel."""
        self.open_by_instance[instance] = self.open_by_instance.get(instance, 0) + 1

    def closed(self, instance: str) -> None:
        """Remove a tunnel."""
        left = self.open_by_instance.get(instance, 0) - 1
        if left > 0:
            self.open_by_instance[instance] = left
        else:
            self.open_by_instance.pop(instance, None)

    @property
    def open_count(self) -> int:
        """Open tunnels."""
        return sum(self.open_by_instance.values())
