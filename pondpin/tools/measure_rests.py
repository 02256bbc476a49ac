"""Plays overloaded upstreams that ask for rest, in virtual time, and compares ways to keep to it.

8 instances before 6 upstreams of 6 slots. An upstream that is full turns away and asks for rest; a
request works 0.1 s, its target is 0.4 s, its caller waits 4 s and comes back once, as told. The
decision is the product's (`pondpin.availability`); the ways differ in what stands around it.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from pondpin.availability import Availability, BlockReason, find_unavailability
from pondpin.notices import Notice
from pondpin.runtime import ParsedCommand, run_command
from pondpin.tools.virtual_time import run_virtual

INSTANCES = 8
UPSTREAMS = 6
SLOTS = 6
QUEUE = 3
WORK_SECONDS = 0.1
TARGET_SECONDS = 0.4
PATIENCE_SECONDS = 4.0
ATTEMPTS = 2
PLAYED_SECONDS = 20.0
# Requests a second, of the 360 that the upstreams can do; in the surge for some seconds.
USUAL_RATE = 180.0
SURGE_RATE = 540.0
SURGE = (5.0, 8.0)
# A dip: all upstreams turn everything away for so long.
DIP = (5.0, 5.4)
TRACE_SECONDS = 0.05


@dataclass(frozen=True)
class Way:
    """How an instance behaves around the decision.

    wait_share: it waits for a rest that ends within this share of what is left of the target;
    bit_by_bit: the return from a rest; tells: peers hear of rests as a hint.
    """

    name: str
    wait_share: float = 0.0
    bit_by_bit: bool = True
    tells: bool = False


@dataclass(frozen=True)
class Load:
    """What is played: rest is what upstreams ask for; a surge, or a dip of so many upstreams, which
    turn everything away meanwhile.
    """

    name: str
    rest: float
    surge: bool
    rate: float = USUAL_RATE
    dip: tuple[float, float] = DIP
    dipped: int = UPSTREAMS


@dataclass
class Upstream:
    """Runs requests, and turns away what is too much."""

    open: int = 0
    dipped: bool = False

    async def run(self) -> bool:
        """Run a request; False when it is turned away."""
        if self.dipped or self.open >= SLOTS + QUEUE:
            return False
        self.open += 1
        await asyncio.sleep(WORK_SECONDS * max(1.0, self.open / SLOTS))
        self.open -= 1
        return True


@dataclass
class Instance:
    """Knows standings of its own, and its own and peers' requests at each upstream."""

    standings: list[Availability]
    hinted_until: list[float]
    open: list[int]


