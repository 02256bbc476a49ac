"""Reads the orders to evacuate data centres, together with the configuration."""

from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.relay.order_ports import OperatorChanges, OrderSource
from pondpin.relay.ports import ConfigurationChange, ListRead
from pondpin.relay.published.evacuations import (
    Evacuations,
    apply_deletions,
    apply_events,
    apply_read,
    missing_orders,
)
from pondpin.relay.published.reader import READ_STALL_SECONDS, KnownConfiguration


@dataclass
class OrderReader:
    """Learns all orders up to the revision of a list.

    check_epoch: raises CallFailedError if an answer is not of the epoch of the list.
    """

    evacuations: Evacuations
    source: OrderSource
    check_epoch: Callable[[int, int], None]
    clock: Clock

    async def read(
        self, known: KnownConfiguration | None, listed: ListRead, sent_at: float
    ) -> ConfigurationChange | None:
        """Read the changes and apply those of orders; returns that of the configuration.

        known: the last known configuration; sent_at: when the read of the list was sent. Raises
        CallFailedError if the changes could not be read.
        """
        orders_until = self.evacuations.complete_until(listed.epoch)
        starts = [] if known is None else [known.until]
        starts += [] if orders_until is None else [orders_until]
        since = min(starts, default=listed.revision)
        changes = None
        if since < listed.revision:
            changes = await self.source.read_changes(since, READ_STALL_SECONDS)
            self.check_epoch(listed.epoch, changes.epoch)
        await self._update(listed, changes, sent_at)
        return None if changes is None else changes.configuration

    async def _update(
        self, listed: ListRead, changes: OperatorChanges | None, sent_at: float
    ) -> None:
        state = self.evacuations.state
        until = None if changes is None else changes.through_revision
        if state is None or state.epoch != listed.epoch:
            await self._read_all(listed.epoch)
        elif state.revision >= listed.revision:
            self.evacuations.confirm(sent_at)
        elif changes is not None and until is not None and until >= listed.revision:
            applied = apply_events(state, changes.orders, until)
            self.evacuations.receive_read(applied, sent_at, self.clock())
        else:
            await self._read_all(listed.epoch)

    async def _read_all(self, epoch: int) -> None:
        sent_at = self.clock()
        read = await self.source.read_orders(READ_STALL_SECONDS)
        self.check_epoch(epoch, read.epoch)
        revisions = {order.data_center: order.revision for order in read.orders}
        before = self.evacuations.state
        state = apply_read(before, epoch, read.revision, revisions)
        self.evacuations.receive_read(state, sent_at, self.clock())
        missing = missing_orders(state)
        if before is None or before.epoch == epoch or not missing:
            return
        # An order that a restored copy lacks may have been deleted before this first read.
        since = min(order.revision for order in missing) - 1
        changes = await self.source.read_changes(since, READ_STALL_SECONDS)
        self.check_epoch(epoch, changes.epoch)
        state = apply_deletions(self.evacuations.state or state, changes.orders)
        self.evacuations.receive_read(state, sent_at, self.clock())
