"""Plays long prompts of several ranks and accounts beyond what the engines bear.

Instances that exchange digests with loss, on simulated engines, with the relay's own planner,
dispatcher and queue. Compares the order by shares with the one without `slot_grants`.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, cast

from pondpin.errors import PondpinError
from pondpin.relay.attempts.placer import Placer
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.dispatch import Dispatcher
from pondpin.relay.choosing.planner import Plan, Planner, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import (
    ClientAccount,
    EngineProfile,
    ListedUpstream,
    RelayConfiguration,
    RequestMetadata,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.upstreams.forecast import prefill_duration
from pondpin.runtime import ParsedCommand, run_command
from pondpin.tools.gossip_fleet import GossipFleet
from pondpin.tools.virtual_time import run_virtual

PROFILE = EngineProfile(8, 450_000, 46, 0.000925, 5e-6, 2.5e-6, 256_000.0, 9.17e-11, 2048, 0.0001)
MEAN_TOKENS = 300_000
TARGET_SECONDS = 4.0
GAP_TARGET_SECONDS = 1.0
TIMEOUT_SECONDS = 12.0
ANSWER_TOKENS = 400
# After its first event a prompt is a stream for about this long.
STREAM_SECONDS = 1.5
STEP_SECONDS = 0.004
SETUP_SECONDS = 4.0
# Prompts that arrive earlier meet empty engines and aren't counted.
WARM_SECONDS = 8.0
LOSS_SHARE = 0.02
# Share of the engines' time that long prompts can use: waits for parts leave the rest idle.
BEARABLE_SHARE = 0.75
SERVICE = "engines"
NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class Caller:
    """A part of the demand; part is relative to the others. only_at: its one instance."""

    account: str
    rank: int
    part: float
    only_at: int | None = None


@dataclass(slots=True)
class Prompt:
    """A played prompt and its end."""

    caller: Caller
    member: int
    call: RelayCall
    seconds: float
    sent_at: float = NEVER
    first_at: float = NEVER
    refused_at: float = NEVER
    retry_after: float = 0.0
    gave_up: bool = False
    # When its instance's view of the common queue last changed before the refusal.
    changed_at: float = 0.0
    plan: Plan | None = None
    key: int = 0
    pending_parts: int = 0

    @property
    def is_on_time(self) -> bool:
        """Whether its first event met the target."""
        return self.first_at - self.call.arrived_at <= self.call.route.latency_target

    @property
    def is_answered(self) -> bool:
        """Whether its first event came before its caller gave up."""
        return self.first_at - self.call.arrived_at <= self.patience

    @property
    def patience(self) -> float:
        """Seconds for which its caller waits."""
        return min(self.call.caller_timeout, TIMEOUT_SECONDS)


@dataclass(slots=True)
class _Part:
    prompt: Prompt
    left: float


class _LossyFleet(GossipFleet):
    """A fleet that loses some datagrams, and all of dead instances."""

    def __init__(self, centers: int, instances: int, seed: int, loss: float) -> None:
        super().__init__(centers, instances, seed)
        self.loss = loss
        self.loss_rng = random.Random(seed + 1)
        self.dead_hosts: set[str] = set()

    def carry(self, center: str, data: bytes, host: str) -> None:
        """Send a datagram, which may be lost."""
        if self.loss_rng.random() >= self.loss and host not in self.dead_hosts:
            super().carry(center, data, host)


@dataclass
class Load:
    """A load to play; demand: relative to what the engines bear."""

    demand: float
    callers: Sequence[Caller]
    instances: int = 8
    engines_each: int = 5
    seconds: float = 40.0
    loss: float = LOSS_SHARE
    slowness: float = 1.0
    events: list[tuple[float, Callable[["Play"], None]]] = field(default_factory=list)


class Play:
    """One play of a load."""

    def __init__(self, load: Load, seed: int, without: frozenset[Mechanism]) -> None:
        self.load = load
        # Arrivals have their own numbers, so that both orders are played on the same load.
        self.rng = random.Random(seed)
        self._stream_rng = random.Random(seed)
        self.fleet = _LossyFleet(3, load.instances, seed, load.loss)
        self.policy = RelayPolicy(without=without)
        listed = [
            ListedUpstream(f"c{c}-{n}", SERVICE, "10.0.0.1", n + 1, f"c{c}", PROFILE.slots, False)
            for c in range(3)
            for n in range(load.engines_each)
        ]
        self.listed = listed
        self.parts_by_life: dict[int, list[_Part]] = {item.life: [] for item in listed}
        accounts = {caller.account: caller for caller in load.callers}
        self.configuration = RelayConfiguration(
            1,
            {},
            {SERVICE: Service(SERVICE, "/healthz", 4096, PROFILE)},
            {name: ClientAccount(name, caller.rank) for name, caller in accounts.items()},
        )
        self.prompts: list[Prompt] = []
        self.placers: list[Placer] = []
        self.planners: list[Planner] = []
        self.dead: set[int] = set()
        self.settled_at: dict[int, float] = {}
        self.changed_at: dict[int, float] = {}
        self._decoding: list[tuple[float, int, Prompt]] = []
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.now = self.fleet.now
        self.begin = 0.0

    def _clock(self) -> float:
        return asyncio.get_running_loop().time()

    def _attach(self, index: int, member: Gossip) -> None:
        member.table.apply_list(self.listed, [])
        rng = random.Random(index)
        planner = Planner(
            member.table,
            self._clock,
            rng,
            member.send_soon,
            self.policy,
            peer_count=member.count_reporting_peers,
            broadcast_long_prefills=member.broadcast_long_prefills,
        )
        dispatcher = Dispatcher(
            member.prefill_queue,
            self._clock,
            rng,
            member.send_soon,
            lambda: self._clock() >= self.settled_at.get(index, 0.0),
            self.policy,
        )
        observe = member.prefill_queue.on_change

        def record_change() -> None:
            self.changed_at[index] = self._clock()
            observe()

        member.prefill_queue.on_change = record_change
        nothing: Any = None
        self.planners.append(planner)
        self.placers.append(
            Placer(
                planner, lambda: dispatcher, nothing, nothing, member.table, nothing, nothing,
                self._clock, rng,
            )
        )  # fmt: skip

    async def play(self) -> None:
        """Play the load."""
        self.fleet.play(SETUP_SECONDS)
        loop = cast(Any, asyncio.get_running_loop())
        loop.now = self.fleet.now
        for index, member in enumerate(self.fleet.members):
            self._attach(index, member)
        self.begin = self._clock()
        end = self.begin + self.load.seconds
        next_at = self.begin + self.rng.expovariate(self._rate())
        events = sorted(self.load.events, key=lambda item: item[0])
        while self._clock() < end + TIMEOUT_SECONDS:
            now = self._clock()
            while events and now >= self.begin + events[0][0]:
                events.pop(0)[1](self)
            while now >= next_at and next_at < end:
                self._arrive(now)
                next_at += self.rng.expovariate(self._rate())
            self._run_engines(now)
            self.fleet.play(now - self.fleet.now)
            await asyncio.sleep(STEP_SECONDS)
        for task in self._tasks:
            task.cancel()

    def _rate(self) -> float:
        """Prompts a second."""
        mean = sum(
            prefill_duration(PROFILE, int(MEAN_TOKENS * (0.6 + 0.8 * step / 100)))
            for step in range(100)
        )
        return self.load.demand * BEARABLE_SHARE * len(self.listed) / (mean / 100)

    def join(self, settle: float) -> None:
        """Start a further instance."""
        index = len(self.fleet.members)
        self.settled_at[index] = self._clock() + settle
        self._attach(index, self.fleet.join())

    def head_member(self) -> int:
        """The instance whose prompt is first by its own view; the first instance if none waits."""
        now = self._clock()
        for index, member in enumerate(self.fleet.members):
            own = {item.key for item in member.prefill_queue.digest(now)}
            first = member.prefill_queue.forecast_order(now, len(self.listed)).first
            if first is not None and first.key in own:
                return index
        return 0

    def kill(self, index: int) -> None:
        """End an instance: it sends and receives nothing, and its waiting prompts are lost."""
        member = self.fleet.members[index]
        self.dead.add(index)
        self.fleet.dead_hosts.add(member.address.host)
        member.transport = None

    def _arrive(self, now: float) -> None:
        callers = self.load.callers
        caller = self.rng.choices(callers, [item.part for item in callers])[0]
        alive = [index for index in range(len(self.placers)) if index not in self.dead]
        member = self.rng.choice(alive) if caller.only_at is None else caller.only_at
        self.add(caller, member, int(MEAN_TOKENS * self.rng.uniform(0.6, 1.4)), now)

    def add(self, caller: Caller, member: int, tokens: int, now: float) -> Prompt:
        """A prompt arrives."""
        shares = (ServiceShare(SERVICE, 1.0),)
        route = Route(
            "r", "h", "/", RouteKind.STREAM, TIMEOUT_SECONDS, TARGET_SECONDS, 1, shares, 2, False,
            True, GAP_TARGET_SECONDS,
        )  # fmt: skip
        nothing: Any = None
        call = RelayCall(
            incoming=nothing,
            reply=nothing,
            metadata=RequestMetadata("a", "h", "", TIMEOUT_SECONDS, tokens, ANSWER_TOKENS, ""),
            route=route,
            service=SERVICE,
            account=caller.account,
            rank=caller.rank,
            configuration=self.configuration,
            arrived_at=now,
            deadline=now + TIMEOUT_SECONDS,
        )
        prompt = Prompt(caller, member, call, prefill_duration(PROFILE, tokens))
        self.prompts.append(prompt)
        task = asyncio.get_running_loop().create_task(self._place(prompt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return prompt

    async def _place(self, prompt: Prompt) -> None:
        placer, progress = self.placers[prompt.member], Progress()
        try:
            async with asyncio.timeout(prompt.patience):
                plan = await placer._plan_in_queue(prompt.call, progress, frozenset())
        except TimeoutError:
            prompt.gave_up = True
            return
        except PondpinError as error:
            prompt.refused_at = self._clock()
            prompt.retry_after = error.retry_after or 0.0
            prompt.changed_at = self.changed_at.get(prompt.member, 0.0)
            return
        if plan is None or plan.choice is None or prompt.member in self.dead:
            return
        prompt.plan, prompt.sent_at = plan, self._clock()
        prompt.key = self.planners[prompt.member].begin_attempt(prompt.call, progress, plan)
        states = (plan.lead, *plan.helpers)
        prompt.pending_parts = len(states)
        for state in states:
            part = _Part(prompt, plan.choice.part_seconds * self.load.slowness)
            self.parts_by_life[state.life].insert(0, part)

    def _run_engines(self, now: float) -> None:
        """Run each engine since the last step: the newest part first."""
        for parts in self.parts_by_life.values():
            left = now - self.now
            while parts and left > 0:
                spent = min(left, parts[0].left)
                parts[0].left -= spent
                left -= spent
                if parts[0].left <= 1e-9:
                    self._end_part(parts.pop(0).prompt, now - left)
        self.now = now
        while self._decoding and self._decoding[0][0] <= now:
            _, _, prompt = heapq.heappop(self._decoding)
            assert prompt.plan is not None, "it was sent"
            self.planners[prompt.member].end_attempt(prompt.plan, prompt.key)

    def _end_part(self, prompt: Prompt, at: float) -> None:
        prompt.pending_parts -= 1
        if prompt.pending_parts or prompt.plan is None:
            return
        prompt.first_at = at + 0.05
        self.planners[prompt.member].record_first_event(prompt.plan, prompt.key)
        end = at + STREAM_SECONDS * self._stream_rng.uniform(0.7, 1.3)
        heapq.heappush(self._decoding, (end, next(self._numbers), prompt))

    def counted(self, caller: Caller | None = None) -> list[Prompt]:
        """Prompts that arrived once the load was established, of one caller or all."""
        return [
            item
            for item in self.prompts
            if item.call.arrived_at >= self.begin + WARM_SECONDS
            and (caller is None or item.caller is caller)
        ]


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of some prompts; shares are of engine seconds unless said otherwise."""

    prompts: int
    on_time: float
    on_time_count: float
    answered_late: float
    # Of the engine seconds that were spent, those on prompts that ended late.
    spent_late: float
    refused: float
    gave_up: int
    # Of the refused: within 10 ms of the arrival, and of that or a change of the order.
    refused_at_once: float
    refused_soon: float
    median_wait: float
    longest_wait: float


