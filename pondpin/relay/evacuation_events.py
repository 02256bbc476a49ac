"""Log event on orders to evacuate data centres."""

from pondpin.relay.log_events import LogEvent


class Evacuation(LogEvent, frozen=True, kw_only=True, tag="evacuation"):
    """An order to evacuate a data centre came into force here, or ended.

    change: "begin" or "end". epoch, revision: of the order's write, as last seen in the source.
    source: "the source" or the peer that told it; age: of that message, -1 for unknown.
    """

    data_center: str
    change: str
    epoch: int
    revision: int
    source: str
    age: float
