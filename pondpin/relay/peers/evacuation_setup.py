"""Sets up the evacuation of data centres in an instance that reads such orders."""

from pondpin.metrics import Metrics
from pondpin.relay.order_ports import OrderSource
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.published.evacuations import Evacuations
from pondpin.relay.published.order_reader import OrderReader
from pondpin.relay.published.reader import ReaderController
from pondpin.relay.upstreams.evacuation_handler import EvacuationHandler
from pondpin.relay.upstreams.table import UpstreamTable

# A starting instance prefers its peers' orders to the source's this long: each peer sends two
# digests in it.
PEERS_FIRST_SECONDS = 0.5


def add_evacuations(
    gossip: Gossip,
    reader: ReaderController,
    source: OrderSource,
    metrics: Metrics,
    bound: float,
    has_peers: bool,
) -> None:
    """Read orders, exchange them with peers and apply them to the upstreams.

    bound: seconds from the write of an order until it is in force.
    """
    now = gossip.clock()
    handler = EvacuationHandler(gossip.table, metrics, gossip.log, gossip.send_urgent)
    handler.on_evacuation_ended = lambda name, at: mark_cold(gossip.table, name, at)
    metrics.data_centers_evacuated.set({}, 0)
    evacuations = Evacuations(handler, now, bound, now + PEERS_FIRST_SECONDS if has_peers else now)
    gossip.evacuations = evacuations
    reader.order_reader = OrderReader(evacuations, source, reader.check_epoch, gossip.clock)


def mark_cold(table: UpstreamTable, data_center: str, now: float) -> None:
    """Treat the upstreams of a data centre as cold, where its services bear few requests then."""
    if table.cold_starts is not None:
        table.cold_starts.mark_cold(data_center, now)
