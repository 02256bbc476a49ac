"""The last filter of a completion: acquires engines, runs attempts and retries."""

import asyncio
import random
from dataclasses import replace

from pondpin.answer_writers import StreamWriter, WholeWriter
from pondpin.attempts import (
    AttemptState,
    Failure,
    NextStep,
    Step,
    backoff_seconds,
    decide_next,
)
from pondpin.availability import BlockReason
from pondpin.calls import Call, Outcome, Proceed
from pondpin.clocks import Clock, WallClock
from pondpin.codes import Code, Ran
from pondpin.crash_monitor import CrashMonitor
from pondpin.cursors import Cursor, sign_cursor
from pondpin.decisions import CANDIDATES_KEPT, AttemptFailed, Candidate, Placed, Waited
from pondpin.engine_attempts import EngineAttempts, Progress
from pondpin.errors import PondpinError
from pondpin.health import record_failure, record_success
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.overload.fair_queue import Flow
from pondpin.retry_budget import record_first_attempt, spend_retry
from pondpin.scheduler import Grant, Scheduler, Ticket
from pondpin.signing import Signer
from pondpin.stream_attempt import AttemptResult

MIN_RECORDED_WAIT_SECONDS = 0.005
# Responses which state that no part of the request was run.
NOT_RUN_FAILURES = (Failure.REFUSED, Failure.LEAVING)
# Failures that a crash of the engine may have caused.
CRASH_FAILURES = (Failure.BROKEN, Failure.GAP, Failure.UPSTREAM_DOWN)


