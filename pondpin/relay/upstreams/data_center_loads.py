"""Total upstream load of each data centre, exchanged between peers."""

from collections.abc import Iterable, Set
from dataclasses import dataclass

import msgspec

# The load of a data centre changes slowly and is sent twice a second.
LOAD_TTL_SECONDS = 2.0


class DataCenterLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a service's upstreams in a data centre."""

    service: str
    upstreams: int
    in_flight: int
    light: int


@dataclass(frozen=True, slots=True)
class ReceivedLoad:
    """A received load and its time by the local clock."""

    load: DataCenterLoad
    received_at: float

    @property
    def mean_in_flight(self) -> float:
        """Mean number of requests per upstream."""
        return self.load.in_flight / max(1, self.load.upstreams)


class DataCenterLoads:
    """The last received load of each data centre and service."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._received_by_key: dict[tuple[str, str], ReceivedLoad] = {}

    def update(self, data_center: str, loads: Iterable[DataCenterLoad], now: float) -> None:
        """Apply the loads of a peer's data centre."""
        for load in loads:
            self._received_by_key[data_center, load.service] = ReceivedLoad(load, now)

    def light_streams_elsewhere(self, service: str, now: float) -> int:
        """Light streams on engines of other data centres."""
        return sum(
            received.load.light
            for data_center, received in self._recent(service, now)
            if data_center != self._data_center
        )

    def least_loaded(
        self, service: str, silent: Set[str], now: float
    ) -> tuple[str, ReceivedLoad] | None:
        """The data centre with the fewest requests per upstream of a service."""
        candidates = [
            (data_center, received)
            for data_center, received in self._recent(service, now)
            if received.load.upstreams and data_center not in silent
        ]
        return min(candidates, key=lambda item: item[1].mean_in_flight, default=None)

    def _recent(self, service: str, now: float) -> list[tuple[str, ReceivedLoad]]:
        return [
            (data_center, received)
            for (data_center, name), received in self._received_by_key.items()
            if name == service and now - received.received_at < LOAD_TTL_SECONDS
        ]
