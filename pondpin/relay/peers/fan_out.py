"""Whom an instance tells what it knows, and how often.

In a small fleet everybody tells everybody several times a second. That grows with the square of
the fleet. In a large one an instance tells its neighbours, the instances of its own data centre,
when something changed or a heartbeat is due, within a budget of bytes; with the other data
centres it exchanges proofs, asking one random peer of each that answers at once.
"""

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from pondpin.relay.peers.digests import PeerRecord, PeerTable
from pondpin.relay.periods import PERIOD_SECONDS

# Neighbours of a large fleet hear at least so often that an instance has nothing new.
HEARTBEAT_SECONDS = 0.6
# A heartbeat goes to so many neighbours at random; changes go to all that the budget allows.
HEARTBEAT_FAN_OUT = 8
# A peer of each other data centre is asked this often: proofs pass through three data centres
# before the last in rank would read by itself.
FAR_INTERVAL_SECONDS = 0.5
# Bytes a second for neighbours; what is saved up lasts for a burst of this many seconds.
NEAR_BYTES_PER_SECOND = 12_288
BURST_SECONDS = 1.0
# Headers of IP and UDP, which the budget counts too.
PACKET_BYTES = 28
# However tight the budget, a change reaches so many neighbours.
MIN_FAN_OUT = 3
USUAL_DIGEST_BYTES = 200


@dataclass(frozen=True, slots=True)
class Round:
    """Peers to tell now; quiet: seconds after which they will probably hear again."""

    near: tuple[PeerRecord, ...]
    far: tuple[PeerRecord, ...]
    interval: float
    far_interval: float


class FanOut:
    """Chooses the peers of each round."""

    def __init__(self, data_center: str, rng: random.Random) -> None:
        self._data_center = data_center
        self._rng = rng
        self._told_at = float("-inf")
        self._asked_at = float("-inf")
        self._saved = NEAR_BYTES_PER_SECOND * BURST_SECONDS
        self._saved_at: float | None = None
        self._digest_bytes = USUAL_DIGEST_BYTES + PACKET_BYTES

    def next_round(self, known: PeerTable, now: float, changed: bool, urgent: bool) -> Round:
        """Whom to tell now. changed: there is news; urgent: other data centres need it too."""
        alive = known.alive(now)
        if not known.is_large:
            return Round(tuple(alive), (), PERIOD_SECONDS, PERIOD_SECONDS)
        near = [peer for peer in alive if peer.data_center == self._data_center]
        told = self._choose_near(near, now, changed)
        far = [peer for peer in alive if peer.data_center != self._data_center]
        rounds = max(1.0, len(near) / HEARTBEAT_FAN_OUT)
        return Round(
            near=told,
            far=self._choose_far(far, now, urgent),
            interval=HEARTBEAT_SECONDS * rounds,
            far_interval=FAR_INTERVAL_SECONDS * max(1, len(near)),
        )

    def record_bytes(self, size: int) -> None:
        """A digest of this size went to a neighbour."""
        self._digest_bytes = size + PACKET_BYTES
        self._saved -= self._digest_bytes

    def _choose_near(
        self, near: Sequence[PeerRecord], now: float, changed: bool
    ) -> tuple[PeerRecord, ...]:
        if not changed and now - self._told_at < HEARTBEAT_SECONDS:
            return ()
        self._told_at = now
        self._save(now)
        affordable = max(MIN_FAN_OUT, int(self._saved / self._digest_bytes))
        if not changed:
            affordable = min(affordable, HEARTBEAT_FAN_OUT)
        if affordable >= len(near):
            return tuple(near)
        return tuple(self._rng.sample(near, affordable))

    def _save(self, now: float) -> None:
        if self._saved_at is not None:
            self._saved += (now - self._saved_at) * NEAR_BYTES_PER_SECOND
        self._saved_at = now
        self._saved = min(self._saved, NEAR_BYTES_PER_SECOND * BURST_SECONDS)

    def _choose_far(
        self, far: Sequence[PeerRecord], now: float, urgent: bool
    ) -> tuple[PeerRecord, ...]:
        if not urgent and now - self._asked_at < FAR_INTERVAL_SECONDS:
            return ()
        self._asked_at = now
        by_center: dict[str, list[PeerRecord]] = defaultdict(list)
        for peer in far:
            by_center[peer.data_center].append(peer)
        return tuple(self._rng.choice(peers) for peers in by_center.values())
