"""Acquires slots of contended upstreams for attempts, and refuses requests without a place."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import xxhash

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.metrics import Metrics
from pondpin.overload.slots import SlotRequest
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.call import Progress, RelayCall, Wait, WaitPlace
from pondpin.relay.choosing.jobs import make_job
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import EngineProfile, Load
from pondpin.relay.peers.slot_enforcement import SlotEnforcement
from pondpin.relay.slot_results import SlotRefusal
from pondpin.relay.upstreams.table import UpstreamTable

# Owners asked for one attempt.
MAX_OWNERS_ASKED = 3
# The grant, the request and the answer travel this long, and instances handle them.
HANDOVER_SECONDS = 0.01
# Weight of a run in the learned run time.
RUN_WEIGHT = 1.0 / 16
# A learned run time holds for this long.
RUN_SECONDS = 2.0
# A request that can't be in time may wait for this share of its target, as it is still answered.
LEAST_WAIT_SHARE = 0.1
# Until a run time is known, it is assumed to be this share of the target.
FIRST_RUN_SHARE = 1.0 / 3
# A load that was reported longer ago does not describe the upstream at the end of an attempt.
LOAD_AGE_SECONDS = 0.05
# While capacity suffices, owners are asked for a slot within this share of the allowed wait first.
PROBE_SHARE = 0.1

Replan = Callable[[RelayCall, Progress, frozenset[int]], Awaitable[Plan]]


@dataclass(frozen=True, slots=True)
class _Asked:
    """A plan whose lead's owner refused a slot."""

    plan: Plan
    refusal: SlotRefusal


