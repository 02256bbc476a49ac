"""Applies the orders to evacuate data centres to the upstreams."""

from collections.abc import Callable
from dataclasses import dataclass

from pondpin.metrics import Metrics
from pondpin.relay.evacuation_events import Evacuation
from pondpin.relay.log import EventLog
from pondpin.relay.published.evacuations import EvacuationsChange
from pondpin.relay.upstreams.table import UpstreamTable


@dataclass
class EvacuationHandler:
    """Updates the table of upstreams, the log and the metrics; send_urgent: tells the peers."""

    table: UpstreamTable
    metrics: Metrics
    log: EventLog
    send_urgent: Callable[[], None]

    def __post_init__(self) -> None:
        # Called with each data centre whose upstreams return.
        self.on_evacuation_ended: Callable[[str, float], None] = lambda data_center, now: None

    def apply(self, change: EvacuationsChange, now: float) -> None:
        """Apply a change."""
        if change.begun or change.ended:
            begun = {order.data_center for order in change.begun}
            ended = {order.data_center for order in change.ended}
            self._set_evacuated((self.table.evacuated | begun) - ended, now)
            for name in sorted(ended):
                self.on_evacuation_ended(name, now)
            self._log_change(change)
        self.send_urgent()

    def _set_evacuated(self, data_centers: frozenset[str], now: float) -> None:
        self.table.evacuated = data_centers
        for state in self.table.by_id.values():
            is_evacuated = state.listed.data_center in data_centers
            state.availability.set_evacuated(is_evacuated, now)
        self.metrics.data_centers_evacuated.set({}, len(data_centers))

    def _log_change(self, change: EvacuationsChange) -> None:
        for kind, orders in (("begin", change.begun), ("end", change.ended)):
            for order in orders:
                self.log.write(
                    Evacuation(
                        data_center=order.data_center,
                        change=kind,
                        epoch=order.epoch,
                        revision=order.revision,
                        source=change.source,
                        age=round(change.age, 3),
                    )
                )
