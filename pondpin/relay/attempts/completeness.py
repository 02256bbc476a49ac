"""Decides whether responses are complete: only by positive evidence.

docs/design/response-ends.md says what each kind of evidence proves.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from pondpin.clocks import Clock
from pondpin.network import Endpoint
from pondpin.relay.call import AttemptEnd, EndKind, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.response_ends import Doubt, Evidence, Identity, ResponseEnd
from pondpin.relay.upstreams.state import UpstreamState

# An engine that lost a part of a prompt stands still for longer before it ends the response; one
# that has sent its last event ends it at once.
STANDSTILL_SECONDS = 0.3
# Releases of leases are answered in some ms.
RELEASE_SECONDS = 0.1
# A liveness check waits for a slot like a request. Another upstream may serve the request then.
IDENTIFY_SECONDS = 1.0
# Of a request that must not run twice, for the way back to its caller.
DEADLINE_MARGIN_SECONDS = 0.1
DOUBT_BY_IDENTITY = {
    Identity.SAME: Doubt.NONE,
    Identity.OTHER: Doubt.OTHER_LIFE,
    Identity.REFUSED: Doubt.REFUSED,
    Identity.NO_ANSWER: Doubt.NO_ANSWER,
}


class Completeness:
    """Looks for the evidence of responses that look complete.

    identify: asks an upstream which life answers at its address, by the path of liveness checks,
    and waits for some seconds.
    """

    def __init__(
        self,
        identify: Callable[[UpstreamState, str, float], Awaitable[Identity]],
        clock: Clock,
    ) -> None:
        self._identify = identify
        self._clock = clock

    async def verify(self, call: RelayCall, plan: Plan, end: AttemptEnd) -> AttemptEnd:
        """The end with its evidence, or broken without any."""
        found = end.response_end
        if found is None:
            return end
        if has_all_events(call, found):
            return self._accept(end, found, Evidence.LAST_EVENT)
        doubt, failed = await self._find_doubt(call, plan, found)
        if doubt is not Doubt.NONE:
            return _reject(end, found, doubt, failed)
        return end if found.body.is_framed else self._accept(end, found, Evidence.SAME_LIFE)

    async def _find_doubt(
        self, call: RelayCall, plan: Plan, found: ResponseEnd
    ) -> tuple[Doubt, Endpoint | None]:
        """Find a reason against a response, and the other upstream at fault if there is one."""
        doubt = find_known_doubt(found)
        if doubt is not Doubt.NONE:
            return doubt, None
        lost = await find_lost_holder(found)
        if lost is not None:
            return DOUBT_BY_IDENTITY[lost.answer], lost.endpoint
        if found.body.is_framed:
            return Doubt.NONE, None
        for state in silent_holders(plan, found):
            answer = await self._ask(call, state)
            if answer is not Identity.SAME:
                return DOUBT_BY_IDENTITY[answer], state.endpoint
        return DOUBT_BY_IDENTITY[await self._ask(call, plan.lead)], None

    async def _ask(self, call: RelayCall, state: UpstreamState) -> Identity:
        path = call.configuration.services_by_name[call.service].health_path
        seconds = IDENTIFY_SECONDS
        if not call.route.idempotent:
            # Its caller gets no better answer meanwhile.
            seconds = max(0.0, call.deadline - self._clock() - DEADLINE_MARGIN_SECONDS)
        return await self._identify(state, path, seconds)

    def _accept(self, end: AttemptEnd, found: ResponseEnd, evidence: Evidence) -> AttemptEnd:
        found.evidence, found.evidence_at = evidence, self._clock()
        return end


def has_all_events(call: RelayCall, found: ResponseEnd) -> bool:
    """Whether a stream that was received from its start has as many events as it can have.

    An event carries one token or more.
    """
    if found.events is None:
        return False
    return 0 < call.metadata.answer_tokens <= found.events and call.resume_event_number < 0


def find_known_doubt(found: ResponseEnd) -> Doubt:
    """Why a response must not be taken for complete, by what is known without asking.

    An engine ends a response whose memory lapsed or was lost elsewhere, and lives on.
    """
    if found.held_until is not None and found.held_until <= found.at:
        return Doubt.LEASE_LAPSED
    if found.leases and found.at - found.last_data_at >= STANDSTILL_SECONDS:
        return Doubt.STOOD_STILL
    gap = found.gap_ended_at
    if found.leases and gap is not None and found.at - gap < STANDSTILL_SECONDS:
        return Doubt.UNSEEN
    return Doubt.NONE


@dataclass(frozen=True, slots=True)
class LostHolder:
    """An upstream that may have lost its part of a prompt's memory."""

    endpoint: Endpoint
    answer: Identity


async def find_lost_holder(found: ResponseEnd) -> LostHolder | None:
    """Find an upstream that held memory and does not live after the end, by its release."""
    if not found.releases:
        return None
    await asyncio.wait(found.releases.values(), timeout=RELEASE_SECONDS)
    for endpoint in found.releases:
        answer = _release_answer(found, endpoint)
        if answer not in (Identity.SAME, Identity.NO_ANSWER):
            return LostHolder(endpoint, answer)
    return None


def silent_holders(plan: Plan, found: ResponseEnd) -> list[UpstreamState]:
    """The helpers whose release was not answered: orders may stay unanswered."""
    return [
        state
        for state in plan.helpers
        if state.endpoint in found.releases
        and _release_answer(found, state.endpoint) is Identity.NO_ANSWER
    ]


def _release_answer(found: ResponseEnd, endpoint: Endpoint) -> Identity:
    task = found.releases[endpoint]
    is_answered = task.done() and not task.cancelled()
    return task.result() if is_answered else Identity.NO_ANSWER


def _reject(
    end: AttemptEnd, found: ResponseEnd, doubt: Doubt, failed: Endpoint | None = None
) -> AttemptEnd:
    found.evidence, found.doubt = Evidence.NONE, doubt
    return replace(
        end,
        kind=EndKind.BROKEN,
        detail=f"not shown to be complete: {doubt.value}",
        response=None,
        failed_endpoint=failed,
    )
