"""Choice among upstreams of a plain service when some are contended."""

import random
from collections.abc import Callable, Sequence

from pondpin.relay.upstreams.contention import Contention
from pondpin.relay.upstreams.state import UpstreamState

# Requests in flight are known with the delay of digests, 0.2 to 0.6 s, and in large fleets of the
# own data centre only. Contended upstreams are ordered by them and by a random number of up to as
# many requests for each slot, so that all instances don't ask the same owner at once.
JITTER = 1.0


def choose_contended(
    states: Sequence[UpstreamState],
    contention: Contention,
    is_local: Callable[[UpstreamState], bool],
    rng: random.Random,
    now: float,
) -> UpstreamState:
    """The least loaded upstream with a free slot, else a random one with little load."""
    free = [
        (state.in_flight(now), not is_local(state), rng.random(), state.id, state)
        for state in states
        if not contention.is_contended(state.life, now)
        and state.in_flight(now) < state.listed.slots
    ]
    if free:
        return min(free)[-1]
    return min(states, key=lambda state: _score(state, rng, now))


def _score(state: UpstreamState, rng: random.Random, now: float) -> float:
    return state.in_flight(now) / max(1, state.listed.slots) + JITTER * rng.random()
