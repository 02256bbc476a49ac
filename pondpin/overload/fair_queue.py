"""Weighted fair queue over flows (account and length class), with aging.

Start-time fair queueing: each flow's next item carries a start tag; the lowest goes first.
An item that has waited long gets an earlier tag, so that long work progresses.
"""

import itertools
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# Flows without a waiting item of which the finish tag is kept; 100 bytes each.
MOST_FLOWS = 1024


@dataclass(frozen=True, slots=True)
class Flow:
    """Whose turn is counted together."""

    account: str
    length_class: str


@dataclass(slots=True)
class Queued(Generic[T]):
    """An item in the queue. cost is in tokens; queued_at in seconds."""

    item: T
    flow: Flow
    cost: float
    weight: float
    queued_at: float
    tag: float
    number: int
    removed: bool = False


@dataclass
class FairQueue(Generic[T]):
    """Items by flow, served in order of their start tags.

    burst: cost that a flow which was idle may be served before its turn.
    """

    aging_tokens_per_second: float = 2000.0
    burst: float = 0.0
    virtual_time: float = 0.0
    items_by_flow: dict[Flow, deque[Queued[T]]] = field(default_factory=dict)
    finish_by_flow: dict[Flow, float] = field(default_factory=dict)
    size: int = 0
    cost: float = 0.0
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    def push(self, item: T, flow: Flow, cost: float, weight: float, now: float) -> Queued[T]:
        """Add an item; returns its place, by which it can be removed."""
        start = self._start(flow)
        self.finish_by_flow[flow] = start + cost / weight
        queued = Queued(item, flow, cost, weight, now, start, next(self._numbers))
        self.items_by_flow.setdefault(flow, deque()).append(queued)
        self.size += 1
        self.cost += cost
        return queued

    def heads(self, now: float) -> list[Queued[T]]:
        """The first item of each flow, the one to serve next first."""
        heads = [items[0] for items in self.items_by_flow.values()]
        heads.sort(key=lambda queued: (self._aged(queued, now), queued.number))
        return heads

    def serve(self, queued: Queued[T]) -> None:
        """Take an item out because it goes on; time of the queue moves to its tag."""
        self.virtual_time = max(self.virtual_time, queued.tag)
        self.remove(queued)

    def remove(self, queued: Queued[T]) -> bool:
        """Take an item out; False when it was out already."""
        if queued.removed:
            return False
        queued.removed = True
        items = self.items_by_flow[queued.flow]
        items.remove(queued)
        self.size -= 1
        self.cost -= queued.cost
        if not items:
            del self.items_by_flow[queued.flow]
            self._forget_idle_flows()
            self._limit_idle_flows()
        return True

    def withdraw(self, queued: Queued[T]) -> bool:
        """Take an item out that isn't served: its flow isn't charged for it.

        Without this, a flow of which much is refused would be charged for more than it is served.
        """
        if queued.removed:
            return False
        share = queued.cost / queued.weight
        for later in self.items_by_flow[queued.flow]:
            if later.number > queued.number:
                later.tag -= share
        self.finish_by_flow[queued.flow] -= share
        return self.remove(queued)

    def items(self) -> list[Queued[T]]:
        """All items."""
        return list(itertools.chain.from_iterable(self.items_by_flow.values()))

    def has(self, flow: Flow) -> bool:
        """Whether anything of a flow waits."""
        return flow in self.items_by_flow

    def cost_before(self, flow: Flow) -> float:
        """Tokens of the items that go before a new item of a flow, by their tags."""
        start = self._start(flow)
        return sum(queued.cost for queued in self.items() if queued.tag <= start)

    def _start(self, flow: Flow) -> float:
        return max(self.virtual_time - self.burst, self.finish_by_flow.get(flow, -math.inf))

    def _aged(self, queued: Queued[T], now: float) -> float:
        waited = max(0.0, now - queued.queued_at)
        return queued.tag - waited * self.aging_tokens_per_second

    def _forget_idle_flows(self) -> None:
        """A flow whose finish tag has passed is like a new one."""
        idle = [
            flow
            for flow, finish in self.finish_by_flow.items()
            if finish <= self.virtual_time - self.burst and flow not in self.items_by_flow
        ]
        for flow in idle:
            del self.finish_by_flow[flow]

    def _limit_idle_flows(self) -> None:
        """Bound the state when each request is of another flow; the lowest tags go first."""
        if len(self.finish_by_flow) <= MOST_FLOWS + len(self.items_by_flow):
            return
        idle = [flow for flow in self.finish_by_flow if flow not in self.items_by_flow]
        for flow in sorted(idle, key=self.finish_by_flow.__getitem__)[: len(idle) // 2]:
            del self.finish_by_flow[flow]
