"""What an instance does for itself at intervals."""

from collections.abc import Callable

from pondpin.controllers.base import Controller
from pondpin.metrics import Metrics
from pondpin.relay.log import EventLog
from pondpin.relay.periods import PERIOD_SECONDS


class HousekeepingController(Controller):
    """Writes the log out and keeps the gauges."""

    period = PERIOD_SECONDS

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        note_freshness: Callable[[], None],
        open_requests: Callable[[], int],
        peers_alive: Callable[[], int],
        watch_ends: Callable[[], None],
    ) -> None:
        super().__init__()
        self._log = log
        self._metrics = metrics
        self._note_freshness = note_freshness
        self._open_requests = open_requests
        self._peers_alive = peers_alive
        self._watch_ends = watch_ends

    async def step(self) -> None:
        """One round."""
        self._note_freshness()
        self._watch_ends()
        self._log.flush()
        self._metrics.open_requests.set({}, self._open_requests())
        self._metrics.peers_alive.set({}, self._peers_alive())
