"""Port of a published source that also reads orders to evacuate data centres."""

from dataclasses import dataclass
from typing import Protocol

from pondpin.relay.ports import ConfigurationChange, PublishedSource


@dataclass(frozen=True, slots=True)
class OrderEvent:
    """A write or, if is_gone, a deletion of an order to evacuate a data centre."""

    data_center: str
    revision: int
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class OrdersRead:
    """All orders at a revision of the source."""

    orders: tuple[OrderEvent, ...]
    revision: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class OperatorChanges:
    """Changes of the configuration and of orders up to a revision of the source.

    through_revision: None when the source's history doesn't reach back to the requested revision.
    The configuration's own is also None if its last change can't be decoded.
    """

    configuration: ConfigurationChange
    orders: tuple[OrderEvent, ...]
    through_revision: int | None
    epoch: int = 0


class OrderSource(PublishedSource, Protocol):
    """A source whose calls include orders; they raise CallFailedError."""

    async def read_changes(self, since: int, stall_timeout: float) -> OperatorChanges:
        """Read the changes after a revision, in one call; see PublishedSource.read_change."""

    async def read_orders(self, stall_timeout: float) -> OrdersRead:
        """Read all orders, of one epoch; linearizable."""