@dataclass
class SlotAcquirer:
    """The slots of this instance's attempts."""

    slots: SlotEnforcement
    table: UpstreamTable
    policy: RelayPolicy
    metrics: Metrics
    clock: Clock
    # Learned run time of the plain calls of a service, and when it was learned.
    _run_by_service: dict[str, tuple[float, float]] = field(default_factory=dict)

    async def acquire(
        self,
        call: RelayCall,
        progress: Progress,
        plan: Plan,
        avoid: frozenset[int],
        replan: Replan,
    ) -> Plan:
        """Acquire a slot of the plan's lead if it is contended; if refused, of another upstream.

        Returns the plan to use; raises NO_CAPACITY once all owners that may be asked refused.
        """
        if progress.suspected or is_resumed(call, progress):
            return plan
        # While capacity suffices, the owners are asked for a slot that is free now or soon, and
        # then the one with the shortest wait. When it is scarce, all asks wait, in the order of
        # ranks and accounts.
        probes = not plan.is_long and not self.slots.broker.is_scarce(call.service)
        asked: list[_Asked] = []
        while True:
            is_contended = self.slots.contention.is_contended(plan.lead.life, self.clock())
            if not is_contended or progress.permit is not None:
                return plan
            is_last_owner = len(asked) + 1 >= MAX_OWNERS_ASKED or plan.candidate_count <= 1
            refusal = await self._ask(call, progress, plan, is_last_owner, probes)
            if refusal is None:
                return plan
            asked.append(_Asked(plan, refusal))
            avoid |= {plan.lead.life}
            next_plan = None if is_last_owner else await self._replan(call, progress, avoid, replan)
            if next_plan is None:
                break
            plan = next_plan
        if probes:
            best = min(asked, key=lambda item: item.refusal.wait)
            refusal = await self._ask(call, progress, best.plan, True, False)
            if refusal is None:
                return best.plan
            asked.append(_Asked(best.plan, refusal))
        raise self._no_capacity(call, progress, asked)

    async def _ask(
        self, call: RelayCall, progress: Progress, plan: Plan, is_last_owner: bool, probes: bool
    ) -> SlotRefusal | None:
        """Ask the owner of a plan's lead; None if the attempt may go on."""
        is_last = is_last_owner and not probes
        request = self._request(call, progress, plan, is_last, PROBE_SHARE if probes else 1.0)
        broker = self.slots.broker
        progress.wait = Wait(
            WaitPlace.SLOT,
            lambda now: broker.forecast_wait(request.key, now),
            self._forecast(call, plan)[0],
        )
        result = await broker.acquire(plan.lead, request)
        if isinstance(result, SlotRefusal):
            self.metrics.slot_grants.inc({"result": "refused"})
            return result
        self.metrics.slot_grants.inc({"result": "granted" if result.is_decided else "no owner"})
        progress.slot = result
        return None

    async def _replan(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int], replan: Replan
    ) -> Plan | None:
        try:
            return await replan(call, progress, avoid)
        except PondpinError:
            return None

    def end(self, call: RelayCall, progress: Progress, run_seconds: float | None) -> None:
        """End the grant of an attempt, with the load that its answer reported.

        run_seconds: of an attempt that was answered.
        """
        grant, progress.slot = progress.slot, None
        if grant is None:
            return
        state, now = self.table.by_life(grant.life), self.clock()
        is_recent = state is not None and now - state.reported_load_at < LOAD_AGE_SECONDS
        load = state.reported_load if state is not None and is_recent else None
        self.slots.broker.end(grant, state, load)
        if run_seconds is not None and call.metadata.prompt_tokens <= 0:
            self._record_run(call, run_seconds, load, now)

    def _record_run(self, call: RelayCall, seconds: float, load: Load | None, now: float) -> None:
        """Learn the run time of a plain call, without the wait in the upstream's own queue.

        By Little's law, of the time at an upstream the share of the running requests is run time.
        """
        if load is not None and load.running and load.waiting:
            seconds *= load.running / (load.running + load.waiting)
        known = self._run_seconds(call, now)
        self._run_by_service[call.service] = (known + (seconds - known) * RUN_WEIGHT, now)

    def _run_seconds(self, call: RelayCall, now: float) -> float:
        """Forecast run time of a plain call.

        A long one, by which all requests are refused, would never be corrected by another run.
        """
        first = FIRST_RUN_SHARE * call.route.latency_target
        known, learned_at = self._run_by_service.get(call.service, (first, now))
        return known if now - learned_at < RUN_SECONDS else min(known, first)

    def _request(
        self, call: RelayCall, progress: Progress, plan: Plan, is_last: bool, share: float = 1.0
    ) -> SlotRequest:
        now = self.clock()
        run, cost = self._forecast(call, plan)
        job = make_job(call, progress, now)
        left = min(job.target - job.waited, call.deadline - now) - run - HANDOVER_SECONDS
        is_return = self.policy.has(Mechanism.RETURN_ORDER) and self.slots.refused.is_return(
            call.identity, now
        )
        return SlotRequest(
            key=self.slots.broker.new_key(),
            rank=call.rank,
            account=xxhash.xxh32_intdigest(call.account.encode()),
            cost_seconds=cost,
            max_wait_seconds=share * max(LEAST_WAIT_SHARE * job.target, left),
            is_return=is_return,
            is_last=is_last,
        )

    def _forecast(self, call: RelayCall, plan: Plan) -> tuple[float, float]:
        """Seconds to the first event or the answer once a slot is free, and of the occupation."""
        service = call.configuration.services_by_name.get(call.service)
        profile = service.engine if service is not None else None
        choice = plan.choice
        if profile is None or choice is None:
            run = self._run_seconds(call, self.clock())
            return run, run
        if plan.is_long:
            first_event = choice.first_event_seconds
        else:
            # What waits at the engine is in the owner's forecast.
            first_event = choice.part_seconds + full_pass_seconds(profile)
        answer = call.metadata.answer_tokens * full_pass_seconds(profile) / max(1, profile.stride)
        return first_event, first_event + answer

    def _no_capacity(
        self, call: RelayCall, progress: Progress, asked: list[_Asked]
    ) -> PondpinError:
        last = asked[-1]
        retry_after = RETRY_SECONDS
        if self.policy.has(Mechanism.RETURN_ORDER):
            # Only the last owner has booked a place.
            retry_after = last.refusal.retry_after
            self.slots.refused.add(call.identity, self.clock() + retry_after)
        names = dict.fromkeys(item.plan.lead.id for item in asked)
        wait = min(item.refusal.wait for item in asked)
        allowed = self._request(call, progress, last.plan, True).max_wait_seconds
        detail = (
            f"{call.service}: asked {', '.join(names)}; rank {call.rank}; account's share "
            f"{last.refusal.share:.2f}; forecast wait {wait:.3f} s, allowed {allowed:.3f} s; "
            f"capacity {last.refusal.slots} slots of {last.refusal.hold:.3f} s"
        )
        return PondpinError(Code.NO_CAPACITY, detail, retry_after=retry_after)


def is_resumed(call: RelayCall, progress: Progress) -> bool:
    """Whether a stream continues: its caller waits amid an answer, and much of it is done."""
    return progress.events > 0 or call.resume_event_number >= 0


def full_pass_seconds(profile: EngineProfile) -> float:
    """Seconds of a pass of an engine with a stream in each slot."""
    step = profile.step_seconds + profile.slots * profile.step_per_stream
    return profile.stride * step
