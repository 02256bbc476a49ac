"""Handling of what upstreams report about themselves in any answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamLeaving, UpstreamNotice
from pondpin.relay.model import ResponseHead
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.upstreams.limit_handler import LimitHandler

STATE_BY_LEAVING = {True: "leaving", False: "ready"}
ANSWER_SOURCE = "its answer"
# Logged for an endless rest.
MAX_LOGGED_SECONDS = 1e9
MAX_LOGGED_CHARACTERS = 80
REQUEST = "request"
LIVENESS_CHECK = "liveness check"


@dataclass(frozen=True, slots=True)
class SentRequest:
    """The request to which an answer belongs."""

    upstream: str
    life: int
    purpose: str
    sent_at: float


# Called with the head of each answer.
HeadHandler = Callable[[SentRequest, ResponseHead], None]


def ignore_head(request: SentRequest, head: ResponseHead) -> None:
    """A HeadHandler that does nothing."""


class NoticeHandler:
    """Records and logs the notices in answers."""

    def __init__(
        self,
        table: UpstreamTable,
        list_at: Callable[[], float | None],
        send_digest: Callable[[], None],
        metrics: Metrics,
        log: EventLog,
        clock: Clock,
        broadcast_limit: Callable[[int, float], None] = lambda life, now: None,
    ) -> None:
        """list_at: when the list was last read."""
        self._broadcast_limit = broadcast_limit
        self._table = table
        self._list_at = list_at
        self._send_digest = send_digest
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._limit_handler: LimitHandler | None = None

    def handle_head(self, request: SentRequest, head: ResponseHead) -> None:
        """Handle the head of an answer.

        A head that names an upstream counts for that id, listed or not, from whatever address.
        """
        life, now = self._life_of(request, head), self._clock()
        notice = head.notice
        if request.purpose == LIVENESS_CHECK and self._table.cold_starts is not None:
            cold_starts = self._table.cold_starts
            cold_starts.observe_answer(life, head.cold_seconds, request.sent_at, now)
        if self._concerns_limits(head):
            self._get_limit_handler().handle_head(life, request, head, now)
        if not (notice.is_leaving or notice.rest or notice.invalid_rest):
            return
        if not self._table.availability_table.apply_notice(life, notice, ANSWER_SOURCE, now):
            return
        if notice.rest > 0:
            self._metrics.rests_requested.inc({})
        self._log_notice(life, head, request.purpose, now)
        if notice.is_leaving:
            self.record_leaving(life, ANSWER_SOURCE, now)

    def _concerns_limits(self, head: ResponseHead) -> bool:
        notice = head.notice
        names_limit = notice.limit is not None or bool(notice.invalid_limit)
        return (
            names_limit
            or bool(head.unknown_headers)
            or self._table.availability_table.any_limit_reported
        )

    def _get_limit_handler(self) -> "LimitHandler":
        if self._limit_handler is None:
            from pondpin.relay.upstreams.limit_handler import LimitHandler

            self._limit_handler = LimitHandler(self._table, self._log, self._broadcast_limit)
        return self._limit_handler

    def _life_of(self, request: SentRequest, head: ResponseHead) -> int:
        if head.upstream_id and head.upstream_id != request.upstream:
            return self._table.life_of_id(head.upstream_id)
        return request.life

    def record_leaving(self, life: int, source: str, now: float) -> None:
        """Stop sending to a leaving life, and report it in the next digest."""
        if self._table.mark_leaving(life, source, now):
            name = self._table.label_of(life)
            self._metrics.leavings.inc({"source": source})
            self._log.write(UpstreamLeaving(upstream=name, source=source))
            self._send_digest()

    def _log_notice(self, life: int, head: ResponseHead, purpose: str, now: float) -> None:
        state = self._table.by_life(life)
        list_at = self._list_at()
        rest = self._table.availability_table.get_or_create(life).rest
        self._log.write(
            UpstreamNotice(
                upstream=self._table.label_of(life),
                life=f"{life:x}",
                answer=purpose,
                status=head.status,
                list_says="nothing" if state is None else STATE_BY_LEAVING[state.listed.leaving],
                list_age=-1.0 if list_at is None else round(now - list_at, 3),
                leaves=head.notice.is_leaving,
                rest=min(MAX_LOGGED_SECONDS, head.notice.rest),
                until=0.0 if rest is None else round(min(MAX_LOGGED_SECONDS, rest.until), 3),
                odd=head.notice.invalid_rest[:MAX_LOGGED_CHARACTERS],
            )
        )