def compute_figures(prompts: Sequence[Prompt]) -> Figures:
    """Compute the figures of some prompts."""
    total = sum(item.seconds for item in prompts) or 1.0
    on_time = sum(item.seconds for item in prompts if item.is_on_time)
    late = sum(item.seconds for item in prompts if item.is_answered and not item.is_on_time)
    spent = sum(item.seconds for item in prompts if item.sent_at < NEVER) or 1.0
    refused = [item for item in prompts if item.refused_at < NEVER]
    waits = sorted(item.refused_at - item.call.arrived_at for item in refused) or [0.0]
    at_once = sum(1 for wait in waits if wait <= 0.01) if refused else 0
    soon = sum(
        1
        for item in refused
        if item.refused_at - max(item.call.arrived_at, item.changed_at) <= 0.01
    )
    count = max(1, len(refused))
    return Figures(
        len(prompts),
        on_time / total,
        sum(1 for item in prompts if item.is_on_time) / max(1, len(prompts)),
        late / total,
        (spent - on_time) / spent,
        sum(item.seconds for item in refused) / total,
        sum(1 for item in prompts if item.gave_up),
        at_once / count,
        soon / count,
        waits[len(waits) // 2],
        waits[-1],
    )


def play_load(load: Load, seed: int, without: frozenset[Mechanism] = frozenset()) -> Play:
    """Play a load in simulated time."""
    holder: list[Play] = []

    async def run_play() -> None:
        play = Play(load, seed, without)
        holder.append(play)
        await play.play()

    run_virtual(run_play())
    return holder[0]


RANKS = (Caller("urgent", 0, 0.5), Caller("batch", 2, 0.5))
ACCOUNTS = (Caller("few", 1, 1 / 8, only_at=0), Caller("many", 1, 7 / 8))
ONE = (Caller("one", 1, 1.0),)
MIXED = (
    Caller("urgent", 0, 0.25),
    Caller("few", 1, 0.05),
    Caller("many", 1, 0.45),
    Caller("batch", 2, 0.25),
)
CALLERS_BY_NAME = {"one": ONE, "ranks": RANKS, "accounts": ACCOUNTS, "mixed": MIXED}


def describe(name: str, plays: Sequence[Play], callers: Sequence[Caller]) -> str:
    """A table row of all prompts, and the shares on time of each caller."""
    figures = compute_figures([item for play in plays for item in play.counted()])
    each = [
        compute_figures([item for play in plays for item in play.counted(caller)])
        for caller in callers
    ]
    shares = " ".join(
        f"{caller.account} {item.on_time:.2f}" for caller, item in zip(callers, each, strict=True)
    )
    return (
        f"{name}: n {figures.prompts}, on time {figures.on_time:.3f} (count "
        f"{figures.on_time_count:.3f}; {shares}), late {figures.answered_late:.3f}, spent late "
        f"{figures.spent_late:.3f}, refused {figures.refused:.3f}, given up {figures.gave_up}, "
        f"at once {figures.refused_at_once:.2f}, soon {figures.refused_soon:.2f}, wait median "
        f"{figures.median_wait:.2f} longest {figures.longest_wait:.2f}"
    )


def measure(
    instances: int = 8, engines_each: int = 5, seeds: int = 2, callers: str = "", seconds: int = 40
) -> ParsedCommand:
    """Play all loads on both orders; callers: the name of one set of callers."""

    def play_all() -> int:
        for name in [callers] if callers else list(CALLERS_BY_NAME):
            for demand in (1.0, 2.0, 3.0):
                for order, without in (
                    ("present", frozenset((Mechanism.SLOT_GRANTS,))),
                    ("new", frozenset()),
                ):
                    load = Load(
                        demand, CALLERS_BY_NAME[name], instances, engines_each, float(seconds)
                    )
                    plays = [
                        play_load(replace(load), seed, without) for seed in range(1, seeds + 1)
                    ]
                    print(describe(f"{name} x{demand:g} {order}", plays, load.callers), flush=True)
        return 0

    return ParsedCommand(play_all)


if __name__ == "__main__":
    run_command(measure, "measure_prefill_order")
