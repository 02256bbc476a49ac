"""Selection of a stream's lead engine, and of helpers that prefill parts of its prompt."""

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

# Engine counts that are compared for one prompt; an engine takes up to 16 helpers.
PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
MAX_PARTS = max(PART_COUNTS)
# A prompt is light when its prefill takes at most this share of the strictest gap target.
LIGHT_SHARE = 0.5
# Slots per engine of the light pool kept free for peers' unreported streams.
SPARE_SLOTS = 2
# Headroom of the light pool over light streams in flight.
POOL_GROWTH = 1.25
POOL_MARGIN = 4
# Loss per second of a heavy part on an engine of the light pool, per light stream that such an
# engine has on average.
POOL_WEIGHT_PER_SECOND = 0.5
# Loss of a first event at the target, as a share of the weight: prefers the faster of two choices
# that both meet the target.
LATENCY_LOSS = 0.06
HOLD_TARGET_SHARE = 0.6
HOLD_LOSS_SHARE = 0.1
# Loss of a late first event, and further loss when the caller gives up, as shares of the weight.
LATE_LOSS = 0.75
ABANDON_LOSS = 0.4
# Shares of the caller's timeout: a forecast below the first is preferred and above the second too
# late; the chance that the caller gives up rises from 0 to 1 between the last two.
PREFERRED_SHARE = 0.8
LATEST_SHARE = 0.95
ABANDON_MIN = 0.2
ABANDON_MAX = 0.6
# Loss per engine that prefills a part, since each may fail or be late.
PART_LOSS = 0.03
# Estimated wait per request above the engine's slots.
QUEUE_SECONDS = 0.25
MAX_LEAD_PREFILL_SECONDS = 0.05
# Cost of a full engine over an empty one, which spreads streams over equal engines.
FULL_ENGINE_SECONDS = 0.05
# Assignable share of an engine's memory: answers grow while being decoded.
MEMORY_SHARE = 0.95
UNIT_WEIGHT_TOKENS = 3500.0
WEIGHT_EXPONENT = 0.75
MIN_WEIGHT = 0.3


@dataclass(frozen=True, slots=True)
class Job:
    """A streamed request to place; times in seconds.

    caller_timeout: the caller gives up without a first event after this time, of which waited has
    passed. service_gap_target: the smallest gap target of the service, infinite if unknown.
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
        """The strictest gap target that the prefill has to meet."""
        return min(self.gap_target, self.service_gap_target)

    @property
    def weight(self) -> float:
        """See request_weight."""
        return request_weight(self.prompt_tokens)

    @property
    def tokens(self) -> int:
        """Engine memory needed at the end of the answer, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class ChoiceOptions:
    """Mechanisms that a choice may use; all but the defaults serve measurements.

    light_pool: engines reserved for light streams. leases: several engines may hold one prompt.
    """

    max_parts: int = MAX_PARTS
    wait_for_long_prefills: bool = True
    light_pool: bool = True
    leases: bool = True


DEFAULT_OPTIONS = ChoiceOptions()


