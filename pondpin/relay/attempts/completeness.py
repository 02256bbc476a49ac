"""Decides whether responses are complete: only by positive evidence.

docs/design/response-ends.md says what each kind of evidence proves.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from pondpin.clocks import Clock
from pondpin.relay.call import AttemptEnd, EndKind, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.response_ends import Doubt, Evidence, Identity, ResponseEnd
from pondpin.relay.upstreams.state import UpstreamState

DOUBT_BY_IDENTITY = {
    Identity.SAME: Doubt.NONE,
    Identity.OTHER: Doubt.OTHER_LIFE,
    Identity.REFUSED: Doubt.REFUSED,
    Identity.NO_ANSWER: Doubt.NO_ANSWER,
}


class Completeness:
    """Looks for the evidence of responses that look complete.

    identify: asks an upstream which life answers at its address, by the path of liveness checks.
    """

    def __init__(
        self,
        identify: Callable[[UpstreamState, str], Awaitable[Identity]],
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
        if found.body.is_framed:
            return end
        path = call.configuration.services_by_name[call.service].health_path
        doubt = DOUBT_BY_IDENTITY[await self._identify(plan.lead, path)]
        if doubt is not Doubt.NONE:
            return _reject(end, found, doubt)
        return self._accept(end, found, Evidence.SAME_LIFE)

    def _accept(self, end: AttemptEnd, found: ResponseEnd, evidence: Evidence) -> AttemptEnd:
        found.evidence, found.evidence_at = evidence, self._clock()
        return end


def has_all_events(call: RelayCall, found: ResponseEnd) -> bool:
    """Whether a stream that was received from its start has as many events as it can have."""
    engine = call.configuration.services_by_name[call.service].engine
    if found.events is None or engine is None:
        return False
    tokens = found.events * engine.stride
    return 0 < call.metadata.answer_tokens <= tokens and call.resume_event_number < 0


def _reject(end: AttemptEnd, found: ResponseEnd, doubt: Doubt) -> AttemptEnd:
    found.evidence, found.doubt = Evidence.NONE, doubt
    return replace(
        end,
        kind=EndKind.BROKEN,
        detail=f"not shown to be complete: {doubt.value}",
        response=None,
    )
