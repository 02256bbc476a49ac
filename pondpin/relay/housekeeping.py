"""Periodic maintenance of an instance."""

from collections.abc import Callable

from pondpin.controllers.base import Controller
from pondpin.metrics import Metrics
from pondpin.relay.log import EventLog
from pondpin.relay.periods import PERIOD_SECONDS


class HousekeepingController(Controller):
    """Flushes the log, updates gauges, and maintains state of upstreams."""

    period = PERIOD_SECONDS

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        log_freshness: Callable[[], None],
        open_requests: Callable[[], int],
        peers_alive: Callable[[], int],
        maintain: Callable[[], None],
    ) -> None:
        super().__init__()
        self._log = log
        self._metrics = metrics
        self._log_freshness = log_freshness
        self._open_requests = open_requests
        self._peers_alive = peers_alive
        self._maintain = maintain

    async def step(self) -> None:
        """Run one round of maintenance."""
        self._log_freshness()
        self._maintain()
        self._log.flush()
        self._metrics.open_requests.set({}, self._open_requests())
        self._metrics.peers_alive.set({}, self._peers_alive())
