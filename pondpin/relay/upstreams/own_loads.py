"""The load of the own data centre's upstreams, which other data centres of a large fleet get."""

from typing import TYPE_CHECKING

from pondpin.relay.upstreams.data_center_loads import DataCenterLoad

if TYPE_CHECKING:
    from pondpin.relay.upstreams.table import UpstreamTable

# Lifetime of the cached loads: peers request them about 15 times a second in a fleet of 195.
OWN_LOAD_SECONDS = 0.1


class OwnLoads:
    """Sums the load by service."""

    def __init__(self, table: "UpstreamTable") -> None:
        self._table = table
        self._loads: tuple[DataCenterLoad, ...] = ()
        self._loads_at = float("-inf")

    def get(self, now: float) -> tuple[DataCenterLoad, ...]:
        """The load of this data centre's upstreams by service."""
        if not 0 <= now - self._loads_at < OWN_LOAD_SECONDS:
            self._loads = self._sum(now)
            self._loads_at = now
        return self._loads

    def _sum(self, now: float) -> tuple[DataCenterLoad, ...]:
        loads = []
        for service in self._table.services:
            local = [
                state
                for state in self._table.of_service(service)
                if state.listed.data_center == self._table.data_center
                and not state.block_reason(now)
                and not state.is_limited
            ]
            in_flight = sum(state.in_flight(now) for state in local)
            light = sum(state.light_in_flight(now) for state in local)
            loads.append(DataCenterLoad(service, len(local), in_flight, light))
        return tuple(loads)
