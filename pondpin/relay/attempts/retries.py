"""Decides whether another attempt follows, and how a request ends that has none left."""

from typing import TYPE_CHECKING

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.attempts.attempt_ends import (
    RETRY_SECONDS,
    correct_ran,
    final_error,
    is_retryable_response,
)
from pondpin.relay.attempts.handler import MAX_ATTEMPTS
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan

if TYPE_CHECKING:
    from pondpin.relay.attempts.handler import RelayHandler

ALL_TRIED = "no other upstream"
NO_PATH = "no path to the upstreams"


class Retries:
    """The retries of a handler's requests."""

    def __init__(self, handler: "RelayHandler") -> None:
        self._handler = handler

    def final_reason(self, call: RelayCall, progress: Progress, end: AttemptEnd) -> str:
        """Why no attempt may follow; empty if one may, which spends the retry budget."""
        handler = self._handler
        now = handler.clock()
        used_up = progress.sends >= call.route.max_attempts or progress.attempts >= MAX_ATTEMPTS
        is_withheld = end.kind is EndKind.WITHHELD
        if not is_withheld:
            # The upstream has not seen a withheld request, and may get it later.
            progress.tried_lives |= {progress.last_life}
        # A request that must not be repeated goes on without its caller, but is not retried.
        conditions = (
            (end.kind is EndKind.ANSWERED and not is_retryable_response(call, end), "answered"),
            (call.reply.is_closed, "its caller left"),
            (progress.may_have_run and not call.route.idempotent, "it may not run twice"),
            (end.unconfirmed and handler.connector.is_cut, NO_PATH),
            (used_up, "its attempts are used up"),
            (now >= call.deadline, "its time is over"),
            (not handler.crash_guard.allows_retry(call, progress, end), "upstreams ended under it"),
            (not handler.table.candidates(call.service, now, progress.tried_lives), ALL_TRIED),
        )
        for holds, reason in conditions:
            if holds:
                return reason
        # Not a retry: the request never reached an upstream.
        if not progress.sends or is_withheld:
            return ""
        if not handler.window(call.service).spend(now, handler.instance_count()):
            return "the share of retries is spent"
        handler.metrics.retries.inc({"service": call.service, "after": end.kind.value})
        return ""

    def final_error(
        self, call: RelayCall, progress: Progress, end: AttemptEnd, reason: str
    ) -> PondpinError:
        """The error for a request that ends without a response, by the reason for that."""
        if reason == NO_PATH:
            error = PondpinError(Code.UPSTREAMS_UNREACHABLE, retry_after=RETRY_SECONDS)
            return correct_ran(error, progress)
        if reason == ALL_TRIED and not progress.may_have_run:
            return self._handler.placer.unavailable_error(call, progress)
        return final_error(call, progress, end, self._handler.clock())

    def blames_upstream(self, plan: Plan, end: AttemptEnd, progress: Progress) -> bool:
        """Whether a failed attempt speaks against its upstream, not the path to it."""
        found = end.response_end
        if found is not None and found.doubt and not found.doubt.concerns_lives:
            return False
        path = progress.path if end.was_sent else ""
        connector = self._handler.connector
        return not end.unconfirmed and connector.blames_upstream(plan.lead.endpoint, path)
