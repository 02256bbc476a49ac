"""Evaluates how runs ended, for the lives of their upstreams and the quarantine."""

from typing import TYPE_CHECKING

from pondpin.relay.attempts.attempt_ends import FIRST_SERVER_ERROR, helper_at_fault
from pondpin.relay.attempts.completeness import Completeness
from pondpin.relay.attempts.identity_checks import IdentityChecks
from pondpin.relay.attempts.run_tracker import Run
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan

if TYPE_CHECKING:
    from pondpin.relay.attempts.crash_guard import CrashGuard

SUCCESSES = (EndKind.DONE, EndKind.ANSWERED)


class RunOutcomes:
    """The outcomes of a guard's runs."""

    def __init__(self, guard: "CrashGuard") -> None:
        self._guard = guard
        self._tracker = guard.tracker
        identities = IdentityChecks(lambda state, path: guard.load_prober().identify(state, path))
        self._completeness = Completeness(identities.check, guard.clock)

    async def finish(self, call: RelayCall, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        """See CrashGuard."""
        try:
            end = await self._verify(call, plan, end, run)
            await self._check_upstream(plan, end, run)
        finally:
            # Also on cancellation, or peers would take it for running.
            self._guard.end_suspect_run(run)
        if end.kind in SUCCESSES:
            self._record_success(call, end, run)
        return end

    async def _verify(self, call: RelayCall, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        if end.kind not in SUCCESSES:
            return end
        try:
            return await self._completeness.verify(call, plan, end)
        except BaseException:
            self._tracker.abandon(run)
            raise

    async def _check_upstream(self, plan: Plan, end: AttemptEnd, run: Run) -> None:
        helper = helper_at_fault(plan, end)
        if helper is not None:
            await self._tracker.check(run, helper)
        elif end.kind is EndKind.BROKEN and _concerns_life(end):
            await self._tracker.check(run, plan.lead)
        elif end.kind is EndKind.STALLED:
            self._tracker.abandon(run)
        else:
            self._tracker.complete(run)
        if end.kind is EndKind.NOT_SENT and end.connection_refused:
            self._tracker.record_refused(plan.lead)

    def _record_success(self, call: RelayCall, end: AttemptEnd, run: Run) -> None:
        guard = self._guard
        cleared = guard.quarantine.record_success(call.identity, guard.clock())
        if cleared:
            guard.records.unsent += cleared
        is_error = end.response is not None and end.response.status >= FIRST_SERVER_ERROR
        if guard.quarantine.segments and not is_error:
            since = run.sent_at if run.answered_at is None else run.answered_at
            guard.records.exonerations.record(run.segments, since)

    async def wait_for_exoneration(
        self, call: RelayCall, progress: Progress, end: AttemptEnd
    ) -> None:
        """Wait with a retry while a segment of the request may have ended its upstream."""
        is_last = not call.route.idempotent or progress.sends + 1 >= call.route.max_attempts
        if end.kind is not EndKind.BROKEN or is_last or not call.metadata.segments:
            return
        if self._guard.has_ends:
            await self._guard.records.wait_for_exoneration(call, progress.last_life)


def _concerns_life(end: AttemptEnd) -> bool:
    """Whether the life of the lead may have ended with a broken response."""
    found = end.response_end
    return found is None or not found.doubt or found.doubt.concerns_lives
