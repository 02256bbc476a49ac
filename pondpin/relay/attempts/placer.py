"""Finds the place of an attempt: past the quarantine, planned, in its turn, with its leases."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.attempts.send_checks import SendChecks
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.dispatch import DispatchDecision, Dispatcher, QueueEntry
from pondpin.relay.choosing.jobs import make_job
from pondpin.relay.choosing.planner import Plan, Planner
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standing import Bar, nobody_left

if TYPE_CHECKING:
    from pondpin.relay.attempts.permit_acquirer import PermitAcquirer
    from pondpin.relay.upstreams.leases import LeaseGroup, LeaseManager

# Groups of leases asked for before a request is refused for want of memory.
LEASE_TRIES = 3
# A request waits for a rest that ends within this share of what is left of its target.
REST_WAIT_SHARE = 0.25
WAKE_SECONDS = 0.001
# While upstreams come back bit by bit, those that wait look this often: half a usual answer.
RETURN_LOOK_SECONDS = 0.05
# Callers that are told to wait for a rest come back spread over so many seconds at most.
MOST_SPREAD_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Placer:
    """Plans attempts; raises PondpinError when nothing can take a request."""

    planner: Planner
    turns: Dispatcher
    leases: Callable[[], "LeaseManager"]
    send_checks: SendChecks
    table: UpstreamTable
    permits: Callable[[], "PermitAcquirer"]
    clock: Clock
    rng: random.Random

    async def place(self, call: RelayCall, progress: Progress) -> tuple[Plan, "LeaseGroup | None"]:
        """Plan by what holds when the plan is made; a long prompt may wait for it."""
        while True:
            await self.send_checks.crash_guard.admit(call, progress)
            plan, group = await self._plan(call, progress)
            if not self.send_checks.withhold_reason(call, progress, plan, is_begun=False):
                return plan, group
            if group is not None:
                self.leases().release(group)
            # A key that holds no more ends the request with its own error.
            self.send_checks.check_key(call)
            if self.clock() >= call.deadline:
                raise self.unavailable_error(call, progress)
            # Plan and guards go by the same beliefs; should they ever differ, others go on.
            await asyncio.sleep(0)

    async def _plan(self, call: RelayCall, progress: Progress) -> tuple[Plan, "LeaseGroup | None"]:
        avoid: frozenset[int] = frozenset()
        for _ in range(LEASE_TRIES):
            plan = await self._plan_or_wait(call, progress, avoid)
            if plan.choice is None or not plan.choice.lease_tokens:
                return plan, None
            group, refusing = await self.leases().acquire(
                call.id, plan.helper_endpoints, plan.choice.lease_tokens
            )
            if group is not None:
                return plan, group
            avoid |= {place.life for place in refusing}
        raise PondpinError(Code.NO_UPSTREAM, call.service, retry_after=RETRY_SECONDS)

    async def _plan_or_wait(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int]
    ) -> Plan:
        """Plan; where nobody takes a request but somebody will in a moment, wait for that."""
        if self._has_limited(call):
            await self.permits().recheck_limit(call, progress)
        while True:
            shunned = self.send_checks.crash_guard.avoided_lives()
            plan = await self._plan_when_free(call, progress, avoid | shunned)
            if plan is None and shunned:
                # Beside a suspect is better than nowhere.
                plan = await self._plan_when_free(call, progress, avoid)
            if plan is not None and (plan.lead.looks_healthy(self.clock()) or progress.permit):
                return plan
            if progress.permit is not None:
                # Its upstream has no place for this request after all.
                avoid |= {progress.permit.life}
                self.release_permit(progress)
            if self._has_limited(call) and await self.permits().acquire(call, progress, avoid):
                continue
            if plan is not None:
                return plan
            wait = self._worth_waiting(call, progress)
            if wait is None:
                raise self.unavailable_error(call, progress)
            await asyncio.sleep(wait)

    def _has_limited(self, call: RelayCall) -> bool:
        """Whether any upstream of the service takes requests by permit only."""
        if not self.table.standings.names_limits:
            return False
        return any(state.is_limited for state in self.table.of_service(call.service))

    def release_permit(self, progress: Progress) -> None:
        """Give back a permit that was not spent."""
        if progress.permit is not None:
            self.permits().release(progress)

    def _worth_waiting(self, call: RelayCall, progress: Progress) -> float | None:
        """Seconds after which a rest is over, None when that is too late, or not why."""
        now = self.clock()
        states = self._untried(call, progress)
        why = nobody_left((state.standing for state in states), now)
        if why is not None:
            wait = why.back_at - now + WAKE_SECONDS
        elif any(state.bar(now) is Bar.RETURNS for state in states):
            wait = RETURN_LOOK_SECONDS
        else:
            return None
        job = make_job(call, progress, now)
        is_soon = wait <= REST_WAIT_SHARE * (job.target - job.waited)
        return wait if is_soon and (why is None or why.bar is Bar.RESTS) else None

    def _untried(self, call: RelayCall, progress: Progress) -> list[UpstreamState]:
        states = self.table.of_service(call.service)
        return [state for state in states if state.life not in progress.tried_lives]

    def unavailable_error(self, call: RelayCall, progress: Progress) -> PondpinError:
        """The refusal of a request that no upstream takes: callers come back, spread out, when the
        first does.
        """
        now = self.clock()
        wait = self.permits().retry_after(call, progress) if self._has_limited(call) else None
        if wait is not None:
            spread = min(MOST_SPREAD_SECONDS, RETRY_SECONDS + wait) * self.rng.random()
            return PondpinError(Code.UPSTREAMS_LIMITED, call.service, retry_after=wait + spread)
        states = self._untried(call, progress) or self.table.of_service(call.service)
        why = nobody_left((state.standing for state in states), now)
        if why is None:
            return PondpinError(Code.NO_UPSTREAM, call.service, retry_after=RETRY_SECONDS)
        if why.bar is Bar.LEAVES:
            return PondpinError(Code.UPSTREAMS_LEAVE, call.service, retry_after=RETRY_SECONDS)
        wait = max(0.0, why.back_at - now)
        spread = min(MOST_SPREAD_SECONDS, RETRY_SECONDS + wait) * self.rng.random()
        return PondpinError(Code.UPSTREAMS_REST, call.service, retry_after=wait + spread)

    async def _plan_when_free(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int]
    ) -> Plan | None:
        """Plan; a long prompt waits for its turn."""
        turn: QueueEntry | None = None
        try:
            while True:
                plan = self.planner.plan(call, progress, avoid)
                if plan is None:
                    return None
                verdict = self.turns.decide(call, progress, plan, turn)
                if verdict is DispatchDecision.SEND:
                    return plan
                if verdict is DispatchDecision.REFUSE:
                    raise self._too_late(call, plan)
                turn = self.turns.update_queue(call, progress, plan, turn, verdict)
                await self._rest(plan, turn, verdict)
        finally:
            self.turns.dequeue(turn)

    async def _rest(self, plan: Plan, turn: QueueEntry | None, verdict: DispatchDecision) -> None:
        """Wait until a prompt that can't be sent yet is worth planning again."""
        planned_at = self.clock()
        await asyncio.sleep(self.turns.replan_delay(plan, verdict))
        while not self.turns.should_replan(turn, planned_at):
            await asyncio.sleep(self.turns.replan_delay(plan, verdict))

    def _too_late(self, call: RelayCall, plan: Plan) -> PondpinError:
        """The refusal of a prompt that would be read when its caller has given up."""
        assert plan.choice is not None, "only prompts wait"
        first = self.clock() - call.arrived_at + plan.choice.first_event_seconds
        detail = f"first event after {first:.2f} s"
        return PondpinError(Code.CANNOT_FINISH, detail, retry_after=RETRY_SECONDS)
