"""Forecasts what a model engine does with a request, from its published figures.

An engine works in passes. A pass with writers plays stride token steps, and the reading of
prompts happens inside passes, so reading lengthens the pauses of those who write.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pondpin.relay.model import EngineProfile

# A stream is surely in time while its pause is forecast under the first share of the target, and
# surely late above the second; forecasts of pauses err by about a sixth.
SURE_SHARE = 0.7
LATE_SHARE = 1.1
# The same for the first event, where queues and other instances' choices add more spread.
FIRST_SURE_SHARE = 0.6
FIRST_LATE_SHARE = 1.2
# Share of its worth that a waiting request loses for a delay of its whole target, while it is
# still in time: further parts may come before it.
PENDING_SHARE = 0.15
TOKENS_PER_K = 1000.0


@dataclass(frozen=True, slots=True)
class DecodeStreams:
    """Streams on an engine with the same target for their pauses; worth is their sum."""

    gap_target: float
    count: int
    weight: float


@dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A request that waits for its prompt, or a part of it, to be read on an engine.

    first_event: seconds from its start to its first event, as forecast now. Its parts on other
    engines have the same group.
    """

    first_event: float
    target: float
    weight: float
    group: int
    parts: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """An engine as believed now; reading is seconds of prompts still to be read.

    A part that is read for another engine goes before all that the engine reads already, the
    newest first (measured), so each of pending waits for it. long_until: seconds until the long
    readings there are over, 0 when there are none.
    """

    in_flight: int
    prefill_seconds: float
    pending: tuple[PendingPrefill, ...]
    tokens: int
    decode_streams: tuple[DecodeStreams, ...]
    long_prefill_seconds: float = 0.0


def prefill_duration(profile: EngineProfile, tokens: int) -> float:
    """Seconds that one engine takes to read a prompt alone."""
    pairs = tokens * tokens / 2
    return tokens / profile.prefill_rate + pairs * profile.pair_cost


def pass_seconds(profile: EngineProfile, load: EngineLoad) -> float:
    """Seconds of a pass with the engine's writers, without any reading."""
    count = sum(writers.count for writers in load.decode_streams)
    if not count:
        return 0.0
    context = load.tokens / TOKENS_PER_K * profile.step_per_context_k
    return profile.stride * (profile.step_seconds + count * profile.step_per_stream + context)


def miss_probability(seconds: float, target: float, sure: float, late: float) -> float:
    """How likely something forecast to take seconds misses its target, 0 to 1."""
    if target <= 0:
        return 0.0
    return min(1.0, max(0.0, (seconds / target - sure) / (late - sure)))


def decode_loss(profile: EngineProfile, load: EngineLoad, added: float) -> float:
    """Worth that an engine's writers lose when added seconds of reading join the next pass."""
    before = pass_seconds(profile, load) + load.prefill_seconds
    return sum(
        writers.weight * (_pause_late(before + added, writers) - _pause_late(before, writers))
        for writers in load.decode_streams
    )


def delay_loss(item: PendingPrefill, added: float) -> float:
    """Worth that a request loses when a part of added seconds goes before its own."""
    late = first_event_miss_probability(item.first_event + added, item.target)
    late -= first_event_miss_probability(item.first_event, item.target)
    return item.weight * (late + PENDING_SHARE * added / max(item.target, added))


def total_delay_loss(loads: Iterable[EngineLoad], added: float) -> float:
    """Worth lost by all whose prompts are read on some engines; each request counts once."""
    loss_by_group: dict[int, float] = {}
    for load in loads:
        for item in load.pending:
            loss = delay_loss(item, added)
            loss_by_group[item.group] = max(loss, loss_by_group.get(item.group, 0.0))
    return sum(loss_by_group.values())


def _pause_late(pause: float, writers: DecodeStreams) -> float:
    return miss_probability(pause, writers.gap_target, SURE_SHARE, LATE_SHARE)


def first_event_seconds(
    profile: EngineProfile, lead: EngineLoad, parts: Sequence[EngineLoad], part: float, tokens: int
) -> float:
    """Seconds to the first event when every engine of parts reads part seconds of the prompt.

    The lead's own writing starts after the last part and takes a pass for the first event.
    """
    slowest = pass_seconds(profile, lead) / 2 + lead.prefill_seconds + part
    for load in parts:
        slowest = max(slowest, pass_seconds(profile, load) / 2 + part)
    context = tokens / TOKENS_PER_K * profile.step_per_context_k
    own_pass = profile.stride * (profile.step_seconds + profile.step_per_stream + context)
    return slowest + max(own_pass, pass_seconds(profile, lead))


def first_event_miss_probability(seconds: float, target: float) -> float:
    """How likely a first event forecast after seconds misses its target."""
    return miss_probability(seconds, target, FIRST_SURE_SHARE, FIRST_LATE_SHARE)
