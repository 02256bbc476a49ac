"""Chooses the engine that answers a streamed request, and those that read parts of its prompt."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from pondpin.relay.model import EngineProfile
from pondpin.relay.upstreams.forecast import (
    EngineLoad,
    decode_loss,
    delay_loss,
    first_event_miss_probability,
    first_event_seconds,
    miss_probability,
    pass_seconds,
    prefill_duration,
    total_delay_loss,
)
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS

# Numbers of engines that are compared for one prompt; an engine lets 16 others help.
PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
MAX_PARTS = max(PART_COUNTS)
# A prompt whose reading is below this share of the strictest pause target counts as light.
LIGHT_SHARE = 0.5
# Free slots kept on each engine of the light pool, for what peers place unseen.
SPARE_SLOTS = 2
# The light pool is sized for this multiple of the light streams in flight, and some more.
POOL_GROWTH = 1.25
POOL_MARGIN = 4
# Worth that a second of a heavy part costs on an engine of the light pool, for each light stream
# that an engine there has on average.
POOL_WORTH_PER_SECOND = 0.5
# Worth of a second of waiting as a share of a request's, so that of two sure ways the
# faster is taken.
HASTE = 0.06
# A prompt waits outside while its forecast and the wait are under this share of its target,
# when sending it would cost others more than this share of its own worth.
WAIT_SHARE = 0.6
WAIT_WORTH = 0.1
# Shares of its worth that a late answer loses, and one whose caller gives up first loses further.
LATE_LOSS = 0.75
GONE_LOSS = 0.4
USEFUL_SHARE = 0.8
# A first event that is forecast after this share of the caller's patience comes too late.
LATEST_SHARE = 0.95
GONE_SURE = 0.2
GONE_LATE = 0.6
# Worth lost for each further engine that reads a part: each may fail or be late.
PART_WORTH = 0.03
# Seconds that a request waits for each one that is already too many on an engine.
QUEUE_SECONDS = 0.25
# An engine that reads for longer than this does not become a lead while another can.
LEAD_READING_SECONDS = 0.05
# Seconds that a full engine counts as slower than an empty one, so that equals are spread.
FILLED_SECONDS = 0.05
# Share of an engine's memory that is given out; answers grow while they are written.
MEMORY_SHARE = 0.95
# Tokens of a prompt whose answer has a worth of one.
WORTH_TOKENS = 3500.0
WORTH_POWER = 0.75
SMALLEST_WORTH = 0.3


@dataclass(frozen=True, slots=True)
class Job:
    """A streamed request to be placed; targets in seconds.

    patience: seconds after which the caller gives up without a first event; waited: how many of
    them are over. shortest_gap: the strictest target of pauses among those that share the
    engines, infinite when it is not known.
    """

    prompt_tokens: int
    answer_tokens: int
    target: float
    gap_target: float
    caller_timeout: float
    waited: float = 0.0
    service_gap_target: float = math.inf

    @property
    def effective_gap_target(self) -> float:
        """The target of pauses that reading this prompt beside others must leave room for."""
        return min(self.gap_target, self.service_gap_target)

    @property
    def weight(self) -> float:
        """The weight of the request against others."""
        return worth_of(self.prompt_tokens)

    @property
    def tokens(self) -> int:
        """Memory that it needs in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """What a choice may use; all but the defaults are there to measure what that is worth.

    in_turn: a long prompt gets its engines once they have read others. pool: light streams have
    engines of their own. leases: a prompt may lie on several engines.
    """

    max_parts: int = MAX_PARTS
    wait_for_long_prefills: bool = True
    light_pool: bool = True
    leases: bool = True


USUAL_RULES = ChoiceOptions()


