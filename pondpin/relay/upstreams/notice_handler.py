"""Takes what upstreams say of themselves in their answers, whatever was asked of them."""

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

LISTED_AS = {True: "leaving", False: "ready"}
ANSWER_SOURCE = "its answer"
# A rest without end is told as this many seconds.
LONGEST_TOLD = 1e9


MAX_LOGGED_CHARACTERS = 80
REQUEST = "request"
LIVENESS_CHECK = "liveness check"


@dataclass(frozen=True, slots=True)
class SentRequest:
    """What an answer answers: the upstream and the life that were asked, what for, and when."""

    upstream: str
    life: int
    purpose: str
    sent_at: float


# Takes the head of an answer.
HeadHandler = Callable[[SentRequest, ResponseHead], None]


def ignore_head(asked: SentRequest, head: ResponseHead) -> None:
    """See Listener: takes no notice."""


class NoticeHandler:
    """Notes and tells the notices of answers."""

    def __init__(
        self,
        table: UpstreamTable,
        list_at: Callable[[], float | None],
        tell_soon: Callable[[], None],
        metrics: Metrics,
        log: EventLog,
        clock: Clock,
        tell_limit: Callable[[int, float], None] = lambda life, now: None,
    ) -> None:
        """list_at: when the list of upstreams was last read; tell_soon: peers hear of a leaving;
        tell_limit: every peer hears of a life's limit.
        """
        self._tell_limit_news = tell_limit
        self._table = table
        self._list_at = list_at
        self._tell_soon = tell_soon
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._limits: LimitHandler | None = None

    def handle_head(self, asked: SentRequest, said: ResponseHead) -> None:
        """Take the head of an answer, see Listener.

        An upstream that names itself in its answer speaks for itself, also at another's address:
        what it says is noted of its own id, listed or not.
        """
        life, now = self._speaker(asked, said), self._clock()
        notice = said.notice
        if self._is_of_limits(said):
            self._limit_hearing().handle_head(life, asked, said, now)
        if not (notice.leaves or notice.rest or notice.odd):
            return
        if not self._table.standings.hear(life, notice, ANSWER_SOURCE, now):
            return
        if notice.rest > 0:
            self._metrics.rests_asked.inc({})
        self._tell(life, said, asked.purpose, now)
        if notice.leaves:
            self.record_leaving(life, ANSWER_SOURCE, now)

    def _is_of_limits(self, said: ResponseHead) -> bool:
        """Whether an answer says anything of limits, also by naming none, or an unknown word."""
        notice = said.notice
        names_one = notice.limit is not None or bool(notice.odd_limit)
        return names_one or bool(said.unknown_headers) or self._table.standings.names_limits

    def _limit_hearing(self) -> "LimitHandler":
        """Loaded where an upstream says anything of it, which few ever do."""
        if self._limits is None:
            from pondpin.relay.upstreams.limit_handler import LimitHandler

            self._limits = LimitHandler(self._table, self._log, self._tell_limit_news)
        return self._limits

    def _speaker(self, asked: SentRequest, said: ResponseHead) -> int:
        if said.upstream_id and said.upstream_id != asked.upstream:
            return self._table.life_of_id(said.upstream_id)
        return asked.life

    def record_leaving(self, life: int, source: str, now: float) -> None:
        """A life leaves: nothing more is sent to it, and peers hear of it with the next digest."""
        if self._table.mark_leaving(life, source, now):
            name = self._table.label_of(life)
            self._metrics.leavings.inc({"source": source})
            self._log.write(UpstreamLeaving(upstream=name, source=source))
            self._tell_soon()

    def _tell(self, life: int, said: ResponseHead, answer: str, now: float) -> None:
        state = self._table.by_life(life)
        list_at = self._list_at()
        rest = self._table.standings.of(life).rest
        self._log.write(
            UpstreamNotice(
                upstream=self._table.label_of(life),
                life=f"{life:x}",
                answer=answer,
                status=said.status,
                list_says="nothing" if state is None else LISTED_AS[state.listed.leaving],
                list_age=-1.0 if list_at is None else round(now - list_at, 3),
                leaves=said.notice.leaves,
                rest=min(LONGEST_TOLD, said.notice.rest),
                until=0.0 if rest is None else round(min(LONGEST_TOLD, rest.until), 3),
                odd=said.notice.odd[:MAX_LOGGED_CHARACTERS],
            )
        )
