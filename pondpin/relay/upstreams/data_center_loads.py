"""What data centres tell each other of the load of their upstreams, as a whole."""

from collections.abc import Iterable, Set
from dataclasses import dataclass

import msgspec

# A word on a whole data centre changes slowly; it is told twice a second.
CENTER_LOAD_SECONDS = 2.0


class DataCenterLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a service's upstreams in one data centre, as an instance there knows it."""

    service: str
    upstreams: int
    in_flight: int
    light: int


@dataclass(frozen=True, slots=True)
class ReceivedLoad:
    """What was told of a data centre, and when by this clock."""

    load: DataCenterLoad
    received_at: float

    @property
    def mean_in_flight(self) -> float:
        """Requests on an upstream there."""
        return self.load.in_flight / max(1, self.load.upstreams)


class DataCenterLoads:
    """The last word of each other data centre, by service."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._seen_by_key: dict[tuple[str, str], ReceivedLoad] = {}

    def update(self, center: str, loads: Iterable[DataCenterLoad], now: float) -> None:
        """Take a peer's word on its data centre."""
        for load in loads:
            self._seen_by_key[center, load.service] = ReceivedLoad(load, now)

    def light_streams_elsewhere(self, service: str, now: float) -> int:
        """Light streams on the engines of the other data centres."""
        return sum(
            seen.load.light
            for center, seen in self._lately(service, now)
            if center != self._data_center
        )

    def least_loaded(
        self, service: str, silent: Set[str], now: float
    ) -> tuple[str, ReceivedLoad] | None:
        """The data centre whose upstreams of a service have the fewest requests."""
        heard = [
            (center, seen)
            for center, seen in self._lately(service, now)
            if seen.load.upstreams and center not in silent
        ]
        return min(heard, key=lambda item: item[1].mean_in_flight, default=None)

    def _lately(self, service: str, now: float) -> list[tuple[str, ReceivedLoad]]:
        return [
            (center, seen)
            for (center, name), seen in self._seen_by_key.items()
            if name == service and now - seen.received_at < CENTER_LOAD_SECONDS
        ]
