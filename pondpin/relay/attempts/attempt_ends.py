"""Evaluates the end of an attempt: the upstream at fault, retries and the final error."""

from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.http_reply import Reply
from pondpin.network import Endpoint
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.upstreams.state import UpstreamState

FIRST_SERVER_ERROR = 500
# Retry delay when no upstream takes a request.
RETRY_SECONDS = 0.4


def helper_at_fault(plan: Plan, end: AttemptEnd) -> UpstreamState | None:
    """The helper that the lead names as the cause of not running a request."""
    for state in plan.helpers:
        if end.failed_endpoint == Endpoint(state.listed.host, state.listed.port):
            return state
    return None


def correct_ran(error: PondpinError, progress: Progress) -> PondpinError:
    """Replace an error that says 'not run' if an earlier attempt may have run."""
    if not progress.may_have_run or error.ran is not Ran.NOT_RUN:
        return error
    return PondpinError(Code.UPSTREAM_LOST, f"{error.code.name}: {error.detail}", Ran.UNKNOWN)


def is_retryable_response(call: RelayCall, end: AttemptEnd) -> bool:
    """Whether an upstream's own failure may be retried at another one."""
    response = end.response
    assert response is not None, "an answered attempt has its answer"
    return call.route.idempotent and response.status >= FIRST_SERVER_ERROR


def final_error(call: RelayCall, progress: Progress, end: AttemptEnd, now: float) -> PondpinError:
    """The error that a caller gets after the last attempt."""
    ran = Ran.UNKNOWN if progress.may_have_run else Ran.NOT_RUN
    detail = f"{end.kind.value}: {end.detail}"
    if not progress.may_have_run:
        return PondpinError(Code.NO_UPSTREAM, detail, ran, retry_after=RETRY_SECONDS)
    if now >= call.deadline:
        return PondpinError(Code.DEADLINE, detail, ran)
    if end.kind is EndKind.STALLED:
        return PondpinError(Code.UPSTREAM_STALLED, detail, ran)
    code = Code.UPSTREAM_LOST if call.route.idempotent else Code.OUTCOME_UNKNOWN
    return PondpinError(code, detail, ran)


def send_refusal(reply: Reply, request: str, error: PondpinError) -> None:
    """Send an error, or abort a response that has begun."""
    if reply.started:
        reply.abort()
        return
    reply.send_error(error, request, fractions=True)
