"""Latency forecasts for model engines from their published profiles.

A pass of an engine with decode streams runs stride token steps. Prefills run inside passes and
lengthen the token gaps of the streams.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pondpin.relay.model import EngineProfile

# A gap forecast below the first share of its target surely meets it, one above the second surely
# misses it: gap forecasts are off by about a sixth.
HIT_SHARE = 0.7
MISS_SHARE = 1.1
# The same for the first event, which varies more with queues and placements by other instances.
FIRST_HIT_SHARE = 0.6
FIRST_MISS_SHARE = 1.2
# Share of its weight that a queued request loses by a delay of its whole target, even within the
# target: more parts may be put before it.
PENDING_LOSS_SHARE = 0.15
TOKENS_PER_K = 1000.0


@dataclass(frozen=True, slots=True)
class DecodeStreams:
    """Streams on an engine with the same gap target; weight is their sum."""

    gap_target: float
    count: int
    weight: float


@dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A request with an unfinished prefill of its prompt, or a part of it, on an engine.

    first_event: forecast seconds from its start. Its parts on other engines have the same group.
    """

    first_event: float
    target: float
    weight: float
    group: int
    parts: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Estimated load of an engine; prefill_seconds is the unfinished prefill work.

    Parts that it prefills for other engines run before all of pending, the newest first.
    long_prefill_seconds: until the last long prefill ends, 0 without any.
    """

    in_flight: int
    prefill_seconds: float
    pending: tuple[PendingPrefill, ...]
    tokens: int
    decode_streams: tuple[DecodeStreams, ...]
    long_prefill_seconds: float = 0.0


def prefill_duration(profile: EngineProfile, tokens: int) -> float:
    """Seconds of a prefill on a single engine."""
    pairs = tokens * tokens / 2
    return tokens / profile.prefill_rate + pairs * profile.pair_cost


def pass_seconds(profile: EngineProfile, load: EngineLoad) -> float:
    """Seconds of a pass without prefills."""
    count = sum(streams.count for streams in load.decode_streams)
    if not count:
        return 0.0
    context = load.tokens / TOKENS_PER_K * profile.step_per_context_k
    return profile.stride * (profile.step_seconds + count * profile.step_per_stream + context)


def miss_probability(seconds: float, target: float, hit: float, miss: float) -> float:
    """Probability, 0 to 1, that an event forecast after seconds misses its target."""
    if target <= 0:
        return 0.0
    return min(1.0, max(0.0, (seconds / target - hit) / (miss - hit)))


def decode_loss(profile: EngineProfile, load: EngineLoad, added: float) -> float:
    """Weight that decode streams lose if added seconds of prefill join the next pass."""
    before = pass_seconds(profile, load) + load.prefill_seconds
    return sum(
        streams.weight * (_gap_miss(before + added, streams) - _gap_miss(before, streams))
        for streams in load.decode_streams
    )


def delay_loss(item: PendingPrefill, added: float) -> float:
    """Weight that a request loses if a part of added seconds is run before its prefill."""
    miss = first_event_miss_probability(item.first_event + added, item.target)
    miss -= first_event_miss_probability(item.first_event, item.target)
    return item.weight * (miss + PENDING_LOSS_SHARE * added / max(item.target, added))


def total_delay_loss(loads: Iterable[EngineLoad], added: float) -> float:
    """Weight lost by all pending requests of some engines, counting each request once."""
    loss_by_group: dict[int, float] = {}
    for load in loads:
        for item in load.pending:
            loss = delay_loss(item, added)
            loss_by_group[item.group] = max(loss, loss_by_group.get(item.group, 0.0))
    return sum(loss_by_group.values())


def _gap_miss(gap: float, streams: DecodeStreams) -> float:
    return miss_probability(gap, streams.gap_target, HIT_SHARE, MISS_SHARE)


def first_event_seconds(
    profile: EngineProfile, lead: EngineLoad, parts: Sequence[EngineLoad], part: float, tokens: int
) -> float:
    """Seconds to the first event if each engine of parts has a prefill of part seconds.

    The lead starts to decode after the last part and needs a pass for the first event.
    """
    slowest = pass_seconds(profile, lead) / 2 + lead.prefill_seconds + part
    for load in parts:
        slowest = max(slowest, pass_seconds(profile, load) / 2 + part)
    context = tokens / TOKENS_PER_K * profile.step_per_context_k
    own_pass = profile.stride * (profile.step_seconds + profile.step_per_stream + context)
    return slowest + max(own_pass, pass_seconds(profile, lead))


def first_event_miss_probability(seconds: float, target: float) -> float:
    """As miss_probability, for a first event."""
    return miss_probability(seconds, target, FIRST_HIT_SHARE, FIRST_MISS_SHARE)
