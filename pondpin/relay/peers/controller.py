"""Sends digests periodically."""

from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.periods import PERIOD_SECONDS
from pondpin.relay.published.publication import Publication


class GossipController(Controller):
    """Sends digests each period."""

    period = PERIOD_SECONDS

    def __init__(self, gossip: Gossip, publication: Publication, clock: Clock) -> None:
        super().__init__()
        self._gossip = gossip
        self._publication = publication
        self._clock = clock

    async def step(self) -> None:
        """Run one gossip round."""
        now = self._clock()
        self._publication.apply_pending(now)
        self._gossip.update_silent_data_centers(now)
        self._gossip.send(now)
