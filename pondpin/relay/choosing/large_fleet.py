"""Choice of engines in a large fleet, where only peers in the own data centre report all work."""

from typing import TYPE_CHECKING

from pondpin.relay.call import RelayCall
from pondpin.relay.choosing.engine_choice import EngineChoice, Job, is_light
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import EngineProfile
from pondpin.relay.upstreams.data_center_loads import ReceivedLoad
from pondpin.relay.upstreams.state import UpstreamState

if TYPE_CHECKING:
    from pondpin.relay.choosing.planner import Planner

# A light stream spills to a data centre with this many fewer requests per engine.
SPILL_DIFFERENCE = 2.0


def choose_in_large_fleet(
    planner: "Planner",
    call: RelayCall,
    job: Job,
    engines: tuple[list[UpstreamState], list[UpstreamState]],
    now: float,
    max_parts: int,
) -> EngineChoice | None:
    """Choose among the engines whose load is known here, or if need be all; engines: both."""
    known, states = engines
    service = call.configuration.services_by_name[call.service]
    profile = service.engine
    assert profile is not None, "only engines are chosen"
    reported = _reported_light(planner, service.name, known, now)
    local = planner.choose(job, profile, known, now, reported, max_parts)
    if len(known) == len(states):
        return local
    late = local is None or local.first_event_seconds > job.target
    light = is_light(profile, job.prompt_tokens, job.effective_gap_target)
    spills = light and planner.policy.has(Mechanism.SPILL)
    spill = _spill_target(planner, service.name, profile, local, late, now) if spills else None
    if spill is not None:
        data_center, received = spill
        there = [state for state in states if state.listed.data_center == data_center]
        return planner.choose(job, profile, there, now, received.load.light, max_parts) or local
    if not late:
        return local
    reported = _reported_light(planner, service.name, states, now)
    choice = planner.choose(job, profile, states, now, reported, max_parts)
    return choice if local is None or (choice and choice.loss < local.loss) else local


def _spill_target(
    planner: "Planner",
    service: str,
    profile: EngineProfile,
    local: EngineChoice | None,
    late: bool,
    now: float,
) -> tuple[str, ReceivedLoad] | None:
    table = planner.table
    found = table.data_center_loads.least_loaded(service, table.silent_data_centers, now)
    if found is None or late or local is None:
        return found
    in_flight = table.by_id[local.lead].in_flight(now)
    if in_flight < profile.slots - 1:
        return None
    return found if found[1].mean_in_flight <= in_flight - SPILL_DIFFERENCE else None


def _reported_light(
    planner: "Planner", service: str, engines: list[UpstreamState], now: float
) -> int:
    """Light streams on the engines, with those that other data centres report."""
    if all(planner.is_local(state) for state in engines):
        return 0
    own = planner.table.own_data_center_loads(now)
    local = sum(load.light for load in own if load.service == service)
    return local + planner.table.data_center_loads.light_streams_elsewhere(service, now)
