"""Inputs of engine selection: jobs, and the common order of engines."""

from collections import Counter
from dataclasses import dataclass

from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.engine_choice import Job, is_light
from pondpin.relay.choosing.routing import service_gap_target
from pondpin.relay.upstreams.forecast import EngineLoad
from pondpin.relay.upstreams.state import UpstreamState


@dataclass(slots=True)
class LazyEngine:
    """An engine whose load is computed on first use.

    A light stream needs only two loads; computing those of 150 engines takes a millisecond.
    """

    state: UpstreamState
    now: float
    local: bool
    cached_load: EngineLoad | None = None

    @property
    def id(self) -> str:
        """The engine's id."""
        return self.state.id

    @property
    def load(self) -> EngineLoad:
        """Its load, computed on first use."""
        if self.cached_load is None:
            self.cached_load = self.state.load(self.now)
        return self.cached_load


def interleave_data_centers(states: list[UpstreamState]) -> list[UpstreamState]:
    """Order engines by position in their data centre: all first ones, then all second ones.

    The first engines of each data centre are its light pool, which long prompts of all avoid.
    """
    counts: Counter[str] = Counter()
    ranked = []
    for state in states:
        data_center = state.listed.data_center
        ranked.append((counts[data_center], state))
        counts[data_center] += 1
    return [state for _, state in sorted(ranked, key=lambda item: item[0])]


def make_job(call: RelayCall, progress: Progress, now: float) -> Job:
    """Build the placement view of a call."""
    # The caller's timeout restarts with each event.
    since = progress.last_event_at if progress.events else call.arrived_at
    return Job(
        prompt_tokens=call.metadata.prompt_tokens,
        answer_tokens=call.metadata.answer_tokens,
        target=call.route.latency_target,
        gap_target=call.route.gap_target or call.route.latency_target,
        caller_timeout=min(call.caller_timeout, call.deadline - since),
        waited=now - since,
        service_gap_target=service_gap_target(call.configuration, call.service),
    )


def is_light_call(call: RelayCall, progress: Progress) -> bool:
    """Whether a call is plain or a light stream, whose prefill delays no others."""
    service = call.configuration.services_by_name.get(call.service)
    profile = service.engine if service is not None else None
    if profile is None or call.metadata.prompt_tokens <= 0:
        return True
    return is_light(
        profile, call.metadata.prompt_tokens, make_job(call, progress, 0.0).effective_gap_target
    )