class CompletionFilter:
    """Runs completions on engines."""

    def __init__(
        self,
        scheduler: Scheduler,
        attempts: EngineAttempts,
        metrics: InterfaceMetrics,
        signer: Signer,
        clock: Clock,
        wall_clock: WallClock,
        rng: random.Random,
        crash_monitor: CrashMonitor,
    ) -> None:
        self._crash_monitor = crash_monitor
        self._scheduler = scheduler
        self._attempts = attempts
        self._metrics = metrics
        self._signer = signer
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = rng

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        progress = self._make_progress(call)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                return await self._run(call, progress)
        except TimeoutError:
            ran = Ran.UNKNOWN if progress.upstream else Ran.NOT_RUN
            error = PondpinError(Code.DEADLINE, ran=ran, retry_after=1.0)
        except PondpinError as caught:
            error = caught
        if progress.may_have_run and error.ran is Ran.NOT_RUN:
            # The last refusal doesn't cover the attempts before it.
            error.ran = Ran.UNKNOWN
        if progress.writer.fail(error):
            return self._outcome(call, progress, error.code, error.ran)
        raise error

    def _make_progress(self, call: Call) -> Progress:
        prompt = call.the_prompt
        if not prompt.stream:
            return Progress(WholeWriter(call.kind, call.id, prompt.model))
        progress: Progress
        writer = StreamWriter(
            call.the_reply,
            call.kind,
            call.id,
            prompt.model,
            lambda: self._make_cursor(call, progress),
        )
        progress = Progress(writer)
        return progress

    def _make_cursor(self, call: Call, progress: Progress) -> str:
        """The signed cursor of the current attempt, signed once per attempt."""
        if progress.signed_attempt != progress.attempt:
            left = call.deadline - self._clock()
            cursor = Cursor(
                request=call.id,
                attempt=progress.attempt,
                upstream=progress.upstream,
                account=call.account_name,
                shape=call.kind.value,
                deadline=int(self._wall_clock() + left),
            )
            progress.signed_cursor = sign_cursor(self._signer, cursor)
            progress.signed_attempt = progress.attempt
        return progress.signed_cursor

    async def _run(self, call: Call, progress: Progress) -> Outcome:
        while True:
            grant = await self._acquire(call, progress)
            if self._is_unavailable(grant):
                # An engine's state changed while a group's reservations were awaited.
                self._scheduler.release(grant)
                continue
            try:
                result = await self._try_engine(call, grant, progress)
            finally:
                self._scheduler.release(grant)
            if result.failure is None:
                grant.lead.prefixes.learn(grant.expected_hit, result.cached)
                answer = progress.writer.finish(result.end)
                outcome = self._outcome(call, progress, Code.OK, Ran.RAN)
                return replace(outcome, answer=answer)
            await self._prepare_retry(call, grant, progress, result.failure)

    async def _acquire(self, call: Call, progress: Progress) -> Grant:
        prompt, rule = call.the_prompt, call.the_rule
        before = self._clock()
        grant = await self._scheduler.acquire(
            Ticket(
                request=call.id,
                attempt=progress.attempt,
                flow=Flow(call.account_name, call.length_class),
                weight=call.the_account.weight * rule.weight,
                priority=rule.priority,
                prompt_tokens=prompt.tokens,
                max_tokens=prompt.max_tokens,
                hashes=prompt.hashes,
                long=call.long,
                queued_at=call.arrived,
                deadline=call.deadline,
                selector=rule.upstreams,
                model=prompt.model,
                adapter=prompt.adapter,
                excluded=progress.excluded,
            )
        )
        self._record_grant(call, grant, before)
        progress.upstream = grant.lead.name
        return grant

    def _record_grant(self, call: Call, grant: Grant, before: float) -> None:
        now = self._clock()
        waited = now - before
        self._metrics.queue_wait.observe({"class": call.length_class}, waited)
        if waited > MIN_RECORDED_WAIT_SECONDS:
            call.decision.events.append(
                Waited(now - call.arrived, waited, "until an engine or group had room")
            )
        compared = sorted(grant.choice.compared, key=lambda item: item.score)
        candidates = tuple(
            Candidate(item.engine, item.first_token, item.finish, item.score, item.fits)
            for item in compared[:CANDIDATES_KEPT]
        )
        names = tuple(state.name for state in grant.engines)
        call.decision.events.append(Placed(now - call.arrived, names, grant.policy, candidates))

    async def _try_engine(self, call: Call, grant: Grant, progress: Progress) -> AttemptResult:
        """Run one attempt; if the stream breaks, resume it on the same engine."""
        state = grant.lead
        policy = call.snapshot.configuration.policy
        now = self._clock()
        if progress.attempt == 0:
            state.budget = record_first_attempt(state.budget, policy.retry_ratio, now)
        progress.resumed = 0
        self._metrics.attempts.inc({"upstream": state.name, "result": "started"})
        result = await self._attempts.receive(call, grant, progress, resume=False)
        if result.failure is None:
            state.health = record_success(state.health, self._clock())
            return result
        if result.failure in CRASH_FAILURES:
            await self._crash_monitor.check_liveness(call.identity, grant.engines)
        next_step = self._decide_next(call, grant, progress, result.failure)
        if next_step.step is Step.RESUME:
            progress.resumed = 1
            # A refused resume doesn't tell what the engine ran before it.
            progress.may_have_run = True
            self._record_failure(call, grant, result.failure, next_step.step.value)
            result = await self._attempts.receive(call, grant, progress, resume=True)
        if result.failure is not None:
            self._attempts.cancel(grant)
        return result

    def _is_unavailable(self, grant: Grant) -> bool:
        """Whether an engine of a grant has begun to leave or rest since it was chosen."""
        now = self._clock()
        return any(
            state.bar(now) in (BlockReason.LEAVING, BlockReason.RESTING) for state in grant.engines
        )

    def _decide_next(
        self, call: Call, grant: Grant, progress: Progress, failure: Failure
    ) -> NextStep:
        policy = call.snapshot.configuration.policy
        return decide_next(
            AttemptState(
                failure=failure,
                attempt=progress.attempt,
                # A stream isn't resumed on an engine to which nothing may be sent any more.
                resumed=max(progress.resumed, int(self._is_unavailable(grant))),
                repeatable=call.the_rule.repeatable,
                time_left=call.deadline - self._clock(),
                attempts_allowed=policy.attempts,
                left_upstreams=progress.left_upstreams,
            )
        )

    async def _prepare_retry(
        self, call: Call, grant: Grant, progress: Progress, failure: Failure
    ) -> None:
        """Prepare the next attempt, or raise PondpinError."""
        now = self._clock()
        state = grant.lead
        if failure not in NOT_RUN_FAILURES:
            state.health = record_failure(state.health, now, failure is Failure.NOT_SENT)
        next_step = self._decide_next(call, grant, progress, failure)
        if not self._crash_monitor.allows_retry(call.identity):
            next_step = NextStep(Step.GIVE_UP, Code.UPSTREAM_LOST)
        self._record_failure(call, grant, failure, next_step.step.value)
        proven_not_run = failure is Failure.NOT_SENT or failure in NOT_RUN_FAILURES
        proven_not_run = proven_not_run and progress.delivered == 0 and not progress.may_have_run
        progress.may_have_run = progress.may_have_run or not proven_not_run
        ran = Ran.NOT_RUN if proven_not_run else Ran.UNKNOWN
        if next_step.step is not Step.ELSEWHERE:
            raise PondpinError(next_step.code, ran=ran, retry_after=1.0)
        if failure is Failure.LEAVING:
            progress.left_upstreams += 1
        else:
            allowed, state.budget = spend_retry(state.budget, now)
            if not allowed:
                raise PondpinError(Code.RETRY_BUDGET, failure.value, ran, retry_after=2.0)
        progress.excluded |= {state.name}
        await asyncio.sleep(backoff_seconds(progress.attempt, self._random.random()))
        progress.attempt += 1

    def _record_failure(self, call: Call, grant: Grant, failure: Failure, next_step: str) -> None:
        self._metrics.attempts.inc({"upstream": grant.lead.name, "result": failure.value})
        at = self._clock() - call.arrived
        call.decision.events.append(AttemptFailed(at, grant.lead.name, failure.value, next_step))

    def _outcome(self, call: Call, progress: Progress, code: Code, ran: Ran) -> Outcome:
        return Outcome(
            code=code,
            ran=ran,
            first_token=progress.first_token,
            last_token=progress.last_token,
            tokens=progress.delivered,
        )
