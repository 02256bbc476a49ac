"""Compares ways to keep to a limit that binds all instances together, in simulated time.

Eight upstreams name the same limit; 1.4 times what they take is asked, so that every request needs
a permit. The homes and the pace are the product's; equal parts, parts by told demand and turns in
time are written here. Instances come, go and are cut off where trouble is played; each knows of the
others as late as digests tell. Prints the worst 4 s of an upstream over 1.25 times what the limit
allows, and 3, the share of the limits that was used, and the most that a single instance lacked.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Protocol

import xxhash

from pondpin.pacer import Pacer
from pondpin.relay.peers.permit_issuer import Membership, owner_of
from pondpin.runtime import ParsedCommand, run_command

UPSTREAMS = 8
CENTERS = 3
ASKED_TIMES = 1.4
PLAYED_SECONDS = 40.0
WINDOW_SECONDS = 4.0
# What an instance learns of another: that it is there, that it has gone, what it asks for. In a
# large fleet a digest reaches all neighbours in a second or so.
BORN_SECONDS = 0.2
GONE_SECONDS = 1.2
TOLD_SECONDS = 0.2
LARGE_FLEET = 16
LARGE_TOLD_SECONDS = 1.5
# Silent ones keep their part for so long.
KNOWN_SECONDS = 60.0
WAY_SECONDS = 0.004
WAIT_SECONDS = 0.15
# Trouble: an instance ends and starts again this often, and is away for so long; a cut.
END_GAP_SECONDS = 6.0
AWAY_SECONDS = 2.0
CUT = (20.0, 27.0)
DEMANDS = ("even", "skewed", "at one", "moving")
MOVE_SECONDS = 5.0
DEMAND_HALF_SECONDS = 2.0
FLOOR = 0.25


@dataclass
class World:
    """Instances, where they are, and since when they are there or away."""

    instances: int
    limit: float
    seed: int
    trouble: bool
    rng: random.Random = field(init=False)
    now: float = 0.0

    def __post_init__(self) -> None:
        """Everybody is there."""
        self.rng = random.Random(self.seed)
        self.changed_at = [-KNOWN_SECONDS] * self.instances
        self.there = [True] * self.instances
        self.lateness = [self.rng.random() for _ in range(self.instances)]

    def center(self, instance: int) -> int:
        """The data centre of an instance."""
        return instance % min(CENTERS, self.instances)

    def is_cut(self, one: int, other: int) -> bool:
        """Whether two can't hear each other: the first data centre is cut off for a while."""
        in_time = self.trouble and CUT[0] <= self.now < CUT[1]
        return in_time and (self.center(one) == 0) != (self.center(other) == 0)

    def hears(self, one: int, other: int) -> bool:
        """Whether an instance believes that another one is there."""
        if one == other:
            return True
        if self.is_cut(one, other) and self.now - CUT[0] > GONE_SECONDS:
            return False
        since = self.now - self.changed_at[other]
        late = 0.5 + (self.lateness[one] + self.lateness[other]) / 2
        if self.there[other]:
            return since > late * BORN_SECONDS
        return since < late * GONE_SECONDS

    def live(self, one: int) -> list[int]:
        """Those that an instance believes to be there."""
        return [other for other in range(self.instances) if self.hears(one, other)]

    @property
    def told_after(self) -> float:
        """How late what an instance asks for is known to the others."""
        return TOLD_SECONDS if self.instances <= LARGE_FLEET else LARGE_TOLD_SECONDS


class Way(Protocol):
    """Decides when a request of an instance may go to which upstream."""

    def send(self, instance: int) -> tuple[int, float] | None:
        """The upstream and the moment, None when there is no permit in time."""
        ...

    def start(self, instance: int) -> None:
        """An instance starts and knows nothing."""
        ...


