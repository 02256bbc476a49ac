"""Orders to evacuate data centres: which are in force, over restores and between instances.

Within an epoch of the source, the knowledge of the higher revision is complete. A restore begins an
epoch with an older copy and reuses revisions: an order of an earlier epoch that the copy lacks
stays in force, and one of the copy that is known to have ended stays ended.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from pondpin.relay.order_ports import OrderEvent
from pondpin.relay.published.evacuation_digest import (
    EndedOrder,
    EvacuationOrder,
    EvacuationsDigest,
)

# More than data centres times operations between two restores.
MAX_ENDED = 64
# Ended orders are announced for this long: copies of a source are seconds old, and an instance that
# lists such an order causes another announcement.
ANNOUNCE_SECONDS = 60.0
MAX_ANNOUNCED = 8
# A gap between two checks longer than this share of the bound is a suspension; the other three
# quarters are for reading the order and spreading it.
SUSPENSION_SHARE = 0.25
# The event loop of a busy instance pauses for some 0.1 s.
MIN_SUSPENSION_SECONDS = 1.0
# After a suspension, an instance that nobody answers for this long is partitioned: it keeps the
# last state. Peers of a large fleet answer within 0.6 s, a source within 2 s of backoff.
MAX_WAIT_SECONDS = 2.5


def is_ended(order: EvacuationOrder, ended: Iterable[EndedOrder]) -> bool:
    """Whether an order has ended: itself, or its key was changed in a later epoch."""
    return any(
        item.epoch > order.epoch
        or (item.revision == order.revision and (not order.is_new or item.epoch >= order.epoch))
        for item in ended
        if item.data_center == order.data_center
    )


def orders_in_force(state: EvacuationsDigest) -> dict[str, EvacuationOrder]:
    """The orders in force by data centre."""
    return {order.data_center: order for order in state.orders if not is_ended(order, state.ended)}


def merge(first: EvacuationsDigest, second: EvacuationsDigest) -> EvacuationsDigest:
    """Combine what two instances know, or an instance and a read; first wins ties."""
    is_first = (first.epoch, first.revision) >= (second.epoch, second.revision)
    high, low = (first, second) if is_first else (second, first)
    ended = {*first.ended, *second.ended}
    present = {order.data_center: order for order in high.orders if order.epoch == high.epoch}
    for order in low.orders:
        if order.epoch < high.epoch:
            continue
        found = present.get(order.data_center)
        if found is None or found.revision != order.revision:
            ended.add(EndedOrder(order.data_center, high.epoch, order.revision))
        elif order.is_new:
            present[order.data_center] = order
    earlier = [order for order in (*high.orders, *low.orders) if order.epoch < high.epoch]
    return _build(high.epoch, high.revision, present, earlier, ended)


def apply_events(
    state: EvacuationsDigest, events: Iterable[OrderEvent], through: int
) -> EvacuationsDigest:
    """Apply the changes after a revision that is no later than the state's, up to another."""
    present = {order.data_center: order for order in state.orders if order.epoch == state.epoch}
    earlier = [order for order in state.orders if order.epoch < state.epoch]
    ended = set(state.ended)
    for event in sorted(events, key=lambda item: item.revision):
        if event.revision <= state.revision:
            continue
        before = present.pop(event.data_center, None)
        if before is not None or event.is_gone:
            revision = event.revision if before is None else before.revision
            ended.add(EndedOrder(event.data_center, state.epoch, revision))
        if not event.is_gone:
            present[event.data_center] = EvacuationOrder(
                event.data_center, state.epoch, event.revision, is_new=True
            )
    return _build(state.epoch, max(state.revision, through), present, earlier, ended)


def apply_read(
    state: EvacuationsDigest | None, epoch: int, at: int, revisions: Mapping[str, int]
) -> EvacuationsDigest:
    """Apply a read of all orders at a revision; revisions: of their writes, by data centre."""
    if state is not None and state.epoch > epoch:
        return state
    known_until = at if state is None or state.epoch != epoch else state.revision
    orders = tuple(
        EvacuationOrder(name, epoch, revision, is_new=revision > known_until)
        for name, revision in revisions.items()
    )
    read = EvacuationsDigest(epoch, at, orders)
    return merge(read, EvacuationsDigest(epoch, 0) if state is None else state)


def missing_orders(state: EvacuationsDigest) -> list[EvacuationOrder]:
    """Orders in force of earlier epochs that the source lacks."""
    return [order for order in orders_in_force(state).values() if order.epoch < state.epoch]


def apply_deletions(state: EvacuationsDigest, events: Iterable[OrderEvent]) -> EvacuationsDigest:
    """End orders that the source lacks if its history has their writes and then a deletion.

    A deletion without that write may belong to an earlier order.
    """
    known = list(events)
    written = {(event.data_center, event.revision) for event in known if not event.is_gone}
    ended = {
        EndedOrder(order.data_center, state.epoch, order.revision)
        for order in missing_orders(state)
        if (order.data_center, order.revision) in written
        for event in known
        if event.is_gone
        and event.data_center == order.data_center
        and event.revision > order.revision
    }
    return merge(state, EvacuationsDigest(state.epoch, 0, (), tuple(ended)))


def _build(
    epoch: int,
    revision: int,
    present: Mapping[str, EvacuationOrder],
    earlier: Iterable[EvacuationOrder],
    ended: set[EndedOrder],
) -> EvacuationsDigest:
    """present: what the source has, by data centre; earlier: orders of earlier epochs."""
    kept = list(present.values())
    names = set()
    for order in sorted(earlier, key=lambda item: (item.epoch, item.revision), reverse=True):
        found = present.get(order.data_center)
        if found is not None and is_ended(found, ended):
            found = None
        is_replaced = found is not None and found.revision != order.revision
        if is_replaced or is_ended(order, ended):
            _add_ended(ended, order, epoch)
        elif found is None and order.data_center not in names:
            names.add(order.data_center)
            kept.append(order)
    newest = sorted(ended, key=lambda item: (item.epoch, item.revision, item.data_center))
    kept.sort(key=lambda item: (item.data_center, item.epoch))
    return EvacuationsDigest(epoch, revision, tuple(kept), tuple(newest[-MAX_ENDED:]))