class Engine(Protocol):
    """An engine that may get work; its load may be worked out once it is asked for."""

    @property
    def id(self) -> str:
        """The engine's id."""
        ...

    @property
    def load(self) -> EngineLoad:
        """What it does."""
        ...

    @property
    def local(self) -> bool:
        """Whether it is in the data centre of this instance."""
        ...


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine whose load is known."""

    id: str
    load: EngineLoad
    local: bool


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """Where a request goes; helpers and lead read a part each.

    lease_tokens is the memory to set aside at each helper, 0 when the lead holds all.
    first_event is the forecast in seconds, loss the worth expected to be lost; delays is the
    part of it that those lose whose prompts are being read. start: seconds until the engines
    have read the long prompts they hold; first_event counts from now and includes them. harm is
    the worth that others lose, of loss.
    """

    lead: str
    helpers: tuple[str, ...]
    part_seconds: float
    lease_tokens: int
    first_event_seconds: float
    loss: float
    pool_size: int
    delays: float = 0.0
    start_delay: float = 0.0
    interference: float = 0.0


def meets_caller_timeout(choice: EngineChoice, job: Job) -> bool:
    """Whether the caller probably still waits when its first event comes."""
    return job.waited + choice.first_event_seconds <= LATEST_SHARE * job.caller_timeout


def should_hold(choice: EngineChoice, job: Job) -> bool:
    """Whether a long prompt had better wait until others would lose less by it.

    While it is sure to be in time waiting is free, so little harm is enough; afterwards it is
    sent once it earns more than others lose.
    """
    total = job.waited + choice.first_event_seconds
    if total < WAIT_SHARE * job.target:
        return choice.interference > WAIT_WORTH * job.weight
    earned = job.weight * (1.0 - LATE_LOSS * first_event_miss_probability(total, job.target))
    return choice.interference > earned


def worth_of(tokens: int) -> float:
    """The weight of a request by its size."""
    return max(SMALLEST_WORTH, float((tokens / WORTH_TOKENS) ** WORTH_POWER))


def is_light(profile: EngineProfile, prompt_tokens: int, gap_target: float) -> bool:
    """Whether a prompt can be read beside writers of its own kind."""
    return prefill_duration(profile, prompt_tokens) <= LIGHT_SHARE * gap_target


def light_pool_size(profile: EngineProfile, light_in_flight: int, engines: int) -> int:
    """How many engines, in the common order, serve light requests."""
    room = max(1, profile.slots - SPARE_SLOTS)
    needed = math.ceil((POOL_GROWTH * light_in_flight + POOL_MARGIN) / room)
    return max(1, min(engines, needed))


def choose_engines(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    light_in_flight: int,
    rng: random.Random,
    rules: ChoiceOptions = USUAL_RULES,
) -> EngineChoice | None:
    """The best way found to serve a job; engines come in the order common to all instances.

    None when no engine, or no group with leases, has the memory.
    """
    if not engines:
        return None
    pool = (
        light_pool_size(profile, light_in_flight, len(engines))
        if rules.light_pool
        else len(engines)
    )
    if is_light(profile, job.prompt_tokens, job.effective_gap_target):
        return _choose_light(profile, job, engines, pool, rng)
    pool_worth = POOL_WORTH_PER_SECOND * light_in_flight / pool if rules.light_pool else 0.0
    return _choose_heavy(profile, job, engines, pool, pool_worth, rng, rules)


def _has_memory(profile: EngineProfile, load: EngineLoad, tokens: int) -> bool:
    return load.tokens + tokens <= profile.memory_tokens * MEMORY_SHARE


def _choose_light(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    rng: random.Random,
) -> EngineChoice | None:
    inside = list(engines[:pool])
    pair = rng.sample(inside, min(2, len(inside)))
    best = min(pair, key=lambda view: _light_score(profile, job, view))
    if _is_crowded(profile, job, best):
        best = min(engines, key=lambda view: (_light_score(profile, job, view), rng.random()))
    seconds = prefill_duration(profile, job.prompt_tokens)
    first = first_event_seconds(profile, best.load, (), seconds, job.prompt_tokens)
    waiting = max(0, best.load.in_flight + 1 - profile.slots) * QUEUE_SECONDS
    loss = job.weight * first_event_miss_probability(first + waiting, job.target)
    return EngineChoice(best.id, (), seconds, 0, first + waiting, loss, pool)


def _is_crowded(profile: EngineProfile, job: Job, view: Engine) -> bool:
    load = view.load
    busy = load.in_flight >= profile.slots - 1 or load.prefill_seconds > job.gap_target / 2
    return busy or not _has_memory(profile, load, job.tokens)


def _light_score(profile: EngineProfile, job: Job, view: Engine) -> float:
    """Seconds that placing a light job here costs it and those beside it."""
    load = view.load
    over = max(0, load.in_flight + 1 - profile.slots)
    score = load.prefill_seconds + pass_seconds(profile, load) / 2 + over * QUEUE_SECONDS
    score += load.in_flight / profile.slots * FILLED_SECONDS
    if not _has_memory(profile, load, job.tokens):
        score += job.target
    return score


def _choose_heavy(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    pool_worth: float,
    rng: random.Random,
    rules: ChoiceOptions,
) -> EngineChoice | None:
    alone = prefill_duration(profile, job.prompt_tokens)
    choices = [
        _choose_parts(profile, job, engines, pool, pool_worth, count, alone / count, rng, rules)
        for count in PART_COUNTS
        if count <= min(len(engines), rules.max_parts)
    ]
    possible = [choice for choice in choices if choice is not None]
    # Skip work whose caller has already timed out.
    limit = USEFUL_SHARE * job.caller_timeout - job.waited
    useful = [item for item in possible if item.first_event_seconds < limit]
    return min(useful or possible, key=lambda choice: choice.loss, default=None)


def _choose_parts(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    pool_worth: float,
    count: int,
    part: float,
    rng: random.Random,
    rules: ChoiceOptions,
) -> EngineChoice | None:
    """The cheapest count engines for parts of part seconds each."""
    costs = {
        view.id: _part_cost(profile, view, pool_worth if index < pool else 0.0, part)
        for index, view in enumerate(engines)
    }
    waits = rules.wait_for_long_prefills and part >= LONG_PREFILL_SECONDS
    second = job.weight / job.target
    ranked = sorted(
        engines,
        key=lambda view: (
            costs[view.id]
            + (second * view.load.long_prefill_seconds if waits else _pending_share(view, part)),
            rng.random(),
        ),
    )
    chosen = ranked[:count]
    lease = _lease_tokens(profile, job, chosen, count)
    if lease is None or (lease and not rules.leases):
        return None
    lead = _choose_lead(profile, job, chosen, lease)
    if lead is None:
        return None
    helpers = [view for view in chosen if view.id != lead.id]
    first = first_event_seconds(
        profile, lead.load, [view.load for view in helpers], part, job.prompt_tokens
    )
    first += max(0, lead.load.in_flight + 1 - profile.slots) * QUEUE_SECONDS
    start = max(view.load.long_prefill_seconds for view in chosen) if waits else 0.0
    first += max(0.0, start - lead.load.prefill_seconds) if waits else 0.0
    harm = sum(costs[view.id] for view in chosen)
    delays = 0.0 if waits else total_delay_loss((view.load for view in chosen), part)
    harm += delays
    loss = harm
    total = job.waited + first
    loss += job.weight * (
        LATE_LOSS * first_event_miss_probability(total, job.target) + HASTE * first / job.target
    )
    loss += (
        job.weight * GONE_LOSS * miss_probability(total, job.caller_timeout, GONE_SURE, GONE_LATE)
    )
    loss += PART_WORTH * count
    names = tuple(view.id for view in helpers)
    return EngineChoice(lead.id, names, part, lease, first, loss, pool, delays, start, harm)


def _pending_share(view: Engine, part: float) -> float:
    """This engine's share of what a part costs those whose prompts are being read."""
    return sum(delay_loss(item, part) / item.parts for item in view.load.pending)