class Parts:
    """Each instance has an even pace at its part of each limit: equal, or by told demand."""

    def __init__(self, world: World, by_demand: bool) -> None:
        self._world, self._by_demand = world, by_demand
        self._paces: dict[tuple[int, int], Pacer] = {}
        self._asked: list[deque[float]] = [deque() for _ in range(world.instances)]

    def _part(self, instance: int) -> float:
        world = self._world
        count = world.instances
        if not self._by_demand:
            return 1.0 / count
        told = [self._told(instance, other) for other in range(count)]
        total = sum(told)
        if total <= 0:
            return 1.0 / count
        return (FLOOR + (1.0 - FLOOR) * count * told[instance] / total) / count

    def _told(self, instance: int, other: int) -> float:
        world = self._world
        end = world.now - (0.0 if instance == other else world.told_after)
        asked = self._asked[other]
        return sum(1 for at in asked if end - DEMAND_HALF_SECONDS < at <= end)

    def send(self, instance: int) -> tuple[int, float] | None:
        """See Way."""
        world = self._world
        asked = self._asked[instance]
        asked.append(world.now)
        while asked[0] < world.now - DEMAND_HALF_SECONDS - LARGE_TOLD_SECONDS:
            asked.popleft()
        rate = world.limit * self._part(instance)
        paces = [
            (self._paces.setdefault((instance, life), Pacer.begin(rate, world.now)), life)
            for life in range(UPSTREAMS)
        ]
        pace, life = min(paces, key=lambda item: item[0].due)
        at = pace.available_at(world.now)
        if at - world.now > WAIT_SECONDS:
            return None
        pace.issue(rate, at)
        return life, at

    def start(self, instance: int) -> None:
        """See Way."""
        for life in range(UPSTREAMS):
            self._paces.pop((instance, life), None)


class Turns:
    """The next permit of an upstream belongs to the instance that hashing names for its moment."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._spent: set[tuple[int, int, int]] = set()
        self._asked_at = [-KNOWN_SECONDS] * world.instances

    def _owner(self, instance: int, life: int, slot: int) -> int:
        world = self._world
        told = world.now - world.told_after
        asking = [
            other
            for other in range(world.instances)
            if told - DEMAND_HALF_SECONDS < self._asked_at[other] or other == instance
        ]
        return max(asking, key=lambda item: _hash(life, slot, item))

    def send(self, instance: int) -> tuple[int, float] | None:
        """See Way."""
        world = self._world
        self._asked_at[instance] = world.now
        valid = 1.0 + 1.0 / world.limit
        first = int((world.now - valid) * world.limit) + 1
        last = int((world.now + WAIT_SECONDS) * world.limit)
        for slot in range(max(0, first), last + 1):
            for life in range(UPSTREAMS):
                key = (instance, life, slot)
                if key not in self._spent and self._owner(instance, life, slot) == instance:
                    self._spent.add(key)
                    return life, max(world.now, slot / world.limit)
        return None

    def start(self, instance: int) -> None:
        """See Way."""
        self._asked_at[instance] = -KNOWN_SECONDS


@lru_cache(1 << 20)
def _hash(life: int, slot: int, instance: int) -> int:
    return xxhash.xxh64_intdigest(f"{life} {slot} {instance}".encode())


class Homes:
    """Each upstream has a home in its data centre that hands its permits out."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._paces: dict[tuple[int, int], Pacer] = {}
        self._home_by_life: dict[tuple[int, int], int] = {}

    def _home(self, instance: int, life: int) -> tuple[int, float]:
        world = self._world
        center = life % min(CENTERS, world.instances)
        mates = [item for item in range(world.instances) if world.center(item) == center]
        live = [item for item in mates if world.hears(instance, item)]
        members = Membership({str(item): str(item) for item in live}, len(live), len(mates))
        home = owner_of(life, members)
        return (int(home.host), home.share) if home.host else (-1, 0.0)

    def send(self, instance: int) -> tuple[int, float] | None:
        """See Way."""
        world = self._world
        lives = list(range(UPSTREAMS))
        world.rng.shuffle(lives)
        offers = [offer for life in lives if (offer := self._offer(instance, life))]
        if not offers:
            return None
        at, life, pace, rate = min(offers, key=lambda item: item[0])
        if at - world.now > WAIT_SECONDS:
            return None
        pace.issue(rate, at)
        return life, at

    def _offer(self, instance: int, life: int) -> tuple[float, int, Pacer, float] | None:
        world = self._world
        home, _ = self._home(instance, life)
        if home < 0 or not world.there[home] or world.is_cut(instance, home):
            return None
        believes, share = self._home(home, life)
        if believes != home or share <= 0:
            return None
        if self._home_by_life.get((home, life)) != home:
            rate = world.limit * share
            pace = Pacer.begin(rate, world.now)
            pace.inherit(self._paces.get((home, life), pace), rate, rate, world.now)
            self._paces[home, life] = pace
            for other in range(world.instances):
                self._home_by_life[other, life] = -1
            self._home_by_life[home, life] = home
        way = 0.0 if home == instance else WAY_SECONDS
        pace = self._paces[home, life]
        return pace.available_at(world.now + way), life, pace, world.limit * share

    def start(self, instance: int) -> None:
        """See Way."""
        for life in range(UPSTREAMS):
            self._paces.pop((instance, life), None)
            self._home_by_life.pop((instance, life), None)


