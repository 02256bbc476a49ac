"""What the answers and the ends of attempts say of their upstreams."""

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.relay.attempts.attempt_ends import FIRST_SERVER_ERROR, helper_at_fault
from pondpin.relay.call import AttemptEnd, EndKind
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamEjected
from pondpin.relay.model import ResponseHead
from pondpin.relay.upstreams.notice_handler import REQUEST, NoticeHandler, SentRequest
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

MISDIRECTED = 421
FIRST_FAILURE = 300
# A silence that is shorter says nothing of an upstream.
SILENT_SECONDS = 0.75


class PassiveHealth:
    """Keeps the health of upstreams by what attempts there came to."""

    def __init__(
        self,
        table: UpstreamTable,
        hearing: NoticeHandler,
        metrics: Metrics,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self._table = table
        self._hearing = hearing
        self._metrics = metrics
        self._log = log
        self._clock = clock

    def observe_end(self, plan: Plan, end: AttemptEnd, began: float) -> None:
        """Note what an attempt's end says of its upstream."""
        now = self._clock()
        result = end.kind.value
        self._metrics.attempts.inc({"upstream": plan.lead.listed.service, "result": result})
        helper = helper_at_fault(plan, end)
        if helper is not None:
            # It may only be leaving; then the list says so in a moment.
            self._note_failure(helper, now, "named as at fault", True)
            return
        if end.kind is EndKind.WITHHELD:
            self._metrics.withheld.inc({})
            return
        if end.kind is EndKind.NOT_EXECUTED or asked_for_rest(plan.lead, began):
            # One that wants rest is well: nothing of its health is lost.
            return
        if end.kind is EndKind.STALLED and now - began < SILENT_SECONDS:
            # The deadline expired; don't count this against the upstream.
            return
        if (
            end.kind is EndKind.STALLED
            and plan.lead.last_seen_at > began
            and plan.lead.is_busy(now)
        ):
            # It lives and is known to be busy: placement weighs that already.
            return
        failing = end.kind in (EndKind.NOT_SENT, EndKind.STALLED)
        if failing or end.kind in (EndKind.BROKEN, EndKind.INVALID):
            silent = plan.lead.last_seen_at < began
            certain = failing and silent
            self._note_failure(plan.lead, now, end.detail, certain)
        elif end.response is not None and end.response.status >= FIRST_SERVER_ERROR:
            self._note_failure(plan.lead, now, f"status {end.response.status}", False)
        else:
            plan.lead.record_success(now)

    def _note_failure(self, state: UpstreamState, now: float, reason: str, certain: bool) -> None:
        if self._table.record_failure(state, now, certain):
            left = round(state.health.ejected_until - now, 2)
            self._log.write(UpstreamEjected(upstream=state.id, reason=reason, seconds=left))

    def observe_head(self, plan: Plan, head: ResponseHead, asked_at: float) -> None:
        """The head of an answer came: take what it says of its upstream."""
        now = self._clock()
        plan.lead.last_seen_at = now
        if head.load is not None:
            plan.lead.reported_load, plan.lead.reported_load_at = head.load, now
        self._hear(plan.lead, head, asked_at)
        # Another upstream has the address; one that names itself is still there.
        if head.status == MISDIRECTED and head.upstream_id != plan.lead.id:
            self._hearing.record_leaving(plan.lead.life, "misdirected", now)

    def _hear(self, lead: UpstreamState, head: ResponseHead, asked_at: float) -> None:
        """Take what the answer says of the upstream that gave it.

        An answer to another request came late on a connection to the same process. A success
        without the upstream's signature may be anybody's: it proves nothing.
        """
        if head.status < FIRST_FAILURE and not head.signed:
            return
        self._hearing.handle_head(SentRequest(lead.id, lead.life, REQUEST, asked_at), head)
        if head.status < FIRST_SERVER_ERROR:
            lead.standing.note_taken(self._clock())


def asked_for_rest(state: UpstreamState, since: float) -> bool:
    """Whether an upstream has asked for rest since a moment."""
    rest = state.standing.rest
    return rest is not None and rest.until > rest.asked_at >= since
