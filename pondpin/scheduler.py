"""Holds requests until an engine has room for them, in fair order, and grants engines.

The scheduler owns the queue and the ledger; it runs on the event loop alone, and every
decision it takes is made by the pure modules with the present time as an argument.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from pondpin.admission import Pressure, decide_admission
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.configuration import Policy
from pondpin.errors import PondpinError
from pondpin.fleet import Fleet, UpstreamState
from pondpin.ledger import Hold, Ledger
from pondpin.overload.fair_queue import FairQueue, Flow, Queued
from pondpin.placement import (
    Choice,
    Demand,
    EngineView,
    choose_group,
    largest_prompt,
    make_policy,
    members_needed,
)
from pondpin.policies import PlacementPolicy
from pondpin.prompts import blocks_of
from pondpin.reservations import Member, Reservations

HEADS_TRIED = 32
PUMP_SECONDS = 0.02
GROUP_BACKOFF_SECONDS = 0.05
GROUP_BACKOFF_LIMIT = 1.0
# Steps of priority that a second of waiting adds, when only short requests count and when
# all lengths do.
AGE_STEPS_SHORT = 0.5
AGE_STEPS_ALL = 15.0
HIGHEST_AGED_PRIORITY = 100
PLAIN_PRIORITY = 50


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a request asks of the scheduler. times are in seconds of the steady clock."""

    request: str
    attempt: int
    flow: Flow
    weight: float
    priority: int
    prompt_tokens: int
    max_tokens: int
    hashes: tuple[int, ...]
    long: bool
    queued_at: float
    deadline: float
    selector: str
    model: str
    adapter: str = ""
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Grant:
    """The engines that a request may use now, lead first, and what they hold for it."""

    ticket: Ticket
    engines: tuple[UpstreamState, ...]
    holds: tuple[Hold, ...]
    choice: Choice
    policy: str
    reservation: str
    priority: int
    expected_hit: int
    granted_at: float

    @property
    def lead(self) -> UpstreamState:
        """The engine that gets the request."""
        return self.engines[0]


@dataclass
class _Waiting:
    """A request in the queue."""

    ticket: Ticket
    granted: "asyncio.Future[Grant]"
    place: Queued["_Waiting"] | None = None
    not_before: float = 0.0
    group_tries: int = 0
    cause: str = "an engine was free"


@dataclass(frozen=True, slots=True)
class _Look:
    """The engines as they are to a request, and the choice among them, if there is one."""

    allowed: list[UpstreamState]
    views: list[EngineView]
    demand: Demand | None
    choice: Choice | None

    @property
    def is_single(self) -> bool:
        """Whether one engine is enough."""
        return self.choice is not None and len(self.choice.engines) == 1


