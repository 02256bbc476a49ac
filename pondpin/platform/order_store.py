"""Reads orders to evacuate data centres from the platform's key-value store."""

from collections.abc import Iterable, Iterator
from urllib.parse import quote

import msgspec

from pondpin.http_streams import CallFailedError
from pondpin.platform.documents import decode_document
from pondpin.platform.store import (
    CONFIGURATION_KEY,
    HISTORY_GONE,
    ITEM_DECODER,
    PlatformStore,
    change_by,
    check_status,
    parse_source_head,
)
from pondpin.relay.order_ports import OperatorChanges, OrderEvent, OrdersRead
from pondpin.relay.ports import ConfigurationChange, EpochChangedError

# What operators write: the configuration and the orders.
OPERATORS_PREFIX = "op/"
# The presence of a key under this prefix orders to evacuate the data centre that it names.
EVACUATIONS_PREFIX = "op/evacuate/"


class WireOrder(msgspec.Struct, frozen=True):
    """An item or event without its value: an order may have any."""

    key: str = msgspec.field(name="tlsKey")
    revision: int = 0
    gone: bool = False


class WireOrderRange(msgspec.Struct, frozen=True):
    """A page of orders; more: another page follows; at: the store's revision."""

    items: tuple[WireOrder, ...]
    at: int
    more: bool = False


class WireRawEvents(msgspec.Struct, frozen=True):
    """Changes that are decoded one by one, by their keys."""

    events: tuple[msgspec.Raw, ...]
    at: int


_ORDER = msgspec.json.Decoder(WireOrder)
_RANGE = msgspec.json.Decoder(WireOrderRange)
_EVENTS = msgspec.json.Decoder(WireRawEvents)


def _decode_orders(items: Iterable[WireOrder]) -> Iterator[OrderEvent]:
    for item in items:
        name = item.key.removeprefix(EVACUATIONS_PREFIX)
        if name and item.key.startswith(EVACUATIONS_PREFIX):
            yield OrderEvent(name, item.revision, item.gone)


class PlatformOrderStore(PlatformStore):
    """Implements OrderSource over the platform's store."""

    async def read_changes(self, since: int, stall: float) -> OperatorChanges:
        """Read the changes of all that operators write; raises CallFailedError."""
        query = f"pathPrefix={OPERATORS_PREFIX}&sinceRevision={since}&waitMs=0"
        response = await self._get(f"kv-watch?{query}", stall)
        epoch = parse_source_head(response.headers).epoch
        unknown = ConfigurationChange(None, None, epoch)
        if response.status == HISTORY_GONE:
            return OperatorChanges(unknown, (), None, epoch)
        check_status(response.status)
        try:
            changes = decode_document(_EVENTS, response.body)
            events = [(_ORDER.decode(raw), raw) for raw in changes.events]
        except ValueError as error:
            raise CallFailedError(f"invalid events: {error}", sent=True) from None
        orders = tuple(_decode_orders(wire for wire, _ in events))
        writes = [raw for wire, raw in events if wire.key == CONFIGURATION_KEY]
        try:
            items = [ITEM_DECODER.decode(raw) for raw in writes]
            configuration = change_by(items, changes.at, epoch)
        except ValueError:
            # An invalid configuration doesn't hide orders. It is read in full, which fails too.
            configuration = unknown
        return OperatorChanges(configuration, orders, changes.at, epoch)

    async def read_orders(self, stall: float) -> OrdersRead:
        """Read all orders; raises CallFailedError.

        Raises EpochChangedError if the pages are of different epochs.
        """
        orders: list[OrderEvent] = []
        first: tuple[int, int] | None = None
        start = ""
        while True:
            response = await self._get(f"kv-range?pathPrefix={EVACUATIONS_PREFIX}{start}", stall)
            check_status(response.status)
            try:
                page = decode_document(_RANGE, response.body)
            except ValueError as error:
                raise CallFailedError(f"invalid range: {error}", sent=True) from None
            epoch = parse_source_head(response.headers).epoch
            # Pages aren't one snapshot: only the first one's revision holds for all.
            first = (page.at, epoch) if first is None else first
            if epoch != first[1]:
                raise EpochChangedError(first[1], epoch)
            orders += _decode_orders(page.items)
            if not page.more or not page.items:
                return OrdersRead(tuple(orders), *first)
            start = f"&sinceRevision={quote(page.items[-1].key, safe='/')}"
