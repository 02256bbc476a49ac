"""Plans attempts and records their work on upstreams."""

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import cached_property
from typing import TYPE_CHECKING

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
from pondpin.relay.choosing.jobs import LazyEngine, interleave_data_centers, make_job
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import EngineProfile
from pondpin.relay.ports import PartAssignment
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable, isolation_candidates
from pondpin.relay.upstreams.work import LONG_PREFILL_SECONDS, Work
from pondpin.service_choice import ServiceView, choose_service

if TYPE_CHECKING:
    from pondpin.relay.choosing.connection_shares import ConnectionShares

# A part with at least this much prefill is reported to peers at once.
SEND_SOON_SECONDS = 0.03
# Long prompts want many parts: with fewer local engines they use remote ones too.
MIN_LOCAL_ENGINES = 12
# Usable share of a connection limit; the remainder is for connections being closed.
CONNECTIONS_SHARE = 0.9
# Lower bound: callers are spread unevenly, and few instances are busy at once.
MIN_CONNECTIONS = 4
# Period of digests: what a peer placed within it has not been reported.
DIGEST_SECONDS = 0.2
GROUP_BITS = 31


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """Placement settings; all but the defaults are baselines for measurements."""

    placement: PlacementPolicy = PlacementPolicy.PREDICTED
    without: frozenset[Mechanism] = frozenset()

    def has(self, mechanism: Mechanism) -> bool:
        """Whether a mechanism is enabled."""
        return mechanism not in self.without


@dataclass(frozen=True, slots=True)
class Plan:
    """A planned attempt; choice is None for a plain service.

    local_count: the engines whose load is known, in a large fleet those of this data centre.
    """

    lead: UpstreamState
    helpers: tuple[UpstreamState, ...]
    choice: EngineChoice | None
    candidate_count: int
    is_long: bool = False
    local_count: int = 0

    @property
    def prefill_seconds(self) -> float | None:
        """Forecast seconds from the start of the prefill to the first event."""
        choice = self.choice
        return choice.first_event_seconds - choice.start_delay if choice is not None else None

    @property
    def helper_endpoints(self) -> tuple[PartAssignment, ...]:
        """Addresses of the helpers."""
        return tuple(
            PartAssignment(state.id, state.listed.host, state.listed.port, life=state.life)
            for state in self.helpers
        )


def connection_share(connections: int, instances: int) -> int:
    """One instance's share of an upstream's connection limit."""
    return max(MIN_CONNECTIONS, int(connections * CONNECTIONS_SHARE / max(1, instances)))


