"""This instance's share of each upstream's connection limit, which all instances share.

An instance that gets more of the requests than others may use more of the connections: its share
follows what the instances had in use one digest ago. So shares that instances compute from
different digests still add up to the limit, and a surge at all instances stays within equal shares.
"""

from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.relay.choosing.planner import CONNECTIONS_SHARE, MIN_CONNECTIONS, connection_share
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

# Peers know the own use after a digest (0.2 s) and its way.
REPORT_SECONDS = 0.25
# A sample that is older says nothing of the present.
STALE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class UseSample:
    """Connections to an upstream in use at two moments; peers know of the first one by now."""

    known: int
    latest: int
    at: float


class ConnectionShares:
    """Computes shares of upstreams of which this instance uses an equal share or more."""

    def __init__(
        self,
        table: UpstreamTable,
        instance_count: Callable[[], int],
        reporting_peers: Callable[[], int],
        clock: Clock,
        trim_idle: Callable[[str, int, int], None],
    ) -> None:
        """trim_idle: closes the idle connections to an endpoint but for some."""
        self._table = table
        self._instance_count = instance_count
        self._reporting_peers = reporting_peers
        self._clock = clock
        self._trim_idle = trim_idle
        self._sample_by_life: dict[int, UseSample] = {}

    def share(self, state: UpstreamState, connections: int) -> int:
        """How many connections to an upstream this instance may use, of all that it accepts."""
        now = self._clock()
        instances = max(1, self._instance_count())
        known = self._sample(state, now).known
        usable = connections * CONNECTIONS_SHARE
        others = state.in_flight(now) - state.own_in_flight
        if not state.reports_load(now):
            # In a large fleet only the peers of the own data centre report their work.
            silent = max(0, instances - 1 - self._reporting_peers())
            others += round(silent * usable / instances)
        # Each instance counts as one connection more, so that one without any can begin.
        share = int(usable * (known + 1) / (known + others + instances))
        return max(connection_share(connections, instances), share)

    def _sample(self, state: UpstreamState, now: float) -> UseSample:
        own = state.own_in_flight
        sample = self._sample_by_life.get(state.life)
        if sample is None or now - sample.at > STALE_SECONDS:
            sample = UseSample(0, own, now)
        elif now - sample.at >= REPORT_SECONDS:
            sample = UseSample(sample.latest, own, now)
        self._sample_by_life[state.life] = sample
        return sample

    def expire(self) -> None:
        """Close idle connections beyond an equal share once they are not used any more."""
        now = self._clock()
        for life in list(self._sample_by_life):
            state = self._table.by_life(life)
            if state is None:
                del self._sample_by_life[life]
                continue
            sample = self._sample(state, now)
            if max(sample.known, sample.latest, state.own_in_flight) < MIN_CONNECTIONS:
                del self._sample_by_life[life]
                self._trim_idle(state.listed.host, state.listed.port, MIN_CONNECTIONS)