@dataclass
class Scheduler:
    """Grants engines to requests."""

    fleet: Fleet
    ledger: Ledger
    reservations: Reservations
    clock: Clock
    random: random.Random
    policy: Policy = field(default_factory=lambda: Policy())
    sharers: Callable[[], int] = lambda: 1

    def __post_init__(self) -> None:
        """Set up the queue."""
        self.queue: FairQueue[_Waiting] = FairQueue()
        self.chooser = make_policy(self.policy.placement, self.policy.choices)
        self.tasks: set[asyncio.Task[None]] = set()
        self.something_waits = asyncio.Event()

    def apply(self, policy: Policy) -> None:
        """Follow the configuration's policy."""
        kept = (self.policy.placement, self.policy.choices)
        if (policy.placement, policy.choices) != kept:
            self.chooser = make_policy(policy.placement, policy.choices)
        self.policy = policy

    async def acquire(self, ticket: Ticket) -> Grant:
        """Wait for engines; raises PondpinError when refused or when the time is over."""
        now = self.clock()
        look = self._look(ticket, now)
        self._admit(ticket, look, now)
        if self.queue.size == 0 and self._find_cause(look) == "" and look.is_single:
            return self._make_grant(ticket, look, now)
        waiting = _Waiting(ticket, asyncio.get_running_loop().create_future())
        cost = float(ticket.prompt_tokens + ticket.max_tokens)
        waiting.place = self.queue.push(waiting, ticket.flow, cost, ticket.weight, now)
        self.something_waits.set()
        self.pump()
        try:
            async with asyncio.timeout(max(0.0, ticket.deadline - now)):
                return await waiting.granted
        except TimeoutError:
            self._take_back(waiting)
            raise PondpinError(Code.DEADLINE_IN_QUEUE, waiting.cause, retry_after=1.0) from None
        except asyncio.CancelledError:
            self._take_back(waiting)
            raise
        finally:
            self.queue.remove(waiting.place)

    def refuse_waiting(self, error: PondpinError) -> None:
        """Refuse all requests that wait for engines: nothing of them was run."""
        for queued in self.queue.items():
            if not queued.item.granted.done():
                queued.item.granted.set_exception(error)

    def _take_back(self, waiting: _Waiting) -> None:
        """Return a grant that came just as its request stopped waiting."""
        granted = waiting.granted
        if granted.done() and not granted.cancelled():
            self.release(granted.result())

    def release(self, grant: Grant) -> None:
        """Give back what a grant holds; members of a group are told."""
        self._give_back(grant)
        if grant.reservation:
            addresses = [state.upstream.address for state in grant.engines]
            self._spawn(self.reservations.release(grant.reservation, addresses))
        self.pump()

    def _give_back(self, grant: Grant) -> None:
        """Take a grant's holds off the ledger and the views."""
        now = self.clock()
        for hold in grant.holds:
            self.ledger.give_back(hold.key)
            state = self.fleet.by_name.get(hold.upstream)
            if state is not None:
                state.end_work(hold.key, now)

    def pump(self) -> None:
        """Grant engines to those at the head of the queue while there is room."""
        now = self.clock()
        progress = True
        while progress and self.queue.size:
            progress = False
            for queued in self.queue.heads(now)[:HEADS_TRIED]:
                if queued.item.not_before <= now and self._try_grant(queued, now):
                    progress = True

    def candidates(self, ticket: Ticket) -> list[UpstreamState]:
        """The engines that the rule allows, less the excluded ones if others are left."""
        allowed = self.fleet.select(ticket.selector, {"kind": "engine", "model": ticket.model})
        if ticket.adapter:
            allowed = [state for state in allowed if state.has_adapter(ticket.adapter)]
        others = [state for state in allowed if state.name not in ticket.excluded]
        return others or allowed

    def wait_seconds(self, ticket: Ticket, look: _Look) -> float:
        """Expected wait in the queue before a new request.

        A request of another flow that waits for something else (say, a group) is passed by:
        only when the new one would wait itself does the work before it count, at this
        instance's part of the engines' pace.
        """
        if not self.queue.has(ticket.flow) and self._find_cause(look) == "":
            return 0.0
        ahead = self.queue.cost_before(ticket.flow)
        pace = sum(1.0 / view.costs.prefill for view in look.views)
        return ahead * max(1, self.sharers()) / pace

    def _look(self, ticket: Ticket, now: float) -> _Look:
        """What the engines are now to a request."""
        allowed = self.candidates(ticket)
        views = self.fleet.views(self.fleet.in_service(allowed, now), now)
        if not views:
            return _Look(allowed, views, None, None)
        demand = self._demand(ticket, now, views)
        return _Look(allowed, views, demand, self._choose(views, demand))

    def _admit(self, ticket: Ticket, look: _Look, now: float) -> None:
        """Refuse at once what cannot be served; raises PondpinError."""
        allowed, views, choice = look.allowed, look.views, look.choice
        if not allowed:
            raise PondpinError(Code.NO_UPSTREAM, "no upstream is configured for the rule")
        largest = largest_prompt(self.fleet.sizes(allowed))
        if largest and ticket.prompt_tokens + ticket.max_tokens > largest:
            raise PondpinError(
                Code.PROMPT_TOO_LARGE,
                f"{ticket.prompt_tokens} prompt and {ticket.max_tokens} answer tokens;"
                f" the most that fits is {largest}",
            )
        if not views:
            raise self.fleet.why_nobody(allowed, now)
        if choice is None:
            return
        pressure = Pressure(
            self.queue.size, self.policy.queue_limit, self.wait_seconds(ticket, look)
        )
        verdict = decide_admission(
            self.policy.admission, choice.prediction, pressure, ticket.deadline - now
        )
        if not verdict.admitted:
            raise PondpinError(verdict.code, verdict.detail, retry_after=verdict.retry_after)

    def _demand(self, ticket: Ticket, now: float, views: list[EngineView]) -> Demand:
        hits: dict[str, int] = {}
        if ticket.hashes:
            for view in views:
                index = self.fleet.by_name[view.id].prefixes
                expected = index.expect_blocks(ticket.hashes) * view.block_tokens
                if expected:
                    hits[view.id] = int(expected * index.trust)
        return Demand(
            prompt_tokens=ticket.prompt_tokens,
            max_tokens=ticket.max_tokens,
            priority=self._aged_priority(ticket, now),
            long=ticket.long,
            hit_tokens_by_engine=hits,
        )

    def _aged_priority(self, ticket: Ticket, now: float) -> int:
        """Waiting raises a request's priority, so that long work progresses."""
        if not self.policy.priorities:
            return PLAIN_PRIORITY
        weight = self.policy.short_weight
        pace = weight * AGE_STEPS_SHORT + (1.0 - weight) * AGE_STEPS_ALL
        steps = int((now - ticket.queued_at) * pace)
        return max(ticket.priority, min(HIGHEST_AGED_PRIORITY, ticket.priority + steps))

    def _choose(self, views: list[EngineView], demand: Demand) -> Choice | None:
        if members_needed(views, demand) > 1:
            return choose_group(views, demand)
        needed_tokens = demand.tokens
        fitting = [view for view in views if needed_tokens <= view.blocks * view.block_tokens]
        return self.chooser.choose(fitting, demand, self.random)

    def _try_grant(self, queued: Queued[_Waiting], now: float) -> bool:
        waiting = queued.item
        ticket = waiting.ticket
        if waiting.granted.done():
            self.queue.remove(queued)
            return True
        look = self._look(ticket, now)
        cause = self._find_cause(look)
        if cause:
            waiting.cause = cause
            return False
        self.queue.serve(queued)
        grant = self._make_grant(ticket, look, now)
        if grant.reservation:
            self._spawn(self._reserve(waiting, grant))
        else:
            waiting.granted.set_result(grant)
        return True

    def _find_cause(self, look: _Look) -> str:
        """Why a request should wait here and not in an engine's own queue; empty if not."""
        choice, demand = look.choice, look.demand
        if not look.views or demand is None:
            return "no engine was in service"
        if choice is None:
            return "no group of engines had enough free memory"
        if self.policy.placement is not PlacementPolicy.PREDICTED:
            return ""
        if not choice.prediction.fits:
            return "no engine had enough free memory"
        lead = next(view for view in look.views if view.id == choice.prediction.engine)
        ahead = lead.ahead_of(demand.priority) * lead.costs.prefill
        if ahead > self.policy.prefill_ahead_seconds:
            return f"{ahead:.2f} s of prompts were ahead on the best engine"
        return ""

    def _make_grant(self, ticket: Ticket, look: _Look, now: float) -> Grant:
        choice, demand = look.choice, look.demand
        assert choice is not None and demand is not None, "only a look without a cause is granted"
        engines = tuple(self.fleet.by_name[name] for name in choice.engines)
        members = len(engines)
        share = -(-demand.tokens // members)
        hit = demand.hit_tokens_by_engine.get(choice.engines[0], 0)
        holds = []
        for state in engines:
            report = state.report
            assert report is not None, "only engines that have reported are chosen"
            hold = Hold(
                request=ticket.request,
                attempt=ticket.attempt,
                upstream=state.name,
                blocks=blocks_of(share, report.block_tokens),
                prompt_tokens=ticket.prompt_tokens,
                priority=demand.priority,
                taken_at=now,
                deadline=ticket.deadline,
            )
            self.ledger.take(hold)
            state.take_turn(self.fleet.sharer(), now)
            state.begin_work(hold, max(1, ticket.prompt_tokens - hit) // members)
            holds.append(hold)
        reservation = f"{ticket.request}.{ticket.attempt}" if members > 1 else ""
        return Grant(
            ticket=ticket,
            engines=engines,
            holds=tuple(holds),
            choice=choice,
            policy=self.policy.placement.value,
            reservation=reservation,
            priority=demand.priority,
            expected_hit=hit,
            granted_at=now,
        )

    async def _reserve(self, waiting: _Waiting, grant: Grant) -> None:
        """Reserve the members of a group, and queue the request again when that fails."""
        members = [
            Member(state.upstream.address, hold.blocks)
            for state, hold in zip(grant.engines, grant.holds, strict=True)
        ]
        deadline = grant.ticket.deadline
        if not await self.reservations.reserve(grant.reservation, members, deadline):
            self._requeue(waiting, grant)
        elif waiting.granted.done():
            # Its request stopped waiting meanwhile.
            self.release(grant)
        else:
            waiting.granted.set_result(grant)

    def _requeue(self, waiting: _Waiting, grant: Grant) -> None:
        """A group did not come together: give back, wait a random while, queue again."""
        now = self.clock()
        self._give_back(grant)
        if waiting.granted.done():
            self.pump()
            return
        waiting.group_tries += 1
        longest = min(GROUP_BACKOFF_LIMIT, GROUP_BACKOFF_SECONDS * 2**waiting.group_tries)
        waiting.not_before = now + self.random.random() * longest
        waiting.cause = "a group member had no room for the reservation"
        ticket = waiting.ticket
        cost = float(ticket.prompt_tokens + ticket.max_tokens)
        waiting.place = self.queue.push(waiting, ticket.flow, cost, ticket.weight, now)
        self.something_waits.set()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