@dataclass
class Play:
    """One play."""

    way: Way
    load: Load
    seed: int
    counts: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Set up the fleet."""
        self.rng = random.Random(self.seed)
        self.upstreams = [Upstream() for _ in range(UPSTREAMS)]
        self.instances = [
            Instance([Availability() for _ in range(UPSTREAMS)], [0.0] * UPSTREAMS, [0] * UPSTREAMS)
            for _ in range(INSTANCES)
        ]

    def now(self) -> float:
        """Seconds of the loop's clock."""
        return asyncio.get_running_loop().time()

    async def play(self) -> Counter[str]:
        """Load for a while; returns what became of the requests."""
        began = self.now()
        tasks = []
        while (at := self.now() - began) < PLAYED_SECONDS:
            begin, end = self.load.dip
            is_dip = not self.load.surge and begin <= at < end
            for place, upstream in enumerate(self.upstreams):
                upstream.dipped = is_dip and place < self.load.dipped
            in_surge = self.load.surge and SURGE[0] <= at < SURGE[1]
            tasks.append(asyncio.ensure_future(self._caller()))
            await asyncio.sleep(self.rng.expovariate(SURGE_RATE if in_surge else self.load.rate))
        await asyncio.gather(*tasks)
        return self.counts

    async def _caller(self) -> None:
        began = self.now()
        told = await self._serve(self.rng.choice(self.instances), began)
        if told is not None and told < (began + PATIENCE_SECONDS - self.now()) / 3:
            self.counts["came back"] += 1
            await asyncio.sleep(told)
            told = await self._serve(self.rng.choice(self.instances), began)
        if told is not None:
            self.counts["refused"] += 1
            return
        in_time = self.now() - began <= TARGET_SECONDS
        self.counts["in time" if in_time else "late"] += 1

    async def _serve(self, instance: Instance, began: float) -> float | None:
        """Serve a request; None when it was, else when its caller is to come back."""
        tried: set[int] = set()
        while len(tried) < ATTEMPTS:
            place = self._choose(instance, tried)
            if place is None:
                if tried or not await self._wait(instance, began):
                    return self._back_in(instance)
                continue
            tried.add(place)
            instance.open[place] += 1
            self.counts["sent"] += 1
            taken = await self.upstreams[place].run()
            instance.open[place] -= 1
            if taken:
                instance.standings[place].record_accepted(self.now())
                return None
            self._note_rest(instance, place)
        return self._back_in(instance)

    def _choose(self, instance: Instance, tried: set[int]) -> int | None:
        now = self.now()
        places = [
            place
            for place in range(UPSTREAMS)
            if place not in tried and not self._bar(instance, place, now)
        ]
        unhinted = [place for place in places if now >= instance.hinted_until[place]]
        places = unhinted or places
        if not places:
            return None
        # Peers' requests as digests tell them; the draw stands for what they don't tell yet.
        return min(places, key=lambda place: (self.upstreams[place].open, self.rng.random()))

    def _bar(self, instance: Instance, place: int, now: float) -> BlockReason:
        open_here = instance.open[place] if self.way.bit_by_bit else 0
        return instance.standings[place].block_reason(now, open_here)

    async def _wait(self, instance: Instance, began: float) -> bool:
        """Wait for the first that is back; False when that takes too long."""
        now = self.now()
        left = began + TARGET_SECONDS - now
        why = find_unavailability(instance.standings, now)
        back_in = TRACE_SECONDS if why is None else why.resume_at - now
        if back_in > self.way.wait_share * left:
            return False
        self.counts["waited"] += 1
        await asyncio.sleep(back_in + 0.001)
        return True

    def _back_in(self, instance: Instance) -> float:
        now = self.now()
        why = find_unavailability(instance.standings, now)
        wait = 0.0 if why is None else max(0.0, why.resume_at - now)
        return wait + min(1.0, 0.4 + wait) * self.rng.random()

    def _note_rest(self, instance: Instance, place: int) -> None:
        self.counts["turned away"] += 1
        now = self.now()
        notice = Notice(rest=self.load.rest)
        instance.standings[place].apply_notice(notice, "answer", now, self.rng.random())
        if self.way.tells:
            for peer in self.instances:
                peer.hinted_until[place] = max(peer.hinted_until[place], now + self.load.rest)


AT_ONCE = Way("refuse at once, return bit by bit, tell nobody")
WAYS = (
    AT_ONCE,
    replace(AT_ONCE, name="wait within a quarter of what is left", wait_share=0.25),
    replace(AT_ONCE, name="wait within half of what is left", wait_share=0.5),
    replace(AT_ONCE, name="wait within all that is left", wait_share=1.0),
    replace(AT_ONCE, name="return all at once", bit_by_bit=False),
    replace(AT_ONCE, name="tell peers as a hint", tells=True),
)
LOADS = (
    Load("a surge of 1.5 times what they can do, rests of 1 s", 1.0, True),
    Load("the same surge, rests of 3 s", 3.0, True),
    Load("all turn away for 0.4 s, rests of 0.1 s", 0.1, False),
    Load("all turn away for 0.4 s, rests of 0.3 s", 0.3, False),
    Load("all turn away for 0.4 s, rests of 1 s", 1.0, False),
    Load("a third turn all away for 9 s, rests of 3 s", 3.0, False, 100.0, (5.0, 14.0), 2),
    Load("half turn all away for 9 s, rests of 3 s", 3.0, False, 100.0, (5.0, 14.0), 3),
)
TOLD = ("in time", "late", "refused", "came back", "turned away", "waited")


def measure(seeds: int = 5) -> ParsedCommand:
    """Compare the ways on each load; figures are sums over the seeds, shares of the requests."""

    def start() -> int:
        for load in LOADS:
            print(load.name)
            for way in WAYS:
                total: Counter[str] = Counter()
                for seed in range(1, seeds + 1):
                    total += run_virtual(Play(way, load, seed).play())
                asked = total["in time"] + total["late"] + total["refused"]
                shares = ", ".join(f"{name} {total[name] / asked:.3f}" for name in TOLD)
                print(f"  {way.name}: {shares} of {asked}", flush=True)
        return 0

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(measure, "measure_rests")
