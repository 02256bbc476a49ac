"""Places attempts: quarantine, plan, prefill queue, permits and leases."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondpin.availability import BlockReason, find_unavailability
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.attempts.run_times import RunTimes
from pondpin.relay.attempts.send_checks import SendChecks
from pondpin.relay.call import Progress, RelayCall, Wait, WaitPlace
from pondpin.relay.choosing.jobs import make_job
from pondpin.relay.choosing.planner import Plan, Planner
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.attempts.permit_acquirer import PermitAcquirer
    from pondpin.relay.attempts.slot_acquirer import SlotAcquirer
    from pondpin.relay.choosing.dispatch import Dispatcher
    from pondpin.relay.upstreams.leases import LeaseGroup, LeaseManager

# Groups of leases requested before a request is refused for lack of memory.
LEASE_TRIES = 3
# A request waits for a rest that ends within this share of the time left to its target.
REST_WAIT_SHARE = 0.25
WAKE_MARGIN_SECONDS = 0.001
# Interval of planning while upstreams return from rests: half a usual response time.
RETURN_POLL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Placer:
    """Plans attempts; raises PondpinError if no upstream can take a request."""

    planner: Planner
    dispatcher: Callable[[], "Dispatcher"]
    leases: Callable[[], "LeaseManager"]
    send_checks: SendChecks
    table: UpstreamTable
    permits: Callable[[], "PermitAcquirer"]
    slots: Callable[[], "SlotAcquirer"]
    clock: Clock
    rng: random.Random
    drain_ends_at: Callable[[], float | None] = lambda: None
    run_times: RunTimes = field(default_factory=RunTimes)

    async def place(self, call: RelayCall, progress: Progress) -> tuple[Plan, "LeaseGroup | None"]:
        """Plan an attempt that passes the send checks; long prompts may queue."""
        while True:
            self.check_evacuated(call)
            progress.wait = Wait(WaitPlace.PLACEMENT)
            await self.send_checks.crash_guard.admit(call, progress)
            plan, group = await self._plan(call, progress)
            if not self.send_checks.withhold_reason(call, progress, plan, is_begun=False):
                self._check_drain(call, progress, plan, group)
                progress.wait = None
                return plan, group
            if group is not None:
                self.leases().release(group)
            # It may have expired while the request waited.
            self.release_permit(progress)
            # A key that is no longer valid ends the request with its own error.
            self.send_checks.check_key(call)
            if self.clock() >= call.deadline:
                raise self.unavailable_error(call, progress)
            # Plan and checks use the same state; if they ever differ, let other tasks run.
            await asyncio.sleep(0)

    def _check_drain(
        self, call: RelayCall, progress: Progress, plan: Plan, group: "LeaseGroup | None"
    ) -> None:
        """Raise PondpinError if this instance stops before a request would be answered."""
        ends_at = self.drain_ends_at()
        if ends_at is None:
            return
        from pondpin.relay.attempts.shutdown import check_drain

        delay = plan.choice.start_delay if plan.choice is not None else 0.0
        wait = Wait(WaitPlace.PLACEMENT, lambda now: delay, plan.prefill_seconds)
        now = self.clock()
        longest_run = self.run_times.longest(call.route.name, now)
        try:
            check_drain(call, progress, wait, ends_at, now, longest_run)
        except PondpinError:
            if group is not None:
                self.leases().release(group)
            raise

    def check_evacuated(self, call: RelayCall) -> None:
        """Raise PondpinError if every upstream of a call's service is evacuated."""
        if self.table.evacuated:
            from pondpin.relay.attempts.evacuated import check_evacuated

            check_evacuated(self.table, call.service, self.clock(), self.rng)

    async def _plan(self, call: RelayCall, progress: Progress) -> tuple[Plan, "LeaseGroup | None"]:
        avoid: frozenset[int] = frozenset()
        for _ in range(LEASE_TRIES):
            plan = await self._plan_with_slot(call, progress, avoid)
            if plan.choice is None or not plan.choice.lease_tokens:
                return plan, None
            group, refusing = await self.leases().acquire(
                call.id, plan.helper_endpoints, plan.choice.lease_tokens
            )
            if group is not None:
                return plan, group
            avoid |= {part.life for part in refusing}
        raise PondpinError(Code.NO_UPSTREAM, call.service, retry_after=RETRY_SECONDS)

    async def _plan_with_slot(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int]
    ) -> Plan:
        """Plan, and acquire a slot if the upstream is contended."""
        self.end_slot(call, progress)
        plan = await self._plan_or_wait(call, progress, avoid)
        if self.table.contention is None:
            return plan
        return await self.slots().acquire(call, progress, plan, avoid, self._plan_or_wait)

    def end_slot(
        self, call: RelayCall, progress: Progress, run_seconds: float | None = None
    ) -> None:
        """End the grant of an attempt; run_seconds: of one that was answered."""
        if progress.slot is not None:
            self.slots().end(call, progress, run_seconds)

    async def _plan_or_wait(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int]
    ) -> Plan:
        """Plan; if no upstream takes a request but one soon will, wait for it."""
        if self.has_limited(call):
            await self.permits().recheck_limit(call, progress)
        while True:
            avoided = self.send_checks.crash_guard.avoided_lives()
            plan = await self._plan_in_queue(call, progress, avoid | avoided)
            if plan is None and avoided:
                # Running beside a suspect is better than a refusal.
                plan = await self._plan_in_queue(call, progress, avoid)
            if plan is not None and plan.lead.is_cold and progress.permit is None:
                avoid |= await self.permits().acquire_for_cold(call, progress, plan.lead)
                continue
            if plan is not None and (plan.lead.looks_healthy(self.clock()) or progress.permit):
                return plan
            if progress.permit is not None:
                # Its upstream can't take this request after all.
                avoid |= {progress.permit.life}
                self.release_permit(progress)
            if self.has_limited(call) and await self.permits().acquire(call, progress, avoid):
                continue
            if plan is not None:
                return plan
            wait = self._rest_wait(call, progress)
            if wait is None:
                raise self.unavailable_error(call, progress)
            ends_at = self.clock() + wait
            progress.wait = Wait(WaitPlace.REST, _until(ends_at))
            await asyncio.sleep(wait)

    def has_limited(self, call: RelayCall) -> bool:
        """Whether any upstream of a call's service requires permits."""
        if not self.table.availability_table.any_limit_reported:
            return False
        states = self.table.of_service(call.service)
        # is_empty is tested first, as the table may hold hundreds.
        return any(not item.availability.is_empty and item.is_limited for item in states)

    def release_permit(self, progress: Progress) -> None:
        """Release an unused permit."""
        if progress.permit is not None:
            self.permits().release(progress)

    def _rest_wait(self, call: RelayCall, progress: Progress) -> float | None:
        """Seconds to wait for rests or slow starts; None if too late, or neither is the cause."""
        now = self.clock()
        states = self.untried(call, progress)
        cause = find_unavailability((state.availability for state in states), now)
        if cause is not None:
            wait = cause.resume_at - now + WAKE_MARGIN_SECONDS
        elif any(state.block_reason(now) is BlockReason.SLOW_START for state in states):
            wait = RETURN_POLL_SECONDS
        else:
            return None
        job = make_job(call, progress, now)
        is_soon = wait <= REST_WAIT_SHARE * (job.target - job.waited)
        return wait if is_soon and (cause is None or cause.reason is BlockReason.RESTING) else None

    def untried(self, call: RelayCall, progress: Progress) -> list[UpstreamState]:
        """The upstreams of a call's service that it has not tried."""
        states = self.table.of_service(call.service)
        return [state for state in states if state.life not in progress.tried_lives]

    def unavailable_error(self, call: RelayCall, progress: Progress) -> PondpinError:
        """See refusals.unavailable_error."""
        from pondpin.relay.attempts.refusals import unavailable_error

        return unavailable_error(self, call, progress)

    async def _plan_in_queue(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int]
    ) -> Plan | None:
        plan = self.planner.plan(call, progress, avoid)
        if plan is None or not plan.is_long:
            return plan
        return await self._dispatch_long(call, progress, avoid, plan)

    async def _dispatch_long(
        self, call: RelayCall, progress: Progress, avoid: frozenset[int], plan: Plan | None
    ) -> Plan | None:
        # Loaded with the first long prompt: loading code takes most of a start.
        from pondpin.relay.choosing.dispatch import DispatchDecision, QueueEntry

        dispatcher = self.dispatcher()
        entry: QueueEntry | None = None
        try:
            while plan is not None:
                decision = dispatcher.decide(call, progress, plan, entry)
                if decision is DispatchDecision.SEND:
                    return plan
                if decision is DispatchDecision.REFUSE:
                    from pondpin.relay.attempts.refusals import too_late_error

                    wait = dispatcher.retry_after(call, progress, plan)
                    raise too_late_error(call, plan, wait, self.clock())
                entry = dispatcher.update_queue(call, progress, plan, entry, decision)
                progress.wait = dispatcher.make_wait(plan, entry)
                await dispatcher.wait_to_replan(plan, entry, decision)
                plan = self.planner.plan(call, progress, avoid)
            return None
        finally:
            dispatcher.dequeue(entry)


def _until(ends_at: float) -> Callable[[float], float]:
    return lambda now: ends_at - now
