"""Baseline placement policies for comparison with the forecasting one."""

import random

from pondpin.policies import PlacementPolicy
from pondpin.relay.choosing.engine_choice import EngineChoice
from pondpin.relay.model import EngineProfile
from pondpin.relay.upstreams.forecast import prefill_duration
from pondpin.relay.upstreams.state import UpstreamState


def plan_baseline(
    placement: PlacementPolicy,
    profile: EngineProfile,
    prompt_tokens: int,
    states: list[UpstreamState],
    rng: random.Random,
    now: float,
) -> tuple[UpstreamState, EngineChoice]:
    """Pick a random engine, or one with the fewest requests in flight, without a forecast."""
    lead = rng.choice(states)
    if placement is PlacementPolicy.LEAST_OUTSTANDING:
        lead = min(states, key=lambda state: (state.in_flight(now), rng.random()))
    seconds = prefill_duration(profile, prompt_tokens)
    return lead, EngineChoice(lead.id, (), seconds, 0, seconds, 0.0, 0)