def _add_ended(ended: set[EndedOrder], order: EvacuationOrder, epoch: int) -> None:
    """Record an order of an earlier epoch by its revision, which another copy may have."""
    if all(
        (item.data_center, item.revision) != (order.data_center, order.revision) for item in ended
    ):
        ended.add(EndedOrder(order.data_center, epoch, order.revision))


@dataclass(frozen=True, slots=True)
class EvacuationsChange:
    """Orders that came into force or ended; source and age: of the message that told it.

    age: seconds, -1 for unknown.
    """

    begun: tuple[EvacuationOrder, ...]
    ended: tuple[EvacuationOrder, ...]
    source: str
    age: float


class ChangeHandler(Protocol):
    """Receives changes of the orders.

    on_evacuation_ended: is called with each data centre whose upstreams return.
    """

    on_evacuation_ended: Callable[[str, float], None]

    def apply(self, change: EvacuationsChange, now: float) -> None:
        """Apply a change, also one with no order begun or ended."""


class Evacuations:
    """What an instance knows of the orders."""

    def __init__(
        self,
        handler: ChangeHandler,
        now: float,
        bound: float,
        peers_first_until: float = 0.0,
    ) -> None:
        """bound: seconds from the source's confirmation of an order until it is in force. Until
        peers_first_until the state of the source alone is not used: it may be an older copy.
        """
        self.handler = handler
        self._suspension = max(MIN_SUSPENSION_SECONDS, SUSPENSION_SHARE * bound)
        self._peers_first_until = peers_first_until
        self._has_peer_state = False
        self._checked_at = now
        self._resumed_at: float | None = None
        self.state: EvacuationsDigest | None = None
        self.in_force: dict[str, EvacuationOrder] = {}
        self._announced_at: dict[EndedOrder, float] = {}

    def knows(self, now: float) -> bool:
        """Whether the state is known, and was confirmed since the last suspension."""
        if self.state is None or self._waits(now):
            return False
        return self._has_peer_state or now >= self._peers_first_until

    def _waits(self, now: float) -> bool:
        if now - self._checked_at > self._suspension:
            self._resumed_at = now
        self._checked_at = now
        if self._resumed_at is not None and now >= self._resumed_at + MAX_WAIT_SECONDS:
            self._resumed_at = None
        return self._resumed_at is not None

    def complete_until(self, epoch: int) -> int | None:
        """The revision up to which all orders of an epoch are known; None for another epoch."""
        state = self.state
        return state.revision if state is not None and state.epoch == epoch else None

    def receive_peer(
        self, state: EvacuationsDigest, peer: str, made_after: float | None, now: float
    ) -> None:
        """Apply a peer's state; made_after: a time before the peer sent it, None if unknown."""
        self._has_peer_state = True
        for item in self._known_as_ended(state):
            self._announced_at[item] = now
        merged = state if self.state is None else merge(self.state, state)
        age = -1.0 if made_after is None else now - made_after
        self._replace(merged, f"peer {peer}", age, now)
        if made_after is not None:
            self.confirm(made_after)

    def receive_read(self, state: EvacuationsDigest, sent_at: float, now: float) -> None:
        """Replace the state by one that adds a read of the source to it, sent at sent_at."""
        self._replace(state, "the source", now - sent_at, now)
        self.confirm(sent_at)

    def confirm(self, at: float) -> None:
        """Record that the state is as new as the source's or a peer's at a time."""
        if self._resumed_at is not None and at >= self._resumed_at:
            self._resumed_at = None

    def digest(self, now: float) -> EvacuationsDigest | None:
        """The state for peers; None while it is unknown here."""
        state = self.state
        if state is None or not self.knows(now):
            return None
        announced = [item for item in state.ended if self._is_announced(item, state, now)]
        return EvacuationsDigest(
            state.epoch, state.revision, state.orders, tuple(announced[-MAX_ANNOUNCED:])
        )

    def _is_announced(self, item: EndedOrder, state: EvacuationsDigest, now: float) -> bool:
        if now - self._announced_at.get(item, float("-inf")) < ANNOUNCE_SECONDS:
            return True
        # A starting instance that reads the copy has to know.
        return any(
            order.data_center == item.data_center and order.revision == item.revision
            for order in state.orders
        )

    def _known_as_ended(self, state: EvacuationsDigest) -> list[EndedOrder]:
        """Ended orders that a peer has in force."""
        if self.state is None:
            return []
        in_force = orders_in_force(state).values()
        return [
            item for item in self.state.ended if any(is_ended(order, (item,)) for order in in_force)
        ]

    def _replace(self, state: EvacuationsDigest, source: str, age: float, now: float) -> None:
        before, self.state = self.state, state
        if before is not None and (before.orders, before.ended) == (state.orders, state.ended):
            return
        known = set() if before is None else set(before.ended)
        announced_at = {item: now for item in state.ended if item not in known}
        self._announced_at = {
            item: at
            for item, at in (self._announced_at | announced_at).items()
            if now - at < ANNOUNCE_SECONDS
        }
        earlier, self.in_force = self.in_force, orders_in_force(state)
        begun = [order for name, order in self.in_force.items() if name not in earlier]
        ended = [order for name, order in earlier.items() if name not in self.in_force]
        self.handler.apply(EvacuationsChange(tuple(begun), tuple(ended), source, age), now)
