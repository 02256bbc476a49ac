"""Selection of engines for streams; long prompts are placed by `heavy_choice`."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from pondpin.relay.model import EngineProfile
from pondpin.relay.upstreams.forecast import (
    EngineLoad,
    first_event_miss_probability,
    first_event_seconds,
    pass_seconds,
    prefill_duration,
)

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
# Estimated wait per request above the engine's slots.
QUEUE_SECONDS = 0.25
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
    # Loaded with the first long prompt: loading code takes most of a start.
    from pondpin.relay.choosing.heavy_choice import choose_heavy

    light_per_engine = light_in_flight / pool if options.light_pool else 0.0
    return choose_heavy(profile, job, engines, pool, light_per_engine, rng, options)


def has_memory(profile: EngineProfile, load: EngineLoad, tokens: int) -> bool:
    """Whether an engine can hold this many more tokens."""
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
    return busy or not has_memory(profile, load, job.tokens)


def _light_score(profile: EngineProfile, job: Job, engine: Engine) -> float:
    """Seconds that a light job costs itself and the streams on an engine."""
    load = engine.load
    over = max(0, load.in_flight + 1 - profile.slots)
    score = load.prefill_seconds + pass_seconds(profile, load) / 2 + over * QUEUE_SECONDS
    score += load.in_flight / profile.slots * FULL_ENGINE_SECONDS
    if not has_memory(profile, load, job.tokens):
        score += job.target
    return score
