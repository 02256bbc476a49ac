"""What an instance does for itself at intervals."""

from typing import TYPE_CHECKING

from pondpin.controllers.base import Controller
from pondpin.relay.fan_out import PERIOD_SECONDS
from pondpin.runtime import steady_now

if TYPE_CHECKING:
    from pondpin.relay.entry import RelayEntry

# Steps of all controllers come together, this often or at multiples of it.
LOG_FLUSH_SECONDS = PERIOD_SECONDS


class HousekeepingController(Controller):
    """Writes the log out and keeps the gauges."""

    period = LOG_FLUSH_SECONDS

    def __init__(self, entry: "RelayEntry") -> None:
        super().__init__()
        self._entry = entry

    async def step(self) -> None:
        """One round."""
        entry = self._entry
        entry.note_freshness()
        entry.log.flush()
        entry.metrics.open_requests.set({}, entry.handler.open_requests)
        entry.metrics.peers_alive.set({}, len(entry.gossip.known.alive(steady_now())))