class Engine(Protocol):
    """A candidate engine; its load may be computed lazily."""

    @property
    def id(self) -> str:
        """The engine's id."""
        ...

    @property
    def load(self) -> EngineLoad:
        """Its current load."""
        ...

    @property
    def local(self) -> bool:
        """Whether it is in this instance's data centre."""
        ...


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine with a given load."""

    id: str
    load: EngineLoad
    local: bool


@dataclass(frozen=True, slots=True)
class EngineChoice:
    """The placement of a request; lead and helpers prefill a part each.

    lease_tokens: memory to reserve per helper, 0 when the lead holds all. first_event_seconds:
    forecast from now, with start_delay, the seconds until the engines finish their long prefills.
    loss: expected loss of weight, of which interference falls on other requests, and of that
    delay_loss on pending prefills.
    """

    lead: str
    helpers: tuple[str, ...]
    part_seconds: float
    lease_tokens: int
    first_event_seconds: float
    loss: float
    pool_size: int
    delay_loss: float = 0.0
    start_delay: float = 0.0
    interference: float = 0.0


def meets_caller_timeout(choice: EngineChoice, job: Job) -> bool:
    """Whether the first event is forecast before the caller gives up."""
    return job.waited + choice.first_event_seconds <= LATEST_SHARE * job.caller_timeout


def should_hold(choice: EngineChoice, job: Job) -> bool:
    """Whether a long prompt should wait until it interferes less with other requests.

    While it will surely meet its target, waiting is free, so that little interference suffices;
    later it is sent once its expected gain exceeds the interference.
    """
    total = job.waited + choice.first_event_seconds
    if total < HOLD_TARGET_SHARE * job.target:
        return choice.interference > HOLD_LOSS_SHARE * job.weight
    gain = job.weight * (1.0 - LATE_LOSS * first_event_miss_probability(total, job.target))
    return choice.interference > gain


def request_weight(tokens: int) -> float:
    """The weight of a request relative to others, by its prompt size."""
    return max(MIN_WEIGHT, float((tokens / UNIT_WEIGHT_TOKENS) ** WEIGHT_EXPONENT))


def is_light(profile: EngineProfile, prompt_tokens: int, gap_target: float) -> bool:
    """Whether a prefill fits beside decode streams with this gap target."""
    return prefill_duration(profile, prompt_tokens) <= LIGHT_SHARE * gap_target


def light_pool_size(profile: EngineProfile, light_in_flight: int, engines: int) -> int:
    """How many engines, first in the common order, are the light pool."""
    usable = max(1, profile.slots - SPARE_SLOTS)
    needed = math.ceil((POOL_GROWTH * light_in_flight + POOL_MARGIN) / usable)
    return max(1, min(engines, needed))


def choose_engines(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    light_in_flight: int,
    rng: random.Random,
    options: ChoiceOptions = DEFAULT_OPTIONS,
) -> EngineChoice | None:
    """Choose the placement with the least expected loss, None when there is no memory.

    engines are in the order common to all instances.
    """
    if not engines:
        return None
    pool = (
        light_pool_size(profile, light_in_flight, len(engines))
        if options.light_pool
        else len(engines)
    )
    if is_light(profile, job.prompt_tokens, job.effective_gap_target):
        return _choose_light(profile, job, engines, pool, rng)
    pool_rate = POOL_WEIGHT_PER_SECOND * light_in_flight / pool if options.light_pool else 0.0
    return _choose_heavy(profile, job, engines, pool, pool_rate, rng, options)


def _has_memory(profile: EngineProfile, load: EngineLoad, tokens: int) -> bool:
    return load.tokens + tokens <= profile.memory_tokens * MEMORY_SHARE


def _choose_light(
    profile: EngineProfile, job: Job, engines: Sequence[Engine], pool: int, rng: random.Random
) -> EngineChoice | None:
    pool_engines = list(engines[:pool])
    pair = rng.sample(pool_engines, min(2, len(pool_engines)))
    best = min(pair, key=lambda engine: _light_score(profile, job, engine))
    if _is_overloaded(profile, job, best):
        best = min(engines, key=lambda engine: (_light_score(profile, job, engine), rng.random()))
    seconds = prefill_duration(profile, job.prompt_tokens)
    first = first_event_seconds(profile, best.load, (), seconds, job.prompt_tokens)
    queueing = max(0, best.load.in_flight + 1 - profile.slots) * QUEUE_SECONDS
    loss = job.weight * first_event_miss_probability(first + queueing, job.target)
    return EngineChoice(best.id, (), seconds, 0, first + queueing, loss, pool)


def _is_overloaded(profile: EngineProfile, job: Job, engine: Engine) -> bool:
    load = engine.load
    busy = load.in_flight >= profile.slots - 1 or load.prefill_seconds > job.gap_target / 2
    return busy or not _has_memory(profile, load, job.tokens)


def _light_score(profile: EngineProfile, job: Job, engine: Engine) -> float:
    """Seconds that a light job costs itself and the streams on an engine."""
    load = engine.load
    over = max(0, load.in_flight + 1 - profile.slots)
    score = load.prefill_seconds + pass_seconds(profile, load) / 2 + over * QUEUE_SECONDS
    score += load.in_flight / profile.slots * FULL_ENGINE_SECONDS
    if not _has_memory(profile, load, job.tokens):
        score += job.target
    return score


def _choose_heavy(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    pool_rate: float,
    rng: random.Random,
    options: ChoiceOptions,
) -> EngineChoice | None:
    seconds = prefill_duration(profile, job.prompt_tokens)
    choices = [
        _choose_group(profile, job, engines, pool, pool_rate, count, seconds / count, rng, options)
        for count in PART_COUNTS
        if count <= min(len(engines), options.max_parts)
    ]
    possible = [choice for choice in choices if choice is not None]
    # Prefer choices that the caller will probably wait for.
    limit = PREFERRED_SHARE * job.caller_timeout - job.waited
    preferred = [item for item in possible if item.first_event_seconds < limit]
    return min(preferred or possible, key=lambda choice: choice.loss, default=None)


def _choose_group(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    pool_rate: float,
    count: int,
    part: float,
    rng: random.Random,
    options: ChoiceOptions,
) -> EngineChoice | None:
    """Choose count engines for parts of part seconds each."""
    costs = {
        engine.id: _interference(profile, engine, pool_rate if index < pool else 0.0, part)
        for index, engine in enumerate(engines)
    }
    waits = options.wait_for_long_prefills and part >= LONG_PREFILL_SECONDS
    rate = job.weight / job.target
    ranked = sorted(
        engines,
        key=lambda engine: (
            costs[engine.id]
            + (rate * engine.load.long_prefill_seconds if waits else _delay_share(engine, part)),
            rng.random(),
        ),
    )
    chosen = ranked[:count]
    lease = _lease_tokens(profile, job, chosen, count)
    if lease is None or (lease and not options.leases):
        return None
    lead = _choose_lead(profile, job, chosen, lease)
    if lead is None:
        return None
    helpers = [engine for engine in chosen if engine.id != lead.id]
    first = first_event_seconds(
        profile, lead.load, [engine.load for engine in helpers], part, job.prompt_tokens
    )
    first += max(0, lead.load.in_flight + 1 - profile.slots) * QUEUE_SECONDS
    start_delay = max(engine.load.long_prefill_seconds for engine in chosen) if waits else 0.0
    first += max(0.0, start_delay - lead.load.prefill_seconds) if waits else 0.0
    interference = sum(costs[engine.id] for engine in chosen)
    delay_loss = 0.0 if waits else total_delay_loss((engine.load for engine in chosen), part)
    interference += delay_loss
    loss = interference
    total = job.waited + first
    loss += job.weight * (
        LATE_LOSS * first_event_miss_probability(total, job.target)
        + LATENCY_LOSS * first / job.target
    )
    loss += (
        job.weight
        * ABANDON_LOSS
        * miss_probability(total, job.caller_timeout, ABANDON_MIN, ABANDON_MAX)
    )
    loss += PART_LOSS * count
    helper_ids = tuple(engine.id for engine in helpers)
    return EngineChoice(
        lead.id, helper_ids, part, lease, first, loss, pool, delay_loss, start_delay, interference
    )


def _delay_share(engine: Engine, part: float) -> float:
    """This engine's share of the loss that a part causes to pending prefills."""
    return sum(delay_loss(item, part) / item.parts for item in engine.load.pending)


