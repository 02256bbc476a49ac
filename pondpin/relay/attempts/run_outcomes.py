"""Evaluates how runs ended, for the lives of their upstreams and the quarantine."""

from dataclasses import replace
from typing import TYPE_CHECKING

from pondpin.http_client import ConnectOutcome
from pondpin.relay.attempts.attempt_ends import FIRST_SERVER_ERROR, helper_at_fault
from pondpin.relay.attempts.run_tracker import Run
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.response_ends import Evidence

if TYPE_CHECKING:
    from pondpin.relay.attempts.crash_guard import CrashGuard

SUCCESSES = (EndKind.DONE, EndKind.ANSWERED)
UNPROVED = (Evidence.NONE, Evidence.UNCHECKED)


def _is_unproved(end: AttemptEnd) -> bool:
    """Whether nothing shows yet that a response is complete."""
    found = end.response_end
    return found is not None and found.is_close_delimited and found.evidence in UNPROVED


class RunOutcomes:
    """The outcomes of a guard's runs."""

    def __init__(self, guard: "CrashGuard") -> None:
        self._guard = guard
        self._tracker = guard.tracker

    async def finish(self, call: RelayCall, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        """See CrashGuard."""
        try:
            end = await self._check_upstream(plan, end, run)
        finally:
            # Also on cancellation, or peers would take it for running.
            self._guard.end_suspect_run(run)
        if end.kind in SUCCESSES and not _is_unproved(end):
            self._record_success(call, end, run)
        return end

    async def _check_upstream(self, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        helper = helper_at_fault(plan, end)
        if end.kind in SUCCESSES and _is_unproved(end):
            return await self._check_close_delimited(plan, end, run)
        if end.kind is EndKind.BROKEN:
            await self._tracker.check(run, plan.lead)
        elif helper is not None:
            await self._tracker.check(run, helper)
        elif end.kind is EndKind.STALLED:
            self._tracker.abandon(run)
        else:
            self._tracker.complete(run)
        if end.kind is EndKind.NOT_SENT and end.connection_refused:
            self._tracker.record_refused(plan.lead)
        return end

    async def _check_close_delimited(self, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        """Tell a response that ended with its connection from one cut off by a crash.

        One of an upstream that is leaving is taken for whole, but is no success.
        """
        outcome = await self._tracker.check(run, plan.lead)
        if outcome is ConnectOutcome.CONNECTED:
            run.broken = False
            self._tracker.complete(run)
            return self._with_evidence(end, Evidence.ACCEPTS)
        if run.broken:
            return replace(
                end,
                kind=EndKind.BROKEN,
                detail="the upstream may have ended with its response",
                response=None,
            )
        return self._with_evidence(end, Evidence.UNCHECKED)

    def _with_evidence(self, end: AttemptEnd, evidence: Evidence) -> AttemptEnd:
        assert end.response_end is not None, "only responses have evidence"
        end.response_end.evidence = evidence
        end.response_end.evidence_at = self._guard.clock()
        return end

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