class Planner:
    """Chooses among the usable upstreams of a service."""

    def __init__(
        self,
        table: UpstreamTable,
        clock: Clock,
        rng: random.Random,
        send_soon: Callable[[], None],
        policy: RelayPolicy | None = None,
        instance_count: Callable[[], int] = lambda: 1,
        peer_count: Callable[[], int] = lambda: 0,
        knows_peers: Callable[[], bool] = lambda: True,
        broadcast_long_prefills: Callable[[], None] = lambda: None,
        has_spare: Callable[[UpstreamState], bool] = lambda state: False,
        trim_idle: Callable[[str, int, int], None] = lambda host, port, keep: None,
    ) -> None:
        self._trim_idle = trim_idle
        self._has_spare = has_spare
        self._broadcast_long_prefills = broadcast_long_prefills
        self.table = table
        self._clock = clock
        self._rng = rng
        self._send_soon = send_soon
        self.policy = policy or RelayPolicy()
        self._instance_count = instance_count
        self._peer_count = peer_count
        self._knows_peers = knows_peers
        self._light_times: deque[float] = deque()
        self._keys = itertools.count(1)

    def plan(self, call: RelayCall, progress: Progress, avoid: frozenset[int]) -> Plan | None:
        """Plan the next attempt of a call; None when no upstream can take it now."""
        now = self._clock()
        states = self.table.candidates(
            call.service,
            now,
            progress.tried_lives | avoid,
            lambda state: self._may_use(state, progress),
        )
        if progress.permit is not None:
            states = [state for state in states if state.life == progress.permit.life]
        service = call.configuration.services_by_name.get(call.service)
        profile = service.engine if service is not None else None
        if service is not None:
            states = [
                state for state in states if self._may_connect(state, service.max_connections)
            ]
        if progress.suspected:
            states = isolation_candidates(
                self._visible(states, True), progress.failed_releases, now
            )
            # Random, so that suspected requests of several instances use different engines.
            states = [self._rng.choice(states[len(states) // 2 :])] if states else []
        if not states:
            return None
        if profile is None or call.metadata.prompt_tokens <= 0:
            return self._plan_plain(states, now)
        return self._plan_engines(call, progress, profile, states, now)

    def _may_connect(self, state: UpstreamState, connections: int) -> bool:
        """Whether this instance's share of an upstream's connections allows another request."""
        own = state.own_in_flight
        if own + 1 < connection_share(connections, self._instance_count()):
            return True
        return own < self.connection_shares.share(state, connections)

    @cached_property
    def connection_shares(self) -> "ConnectionShares":
        """Imported once an equal share of an upstream's connections is in use."""
        from pondpin.relay.choosing.connection_shares import ConnectionShares

        return ConnectionShares(
            self.table, self._instance_count, self._peer_count, self._clock, self._trim_idle
        )

    def expire(self) -> None:
        """Close connections that are not needed any more."""
        if "connection_shares" in self.__dict__:
            self.connection_shares.expire()

    def _may_use(self, state: UpstreamState, progress: Progress) -> bool:
        """Whether a limited upstream may be used: by its permit, or first with a spare permit.

        The permit of a cold one is acquired once it is chosen.
        """
        if progress.permit is not None:
            return state.life == progress.permit.life
        if state.is_cold:
            return True
        return not progress.attempts and self._has_spare(state)

    def _plan_plain(self, states: list[UpstreamState], now: float) -> Plan:
        contention = self.table.contention
        if contention is not None and contention.is_any(now):
            from pondpin.relay.choosing.contended_choice import choose_contended

            lead = choose_contended(states, contention, self.is_local, self._rng, now)
            return Plan(lead, (), None, len(states))
        views = [
            ServiceView(state.id, state.in_flight(now), 0, self.is_local(state)) for state in states
        ]
        name = choose_service(views).id
        return Plan(self.table.by_id[name], (), None, len(states))

    def _plan_engines(
        self,
        call: RelayCall,
        progress: Progress,
        profile: EngineProfile,
        states: list[UpstreamState],
        now: float,
    ) -> Plan | None:
        job = make_job(call, progress, now)
        light = is_light(profile, job.prompt_tokens, job.effective_gap_target)
        if not light:
            states = [state for state in states if not state.is_cold]
            if not states:
                return None
        if self.policy.placement is not PlacementPolicy.PREDICTED:
            # Only measurements use baselines.
            from pondpin.relay.choosing.baselines import plan_baseline

            tokens = call.metadata.prompt_tokens
            placement = self.policy.placement
            plain = plan_baseline(placement, profile, tokens, states, self._rng, now)
            return Plan(plain[0], (), plain[1], len(states))
        if not light:
            # Leases and their renewals would count towards the limit as well.
            states = [state for state in states if not state.is_limited] or states
        local = self._visible(states, light)
        max_parts = 1 if progress.suspected or progress.permit is not None else MAX_PARTS
        if self.table.all_peers_report_work:
            choice = self.choose(job, profile, local, now, max_parts=max_parts)
        else:
            from pondpin.relay.choosing.large_fleet import choose_in_large_fleet

            choice = choose_in_large_fleet(self, call, job, (local, states), now, max_parts)
        if choice is None:
            return None
        helpers = tuple(self.table.by_id[name] for name in choice.helpers)
        lead = self.table.by_id[choice.lead]
        return Plan(lead, helpers, choice, len(states), not light, len(local))

    def _visible(self, states: list[UpstreamState], light: bool) -> list[UpstreamState]:
        """The engines whose load is known here: in a large fleet the local ones.

        Light streams use these however few: with one pool over five data centres, each of which
        knew a fifth of it, the busiest of 15 engines had 3.5 times the mean load and half of the
        short streams were late.
        """
        if self.table.all_peers_report_work:
            return states
        local = [state for state in states if self.is_local(state)]
        minimum = 1 if light else MIN_LOCAL_ENGINES
        return local if len(local) >= minimum else states

    def choose(
        self,
        job: Job,
        profile: EngineProfile,
        states: list[UpstreamState],
        now: float,
        light: int = 0,
        max_parts: int = MAX_PARTS,
    ) -> EngineChoice | None:
        """Choose up to max_parts engines; light: reported light streams on them."""
        if not self.table.all_peers_report_work:
            states = interleave_data_centers(states)
        views = [LazyEngine(state, now, self.is_local(state)) for state in states]
        light = max(light, sum(state.light_in_flight(now) for state in states))
        if is_light(profile, job.prompt_tokens, job.effective_gap_target):
            light += self._unreported_light(profile, len(states), now)
        options = ChoiceOptions(
            max_parts if self.policy.has(Mechanism.PARTS) else 1,
            wait_for_long_prefills=self.policy.has(Mechanism.CALENDAR),
            light_pool=self.policy.has(Mechanism.POOL),
            leases=self.policy.has(Mechanism.LEASES),
        )
        return choose_engines(profile, job, views, light, self._rng, options)

    def _unreported_light(self, profile: EngineProfile, engines: int, now: float) -> int:
        """Estimate the light streams that peers have placed but not reported yet.

        Each is assumed to have placed as many as this instance: surges reach all at once, above
        all when callers return after a fault. For long prompts, which occupy engines for long, the
        estimate varies too much.
        """
        if not self._knows_peers():
            # Peers may have filled any engine: spread over all.
            return profile.slots * engines
        if not self.policy.has(Mechanism.UNSEEN):
            return 0
        while self._light_times and now - self._light_times[0] > DIGEST_SECONDS:
            self._light_times.popleft()
        return len(self._light_times) * self._peer_count()

    def is_local(self, state: UpstreamState) -> bool:
        """Whether an upstream is in the own data centre."""
        return state.listed.data_center == self.table.data_center

    def begin_attempt(self, call: RelayCall, progress: Progress, plan: Plan) -> int:
        """Record an attempt's work on its upstreams; returns its key."""
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
        if choice.part_seconds >= SEND_SOON_SECONDS or progress.attempts:
            # Also retries: a suspected request that lost the same engine avoids this one.
            self._send_soon()
        self._broadcast_long_prefill(plan)
        return key

    def record_first_event(self, plan: Plan, key: int) -> None:
        """Record the first event, which ends the prefill of all parts."""
        now = self._clock()
        for state in (plan.lead, *plan.helpers):
            state.record_prefill_end(key, now)
        self._send_if_long(plan)

    def end_attempt(self, plan: Plan, key: int) -> None:
        """Remove an attempt's work from its upstreams."""
        had_first_event = plan.lead.work_by_key[key].has_first_event
        for state in (plan.lead, *plan.helpers):
            state.work_by_key.pop(key, None)
        if not had_first_event:
            self._send_if_long(plan)

    def _send_if_long(self, plan: Plan) -> None:
        """Notify peers, whose long prompts wait for the engines."""
        if plan.choice is not None and plan.choice.part_seconds >= LONG_PREFILL_SECONDS:
            self._send_soon()
        self._broadcast_long_prefill(plan)

    def _broadcast_long_prefill(self, plan: Plan) -> None:
        if plan.choice is not None and plan.choice.part_seconds >= LONG_PREFILL_SECONDS:
            self._broadcast_long_prefills()
