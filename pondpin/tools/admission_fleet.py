"""A simulated fleet for measure_admission: events, latencies, losses, upstreams and callers.

Times are in simulated seconds.
"""

import functools
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

DATA_CENTERS = 3
NEAR_SECONDS = 0.0005
FAR_SECONDS = (0.0025, 0.0054)
LOST = 0.05
# Peers notice after this long that an instance has ended, and start to count on a new one.
GONE_SECONDS = 1.2
SETTLE_SECONDS = 0.5
FAULT_AT = 10.0


@dataclass(frozen=True, slots=True)
class Load:
    """Upstreams, and what is asked of them.

    classes: parts of the demand by rank and account. one_instance: account whose callers are at
    instance 0. is_start: whether the target is a start within target_seconds, not an answer.
    """

    name: str
    upstreams: int
    slots: int
    queue: int
    hold: float
    hold_shape: float
    target_seconds: float
    is_start: bool
    demand: float
    classes: dict[tuple[int, int], float]
    one_instance: int = -1
    returns: bool = False

    @property
    def capacity(self) -> float:
        """Requests a second."""
        return self.upstreams * self.slots / self.hold


@dataclass(eq=False, slots=True)
class Call:
    """One request of a caller, and what became of it."""

    key: int
    arrived_at: float
    instance: int
    rank: int
    account: int
    is_return: bool
    tried: set[int] = field(default_factory=set)
    upstream: int = -1
    asked: int = 0
    is_asking: bool = False
    is_granted: bool = False
    was_last: bool = False
    started_at: float = 0.0
    retry_after: float = 1e9
    result: str = ""
    decided_at: float = 0.0


class Upstream:
    """Runs some calls at once, queues a few more, and turns the others away."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.running = 0
        self.queue: deque[tuple[Call, Callable[[int], None]]] = deque()

    def submit(self, call: Call, end: Callable[[int], None]) -> None:
        """Take a call; end gets the load at its end, or -1 if it was turned away."""
        if self.running >= self.fleet.load.slots and len(self.queue) >= self.fleet.load.queue:
            end(-1)
            return
        self.queue.append((call, end))
        self._start()

    def _start(self) -> None:
        load = self.fleet.load
        while self.queue and self.running < load.slots:
            call, end = self.queue.popleft()
            self.running += 1
            call.started_at = self.fleet.now
            hold = self.fleet.rng.gammavariate(load.hold_shape, load.hold / load.hold_shape)
            self.fleet.after(hold, functools.partial(self._end, end))

    def _end(self, end: Callable[[int], None]) -> None:
        end(self.running + len(self.queue))
        self.running -= 1
        self._start()


class Fleet:
    """The instances, their faults, and the events in order of time."""

    def __init__(self, load: Load, instances: int, fault: str, seed: int) -> None:
        self.load, self.instances, self.fault = load, instances, fault
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = LOST if fault == "messages lost" else 0.0
        self.died_at = dict.fromkeys(range(instances), float("inf"))
        self.settled_at = dict.fromkeys(range(instances), 0.0)
        self.upstreams = [Upstream(self, number) for number in range(load.upstreams)]
        self.calls: list[Call] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Act later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), act))

    def run(self, until: float) -> None:
        """Play the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def is_alive(self, instance: int) -> bool:
        """Whether an instance runs."""
        return self.now < self.died_at[instance]

    def is_settled(self, instance: int) -> bool:
        """Whether an instance knows its peers."""
        return self.now >= self.settled_at[instance]

    def latency(self, one: int, other: int) -> float:
        """One way between two data centres, given by the number of an instance or upstream."""
        if one % DATA_CENTERS == other % DATA_CENTERS:
            return NEAR_SECONDS
        return self.rng.uniform(*FAR_SECONDS)

    def send(self, sender: int, receiver: int, act: Callable[[], None]) -> None:
        """A datagram between instances."""
        if self.rng.random() >= self.loss:
            self.after(
                self.latency(sender, receiver),
                lambda: act() if self.is_alive(receiver) else None,
            )
