"""Updates the health of upstreams by response heads and ends of attempts."""

from collections.abc import Callable

from pondpin.clocks import Clock
from pondpin.http_streams import ResponseFault
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
UNAVAILABLE = 503
FIRST_FAILURE = 300
# A shorter silence is no sign of a fault.
MIN_STALL_SECONDS = 0.75

# Called with an upstream, the head of its answer, whether that shows it full, and the time.
LoadRecorder = Callable[[UpstreamState, ResponseHead, bool, float], None]


class PassiveHealth:
    """Passive health checks."""

    def __init__(
        self,
        table: UpstreamTable,
        notices: NoticeHandler,
        metrics: Metrics,
        log: EventLog,
        clock: Clock,
        record_load: LoadRecorder | None = None,
    ) -> None:
        """record_load: is called for heads that concern slots; None without slot grants."""
        self._record_load = record_load
        self._table = table
        self._notices = notices
        self._metrics = metrics
        self._log = log
        self._clock = clock

    def observe_end(
        self, plan: Plan, end: AttemptEnd, began: float, blames_upstream: bool = True
    ) -> None:
        """Update an upstream's health after an attempt, unless the path to it may have failed."""
        now = self._clock()
        result = end.kind.value
        self._metrics.attempts.inc({"upstream": plan.lead.listed.service, "result": result})
        if end.fault is not None:
            self._count_fault(end.fault)
        helper = helper_at_fault(plan, end)
        if helper is not None:
            # It may only be leaving; then the list shows it in a moment.
            self._record_failure(helper, now, "named as at fault", True)
            return
        if end.kind is EndKind.WITHHELD:
            self._metrics.withheld_attempts.inc({})
            return
        if not blames_upstream:
            return
        if end.kind is EndKind.NOT_EXECUTED or asked_for_rest(plan.lead, began):
            # An upstream that refuses a request or asks for a rest is healthy.
            return
        if end.kind is EndKind.STALLED and now - began < MIN_STALL_SECONDS:
            # The deadline expired; don't count this against the upstream.
            return
        if (
            end.kind is EndKind.STALLED
            and plan.lead.last_seen_at > began
            and plan.lead.is_busy(now)
        ):
            # It is alive and known to be busy, which placement already weighs.
            return
        if self._table.cold_starts is not None and (
            end.kind is EndKind.BROKEN or end.connection_refused
        ):
            self._table.cold_starts.observe_lost(plan.lead.life, now)
        failing = end.kind in (EndKind.NOT_SENT, EndKind.STALLED)
        if failing or end.kind in (EndKind.BROKEN, EndKind.INVALID):
            silent = plan.lead.last_seen_at < began
            certain = failing and silent
            self._record_failure(plan.lead, now, end.detail, certain)
        elif end.response is not None and end.response.status >= FIRST_SERVER_ERROR:
            self._record_failure(plan.lead, now, f"status {end.response.status}", False)
        else:
            plan.lead.record_success(now)

    def _count_fault(self, fault: ResponseFault) -> None:
        if fault.is_limit:
            self._metrics.responses_over_limit.inc({"bound": fault.value})
        else:
            self._metrics.malformed_responses.inc({"part": fault.value})

    def _record_failure(self, state: UpstreamState, now: float, reason: str, certain: bool) -> None:
        if self._table.record_failure(state, now, certain):
            left = round(state.health.ejected_until - now, 2)
            self._log.write(UpstreamEjected(upstream=state.id, reason=reason, seconds=left))

    def observe_head(self, plan: Plan, head: ResponseHead, sent_at: float) -> None:
        """Apply the head of a response to its upstream."""
        now = self._clock()
        plan.lead.last_seen_at = now
        if head.load is not None:
            plan.lead.reported_load, plan.lead.reported_load_at = head.load, now
        if self._record_load is not None:
            is_full = shows_full(head, plan.lead)
            if is_full or self._table.contention is not None:
                self._record_load(plan.lead, head, is_full, now)
        self._handle_notices(plan.lead, head, sent_at)
        # Another upstream has the address, unless the response names the one that was asked.
        if head.status == MISDIRECTED and head.upstream_id != plan.lead.id:
            self._notices.record_leaving(plan.lead.life, "misdirected", now)

    def _handle_notices(self, lead: UpstreamState, head: ResponseHead, sent_at: float) -> None:
        # A late response to another request comes from the same process, and counts. A success
        # without the upstream's signature may come from anywhere, and proves nothing.
        if head.status < FIRST_FAILURE and not head.signed:
            return
        self._notices.handle_head(SentRequest(lead.id, lead.life, REQUEST, sent_at), head)
        if head.status < FIRST_SERVER_ERROR:
            lead.availability.record_accepted(self._clock())


def shows_full(head: ResponseHead, state: UpstreamState) -> bool:
    """Whether a response shows that an upstream had no free slot."""
    load = head.load
    if load is not None:
        return load.running + load.waiting >= max(1, load.slots or state.listed.slots)
    is_shed = head.status == UNAVAILABLE and head.not_executed
    return is_shed and not head.notice.rest and head.failed_endpoint is None


def asked_for_rest(state: UpstreamState, since: float) -> bool:
    """Whether an upstream has asked for a rest since a moment."""
    rest = state.availability.rest
    return rest is not None and rest.until > rest.received_at >= since