def _interference(profile: EngineProfile, engine: Engine, loss_rate: float, part: float) -> float:
    """Loss that a part causes to decode streams there and to future light streams."""
    return LATE_LOSS * decode_loss(profile, engine.load, part) + loss_rate * part


def _lease_tokens(
    profile: EngineProfile, job: Job, chosen: Sequence[Engine], count: int
) -> int | None:
    """Memory to reserve per helper: 0 if one engine holds all, None if the only one can't."""
    if any(_has_memory(profile, engine.load, job.tokens) for engine in chosen):
        return 0
    if count == 1:
        return None
    return math.ceil(job.prompt_tokens / count)


def _choose_lead(
    profile: EngineProfile, job: Job, chosen: Sequence[Engine], lease: int
) -> Engine | None:
    """Choose the engine that decodes: with memory, a free slot and few stricter streams."""
    lead_tokens = job.tokens if lease == 0 else lease + job.answer_tokens
    if lease and not all(_has_memory(profile, engine.load, lead_tokens) for engine in chosen):
        return None
    fitting = [engine for engine in chosen if _has_memory(profile, engine.load, lead_tokens)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda engine: (
            max(0, engine.load.in_flight + 1 - profile.slots),
            engine.load.prefill_seconds > MAX_LEAD_PREFILL_SECONDS,
            sum(
                item.weight
                for item in engine.load.decode_streams
                if item.gap_target < job.gap_target
            ),
            engine.load.tokens,
            not engine.local,
        ),
    )
