"""Selection of the lead engine and helpers of a long prompt, and whether it should wait."""

import math
import random
from collections.abc import Sequence

from pondpin.relay.choosing.engine_choice import (
    PART_COUNTS,
    QUEUE_SECONDS,
    ChoiceOptions,
    Engine,
    EngineChoice,
    Job,
    has_memory,
)
from pondpin.relay.model import EngineProfile
from pondpin.relay.upstreams.forecast import (
    decode_loss,
    delay_loss,
    first_event_miss_probability,
    first_event_seconds,
    miss_probability,
    prefill_duration,
    total_delay_loss,
)
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS

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
MAX_LEAD_PREFILL_SECONDS = 0.05


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


def choose_heavy(
    profile: EngineProfile,
    job: Job,
    engines: Sequence[Engine],
    pool: int,
    light_per_engine: float,
    rng: random.Random,
    options: ChoiceOptions,
) -> EngineChoice | None:
    """Choose the parts with the least expected loss; light_per_engine: of the light pool."""
    pool_rate = POOL_WEIGHT_PER_SECOND * light_per_engine
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
    if any(has_memory(profile, engine.load, job.tokens) for engine in chosen):
        return 0
    if count == 1:
        return None
    return math.ceil(job.prompt_tokens / count)


def _choose_lead(
    profile: EngineProfile, job: Job, chosen: Sequence[Engine], lease: int
) -> Engine | None:
    """Choose the engine that decodes: with memory, a free slot and few stricter streams."""
    lead_tokens = job.tokens if lease == 0 else lease + job.answer_tokens
    if lease and not all(has_memory(profile, engine.load, lead_tokens) for engine in chosen):
        return None
    fitting = [engine for engine in chosen if has_memory(profile, engine.load, lead_tokens)]
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
