"""The last filter of a service call: sends it at most once unless it is repeatable."""

from dataclasses import replace

from pondpin.calls import Call, Outcome, Proceed, WholeAnswer
from pondpin.clocks import Clock
from pondpin.codes import Code, Ran
from pondpin.crash_monitor import CrashMonitor
from pondpin.decisions import AttemptFailed, Placed
from pondpin.errors import PondpinError
from pondpin.fleet import Fleet, UpstreamState
from pondpin.health import record_failure, record_success
from pondpin.http_streams import CallFailedError
from pondpin.metrics import Metrics
from pondpin.retry_budget import record_first_attempt, spend_retry
from pondpin.service_choice import ServiceView, choose_service, pin_upstream
from pondpin.service_client import IDEMPOTENCY_HEADER, ServiceCall, ServicePort

GUARANTEE_HEADER = "pondpin-guarantee"
SINGLE_DISPATCH = "single-dispatch"
BY_UPSTREAM = "at-most-once-by-upstream"
REPEATABLE = "repeatable"


class ServiceFilter:
    """Sends calls to upstreams of plain services."""

    def __init__(
        self,
        services: ServicePort,
        fleet: Fleet,
        metrics: Metrics,
        clock: Clock,
        crash_monitor: CrashMonitor,
    ) -> None:
        self._crash_monitor = crash_monitor
        self._services = services
        self._fleet = fleet
        self._metrics = metrics
        self._clock = clock

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        key = call.token or call.incoming.headers.get(IDEMPOTENCY_HEADER, "")
        allowed = self._fleet.select(
            call.the_rule.upstreams, {"kind": "service", "service": call.service}
        )
        if not allowed:
            raise PondpinError(Code.NO_UPSTREAM, f"no upstream of service {call.service!r}")
        pinnable = [state.name for state in allowed if state.upstream.checks_tokens]
        pinned = pin_upstream(key, pinnable) if key and pinnable else ""
        return await self._run_attempts(call, allowed, key, pinned)

    async def _run_attempts(
        self, call: Call, allowed: list[UpstreamState], key: str, pinned: str
    ) -> Outcome:
        """Send the call; retry only while that can't run it twice."""
        policy = call.snapshot.configuration.policy
        tried: set[str] = set()
        attempt = 0
        may_have_run = False
        while True:
            state = self._choose(allowed, pinned, tried)
            if attempt == 0:
                now = self._clock()
                state.budget = record_first_attempt(state.budget, policy.retry_ratio, now)
            try:
                answer = await self._send(call, state, key)
            except CallFailedError as error:
                tried.add(state.name)
                attempt += 1
                may_have_run = may_have_run or error.sent
                if error.sent:
                    await self._crash_monitor.check_liveness(call.identity, (state,))
                may_retry = attempt < policy.attempts and self._crash_monitor.allows_retry(
                    call.identity
                )
                self._check_retry(call, state, error, pinned, may_retry, may_have_run)
                continue
            return self._make_outcome(call, answer, pinned)

    def _make_outcome(self, call: Call, answer: WholeAnswer, pinned: str) -> Outcome:
        repeatable = REPEATABLE if call.the_rule.repeatable else SINGLE_DISPATCH
        headers = {GUARANTEE_HEADER: BY_UPSTREAM if pinned else repeatable}
        elapsed = self._clock() - call.arrived
        outcome = Outcome(Code.OK, Ran.RAN, answer, first_token=elapsed)
        return replace(outcome, headers=headers)

    def _choose(self, allowed: list[UpstreamState], pinned: str, tried: set[str]) -> UpstreamState:
        if pinned:
            state = next(state for state in allowed if state.name == pinned)
            if state.leaving:
                raise PondpinError(Code.NO_UPSTREAM, f"{pinned} holds the key and is leaving")
            now = self._clock()
            if state.bar(now) or not state.has_turn(self._fleet.sharer(), now):
                raise self._fleet.why_nobody([state], now)
            return state
        usable = self._fleet.in_service(allowed, self._clock())
        untried = [state for state in usable if state.name not in tried] or usable
        if not untried:
            raise self._fleet.why_nobody(allowed, self._clock())
        views = [
            ServiceView(
                state.name,
                state.open_calls,
                0,
                state.upstream.data_center == self._fleet.data_center,
            )
            for state in untried
        ]
        return self._fleet.by_name[choose_service(views).id]

    async def _send(self, call: Call, state: UpstreamState, key: str) -> WholeAnswer:
        now = self._clock()
        call.decision.events.append(Placed(now - call.arrived, (state.name,), "fewest open", ()))
        self._metrics.attempts.inc({"upstream": state.name, "result": "started"})
        prefix = f"/v1/services/{call.service}"
        sent = ServiceCall(
            method=call.incoming.method,
            path=call.incoming.path.removeprefix(prefix) or "/",
            headers=call.incoming.headers,
            body=call.incoming.body,
            key=key if state.upstream.checks_tokens else "",
        )
        seconds_left = call.deadline - now
        if seconds_left <= 0:
            raise PondpinError(Code.DEADLINE, retry_after=1.0)
        state.take_turn(self._fleet.sharer(), now)
        state.open_calls += 1
        try:
            # A new connection, so that a failure to connect proves that nothing was sent.
            new_connection = not call.the_rule.repeatable
            answer = await self._services.send(
                state.upstream.address, sent, seconds_left, new_connection
            )
        finally:
            state.open_calls -= 1
        state.health = record_success(state.health, self._clock())
        return answer

    def _check_retry(
        self,
        call: Call,
        state: UpstreamState,
        error: CallFailedError,
        pinned: str,
        may_retry: bool,
        may_have_run: bool,
    ) -> None:
        """Return if another attempt is safe and within the retry budget, else raise."""
        now = self._clock()
        state.health = record_failure(state.health, now, certain=not error.sent)
        self._metrics.attempts.inc({"upstream": state.name, "result": str(error)})
        is_safe = not error.sent or call.the_rule.repeatable or bool(pinned)
        ran = Ran.UNKNOWN if may_have_run else Ran.NOT_RUN
        code = Code.OUTCOME_UNKNOWN if may_have_run else Code.NOT_SENT
        seconds_left = call.deadline - now
        allowed = is_safe and may_retry and seconds_left > 0
        if allowed:
            allowed, state.budget = spend_retry(state.budget, now)
        next_step = "try again" if allowed else "give up"
        call.decision.events.append(
            AttemptFailed(now - call.arrived, state.name, str(error), next_step)
        )
        if not allowed:
            raise PondpinError(code, str(error), ran, retry_after=1.0)
