"""What a choice is made of: the request as a job, and engines in the order that all share."""

from collections import Counter

from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.engine_choice import Job, is_light
from pondpin.relay.choosing.routing import service_gap_target
from pondpin.relay.upstreams.state import UpstreamState


def interleave_data_centers(states: list[UpstreamState]) -> list[UpstreamState]:
    """The first engines of all data centres, then the second ones and so on.

    Light streams have the first engines of their data centre; long prompts of all keep off these.
    """
    counts: Counter[str] = Counter()
    ranked = []
    for state in states:
        center = state.listed.data_center
        ranked.append((counts[center], state))
        counts[center] += 1
    return [state for _, state in sorted(ranked, key=lambda item: item[0])]


def make_job(call: RelayCall, progress: Progress, now: float) -> Job:
    """What placement needs to know of a call."""
    # A caller that has events waits anew for the next one.
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
    """Whether a call takes no engine's time that others would miss: plain, or a light stream."""
    service = call.configuration.services_by_name.get(call.service)
    profile = service.engine if service is not None else None
    if profile is None or call.metadata.prompt_tokens <= 0:
        return True
    return is_light(
        profile, call.metadata.prompt_tokens, make_job(call, progress, 0.0).effective_gap_target
    )