WAYS: dict[str, Callable[[World], Way]] = {
    "equal parts": lambda world: Parts(world, by_demand=False),
    "parts by demand": lambda world: Parts(world, by_demand=True),
    "turns in time": Turns,
    "homes": Homes,
}


@dataclass(frozen=True)
class Outcome:
    """What came of a play: most over the aim, share used."""

    over: float
    used: float


def play(way_name: str, world: World, demand: str) -> Outcome:
    """One play of a way."""
    way = WAYS[way_name](world)
    rng, order = world.rng, itertools.count()
    arrivals: list[list[float]] = [[] for _ in range(UPSTREAMS)]
    rate = ASKED_TIMES * UPSTREAMS * world.limit
    events: list[tuple[float, int, str]] = [(rng.expovariate(rate), next(order), "ask")]
    if world.trouble:
        events.append((END_GAP_SECONDS, next(order), "end"))
    heapq.heapify(events)
    while events[0][0] < PLAYED_SECONDS:
        world.now, _, kind = heapq.heappop(events)
        if kind == "ask":
            _ask(way, world, demand, arrivals)
            heapq.heappush(events, (world.now + rng.expovariate(rate), next(order), "ask"))
        else:
            _change(way, world, events, order)
    over = max(_most_over(items, world.limit) for items in arrivals)
    used = sum(map(len, arrivals)) / (UPSTREAMS * world.limit * PLAYED_SECONDS)
    return Outcome(over, used)


def _change(
    way: Way, world: World, events: list[tuple[float, int, str]], order: "itertools.count[int]"
) -> None:
    """An instance ends, or one that ended starts."""
    gone = [item for item in range(world.instances) if not world.there[item]]
    if gone:
        world.there[gone[0]], world.changed_at[gone[0]] = True, world.now
        way.start(gone[0])
        heapq.heappush(events, (world.now + END_GAP_SECONDS, next(order), "end"))
    elif world.instances > 1:
        place = world.rng.randrange(world.instances)
        world.there[place], world.changed_at[place] = False, world.now
        heapq.heappush(events, (world.now + AWAY_SECONDS, next(order), "end"))


def _ask(way: Way, world: World, demand: str, arrivals: list[list[float]]) -> None:
    instance = _draw(world, demand)
    if not world.there[instance]:
        return
    found = way.send(instance)
    if found is None:
        return
    life, at = found
    # An upstream in the data centre that is cut off is reached from there only.
    is_out = world.is_cut(instance, life % min(CENTERS, world.instances))
    if not is_out:
        arrivals[life].append(at)


def _draw(world: World, demand: str) -> int:
    if demand == "even":
        return world.rng.randrange(world.instances)
    if demand == "skewed":
        return min(world.instances - 1, int(world.rng.expovariate(4.0 / world.instances)))
    if demand == "at one":
        return 0
    return int(world.now / MOVE_SECONDS) % world.instances


def _most_over(arrivals: list[float], limit: float) -> float:
    items = sorted(arrivals)
    worst = float("-inf")
    first = 0
    for place, at in enumerate(items):
        while items[first] <= at - WINDOW_SECONDS:
            first += 1
        worst = max(worst, place - first + 1 - (1.25 * WINDOW_SECONDS * limit + 3))
    return worst


def measure(seeds: int = 2, least: int = 1, most: int = 195) -> ParsedCommand:
    """A table for each number of instances and limit: over the aim, and used."""

    def start() -> int:
        print("instances, limit, demand, trouble: over the aim / used, of " + ", ".join(WAYS))
        for instances in (item for item in (1, 3, 8, 30, 195) if least <= item <= most):
            for limit in (0.1, 0.5, 1.0, 6.0, 50.0):
                for demand, trouble in itertools.product(DEMANDS, (False, True)):
                    cells = [_cell(way, instances, limit, demand, trouble, seeds) for way in WAYS]
                    what = f"{instances}, {limit:g}, {demand}, {'trouble' if trouble else 'calm'}"
                    print(f"{what}: {', '.join(cells)}", flush=True)
        return 0

    return ParsedCommand(start)


def _cell(way: str, instances: int, limit: float, demand: str, trouble: bool, seeds: int) -> str:
    found = [
        play(way, World(instances, limit, seed, trouble), demand) for seed in range(1, seeds + 1)
    ]
    over = max(item.over for item in found)
    return f"{over:.1f} / {sum(item.used for item in found) / seeds:.2f}"


if __name__ == "__main__":
    run_command(measure, "measure_limit_ways")