def _part_cost(profile: EngineProfile, view: Engine, worth_per_second: float, part: float) -> float:
    """Worth that others lose by a part: those who write there, and light streams to come."""
    return LATE_LOSS * decode_loss(profile, view.load, part) + worth_per_second * part


def _lease_tokens(
    profile: EngineProfile, job: Job, chosen: Sequence[Engine], count: int
) -> int | None:
    """Memory to set aside at each helper: 0 when one engine can hold all, None when none can."""
    if any(_has_memory(profile, view.load, job.tokens) for view in chosen):
        return 0
    if count == 1:
        return None
    return math.ceil(job.prompt_tokens / count)


def _choose_lead(
    profile: EngineProfile, job: Job, chosen: Sequence[Engine], lease: int
) -> Engine | None:
    """The engine that writes the answer: one with memory, a free slot and few short writers."""
    own = job.tokens if lease == 0 else lease + job.answer_tokens
    if lease and not all(_has_memory(profile, view.load, own) for view in chosen):
        return None
    fitting = [view for view in chosen if _has_memory(profile, view.load, own)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda view: (
            max(0, view.load.in_flight + 1 - profile.slots),
            view.load.prefill_seconds > LEAD_READING_SECONDS,
            sum(
                item.weight for item in view.load.decode_streams if item.gap_target < job.gap_target
            ),
            view.load.tokens,
            not view.local,
        ),
    )
