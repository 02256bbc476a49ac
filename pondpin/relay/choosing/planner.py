"""Plans an attempt: which upstream, which helpers; keeps the ledger of own work."""

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from pondpin.clocks import Clock
from pondpin.policies import PlacementPolicy
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.engine_choice import (
    MAX_PARTS,
    ChoiceOptions,
    EngineChoice,
    Job,
    choose_engines,
    is_light,
)
from pondpin.relay.choosing.jobs import interleave_data_centers, make_job
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import EngineProfile
from pondpin.relay.ports import PartAssignment
from pondpin.relay.upstreams.data_center_loads import ReceivedLoad
from pondpin.relay.upstreams.forecast import EngineLoad
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable, isolation_candidates
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS, Work
from pondpin.service_choice import ServiceView, choose_service

# A choice that puts this much reading on an engine is told to peers at once, in seconds.
TELL_SECONDS = 0.03
# A data centre with fewer engines shares the others' too: long prompts want many parts.
MIN_LOCAL_ENGINES = 12
# A light stream leaves a crowded data centre for one whose engines have fewer requests by this.
CENTER_DIFFERENCE = 2.0
# Share of an upstream's connection limit that is used; the rest is for connections that close.
CONNECTIONS_SHARE = 0.9
# However many instances there are: callers are spread unevenly, and few are busy at once.
MIN_CONNECTIONS = 4
# What a peer placed in this time is in none of its digests: their period.
UNSEEN_SECONDS = 0.2
# Groups of parts are told apart by random numbers of so many bits.
GROUP_BITS = 31


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """How engines are chosen; all but the defaults are baselines to measure against."""

    placement: PlacementPolicy = PlacementPolicy.PREDICTED
    without: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism is in use."""
        return mechanism not in self.without


@dataclass(frozen=True, slots=True)
class Plan:
    """An attempt to be made; choice is None for a plain service."""

    lead: UpstreamState
    helpers: tuple[UpstreamState, ...]
    choice: EngineChoice | None
    candidate_count: int
    is_long: bool = False

    @property
    def helper_endpoints(self) -> tuple[PartAssignment, ...]:
        """Where the helpers are."""
        return tuple(
            PartAssignment(state.id, state.listed.host, state.listed.port, life=state.life)
            for state in self.helpers
        )


@dataclass(slots=True)
class _Candidate:
    """An engine whose load is worked out once, when it is asked for.

    A light stream looks at two engines of its pool; the loads of 150 engines take a millisecond.
    """

    state: UpstreamState
    now: float
    local: bool
    known: EngineLoad | None = None

    @property
    def id(self) -> str:
        """See Engine."""
        return self.state.id

    @property
    def load(self) -> EngineLoad:
        """See Engine."""
        if self.known is None:
            self.known = self.state.load(self.now)
        return self.known


def connection_share(connections: int, sharers: int) -> int:
    """Connections that one instance may have open to an upstream that takes so many in all."""
    return max(MIN_CONNECTIONS, int(connections * CONNECTIONS_SHARE / max(1, sharers)))


class Planner:
    """Chooses among the usable upstreams of a service."""

    def __init__(
        self,
        table: UpstreamTable,
        clock: Clock,
        rng: random.Random,
        tell_soon: Callable[[], None],
        policy: RelayPolicy | None = None,
        instance_count: Callable[[], int] = lambda: 1,
        peer_count: Callable[[], int] = lambda: 0,
        knows_peers: Callable[[], bool] = lambda: True,
        broadcast_long_prefills: Callable[[], None] = lambda: None,
        has_spare: Callable[[UpstreamState], bool] = lambda state: False,
    ) -> None:
        self._has_spare = has_spare
        self._tell_long_reads = broadcast_long_prefills
        self._table = table
        self._clock = clock
        self._rng = rng
        self._tell_soon = tell_soon
        self._policy = policy or RelayPolicy()
        self._sharers = instance_count
        self._peers = peer_count
        self._knows_peers = knows_peers
        self._light_times: deque[float] = deque()
        self._keys = itertools.count(1)

    def plan(self, call: RelayCall, progress: Progress, avoid: frozenset[int]) -> Plan | None:
        """The next attempt of a call, None when no upstream can take it now."""
        now = self._clock()
        states = self._table.candidates(
            call.service,
            now,
            progress.tried_lives | avoid,
            lambda state: self._may_take(state, progress),
        )
        if progress.permit is not None:
            states = [state for state in states if state.life == progress.permit.life]
        service = call.configuration.services_by_name.get(call.service)
        profile = service.engine if service is not None else None
        if service is not None:
            share = connection_share(service.max_connections, self._sharers())
            states = [state for state in states if state.own_in_flight < share]
        if progress.suspected:
            states = isolation_candidates(self._near(states, True), progress.spent_releases, now)
            # Suspects of several instances take different engines.
            states = [self._rng.choice(states[len(states) // 2 :])] if states else []
        if not states:
            return None
        if profile is None or call.metadata.prompt_tokens <= 0:
            return self._plan_plain(states, now)
        return self._plan_engines(call, progress, profile, states, now)

    def _may_take(self, state: UpstreamState, progress: Progress) -> bool:
        """Whether a limited upstream may get a request: by a permit for it, or a first try by one
        that nobody here needs.
        """
        if progress.permit is not None:
            return state.life == progress.permit.life
        return not progress.attempts and self._has_spare(state)

    def _plan_plain(self, states: list[UpstreamState], now: float) -> Plan:
        views = [
            ServiceView(state.id, state.in_flight(now), 0, self._is_local(state))
            for state in states
        ]
        name = choose_service(views).id
        return Plan(self._table.by_id[name], (), None, len(states))

    def _plan_engines(
        self,
        call: RelayCall,
        progress: Progress,
        profile: EngineProfile,
        states: list[UpstreamState],
        now: float,
    ) -> Plan | None:
        if self._policy.placement is not PlacementPolicy.PREDICTED:
            # Only measurements load what they compare with.
            from pondpin.relay.choosing.baselines import plan_baseline

            tokens = call.metadata.prompt_tokens
            placement = self._policy.placement
            plain = plan_baseline(placement, profile, tokens, states, self._rng, now)
            return Plan(plain[0], (), plain[1], len(states))
        job = make_job(call, progress, now)
        light = is_light(profile, job.prompt_tokens, job.effective_gap_target)
        if not light:
            # Leases and their renewals would be requests to a limited one as well.
            states = [state for state in states if not state.is_limited] or states
        near = self._near(states, light)
        most = 1 if progress.suspected or progress.permit is not None else MAX_PARTS
        choice = self._choose(
            job, profile, near, now, self._light_elsewhere(call.service, near, now), most
        )
        if len(near) < len(states):
            choice = self._look_further(call.service, job, profile, states, choice, now, most)
        if choice is None:
            return None
        helpers = tuple(self._table.by_id[name] for name in choice.helpers)
        return Plan(self._table.by_id[choice.lead], helpers, choice, len(states), not light)

    def _look_further(
        self,
        service: str,
        job: Job,
        profile: EngineProfile,
        states: list[UpstreamState],
        near: EngineChoice | None,
        now: float,
        most: int,
    ) -> EngineChoice | None:
        """Use other data centres' engines when the own ones would be late or are crowded."""
        late = near is None or near.first_event_seconds > job.target
        light = is_light(profile, job.prompt_tokens, job.effective_gap_target)
        spills = light and self._policy.has(Mechanism.SPILL)
        there = self._idle_center(service, profile, near, late, now) if spills else None
        if there is not None:
            center, seen = there
            engines = [state for state in states if state.listed.data_center == center]
            return self._choose(job, profile, engines, now, seen.load.light, most) or near
        if not late:
            return near
        told = self._light_elsewhere(service, states, now)
        wide = self._choose(job, profile, states, now, told, most)
        return wide if near is None or (wide and wide.loss < near.loss) else near

    def _idle_center(
        self,
        service: str,
        profile: EngineProfile,
        near: EngineChoice | None,
        late: bool,
        now: float,
    ) -> tuple[str, ReceivedLoad] | None:
        """A data centre that a light stream had better go to."""
        found = self._table.data_center_loads.least_loaded(
            service, self._table.silent_data_centers, now
        )
        if found is None or late or near is None:
            return found
        in_flight = self._table.by_id[near.lead].in_flight(now)
        if in_flight < profile.slots - 1:
            return None
        return found if found[1].mean_in_flight <= in_flight - CENTER_DIFFERENCE else None

    def _near(self, states: list[UpstreamState], light: bool) -> list[UpstreamState]:
        """The engines whose load is known here: in a large fleet those of the data centre.

        A light stream stays on them however few they are. When all data centres of five shared one
        pool, each knew a fifth of it: the busiest of 15 engines had 3.5 times the mean, and half
        of the short streams came late.
        """
        if self._table.all_peers_report_work:
            return states
        near = [state for state in states if self._is_local(state)]
        fewest = 1 if light else MIN_LOCAL_ENGINES
        return near if len(near) >= fewest else states

    def _light_elsewhere(self, service: str, engines: list[UpstreamState], now: float) -> int:
        """Light streams on some engines, as far as other data centres tell of theirs."""
        if self._table.all_peers_report_work or all(self._is_local(state) for state in engines):
            return 0
        own = self._table.own_data_center_loads(now)
        near = sum(load.light for load in own if load.service == service)
        return near + self._table.data_center_loads.light_streams_elsewhere(service, now)

    def _choose(
        self,
        job: Job,
        profile: EngineProfile,
        states: list[UpstreamState],
        now: float,
        light: int = 0,
        most: int = MAX_PARTS,
    ) -> EngineChoice | None:
        """Choose among some engines, most of them at once.

        light is what is told of their light streams.
        """
        if not self._table.all_peers_report_work:
            states = interleave_data_centers(states)
        views = [_Candidate(state, now, self._is_local(state)) for state in states]
        light = max(light, sum(state.light_in_flight(now) for state in states))
        if is_light(profile, job.prompt_tokens, job.effective_gap_target):
            light += self._unseen_light(profile, len(states), now)
        rules = ChoiceOptions(
            most if self._policy.has(Mechanism.PARTS) else 1,
            wait_for_long_prefills=self._policy.has(Mechanism.CALENDAR),
            light_pool=self._policy.has(Mechanism.POOL),
            leases=self._policy.has(Mechanism.LEASES),
        )
        return choose_engines(profile, job, views, light, self._rng, rules)

    def _unseen_light(self, profile: EngineProfile, engines: int, now: float) -> int:
        """Light streams that peers probably placed and have not told yet.

        Each is taken to have placed as many as this instance did: a surge reaches all at once,
        above all when callers come back after a fault. Only light streams go by this guess: for
        long prompts, which take engines for long, it varies too much.
        """
        if not self._knows_peers():
            # Any engine may be full of what peers sent: light streams are spread over all.
            return profile.slots * engines
        if not self._policy.has(Mechanism.UNSEEN):
            return 0
        while self._light_times and now - self._light_times[0] > UNSEEN_SECONDS:
            self._light_times.popleft()
        return len(self._light_times) * self._peers()

    def _is_local(self, state: UpstreamState) -> bool:
        return state.listed.data_center == self._table.data_center

    def begin_attempt(self, call: RelayCall, progress: Progress, plan: Plan) -> int:
        """Enter an attempt's work in the ledger; returns its key."""
        now = self._clock()
        key = next(self._keys)
        choice = plan.choice
        if choice is None:
            plan.lead.work_by_key[key] = Work(
                0.0, now, 0, call.route.latency_target, 0.0, 1.0, False, True
            )
            return key
        job = make_job(call, progress, now)
        lead_tokens = job.tokens
        if choice.lease_tokens:
            lead_tokens = choice.lease_tokens + job.answer_tokens
        profile = call.configuration.services_by_name[call.service].engine
        light = profile is not None and is_light(
            profile, job.prompt_tokens, job.effective_gap_target
        )
        if light:
            self._light_times.append(now)
        group = self._rng.getrandbits(GROUP_BITS)
        work = Work(
            prefill_seconds=choice.part_seconds,
            since=now,
            tokens=lead_tokens,
            target=job.target,
            gap_target=job.gap_target,
            weight=job.weight,
            light=light,
            decodes=True,
            group=group,
            parts=len(plan.helpers) + 1,
        )
        plan.lead.work_by_key[key] = work
        for helper in plan.helpers:
            helper.work_by_key[key] = replace(work, tokens=choice.lease_tokens, decodes=False)
        if choice.part_seconds >= TELL_SECONDS or progress.attempts:
            # Also where a second try goes: a suspect that lost the same engine keeps off it.
            self._tell_soon()
        self._tell_long_reads_of(plan)
        return key

    def record_first_event(self, plan: Plan, key: int) -> None:
        """The first event came: all parts are read."""
        now = self._clock()
        for state in (plan.lead, *plan.helpers):
            state.record_prefill_end(key, now)
        self._tell_if_long(plan)

    def end_attempt(self, plan: Plan, key: int) -> None:
        """Take an attempt's work out of the ledger."""
        was_read = plan.lead.work_by_key[key].has_first_event
        for state in (plan.lead, *plan.helpers):
            state.work_by_key.pop(key, None)
        if not was_read:
            self._tell_if_long(plan)

    def _tell_if_long(self, plan: Plan) -> None:
        """Peers' long prompts wait for the engines of this one."""
        if plan.choice is not None and plan.choice.part_seconds >= LONG_PREFILL_SECONDS:
            self._tell_soon()
        self._tell_long_reads_of(plan)

    def _tell_long_reads_of(self, plan: Plan) -> None:
        """Every instance hears which engines a long prompt takes, and when they have read it."""
        if plan.choice is not None and plan.choice.part_seconds >= LONG_PREFILL_SECONDS:
            self._tell_long_reads()
