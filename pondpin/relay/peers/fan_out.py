"""Selects the receivers of digests.

In a small fleet each instance sends to all others several times a second; that traffic grows with
the square of the fleet. In a large one it sends to its local peers, those of its own data centre,
on a change or a heartbeat, within a budget of bytes. With each other data centre it exchanges
proofs through one random peer, which replies at once.
"""

import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from pondpin.relay.peers.digests import PeerRecord, PeerTable
from pondpin.relay.periods import PERIOD_SECONDS

# Interval of digests to local peers in a large fleet without changes.
HEARTBEAT_SECONDS = 0.6
# A heartbeat goes to this many random local peers; a change to as many as the budget allows.
HEARTBEAT_FAN_OUT = 8
# Between digests to another data centre: proofs pass through three data centres before the last
# in rank would read the source itself.
REMOTE_INTERVAL_SECONDS = 0.5
# Budget for local peers; it accumulates for BURST_SECONDS.
LOCAL_BYTES_PER_SECOND = 12_288
BURST_SECONDS = 1.0
# IP and UDP headers, counted in the budget.
PACKET_BYTES = 28
# Local peers that a change reaches even beyond the budget.
MIN_FAN_OUT = 3
INITIAL_DIGEST_BYTES = 200


@dataclass(frozen=True, slots=True)
class Round:
    """Receivers, and the expected seconds until their next digest."""

    local: tuple[PeerRecord, ...]
    remote: tuple[PeerRecord, ...]
    interval: float
    remote_interval: float


class FanOut:
    """Selects receivers."""

    def __init__(self, data_center: str, rng: random.Random) -> None:
        self._data_center = data_center
        self._rng = rng
        self._local_sent_at = float("-inf")
        self._remote_sent_at = float("-inf")
        self._budget = LOCAL_BYTES_PER_SECOND * BURST_SECONDS
        self._refilled_at: float | None = None
        self._digest_bytes = INITIAL_DIGEST_BYTES + PACKET_BYTES

    def next_round(self, peers: PeerTable, now: float, changed: bool, urgent: bool) -> Round:
        """Select receivers. changed: the digest differs; urgent: include remote peers at once."""
        alive = peers.alive(now)
        if not peers.is_large:
            return Round(tuple(alive), (), PERIOD_SECONDS, PERIOD_SECONDS)
        local = [peer for peer in alive if peer.data_center == self._data_center]
        chosen = self._choose_local(local, now, changed)
        remote = [peer for peer in alive if peer.data_center != self._data_center]
        rounds = max(1.0, len(local) / HEARTBEAT_FAN_OUT)
        return Round(
            local=chosen,
            remote=self._choose_remote(remote, now, urgent),
            interval=HEARTBEAT_SECONDS * rounds,
            remote_interval=REMOTE_INTERVAL_SECONDS * max(1, len(local)),
        )

    def record_bytes(self, size: int) -> None:
        """Charge a digest to the budget."""
        self._digest_bytes = size + PACKET_BYTES
        self._budget -= self._digest_bytes

    def _choose_local(
        self, local: Sequence[PeerRecord], now: float, changed: bool
    ) -> tuple[PeerRecord, ...]:
        if not changed and now - self._local_sent_at < HEARTBEAT_SECONDS:
            return ()
        self._local_sent_at = now
        self._refill(now)
        affordable = max(MIN_FAN_OUT, int(self._budget / self._digest_bytes))
        if not changed:
            affordable = min(affordable, HEARTBEAT_FAN_OUT)
        if affordable >= len(local):
            return tuple(local)
        return tuple(self._rng.sample(local, affordable))

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._budget += (now - self._refilled_at) * LOCAL_BYTES_PER_SECOND
        self._refilled_at = now
        self._budget = min(self._budget, LOCAL_BYTES_PER_SECOND * BURST_SECONDS)

    def _choose_remote(
        self, remote: Sequence[PeerRecord], now: float, urgent: bool
    ) -> tuple[PeerRecord, ...]:
        if not urgent and now - self._remote_sent_at < REMOTE_INTERVAL_SECONDS:
            return ()
        self._remote_sent_at = now
        by_data_center: dict[str, list[PeerRecord]] = defaultdict(list)
        for peer in remote:
            by_data_center[peer.data_center].append(peer)
        return tuple(self._rng.choice(peers) for peers in by_data_center.values())
